"""Clients that send without end, by hundreds or at full speed, seen from outside the limiter's process.

Whatever they send, the limiter keeps to its memory limit and answers sound requests in time.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from flood import FloodSpecification, running_flood
from limiter_process import observe, running_process
from sockets import ReceivedRequest, backend, build_request, host_entry, run

OBSERVED_S = 3.0
UPLOAD = build_request("upload", "{n}").decode()
CHUNKED_UPLOAD = UPLOAD.replace("Content-Length: 0", "Transfer-Encoding: chunked")
LAST_CHUNK = "5\r\nhello\r\n0\r\n"


async def answer_after_work(request: ReceivedRequest) -> None:
    """Answer with the request's id as the body, after 20 ms."""
    await asyncio.sleep(0.02)
    request.reply(body=request.headers["req-id"].encode())


def check_limiter_under_flood(directory: Path, flood: FloodSpecification, memory_mb: float) -> None:
    """Check a limiter's memory and answers while a flood goes on."""

    async def test() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(backend(answer_after_work))
            limiter = await stack.enter_async_context(
                running_process(directory, host_entry("a", server.address), memory_mb=memory_mb)
            )
            flood.port = limiter.port
            await stack.enter_async_context(running_flood(flood))
            (await observe(limiter, OBSERVED_S)).check(memory_mb)

    run(test())


ENDLESS_REQUESTS = {
    "trailer field": (CHUNKED_UPLOAD + LAST_CHUNK + "X-Note: ", "a" * 4096),
    "trailer of many fields": (CHUNKED_UPLOAD + LAST_CHUNK, "a:\r\n" * 1024),
    "chunk extension": (CHUNKED_UPLOAD + "5;x=", "a" * 4096),
    "tiny chunks": (CHUNKED_UPLOAD, "1\r\na\r\n" * 512),
    "head field": ("GET /read HTTP/1.1\r\nX-Note: ", "a" * 4096),
    "head of many fields": ("GET /read HTTP/1.1\r\n", "x{n}:\r\n"),
    "empty lines": ("", "\r\n" * 2048),
}


@pytest.mark.parametrize(("start", "repeat"), ENDLESS_REQUESTS.values(), ids=ENDLESS_REQUESTS.keys())
def test_endless_requests_neither_fill_the_memory_nor_hold_up_others(
    tmp_path: Path, start: str, repeat: str
) -> None:
    """Guards against a request that is read without bound, at full speed, after its head."""
    flood = FloodSpecification(connections=8, reconnects=True, start=start, repeat=repeat)
    check_limiter_under_flood(tmp_path, flood, memory_mb=64)
