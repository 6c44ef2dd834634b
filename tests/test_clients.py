"""Tests of the client side over sockets: validation, response order, limits, timeouts and the drain.

The decision module is replaced by a `StubGateway` where a test prescribes its actions.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest
from sockets import (
    LimiterFixture,
    ReceivedRequest,
    backend,
    build_request,
    host_entry,
    run,
    running_limiter,
    wait_until,
)

from ironstage import interface as api
from ironstage.net import clients


async def echo_request_id(request: ReceivedRequest) -> None:
    """Answer a request with its Req-Id as the body."""
    request.reply(body=request.headers["req-id"].encode())


def test_request_that_arrives_byte_by_byte() -> None:
    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            for byte in build_request("upload", "split", b"body"):
                client.send(bytes([byte]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.read_response()).body == b"split"
            assert server.requests[0].body == b"body"

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    """The server answers the requests in reverse order, and the last, invalid one never reaches it."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            request_ids = [f"id-{n}" for n in range(3)]
            client.send(
                b"".join(build_request("read", request_id) for request_id in request_ids)
                + build_request(X_Tier="none")
            )
            held_requests = [await server.request_queue.get() for _ in request_ids]
            for request in sorted(held_requests, key=lambda r: r.headers["req-id"], reverse=True):
                await echo_request_id(request)
            assert [(await client.read_response()).body.decode() for _ in request_ids] == request_ids
            assert (await client.read_response()).status_code == 400

    run(test())


def test_pipelined_requests_beyond_the_read_ahead_limit_are_answered() -> None:
    """Requests beyond the limit wait in the socket until reading resumes."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            request_ids = [f"id-{n}" for n in range(40)]
            for request_id in request_ids:
                client.send(build_request("read", request_id))
                await asyncio.sleep(0)
            assert [(await client.read_response()).body.decode() for _ in request_ids] == request_ids

    run(test())


INVALID_REQUESTS: list[tuple[bytes, int]] = [
    (build_request(Req_Id=None), 400),
    (build_request(Req_Id=""), 400),
    (build_request(Req_Id="with space"), 400),
    (build_request(Req_Kind=None), 400),
    (build_request(Req_Kind="fix"), 400),
    (build_request(path="/nothing/1", Req_Kind="nothing"), 404),
    (build_request(path="*"), 404),
    (build_request(path="/"), 404),
    (build_request(X_Tier=None), 400),
    (build_request(X_Tier="gold"), 400),
    (build_request(X_Api_Key=None), 400),
    (build_request(X_Api_Key="b4d65521"), 400),
    (build_request(X_Api_Key="00000000b4d6552g"), 400),
    (build_request(X_Api_Key="ffffffffffffffff"), 400),
    (build_request(Req_Deadline=None), 400),
    (build_request(Req_Deadline="soon"), 400),
    (build_request(Req_Deadline="nan"), 400),
    (build_request(Req_Deadline="inf"), 400),
    (build_request(Req_Deadline="0"), 400),
    (build_request(Req_Deadline="-1"), 400),
    (build_request(X_Call_Terms=None), 400),
    (build_request(X_Call_Terms="units=x,spread=3,first=1"), 400),
    (build_request(X_Call_Terms="units=-1,spread=3,first=1"), 400),
    (build_request(X_Call_Terms="units=1,spread=0,first=1"), 400),
    (build_request(X_Call_Terms="units=1,spread=3"), 400),
    (build_request(X_Call_Terms=",,=,"), 400),
    (build_request(X_Call_Terms="units=1,spread=4,first=1"), 400),
    (build_request(X_Call_Terms="units=1,spread=3,first=3"), 400),
    (build_request(X_Call_Terms="units=1,spread=3,first=-1"), 400),
    (build_request(X_Call_Terms="units=1e300,spread=3,first=1"), 400),
    (build_request(X_Call_Terms="units=1_0,spread=3,first=1"), 400),
    (build_request(X_Call_Terms="units=7,spread=3,first=1"), 400),
    (build_request(X_Call_Terms="units=1,spread=3,first=1,spread=2"), 400),
    (build_request(Req_Deadline="1_0"), 400),
    (build_request(Req_Deadline="1e300"), 400),
    (build_request(method="POST", Content_Length="0"), 405),
    (build_request(method="DELETE"), 405),
    (build_request("read", Content_Length="2", body=b"xy"), 400),
    (build_request("upload", Idempotency_Key=None), 400),
    (build_request("fix", Idempotency_Key="5c0f"), 400),
]


@pytest.mark.parametrize(("raw_request", "status_code"), INVALID_REQUESTS)
def test_invalid_request_is_answered_and_reaches_no_server(raw_request: bytes, status_code: int) -> None:
    """The error is sent at once, and the connection stays open for further requests."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            assert (await client.request(raw_request)).status_code == status_code
            assert (await client.request(build_request(request_id="good"))).body == b"good"
            assert len(server.requests) == 1 and fixture.limiter.open_request_count == 0

    run(test())


CHUNKED_UPLOAD = build_request("upload").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
UNREADABLE_REQUESTS: list[tuple[bytes, int]] = [
    (b"nonsense\r\n\r\n", 400),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),  # a TLS ClientHello
    (b"GET /read HTTP/9.9\r\n\r\n", 400),
    (build_request("fix", Content_Length="-5"), 400),
    (build_request("fix", Content_Length="2", Transfer_Encoding="chunked"), 400),
    (build_request(x_tier="gold"), 400),  # a second X-Tier header with another value
    (build_request(x_call_terms="units=1,spread=1,first=0"), 400),  # likewise, X-Call-Terms
    (build_request("fix", Content_Length="65537"), 413),
    (build_request("fix", Content_Length="99999999999999999999"), 400),
    (
        build_request("fix", Content_Length=None, Transfer_Encoding="chunked")
        + b"20000\r\n"
        + b"x" * 0x20000,
        413,
    ),
    (build_request(X_Large="x" * 20_000), 431),
    (build_request(path="/read/" + "x" * 20_000), 431),
    (b"GET /read HTTP/1.1\r\n" + b"".join(b"X-%d: y\r\n" % n for n in range(200)) + b"\r\n", 431),
    (b"GET /read HTTP/1.1\r\nX-Endless: " + b"x" * 40_000, 431),
    (CHUNKED_UPLOAD + b"2\r\nok\r\n0\r\nX-Endless: " + b"x" * 20_000, 431),
    (CHUNKED_UPLOAD + b"2\r\nok\r\n0\r\n" + b"a:\r\n" * 5000, 431),
    (CHUNKED_UPLOAD + b"2;x=" + b"x" * 20_000, 431),
]


@pytest.mark.parametrize(("raw_request", "status_code"), UNREADABLE_REQUESTS)
def test_unreadable_request_closes_the_connection(raw_request: bytes, status_code: int) -> None:
    """Earlier requests on the connection are answered first, and other connections are not affected."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            other_client, client = await fixture.connect(), await fixture.connect()
            client.send(build_request(request_id="before") + raw_request)
            assert (await client.read_response()).body == b"before"
            response = await client.read_response()
            assert (response.status_code, response.headers["connection"]) == (status_code, "close")
            await client.wait_closed()
            assert (await other_client.request(build_request(request_id="good"))).body == b"good"
            assert len(server.requests) == 2 and fixture.limiter.open_request_count == 0

    run(test())


def test_rejected_client_that_is_still_sending_gets_its_response() -> None:
    """Without a lingering close the client would see a connection reset in place of the response."""

    async def test() -> None:
        async with running_limiter(host_entry("a", "127.0.0.1:1")) as fixture:
            client = await fixture.connect()
            client.send(build_request("fix", Content_Length="4000000") + b"x" * 4_000_000)
            await client.writer.drain()
            assert (await client.read_response()).status_code == 413

    run(test())


def test_body_of_the_maximum_size_is_accepted() -> None:
    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            assert (await client.request(build_request("fix", body=b"x" * 65536))).status_code == 200
            assert server.requests[0].body == b"x" * 65536

    run(test())


def test_client_disconnect_cancels_the_attempt() -> None:
    """Nobody waits for the response any more, so the request is not retried either."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            client.send(build_request())
            request = await server.request_queue.get()
            client.close()
            await request.wait_closed()
            assert (len(server.requests), fixture.limiter.open_request_count) == (1, 0)

    run(test())


@pytest.mark.parametrize("header", [{"Connection": "close"}, {"Connection": "Upgrade", "Upgrade": "h2c"}])
def test_no_request_is_answered_after_connection_close_or_upgrade(header: dict[str, str]) -> None:
    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            response = await client.request(
                build_request(request_id="last", **header) + build_request(request_id="behind")
            )
            assert (response.body, response.headers["connection"]) == (b"last", "close")
            await client.wait_closed()

    run(test())


def test_readiness_check_succeeds_only_with_a_server() -> None:
    """GET /up answers 503 until the limiter knows a server that requests can be sent to, then 200."""

    async def test() -> None:
        async with running_limiter() as fixture:
            client = await fixture.connect()
            assert (await client.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 503
        async with running_limiter(host_entry("a", "127.0.0.1:1")) as fixture:
            client = await fixture.connect()
            assert (await client.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 200

    run(test())


def test_request_is_refused_at_once_without_servers() -> None:
    async def test() -> None:
        async with running_limiter() as fixture:
            client = await fixture.connect()
            assert (await client.request(build_request("fix"))).status_code == 429

    run(test())


class StubGateway:
    """Replaces the decision module: `act` handles events of the given types, the real module all others."""

    def __init__(self, fixture: LimiterFixture, *event_types: type) -> None:
        self.event_types, self.real_gateway = event_types, fixture.limiter._gateway
        fixture.limiter._gateway = self  # type: ignore[assignment]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, self.event_types):
            return self.act(event)
        return self.real_gateway.handle(now, event)

    def act(self, event: Any) -> list[api.Action]:
        return []


def test_request_without_a_decision_is_answered_at_its_deadline() -> None:
    """The limiter answers with 504 if the decision module never acts on the request."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            StubGateway(fixture, api.RequestArrived)
            client = await fixture.connect()
            assert (await client.request(build_request(Req_Deadline="0.1"))).status_code == 504
            assert fixture.limiter.open_request_count == 0

    run(test())


@pytest.mark.parametrize("event_type", [api.RequestArrived, api.AttemptEnded])
def test_exception_in_the_decision_module_fails_only_its_request(
    event_type: type, caplog: pytest.LogCaptureFixture
) -> None:
    """The exception is logged, and later requests are handled as usual."""

    async def test() -> None:
        async def fail(request: ReceivedRequest) -> None:
            request.reply("500 Internal Server Error")

        class FailingGateway(StubGateway):
            def act(self, event: Any) -> list[api.Action]:
                raise RuntimeError("a fault of the module")

        async with backend(fail) as server, running_limiter(host_entry("a", server.address)) as fixture:
            client = await fixture.connect()
            gateway = FailingGateway(fixture, event_type)
            assert (await client.request(build_request("fix"))).status_code == 500
            assert fixture.limiter.open_request_count == 0
            gateway.event_types = ()
            assert (await client.request(build_request("fix"))).status_code == 502

    run(test())
    assert "a fault of the module" in caplog.text


def test_send_that_cannot_be_made_is_reported_as_not_sent() -> None:
    """The decision module must learn of it to go on with the request.

    One send is past the attempt's deadline, and the other is for an unknown request.
    """

    async def test() -> None:
        ended_attempts: list[api.AttemptEnded] = []

        class InvalidSendGateway(StubGateway):
            def act(self, event: Any) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.Send(event.request_id, 0, 1.0), api.Send(99, 0, 0.0)]
                ended_attempts.append(event)
                return [api.Refuse(1, 250.0)]

        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            InvalidSendGateway(fixture, api.RequestArrived, api.AttemptEnded)
            client = await fixture.connect()
            response = await client.request(build_request())
            assert (response.status_code, response.headers["retry-after"]) == (429, "0.250")
            assert [
                (attempt.status, attempt.attempt_number, attempt.request_closed) for attempt in ended_attempts
            ] == [
                (api.CallStatus.NOT_SENT, 0, False),
                (api.CallStatus.NOT_SENT, 0, True),
            ]
            assert not server.requests

    run(test())


def test_probe_result_and_timer_reach_the_decision_module() -> None:
    async def test() -> None:
        async def report_load(request: ReceivedRequest) -> None:
            request.reply(body=b'{"inflight": 7, "qps": 2.5}')

        received_events: asyncio.Queue[Any] = asyncio.Queue()

        class ProbingGateway(StubGateway):
            def act(self, event: Any) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.Probe(0), api.SetTimer(20.0, 7), api.Fail(event.request_id)]
                received_events.put_nowait(event)
                return []

        async with (
            backend(report_load) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            ProbingGateway(fixture, api.RequestArrived, api.ProbeResult, api.TimerFired)
            client = await fixture.connect()
            assert (await client.request(build_request())).status_code == 502
            events = {
                type(event): event for event in [await received_events.get(), await received_events.get()]
            }
            probe, timer = events[api.ProbeResult], events[api.TimerFired]
            assert (probe.status, probe.load_report, timer.token) == (api.CallStatus.OK, (7.0, 2.5), 7)
            assert server.requests[0].request_line == "GET /metrics/load HTTP/1.1"

    run(test())


def test_request_beyond_max_open_is_refused_at_once() -> None:
    """The limiter answers 503 without sending the request to a server."""

    async def test() -> None:
        async with (
            backend() as server,
            running_limiter(host_entry("a", server.address), max_open=1) as fixture,
        ):
            first_client, second_client = await fixture.connect(), await fixture.connect()
            first_client.send(build_request(request_id="one"))
            held_request = await server.request_queue.get()
            assert (await second_client.request(build_request(request_id="two"))).status_code == 503
            await echo_request_id(held_request)
            assert (await first_client.read_response()).body == b"one"

    run(test())


def test_connection_limit_closes_an_idle_connection_but_no_busy_one() -> None:
    """At the limit the connection idle for longest is closed; one that waits for its response stays."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as fixture:
            fixture.clients._max_connections = 2
            busy_client = await fixture.connect()
            busy_client.send(build_request(request_id="busy"))
            held_request = await server.request_queue.get()
            idle_client = await fixture.connect()
            assert (await idle_client.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 200
            third_client = await fixture.connect()
            assert (await third_client.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 200
            with contextlib.suppress(ConnectionError):
                await idle_client.wait_closed()
            await echo_request_id(held_request)
            assert (await busy_client.read_response()).body == b"busy"

    run(test())


def test_connection_limit_spares_connections_before_their_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At the limit a connection is not closed as idle while it has time left for its first request."""
    monkeypatch.setattr(clients, "CROWDED_FIRST_REQUEST_GRACE_S", 60.0)

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            fixture.clients._max_connections = 2
            request_ids = ["one", "two", "three"]
            connected_clients = [await fixture.connect() for _ in request_ids]
            await wait_until(lambda: len(fixture.clients.connections.idle) == 2)
            for request_id, client in zip(request_ids, connected_clients, strict=True):
                assert (
                    await client.request(build_request(request_id=request_id))
                ).body == request_id.encode()

    run(test())


def test_silent_clients_hold_others_up_only_briefly() -> None:
    """Guards against a crowd that says nothing, and of which each is waited for while others queue up.

    Sixty silent clients before the sound one are twelve times as many as may be connected.
    """

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            fixture.clients._max_connections = 5
            silent_clients = [await fixture.connect() for _ in range(60)]
            async with asyncio.timeout(2.0):
                client = await fixture.connect()
                assert (await client.request(build_request(request_id="sound"))).body == b"sound"
            for silent_client in silent_clients:
                silent_client.close()

    run(test())


def test_empty_line_after_a_request_starts_no_request() -> None:
    """The connection stays idle and does not time out as if a request had begun to arrive."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            assert (await client.request(build_request(request_id="one"))).body == b"one"
            [connection] = fixture.clients.connections.open
            client.send(b"\r\n")
            # The limiter reads the empty line while it serves the other client.
            other_client = await fixture.connect()
            assert (await other_client.request(build_request(request_id="other"))).body == b"other"
            assert connection.request_started_s is None and connection in fixture.clients.connections.idle
            assert (await client.request(build_request(request_id="two"))).body == b"two"

    run(test())


def test_drain_waits_for_a_partly_received_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """A drain closes idle connections, but none on which the next request has begun to arrive."""
    monkeypatch.setattr(clients, "MIN_DRAIN_LISTEN_S", 0.05)
    monkeypatch.setattr(clients, "FIRST_REQUEST_GRACE_S", 60.0)

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            assert (await client.request(build_request(request_id="one"))).body == b"one"
            client.send(build_request(request_id="two")[:-2])
            await wait_until(lambda: not fixture.clients.connections.idle)
            drain_task = asyncio.create_task(fixture.clients.drain())
            await wait_until(lambda: fixture.clients._listener.fileno() < 0)
            for _ in range(5):  # lets the drain check its connections a few times
                await asyncio.sleep(0.01)
            client.send(b"\r\n")
            response = await client.read_response()
            assert (response.body, response.headers["connection"]) == (b"two", "close")
            await drain_task

    run(test())


@pytest.mark.parametrize("sent_bytes", [b"", build_request()[:20]], ids=["no data", "partial request"])
def test_stalled_connection_is_closed(sent_bytes: bytes) -> None:
    """A connection that sends nothing, or never a whole request, would occupy its socket forever."""

    async def test() -> None:
        async with running_limiter(host_entry("a", "127.0.0.1:1")) as fixture:
            client = await fixture.connect()
            client.send(sent_bytes)
            await wait_until(
                lambda: bool(
                    fixture.clients.connections.receiving if sent_bytes else fixture.clients.connections.idle
                )
            )
            fixture.clients.close_stalled_connections()
            [connection] = fixture.clients.connections.open
            connection.connected_s -= clients.REQUEST_READ_TIMEOUT_S  # the timeout runs from the connect
            fixture.clients.close_stalled_connections()
            if sent_bytes:
                assert (await client.read_response()).status_code == 408
            await client.wait_closed()

    run(test())


def test_connection_limit_times_out_the_slowest_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that never finish their requests must not keep a new client out."""
    monkeypatch.setattr(clients, "FIRST_REQUEST_GRACE_S", 0.05)

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            fixture.clients._max_connections = 3
            slow_clients = [await fixture.connect() for _ in range(9)]
            for client in slow_clients:
                client.send(build_request()[:20])
            new_client = await fixture.connect()
            assert (await new_client.request(build_request(request_id="late"))).body == b"late"
            assert (await slow_clients[0].read_response()).status_code == 408

    run(test())


def test_second_request_with_the_id_of_an_open_one_is_refused() -> None:
    """Only the first is sent to a server; its Req-Id may be used again once it is answered."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as fixture:
            first_client, second_client = await fixture.connect(), await fixture.connect()
            first_client.send(build_request(request_id="same"))
            held_request = await server.request_queue.get()
            assert (await second_client.request(build_request(request_id="same"))).status_code == 409
            await echo_request_id(held_request)
            assert (await first_client.read_response()).body == b"same"
            server.handler = echo_request_id
            assert (await second_client.request(build_request(request_id="same"))).body == b"same"
            assert (len(server.requests), fixture.limiter.open_request_count) == (2, 0)

    run(test())


def test_request_smuggling_is_prevented() -> None:
    """A request with both Content-Length and Transfer-Encoding is rejected, and nothing after it is read.

    To another reader of the connection the bytes that follow could be part of its body.
    """

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            hidden_request = build_request("fix", "hidden")
            for coding in ("chunked", "identity", "x, chunked"):
                client = await fixture.connect()
                ambiguous_request = build_request("fix", Content_Length="5", Transfer_Encoding=coding)
                client.send(ambiguous_request + b"0\r\n\r\n" + hidden_request)
                assert (await client.read_response()).status_code == 400
                with contextlib.suppress(ConnectionError):
                    await client.wait_closed()
            assert not server.requests

    run(test())


def test_bodies_share_one_memory_account() -> None:
    """A body that does not fit is refused; memory is released after the response or a disconnect."""

    async def test() -> None:
        async with (
            backend() as server,
            running_limiter(host_entry("a", server.address), memory_capacity_bytes=190_000) as fixture,
        ):
            first_client, second_client, third_client = [await fixture.connect() for _ in range(3)]
            first_client.send(build_request("fix", "one", b"x" * 60_000))
            held_request = await server.request_queue.get()
            assert fixture.memory.used_bytes > 60_000
            second_client.send(build_request("fix", "two", b"x" * 60_000)[:-1])
            assert (await second_client.read_response()).status_code == 503
            await echo_request_id(held_request)
            assert (await first_client.read_response()).body == b"one"
            idle_bytes = fixture.memory.used_bytes
            assert idle_bytes < 10_000
            third_client.send(build_request("fix", "three", b"x" * 60_000)[:-1])
            await wait_until(lambda: fixture.memory.used_bytes > idle_bytes + 50_000)
            third_client.close()
            await wait_until(lambda: fixture.memory.used_bytes <= idle_bytes)
            server.handler = echo_request_id
            assert (await first_client.request(build_request("fix", "again", b"x" * 60_000))).body == b"again"
            await wait_until(lambda: fixture.memory.used_bytes <= idle_bytes)
            for client in (first_client, second_client):
                client.close()
            await wait_until(lambda: not fixture.clients.connections.open)
            fixture.limiter.close()
            await wait_until(lambda: fixture.memory.used_bytes == 0)

    run(test())


def test_time_spent_waiting_behind_other_requests_counts_towards_the_deadline() -> None:
    """Guards against requests that wait unread and are taken to have come when they are read.

    Each of twelve requests that are sent at once gets its answer in the time that it states.
    """
    deadline_s, work_s = 0.6, 0.25

    async def answer_after_work(request: ReceivedRequest) -> None:
        await asyncio.sleep(work_s)
        await echo_request_id(request)

    async def test() -> None:
        async with (
            backend(answer_after_work) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            client = await fixture.connect()
            start_s = asyncio.get_running_loop().time()
            client.send(
                b"".join(build_request(request_id=f"id-{n}", Req_Deadline=str(deadline_s)) for n in range(12))
            )
            statuses = [(await client.read_response()).status_code for _ in range(12)]
            assert asyncio.get_running_loop().time() - start_s < deadline_s + 0.05
            assert statuses[:8] == [200] * 8
            assert all(status_code in (429, 502, 503, 504) for status_code in statuses[8:])

    run(test())
