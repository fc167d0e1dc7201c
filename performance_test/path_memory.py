#!/usr/bin/env python3
"""Measures a node's anonymous memory per idle connection and per running stream.

usage: path_memory.py PID IP:PORT SERVICE ADAPTER idle|used|streams NUMBER

`idle` opens connections that send nothing, `used` connections that have received one
answer, and `streams` generation requests that keep streaming. Start a new node for each
run: memory that a previous run freed would be reused and not show up.
"""
import json
import resource
import socket
import sys
import time

# Time for the node to reach a steady state
SETTLE_SECONDS = 4
# Tokens of a stream, so that it does not end during the measurement
STREAM_TOKENS = 3000
# Limit of open files, more than a measurement needs
MAX_FILES = 20_000


def anonymous_kilobytes(pid):
    """Returns the anonymous memory of a process in KB."""
    with open(f"/proc/{pid}/smaps_rollup", encoding="ascii") as rollup:
        lines = dict(line.split(":", 1) for line in list(rollup)[1:])
    return int(lines["Anonymous"].split()[0])


def connect(address):
    """Opens a connection to the node."""
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)))


def send_request(caller, service, adapter, tokens):
    """Sends a streamed generation request."""
    body = json.dumps(
        {"model": adapter, "prompt": "p", "max_tokens": tokens, "stream": True}
    )
    head = f"POST /{service}/v1/completions HTTP/1.1\r\nHost: node\r\n"
    fields = f"X-Deadline-Ms: 120000\r\nContent-Length: {len(body)}\r\n\r\n"
    caller.sendall((head + fields + body).encode())


def main():
    """Runs one measurement."""
    pid, address, service, adapter, mode, number = sys.argv[1:]
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FILES, MAX_FILES))

    # Load the adapter and serve one connection before the first reading
    first = connect(address)
    send_request(first, service, adapter, 1)
    first.recv(65536)
    time.sleep(1)
    before = anonymous_kilobytes(pid)

    callers = [connect(address) for _ in range(int(number))]
    for caller in callers:
        if mode == "used":
            caller.sendall(b"GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n")
            caller.recv(4096)
        elif mode == "streams":
            send_request(caller, service, adapter, STREAM_TOKENS)
    time.sleep(SETTLE_SECONDS)
    each = (anonymous_kilobytes(pid) - before) / len(callers)
    print(f"{mode}: {len(callers)} connections, {each:.2f} KB each")


main()
