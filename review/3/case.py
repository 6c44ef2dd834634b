"""Answers without a length that come whole: are they forwarded?

Twelve servers stand behind one limiter. A quarter of them end some of their good answers by closing the
connection, without a length. Payments are unsafe to repeat: what their one attempt answers is all there is.
"""

from __future__ import annotations

import asyncio
import contextlib
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

SERVER_COUNT, TROUBLED_SERVER_COUNT = 12, 3
NO_LENGTH_SHARE = 0.5  # of the answers of the troubled servers
REQUESTS_PER_S, DURATION_S = 40.0, 25.0
WORK_S = {"balance": 0.095, "payment": 0.2}  # pages: mean work of 71 to 120 ms and 160 to 270 ms
DEADLINE_S = {"balance": 3.0, "payment": 6.0}
MIN_FORWARDED_SHARE = 0.5  # pages: half at least


class Servers:
    """The wallet servers. Each answer names its request and has a number of its own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rng = random.Random(7)
        self.answer_count = 0
        self.no_length_answers: dict[str, str] = {}  # body to request id, of those sent whole
        self.hosts: list[dict[str, object]] = []

    async def start(self) -> None:
        for n in range(SERVER_COUNT):
            server = await asyncio.start_server(
                lambda reader, writer, n=n: self._serve(n, reader, writer), "127.0.0.1", 0
            )
            address = "{}:{}".format(*server.sockets[0].getsockname())
            self.hosts.append(host_entry(f"s-{n:02d}", address, cell=n % 2))

    async def _serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = f"s-{number:02d}"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_line, *lines = head.rstrip("\r\n").split("\r\n")
                headers = {key.lower(): value for key, _, value in (line.partition(": ") for line in lines)}
                await reader.readexactly(int(headers.get("content-length", "0")))
                request_id, class_name = headers["req-id"], request_line.split("/")[1]
                self.record.add(f"{name} runs {class_name} {request_id}")
                await asyncio.sleep(WORK_S[class_name])
                self.answer_count += 1
                body = f"{class_name} {request_id} done, receipt {self.answer_count}"
                no_length = number < TROUBLED_SERVER_COUNT and self.rng.random() < NO_LENGTH_SHARE
                if TROUBLE and no_length:
                    if reader.at_eof() or writer.is_closing():
                        return  # the limiter no longer waits
                    writer.write(f"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}".encode())
                    await writer.drain()
                    writer.close()  # the end of the answer; it is not reset
                    self.no_length_answers[body] = request_id
                    self.record.add(f"{name} answers {request_id} whole, without a length: {body!r}")
                    return
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                self.record.add(f"{name} answers {request_id} with a length: {body!r}")


class Front:
    """Sends requests at random times over kept connections, one at a time on each."""

    def __init__(self, limiter: Limiter, record: Record) -> None:
        self._limiter = limiter
        self._record = record
        self._rng = random.Random(14)
        self._idle: list[Client] = []
        self.results: dict[str, tuple[int, str]] = {}  # by request id

    async def run(self) -> None:
        next_s = time.monotonic()
        end_s, tasks, number = next_s + DURATION_S, set(), 0
        while (next_s := next_s + self._rng.expovariate(REQUESTS_PER_S)) < end_s:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            number += 1
            tasks.add(asyncio.create_task(self._request(number)))
        await asyncio.gather(*tasks)

    async def _request(self, number: int) -> None:
        class_name = "payment" if self._rng.random() < 0.32 else "balance"
        request_id, customer_id = f"{number:016x}", 1000 + self._rng.randrange(120)
        body = b"amount=12.50" if class_name == "payment" else None
        request = build_request(class_name, request_id, customer_id, DEADLINE_S[class_name], body=body)
        try:
            client = self._idle.pop() if self._idle else await Client.connect(self._limiter.address)
            async with asyncio.timeout(DEADLINE_S[class_name] + 1.0):
                status, headers, answer = await client.exchange(request)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record.add(f"client of {class_name} {request_id} got no answer: {error!r}")
            self.results[request_id] = 0, ""
            return
        if headers.get("connection") != "close":
            self._idle.append(client)
        self._record.add(f"client of {class_name} {request_id} gets {status} {answer!r}")
        self.results[request_id] = status, answer.decode()


async def case(record: Record) -> int:
    servers = Servers(record)
    await servers.start()
    discovery = Discovery(servers.hosts)
    await discovery.start()
    settings = make_settings()
    settings["services"][1]["effect"] = "at_most_once"
    limiter = Limiter("n0", discovery.address, settings)
    try:
        await limiter.start()
        front = Front(limiter, record)
        await front.run()
    finally:
        await limiter.stop()
        discovery.stop()
    whole, forwarded = servers.no_length_answers, {body for _, body in front.results.values()}
    forwarded_count = sum(body in forwarded for body in whole)
    not_served = {
        request_id for request_id in whole.values() if front.results.get(request_id, (0, ""))[0] != 200
    }
    for request_id in sorted(not_served):
        record.add(f"{request_id} ran and was answered whole; its client got {front.results[request_id][0]}")
    statuses = Counter(status for status, _ in front.results.values())
    record.conclude(
        f"{len(front.results)} requests, answers {dict(statuses)}; {len(whole)} whole answers without a "
        f"length, {forwarded_count} of them forwarded; {len(not_served)} requests so answered not served"
    )
    if statuses[200] < len(front.results) / 2 or (TROUBLE and len(whole) < 20):
        raise CaseError("too little traffic for a judgement")
    return BROKEN if whole and forwarded_count < MIN_FORWARDED_SHARE * len(whole) else HELD


run_case(case, __file__)
