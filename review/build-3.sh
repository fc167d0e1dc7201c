#!/usr/bin/env bash
# Builds what the scripts in review/11 to review/15 start, beside the build of
# deploy/system.toml: the project's stand-ins, and the sources in review/*/tools.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target -j8 --target marjorampath-standin
mkdir -p target/review-3
for source in review/1[1-5]/tools/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
