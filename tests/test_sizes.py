"""A thousand limiters and a thousand servers: taken in full, at a cost in line with their number."""

from __future__ import annotations

import json
import sys
import tracemalloc
from pathlib import Path
from types import FrameType
from typing import Any

import pytest
from helpers import Rig, sends, server
from sockets import (
    SETTINGS,
    Request,
    agent,
    backend,
    host,
    limiter,
    listing,
    message,
    run,
    until,
    unused_address,
)

from ironstage.net import discovery
from ironstage.net.config import ConfigError, load

MOST = 1024


def hosts(count: int) -> list[dict[str, Any]]:
    return [host(f"s-{n:08x}", f"127.{n // 250 + 1}.{n % 250}.1:9000") for n in range(count)]


def fed(raw: bytes, piece: int) -> tuple[list[bytes], discovery._Stream]:
    """The lines that a stream gives when its answer comes in pieces, each a chunk of its own."""
    lines: list[bytes] = []

    async def test() -> discovery._Stream:
        stream = discovery._Stream(lambda line: lines.append(line) is None)
        stream.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(raw), piece):
            part = raw[start : start + piece]
            stream.data_received(b"%x\r\n%b\r\n" % (len(part), part))
        return stream

    streams: list[discovery._Stream] = []

    async def keep() -> None:
        streams.append(await test())

    run(keep())
    return lines, streams[0]


@pytest.mark.parametrize("piece", [1, 7, 1460])
def test_a_list_in_small_pieces_is_copied_once(piece: int, monkeypatch: pytest.MonkeyPatch) -> None:
    copied = 0

    def counted(raw: bytearray) -> bytes:
        nonlocal copied
        copied += len(raw)
        return bytes(raw)

    monkeypatch.setattr(discovery, "bytes", counted, raising=False)
    whole = json.dumps(listing(2, *hosts(MOST))).encode()
    change = json.dumps(listing(3, *hosts(1), whole=False)).encode()
    lines, stream = fed(whole + b"\n\n" + change + b"\n" + whole[:100], piece)
    assert [json.loads(line)["seq"] for line in lines if line.strip()] == [2, 3]
    assert len(stream._held) == 100
    assert len(whole) < copied < 2 * len(whole)


def test_a_line_that_never_ends_ends_the_watch_and_fills_no_memory() -> None:
    tracemalloc.start()
    try:
        lines, stream = fed(b"x" * (discovery.LONGEST_LINE + 2), 1 << 16)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert lines == [] and len(stream._held) > discovery.LONGEST_LINE
    assert peak < 5 * discovery.LONGEST_LINE


@pytest.mark.parametrize("whole", [True, False])
def test_a_thousand_servers_on_the_wire(whole: bool) -> None:
    """By one list or by as many changes, all are known, and with all gone but one that one serves."""

    async def echo(request: Request) -> None:
        request.reply(body=request.headers["req-id"].encode())

    async def test() -> None:
        async with backend(echo) as one, agent() as watched:
            async with limiter(watched=watched) as rig:
                await watched.watches.get()
                if whole:
                    watched.tell(listing(MOST + 1, *hosts(MOST)))
                else:
                    for n, each in enumerate(hosts(MOST)):
                        watched.tell(listing(n + 2, each, whole=False))
                await until(lambda: rig.watch.seq == MOST + 1)
                assert len(rig.limiter._gateway.fleet.ready_servers) == len(rig.limiter._numbers) == MOST
                watched.tell(listing(MOST + 2, host("last", one.address)))
                await until(lambda: rig.watch.seq == MOST + 2)
                client = await rig.connect()
                assert (await client.ask(message("fix", "only"))).code == 200
                assert len(rig.limiter._servers._servers) == len(rig.limiter._gateway.fleet.servers) == 1

    run(test())


def steps(count: int) -> int:
    """How many lines the module runs for as many changes of one server each."""
    rig, lines = Rig([], gateway_count=MOST), 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        for n in range(count):
            rig.listed(1.0, server(n))
    finally:
        sys.settrace(before)
    assert len(rig.gateway.fleet.ready_servers) == count
    return lines


def test_a_change_costs_its_own_length() -> None:
    assert steps(MOST) < 1.2 * MOST / 64 * steps(64)


def test_each_of_a_thousand_servers_can_be_chosen() -> None:
    rig = Rig([server(n) for n in range(MOST)], gateway_count=MOST)
    chosen = set()
    for n in range(16 * MOST):
        for sent in sends(rig.arrive(100.0 * n, customer=n)):
            chosen.add(sent.server_id)
            rig.done(100.0 * n + 5.0, sent, "ok", elapsed=5.0)
    assert len(chosen) == MOST


GOOD: dict[str, Any] = {
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "limits": {"cores": 0.3, "memory_mb": 80, "sockets": 512},
    "settings": {**SETTINGS, "balancers": MOST, "me": MOST - 1},
}


def test_a_thousand_limiters_and_servers_in_half_of_the_memory(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**GOOD, "known": listing(1, *hosts(MOST))}))
    tracemalloc.start()
    try:
        made = load({"GW_CONFIG": str(file), "GW_LISTEN": unused_address()})
        assert made.settings.gateway_count == MOST and made.settings.gateway_id == MOST - 1

        async def test() -> None:
            terms = f"units=1,spread={MOST},first={MOST - 1}"
            async with (
                backend() as one,
                limiter(*made.known["hosts"], host("one", one.address), settings=GOOD["settings"]) as rig,
            ):
                assert len(rig.limiter._gateway.fleet.ready_servers) == MOST + 1
                checked = rig.clients.checker._call_terms(terms.encode())
                assert checked == (1.0, MOST)

        run(test())
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    program = 20 << 20  # that the interpreter and its modules take before any list
    assert peak + program < made_memory(GOOD) / 2


def made_memory(raw: dict[str, Any]) -> float:
    return float(raw["limits"]["memory_mb"]) * (1 << 20)


@pytest.mark.parametrize(
    ("key", "wrong", "named"),
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
def test_a_configuration_out_of_its_range_names_the_entry(
    tmp_path: Path, key: str, wrong: object, named: str
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**GOOD, key: wrong}))
    with pytest.raises(ConfigError, match=named):
        load({"GW_CONFIG": str(file)})
