"""Clients whose requests never end: do the requests of other clients get their answers?

Each of the bad clients sends a chunked request whose last field never ends, at full speed. All the while
sound clients ask for something that takes a server 20 ms, and wait 1.5 s for it.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    SOCKET_SLACK_S,
    TROUBLE,
    Discovery,
    Limiter,
    Record,
    Server,
    answer_at_once,
    end_process,
    now_s,
    play,
    request_bytes,
    small_settings,
    start_flood,
)

BAD_CLIENT_COUNT = 4
DEADLINE_S = 1.5  # half of the class's 3 s
LOST_AFTER_S = 0.5  # after the deadline
PLAY_S = 10.0


async def case(record: Record, folder: Path) -> list[str]:
    """Return the requests of sound clients that were answered too late, or never."""
    servers = [Server(f"s-{i}", record, answer_at_once) for i in range(4)]
    for server in servers:
        await server.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.add(*servers)
    limiter = Limiter(record, folder, discovery, small_settings())
    broken: list[str] = []
    peak_mb = 0.0
    floods: list[asyncio.subprocess.Process] = []

    async def ask(number: int) -> None:
        request_id, sent_s = f"sound{number}", now_s()
        try:
            client = await limiter.connect()
            sent_s = now_s()
            async with asyncio.timeout(DEADLINE_S + 8.0):
                status, body = await client.ask("read", request_id, DEADLINE_S)
            client.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            broken.append(f"{request_id} got no answer: {error!r}")
            return
        waited_s = now_s() - sent_s
        if status == 200 and body != request_id.encode():
            broken.append(f"{request_id} got a foreign answer")
        if waited_s > DEADLINE_S + LOST_AFTER_S + SOCKET_SLACK_S:
            late_s = waited_s - DEADLINE_S
            broken.append(f"{request_id} was answered ({status}) {late_s:.3f} s after its time: lost")

    try:
        await limiter.start()
        asks = []
        for number in range(int(PLAY_S / 0.1)):
            if number == 10 and TROUBLE:
                for bad in range(BAD_CLIENT_COUNT):
                    head = request_bytes("pay", f"bad{bad}", DEADLINE_S).replace(
                        b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n"
                    )
                    start = head + b"5\r\nhello\r\n0\r\nX-Note: "
                    address = f"{limiter.host}:{limiter.port}"
                    floods.append(await start_flood("client", address, start.hex(), "12"))
                    record.line(f"bad client {bad}: sends a request whose last field never ends")
            asks.append(asyncio.create_task(ask(number)))
            peak_mb = max(peak_mb, limiter.resident_mb())
            await asyncio.sleep(0.1)
        await asyncio.gather(*asks)
        record.line(f"the limiter held {peak_mb:.0f} MB at most, of {limiter.memory_mb}")
        for bad, flood in enumerate(floods):
            assert flood.stdout
            ended = (await flood.stdout.readline()).decode().strip()
            record.line(f"bad client {bad}: disconnected after {ended} s")
    finally:
        await limiter.stop()
        for flood in floods:
            await end_process(flood)
    return broken


if __name__ == "__main__":
    play(__file__, case)
