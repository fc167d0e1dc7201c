#!/usr/bin/env bash
# Writes docs/EVENTS.md from the catalogue in serving/telemetry/event_catalogue.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
program="${1:-build/release/bin/marjorampath-events}"
"$program" > docs/EVENTS.md
