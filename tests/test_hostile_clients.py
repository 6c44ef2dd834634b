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
from sockets import ReceivedRequest, RequestHandler, backend, build_request, host_entry, run

OBSERVED_S = 3.0
UPLOAD = build_request("upload", "{n}").decode()
READ = build_request("read", "{n}").decode()
CHUNKED_UPLOAD = UPLOAD.replace("Content-Length: 0", "Transfer-Encoding: chunked")
LAST_CHUNK = "5\r\nhello\r\n0\r\n"


async def answer_after_work(request: ReceivedRequest) -> None:
    """Answer with the request's id as the body, after 20 ms."""
    await asyncio.sleep(0.02)
    request.reply(body=request.headers["req-id"].encode())


async def answer_large(request: ReceivedRequest) -> None:
    """Answer with a body of the maximum size."""
    request.reply(body=b"x" * 65536)


async def answer_no_uploads(request: ReceivedRequest) -> None:
    """Leave uploads without an answer."""
    if request.request_line.startswith("GET"):
        await answer_after_work(request)


def check_limiter_under_flood(
    directory: Path,
    flood: FloodSpecification,
    memory_mb: float,
    handler: RequestHandler = answer_after_work,
    duration_s: float = OBSERVED_S,
) -> None:
    """Check a limiter's memory and answers while a flood goes on."""

    async def test() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(backend(handler))
            limiter = await stack.enter_async_context(
                running_process(directory, host_entry("a", server.address), memory_mb=memory_mb)
            )
            flood.port = limiter.port
            await stack.enter_async_context(running_flood(flood))
            (await observe(limiter, duration_s)).check(memory_mb)

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


CROWD_SIZE = 590  # connections; the limiter takes 595 at 1,024 descriptors, or fewer for want of memory
LARGE_UPLOAD = UPLOAD.replace("Content-Length: 0", "Content-Length: 65536")
MANY_FIELDS = "".join(f"h{index:x}:\r\n" for index in range(80))
CROWDS: dict[str, tuple[FloodSpecification, RequestHandler]] = {
    "half of a large body": (
        FloodSpecification(start=LARGE_UPLOAD, repeat="x" * 1000, stop_after_bytes=60_000),
        answer_after_work,
    ),
    "large bodies, written slowly": (
        FloodSpecification(start=LARGE_UPLOAD, repeat="x" * 1000, burst_bytes=2000, interval_s=0.05),
        answer_after_work,
    ),
    "half of a body in tiny chunks": (
        FloodSpecification(start=CHUNKED_UPLOAD, repeat="2\r\nab\r\n" * 10, stop_after_bytes=200_000),
        answer_after_work,
    ),
    "heads of short fields": (FloodSpecification(start=UPLOAD[:-2] + MANY_FIELDS), answer_after_work),
    "heads of one long field": (
        FloodSpecification(start=UPLOAD[:-2] + "X-N: " + "a" * 15_500),
        answer_after_work,
    ),
    "trailers of short fields": (
        FloodSpecification(start=CHUNKED_UPLOAD + LAST_CHUNK + MANY_FIELDS),
        answer_after_work,
    ),
    "large requests that wait for their server": (
        FloodSpecification(repeat=LARGE_UPLOAD + "x" * 65536, stop_after_bytes=250_000),
        answer_no_uploads,
    ),
    "large heads that wait for their server": (
        FloodSpecification(
            repeat=UPLOAD[:-2] + "Content-Type: " + "a" * 15_000 + "\r\n\r\n", stop_after_bytes=60_000
        ),
        answer_no_uploads,
    ),
    "large responses that are not read": (
        FloodSpecification(repeat=READ, reads=False, stop_after_bytes=20_000),
        answer_large,
    ),
}


@pytest.mark.parametrize("memory_mb", [32, 192])
@pytest.mark.parametrize(("flood", "handler"), CROWDS.values(), ids=CROWDS.keys())
def test_crowds_of_clients_neither_fill_the_memory_nor_hold_up_others(
    tmp_path: Path, flood: FloodSpecification, handler: RequestHandler, memory_mb: float
) -> None:
    """Guards against memory held for many peers that is not counted, or not bounded by the memory limit."""
    flood.connections = CROWD_SIZE
    check_limiter_under_flood(tmp_path, flood, memory_mb, handler)


UNSOUND = "GET / HTTP/1.1\r\n\r\n"
NEW_CUSTOMER = build_request("read", "{n}", X_Api_Key="{n}").decode()
FLOODS = {
    "unsound requests": FloodSpecification(repeat=UNSOUND),
    "unsound requests, responses not read": FloodSpecification(repeat=UNSOUND, reads=False),
    "unsound requests on many connections": FloodSpecification(repeat=UNSOUND, connections=50),
    "readiness checks": FloodSpecification(repeat="GET /up HTTP/1.1\r\n\r\n"),
    "new customers": FloodSpecification(repeat=NEW_CUSTOMER),
    "noise on ever new connections": FloodSpecification(repeat="\x00noise", connections=50, reconnects=True),
}


@pytest.mark.parametrize("flood", FLOODS.values(), ids=FLOODS.keys())
def test_floods_of_small_requests_neither_fill_the_memory_nor_hold_up_others(
    tmp_path: Path, flood: FloodSpecification
) -> None:
    """Guards against a turn of the loop that one connection fills, and against tables that peers fill."""
    check_limiter_under_flood(tmp_path, flood, memory_mb=32)


def test_ever_new_customers_do_not_fill_the_memory(tmp_path: Path) -> None:
    """Guards against a table of customers that is not bounded by the memory limit."""
    flood = FloodSpecification(repeat=NEW_CUSTOMER, connections=8)
    check_limiter_under_flood(tmp_path, flood, memory_mb=32, duration_s=10.0)
