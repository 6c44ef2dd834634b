"""A discovery agent that sends without end: the limiter's memory and its answers, seen from outside."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from flood import FloodSpecification, running_flood
from limiter_process import observe, running_process
from sockets import ReceivedRequest, backend, host_entry, run

MEMORY_MB = 32
HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MEGABYTE = 1 << 20


def as_chunk(text: str) -> str:
    """Return the text as one chunk; each placeholder stands for as many characters as its number has."""
    length = len(text.replace("{n}", "n" * 16).replace("{d}", "d" * 10))
    return f"{length:x}\r\n{text}\r\n"


def as_line(hosts: str) -> str:
    """Return a host list with these entries and a new version, as one line in one chunk."""
    return as_chunk('{"seq":{d},"whole":false,"hosts":[' + hosts + "]}\n")


NEW_HOST = json.dumps(host_entry("{n}", "127.0.0.1:9")).replace("hall-a", "{n}")
FLOODS = {
    "a line that never ends": (HEAD, as_chunk("x" * 4096)),
    "lines of empty lists": (HEAD, as_line("[]," * (MEGABYTE // 3) + "[]")),
    "lines of empty objects": (HEAD, as_line("{}," * (MEGABYTE // 3) + "{}")),
    "ever new hosts and zones": (HEAD, as_line(NEW_HOST)),
    "empty lines": (HEAD, as_chunk("\n") * 64),
    "a head that never ends": ("HTTP/1.1 200 OK\r\nX-Note: ", "a" * 4096),
    "a trailer that never ends": (HEAD + "0\r\nX-Note: ", "a" * 4096),
}


async def answer_at_once(request: ReceivedRequest) -> None:
    """Answer with the request's id as the body, after 20 ms."""
    await asyncio.sleep(0.02)
    request.reply(body=request.headers["req-id"].encode())


@pytest.mark.parametrize(("start", "repeat"), FLOODS.values(), ids=FLOODS.keys())
def test_discovery_neither_fills_the_memory_nor_holds_up_requests(
    tmp_path: Path, start: str, repeat: str
) -> None:
    """Guards against lists and lines that are held, or parsed, without bound."""

    async def test() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(backend(answer_at_once))
            flood = FloodSpecification(listens=True, start=start, repeat=repeat)
            port = await stack.enter_async_context(running_flood(flood))
            limiter = await stack.enter_async_context(
                running_process(
                    tmp_path,
                    host_entry("a", server.address),
                    memory_mb=MEMORY_MB,
                    discovery=f"127.0.0.1:{port}",
                )
            )
            (await observe(limiter, 4.0)).check(MEMORY_MB)

    run(test())
