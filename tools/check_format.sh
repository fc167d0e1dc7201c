#!/usr/bin/env bash
# Fails where a source file differs from what the formatter would write.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs -r clang-format --dry-run --Werror
