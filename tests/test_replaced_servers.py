"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import time
from typing import Any

import pytest
from sockets import (
    SETTINGS,
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

NOW_MS = time.time() * 1000
WARM_MS = NOW_MS - 3_600_000.0  # start of a server that is warm by now
UPLOADS_DEDUPLICATED_BY_CELL = {
    "services": [{**service, "dedupScope": "cell"} for service in SETTINGS["services"]]
}


async def echo_request_id(request: ReceivedRequest) -> None:
    """Answer a request with its Req-Id as the body."""
    request.reply(body=request.headers["req-id"].encode())


def test_repeat_does_not_reach_the_process_that_replaced_the_first_one() -> None:
    """Guards against a request that runs twice: the new process, of another cell, does not recognise it.

    The list names the new process, and still the old one.
    """

    async def test() -> None:
        async with backend() as server, discovery_agent() as agent:
            old = host_entry("old", server.address)
            new = {**host_entry("new", server.address, born_ms=NOW_MS), "block": 1}
            async with running_limiter(old, agent=agent, settings=UPLOADS_DEDUPLICATED_BY_CELL) as fixture:
                await agent.watch_queries.get()
                client = await fixture.connect()
                client.send(build_request("upload", "first"))
                held_request = await server.request_queue.get()
                agent.send_line(host_list(2, new, whole=False))
                await wait_until(lambda: fixture.watch.seq == 2)
                held_request.reset_connection()
                assert (await client.read_response()).status_code == 502
                assert len(server.requests) == 1

    run(test())


@pytest.mark.parametrize("whole", [True, False])
def test_new_process_takes_the_place_of_the_one_at_its_address(whole: bool) -> None:
    """Guards against requests that are sent to a new process on what was known of the old one.

    The connections to the old process are closed, and the new one is cold.
    """

    async def test() -> None:
        async with backend(echo_request_id) as server, discovery_agent() as agent:
            old = host_entry("old", server.address)
            new = host_entry("new", server.address, born_ms=NOW_MS)
            async with running_limiter(old, agent=agent) as fixture:
                await agent.watch_queries.get()
                client = await fixture.connect()
                assert (await client.request(build_request(request_id="one"))).body == b"one"
                agent.send_line(host_list(2, old, new) if whole else host_list(2, new, whole=False))
                await server.requests[0].wait_closed()
                assert list(fixture.limiter._server_ids) == ["new"]
                [tracked] = fixture.limiter._gateway.fleet.servers.values()
                assert tracked.entry.started_ms > 0
                agent.send_line(host_list(3, host_entry("old", server.address, "left"), whole=False))
                await wait_until(lambda: fixture.watch.seq == 3)
                assert list(fixture.limiter._server_ids) == ["new"]

    run(test())


@pytest.mark.parametrize(
    "late_entry",
    [
        {"born_ms": WARM_MS - 1000.0},
        {"born_ms": WARM_MS, "health": "leaving"},
    ],
    ids=["started earlier", "draining"],
)
def test_late_entry_of_the_old_process_does_not_displace_the_new_one(late_entry: dict[str, Any]) -> None:
    async def test() -> None:
        async with backend(echo_request_id) as server, discovery_agent() as agent:
            new = host_entry("new", server.address, born_ms=WARM_MS)
            async with running_limiter(new, agent=agent) as fixture:
                await agent.watch_queries.get()
                old = {**host_entry("old", server.address), **late_entry}
                agent.send_line(host_list(2, old, whole=False))
                await wait_until(lambda: fixture.watch.seq == 2)
                assert list(fixture.limiter._server_ids) == ["new"]
                client = await fixture.connect()
                assert (await client.request(build_request(request_id="one"))).body == b"one"

    run(test())


def test_address_of_a_server_that_moved_away_is_free_for_another() -> None:
    async def test() -> None:
        async with (
            backend(echo_request_id) as first,
            backend(echo_request_id) as second,
            discovery_agent() as agent,
        ):
            async with running_limiter(host_entry("a", first.address), agent=agent) as fixture:
                await agent.watch_queries.get()
                agent.send_line(host_list(2, host_entry("a", second.address), whole=False))
                agent.send_line(host_list(3, host_entry("b", first.address), whole=False))
                await wait_until(lambda: fixture.watch.seq == 3)
                assert set(fixture.limiter._server_ids) == {"a", "b"}

    run(test())


def test_connections_to_a_process_that_started_anew_are_not_reused() -> None:
    """Guards against a request on a connection that looks open, though its process is gone.

    A machine that vanishes leaves its connections open and silent.
    """

    async def test() -> None:
        async with backend(echo_request_id) as server, discovery_agent() as agent:
            async with running_limiter(host_entry("a", server.address), agent=agent) as fixture:
                await agent.watch_queries.get()
                client = await fixture.connect()
                assert (await client.request(build_request(request_id="one"))).body == b"one"
                agent.send_line(host_list(2, host_entry("a", server.address, born_ms=WARM_MS), whole=False))
                await server.requests[0].wait_closed()
                assert (await client.request(build_request(request_id="two"))).body == b"two"
                assert server.requests[1].connection_number == 2

    run(test())
