"""The server side over real sockets: how attempts end, and which connections are reused.

An at-most-once request gets a 429, which permits a retry, only if it certainly never ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

import pytest
from sockets import (
    SETTINGS,
    Backend,
    ReceivedRequest,
    backend,
    build_request,
    discovery_agent,
    host_entry,
    host_list,
    run,
    running_limiter,
    unused_address,
    wait_until,
)

from ironstage import policy
from ironstage.interface import CallStatus
from ironstage.net import server_connection as connection_module
from ironstage.net import servers as servers_module
from ironstage.net.attempt import AttemptResult, ServerRequest
from ironstage.net.memory import MemoryAccount
from ironstage.net.servers import Servers

DECLINED_HEADER = "Srv-Declined: 1"
HOLD_UP_S = 0.15  # the longest for which a limiter is held up between reading its clock and writing
DEDUPLICATION_WINDOW_S = 1.0
TIME_LIMIT_SLACK_S = 0.05  # of every time limit of the protocol


def make_servers(max_connections: int, server_idle_timeout_s: float = 30.0) -> Servers:
    """Return servers without any entry, with ample memory."""
    return Servers(max_connections, 1.0, server_idle_timeout_s, MemoryAccount(1 << 26))


async def request_once(server: Backend, class_name: str = "fix", **headers: str) -> tuple[int, int, bytes]:
    """Send one request through a limiter; return status, number of requests at the server, and body."""
    async with running_limiter(host_entry("a", server.address)) as fixture:
        client = await fixture.connect()
        response = await client.request(build_request(class_name, **headers))
        return response.status_code, len(server.requests), response.body


@pytest.mark.parametrize(
    ("server_status", "header", "client_status_code", "attempt_count"),
    [
        ("200 OK", "X-Other: 1", 200, 1),
        ("500 Internal Server Error", "X-Other: 1", 502, 1),
        ("503 Service Unavailable", DECLINED_HEADER, 429, 1),
        ("504 Gateway Timeout", DECLINED_HEADER, 429, 1),
        ("503 Service Unavailable", "X-Other: 1", 502, 1),
        ("504 Gateway Timeout", "Srv-Declined: 0", 502, 1),
        ("500 Internal Server Error", DECLINED_HEADER, 502, 1),
        ("404 Not Found", "X-Other: 1", 502, 1),
    ],
)
def test_server_response_determines_client_status(
    server_status: str, header: str, client_status_code: int, attempt_count: int
) -> None:
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply(server_status, b"body", header)

        async with backend(handler) as server:
            result = await request_once(server)
        assert result == (client_status_code, attempt_count, b"body" if client_status_code == 200 else b"")

    run(test())


def test_request_line_ids_and_bodies_are_forwarded_unchanged() -> None:
    """The forwarded Req-Deadline is the time left, at most the client's 90 s."""

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply(body=b"\x00\xff" * 30000)

        async with backend(handler) as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            response = await client.request(build_request("upload", "id-7", b"\x00payload\xff"))
            assert response.body == b"\x00\xff" * 30000
            [received_request] = server.requests
            assert received_request.request_line == "POST /upload/7?a=%20b HTTP/1.1"
            assert received_request.body == b"\x00payload\xff"
            assert received_request.headers["req-id"] == "id-7"
            assert received_request.headers["idempotency-key"] == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
            assert 0 < float(received_request.headers["req-deadline"]) <= 90.0

    run(test())


def test_forwarded_deadline_leaves_out_the_time_for_opening_a_connection() -> None:
    # Guards against servers that are told more than is left to the client, and work for one that has gone.
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply()

        async with backend(handler) as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            server.hold_up_s = 0.2  # before the request can be written
            await client.request(build_request("fix", Req_Deadline="5.0"))
            assert 0 < float(server.requests[0].headers["req-deadline"]) <= 5.0 - server.hold_up_s

    run(test())


def test_refused_connection_permits_retry() -> None:
    async def test() -> None:
        async with running_limiter(host_entry("a", unused_address())) as fixture:
            client = await fixture.connect()
            assert (await client.request(build_request("fix"))).status_code == 429

    run(test())


@contextlib.contextmanager
def unresponsive_listener() -> Iterator[str]:
    """Yield an address at which connects hang, because the listener's backlog is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
        host, port = listener.getsockname()
        yield f"{host}:{port}"


def test_connect_timeout_permits_retry() -> None:
    async def test() -> None:
        with unresponsive_listener() as address:
            async with running_limiter(host_entry("a", address)) as fixture:
                client = await fixture.connect()
                assert (await client.request(build_request("fix"))).status_code == 429

    run(test())


def test_deadline_during_connect_permits_retry() -> None:
    async def test() -> None:
        with unresponsive_listener() as address:
            async with running_limiter(host_entry("a", address), connect_timeout_s=20.0) as fixture:
                client = await fixture.connect()
                assert (await client.request(build_request("fix", Req_Deadline="0.2"))).status_code == 429

    run(test())


def test_reset_after_the_whole_request_permits_no_retry() -> None:
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reset_connection()

        async with backend(handler) as server:
            assert (await request_once(server))[:2] == (502, 1)

    run(test())


def test_truncated_response_permits_no_retry() -> None:
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            request.writer.close()

        async with backend(handler) as server:
            assert await request_once(server) == (502, 1, b"")

    run(test())


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INVALID_RESPONSES = {
    "not HTTP": b"\x00\x01\x02 nonsense\r\n\r\n",
    "invalid status code": b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
    "conflicting lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
    "negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
    "neither length nor end": b"HTTP/1.1 200 OK\r\n\r\nperhaps half",
    "two framings": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "invalid chunk size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
    "incomplete head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "incomplete body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
    "head too large": b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppp\r\n" * 2000,
    "endless interim responses": b"HTTP/1.1 102 Processing\r\n\r\n" * 1000,
    "trailer field too large": CHUNKED_HEAD + b"2\r\nok\r\n0\r\nX-Pad: " + b"p" * 20000,
    "too many trailer fields": CHUNKED_HEAD + b"2\r\nok\r\n0\r\n" + b"a:\r\n" * 5000,
    "chunk extension too large": CHUNKED_HEAD + b"2;x=" + b"p" * 20000,
    "length too large": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
    "chunks too large": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 70000,
}


@pytest.mark.parametrize("raw_response", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES.keys())
def test_invalid_response_permits_no_retry_and_keeps_server(raw_response: bytes) -> None:
    """The attempt ends without waiting for its deadline, and the request counts as possibly run.

    The rest of the response is not read, and the server stays in use.
    """

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            if len(server.requests) == 1:
                request.writer.write(raw_response)
                await request.wait_closed()
            else:
                request.reply(body=b"good")

        async with backend(handler) as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            assert (await client.request(build_request("fix", "invalid"))).status_code == 502
            assert not fixture.limiter._gateway.fleet.suspects
            assert (await client.request(build_request("fix", "next"))).body == b"good"
            assert len(server.requests) == 2

    run(test())


@pytest.mark.parametrize(
    "raw_response",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 500 X\r\nContent-Length: 1\r\n\r\nx",
    ],
    ids=["chunked", "interim response", "bytes after the response"],
)
def test_valid_framing_is_accepted(raw_response: bytes) -> None:
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.writer.write(raw_response)

        async with backend(handler) as server:
            assert await request_once(server) == (200, 1, b"whole")

    run(test())


def without_length(status: str, body: bytes, header: str = "Connection: close") -> bytes:
    """Return a response whose body ends with the connection."""
    return f"HTTP/1.1 {status}\r\n{header}\r\n\r\n".encode() + body


@pytest.mark.parametrize(
    ("pieces", "client_status_code", "client_body"),
    [
        ([without_length("200 OK", b"whole")], 200, b"whole"),
        ([without_length("200 OK", b"wh", "X-Other: 1"), b"ole"], 200, b"whole"),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", without_length("200 OK", b"whole")], 200, b"whole"),
        ([without_length("200 OK", b"")], 200, b""),
        ([without_length("200 OK", b"x" * 65536)], 200, b"x" * 65536),
        ([without_length("200 OK", b"x" * 65537)], 502, b""),
        ([without_length("500 Internal Server Error", b"whole")], 502, b""),
        ([without_length("503 Service Unavailable", b"", DECLINED_HEADER)], 429, b""),
        ([without_length("200 OK", b"whole", "Transfer-Encoding: gzip")], 502, b""),
        ([b"HTTP/1.1 200 OK\r\nConnection: close\r\n"], 502, b""),
    ],
    ids=[
        "in one piece",
        "in pieces",
        "after an interim response",
        "empty",
        "of the maximum size",
        "too large",
        "error",
        "declined",
        "encoded",
        "incomplete head",
    ],
)
def test_response_without_a_length_ends_with_its_connection(
    pieces: list[bytes], client_status_code: int, client_body: bytes
) -> None:
    # Guards against the loss of a whole response: its request has run and may be unsafe to repeat.
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            for piece in pieces:
                request.writer.write(piece)
                await request.writer.drain()
                await asyncio.sleep(0.01)
            request.writer.close()

        async with backend(handler) as server:
            assert await request_once(server) == (client_status_code, 1, client_body)

    run(test())


def test_reset_is_no_end_of_a_response_without_a_length() -> None:
    """What came before the reset is not forwarded, as it may be a part of the body only."""

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.writer.write(without_length("200 OK", b"perhaps half"))
            await asyncio.sleep(0.05)
            reset_on_close = struct.pack("ii", 1, 0)
            sock = request.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
            request.writer.transport.abort()

        async with backend(handler) as server:
            assert await request_once(server) == (502, 1, b"")

    run(test())


def test_interim_response_starts_no_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """An interim response does not tell when the final one begins."""
    monkeypatch.setattr(connection_module, "PARTIAL_RESPONSE_TIMEOUT_S", 0.02)

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await asyncio.sleep(0.2)
            request.reply(body=b"whole")

        async with backend(handler) as server:
            assert await request_once(server) == (200, 1, b"whole")

    run(test())


PIECEWISE_RESPONSES = {
    "with a length": [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", b"w", b"h", b"o", b"l", b"e"],
    "chunked": [CHUNKED_HEAD, b"2\r\nwh", b"\r\n3\r\no", b"le\r\n", b"0\r\n\r", b"\n"],
    "without a length": [b"HTTP/1.1 200 OK\r\n\r", b"\n", b"wh", b"o", b"l", b"e"],
    "a head in pieces": [b"HTTP/1.1 200", b" OK\r\nContent-Le", b"ngth: 5\r", b"\n\r\n", b"who", b"le"],
}


@pytest.mark.parametrize("pieces", PIECEWISE_RESPONSES.values(), ids=PIECEWISE_RESPONSES.keys())
def test_response_that_keeps_coming_is_forwarded(
    pieces: list[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a bound on the time from the first byte of a response to its end."""
    monkeypatch.setattr(connection_module, "PARTIAL_RESPONSE_TIMEOUT_S", 0.15)

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            for piece in pieces:
                request.writer.write(piece)
                await asyncio.sleep(0.05)
            request.writer.close()

        async with backend(handler) as server:
            assert await request_once(server) == (200, 1, b"whole")

    run(test())


def test_response_of_the_maximum_size_is_accepted() -> None:
    """The size of the head does not count towards the limit on the body, even if they arrive together."""

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 15000 + b"\r\nContent-Length: 65536\r\n\r\n"
            request.writer.write(head + b"x" * 50000)
            await asyncio.sleep(0.05)
            request.writer.write(b"x" * 15536)

        async with backend(handler) as server:
            assert (await request_once(server))[:2] == (200, 1)

    run(test())


def test_response_too_large_is_an_error() -> None:
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply(body=b"x" * 200_000)

        async with backend(handler) as server:
            assert await request_once(server) == (502, 1, b"")

    run(test())


def test_unresponsive_server_times_out() -> None:
    """The attempt times out, its connection is closed, and the client gets a response before its deadline."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            client.send(build_request("fix", Req_Deadline="0.3"))
            request = await server.request_queue.get()
            assert (await client.read_response()).status_code == 502
            await request.wait_closed()
            assert len(server.requests) == 1

    run(test())


async def send_and_wait(
    servers: Servers, server_id: int, request: ServerRequest, timeout_s: float = 20.0
) -> AttemptResult:
    """Send a request to a server and wait for the attempt's result."""
    loop = asyncio.get_running_loop()
    result_future: asyncio.Future[AttemptResult] = loop.create_future()
    servers.send(server_id, request, loop.time() + timeout_s, result_future.set_result)
    return await result_future


class Listener:
    """A server on plain sockets, so that the test controls what the kernel has received."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address: tuple[str, int] = self.socket.getsockname()

    async def accept(self) -> socket.socket:
        return (await asyncio.get_running_loop().sock_accept(self.socket))[0]


REQUEST = ServerRequest(b"POST /fix HTTP/1.1\r\nContent-Length: 0\r\n")
LARGE_REQUEST = ServerRequest(b"POST /fix HTTP/1.1\r\nContent-Length: 64000000\r\n", b"x" * 64_000_000)
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("timed_out", [False, True], ids=["connection closed", "timed out"])
def test_partially_written_request_counts_as_connect_failure(timed_out: bool) -> None:
    """A request that was not written whole never ran, however its attempt ends."""

    async def test() -> None:
        listener, servers = Listener(), make_servers(10)
        servers.add_or_update(1, listener.address, True)
        attempt_task = asyncio.create_task(
            send_and_wait(servers, 1, LARGE_REQUEST, 0.3 if timed_out else 20.0)
        )
        connection = await listener.accept()
        await asyncio.get_running_loop().sock_recv(connection, 100)
        if not timed_out:
            connection.close()
        assert (await attempt_task).status is CallStatus.CONNECT_FAILED

    run(test())


@pytest.mark.parametrize("error_after_s", [0.75, 0.95], ids=["before the deadline", "after it"])
def test_held_up_repeat_does_not_reach_a_server_after_its_window(error_after_s: float) -> None:
    """A repeat whose write is held up for as long as a limiter may be is not sent too late."""
    # Guards against payments that are applied twice: servers forget a key at the end of its window.

    async def test() -> None:
        arrival_times_s: list[float] = []

        async def handler(request: ReceivedRequest) -> None:
            arrival_times_s.append(time.monotonic())
            if len(arrival_times_s) == 1:
                await asyncio.sleep(error_after_s)
                server_a.hold_up_s = server_b.hold_up_s = HOLD_UP_S
            request.reply("500 Internal Server Error")

        upload_class = {"effect": "deduplicated", "name": "upload", "aimMs": 1e5, "hardLimitMs": 1e5}
        settings = {"services": [{**upload_class, "windowMs": DEDUPLICATION_WINDOW_S * 1000}]}
        async with (
            backend(handler) as server_a,
            backend(handler) as server_b,
            running_limiter(
                host_entry("a", server_a.address), host_entry("b", server_b.address), settings=settings
            ) as fixture,
        ):
            client = await fixture.connect()
            assert (await client.request(build_request("upload"))).status_code in (429, 502)
            first_s, *repeats_s = arrival_times_s
            latest_s = first_s + DEDUPLICATION_WINDOW_S + TIME_LIMIT_SLACK_S
            assert all(repeat_s <= latest_s for repeat_s in repeats_s)

    run(test())


def test_hedge_answers_a_request_whose_attempt_fails_too_late_for_a_repeat(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against payments that fail because their repeat would come too close to the window's end.
    monkeypatch.setattr(policy, "HEDGE_LEAD_MS", 500.0)  # a busy machine may take long to open a connection

    async def test() -> None:
        arrival_times_s: list[float] = []

        async def handler(request: ReceivedRequest) -> None:
            arrival_times_s.append(time.monotonic())
            if len(arrival_times_s) == 1:
                await asyncio.sleep(0.95 * DEDUPLICATION_WINDOW_S)
                request.reply("500 Internal Server Error")
            else:
                request.reply(body=b"recognised")

        upload_class = {"effect": "deduplicated", "name": "upload", "aimMs": 1e5, "hardLimitMs": 1e5}
        settings = {
            "services": [{**upload_class, "windowMs": DEDUPLICATION_WINDOW_S * 1000}],
            "ceilings": {**SETTINGS["ceilings"], "secondCopies": True},
        }
        async with (
            backend(handler) as server_a,
            backend(handler) as server_b,
            running_limiter(
                host_entry("a", server_a.address), host_entry("b", server_b.address), settings=settings
            ) as fixture,
        ):
            client = await fixture.connect()
            response = await client.request(build_request("upload"))
            assert (response.status_code, response.body) == (200, b"recognised")
            first_s, hedge_s = arrival_times_s
            assert hedge_s - first_s <= DEDUPLICATION_WINDOW_S + TIME_LIMIT_SLACK_S
            assert (len(server_a.requests), len(server_b.requests)) == (1, 1)

    run(test())


def test_request_held_up_past_its_write_deadline_is_not_sent() -> None:
    """The attempt ends with NOT_SENT, nothing is written, and the connection is kept for the next request."""

    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            make_servers(10),
        )
        servers.add_or_update(1, listener.address, True)
        result_future: asyncio.Future[AttemptResult] = loop.create_future()
        request = replace(REQUEST, write_by_s=time.monotonic() + 0.01)
        servers.send(1, request, loop.time() + 20, result_future.set_result)
        await asyncio.sleep(0)  # the connection is being opened
        time.sleep(0.02)
        assert (await result_future).status is CallStatus.NOT_SENT
        connection = await listener.accept()
        await wait_until(lambda: bool(servers._servers[1].idle_connections))
        servers.close()
        assert await loop.sock_recv(connection, 100) == b""

    run(test())


def test_response_before_the_whole_request_is_not_forwarded() -> None:
    # Guards against foreign data: a server starts on a request only when it has its last byte.
    async def test() -> None:
        listener, servers = Listener(), make_servers(10)
        servers.add_or_update(1, listener.address, True)
        attempt_task = asyncio.create_task(send_and_wait(servers, 1, LARGE_REQUEST))
        connection = await listener.accept()
        await asyncio.get_running_loop().sock_recv(connection, 100)
        connection.send(OK_RESPONSE)
        assert (await attempt_task).status is CallStatus.CONNECT_FAILED
        connection.close()

    run(test())


def test_request_not_written_whole_by_its_write_deadline_is_given_up() -> None:
    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            make_servers(10),
        )
        servers.add_or_update(1, listener.address, True)
        result_future: asyncio.Future[AttemptResult] = loop.create_future()
        request = replace(LARGE_REQUEST, write_by_s=time.monotonic() + 0.3)
        servers.send(1, request, loop.time() + 20, result_future.set_result)
        connection = await listener.accept()
        await loop.sock_recv(connection, 100)
        assert (await result_future).status is CallStatus.NOT_SENT
        connection.close()

    run(test())


def test_idle_connection_closed_by_server_is_replaced() -> None:
    """An idle connection whose close the event loop has not processed yet is replaced by a new one."""

    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            make_servers(10),
        )
        servers.add_or_update(1, listener.address, True)
        first_task = asyncio.create_task(send_and_wait(servers, 1, REQUEST))
        connection = await listener.accept()
        await loop.sock_recv(connection, 100)
        connection.send(OK_RESPONSE)
        assert (await first_task).status is CallStatus.OK
        connection.close()
        result_future: asyncio.Future[AttemptResult] = loop.create_future()
        # Sent before the event loop runs again.
        servers.send(1, REQUEST, loop.time() + 20, result_future.set_result)
        connection = await listener.accept()
        assert (await loop.sock_recv(connection, 100)).startswith(REQUEST.head)
        connection.send(OK_RESPONSE)
        assert (await result_future).status is CallStatus.OK

    run(test())


def test_reset_of_reused_connection_permits_no_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request on a reused connection that is reset is not sent again: it may have run."""
    monkeypatch.setattr(connection_module, "DUPLICATE_RESPONSE_WAIT_S", 0.0)

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            if len(server.requests) == 1:
                request.reply(body=b"first")
            else:
                request.reset_connection()

        async with backend(handler) as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            assert (await client.request(build_request("fix", "one"))).status_code == 200
            assert (await client.request(build_request("fix", "two"))).status_code == 502
            assert [request.connection_number for request in server.requests] == [1, 1]

    run(test())


def test_unsolicited_bytes_close_idle_connection() -> None:
    """An unsolicited response on an idle connection must not become the response to the next request."""

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply(body=b"own")

        async with backend(handler) as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            assert (await client.request(build_request("fix", "one"))).body == b"own"
            server.requests[0].reply(body=b"stray")
            await server.requests[0].wait_closed()
            assert (await client.request(build_request("fix", "two"))).body == b"own"
            assert server.requests[1].connection_number == 2

    run(test())


@pytest.mark.parametrize("at_most_once", [False, True])
def test_late_duplicate_response_does_not_answer_the_next_request(
    at_most_once: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A second copy of a response that arrives after the next request was sent is not taken for its own."""
    # Guards against clients that get 200 with the response to another customer's request.
    monkeypatch.setattr(connection_module, "DUPLICATE_RESPONSE_WAIT_S", 0.5)
    monkeypatch.setattr(servers_module, "SAFE_REUSE_IDLE_S", 10.0)

    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            make_servers(10),
        )
        servers.add_or_update(1, listener.address, True)

        async def respond(body: bytes) -> socket.socket:
            connection = await listener.accept()
            await loop.sock_recv(connection, 100)
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body)
            return connection

        first_task = asyncio.create_task(respond(b"one"))
        assert (await send_and_wait(servers, 1, REQUEST)).body == b"one"
        first_connection = await first_task
        second_task = asyncio.create_task(respond(b"two"))
        result_future: asyncio.Future[AttemptResult] = loop.create_future()
        request = replace(REQUEST, at_most_once=at_most_once)
        servers.send(1, request, loop.time() + 20, result_future.set_result)
        first_connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
        assert (await result_future).body == b"two"
        (await second_task).close()

    run(test())


def test_at_most_once_request_waits_for_the_connection_used_just_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It can't use one that has been idle for longer, so it would open a new one for each request."""
    monkeypatch.setattr(servers_module, "SAFE_REUSE_IDLE_S", 10.0)

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply(body=b"own")

        async with backend(handler) as server:
            assert await connection_numbers_used(server, 0.0, "fix") == [1, 1]

    run(test())


def test_request_at_the_connection_limit_waits_for_a_resting_connection() -> None:
    """A new connection would take the place of one that can be reused a moment later."""

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply()

        async with backend(handler) as server:
            servers = make_servers(1)
            host, port = server.address.split(":")
            servers.add_or_update(1, (host, int(port)), True)
            for _ in range(3):
                assert (await send_and_wait(servers, 1, REQUEST)).status is CallStatus.OK
            assert server.connection_count == 1

    run(test())


@pytest.mark.parametrize("server_drains", [False, True])
def test_connection_that_a_cancelled_attempt_waited_for(server_drains: bool) -> None:
    """It is kept for the next request, unless the server takes none any more; nothing is sent on it."""

    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            make_servers(10),
        )
        servers.add_or_update(1, listener.address, True)
        first_task = asyncio.create_task(send_and_wait(servers, 1, REQUEST))
        connection = await listener.accept()
        await loop.sock_recv(connection, 100)
        connection.send(OK_RESPONSE)
        await first_task
        result_future: asyncio.Future[AttemptResult] = loop.create_future()
        request = replace(REQUEST, at_most_once=True)
        attempt = servers.send(1, request, loop.time() + 20, result_future.set_result)
        attempt.cancel()
        assert (await result_future).status is CallStatus.CANCELLED
        servers.add_or_update(1, listener.address, not server_drains)
        await wait_until(lambda: not servers._connect_tasks)
        assert len(servers._servers[1].idle_connections) == (0 if server_drains else 1)
        servers.close()
        assert await loop.sock_recv(connection, 100) == b""

    run(test())


def test_cancel_closes_connection_at_once() -> None:
    """The server sees the connection of a cancelled attempt close before another attempt can reach it."""

    async def test() -> None:
        loop, listener, servers = (
            asyncio.get_running_loop(),
            Listener(),
            make_servers(10),
        )
        servers.add_or_update(1, listener.address, True)
        result_future: asyncio.Future[AttemptResult] = loop.create_future()
        attempt = servers.send(1, REQUEST, loop.time() + 20, result_future.set_result)
        connection = await listener.accept()
        await loop.sock_recv(connection, 100)
        attempt.cancel()
        assert connection.recv(1) == b""  # at once, before the event loop runs again
        assert (await result_future).status is CallStatus.CANCELLED

    run(test())


def test_expired_idle_connections_are_closed() -> None:
    async def test() -> None:
        async with backend() as server:
            servers = make_servers(10, server_idle_timeout_s=0.2)
            host, port = server.address.split(":")
            servers.add_or_update(1, (host, int(port)), True)
            attempt_tasks = [asyncio.create_task(send_and_wait(servers, 1, REQUEST)) for _ in range(2)]
            requests = [await server.request_queue.get() for _ in attempt_tasks]
            requests[0].reply()
            requests[1].reply()
            await asyncio.gather(*attempt_tasks)
            servers.close_expired_connections()
            assert server.connection_count == 2
            close_tasks = [asyncio.create_task(request.wait_closed()) for request in requests]
            while not all(task.done() for task in close_tasks):
                servers.close_expired_connections()
                await asyncio.sleep(0.01)

    run(test())


def test_connection_limit_closes_an_idle_connection_or_fails_the_attempt() -> None:
    """At the limit an idle connection to another server is closed; if none is idle, the attempt fails."""

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply()

        async with backend(handler) as server_a, backend() as server_b:
            servers = make_servers(1)
            for server_id, server in enumerate((server_a, server_b)):
                host, port = server.address.split(":")
                servers.add_or_update(server_id, (host, int(port)), True)
            assert (await send_and_wait(servers, 0, REQUEST)).status is CallStatus.OK
            attempt_task = asyncio.create_task(send_and_wait(servers, 1, REQUEST))
            await server_a.requests[0].wait_closed()
            held_request = await server_b.request_queue.get()
            assert (await send_and_wait(servers, 0, REQUEST)).status is CallStatus.CONNECT_FAILED
            held_request.reply()
            assert (await attempt_task).status is CallStatus.OK

    run(test())


def test_usage_and_load_report_are_read_from_headers(monkeypatch: pytest.MonkeyPatch) -> None:
    """The result holds the metered use and the load report; an invalid use counts as no reading."""
    monkeypatch.setattr(connection_module, "DUPLICATE_RESPONSE_WAIT_S", 0.0)

    async def test() -> None:
        headers = iter(
            [["X-RateLimit-Used: 85", 'Srv-Load: {"inflight":7,"qps":3}'], ["X-RateLimit-Used: 1e300"]]
        )

        async def handler(request: ReceivedRequest) -> None:
            request.reply("200 OK", b"", *next(headers))

        async with backend(handler) as server:
            servers = make_servers(10)
            host, port = server.address.split(":")
            servers.add_or_update(1, (host, int(port)), True)
            result = await send_and_wait(servers, 1, REQUEST)
            assert (result.usage_percent, result.load_report) == (85, b'{"inflight":7,"qps":3}')
            result = await send_and_wait(servers, 1, REQUEST)
            assert (result.usage_percent, result.load_report) == (None, b"")
            await wait_until(lambda: server.connection_count == 1)

    run(test())


def test_every_kind_of_attempt_end_leaves_no_state() -> None:
    """However attempts end, the decision module and `Servers` keep no request, count or connection."""

    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            match request.headers["req-id"].partition("-")[0]:
                case "ok":
                    request.reply(body=b"ok")
                case "error":
                    request.reply("500 Internal Server Error")
                case "declined":
                    request.reply("503 Service Unavailable", b"", DECLINED_HEADER)
                case "reset":
                    request.reset_connection()
                case "invalid":
                    request.writer.write(b"nonsense\r\n\r\n")
                    await request.wait_closed()
                case "truncated":
                    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
                    await request.wait_closed()
                case _:
                    await request.wait_closed()

        async with backend(handler) as server, discovery_agent() as agent:
            hosts = (
                host_entry("a", server.address),
                host_entry("b", server.address),
                host_entry("c", unused_address()),
            )
            async with running_limiter(*hosts, agent=agent) as fixture:
                await agent.watch_queries.get()
                kinds = ("ok", "error", "declined", "reset", "invalid", "truncated", "silent")
                clients = []
                for index, kind in enumerate(kinds * 6):
                    clients.append(await fixture.connect())
                    class_name = ("read", "upload", "fix")[index % 3]
                    clients[-1].send(build_request(class_name, f"{kind}-{index}", Req_Deadline="0.5"))
                closing_clients = [await fixture.connect() for _ in range(5)]
                for index, client in enumerate(closing_clients):
                    client.send(build_request("fix", f"silent-h{index}", Req_Deadline="0.5"))
                await wait_until(lambda: fixture.limiter.open_request_count >= 5)
                for client in closing_clients:
                    client.close()
                # The other servers are gone while their attempts are outstanding.
                agent.send_line(host_list(2, host_entry("d", server.address)))
                assert {(await client.read_response()).status_code for client in clients} <= {200, 429, 502}
                gateway, servers = fixture.limiter._gateway, fixture.limiter._servers
                await wait_until(lambda: not gateway.requests and not fixture.limiter._requests)
                await wait_until(lambda: not servers._connect_tasks)
                # The ids of clients that left stay reserved until their deadlines.
                await wait_until(lambda: not fixture.limiter._open_client_request_ids)
                # An abandoned attempt may still run at its server, and holds a slot of its lane meanwhile.
                timed_out_slot_counts = Counter(lane for _, lane in gateway.timed_out_slots)
                assert gateway.occupied_slots == [timed_out_slot_counts[0], timed_out_slot_counts[1]]
                assert (fixture.limiter.open_request_count, fixture.limiter._open_client_request_ids) == (
                    0,
                    set(),
                )
                assert all(customer.outstanding_count == 0 for customer in gateway.customers.values())
                assert [
                    fleet_server.outstanding_count for fleet_server in gateway.fleet.servers.values()
                ] == [0]
                servers.close()
                await wait_until(lambda: servers._open_connection_count == 0)

    run(test())


async def connection_numbers_used(server: Backend, idle_s: float, class_name: str) -> list[int]:
    """Send two requests of a class, the second after the first one's connection was idle for `idle_s`.

    Return the numbers of the connections that they used. An `idle_s` below 0 makes up for the time that the
    test itself takes.
    """
    async with running_limiter(host_entry("a", server.address)) as fixture:
        client = await fixture.connect()
        assert (await client.request(build_request(class_name, "one"))).body == b"own"
        [idle_connection] = next(iter(fixture.limiter._servers._servers.values())).idle_connections
        idle_connection.idle_since_s -= idle_s
        assert (await client.request(build_request(class_name, "two"))).body == b"own"
        return [request.connection_number for request in server.requests]


@pytest.mark.parametrize(
    ("class_name", "idle_s", "expected_connection_numbers"),
    [
        ("fix", servers_module.SAFE_REUSE_IDLE_S, [1, 2]),  # can't be retried after a reset
        ("read", -1.0, [1, 2]),  # a duplicate of the first response may still be on its way
        ("read", connection_module.DUPLICATE_RESPONSE_WAIT_S, [1, 1]),
        ("read", servers_module.SAFE_REUSE_IDLE_S, [1, 1]),
        ("read", 14.0, [1, 1]),
        ("read", 15.0, [1, 2]),  # half of the servers' idle timeout of 30 s
    ],
)
def test_how_long_an_idle_connection_is_reused(
    class_name: str, idle_s: float, expected_connection_numbers: list[int]
) -> None:
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            request.reply(body=b"own")

        async with backend(handler) as server:
            assert await connection_numbers_used(server, idle_s, class_name) == expected_connection_numbers

    run(test())


def test_broken_reused_connection_lowers_the_reuse_bound_for_a_while() -> None:
    servers = make_servers(10)
    servers.record_broken_connection(0.0)  # a new connection: tells nothing about idle ones
    assert servers._max_idle_s == 15.0
    servers.record_broken_connection(8.0)
    assert servers._max_idle_s == 4.0
    servers.record_broken_connection(0.01)
    assert servers._max_idle_s == servers_module.SAFE_REUSE_IDLE_S
    for _ in range(4 * 60 * 10):  # ten minutes, at a call every 0.25 s
        servers.close_expired_connections()
    assert servers._max_idle_s == 15.0


def test_reset_without_response_on_reused_connection_lowers_the_reuse_bound() -> None:
    async def test() -> None:
        async def handler(request: ReceivedRequest) -> None:
            if request.headers["req-id"] == "two":
                request.reset_connection()
            else:
                request.reply(body=b"own")

        async with backend(handler) as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            assert (await client.request(build_request("read", "one"))).body == b"own"
            servers = fixture.limiter._servers
            [idle_connection] = next(iter(servers._servers.values())).idle_connections
            idle_connection.idle_since_s -= 2.0
            await client.request(build_request("read", "two"))
            assert 1.0 <= servers._max_idle_s < 2.0

    run(test())
