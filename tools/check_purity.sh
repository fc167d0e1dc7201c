#!/usr/bin/env bash
# Fails where the decision library includes a socket, clock, thread or program header.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='#include <(boost/asio|boost/beast|serving|sys/|netinet/|thread|mutex|atomic|iostream|fstream|kj|capnp)|(system|steady)_clock::now|std::random_device'
if grep -rnE "$pattern" marjorampath --include='*.hpp' --include='*.cpp'; then
    echo "the decision library must stay free of input, output, clocks and threads" >&2
    exit 1
fi
