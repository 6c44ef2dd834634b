"""A hostile peer as a process of its own: many connections that send without end, slowly, or stop half way.

    python flood.py     reads a JSON object with the fields of `FloodSpecification` from its standard input

The process ends by itself after `seconds`, or once its standard input is closed. In `start` and `repeat`,
each `{n}` is replaced by a number that never comes twice, as 16 hexadecimal digits, and `{d}` by one that
grows, as 10 decimal digits.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import selectors
import socket
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass

FIRST_DECIMAL = 1_000_000_000
BUFFER_BYTES = 1 << 16  # about how much is made at a time


@dataclass(slots=True)
class FloodSpecification:
    """What to send, and how.

    Each connection sends `start`, then `repeat` again and again. At most `burst_bytes` are written every
    `interval_s`; 0 for as much as the peer takes. After `stop_after_bytes` nothing more is sent, and the
    connection stays. Without `reads`, what the peer sends stays in the socket. If `listens`, the process
    prints its port as its first line and answers whoever sends to it. If `reconnects`, a connection that was
    ended is replaced.
    """

    port: int = 0
    connections: int = 1
    start: str = ""
    repeat: str = ""
    burst_bytes: int = 0
    interval_s: float = 0.0
    stop_after_bytes: int = 1 << 62
    seconds: float = 20.0
    reads: bool = True
    listens: bool = False
    reconnects: bool = False


@contextlib.asynccontextmanager
async def running_flood(specification: FloodSpecification) -> AsyncIterator[int]:
    """Run a flood until the end of the block; return its port if it listens, else 0."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdin and process.stdout
        process.stdin.write(json.dumps(asdict(specification)).encode() + b"\n")
        yield int(await process.stdout.readline()) if specification.listens else 0
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


_last_number = 0


def _numbered(template: str) -> bytes:
    """Return the template with each `{n}` replaced by a new number."""
    global _last_number
    parts = template.split("{n}")
    for index in range(len(parts) - 1):
        _last_number += 1
        parts[index] += f"{_last_number:016x}"
    _last_number += 1
    return "".join(parts).replace("{d}", f"{FIRST_DECIMAL + _last_number:d}").encode("latin-1")


@dataclass(slots=True)
class _Connection:
    """One connection of the flood: what is still to be written, and when the next burst is due."""

    sock: socket.socket
    pending: bytes = b""
    sent_bytes: int = 0
    due_s: float = 0.0
    started: bool = False

    def write(self, specification: FloodSpecification) -> None:
        """Write the next burst, as far as the peer takes it."""
        if not self.pending:
            self.pending = b"" if self.started else _numbered(specification.start)
            self.started = True
            if specification.repeat:
                repeat_count = max(1, BUFFER_BYTES // len(specification.repeat))
                self.pending += b"".join(_numbered(specification.repeat) for _ in range(repeat_count))
        burst_bytes = specification.burst_bytes or len(self.pending)
        burst_bytes = min(burst_bytes, specification.stop_after_bytes - self.sent_bytes)
        written = self.sock.send(self.pending[:burst_bytes]) if burst_bytes > 0 else 0
        self.sent_bytes += written
        self.pending = self.pending[written:]
        self.due_s = time.monotonic() + specification.interval_s

    def is_done(self, specification: FloodSpecification) -> bool:
        """Return whether nothing more is to be sent."""
        all_sent = self.started and not self.pending and not specification.repeat
        return all_sent or self.sent_bytes >= specification.stop_after_bytes


class _Flood:
    """All connections of the flood, on one selector."""

    def __init__(self, specification: FloodSpecification) -> None:
        self._specification = specification
        self._selector = selectors.DefaultSelector()
        self._connections: dict[int, _Connection] = {}
        self._listener: socket.socket | None = None

    def run(self) -> None:
        """Send until the time is over or standard input is closed."""
        specification = self._specification
        self._selector.register(sys.stdin, selectors.EVENT_READ)
        if specification.listens:
            self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
            self._selector.register(self._listener, selectors.EVENT_READ)
            print(self._listener.getsockname()[1], flush=True)
        end_s = time.monotonic() + specification.seconds
        while time.monotonic() < end_s:
            while not specification.listens and len(self._connections) < specification.connections:
                self._connect()
            if any(key.fileobj is sys.stdin for key, _ in self._selector.select(timeout=0)):
                return
            if not self._serve_once():
                time.sleep(0.002)

    def _connect(self) -> None:
        self._add(socket.create_connection(("127.0.0.1", self._specification.port)))

    def _add(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[sock.fileno()] = _Connection(sock)
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)

    def _remove(self, connection: _Connection) -> None:
        self._selector.unregister(connection.sock)
        del self._connections[connection.sock.fileno()]
        connection.sock.close()
        if not self._specification.reconnects:
            self._specification.connections -= 1

    def _serve_once(self) -> bool:
        """Serve what is ready; return whether anything was written or read."""
        busy = False
        for key, events in self._selector.select(timeout=0):
            if key.fileobj is self._listener and self._listener:
                self._add(self._listener.accept()[0])
            elif connection := self._connections.get(key.fd):
                try:
                    busy = self._serve_connection(connection, events) or busy
                except BlockingIOError:
                    pass
                except OSError:
                    self._remove(connection)
        return busy

    def _serve_connection(self, connection: _Connection, events: int) -> bool:
        busy = False
        if events & selectors.EVENT_READ and (self._specification.reads or self._specification.listens):
            if not connection.sock.recv(1 << 18):
                raise ConnectionResetError
            busy = True
        may_start = not self._specification.listens or busy or connection.started
        is_due = time.monotonic() >= connection.due_s
        if (
            events & selectors.EVENT_WRITE
            and may_start
            and is_due
            and not connection.is_done(self._specification)
        ):
            connection.write(self._specification)
            busy = True
        return busy


if __name__ == "__main__":
    _Flood(FloodSpecification(**json.loads(sys.stdin.readline()))).run()
