"""A planned restart while clients go on sending on the connections that stay open: is each request answered?

Three clients each send some requests at once, ten times a second, over one kept connection, without waiting
for the answers. The limiter gets SIGTERM, and SIGKILL no sooner than the pages allow.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from dataclasses import dataclass, field
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
CLIENT_COUNT, REQUESTS_AT_ONCE, SEND_INTERVAL_S = 3, 2, 0.1
WORK_S = {"balance": 0.1, "payment": 0.2}  # pages: mean work of 71 to 120 ms and 160 to 270 ms
DEADLINE_S = {"balance": 3.0, "payment": 6.0}
QUIET_S = 2.0  # before SIGTERM
# Pages: SIGKILL comes no sooner than the longest deadline, counted as 3 s if it is longer, plus 0.7 s.
KILL_AFTER_S = 3.0 + 0.7
FREE_TIME_S = 0.7 + 0.05  # requests in this time after SIGTERM need not be answered before SIGKILL
LAST_ANSWER_WAIT_S = 7.0  # without a restart


@dataclass
class Traffic:
    """What happened to each request, by its id; times of `time.monotonic`."""

    sent_s: dict[str, float] = field(default_factory=dict)
    ran_s: dict[str, float] = field(default_factory=dict)
    answers: dict[str, int] = field(default_factory=dict)
    sending: bool = True


async def serve(
    name: str,
    traffic: Traffic,
    record: Record,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Run the requests of one connection of a server, one at a time."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_line, *lines = head.rstrip("\r\n").split("\r\n")
            headers = {key.lower(): value for key, _, value in (line.partition(": ") for line in lines)}
            await reader.readexactly(int(headers.get("content-length", "0")))
            request_id, class_name = headers["req-id"], request_line.split("/")[1]
            traffic.ran_s.setdefault(request_id, time.monotonic())
            record.add(f"{name} runs {class_name} {request_id}")
            await asyncio.sleep(WORK_S[class_name])
            body = f"{class_name} {request_id} done".encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class PipeliningClient:
    """Sends several requests at once over one connection until the limiter ends it."""

    def __init__(self, number: int, traffic: Traffic, record: Record) -> None:
        self.number = number
        self.traffic = traffic
        self.record = record
        self._unanswered: list[str] = []
        self._ended = False

    async def run(self, address: str) -> None:
        client = await Client.connect(address)
        reading = asyncio.create_task(self._read(client))
        count = 0
        while self.traffic.sending and not self._ended:
            requests = []
            for _ in range(REQUESTS_AT_ONCE):
                class_name = "payment" if count % 2 else "balance"
                request_id, count = f"{self.number:04x}{count:012x}", count + 1
                key = request_id * 2 if class_name == "payment" else ""
                customer_id = 1000 + 100 * self.number + count % 100
                body = b"amount=12.50" if key else b""
                requests.append(
                    build_request(class_name, request_id, customer_id, DEADLINE_S[class_name], key, body)
                )
                self._unanswered.append(request_id)
                self.traffic.sent_s[request_id] = time.monotonic()
                self.record.add(f"client {self.number} sends {class_name} {request_id}")
            client.writer.write(b"".join(requests))
            await asyncio.sleep(SEND_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWER_WAIT_S):
                await reading
        client.close()

    async def _read(self, client: Client) -> None:
        """Read the answers until the connection ends, or until the last one after the end of the sending."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while self._unanswered or self.traffic.sending:
                status, headers, _ = await client.read_answer()
                request_id = self._unanswered.pop(0)
                self.traffic.answers[request_id] = status
                self.record.add(f"client {self.number} gets {status} for {request_id}")
                if headers.get("connection") == "close":
                    break
        self.record.add(f"the connection of client {self.number} has ended")
        self._ended = True


async def restart(limiter: Limiter, record: Record) -> float:
    """End the limiter as a planned restart does; return the time of SIGTERM."""
    assert limiter.process
    term_s = time.monotonic()
    limiter.process.send_signal(signal.SIGTERM)
    record.add("limiter gets SIGTERM")
    try:
        await asyncio.wait_for(limiter.process.wait(), KILL_AFTER_S)
        record.conclude(f"the limiter ended by itself, {time.monotonic() - term_s:.2f} s after SIGTERM")
    except TimeoutError:
        limiter.process.send_signal(signal.SIGKILL)
        record.conclude(f"the limiter still ran: SIGKILL {time.monotonic() - term_s:.2f} s after SIGTERM")
        await limiter.process.wait()
    return term_s


async def case(record: Record) -> int:
    traffic = Traffic()
    servers = [
        await asyncio.start_server(
            lambda reader, writer, name=f"s-{n:02d}": serve(name, traffic, record, reader, writer),
            "127.0.0.1",
            0,
        )
        for n in range(SERVER_COUNT)
    ]
    addresses = ["{}:{}".format(*server.sockets[0].getsockname()) for server in servers]
    hosts = [host_entry(f"s-{n:02d}", address, cell=n // 6) for n, address in enumerate(addresses)]
    discovery = Discovery(hosts)
    await discovery.start()
    limiter = Limiter("n0", discovery.address, make_settings())
    try:
        await limiter.start()
        clients = [PipeliningClient(n, traffic, record) for n in range(CLIENT_COUNT)]
        tasks = [asyncio.create_task(client.run(limiter.address)) for client in clients]
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            term_s = await restart(limiter, record)
        else:
            term_s = time.monotonic()
            await asyncio.sleep(KILL_AFTER_S)
        traffic.sending = False
        await asyncio.gather(*tasks)
    finally:
        await limiter.stop()
        discovery.stop()
    # A request that ran had been read by the limiter; one that it had not read the client sends again.
    lost = [
        request_id
        for request_id in traffic.ran_s
        if request_id not in traffic.answers and traffic.sent_s[request_id] > term_s + FREE_TIME_S
    ]
    for request_id in lost:
        late_s = traffic.sent_s[request_id] - term_s
        record.add(f"LOST: {request_id}, sent {late_s:.3f} s after SIGTERM, ran and was never answered")
    record.conclude(
        f"{len(traffic.sent_s)} requests sent, {len(traffic.ran_s)} run, {len(traffic.answers)} answered, "
        f"{len(lost)} lost"
    )
    if sum(status == 200 for status in traffic.answers.values()) < 20:
        raise CaseError("too little traffic for a judgement")
    return BROKEN if lost else HELD


run_case(case, __file__)
