#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts (review/2/tools, which review/3 and review/5 use
# too) into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/2/tools/*.cpp; do
    g++ -std=c++20 -O1 -c "$source" -o "target/review/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ target/review/*.o -o target/review/case -lboost_json -lfmt -lpthread
