#!/usr/bin/env bash
# Fails if a source file differs from clang-format's output.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs -r clang-format --dry-run --Werror
