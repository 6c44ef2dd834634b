"""Servers whose responses never end: the limiter's memory and its other answers, seen from outside."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from flood import FloodSpecification, running_flood
from limiter_process import observe, running_process
from sockets import ReceivedRequest, backend, host_entry, run

MEMORY_MB = 64
CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_RESPONSES = {
    "trailer field": (CHUNKED_HEAD + "5\r\nhello\r\n0\r\nX-Note: ", "a" * 4096),
    "trailer of many fields": (CHUNKED_HEAD + "5\r\nhello\r\n0\r\n", "a:\r\n" * 1024),
    "chunk extension": (CHUNKED_HEAD + "5;x=", "a" * 4096),
    "tiny chunks": (CHUNKED_HEAD, "1\r\na\r\n" * 512),
    "head of many fields": ("HTTP/1.1 200 OK\r\n", "x{n}:\r\n"),
    "interim responses": ("", "HTTP/1.1 102 Processing\r\n\r\n" * 64),
}


async def answer_after_work(request: ReceivedRequest) -> None:
    """Answer with the request's id as the body, after 100 ms."""
    await asyncio.sleep(0.1)
    request.reply(body=request.headers["req-id"].encode())


@pytest.mark.parametrize(("start", "repeat"), ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES.keys())
def test_endless_responses_neither_fill_the_memory_nor_hold_up_others(
    tmp_path: Path, start: str, repeat: str
) -> None:
    """Guards against a response that is read without bound, at full speed, after its head."""

    async def test() -> None:
        async with AsyncExitStack() as stack:
            servers = [await stack.enter_async_context(backend(answer_after_work)) for _ in range(3)]
            flood = FloodSpecification(listens=True, start=start, repeat=repeat)
            port = await stack.enter_async_context(running_flood(flood))
            hosts = [host_entry(f"s{index}", server.address) for index, server in enumerate(servers)]
            hosts.append(host_entry("bad", f"127.0.0.1:{port}"))
            limiter = await stack.enter_async_context(running_process(tmp_path, *hosts, memory_mb=MEMORY_MB))
            (await observe(limiter, 3.0)).check(MEMORY_MB)

    run(test())
