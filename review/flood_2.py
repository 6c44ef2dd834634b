"""Peers that never come to an end, at full speed: a client's request or a server's answers.

    flood_2.py client HOST:PORT START_HEX SECONDS     one connection: START, then filler until it is ended
    flood_2.py server START_HEX SECONDS               listens; each request gets START, then filler

A server prints its address as its first line. Every process ends by itself after SECONDS.
"""

from __future__ import annotations

import os
import socket
import sys
import threading
import time

FILLER = b"a" * (1 << 18)


def fill(connection: socket.socket, start: bytes) -> None:
    """Write `start` and then filler, until the other side ends the connection."""
    try:
        connection.sendall(start)
        while True:
            connection.sendall(FILLER)
    except OSError:
        connection.close()


def serve(connection: socket.socket, start: bytes) -> None:
    """Read one request, which has no body, and answer it without an end."""
    received = b""
    try:
        while b"\r\n\r\n" not in received:
            if not (data := connection.recv(1 << 16)):
                return
            received += data
    except OSError:
        return
    fill(connection, start)


def accept(listener: socket.socket, start: bytes) -> None:
    """Serve each connection in a thread of its own."""
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, start), daemon=True).start()


def main() -> None:
    """Play one side; see the top of the file."""
    role, *arguments = sys.argv[1:]
    if role == "client":
        host, _, port = arguments.pop(0).rpartition(":")
        connection = socket.create_connection((host, int(port)))
        target, first = fill, connection
    else:
        listener = socket.create_server(("127.0.0.1", 0))
        print("{}:{}".format(*listener.getsockname()), flush=True)
        target, first = accept, listener
    start, seconds = bytes.fromhex(arguments[0]), float(arguments[1])
    thread = threading.Thread(target=target, args=(first, start), daemon=True)
    thread.start()
    began_s = time.monotonic()
    thread.join(seconds)
    if role == "client":
        print(f"{time.monotonic() - began_s:.3f}" if not thread.is_alive() else "not ended", flush=True)
    os._exit(0)


if __name__ == "__main__":
    main()
