#!/usr/bin/env bash
# Fails if the decision library includes an I/O, thread or serving header, or uses a clock
# or the random device.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='#include <(boost/asio|boost/beast|serving|sys/|netinet/|thread|mutex|atomic|iostream|fstream|kj|capnp)|(system|steady)_clock::now|std::random_device'
if grep -rnE "$pattern" marjorampath --include='*.hpp' --include='*.cpp'; then
    echo "the decision library must not use I/O, clocks, threads or random devices" >&2
    exit 1
fi
