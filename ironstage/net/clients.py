"""The client side: accepts connections, parses and validates requests, writes responses in request order.

`ironstage.net.limiter` gets the valid requests and answers them. Fields that end in `_s` are seconds.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import re
import socket
from collections import deque
from http import HTTPStatus
from time import monotonic

import httptools

from ironstage.interface import RetrySafety, Settings
from ironstage.net.config import Address
from ironstage.net.limiter import Limiter, RequestMetadata
from ironstage.net.paced_reader import MESSAGE_WORK, PacedReader

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
# Of a request's head, and of all that comes between two pieces of its body or after the last one: chunk
# extensions and trailer fields.
MAX_FRAMING_BYTES = 16 * 1024
MAX_FIELD_COUNT = 100  # header and trailer fields of a request
MAX_PIPELINED_REQUESTS = 4  # read ahead on a connection; further ones stay in the socket's buffer
ACCEPT_BATCH_SIZE = 64  # connections accepted in a row, before the event loop serves the open ones again
ACCEPT_RETRY_DELAY_S = 0.05  # while the limit on connections is reached or the descriptors have run out
# For reading a whole request, from its first byte; for the first request of a connection, from the connect.
# A connection that takes longer is closed.
REQUEST_READ_TIMEOUT_S = 2.0
LINGER_TIMEOUT_S = 1.0  # how long a client may go on sending a rejected request; then it is disconnected
MIN_DRAIN_LISTEN_S = 0.45  # new connections arrive for up to 0.4 s after SIGTERM
LISTEN_QUIET_PERIOD_S = 0.1  # a drain stops listening only this long after the last new connection
MAX_DRAIN_LISTEN_S = 0.6  # however many connections still arrive
# A new connection is kept this long for its first request, also at the connection limit and in a drain.
FIRST_REQUEST_GRACE_S = 0.3
FINAL_FLUSH_TIMEOUT_S = 0.2  # for writing what is buffered, after all connections were told to close

CUSTOMER_ID_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
CLIENT_REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,5}")
FIRST_PATH_SEGMENT_PATTERN = re.compile(rb"/([^/?#]*)")
RESOURCE_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
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


class BadRequestError(Exception):
    """A request is invalid; the message is the body of the response with `status_code`."""

    def __init__(self, status_code: int, message: str) -> None:
        super().__init__(message)
        self.status_code = status_code


class HttpRequest:
    """A client's request and, once it is known, its response: status code, header lines and body.

    `keep_alive` tells whether the connection may stay open after the response. `request_id` is the
    limiter's number for the request; it stays 0 for one that the limiter was not given.
    """

    __slots__ = ("_connection", "body", "forwarded_head", "keep_alive", "request_id", "response")

    def __init__(
        self,
        connection: _ClientConnection,
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
            self._connection.flush_responses()


class RequestValidator:
    """Validates requests against the settings.

    An invalid request is answered at once. The limiter never sees it, so it counts against no quota.
    """

    def __init__(self, settings: Settings) -> None:
        self._class_by_name = {c.name.encode(): (index, c.effect) for index, c in enumerate(settings.classes)}
        self._plan_index_by_name = {plan.name.encode(): index for index, plan in enumerate(settings.plans)}
        self._gateway_count = settings.gateway_count
        self._most_units = settings.most_units or math.inf

    def validate(
        self, method: bytes, url: bytes, headers: dict[bytes, bytes], has_body: bool
    ) -> RequestMetadata:
        """Return the metadata of a request, or raise `BadRequestError`; header names are in lower case."""
        path = FIRST_PATH_SEGMENT_PATTERN.match(url)
        if path is None or path[1] not in self._class_by_name:
            raise BadRequestError(404, "no such class in the path")
        if headers.get(b"req-kind") != path[1]:
            raise BadRequestError(400, "Req-Kind is not the class in the path")
        class_index, retry_safety = self._class_by_name[path[1]]
        self._check_method(method, retry_safety, headers, has_body)
        client_request_id = headers.get(b"req-id", b"")
        if not CLIENT_REQUEST_ID_PATTERN.fullmatch(client_request_id):
            raise BadRequestError(400, "Req-Id is missing or wrong")
        plan_index, api_key = (
            self._plan_index_by_name.get(headers.get(b"x-tier", b"")),
            headers.get(b"x-api-key", b""),
        )
        if plan_index is None:
            raise BadRequestError(400, "X-Tier is missing or names no plan")
        if not CUSTOMER_ID_PATTERN.fullmatch(api_key) or (customer_id := int(api_key, 16)) >= 1 << 33:
            raise BadRequestError(400, "X-Api-Key is missing or names no customer")
        client_timeout_s = _parse_positive_number(headers.get(b"req-deadline", b""), "Req-Deadline")
        units, customer_gateway_count = self._parse_call_terms(headers.get(b"x-call-terms", b""))
        return RequestMetadata(
            client_request_id,
            class_index,
            plan_index,
            customer_id,
            units,
            customer_gateway_count,
            client_timeout_s,
        )

    def _check_method(
        self, method: bytes, retry_safety: RetrySafety, headers: dict[bytes, bytes], has_body: bool
    ) -> None:
        """Check the method, the body and the Idempotency-Key against the class's retry safety."""
        if method != (b"GET" if retry_safety is RetrySafety.IDEMPOTENT else b"POST"):
            raise BadRequestError(405, "not the method of this class")
        if retry_safety is RetrySafety.IDEMPOTENT and has_body:
            raise BadRequestError(400, "a GET with a body")
        if (retry_safety is RetrySafety.DEDUPLICATED) != bool(headers.get(b"idempotency-key")):
            raise BadRequestError(400, "Idempotency-Key is missing, or not of this class")

    def _parse_call_terms(self, raw: bytes) -> tuple[float, int]:
        """Return the request's units and the number of gateways that its customer's requests are spread over.

        Values out of range are rejected here: the decision module would apply them to the customer that the
        request names.
        """
        pairs = [part.strip().partition(b"=")[::2] for part in raw.split(b",")]
        terms = dict(pairs)
        if len(terms) < len(pairs):
            raise BadRequestError(400, "X-Call-Terms tells something twice")
        units = _parse_positive_number(terms.get(b"units", b""), "units in X-Call-Terms")
        spread, first = terms.get(b"spread", b""), terms.get(b"first", b"")
        if units > self._most_units:
            raise BadRequestError(400, "more units than a request can take")
        if not (INTEGER_PATTERN.fullmatch(spread) and INTEGER_PATTERN.fullmatch(first)):
            raise BadRequestError(400, "spread or first in X-Call-Terms is missing or wrong")
        if not (0 < int(spread) <= self._gateway_count and int(first) < self._gateway_count):
            raise BadRequestError(400, "spread or first in X-Call-Terms is out of range")
        return units, int(spread)


def _parse_positive_number(raw: bytes, name: str) -> float:
    value = float(raw) if DECIMAL_PATTERN.fullmatch(raw) else 0.0
    if value <= 0:
        raise BadRequestError(400, f"{name} is not a number above 0")
    return value


class _ClientConnection(PacedReader):
    """A client's connection: parses its requests and writes their responses in order.

    Points in time are seconds of `time.monotonic`.
    """

    def __init__(self, clients: Clients) -> None:
        super().__init__()
        self._clients = clients
        self._parser = httptools.HttpRequestParser(self)
        self._unanswered_requests: deque[HttpRequest] = deque()
        self._parsing = False  # in the middle of a turn; responses wait until its end
        self._needs_lingering_close = False  # the sender of a rejected request may still be sending it
        self._input_closed = False  # no further request is read
        self._writing_paused = False  # the client does not read its responses: the write buffer is full
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._field_count = 0  # of header and trailer fields
        self._body = bytearray()
        self._framing_bytes = 0  # received since the start of the request, or since a piece of its body
        self._head_complete = False
        self.request_started_s: float | None = None  # start of the request that is being received
        self.connected_s = monotonic()
        self.has_sent_response = False
        self.has_received_request = False

    # --- Connection ----------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._clients.idle_connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._input_closed = True
        del self._parser  # breaks a reference cycle that only the garbage collector would free
        self._clients.remove_connection(self)
        requests, self._unanswered_requests = self._unanswered_requests, deque()
        self._drop_partial_body()
        for request in requests:
            self._clients.release_body_bytes(len(request.body))
            if request.response is None:
                self._clients.limiter.abandon(request.request_id)

    def pause_writing(self) -> None:
        self._writing_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        self._writing_paused = False
        self.resume_parsing()

    def may_parse(self) -> bool:
        """Return whether the next request may be read.

        Not while too many requests are unanswered or the client does not read its responses, as one client
        could fill the memory otherwise.
        """
        return not self._writing_paused and len(self._unanswered_requests) < MAX_PIPELINED_REQUESTS

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
        self._parsing = False
        self.flush_responses()

    def on_message_begin(self) -> None:
        # Not set with the first byte received: an empty line after a request does not start another one.
        self.request_started_s = monotonic()
        self._clients.idle_connections.pop(self, None)
        self._clients.receiving_connections[self] = None
        self._url, self._headers, self._field_count = b"", {}, 0
        self._body, self._head_complete, self._framing_bytes = bytearray(), False, 0

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
        self._head_complete, self._framing_bytes = True, 0
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
        elif self._clients.reserve_body_bytes(len(body)):
            self._body += body
        else:
            self.reject(503)  # the bodies of many connections together could exceed the memory limit

    def on_message_complete(self) -> None:
        self.count_work(MESSAGE_WORK)
        self.request_started_s, self._head_complete = None, False
        self.has_received_request = True
        self._clients.receiving_connections.pop(self, None)
        if self._input_closed:
            return
        # After an upgrade to another protocol no further HTTP request can be recognised.
        keep_alive = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        self._input_closed = not keep_alive
        self._handle_request(keep_alive)

    def _handle_request(self, keep_alive: bool) -> None:
        """Submit a complete request to the limiter, or answer it here: a readiness check or a bad request."""
        method, url, body = self._parser.get_method(), self._url, bytes(self._body)
        self._body = bytearray()
        self._clients.release_body_bytes(len(body))
        if url.partition(b"?")[0] == b"/up":
            self._respond(keep_alive, 200 if self._clients.ready else 503)
            return
        try:
            metadata = self._clients.validator.validate(method, url, self._headers, bool(body))
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
        # Reserves again what was released above, until the request is answered.
        self._clients.reserve_body_bytes(len(body))
        request = HttpRequest(self, keep_alive, b"".join([*head, b"\r\n"]), body)
        self._unanswered_requests.append(request)
        request.request_id = self._clients.limiter.submit(request, metadata)

    def _respond(self, keep_alive: bool, status_code: int, text: str = "") -> None:
        """Answer a request without submitting it to the limiter."""
        request = HttpRequest(self, keep_alive)
        self._unanswered_requests.append(request)
        request.answer(status_code, text.encode(), b"text/plain" if text else b"")

    def _drop_partial_body(self) -> None:
        self._clients.release_body_bytes(len(self._body))
        self._body = bytearray()

    def reject(self, status_code: int) -> None:
        """Answer a request that can't be read to its end, after the responses due before it; then close."""
        if not self._input_closed:
            self._input_closed = self._needs_lingering_close = True
            self._clients.receiving_connections.pop(self, None)
            self._drop_partial_body()
            self._respond(False, status_code)

    # --- Responding ----------------------------------------------------------------------------
    def flush_responses(self) -> None:
        """Write the responses that are ready and next in the order of the requests, in a single write."""
        if self._transport is None or self._transport.is_closing() or self._parsing:
            return
        parts, is_last = [], False
        while self._unanswered_requests and (response := self._unanswered_requests[0].response):
            request = self._unanswered_requests.popleft()
            self._clients.release_body_bytes(len(request.body))
            status_code, headers, body = response
            is_last = not self._unanswered_requests and (
                not request.keep_alive or (self._clients.draining and not self._unparsed)
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
            self._transport.write(b"".join(parts))
            self.resume_parsing()
        if is_last:
            self._close_after_last_response()
        elif self.idle and not self._input_closed:
            self._clients.idle_connections[self] = None

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
            asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._transport.abort)


class Clients:
    """Accepts client connections, bounds their number and memory, and drains them gracefully.

    At most `max_connections` connections are open, and at most `max_buffered_body_bytes` of request
    bodies are buffered.
    """

    def __init__(
        self,
        limiter: Limiter,
        settings: Settings,
        address: Address,
        max_connections: int,
        max_buffered_body_bytes: int,
    ) -> None:
        self.limiter = limiter
        self.validator = RequestValidator(settings)
        self.draining = False
        # Connections between requests, the one that has been idle for longest first.
        self.idle_connections: dict[_ClientConnection, None] = {}
        # Connections in the middle of receiving a request, the one whose request started first in front.
        self.receiving_connections: dict[_ClientConnection, None] = {}
        self._open_connections: set[_ClientConnection] = set()
        self._connection_start_tasks: set[asyncio.Task[None]] = set()
        self._max_connections = max_connections
        self._max_buffered_body_bytes = max_buffered_body_bytes
        self._buffered_body_bytes = 0  # of requests that are being received or wait for their response
        self._last_accept_s = 0.0
        self._accepting = False
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener = socket.create_server(address, family=family, backlog=1024)
        self._listener.setblocking(False)

    @property
    def address(self) -> Address:
        """The host and port that the listener is bound to."""
        host, port, *_ = self._listener.getsockname()
        return host, port

    @property
    def ready(self) -> bool:
        """Whether requests can be sent on to a server and no drain has begun."""
        return self.limiter.ready and not self.draining

    def listen(self) -> None:
        """Start to accept connections, or resume after a pause; without effect on a closed listener."""
        if not self._accepting and self._listener.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._listener, self._accept_connections)

    def _pause_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._listener)

    def _pause_accepting_for(self, delay_s: float) -> None:
        """Leave new connections in the backlog for a while, rather than retry in a busy loop."""
        self._pause_accepting()
        asyncio.get_running_loop().call_later(delay_s, self.listen)

    def stop_listening(self) -> None:
        """Close the listener; open connections stay."""
        self._pause_accepting()
        self._listener.close()

    def _accept_connections(self) -> None:
        for _ in range(ACCEPT_BATCH_SIZE):
            if len(self._open_connections) >= self._max_connections and not self._evict_connection():
                self._pause_accepting_for(ACCEPT_RETRY_DELAY_S)
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTION_ERRNOS:
                    raise
                log.warning("no descriptor for a new connection: %s", error)
                self._evict_connection()
                self._pause_accepting_for(ACCEPT_RETRY_DELAY_S)
                return
            self._last_accept_s = monotonic()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _ClientConnection(self)
            self._open_connections.add(connection)
            task = asyncio.get_running_loop().create_task(self._start_connection(connection, sock))
            self._connection_start_tasks.add(task)
            task.add_done_callback(self._connection_start_tasks.discard)

    async def _start_connection(self, connection: _ClientConnection, sock: socket.socket) -> None:
        """Attach an accepted socket to its connection."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            log.warning("accepted client connection failed before it could be served: %s", error)
            sock.close()
            self.remove_connection(connection)

    def _evict_connection(self) -> bool:
        """Close the connection that has been idle for longest, or else the one with the slowest request.

        A new connection is spared for `FIRST_REQUEST_GRACE_S`. Return False if there was none to close.
        """
        cutoff_s = monotonic() - FIRST_REQUEST_GRACE_S
        connection = next(
            (c for c in self.idle_connections if c.has_sent_response or c.connected_s < cutoff_s), None
        )
        if connection is None:
            return self._time_out_slowest_request(cutoff_s)
        del self.idle_connections[connection]
        connection.close()
        return True

    def _time_out_slowest_request(self, cutoff_s: float) -> bool:
        """End the request that has been arriving for longest, if it started before `cutoff_s`.

        Many clients that send slowly must not keep others out. Return whether a request was ended.
        """
        connection = next((c for c in self.receiving_connections if c.is_stalled(cutoff_s)), None)
        if connection is None:
            return False
        connection.reject(408)
        connection.close_without_linger()
        return True

    def reserve_body_bytes(self, size_bytes: int) -> bool:
        """Count part of a request body as buffered; return False if that would exceed the memory limit."""
        if self._buffered_body_bytes + size_bytes > self._max_buffered_body_bytes:
            return False
        self._buffered_body_bytes += size_bytes
        return True

    def release_body_bytes(self, size_bytes: int) -> None:
        """Count part of a request body as no longer buffered."""
        self._buffered_body_bytes -= size_bytes

    def remove_connection(self, connection: _ClientConnection) -> None:
        """Remove a connection that has ended from the tables."""
        self._open_connections.discard(connection)
        self.idle_connections.pop(connection, None)
        self.receiving_connections.pop(connection, None)

    def close_stalled_connections(self) -> None:
        """End requests that never arrive in full, and connections on which nothing ever arrives.

        Each of them would occupy its socket forever.
        """
        cutoff_s = monotonic() - REQUEST_READ_TIMEOUT_S
        for connection in [c for c in self._open_connections if c.is_stalled(cutoff_s)]:
            if connection.request_started_s is None:
                connection.close()
            else:
                connection.reject(408)

    async def drain(self) -> None:
        """Shut down gracefully: listen while connections still arrive, then finish all requests and close."""
        start_s = monotonic()
        self.draining = True
        self._close_idle_connections(start_s)
        while (now_s := monotonic()) < start_s + MAX_DRAIN_LISTEN_S:
            if now_s >= max(start_s + MIN_DRAIN_LISTEN_S, self._last_accept_s + LISTEN_QUIET_PERIOD_S):
                break
            await asyncio.sleep(0.01)
        self._accept_connections()  # those that arrived since the event loop last polled the listener
        self.stop_listening()
        while self.limiter.open_request_count or any(
            connection.expects_request(monotonic() - FIRST_REQUEST_GRACE_S)
            for connection in self._open_connections
        ):
            self._close_idle_connections(monotonic())
            await asyncio.sleep(0.01)
        for connection in list(self._open_connections):
            connection.close()
        end_s = monotonic() + FINAL_FLUSH_TIMEOUT_S
        while self._open_connections and monotonic() < end_s:
            await asyncio.sleep(0.01)

    def _close_idle_connections(self, now_s: float) -> None:
        """Close idle connections, except new ones within `FIRST_REQUEST_GRACE_S` of their connect."""
        for connection in [
            c
            for c in self.idle_connections
            if c.has_sent_response or c.connected_s < now_s - FIRST_REQUEST_GRACE_S
        ]:
            self.idle_connections.pop(connection, None)
            connection.close()
