"""A server whose answers never end: does the limiter stay within its memory limit?

One of eight servers answers each request with a chunked answer whose last field never ends, at full speed.
The others take 100 ms. Sound clients ask 99 times a second for something that may be repeated.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    TROUBLE,
    Discovery,
    Limiter,
    Record,
    Server,
    ServerRequest,
    end_process,
    now_s,
    play,
    small_settings,
    start_flood,
)

MEMORY_MB = 64  # "32 to 192 MB depending on language and day"
REQUESTS_PER_S = 99
PLAY_S = 8.0
START = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Note: "


async def work(request: ServerRequest) -> None:
    """Answer with the request's id as the body, after 100 ms."""
    await asyncio.sleep(0.1)
    request.reply("200 OK", request.id.encode())


async def case(record: Record, folder: Path) -> list[str]:
    """Return a line if the limiter went over its memory limit or ended."""
    servers = [Server(f"s-{i}", record, work) for i in range(8)]
    for server in servers:
        await server.start()
    bad_server = await start_flood("server", START.hex(), "30") if TROUBLE else None
    broken: list[str] = []
    statuses: dict[int, int] = {}
    peak_mb = 0.0
    discovery = Discovery(record)
    limiter = Limiter(record, folder, discovery, small_settings())
    limiter.memory_mb = MEMORY_MB

    async def ask(number: int) -> None:
        client = await limiter.connect()
        try:
            async with asyncio.timeout(10.0):
                status, _ = await client.ask("read", f"sound{number}", 3.0)
            statuses[status] = statuses.get(status, 0) + 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.line(f"client: sound{number} got no answer: {error!r}")
        client.close()

    async def watch_memory() -> None:
        nonlocal peak_mb
        while True:
            peak_mb = max(peak_mb, limiter.resident_mb())
            await asyncio.sleep(0.01)

    try:
        if bad_server:
            assert bad_server.stdout
            servers[0].dial = (await bad_server.stdout.readline()).decode().strip()
            record.line(f"{servers[0].name} sends answers whose last field never ends")
        await discovery.start()
        discovery.add(*servers)
        await limiter.start()
        watch = asyncio.create_task(watch_memory())
        asks = []
        end_s = now_s() + PLAY_S
        while now_s() < end_s:
            asks.append(asyncio.create_task(ask(len(asks))))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*asks)
        watch.cancel()
        record.line(f"answers by status: {statuses}; the limiter held {peak_mb:.0f} MB at most")
        if limiter.process and limiter.process.returncode is not None:
            broken.append(f"the limiter ended with {limiter.process.returncode}")
        if peak_mb > MEMORY_MB:
            broken.append(f"the limiter held {peak_mb:.0f} MB, its limit is {MEMORY_MB}: it would be killed")
    finally:
        await limiter.stop()
        if bad_server:
            await end_process(bad_server)
    return broken


if __name__ == "__main__":
    play(__file__, case)
