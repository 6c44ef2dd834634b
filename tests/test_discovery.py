"""The watch over real sockets: how host lists are applied, and how the watch recovers from failures."""

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
from ironstage.net.memory import MemoryAccount


async def echo_request_id(request: ReceivedRequest) -> None:
    """Answer a request with its Req-Id as the body."""
    request.reply(body=request.headers["req-id"].encode())


def test_draining_server_finishes_its_requests_and_gets_no_new_ones() -> None:
    """The connections to a draining server are closed once they are idle."""

    async def test() -> None:
        async with backend() as server_a, backend(echo_request_id) as server_b, discovery_agent() as agent:
            entry_a = host_entry("a", server_a.address)
            async with running_limiter(entry_a, agent=agent) as fixture:
                first_client, second_client = await fixture.connect(), await fixture.connect()
                first_client.send(build_request("fix", "first"))
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
                    assert (
                        await second_client.request(build_request("fix", f"next-{index}"))
                    ).status_code == 200
                await echo_request_id(held_request)
                assert (await first_client.read_response()).body == b"first"
                await held_request.wait_closed()
                assert (len(server_a.requests), len(server_b.requests)) == (1, 5)

    run(test())


def test_server_absent_from_full_list_is_gone() -> None:
    async def test() -> None:
        async with (
            backend(echo_request_id) as server_a,
            backend(echo_request_id) as server_b,
            discovery_agent() as agent,
        ):
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
        async with (
            backend(echo_request_id) as server_a,
            backend(echo_request_id) as server_b,
            discovery_agent() as agent,
        ):
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
    """The watch reconnects after two missing heartbeats, as the agent's machine may have vanished."""
    monkeypatch.setattr(discovery, "HEARTBEAT_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with discovery_agent() as agent, running_limiter(agent=agent):
            for _ in range(3):
                await agent.watch_queries.get()

    run(test())


def test_host_list_stays_in_use_without_discovery() -> None:
    """While the agent refuses connections the configured host list serves, and the watch does not end."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server,
            running_limiter(host_entry("a", server.address)) as fixture,
        ):
            watch_task = asyncio.create_task(fixture.watch.run())
            client = await fixture.connect()
            for index in range(3):
                assert (await client.request(build_request("fix", f"{index}"))).status_code == 200
                await asyncio.sleep(0.06)
            assert not watch_task.done()
            watch_task.cancel()

    run(test())


HOST_A, HOST_B = host_entry("a", "127.0.0.1:1"), host_entry("b", "127.0.0.1:2")


class WatchRecorder:
    """A watch without a socket, and the host lists that it passed on."""

    def __init__(self) -> None:
        self.host_lists: list[HostList] = []
        self.watch = Watch(("127.0.0.1", 1), self.host_lists.append, random.Random(1), MemoryAccount(1 << 26))

    def handle_line(self, line: object) -> bool:
        raw_line = line if isinstance(line, bytes) else json.dumps(line).encode()
        return self.watch._handle_line(raw_line)


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
def test_invalid_line_is_not_applied(line: bytes) -> None:
    recorder = WatchRecorder()
    assert recorder.handle_line(host_list(3, HOST_A, HOST_B))
    assert not recorder.handle_line(line)  # False: the watch must request it again
    assert (len(recorder.host_lists), recorder.watch.seq) == (1, 3)


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
    [received_list] = recorder.host_lists
    assert (received_list.whole, [entry.name for entry in received_list.hosts]) == (False, ["a"])
    assert recorder.watch.seq == 0


def test_repeated_and_outdated_lists_are_ignored() -> None:
    recorder = WatchRecorder()
    recorder.handle_line(host_list(3, HOST_A, HOST_B))
    for old_list in (host_list(3), host_list(2), host_list(2, {**HOST_A, "health": "left"}, whole=False)):
        assert recorder.handle_line(old_list)
    assert len(recorder.host_lists) == 1
    # On a new watch a full list in the first line resets the version.
    recorder.watch._awaiting_first_list = True
    recorder.handle_line(host_list(1, HOST_A))
    assert (recorder.watch.seq, len(recorder.host_lists)) == (1, 2)


def test_host_that_left_needs_no_address() -> None:
    parsed_list, all_valid = parse_host_list(host_list(3, {"host": "a", "health": "left"}, whole=False))
    assert all_valid and parsed_list.hosts[0].name == "a"


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
                original_server = fleet.servers[0]
                for seq in range(2, 50):
                    agent.send_line(host_list(seq, host_entry("a", "127.0.0.1:1", born_ms=born_ms)))
                await wait_until(lambda: fixture.watch.seq == 49)
                assert fleet.servers[0] is original_server
                assert 2500 < fixture.limiter._now_ms() - original_server.entry.started_ms < 30_000

    run(test())


def test_server_is_reached_at_its_new_address() -> None:
    """A host list with another address moves the server, and closes its idle connections."""

    async def test() -> None:
        async def send(number: int, server: Backend) -> None:
            assert (await client.request(build_request("fix", f"{number}"))).status_code == 200
            assert len(server.requests) == 1

        async with (
            backend(echo_request_id) as server_a,
            backend(echo_request_id) as server_b,
            discovery_agent() as agent,
        ):
            async with running_limiter(host_entry("a", server_a.address), agent=agent) as fixture:
                client = await fixture.connect()
                await agent.watch_queries.get()
                await send(1, server_a)
                agent.send_line(host_list(2, host_entry("a", server_b.address), whole=False))
                await server_a.requests[0].wait_closed()
                await send(2, server_b)

    run(test())


def test_watch_switches_to_new_agent_address() -> None:
    """The watch switches agents at once, the host list stays in use, and lower versions are accepted."""

    async def test() -> None:
        async with (
            backend(echo_request_id) as server_a,
            backend(echo_request_id) as server_b,
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


def test_watch_uses_agent_address_set_during_its_initial_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch uses an address that is set while it waits before its first connect."""
    monkeypatch.setattr(discovery, "BACKOFF_RANGE_S", (60.0, 60.0))

    async def test() -> None:
        async with discovery_agent() as new_agent, running_limiter() as fixture:
            watch_task = asyncio.create_task(fixture.watch.run())
            await asyncio.sleep(0.05)
            fixture.watch.change_address(new_agent.address)
            await new_agent.watch_queries.get()
            watch_task.cancel()

    run(test())


def test_gone_servers_are_forgotten() -> None:
    """A server is forgotten once a list reports it as gone or lacks it, and its id is not reused.

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
                await echo_request_id(held_request)
                assert (await client.read_response()).body == b"held"
                assert len(fleet.servers) == 1

    run(test())


def recorded_backoffs(client_count: int, seed: int, monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the backoffs in seconds of a watch before its first connect and after seven that failed."""
    backoffs_s: list[float] = []

    async def sleep(seconds: float) -> None:
        backoffs_s.append(seconds)
        if len(backoffs_s) == 8:
            raise asyncio.CancelledError

    async def return_at_once() -> None:
        pass

    async def test() -> None:
        watch = Watch(
            ("127.0.0.1", 1),
            lambda host_list: None,
            random.Random(seed),
            MemoryAccount(1 << 26),
            client_count,
        )
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
    backoffs_of_2_limiters_s, backoffs_of_40_limiters_s = (
        recorded_backoffs(2, 1, monkeypatch),
        recorded_backoffs(40, 1, monkeypatch),
    )
    assert backoffs_of_2_limiters_s[0] <= 0.05 and max(backoffs_of_2_limiters_s) <= 1.0
    assert 1.0 <= backoffs_of_40_limiters_s[1] <= 2.0
    assert all(2.5 <= backoff_s <= discovery.MAX_BACKOFF_S for backoff_s in backoffs_of_40_limiters_s[4:])


def test_limiters_started_together_spread_their_first_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    delays_s = [recorded_backoffs(40, seed, monkeypatch)[0] for seed in range(40)]
    assert max(sum(start <= delay_s < start + 0.1 for delay_s in delays_s) for start in delays_s) < 12


def test_backoff_is_short_where_changes_are_pushed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a long backoff where changes are pushed to the agent.

    After a restart a limiter waited up to 5 s for drains that its agent had known for long.
    """
    backoffs_with_push_s = recorded_backoffs(
        count_discovery_clients(replace(BASE_SETTINGS, gateway_count=200)), 1, monkeypatch
    )
    backoffs_with_subscription_s = recorded_backoffs(
        count_discovery_clients(replace(BASE_SETTINGS, gateway_count=200, must_subscribe=True)),
        1,
        monkeypatch,
    )
    assert (
        backoffs_with_push_s[0] * 1000 < BASE_SETTINGS.drain_grace_ms / 4 and max(backoffs_with_push_s) <= 1.0
    )
    assert max(backoffs_with_subscription_s[1:]) > 2.5
