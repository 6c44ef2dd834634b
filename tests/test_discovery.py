"""The watch over real sockets: how host lists are applied, and how it recovers from failures."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from dataclasses import replace

import pytest
from helpers import BASE_SETTINGS
from sockets import (
    Backend,
    ReceivedRequest,
    backend,
    build_request,
    discovery_agent,
    host_entry,
    host_list,
    run,
    running_limiter,
    wait_until,
)

from ironstage.net import discovery
from ironstage.net.discovery import HostList, Watch, count_discovery_clients, parse_host_list


async def echo(request: ReceivedRequest) -> None:
    request.reply(body=request.headers["req-id"].encode())


def test_drain_during_request() -> None:
    """A draining server finishes its requests and gets no new ones; its idle connections are closed."""

    async def test() -> None:
        async with backend() as server_a, backend(echo) as server_b, discovery_agent() as agent:
            entry_a = host_entry("a", server_a.address)
            async with running_limiter(entry_a, agent=agent) as fixture:
                client_a, client_b = await fixture.connect(), await fixture.connect()
                client_a.send(build_request("fix", "first"))
                held_request = await server_a.request_queue.get()
                assert await agent.watch_queries.get() == "/discovery/hosts?follow=1&since=1"
                agent.send_line(
                    host_list(
                        2,
                        host_entry("a", server_a.address, "leaving"),
                        host_entry("b", server_b.address),
                        whole=False,
                    )
                )
                await wait_until(lambda: fixture.watch.seq == 2)
                for index in range(5):
                    assert (await client_b.request(build_request("fix", f"next-{index}"))).status_code == 200
                await echo(held_request)
                assert (await client_a.read_response()).body == b"first"
                await held_request.wait_closed()
                assert (len(server_a.requests), len(server_b.requests)) == (1, 5)

    run(test())


def test_server_absent_from_full_list_is_gone() -> None:
    async def test() -> None:
        async with backend(echo) as server_a, backend(echo) as server_b, discovery_agent() as agent:
            async with running_limiter(host_entry("a", server_a.address), agent=agent) as fixture:
                await agent.watch_queries.get()
                client = await fixture.connect()
                assert (await client.request(build_request("fix", "before"))).status_code == 200
                agent.send_line(host_list(5, host_entry("b", server_b.address)))
                await server_a.requests[0].wait_closed()
                for index in range(4):
                    assert (await client.request(build_request("fix", f"{index}"))).status_code == 200
                assert (len(server_a.requests), len(server_b.requests)) == (1, 4)

    run(test())


def test_watch_resumes_from_last_version_after_disconnect() -> None:
    async def test() -> None:
        async with backend(echo) as server_a, backend(echo) as server_b, discovery_agent() as agent:
            async with running_limiter(host_entry("a", server_a.address), agent=agent) as fixture:
                await agent.watch_queries.get()
                agent.send_line(host_list(3, host_entry("a", server_a.address), whole=False))
                await wait_until(lambda: fixture.watch.seq == 3)
                agent.send_line(b'{"seq":4,"whole":true,"hosts":[')  # an incomplete line
                agent.drop_connection()
                assert await agent.watch_queries.get() == "/discovery/hosts?follow=1&since=3"
                client = await fixture.connect()
                assert (await client.request(build_request("fix", "known"))).status_code == 200
                agent.send_line(
                    host_list(
                        4,
                        host_entry("a", server_a.address, "left"),
                        host_entry("b", server_b.address),
                        whole=False,
                    )
                )
                await wait_until(lambda: fixture.watch.seq == 4)
                assert (await client.request(build_request("fix", "moved"))).status_code == 200
                assert (len(server_a.requests), len(server_b.requests)) == (1, 1)

    run(test())


def test_watch_reconnects_after_missing_heartbeats(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without heartbeats the watch reconnects, as the agent's machine may have vanished."""
    monkeypatch.setattr(discovery, "HEARTBEAT_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with discovery_agent() as agent, running_limiter(agent=agent):
            for _ in range(3):
                await agent.watch_queries.get()

    run(test())


def test_host_list_stays_in_use_without_discovery() -> None:
    """Without discovery the configured host list stays in use, and the watch does not end."""

    async def test() -> None:
        async with backend(echo) as server, running_limiter(host_entry("a", server.address)) as fixture:
            task = asyncio.create_task(fixture.watch.run())
            client = await fixture.connect()
            for index in range(3):
                assert (await client.request(build_request("fix", f"{index}"))).status_code == 200
                await asyncio.sleep(0.06)
            assert not task.done()
            task.cancel()

    run(test())


HOST_A, HOST_B = host_entry("a", "127.0.0.1:1"), host_entry("b", "127.0.0.1:2")


class WatchRecorder:
    """A watch without a socket, and the host lists that it passed on."""

    def __init__(self) -> None:
        self.lists: list[HostList] = []
        self.watch = Watch(("127.0.0.1", 1), self.lists.append, random.Random(1))

    def handle_line(self, line: object) -> bool:
        raw = line if isinstance(line, bytes) else json.dumps(line).encode()
        return self.watch._handle_line(raw)


@pytest.mark.parametrize(
    "line",
    [
        b"nonsense",
        b"[1, 2]",
        b"null",
        b'{"seq": 9}',
        b'{"seq": 9, "whole": true, "hosts": null}',
        b'{"seq": "9", "whole": true, "hosts": []}',
        b'{"seq": true, "whole": true, "hosts": []}',
        b'{"whole": true, "hosts": []}',
        b"[" * 100_000,
        b'\xff\xfe{"seq": 9}',
    ],
)
def test_invalid_line_is_requested_again(line: bytes) -> None:
    recorder = WatchRecorder()
    assert recorder.handle_line(host_list(3, HOST_A, HOST_B))
    assert not recorder.handle_line(line)  # the watch must request it again
    assert (len(recorder.lists), recorder.watch.seq) == (1, 3)


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"dial": "nowhere"},
        {"dial": "127.0.0.1:99999"},
        {"dial": 9},
        {"health": "merry"},
        {"health": []},
        {"born_ms": "NaN"},
        {"born_ms": 1e999},
        {"share": None},
        {"host": ""},
        {"host": ["a"]},
    ],
)
def test_invalid_entry_is_skipped(invalid_fields: dict[str, object]) -> None:
    """The valid entries apply, but absent hosts don't count as gone: the invalid entry may be theirs."""
    recorder = WatchRecorder()
    assert not recorder.handle_line(host_list(3, HOST_A, {**HOST_B, **invalid_fields}))
    [received] = recorder.lists
    assert (received.whole, [entry.name for entry in received.hosts]) == (False, ["a"])
    assert recorder.watch.seq == 0


def test_repeated_and_outdated_lists_are_ignored() -> None:
    recorder = WatchRecorder()
    recorder.handle_line(host_list(3, HOST_A, HOST_B))
    for old in (host_list(3), host_list(2), host_list(2, {**HOST_A, "health": "left"}, whole=False)):
        assert recorder.handle_line(old)
    assert len(recorder.lists) == 1
    # On a new watch a full list in the first line resets the version.
    recorder.watch._awaiting_first_list = True
    recorder.handle_line(host_list(1, HOST_A))
    assert (recorder.watch.seq, len(recorder.lists)) == (1, 2)


def test_host_that_left_needs_no_address() -> None:
    received, all_valid = parse_host_list(host_list(3, {"host": "a", "health": "left"}, whole=False))
    assert all_valid and received.hosts[0].name == "a"


def test_repeated_start_time_is_no_restart() -> None:
    """An unchanged start time in each list is not taken for a restart of the server.

    Converting Unix time to the limiter's clock anew for each list would shift the start time.
    """

    async def test() -> None:
        async with discovery_agent() as agent:
            born_ms = time.time() * 1000 - 3000
            async with running_limiter(
                host_entry("a", "127.0.0.1:1", born_ms=born_ms), agent=agent
            ) as fixture:
                await agent.watch_queries.get()
                fleet = fixture.limiter._gateway.fleet
                original = fleet.servers[0]
                for seq in range(2, 50):
                    agent.send_line(host_list(seq, host_entry("a", "127.0.0.1:1", born_ms=born_ms)))
                await wait_until(lambda: fixture.watch.seq == 49)
                assert fleet.servers[0] is original
                assert 2500 < fixture.limiter._now_ms() - original.entry.started_ms < 30_000

    run(test())


def test_server_address_change() -> None:
    """Requests to a server go to its new address after it moved."""

    async def test() -> None:
        async def send(number: int, server: Backend) -> None:
            assert (await client.request(build_request("fix", f"{number}"))).status_code == 200
            assert len(server.requests) == 1

        async with backend(echo) as server_a, backend(echo) as server_b, discovery_agent() as agent:
            async with running_limiter(host_entry("a", server_a.address), agent=agent) as fixture:
                client = await fixture.connect()
                await agent.watch_queries.get()
                await send(1, server_a)
                agent.send_line(host_list(2, host_entry("a", server_b.address), whole=False))
                await server_a.requests[0].wait_closed()
                await send(2, server_b)

    run(test())


def test_agent_address_change() -> None:
    """The watch switches agents at once, the host list stays in use, and lower versions are accepted."""

    async def test() -> None:
        async with (
            backend(echo) as server_a,
            backend(echo) as server_b,
            discovery_agent() as old_agent,
            discovery_agent() as new_agent,
        ):
            async with running_limiter(host_entry("a", server_a.address), agent=old_agent) as fixture:
                await old_agent.watch_queries.get()
                old_agent.send_line(host_list(41, host_entry("a", server_a.address)))
                await wait_until(lambda: fixture.watch.seq == 41)
                fixture.watch.change_address(new_agent.address)
                assert await new_agent.watch_queries.get() == "/discovery/hosts?follow=1&since=0"
                client = await fixture.connect()
                assert (await client.request(build_request("fix", "known"))).status_code == 200
                new_agent.send_line(
                    host_list(
                        2, host_entry("a", server_a.address, "leaving"), host_entry("b", server_b.address)
                    )
                )
                await wait_until(lambda: fixture.watch.seq == 2)
                assert (await client.request(build_request("fix", "moved"))).status_code == 200
                assert (len(server_a.requests), len(server_b.requests)) == (1, 1)

    run(test())


def test_agent_address_change_during_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new address of the agent interrupts the backoff."""
    monkeypatch.setattr(discovery, "BACKOFF_RANGE_S", (60.0, 60.0))

    async def test() -> None:
        async with discovery_agent() as new_agent, running_limiter() as fixture:
            task = asyncio.create_task(fixture.watch.run())
            await asyncio.sleep(0.05)
            fixture.watch.change_address(new_agent.address)
            await new_agent.watch_queries.get()
            task.cancel()

    run(test())


def test_gone_servers_are_forgotten() -> None:
    """A server is forgotten once a list reports it as gone or lacks it, and its number is not reused.

    The decision module keeps a server with an outstanding attempt until that has ended.
    """

    async def test() -> None:
        async with backend() as server, discovery_agent() as agent:
            async with running_limiter(host_entry("s-0", server.address), agent=agent) as fixture:
                fleet, seen_ids = fixture.limiter._gateway.fleet, set[int]()
                await agent.watch_queries.get()
                client = await fixture.connect()
                client.send(build_request("fix", "held"))
                held_request = await server.request_queue.get()
                for index in range(1, 200):
                    new_host = host_entry(f"s-{index}", server.address)
                    if index % 2:
                        agent.send_line(host_list(index + 1, new_host))
                    else:
                        left_host = {"host": f"s-{index - 1}", "health": "left"}
                        agent.send_line(host_list(index + 1, new_host, left_host, whole=False))
                    await wait_until(lambda index=index: fixture.watch.seq == index + 1)  # type: ignore[misc]
                    assert len(fixture.limiter._server_ids) == len(fixture.limiter._servers._servers) == 1
                    assert len(fleet.servers) == 2  # the other has an outstanding attempt
                    seen_ids |= set(fixture.limiter._server_ids.values())
                assert len(seen_ids) == 199
                await echo(held_request)
                assert (await client.read_response()).body == b"held"
                assert len(fleet.servers) == 1

    run(test())


def recorded_backoffs(client_count: int, seed: int, monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the backoffs in seconds of a watch before its first attempt and after seven failed ones."""
    backoffs_s: list[float] = []

    async def sleep(seconds: float) -> None:
        backoffs_s.append(seconds)
        if len(backoffs_s) == 8:
            raise asyncio.CancelledError

    async def return_at_once() -> None:
        pass

    async def test() -> None:
        watch = Watch(("127.0.0.1", 1), lambda received: None, random.Random(seed), client_count)
        monkeypatch.setattr(watch, "_connect_and_read", return_at_once)
        monkeypatch.setattr(discovery.asyncio, "sleep", sleep)
        with contextlib.suppress(asyncio.CancelledError):
            await watch.run()
        monkeypatch.undo()

    run(test())
    return backoffs_s


def test_backoff_grows_with_number_of_limiters(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against limiters that overload discovery when they restart together.

    28 of them called again at the same time each second, and no call was ever answered.
    """
    few, many = recorded_backoffs(2, 1, monkeypatch), recorded_backoffs(40, 1, monkeypatch)
    assert few[0] <= 0.05 and max(few) <= 1.0
    assert 1.0 <= many[1] <= 2.0
    assert all(2.5 <= backoff_s <= discovery.MAX_BACKOFF_S for backoff_s in many[4:])


def test_limiters_started_together_spread_their_first_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    first_delays = [recorded_backoffs(40, seed, monkeypatch)[0] for seed in range(40)]
    assert max(sum(start <= delay < start + 0.1 for delay in first_delays) for start in first_delays) < 12


def test_backoff_is_short_where_changes_are_pushed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a long backoff where changes are pushed to the agent.

    After a restart a limiter waited up to 5 s for drains that its agent had known for long.
    """
    pushed = recorded_backoffs(
        count_discovery_clients(replace(BASE_SETTINGS, gateway_count=200)), 1, monkeypatch
    )
    subscribed = recorded_backoffs(
        count_discovery_clients(replace(BASE_SETTINGS, gateway_count=200, must_subscribe=True)),
        1,
        monkeypatch,
    )
    assert pushed[0] * 1000 < BASE_SETTINGS.drain_grace_ms / 4 and max(pushed) <= 1.0
    assert max(subscribed[1:]) > 2.5
