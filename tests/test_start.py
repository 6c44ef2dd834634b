"""The caps of a limiter that starts under full load."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from sockets import (
    SETTINGS,
    Backend,
    Client,
    LimiterFixture,
    ReceivedRequest,
    backend,
    build_request,
    host_entry,
    run,
    running_limiter,
)

SETTINGS_WITH_400_MS_AIM = {"services": [{**service, "aimMs": 400.0} for service in SETTINGS["services"]]}
SLOW_REQUEST_COUNT = 6  # outstanding at any time
# Each step submits a fast request. Every second one (SLOW_REQUEST_STEPS // SLOW_REQUEST_COUNT) completes the
# oldest slow request, so each of those stays outstanding for about 12 steps.
SLOW_REQUEST_STEPS, STEP_MS, FAST_LATENCY_MS = 15, 20.0, 5.0


@dataclass
class OutstandingRequest:
    """A request that a server has received and not answered, and its client."""

    client: Client
    request: ReceivedRequest

    async def complete(self) -> None:
        """Answer the request and check that the client gets a 200."""
        self.request.reply(body=b"x")
        assert (await self.client.read_response()).status_code == 200


async def submit(fixture: LimiterFixture, server: Backend, request_id: str) -> OutstandingRequest | None:
    """Submit a request; return it once the server has received it, or None if the limiter refuses it."""
    client = await fixture.connect()
    client.send(build_request(request_id=request_id))
    response_task, arrival_task = (
        asyncio.create_task(client.read_response()),
        asyncio.create_task(server.request_queue.get()),
    )
    await asyncio.wait({response_task, arrival_task}, return_when=asyncio.FIRST_COMPLETED)
    if response_task.done():
        arrival_task.cancel()
        return None
    response_task.cancel()
    await asyncio.wait({response_task})
    return OutstandingRequest(client, arrival_task.result())


def test_initial_caps_admit_the_concurrency_in_use() -> None:
    """Guards against caps that start too low, so that a limiter refuses requests right after its start.

    A mix of fast and slow responses looks like overload; the caps must still admit the number of requests
    that is outstanding all the time.
    """

    async def test() -> None:
        async with (
            backend() as server,
            running_limiter(host_entry("a", server.address), settings=SETTINGS_WITH_400_MS_AIM) as fixture,
        ):
            clock_ms = [fixture.limiter._now_ms()]
            fixture.limiter._now_ms = lambda: clock_ms[0]  # type: ignore[method-assign]
            slow_requests: list[OutstandingRequest | None] = []
            refused_count = 0
            for step in range(80):
                while len(slow_requests) < SLOW_REQUEST_COUNT:
                    slow_requests.append(await submit(fixture, server, f"slow-{step}-{len(slow_requests)}"))
                fast_request = await submit(fixture, server, f"fast-{step}")
                clock_ms[0] += FAST_LATENCY_MS
                if fast_request:
                    await fast_request.complete()
                clock_ms[0] += STEP_MS - FAST_LATENCY_MS
                if step % (SLOW_REQUEST_STEPS // SLOW_REQUEST_COUNT) == 0 and (
                    oldest_request := slow_requests.pop(0)
                ):
                    await oldest_request.complete()
                refused_count += (fast_request is None) + slow_requests.count(None)
                slow_requests = [request for request in slow_requests if request]
            assert not refused_count

    run(test())
