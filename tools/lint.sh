#!/usr/bin/env bash
# Runs clang-tidy over every source file, or over the files given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset lint > /dev/null
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
fi
printf '%s\0' "${files[@]}" |
    xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy-16 -p build/lint --quiet 2> >(grep -vE 'warnings? generated|Suppressed|^Use -' >&2 || true)
