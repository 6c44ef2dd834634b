"""The server side: HTTP/1.1 attempts over pooled connections.

Nothing is retried here; `ironstage.policy` decides on retries.

Fields that end in `_s` are seconds; points in time are on the monotonic clock, as the event loop's are.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import logging
import math
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import cast

import httptools

from ironstage.interface import CallStatus
from ironstage.net.config import Address

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
# A connection is reused within this fraction of the servers' idle timeout: clocks need not agree exactly.
IDLE_TIMEOUT_FRACTION = 0.5
SAFE_REUSE_IDLE_S = 0.05  # no server closes a connection that has been idle for less
# A connection is reused only so long after its last response: a second copy of that response, which a server
# may send some milliseconds late, would be taken for the response to the next request.
DUPLICATE_RESPONSE_WAIT_S = 0.025
# After a connection broke that had been idle for a time t, others are reused up to this fraction of t.
BROKEN_IDLE_FRACTION = 0.5
# Growth of that bound at each call of `close_expired_connections`, every 0.25 s: it doubles in about a minute
# until it is back at its initial value.
MAX_IDLE_GROWTH_FACTOR = 1.003
USAGE_PERCENT_PATTERN = re.compile(rb"[0-9]{1,5}(\.[0-9]{1,6})?")
# Once a response has begun to arrive, it is invalid if the rest takes longer than this.
PARTIAL_RESPONSE_TIMEOUT_S = 0.25
# The loop counts whole milliseconds: timers are set this much later, so as not to expire early.
TIMER_RESOLUTION_S = 0.001


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt.

    `body` and `content_type` are those of the response. `usage_percent` is the customer's metered use in
    percent of its rate, or None without a valid reading; `load_report` is the raw load report, if any.
    """

    status: CallStatus
    body: bytes = b""
    content_type: bytes = b""
    usage_percent: int | None = None
    load_report: bytes = b""


@dataclass(slots=True)
class Server:
    """A server's address, whether it takes new requests, and its idle connections, latest used last."""

    address: Address
    ready: bool = True
    idle_connections: list[_ServerConnection] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """An HTTP request to a server.

    `head` is the request line and the headers but Req-Deadline, without the empty line at the end. The server
    must not run an `at_most_once` request again after a broken attempt. A request that has not been written
    whole by `write_by_s` is given up.
    """

    head: bytes
    body: bytes = b""
    at_most_once: bool = False
    write_by_s: float = math.inf

    def message(self, timeout_s: float) -> bytes:
        """Return the request as it is written; its Req-Deadline tells how long the answer is waited for."""
        return b"%bReq-Deadline: %.3f\r\n\r\n%b" % (self.head, max(0.0, timeout_s), self.body)


class Attempt:
    """One transmission of an HTTP request to a server; it times out at `deadline_s`.

    If the request has not been written whole by its `write_by_s`, the attempt ends with NOT_SENT. `on_end` is
    called once, with the result.
    """

    __slots__ = ("_on_end", "_timers", "connection", "deadline_s", "ended", "request")

    def __init__(
        self, request: ServerRequest, deadline_s: float, on_end: Callable[[AttemptResult], None]
    ) -> None:
        self.request = request
        self.deadline_s = deadline_s
        self.connection: _ServerConnection | None = None
        self.ended = False
        self._on_end = on_end
        loop = asyncio.get_running_loop()
        self._timers = [loop.call_at(deadline_s + TIMER_RESOLUTION_S, self._handle_timeout)]
        if request.write_by_s < deadline_s:
            self._timers.append(
                loop.call_at(request.write_by_s + TIMER_RESOLUTION_S, self._handle_write_timeout)
            )

    def end(self, result: AttemptResult) -> None:
        """End the attempt and report its result; calls after the first do nothing."""
        if not self.ended:
            self.ended = True
            for timer in self._timers:
                timer.cancel()
            self.connection = None
            self._on_end(result)

    def cancel(self) -> None:
        """End the attempt with CANCELLED and close its connection."""
        self._abort(CallStatus.CANCELLED)

    def _is_written(self) -> bool:
        """Return whether the whole request has been written: a server runs it only with its last byte."""
        return self.connection is not None and self.connection.request_written

    def _handle_timeout(self) -> None:
        self._abort(CallStatus.TIMEOUT if self._is_written() else CallStatus.CONNECT_FAILED)

    def _handle_write_timeout(self) -> None:
        if not self._is_written():
            self._abort(CallStatus.NOT_SENT)

    def _abort(self, status: CallStatus) -> None:
        if self.connection:
            self.connection.close_immediately()
        self.end(AttemptResult(status))


def _parse_usage_percent(raw: bytes) -> int | None:
    """Return the metered use in percent, or None if the value is not a number in the meter's range."""
    return round(float(raw)) if USAGE_PERCENT_PATTERN.fullmatch(raw) else None


class _ServerConnection(asyncio.Protocol):
    """A connection to a server: carries at most one attempt at a time and parses its response."""

    def __init__(self, servers: Servers, server: Server, sock: socket.socket) -> None:
        self._servers = servers
        self._server = server
        self._sock = sock
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._attempt: Attempt | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body_parts: list[bytes] = []
        self._received_bytes = 0  # of the head, with interim responses; then of the body
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
        # uvloop's transport is not a subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        # With this limit, resume_writing is called once the last byte has been written.
        self._transport.set_write_buffer_limits(high=0)
        self.idle_since_s = monotonic()

    def start(self, attempt: Attempt) -> None:
        """Send an attempt's request over this connection."""
        assert self._transport
        self._attempt, attempt.connection = attempt, self
        self._headers, self._body_parts, self._received_bytes = {}, [], 0
        self._head_complete = self._response_complete = self._keep_alive = False
        self._ends_with_connection = False
        self._nothing_received = True
        # The time that it took to get here, as for opening a connection, is not told as left.
        self._transport.write(attempt.request.message(attempt.deadline_s - monotonic()))
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

    def data_received(self, data: bytes) -> None:
        if self._attempt is None:
            self.close_immediately()
            return
        self._nothing_received = False
        self._received_bytes += 0 if self._head_complete else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Invalid bytes after a complete response do not affect it, but rule out reuse.
            self._keep_alive = False
            if not self._response_complete:
                self._fail_invalid_response(repr(error))
                return
        if self._response_complete:
            self._finish_attempt()
        elif self._attempt and not self._head_complete and self._received_bytes > MAX_HEAD_BYTES:
            self._fail_invalid_response("head too large")
        elif not self._message_incomplete:
            self._stop_partial_response_timer()  # an interim response does not tell when the final one begins
        elif self._attempt and self._partial_response_timer is None:
            self._partial_response_timer = asyncio.get_running_loop().call_later(
                PARTIAL_RESPONSE_TIMEOUT_S, self._fail_invalid_response, "timed out before it was complete"
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._response_complete:
            self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        if self._response_complete:
            return
        self._head_complete = self._parser.get_status_code() >= 200
        if self._head_complete:
            self._received_bytes = 0
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
        if self._response_complete or self._attempt is None:
            return
        self._received_bytes += len(body)
        self._body_parts.append(body)
        if self._received_bytes > MAX_BODY_BYTES:
            self._fail_invalid_response("body too large")

    def on_message_complete(self) -> None:
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
        self._servers.handle_connection_closed(self._server, self)
        del self._parser  # breaks a reference cycle that only the garbage collector would free
        self._handle_connection_loss()

    def close_immediately(self) -> None:
        """Close at once: the server sees the close before anything that is sent to it from now on.

        The current attempt, if any, is detached but not ended: the caller ends it.
        """
        self._attempt = None
        self._stop_partial_response_timer()
        if self._transport and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # already closed by the server
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()

    def _handle_connection_loss(self) -> None:
        """End the current attempt, if any, after the connection was lost."""
        if self._attempt and self._nothing_received:
            self._servers.record_broken_connection(self.prior_idle_s)
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
        self._body_parts = []
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
            b"".join(self._body_parts),
            self._headers.get(b"content-type", b""),
            _parse_usage_percent(self._headers.get(b"x-ratelimit-used", b"")),
            self._headers.get(b"srv-load", b""),
        )
        self._body_parts = []
        self.idle_since_s, self.min_idle_s = monotonic(), DUPLICATE_RESPONSE_WAIT_S
        if self._keep_alive and self.request_written:
            self._servers.add_idle_connection(self._server, self)
        else:
            self.close_immediately()
        attempt.end(result)


class Servers:
    """The servers by id, and a pool of connections to them.

    A connection rests for DUPLICATE_RESPONSE_WAIT_S after each response before it is reused.

    At most `max_connections` are open. Servers close a connection idle for `server_idle_timeout_s`.
    """

    def __init__(self, max_connections: int, connect_timeout_s: float, server_idle_timeout_s: float) -> None:
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_s
        self._initial_max_idle_s = self._max_idle_s = max(
            SAFE_REUSE_IDLE_S, server_idle_timeout_s * IDLE_TIMEOUT_FRACTION
        )
        self._servers: dict[int, Server] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._open_connection_count = 0

    def add_or_update(self, server_id: int, address: Address, ready: bool) -> None:
        """Record a server as discovery reports it; if it moved or isn't ready, close its idle connections."""
        server = self._servers.setdefault(server_id, Server(address))
        if not ready or server.address != address:
            self._close_idle_connections_to(server)
        server.ready = ready
        if ready:
            server.address = address

    def remove(self, server_id: int) -> None:
        """Forget a server that is gone; its outstanding attempts finish on their connections."""
        if server := self._servers.pop(server_id, None):
            server.ready = False
            self._close_idle_connections_to(server)

    def any_ready(self) -> bool:
        """Return whether any server takes new requests."""
        return any(server.ready for server in self._servers.values())

    def send(
        self,
        server_id: int,
        request: ServerRequest,
        deadline_s: float,
        on_end: Callable[[AttemptResult], None],
    ) -> Attempt:
        """Start an attempt over an idle connection, or over a new one.

        An `at_most_once` request reuses a connection only within SAFE_REUSE_IDLE_S: the server might be
        closing one that has been idle for longer, and the request can't be retried after a reset. So it
        waits for a connection that was used just before, where other requests use an older one or a new one.
        """
        attempt = Attempt(request, deadline_s, on_end)
        server = self._servers[server_id]
        max_idle_s = min(self._max_idle_s, SAFE_REUSE_IDLE_S) if request.at_most_once else self._max_idle_s
        if connection := self._take_idle_connection(server, max_idle_s):
            connection.start(attempt)
            return attempt
        resting_connection = self._take_resting_connection(server) if request.at_most_once else None
        coroutine = (
            self._start_after_rest(server, attempt, resting_connection)
            if resting_connection
            else self._connect(server, attempt)
        )
        task = asyncio.get_running_loop().create_task(coroutine)
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return attempt

    def _take_idle_connection(self, server: Server, max_idle_s: float) -> _ServerConnection | None:
        """Remove and return the most recently used reusable connection, or None if there is none.

        The connection has been idle for at most `max_idle_s`. Connections that can no longer be reused are
        closed on the way.
        """
        now_s = monotonic()
        for connection in reversed(tuple(server.idle_connections)):
            idle_s = now_s - connection.idle_since_s
            if idle_s < connection.min_idle_s:
                continue  # a duplicate of its last response may still arrive
            if max_idle_s < idle_s <= self._max_idle_s:
                return None  # still of use to other requests; the remaining ones have been idle even longer
            server.idle_connections.remove(connection)
            if idle_s <= max_idle_s and connection.is_reusable():
                connection.prior_idle_s = idle_s
                return connection
            connection.close_immediately()
        return None

    def _take_resting_connection(self, server: Server) -> _ServerConnection | None:
        """Remove and return the idle connection that may be reused next, or None if none is resting."""
        now_s = monotonic()
        for index, connection in enumerate(server.idle_connections):
            if now_s - connection.idle_since_s < connection.min_idle_s:
                return server.idle_connections.pop(index)
        return None

    async def _start_after_rest(
        self, server: Server, attempt: Attempt, connection: _ServerConnection
    ) -> None:
        """Start an attempt over a connection that may not be reused yet; if it breaks, over a new one."""
        address = server.address
        try:
            await asyncio.sleep(
                connection.idle_since_s + connection.min_idle_s - monotonic() + TIMER_RESOLUTION_S
            )
        except asyncio.CancelledError:
            connection.close_immediately()
            raise
        connection.prior_idle_s = monotonic() - connection.idle_since_s
        if connection.prior_idle_s > SAFE_REUSE_IDLE_S or not connection.is_reusable():
            connection.close_immediately()
            if not attempt.ended:
                await self._connect(server, attempt)
        else:
            self._start_if_still_wanted(server, address, attempt, connection)

    def _start_if_still_wanted(
        self, server: Server, address: Address, attempt: Attempt, connection: _ServerConnection
    ) -> None:
        """Start an attempt after a wait, unless it has ended by then or its request may no longer be written.

        The connection is then kept for the next attempt.
        """
        if not server.ready or server.address != address:
            # The server began to drain or moved meanwhile: no new request may go to this address.
            connection.close_immediately()
            attempt.end(AttemptResult(CallStatus.CONNECT_FAILED))
            return
        if monotonic() > attempt.request.write_by_s:  # its timer may be late
            attempt.end(AttemptResult(CallStatus.NOT_SENT))
        if attempt.ended:
            self.add_idle_connection(server, connection)
        else:
            connection.start(attempt)

    async def _connect(self, server: Server, attempt: Attempt) -> None:
        """Open a connection for an attempt; if the attempt has ended by then, keep it for the next one."""
        if self._open_connection_count >= self._max_connections and not self._close_longest_idle_connection():
            log.warning(
                "cannot open a connection to server %s: limit reached, %d are open and none is idle",
                server.address,
                self._open_connection_count,
            )
            attempt.end(AttemptResult(CallStatus.CONNECT_FAILED))
            return
        self._open_connection_count += 1
        address, sock = server.address, None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                loop = asyncio.get_running_loop()
                sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await loop.sock_connect(sock, address)
                connection = _ServerConnection(self, server, sock)
                await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError):
            self._open_connection_count -= 1
            if sock:
                sock.close()
            attempt.end(AttemptResult(CallStatus.CONNECT_FAILED))
            return
        self._start_if_still_wanted(server, address, attempt, connection)

    def add_idle_connection(self, server: Server, connection: _ServerConnection) -> None:
        """Keep a connection for reuse, unless its server takes no new requests."""
        if not server.ready:
            connection.close_immediately()
            return
        bisect.insort(server.idle_connections, connection, key=lambda idle: idle.idle_since_s)

    def handle_connection_closed(self, server: Server, connection: _ServerConnection) -> None:
        """Forget a connection that was closed."""
        self._open_connection_count -= 1
        if connection in server.idle_connections:
            server.idle_connections.remove(connection)

    def record_broken_connection(self, prior_idle_s: float) -> None:
        """Lower the bound on reuse after a connection broke under an attempt without any response.

        `prior_idle_s` is how long it had been idle before. Other idle connections may have been dropped
        after as long a time, without this side noticing. 0, for a new connection, tells nothing.
        """
        if prior_idle_s > 0:
            self._max_idle_s = min(
                self._max_idle_s, max(SAFE_REUSE_IDLE_S, prior_idle_s * BROKEN_IDLE_FRACTION)
            )

    def close_idle_connections(self, server_id: int) -> None:
        """Close the idle connections to a server, if it is known."""
        if server := self._servers.get(server_id):
            self._close_idle_connections_to(server)

    def _close_idle_connections_to(self, server: Server) -> None:
        for connection in server.idle_connections:
            connection.close_immediately()
        server.idle_connections.clear()

    def _close_longest_idle_connection(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
        servers_with_idle = [server for server in self._servers.values() if server.idle_connections]
        if not servers_with_idle:
            return False
        min(
            servers_with_idle, key=lambda server: server.idle_connections[0].idle_since_s
        ).idle_connections.pop(0).close_immediately()
        return True

    def close_expired_connections(self) -> None:
        """Close connections idle for too long, before the server closes them under a new request.

        Each call also raises a bound on reuse that `record_broken_connection` lowered.
        """
        self._max_idle_s = min(self._initial_max_idle_s, self._max_idle_s * MAX_IDLE_GROWTH_FACTOR)
        cutoff_s = monotonic() - self._max_idle_s
        for server in self._servers.values():
            while server.idle_connections and server.idle_connections[0].idle_since_s < cutoff_s:
                server.idle_connections.pop(0).close_immediately()

    def close(self) -> None:
        """Cancel the connects under way and close all idle connections."""
        for task in list(self._connect_tasks):
            task.cancel()
        for server in self._servers.values():
            self._close_idle_connections_to(server)
