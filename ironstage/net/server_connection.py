"""One connection to a server: HTTP/1.1 attempts, one at a time, and how they end; and the server's record.

Nothing is retried here; `ironstage.policy` decides on retries.

Fields that end in `_s` are seconds; points in time are on the monotonic clock, as the event loop's are.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
import socket
from dataclasses import dataclass, field
from time import monotonic
from typing import Protocol

import httptools

from ironstage.interface import CallStatus
from ironstage.net.attempt import Attempt, AttemptResult
from ironstage.net.config import Address
from ironstage.net.memory import Holding, MemoryAccount, Purpose
from ironstage.net.paced_reader import MESSAGE_WORK, PacedReader, write_parts

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
# Of a response's head with the interim responses before it, and of all that comes between two pieces of a
# body or after the last one: chunk extensions and trailer fields.
MAX_FRAMING_BYTES = 16 * 1024
# The only header fields that are used; no others are kept.
KEPT_HEADERS = frozenset(
    [
        b"content-length",
        b"content-type",
        b"srv-declined",
        b"srv-load",
        b"transfer-encoding",
        b"x-ratelimit-used",
    ]
)
# Measured with hundreds of idle connections: the protocol, its parser and the event loop's transport.
CONNECTION_BYTES = 4608
# A connection is reused only so long after its last response: a second copy of that response, which a server
# may send some milliseconds late, would be taken for the response to the next request.
DUPLICATE_RESPONSE_WAIT_S = 0.015
USAGE_PERCENT_PATTERN = re.compile(rb"[0-9]{1,5}(\.[0-9]{1,6})?")
# A response that has begun to arrive is invalid if nothing more of it comes for so long.
PARTIAL_RESPONSE_TIMEOUT_S = 0.25


def _parse_usage_percent(raw: bytes) -> int | None:
    """Return the metered use in percent, or None if the value is not a number in the meter's range."""
    return round(float(raw)) if USAGE_PERCENT_PATTERN.fullmatch(raw) else None


class ConnectionPool(Protocol):
    """What a connection needs of the pool that it belongs to."""

    @property
    def memory(self) -> MemoryAccount:
        """The account in which connections reserve what they hold."""

    def add_idle_connection(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for reuse, unless its server takes no new requests."""

    def handle_connection_closed(self, server: Server, connection: ServerConnection) -> None:
        """Forget a connection that was closed."""

    def record_broken_connection(self, prior_idle_s: float) -> None:
        """Take note that a connection broke without any response that had been idle before."""


@dataclass(slots=True)
class Server:
    """A server's process, whether it takes new requests, and the idle connections to it, latest used last.

    A process is known by its address and its start, in milliseconds of Unix time.
    """

    address: Address
    born_ms: float = 0.0
    ready: bool = True
    idle_connections: list[ServerConnection] = field(default_factory=list)


class ServerConnection(PacedReader):
    """A connection to a server: carries at most one attempt at a time and parses its response."""

    def __init__(self, pool: ConnectionPool, server: Server, sock: socket.socket) -> None:
        super().__init__()
        self._pool = pool
        self._server = server
        self._holding = Holding(pool.memory)
        self._holding.take_over(CONNECTION_BYTES)
        self._sock = sock
        self._parser = httptools.HttpResponseParser(self)
        self._attempt: Attempt | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._framing_bytes = 0  # received since the start of the response, or since a piece of its body
        self._status_code = 0
        self._head_complete = self._response_complete = self._keep_alive = False
        self._ends_with_connection = False  # the response has no length: it ends when the server closes
        self._message_incomplete = False  # a response, interim or final, has been received in part
        self._partial_response_timer: asyncio.TimerHandle | None = None  # runs while a response is incomplete
        self.request_written = False  # the whole request has been passed to the kernel
        self.idle_since_s = 0.0
        self.min_idle_s = 0.0  # idle time before the next attempt; 0 if there was no response so far
        self.prior_idle_s = 0.0  # idle time before the current attempt
        self._nothing_received = True  # no byte received since the current attempt started

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport
        # With this limit, resume_writing is called once the last byte has been written.
        self._transport.set_write_buffer_limits(high=0)
        self.idle_since_s = monotonic()

    def start(self, attempt: Attempt) -> None:
        """Send an attempt's request over this connection."""
        assert self._transport
        self._attempt, attempt.connection = attempt, self
        self._headers, self._body, self._framing_bytes = {}, bytearray(), 0
        self._head_complete = self._response_complete = self._keep_alive = False
        self._ends_with_connection = False
        self._nothing_received = True
        # The time that it took to get here, as for opening a connection, is not told as left.
        write_parts(self._transport, attempt.request.message(attempt.deadline_s - monotonic()))
        # A failed write closes the transport at once; a partial write leaves the rest in its buffer.
        self.request_written = (
            not self._transport.is_closing() and not self._transport.get_write_buffer_size()
        )

    def resume_writing(self) -> None:
        self.request_written = True

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open and has no unsolicited data.

        The kernel is asked, as it may hold a close or data that the event loop has not processed yet.
        """
        assert self._transport
        if self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # closed by the server, or unsolicited data

    def bulk_bytes(self) -> int:
        """Return how much is missing of a body with a length."""
        if not self._head_complete or b"content-length" not in self._headers:
            return 0
        length = self._headers[b"content-length"]
        return int(length) - len(self._body) if length.isdigit() else 0

    def parse_piece(self, piece: memoryview) -> None:
        """Parse a piece of the response; end the attempt if that completes it or shows that it is invalid."""
        if self._attempt is None:
            self.close_immediately()
            return
        self._nothing_received = False
        self._framing_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            # Invalid bytes after a complete response do not affect it, but rule out reuse.
            self._keep_alive = False
            if not self._response_complete:
                self._fail_invalid_response(repr(error))
                return
        if self._response_complete:
            self._keep_alive = self._keep_alive and not self._more_received
            self._finish_attempt()
        elif self._attempt and self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail_invalid_response("head or trailer too large")

    def finish_turn(self) -> None:
        """Bound the memory and the time for the rest of a response that has begun to arrive."""
        if self._attempt:
            held_bytes = CONNECTION_BYTES + len(self._unparsed) + self._framing_bytes
            held_bytes += len(self._body) * 9 // 8  # a growing buffer is up to an eighth larger
            if not self._holding.resize(held_bytes, Purpose.RESPONSE):
                self._fail_invalid_response("no memory left for it")
                return
        self._stop_partial_response_timer()
        # An interim response does not tell when the final one begins.
        if self._attempt and self._message_incomplete:
            self._partial_response_timer = asyncio.get_running_loop().call_later(
                PARTIAL_RESPONSE_TIMEOUT_S, self._fail_invalid_response, "stopped before it was complete"
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_work()
        name = name.lower()
        if name in KEPT_HEADERS and not self._head_complete:  # a trailer field is no header
            self._headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        if self._response_complete:
            return
        self._head_complete = self._parser.get_status_code() >= 200
        if self._head_complete:
            self._framing_bytes = 0
            self._check_body_framing()

    def _check_body_framing(self) -> None:
        """Determine how the body ends.

        A transfer encoding other than chunked and a Content-Length beyond the maximum are invalid.
        """
        length = self._headers.get(b"content-length", b"")
        encoding = self._headers.get(b"transfer-encoding", b"").lower()
        self._ends_with_connection = not length and not encoding
        if encoding not in (b"", b"chunked"):
            self._fail_invalid_response("unsupported transfer encoding")
        elif length.isdigit() and int(length[:9]) > MAX_BODY_BYTES:
            self._fail_invalid_response("body too large")

    def on_body(self, body: bytes) -> None:
        self.count_work()
        if self._response_complete or self._attempt is None:
            return
        self._framing_bytes = 0
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._fail_invalid_response("body too large")

    def on_message_complete(self) -> None:
        self.count_work(MESSAGE_WORK)
        self._message_incomplete = False
        if self._head_complete and not self._response_complete and self._attempt:
            self._complete_response(self._parser.should_keep_alive())
        elif not self._head_complete:
            self._headers = {}  # discard those of an interim response

    def _complete_response(self, keep_alive: bool) -> None:
        self._response_complete, self._status_code = True, self._parser.get_status_code()
        self._keep_alive = keep_alive

    def eof_received(self) -> None:
        """Complete a response without a length when the server closes the connection.

        A reset does not lead here, and any other response is incomplete: `connection_lost` ends its attempt.
        """
        if self._attempt and self._head_complete and self._ends_with_connection:
            self._complete_response(keep_alive=False)
            self._finish_attempt()

    def on_message_begin(self) -> None:
        self._message_incomplete = True
        if self._response_complete:  # unsolicited bytes after the response rule out reuse
            self._keep_alive = False

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.handle_connection_closed(self._server, self)
        del self._parser  # breaks a reference cycle that only the garbage collector would free
        self._holding.release()
        self._handle_connection_loss()

    def close_immediately(self) -> None:
        """Close at once: the server sees the close before anything that is sent to it from now on.

        The current attempt, if any, is detached but not ended: the caller ends it.
        """
        self._attempt = None
        self._holding.release()
        self._stop_partial_response_timer()
        if self._transport and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # already closed by the server
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()

    def _handle_connection_loss(self) -> None:
        """End the current attempt, if any, after the connection was lost."""
        if self._attempt and self._nothing_received:
            self._pool.record_broken_connection(self.prior_idle_s)
        self._fail_attempt(CallStatus.RESET)

    def _fail_invalid_response(self, reason: str) -> None:
        """End the current attempt with ERROR, as its response is invalid.

        The server is alive and may have run the request, but there is no response to forward.
        """
        log.warning("invalid response from server %s: %s", self._server.address, reason)
        self._fail_attempt(CallStatus.ERROR)

    def _fail_attempt(self, status: CallStatus) -> None:
        """Close the connection and end the current attempt, if any.

        If the request was not sent whole, the server can't have run it: the attempt then ends with
        CONNECT_FAILED instead of `status`.
        """
        attempt, written = self._attempt, self.request_written
        self._body = bytearray()
        self.close_immediately()
        if attempt:
            attempt.end(AttemptResult(status if written else CallStatus.CONNECT_FAILED))

    def _stop_partial_response_timer(self) -> None:
        if self._partial_response_timer:
            self._partial_response_timer.cancel()
            self._partial_response_timer = None

    def _finish_attempt(self) -> None:
        """End the current attempt with its complete response, and keep the connection if possible.

        A response that arrives before the request was written whole can't be one to it: the server starts on
        a request when it has the last byte. Only a rejection counts even so.
        """
        self._stop_partial_response_timer()
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._status_code == 200:
            status = CallStatus.OK
        elif self._status_code in (503, 504) and self._headers.get(b"srv-declined") == b"1":
            status = CallStatus.REJECTED
        else:
            status = CallStatus.ERROR
        if not self.request_written and status is not CallStatus.REJECTED:
            status = CallStatus.CONNECT_FAILED
        result = AttemptResult(
            status,
            bytes(self._body),
            self._headers.get(b"content-type", b""),
            _parse_usage_percent(self._headers.get(b"x-ratelimit-used", b"")),
            self._headers.get(b"srv-load", b""),
        )
        self._body = bytearray()
        self._holding.take_over(CONNECTION_BYTES)
        self.idle_since_s, self.min_idle_s = monotonic(), DUPLICATE_RESPONSE_WAIT_S
        if self._keep_alive and self.request_written:
            self._pool.add_idle_connection(self._server, self)
        else:
            self.close_immediately()
        attempt.end(result)
