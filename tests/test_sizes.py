"""1024 limiters and 1024 servers: all are handled, at a cost that grows linearly with their number."""

from __future__ import annotations

import asyncio
import json
import sys
import tracemalloc
from pathlib import Path
from types import FrameType
from typing import Any

import pytest
from helpers import GatewayFixture, make_server, send_actions
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
    unused_address,
    wait_until,
)

from ironstage.net import discovery
from ironstage.net.config import ConfigError, load
from ironstage.net.memory import MemoryAccount
from ironstage.net.paced_reader import PacedReader

FLEET_SIZE = 1024  # servers, and limiters


def host_entries(count: int) -> list[dict[str, Any]]:
    """Return the entries of that many servers, each with its own address."""
    return [host_entry(f"s-{n:08x}", f"127.{n // 250 + 1}.{n % 250}.1:9000") for n in range(count)]


class OpenTransport(asyncio.Transport):
    """A transport that stays open and is only told to pause and resume reading."""

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        pass


async def receive(reader: PacedReader, data: bytes) -> None:
    """Let a reader receive data as the event loop delivers it, in as many turns as it takes."""
    while data:
        buffer = reader.get_buffer(-1)
        received_count = min(len(buffer), len(data))
        buffer[:received_count] = data[:received_count]
        reader.buffer_updated(received_count)
        data = data[received_count:]
        while reader._turn_scheduled:
            await asyncio.sleep(0)


def feed_watch_stream(body: bytes, chunk_size: int) -> tuple[list[bytes], discovery._WatchStream]:
    """Feed a response body to a watch stream in chunks; return the lines it delivers and the stream."""
    lines: list[bytes] = []

    async def feed() -> discovery._WatchStream:
        stream = discovery._WatchStream(lambda line: lines.append(line) is None, MemoryAccount(1 << 26))
        stream.connection_made(OpenTransport())
        await receive(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(body), chunk_size):
            chunk = body[start : start + chunk_size]
            await receive(stream, b"%x\r\n%b\r\n" % (len(chunk), chunk))
        return stream

    streams: list[discovery._WatchStream] = []

    async def store_stream() -> None:
        streams.append(await feed())

    run(store_stream())
    return lines, streams[0]


@pytest.mark.parametrize("chunk_size", [1, 7, 1460])
def test_list_in_small_chunks_is_copied_once(chunk_size: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against splitting the buffer at each chunk.

    The number of copied bytes would grow with a line's length squared.
    """
    copied_byte_count = 0

    def counting_bytes(buffer: bytearray) -> bytes:
        nonlocal copied_byte_count
        copied_byte_count += len(buffer)
        return bytes(buffer)

    monkeypatch.setattr(discovery, "bytes", counting_bytes, raising=False)
    full_list = json.dumps(host_list(2, *host_entries(FLEET_SIZE))).encode()
    delta = json.dumps(host_list(3, *host_entries(1), whole=False)).encode()
    lines, stream = feed_watch_stream(full_list + b"\n\n" + delta + b"\n" + full_list[:100], chunk_size)
    assert [json.loads(line)["seq"] for line in lines if line.strip()] == [2, 3]
    assert len(stream._buffer) == 100
    assert len(full_list) < copied_byte_count < 2 * len(full_list)


def test_unterminated_line_uses_bounded_memory() -> None:
    """Guards against a line of the watch that never ends and fills the memory."""
    tracemalloc.start()
    try:
        lines, stream = feed_watch_stream(b"x" * (discovery.MAX_LINE_BYTES + 2), 1 << 16)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert lines == [] and len(stream._buffer) > discovery.MAX_LINE_BYTES
    assert peak_bytes < 5 * discovery.MAX_LINE_BYTES


@pytest.mark.parametrize("list_is_expected", [True, False])
def test_list_is_accepted_without_memory_only_if_it_is_of_the_expected_size(list_is_expected: bool) -> None:
    """Guards against a watch that never gets a whole list, as it does not fit beside everything else."""

    async def test() -> None:
        lines: list[bytes] = []
        known = host_list(1, *host_entries(FLEET_SIZE))
        expected_bytes = discovery.expected_list_bytes(known if list_is_expected else None)
        stream = discovery._WatchStream(
            lambda line: lines.append(line) is None, MemoryAccount(1000), expected_bytes
        )
        stream.connection_made(OpenTransport())
        await receive(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(host_list(2, *host_entries(FLEET_SIZE * 5 // 4))).encode() + b"\n"
        await receive(stream, b"%x\r\n%b\r\n" % (len(line), line))
        assert bool(lines) == list_is_expected

    run(test())


@pytest.mark.parametrize("whole", [True, False])
def test_watch_adds_and_removes_a_thousand_servers(whole: bool) -> None:
    """Adds the servers by one full list or by one change each, then replaces them by a single server.

    That one must serve, and nothing may be kept of the others.
    """

    async def echo_request_id(request: ReceivedRequest) -> None:
        request.reply(body=request.headers["req-id"].encode())

    async def test() -> None:
        async with backend(echo_request_id) as server, discovery_agent() as agent:
            async with running_limiter(agent=agent) as fixture:
                await agent.watch_queries.get()
                if whole:
                    agent.send_line(host_list(FLEET_SIZE + 1, *host_entries(FLEET_SIZE)))
                else:
                    for n, entry in enumerate(host_entries(FLEET_SIZE)):
                        agent.send_line(host_list(n + 2, entry, whole=False))
                await wait_until(lambda: fixture.watch.seq == FLEET_SIZE + 1)
                assert (
                    len(fixture.limiter._gateway.fleet.ready_servers)
                    == len(fixture.limiter._server_ids)
                    == FLEET_SIZE
                )
                agent.send_line(host_list(FLEET_SIZE + 2, host_entry("last", server.address)))
                await wait_until(lambda: fixture.watch.seq == FLEET_SIZE + 2)
                client = await fixture.connect()
                assert (await client.request(build_request("fix", "only"))).status_code == 200
                assert (
                    len(fixture.limiter._servers._servers) == len(fixture.limiter._gateway.fleet.servers) == 1
                )

    run(test())


def count_executed_lines(change_count: int) -> int:
    """Return how many lines of Python run for that many list changes, each of which adds one server."""
    fixture, line_count = GatewayFixture([], gateway_count=FLEET_SIZE), 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal line_count
        line_count += event == "line"
        return trace

    previous_trace = sys.gettrace()
    sys.settrace(trace)
    try:
        for n in range(change_count):
            fixture.apply_server_list(1.0, make_server(n))
    finally:
        sys.settrace(previous_trace)
    assert len(fixture.gateway.fleet.ready_servers) == change_count
    return line_count


def test_cost_of_list_change_is_independent_of_fleet_size() -> None:
    """Guards against a change of one server that costs time in proportion to all servers.

    Adding 1024 servers one by one may take at most 1.2 times as many lines per server as adding 64.
    """
    assert count_executed_lines(FLEET_SIZE) < 1.2 * FLEET_SIZE / 64 * count_executed_lines(64)


def test_each_of_a_thousand_servers_is_chosen() -> None:
    """Among a thousand servers none may stay without requests."""
    fixture = GatewayFixture([make_server(n) for n in range(FLEET_SIZE)], gateway_count=FLEET_SIZE)
    chosen_server_ids = set()
    for n in range(16 * FLEET_SIZE):
        for sent in send_actions(fixture.submit_request(100.0 * n, customer_id=n)):
            chosen_server_ids.add(sent.server_id)
            fixture.end_attempt(100.0 * n + 5.0, sent, "ok", elapsed_ms=5.0)
    assert len(chosen_server_ids) == FLEET_SIZE


VALID_CONFIG: dict[str, Any] = {
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "limits": {"cores": 0.3, "memory_mb": 80, "sockets": 512},
    "settings": {**SETTINGS, "balancers": FLEET_SIZE, "me": FLEET_SIZE - 1},
}


def test_thousand_limiters_and_servers_use_under_half_of_memory(tmp_path: Path) -> None:
    """A limiter with a thousand peers and servers must stay under half of its memory limit."""
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps({**VALID_CONFIG, "known": host_list(1, *host_entries(FLEET_SIZE))}))
    tracemalloc.start()
    try:
        config = load({"GW_CONFIG": str(config_path), "GW_LISTEN": unused_address()})
        assert config.settings.gateway_count == FLEET_SIZE and config.settings.gateway_id == FLEET_SIZE - 1

        async def test() -> None:
            call_terms = f"units=1,spread={FLEET_SIZE},first={FLEET_SIZE - 1}"
            async with (
                backend() as server,
                running_limiter(
                    *config.known["hosts"],
                    host_entry("one", server.address),
                    settings=VALID_CONFIG["settings"],
                ) as fixture,
            ):
                assert len(fixture.limiter._gateway.fleet.ready_servers) == FLEET_SIZE + 1
                parsed_terms = fixture.clients.connections.validator._parse_call_terms(call_terms.encode())
                assert parsed_terms == (1.0, FLEET_SIZE)

        run(test())
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    program_bytes = 20 << 20  # of the interpreter and its modules, before any server list
    assert peak_bytes + program_bytes < memory_limit_bytes(VALID_CONFIG) / 2


def memory_limit_bytes(config: dict[str, Any]) -> float:
    """Return the memory limit in a configuration."""
    return float(config["limits"]["memory_mb"]) * (1 << 20)


@pytest.mark.parametrize(
    ("key", "invalid_value", "entry_name"),
    [
        ("limits", {"sockets": 10}, "sockets"),
        ("limits", {"memory_mb": float("nan")}, "memory_mb"),
        ("limits", {"sockets": float("inf")}, "sockets"),
        ("settings", {**SETTINGS, "balancers": 0}, "balancers"),
        ("settings", {**SETTINGS, "balancers": float("nan")}, "balancers"),
        ("settings", {**SETTINGS, "me": -1}, "me"),
        (
            "settings",
            {**SETTINGS, "guarantees": {**SETTINGS["guarantees"], "coldMs": -5}},
            "guarantees.coldMs",
        ),
    ],
)
def test_out_of_range_entry_is_named_in_the_error(
    tmp_path: Path, key: str, invalid_value: object, entry_name: str
) -> None:
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps({**VALID_CONFIG, key: invalid_value}))
    with pytest.raises(ConfigError, match=entry_name):
        load({"GW_CONFIG": str(config_path)})
