#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code from the schemas.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++ schema/*.capnp
