#!/usr/bin/env bash
# Builds what the scripts of this review start: the project's stand-ins and the cases'
# own programs. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target -j8 --target marjorampath-standin
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
for part in harness engine; do
    g++ "${flags[@]}" -c "review/7/tools/$part.cpp" -o "target/review-2/$part.o"
done
for source in review/[0-9]*/*.cpp; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    g++ "${flags[@]}" "$source" target/review-2/harness.o target/review-2/engine.o \
        -o "target/review-2/case-$number"
done
