"""One client's connection: parses its requests, submits them, and writes the responses in request order.

Fields that end in `_s` are seconds; points in time are of `time.monotonic`.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from http import HTTPStatus
from time import monotonic

import httptools

from ironstage.net.limiter import Limiter
from ironstage.net.memory import Holding, MemoryAccount, Purpose
from ironstage.net.paced_reader import MAX_BULK_READ_BYTES, MESSAGE_WORK, PacedReader, write_parts
from ironstage.net.request_validation import BadRequestError, RequestValidator

MAX_BODY_BYTES = 64 * 1024
# Of a request's head, and of all that comes between two pieces of its body or after the last one: chunk
# extensions and trailer fields.
MAX_FRAMING_BYTES = 16 * 1024
MAX_FIELD_COUNT = 100  # header and trailer fields of a request
MAX_PIPELINED_REQUESTS = 4  # unanswered on a connection; further ones wait to be parsed
MAX_READ_AHEAD_BYTES = 256 * 1024  # of such requests; more wait in the kernel
CLOSE_CHECK_INTERVAL_S = 0.025  # no attempt may begin later than 0.1 s after its client's close
RECEIVING_BYTES = 2 * 1024  # for the objects of a request that is being received, beside its bytes
LINGER_TIMEOUT_S = 1.0  # how long a client may go on sending a rejected request; then it is disconnected

# A request that repeats one of these headers with a different value is rejected, because the limiter and
# another reader of the request could each use a different one.
SINGLE_VALUE_HEADERS = frozenset(
    [
        b"content-length",
        b"idempotency-key",
        b"req-deadline",
        b"req-id",
        b"req-kind",
        b"transfer-encoding",
        b"x-api-key",
        b"x-call-terms",
        b"x-tier",
    ]
)
# The only header fields that are used; no others are kept.
KEPT_HEADERS = SINGLE_VALUE_HEADERS | {b"content-type", b"expect"}
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class HttpRequest:
    """A client's request and, once it is known, its response: status code, header lines and body.

    `keep_alive` tells whether the connection may stay open after the response. `request_id` is the
    limiter's number for the request; it stays 0 for one that the limiter was not given.
    """

    __slots__ = ("_connection", "body", "forwarded_head", "keep_alive", "request_id", "response")

    def __init__(
        self,
        connection: ClientConnection,
        keep_alive: bool,
        forwarded_head: bytes = b"",
        body: bytes = b"",
    ) -> None:
        self._connection = connection
        self.keep_alive = keep_alive
        self.forwarded_head = forwarded_head
        self.body = body
        self.request_id = 0
        self.response: tuple[int, bytes, bytes] | None = None

    def answer(
        self, status_code: int, body: bytes = b"", content_type: bytes = b"", retry_after_s: float = 0.0
    ) -> None:
        """Set the response, which is written once all earlier ones are; a second response is ignored."""
        if self.response is None:
            headers = b"Content-Type: " + content_type + b"\r\n" if content_type else b""
            if retry_after_s > 0:
                headers += f"Retry-After: {retry_after_s:.3f}\r\n".encode()
            self.response = status_code, headers, body
            self.forwarded_head = self.body = b""  # attempts that are still outstanding have their own
            self._connection.flush_responses()


def has_closed(descriptor: int) -> bool:
    """Return whether the other side has closed or reset a connection, also behind data that is unread."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def has_data(descriptor: int) -> bool:
    """Return whether data waits to be read from a connection."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return any(events & select.POLLIN and not events & select.POLLHUP for _, events in poll.poll(0))


class ConnectionTable:
    """The open client connections, and what they share."""

    def __init__(self, limiter: Limiter, validator: RequestValidator, memory: MemoryAccount) -> None:
        self.limiter = limiter
        self.validator = validator
        self.draining = False
        self.open: set[ClientConnection] = set()
        # Connections between requests, the one that has been idle for longest first.
        self.idle: dict[ClientConnection, None] = {}
        # Connections that are not read at present: the event loop does not tell if their clients close them.
        self.unread: dict[ClientConnection, None] = {}
        # Connections in the middle of receiving a request, the one whose request started first in front.
        self.receiving: dict[ClientConnection, None] = {}
        self._close_check_timer: asyncio.TimerHandle | None = None  # runs while a connection is unread
        self.memory = memory

    @property
    def ready(self) -> bool:
        """Whether requests can be sent on to a server and no drain has begun."""
        return self.limiter.ready and not self.draining

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.open.discard(connection)
        self.idle.pop(connection, None)
        self.receiving.pop(connection, None)
        self.unread.pop(connection, None)

    def set_unread(self, connection: ClientConnection, is_unread: bool) -> None:
        """Record whether a connection is read; one that is not is looked at regularly."""
        if not is_unread:
            self.unread.pop(connection, None)
            return
        self.unread[connection] = None
        if self._close_check_timer is None:
            self._schedule_close_check()

    def _schedule_close_check(self) -> None:
        self._close_check_timer = asyncio.get_running_loop().call_later(
            CLOSE_CHECK_INTERVAL_S, self._end_closed_connections
        )

    def _end_closed_connections(self) -> None:
        """End the unread connections that their clients have closed or reset."""
        self._close_check_timer = None
        for connection in [connection for connection in self.unread if has_closed(connection.descriptor)]:
            connection.handle_client_close()
        if self.unread:
            self._schedule_close_check()


class ClientConnection(PacedReader):
    """A client's connection: parses its requests and writes their responses in order.

    Points in time are seconds of `time.monotonic`.
    """

    def __init__(self, table: ConnectionTable) -> None:
        super().__init__()
        self._table = table
        # None once no further request is read: the parser holds what it has of an incomplete field.
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._unanswered_requests: deque[HttpRequest] = deque()
        self._parsing = False  # in the middle of a turn; responses wait until its end
        self._needs_lingering_close = False  # the sender of a rejected request may still be sending it
        self._input_closed = False  # no further request is read
        self._writing_paused = False  # the client does not read its responses: the write buffer is full
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._field_count = 0  # of header and trailer fields
        self._body = bytearray()
        self._head_bytes = 0  # of the request that is being received
        self._framing_bytes = 0  # received since the start of the request, or since a piece of its body
        self._head_complete = False
        self._holding = Holding(table.memory)
        self._linger_timer: asyncio.TimerHandle | None = None  # set in a lingering close
        self.writing_since_s: float | None = None  # since when a response has been written in part
        self._unwritten_bytes = 0  # of responses, when last looked at
        self._last_read_s = 0.0  # when the client was last seen to have read some of it
        self.request_started_s: float | None = None  # start of the request that is being received
        self.descriptor = -1  # of the socket
        self.connected_s = monotonic()
        self.has_sent_response = False
        self.has_received_request = False

    # --- Connection ----------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport
        self.descriptor = self._transport.get_extra_info("socket").fileno()
        # With this limit, resume_writing is called once the last byte has been written.
        self._transport.set_write_buffer_limits(high=0)
        self._table.idle[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._input_closed = True
        self._parser = None  # breaks a reference cycle that only the garbage collector would free
        self._table.remove(self)
        if self._linger_timer:  # else the timer would keep the connection's objects
            self._linger_timer.cancel()
        self._body, self._transport = bytearray(), None
        self._holding.release()
        self._abandon_requests()

    def eof_received(self) -> None:
        self.handle_client_close()

    def handle_client_close(self) -> None:
        """Give up the requests of a client that has closed its connection, and close it from this side."""
        self._unparsed = bytearray()
        self._table.unread.pop(self, None)
        self.close()
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        requests, self._unanswered_requests = self._unanswered_requests, deque()
        for request in requests:
            if request.response is None:
                self._table.limiter.abandon(request.request_id)

    def reading_changed(self, is_paused: bool) -> None:
        self._table.set_unread(self, is_paused)

    def pause_writing(self) -> None:
        self._writing_paused = True
        self.writing_since_s = self._last_read_s = monotonic()
        self.update_reading()

    def resume_writing(self) -> None:
        self._writing_paused = False
        self.writing_since_s = None
        self._holding.take_over(self._held_bytes())
        self.resume_parsing()

    def resume_parsing(self) -> None:
        """Go on with the next request, unless the client has closed the connection meanwhile."""
        if self in self._table.unread and has_closed(self.descriptor):
            self.handle_client_close()
        else:
            super().resume_parsing()

    def is_write_stalled(self, cutoff_s: float) -> bool:
        """Return whether the client has read nothing of a response since before `cutoff_s`."""
        if self._transport is None or self.writing_since_s is None:
            return False
        unwritten_bytes = self._transport.get_write_buffer_size()
        if unwritten_bytes != self._unwritten_bytes:
            self._unwritten_bytes, self._last_read_s = unwritten_bytes, monotonic()
        return self._last_read_s < cutoff_s

    def abort(self) -> None:
        """Close at once, without the responses that the client does not read."""
        self._input_closed, self.writing_since_s = True, None
        self._holding.release()
        if self._transport:
            self._transport.abort()

    def _held_bytes(self) -> int:
        """Return how much memory is held beside the connection itself and its submitted requests."""
        if self._transport is None:  # the connection has ended
            return 0
        held_bytes = len(self._unparsed) + self._transport.get_write_buffer_size()
        for request in self._unanswered_requests:
            held_bytes += len(request.response[2]) if request.response else 0
        if self.request_started_s is not None and not self._input_closed:
            held_bytes += RECEIVING_BYTES + self._head_bytes + self._framing_bytes
            held_bytes += len(self._body) * 9 // 8  # a growing buffer is up to an eighth larger
        return held_bytes

    def may_parse(self) -> bool:
        """Return whether the next request may be read.

        Not while too many requests are unanswered or the client does not read its responses, as one client
        could fill the memory otherwise.
        """
        return not self._writing_paused and len(self._unanswered_requests) < MAX_PIPELINED_REQUESTS

    def read_ahead_bytes(self) -> int:
        """Return how much may be received behind unanswered requests, as far as there is memory for it.

        Nothing while the client does not read its responses.
        """
        may_read = not self._writing_paused and not self._input_closed
        has_memory = self._table.memory.fits(MAX_BULK_READ_BYTES, Purpose.INCOMPLETE_INPUT)
        return MAX_READ_AHEAD_BYTES if may_read and has_memory else 0

    def discards_input(self) -> bool:
        return self._input_closed or super().discards_input()

    def close(self) -> None:
        """Read no further request, and close once what is buffered is written."""
        self._input_closed = True
        if self._transport:
            self._transport.close()

    def close_without_linger(self) -> None:
        """Close without the lingering period that `reject` leaves, unless responses are still due."""
        if self._transport and not self._unanswered_requests:
            self._transport.close()

    def expects_request(self, cutoff_s: float) -> bool:
        """Return whether a request may still arrive in full.

        True if the connection was opened after `cutoff_s` and has sent no response yet, or if a request that
        began to arrive after `cutoff_s` is being received.
        """
        return (not self.has_sent_response and self.connected_s > cutoff_s) or (
            self.request_started_s is not None and self.request_started_s > cutoff_s
        )

    def is_stalled(self, cutoff_s: float) -> bool:
        """Return whether a request has been arriving, or the first one awaited, since before `cutoff_s`.

        False while the connection reads no input.
        """
        since_s = self.request_started_s if self.has_received_request else self.connected_s
        return since_s is not None and since_s < cutoff_s and not self._input_closed and self.may_parse()

    @property
    def idle(self) -> bool:
        """Whether no request is being received, waits to be parsed or waits for its response."""
        return not self._unanswered_requests and self.request_started_s is None and not self._unparsed

    # --- Receiving -----------------------------------------------------------------------------
    def bulk_bytes(self) -> int:
        """Return how much is missing of a body with a length."""
        if not self._head_complete or self._input_closed:
            return 0
        length = self._headers.get(b"content-length", b"")
        return int(length) - len(self._body) if length.isdigit() else 0

    def parse_piece(self, piece: memoryview) -> None:
        """Parse a piece of the requests.

        Responses are written at the end of the turn: a drain closes the connection after the last response,
        and the rest of the data may hold another request.
        """
        assert self._parser
        self._parsing = True
        self._framing_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self._input_closed = True  # the request itself was handled as any other
        except httptools.HttpParserError:
            self.reject(400)
        if self.request_started_s is None:
            self._framing_bytes = 0  # an empty line between requests
        elif self._framing_bytes > MAX_FRAMING_BYTES:
            self.reject(431)

    def finish_turn(self) -> None:
        if not self._input_closed and not self._holding.resize(self._held_bytes(), Purpose.INCOMPLETE_INPUT):
            self.reject(503)
        self._parsing = False
        if self._input_closed:
            self._parser = None
        self.flush_responses()

    def on_message_begin(self) -> None:
        # Not set with the first byte received: an empty line after a request does not start another one.
        self.request_started_s = monotonic()
        self._table.idle.pop(self, None)
        self._table.receiving[self] = None
        self._url, self._headers, self._field_count = b"", {}, 0
        self._body, self._head_complete = bytearray(), False
        self._head_bytes = self._framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        self.count_work()
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_work()
        self._field_count += 1
        if self._field_count > MAX_FIELD_COUNT:
            self.reject(431)
        name, value = name.lower(), value.strip()
        if self._head_complete or name not in KEPT_HEADERS:  # a trailer field is no header
            return
        if name in SINGLE_VALUE_HEADERS and self._headers.get(name, value) != value:
            self.reject(400)
        self._headers[name] = value

    def on_headers_complete(self) -> None:
        self._head_complete = True
        self._head_bytes, self._framing_bytes = self._framing_bytes, 0
        length = self._headers.get(b"content-length", b"0")
        if (coding := self._headers.get(b"transfer-encoding")) is not None and (
            b"content-length" in self._headers or coding.lower() != b"chunked"
        ):
            self.reject(400)  # request smuggling: the body may hide another request
        elif length.isdigit() and int(length[:9]) > MAX_BODY_BYTES:
            self.reject(413)
        elif (
            self._headers.get(b"expect", b"").lower() == b"100-continue"
            and not self._unanswered_requests
            and self._transport
        ):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.count_work()
        self._framing_bytes = 0
        if self._input_closed:
            return
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            self.reject(413)
        else:
            self._body += body

    def on_message_complete(self) -> None:
        self.count_work(MESSAGE_WORK)
        self.request_started_s, self._head_complete = None, False
        self.has_received_request = True
        self._table.receiving.pop(self, None)
        if self._input_closed or self._parser is None:
            return
        # After an upgrade to another protocol no further HTTP request can be recognised.
        keep_alive = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        self._input_closed = not keep_alive
        self._handle_request(self._parser.get_method(), keep_alive)

    def _handle_request(self, method: bytes, keep_alive: bool) -> None:
        """Submit a complete request to the limiter, or answer it here: a readiness check or a bad request."""
        url, body = self._url, bytes(self._body)
        self._body = bytearray()
        if url.partition(b"?")[0] == b"/up":
            self._respond(keep_alive, 200 if self._table.ready else 503)
            return
        try:
            metadata = self._table.validator.validate(method, url, self._headers, bool(body))
        except BadRequestError as error:
            self._respond(keep_alive, error.status_code, str(error))
            return
        head = [method, b" ", url, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ", self._headers[b"req-id"]]
        if idempotency_key := self._headers.get(b"idempotency-key"):
            head += [b"\r\nIdempotency-Key: ", idempotency_key]
        if content_type := self._headers.get(b"content-type"):
            head += [b"\r\nContent-Type: ", content_type]
        if method == b"POST":
            head += [b"\r\nContent-Length: ", str(len(body)).encode()]
        self._holding.take_over(self._held_bytes())  # the limiter reserves what it holds from here on
        request = HttpRequest(self, keep_alive, b"".join([*head, b"\r\n"]), body)
        self._unanswered_requests.append(request)
        waited_s = monotonic() - self.arrived_s if self.arrived_s is not None else 0.0
        request.request_id = self._table.limiter.submit(request, metadata, waited_s)

    def _respond(self, keep_alive: bool, status_code: int, text: str = "") -> None:
        """Answer a request without submitting it to the limiter."""
        request = HttpRequest(self, keep_alive)
        self._unanswered_requests.append(request)
        request.answer(status_code, text.encode(), b"text/plain" if text else b"")

    def reject(self, status_code: int) -> None:
        """Answer a request that can't be read to its end, after the responses due before it; then close."""
        if not self._input_closed:
            self._input_closed = self._needs_lingering_close = True
            self._table.receiving.pop(self, None)
            self._url, self._headers, self._body = b"", {}, bytearray()
            if not self._parsing:
                self._parser = None
            self._respond(False, status_code)

    # --- Responding ----------------------------------------------------------------------------
    def flush_responses(self) -> None:
        """Write the responses that are ready and next in the order of the requests, in a single write."""
        if self._transport is None or self._transport.is_closing() or self._parsing:
            return
        parts, is_last = [], False
        while self._unanswered_requests and (response := self._unanswered_requests[0].response):
            request = self._unanswered_requests.popleft()
            status_code, headers, body = response
            is_last = not self._unanswered_requests and (
                not request.keep_alive or (self._table.draining and not self._unparsed)
            )
            parts += [
                f"HTTP/1.1 {status_code} {REASON_PHRASES[status_code]}\r\n"
                f"Content-Length: {len(body)}\r\n".encode(),
                headers,
                b"Connection: close\r\n\r\n" if is_last else b"\r\n",
                body,
            ]
        if parts:
            self.has_sent_response = True
            write_parts(self._transport, parts)
            self.resume_parsing()
        self._holding.take_over(self._held_bytes())
        if is_last:
            self._close_after_last_response()
        elif self.idle and not self._input_closed:
            self._table.idle[self] = None

    def _close_after_last_response(self) -> None:
        """Close the connection, at once or by a lingering close.

        If the client is still sending, closing at once would reset the connection, and the client could lose
        the last response.
        """
        self._input_closed = True
        if self._transport is None:
            return
        if not self._needs_lingering_close:
            self._transport.close()
        else:
            self.request_started_s = None
            self._transport.write_eof()
            self._linger_timer = asyncio.get_running_loop().call_later(
                LINGER_TIMEOUT_S, self._transport.abort
            )
