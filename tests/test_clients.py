"""The clients' side on the wire: what is taken on, in which order it is answered, what is turned down."""

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


async def echo(request: ReceivedRequest) -> None:
    request.reply(body=request.headers["req-id"].encode())


def test_split_bytes() -> None:
    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            for byte in build_request("upload", "split", b"body"):
                client.send(bytes([byte]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.read_response()).body == b"split"
            assert server.requests[0].body == b"body"

    run(test())


def test_pipelined_bytes() -> None:
    """Answers come in the order of the requests, though a later one is ready first."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            names = [f"id-{n}" for n in range(3)]
            client.send(
                b"".join(build_request("read", name) for name in names) + build_request(X_Tier="none")
            )
            held = [await server.request_queue.get() for _ in names]
            for request in sorted(held, key=lambda r: r.headers["req-id"], reverse=True):
                await echo(request)
            assert [(await client.read_response()).body.decode() for _ in names] == names
            assert (await client.read_response()).status_code == 400

    run(test())


def test_many_pipelined() -> None:
    """More than are read ahead: the rest waits in the socket and is answered all the same."""

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            names = [f"id-{n}" for n in range(40)]
            for name in names:
                client.send(build_request("read", name))
                await asyncio.sleep(0)
            assert [(await client.read_response()).body.decode() for _ in names] == names

    run(test())


BAD: list[tuple[bytes, int]] = [
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


@pytest.mark.parametrize(("raw", "code"), BAD)
def test_bad_request(raw: bytes, code: int) -> None:
    """Told at once; it reaches no server, and its connection goes on."""

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.request(raw)).status_code == code
            assert (await client.request(build_request(request_id="good"))).body == b"good"
            assert len(server.requests) == 1 and rig.limiter.open_request_count == 0

    run(test())


BROKEN: list[tuple[bytes, int]] = [
    (b"nonsense\r\n\r\n", 400),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    (b"GET /read HTTP/9.9\r\n\r\n", 400),
    (build_request("fix", Content_Length="-5"), 400),
    (build_request("fix", Content_Length="2", Transfer_Encoding="chunked"), 400),
    (build_request(x_tier="gold"), 400),
    (build_request(x_call_terms="units=1,spread=1,first=0"), 400),
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
]


@pytest.mark.parametrize(("raw", "code"), BROKEN)
def test_broken_bytes(raw: bytes, code: int) -> None:
    """What can't be read to its end is answered and cut off; what was taken before it is answered first."""

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            neighbour, client = await rig.connect(), await rig.connect()
            client.send(build_request(request_id="before") + raw)
            assert (await client.read_response()).body == b"before"
            answer = await client.read_response()
            assert (answer.status_code, answer.headers["connection"]) == (code, "close")
            await client.wait_closed()
            assert (await neighbour.request(build_request(request_id="good"))).body == b"good"
            assert len(server.requests) == 2 and rig.limiter.open_request_count == 0

    run(test())


def test_refused_sender() -> None:
    """One that is still sending gets its answer: cut off at once, it would see a reset in its place."""

    async def test() -> None:
        async with running_limiter(host_entry("a", "127.0.0.1:1")) as rig:
            client = await rig.connect()
            client.send(build_request("fix", Content_Length="4000000") + b"x" * 4_000_000)
            await client.writer.drain()
            assert (await client.read_response()).status_code == 413

    run(test())


def test_body_of_the_largest_size() -> None:
    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.request(build_request("fix", body=b"x" * 65536))).status_code == 200
            assert server.requests[0].body == b"x" * 65536

    run(test())


def test_hang_up() -> None:
    """Nobody waits for what is out: its attempt is given up and nothing is sent again."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            client.send(build_request())
            request = await server.request_queue.get()
            client.close()
            await request.wait_closed()
            assert (len(server.requests), rig.limiter.open_request_count) == (1, 0)

    run(test())


@pytest.mark.parametrize("header", [{"Connection": "close"}, {"Connection": "Upgrade", "Upgrade": "h2c"}])
def test_close_on_request(header: dict[str, str]) -> None:
    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            answer = await client.request(
                build_request(request_id="last", **header) + build_request(request_id="behind")
            )
            assert (answer.body, answer.headers["connection"]) == (b"last", "close")
            await client.wait_closed()

    run(test())


def test_up() -> None:
    """Ready means that a request could be sent on."""

    async def test() -> None:
        async with running_limiter() as rig:
            client = await rig.connect()
            assert (await client.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 503
        async with running_limiter(host_entry("a", "127.0.0.1:1")) as rig:
            client = await rig.connect()
            assert (await client.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 200

    run(test())


def test_no_server() -> None:
    """Without any server a request is refused at once."""

    async def test() -> None:
        async with running_limiter() as rig:
            client = await rig.connect()
            assert (await client.request(build_request("fix"))).status_code == 429

    run(test())


class Module:
    """In the decision module's place: it does what the test says."""

    def __init__(self, rig: LimiterFixture, *events: type) -> None:
        self.events, self.rest = events, rig.limiter._gateway
        rig.limiter._gateway = self  # type: ignore[assignment]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, self.events):
            return self.act(event)
        return self.rest.handle(now, event)

    def act(self, event: Any) -> list[api.Action]:
        return []


def test_silent_module() -> None:
    """The bridge answers at the deadline where the module never does."""

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            Module(rig, api.RequestArrived)
            client = await rig.connect()
            assert (await client.request(build_request(Req_Deadline="0.1"))).status_code == 504
            assert rig.limiter.open_request_count == 0

    run(test())


@pytest.mark.parametrize("event", [api.RequestArrived, api.AttemptEnded])
def test_failing_module(event: type, caplog: pytest.LogCaptureFixture) -> None:
    """An exception costs its own request alone, and is told in the log."""

    async def test() -> None:
        async def script(request: ReceivedRequest) -> None:
            request.reply("500 Internal Server Error")

        class Failing(Module):
            def act(self, event: Any) -> list[api.Action]:
                raise RuntimeError("a fault of the module")

        async with backend(script) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            broken = Failing(rig, event)
            assert (await client.request(build_request("fix"))).status_code == 500
            assert rig.limiter.open_request_count == 0
            broken.events = ()
            assert (await client.request(build_request("fix"))).status_code == 502

    run(test())
    assert "a fault of the module" in caplog.text


def test_unknown_server_and_moot_sends() -> None:
    """A send that can't be made is told as one: the module may go on with the request."""

    async def test() -> None:
        heard: list[api.AttemptEnded] = []

        class Odd(Module):
            def act(self, event: Any) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.Send(event.request_id, 0, 1.0), api.Send(99, 0, 0.0)]
                heard.append(event)
                return [api.Refuse(1, 250.0)]

        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            Odd(rig, api.RequestArrived, api.AttemptEnded)
            client = await rig.connect()
            answer = await client.request(build_request())
            assert (answer.status_code, answer.headers["retry-after"]) == (429, "0.250")
            assert [(o.status, o.attempt_number, o.request_closed) for o in heard] == [
                (api.CallStatus.NOT_SENT, 0, False),
                (api.CallStatus.NOT_SENT, 0, True),
            ]
            assert not server.requests

    run(test())


def test_probe_and_timer() -> None:
    """A probe's report and a timer come back to the module as events."""

    async def test() -> None:
        async def script(request: ReceivedRequest) -> None:
            request.reply(body=b'{"inflight": 7, "qps": 2.5}')

        heard: asyncio.Queue[Any] = asyncio.Queue()

        class Asking(Module):
            def act(self, event: Any) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.Probe(0), api.SetTimer(20.0, 7), api.Fail(event.request_id)]
                heard.put_nowait(event)
                return []

        async with backend(script) as server, running_limiter(host_entry("a", server.address)) as rig:
            Asking(rig, api.RequestArrived, api.ProbeResult, api.TimerFired)
            client = await rig.connect()
            assert (await client.request(build_request())).status_code == 502
            events = {type(event): event for event in [await heard.get(), await heard.get()]}
            probe, timer = events[api.ProbeResult], events[api.TimerFired]
            assert (probe.status, probe.load_report, timer.token) == (api.CallStatus.OK, (7.0, 2.5), 7)
            assert server.requests[0].request_line == "GET /metrics/load HTTP/1.1"

    run(test())


def test_most_in_hand() -> None:
    """Beyond the bound a request is refused at once; it was never sent on."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address), max_open=1) as rig:
            one, two = await rig.connect(), await rig.connect()
            one.send(build_request(request_id="one"))
            held = await server.request_queue.get()
            assert (await two.request(build_request(request_id="two"))).status_code == 503
            await echo(held)
            assert (await one.read_response()).body == b"one"

    run(test())


def test_bound_on_connections() -> None:
    """At the bound the longest idle connection gives way, and one that waits for its answer does not."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as rig:
            rig.clients._max_connection_count = 2
            busy = await rig.connect()
            busy.send(build_request(request_id="busy"))
            held = await server.request_queue.get()
            idle = await rig.connect()
            assert (await idle.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 200
            third = await rig.connect()
            assert (await third.request(b"GET /up HTTP/1.1\r\n\r\n")).status_code == 200
            with contextlib.suppress(ConnectionError):
                await idle.wait_closed()
            await echo(held)
            assert (await busy.read_response()).body == b"busy"

    run(test())


def test_new_connections_get_their_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """At the bound a connection that has not had time for its first request does not give way."""
    monkeypatch.setattr(clients, "FIRST_REQUEST_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            rig.clients._max_connection_count = 2
            names = ["one", "two", "three"]
            made = [await rig.connect() for _ in names]
            await wait_until(lambda: len(rig.clients.idle_connections) == 2)
            for name, client in zip(names, made, strict=True):
                assert (await client.request(build_request(request_id=name))).body == name.encode()

    run(test())


def test_empty_line_behind_a_request() -> None:
    """It is no request: the connection stays free and is never told that one did not come."""

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.request(build_request(request_id="one"))).body == b"one"
            [connection] = rig.clients._open_connections
            client.send(b"\r\n")
            other = await rig.connect()  # while it is served the empty line is read
            assert (await other.request(build_request(request_id="other"))).body == b"other"
            assert connection.request_started_s is None and connection in rig.clients.idle_connections
            assert (await client.request(build_request(request_id="two"))).body == b"two"

    run(test())


def test_half_read_request_in_a_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A kept connection whose next request has begun to come is not closed under it."""
    monkeypatch.setattr(clients, "MIN_DRAIN_LISTEN_S", 0.05)
    monkeypatch.setattr(clients, "FIRST_REQUEST_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            client = await rig.connect()
            assert (await client.request(build_request(request_id="one"))).body == b"one"
            client.send(build_request(request_id="two")[:-2])
            await wait_until(lambda: not rig.clients.idle_connections)
            drain = asyncio.create_task(rig.clients.drain())
            await wait_until(lambda: rig.clients._listener.fileno() < 0)
            for _ in range(5):  # turns of the drain
                await asyncio.sleep(0.01)
            client.send(b"\r\n")
            answer = await client.read_response()
            assert (answer.body, answer.headers["connection"]) == (b"two", "close")
            await drain

    run(test())


@pytest.mark.parametrize("raw", [b"", build_request()[:20]], ids=["silent", "half a request"])
def test_stalled_connection(raw: bytes) -> None:
    """One that says nothing, or whose request never comes whole, gives its socket back."""

    async def test() -> None:
        async with running_limiter(host_entry("a", "127.0.0.1:1")) as rig:
            client = await rig.connect()
            client.send(raw)
            await wait_until(
                lambda: bool(rig.clients.receiving_connections if raw else rig.clients.idle_connections)
            )
            rig.clients.close_stalled_connections()
            [connection] = rig.clients._open_connections
            connection.connected_s -= clients.REQUEST_READ_TIMEOUT_S  # counted from the connecting on
            rig.clients.close_stalled_connections()
            if raw:
                assert (await client.read_response()).status_code == 408
            await client.wait_closed()

    run(test())


def test_crowd_of_half_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """At the bound those that have been at it for longest give way to one that asks."""
    monkeypatch.setattr(clients, "FIRST_REQUEST_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            rig.clients._max_connection_count = 3
            crowd = [await rig.connect() for _ in range(9)]
            for client in crowd:
                client.send(build_request()[:20])
            late = await rig.connect()
            assert (await late.request(build_request(request_id="late"))).body == b"late"
            assert (await crowd[0].read_response()).status_code == 408

    run(test())


def test_id_of_an_open_request() -> None:
    """It goes on once; the other sender is told, and the id is free again when the first has its answer."""

    async def test() -> None:
        async with backend() as server, running_limiter(host_entry("a", server.address)) as rig:
            one, two = await rig.connect(), await rig.connect()
            one.send(build_request(request_id="same"))
            held = await server.request_queue.get()
            assert (await two.request(build_request(request_id="same"))).status_code == 409
            await echo(held)
            assert (await one.read_response()).body == b"same"
            server.handler = echo
            assert (await two.request(build_request(request_id="same"))).body == b"same"
            assert (len(server.requests), rig.limiter.open_request_count) == (2, 0)

    run(test())


def test_hidden_request() -> None:
    """Behind a request of two lengths nothing is read: it may be another reader's body."""

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as rig:
            hidden = build_request("fix", "hidden")
            for coding in ("chunked", "identity", "x, chunked"):
                client = await rig.connect()
                raw = build_request("fix", Content_Length="5", Transfer_Encoding=coding)
                client.send(raw + b"0\r\n\r\n" + hidden)
                assert (await client.read_response()).status_code == 400
                with contextlib.suppress(ConnectionError):
                    await client.wait_closed()
            assert not server.requests

    run(test())


def test_bodies_are_bounded_together() -> None:
    """What comes beyond is refused; the room is there again once a request is answered or its client gone."""

    async def test() -> None:
        async with (
            backend() as server,
            running_limiter(host_entry("a", server.address), max_buffered_body_bytes=100_000) as rig,
        ):
            one, two, three = [await rig.connect() for _ in range(3)]
            one.send(build_request("fix", "one", b"x" * 60_000))
            held = await server.request_queue.get()
            two.send(build_request("fix", "two", b"x" * 60_000)[:-1])
            assert (await two.read_response()).status_code == 503
            await echo(held)
            assert (await one.read_response()).body == b"one"
            three.send(build_request("fix", "three", b"x" * 60_000)[:-1])
            await wait_until(lambda: rig.clients._buffered_body_bytes > 50_000)
            three.close()
            await wait_until(lambda: rig.clients._buffered_body_bytes == 0)
            server.handler = echo
            assert (await one.request(build_request("fix", "again", b"x" * 60_000))).body == b"again"
            assert rig.clients._buffered_body_bytes == 0

    run(test())
