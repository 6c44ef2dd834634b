"""Second answers that come some milliseconds late: does each client get the answer made for its request?

Twelve servers, half of them in the other hall, stand behind one limiter. The servers of the other hall send a
second copy of some good answers, at a time when no other request waits or is under way on that connection.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    BROKEN,
    HELD,
    TROUBLE,
    CaseError,
    Client,
    Discovery,
    Limiter,
    Record,
    build_request,
    host_entry,
    make_settings,
    run_case,
)

SERVER_COUNT = 12
REQUESTS_PER_S = 120.0  # pages: up to 140 a limiter
DURATION_S = 45.0
MEAN_WORK_S = 0.095  # pages: 71 to 120 ms for `balance`
NEAR_ONE_WAY_S, FAR_ONE_WAY_S = 0.0002, 0.0024  # pages: 0.087 to 0.33 ms, and 1.4 to 2.6 ms between the halls
SECOND_COPY_SHARE = 0.1  # of the good answers of the servers in the other hall
SECOND_COPY_DELAY_S = 0.0023  # shorter than the way: the limiter cannot have sent a further request by then
CLIENT_DEADLINE_S = 3.0
CUSTOMER_COUNT = 120


class ServerConnection(asyncio.Protocol):
    """A connection to a server, with the way there and back; it carries one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self._buffer = b""
        self._busy = False
        self._bytes_under_way = 0  # from the limiter, not yet at the server
        self._inbound: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self._requests: asyncio.Queue[bytes] = asyncio.Queue()
        self._outbound: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._deliver_requests()),
            loop.create_task(self._run_requests()),
            loop.create_task(self._deliver_answers()),
        ]

    def connection_lost(self, exc: Exception | None) -> None:
        for task in self._tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        self._bytes_under_way += len(data)
        self._inbound.put_nowait((time.monotonic() + self.server.one_way_s, data))

    async def _deliver_requests(self) -> None:
        while True:
            due_s, data = await self._inbound.get()
            await asyncio.sleep(due_s - time.monotonic())
            self._bytes_under_way -= len(data)
            self._buffer += data
            while b"\r\n\r\n" in self._buffer:
                head, self._buffer = self._buffer.split(b"\r\n\r\n", 1)
                self._requests.put_nowait(head)

    async def _run_requests(self) -> None:
        """Run the requests of the connection one after the other."""
        while True:
            head = await self._requests.get()
            self._busy = True
            await self._run_request(head)

    async def _run_request(self, head: bytes) -> None:
        request_id = next(
            line.split(b": ")[1].decode() for line in head.split(b"\r\n") if line.startswith(b"Req-Id")
        )
        server, record = self.server, self.server.record
        await asyncio.sleep(min(server.rng.expovariate(1.0 / MEAN_WORK_S), 0.6))
        body = f"balance made for {request_id}".encode()
        record.add(f"{server.name} ran {request_id}")
        server.ran_count += 1
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self._busy = False
        self._send(answer)
        if TROUBLE and server.is_far and server.rng.random() < SECOND_COPY_SHARE:
            asyncio.get_running_loop().call_later(
                SECOND_COPY_DELAY_S, self._send_second_copy, request_id, answer
            )

    def _send_second_copy(self, request_id: str, answer: bytes) -> None:
        """Send the copy, unless something waits on the connection or is still on its way to the server."""
        waiting = self._busy or self._buffer or self._bytes_under_way or not self._requests.empty()
        if not waiting and not self._transport.is_closing():
            self.server.record.add(f"{self.server.name} sends its answer to {request_id} a second time")
            self.server.second_copy_count += 1
            self._send(answer)

    def _send(self, data: bytes) -> None:
        self._outbound.put_nowait((time.monotonic() + self.server.one_way_s, data))

    async def _deliver_answers(self) -> None:
        while True:
            due_s, data = await self._outbound.get()
            await asyncio.sleep(due_s - time.monotonic())
            self._transport.write(data)


class Server:
    """A wallet server."""

    def __init__(self, name: str, is_far: bool, record: Record, rng: random.Random) -> None:
        self.name = name
        self.is_far = is_far
        self.one_way_s = FAR_ONE_WAY_S if is_far else NEAR_ONE_WAY_S
        self.record = record
        self.rng = rng
        self.ran_count = self.second_copy_count = 0
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), "127.0.0.1", 0
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())


class Front:
    """Sends requests at random times over kept connections, and checks the answers."""

    def __init__(self, limiter: Limiter, record: Record, rng: random.Random) -> None:
        self._limiter = limiter
        self._record = record
        self._rng = rng
        self._idle: list[Client] = []
        self.results: Counter[str] = Counter()

    async def run(self) -> None:
        end_s, tasks, next_s = time.monotonic() + DURATION_S, set(), time.monotonic()
        number = 0
        while (next_s := next_s + self._rng.expovariate(REQUESTS_PER_S)) < end_s:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            number += 1
            tasks.add(asyncio.create_task(self._request(number)))
        await asyncio.gather(*tasks)

    async def _request(self, number: int) -> None:
        request_id, customer_id = f"{number:016x}", 1000 + self._rng.randrange(CUSTOMER_COUNT)
        try:
            client = self._idle.pop() if self._idle else await Client.connect(self._limiter.address)
            async with asyncio.timeout(CLIENT_DEADLINE_S + 1.0):
                status, headers, body = await client.exchange(
                    build_request("balance", request_id, customer_id, CLIENT_DEADLINE_S)
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record.add(f"{request_id} got no answer: {error!r}")
            self.results["no answer"] += 1
            return
        if headers.get("connection") != "close":
            self._idle.append(client)
        if status == 200 and body != f"balance made for {request_id}".encode():
            self._record.add(f"{request_id} of customer {customer_id} was served with FOREIGN data: {body!r}")
            self.results["foreign"] += 1
        else:
            self._record.add(f"{request_id} answered {status}")
            self.results[str(status)] += 1


async def case(record: Record) -> int:
    rng = random.Random(14)
    servers = [Server(f"s-{n:02d}", n % 2 == 1, record, random.Random(100 + n)) for n in range(SERVER_COUNT)]
    for server in servers:
        await server.start()
    discovery = Discovery([host_entry(s.name, s.address, cell=n % 2) for n, s in enumerate(servers)])
    await discovery.start()
    limiter = Limiter("n0", discovery.address, make_settings())
    try:
        await limiter.start()
        front = Front(limiter, record, rng)
        await front.run()
    finally:
        await limiter.stop()
        discovery.stop()
    copies, ran = sum(s.second_copy_count for s in servers), sum(s.ran_count for s in servers)
    record.conclude(f"{ran} requests run, {copies} second copies sent, answers: {dict(front.results)}")
    if ran < REQUESTS_PER_S * DURATION_S / 4 or (TROUBLE and not copies):
        raise CaseError("too little traffic for a judgement")
    return BROKEN if front.results["foreign"] else HELD


run_case(case, __file__)
