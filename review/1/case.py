"""A limiter that is held up before it writes a retry: is a payment still applied only once?

Four servers of one pod share the keys that they have seen, and forget a key when the window of its class is
over. The server of a payment's first attempt applies it and answers with an error late in the window. As soon
as the limiter has opened the connection for the retry, it is held up for a moment (SIGSTOP, then SIGCONT).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import selectors
import signal
import socket
import sys
import threading
import time
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

SERVER_COUNT = 4  # pages: pods of 4 to 8 servers
PAYMENT_COUNT = 25
WINDOW_S = 1.0  # pages: settings may give a shorter window for repeats
SLACK_S = 0.05  # pages: every time limit is 50 ms longer
ERROR_AFTER_S = 0.955  # from the arrival of the first attempt to its answer, 500
HOLD_S = 0.135
MAX_HOLD_S = 0.15  # pages: a limiter may be held up for up to 0.15 s; longer holds do not count
BALANCE_WORK_S, PAYMENT_DEADLINE_S, BALANCE_DEADLINE_S = 0.05, 6.0, 3.0


class Pod:
    """The servers of one pod, each with a listener and a thread for each connection, and their ledger."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.first_arrival_s: dict[str, float] = {}  # by key
        self.applied_s: dict[str, list[float]] = {}  # by key
        self.repeat_delays_s: dict[str, float] = {}  # of the second attempts that arrived, by key
        self.hold_s: dict[str, float] = {}  # by key
        self.armed_key = ""  # hold the limiter up at the next connection that it opens
        self.limiter_pid = 0
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(SERVER_COUNT)]
        self.addresses = ["{}:{}".format(*listener.getsockname()) for listener in self.listeners]
        threading.Thread(target=self._accept_loop, daemon=True).start()

    def _accept_loop(self) -> None:
        selector = selectors.DefaultSelector()
        for index, listener in enumerate(self.listeners):
            listener.setblocking(False)
            selector.register(listener, selectors.EVENT_READ, index)
        while True:
            for key, _ in selector.select():
                if self.armed_key:
                    self._hold_limiter_up()
                with contextlib.suppress(BlockingIOError):
                    sock, _ = self.listeners[key.data].accept()
                    sock.setblocking(True)
                    threading.Thread(target=self._serve, args=(f"s-{key.data}", sock), daemon=True).start()

    def _hold_limiter_up(self) -> None:
        start_s = time.monotonic()
        os.kill(self.limiter_pid, signal.SIGSTOP)
        try:
            time.sleep(HOLD_S)
        finally:
            os.kill(self.limiter_pid, signal.SIGCONT)
        held_s = time.monotonic() - start_s
        payment_key, self.armed_key = self.armed_key, ""
        self.hold_s[payment_key] = held_s
        self.record.add(f"limiter was held up for {held_s * 1000:.1f} ms before the retry of {payment_key}")

    def _serve(self, name: str, sock: socket.socket) -> None:
        """Serve the one request of a connection; `Connection: close` is allowed to each side."""
        with sock, contextlib.suppress(OSError):
            data = b""
            while b"\r\n\r\n" not in data:
                if not (part := sock.recv(65536)):
                    return
                data += part
            head, _, rest = data.partition(b"\r\n\r\n")
            headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
            headers = {header.lower(): value for header, value in headers.items()}
            while len(rest) < int(headers.get("content-length", "0")):
                if not (part := sock.recv(65536)):
                    return
                rest += part
            arrived_s = time.monotonic()
            if key := headers.get("idempotency-key"):
                status, body = self._pay(name, headers["req-id"], key, arrived_s)
            else:
                time.sleep(BALANCE_WORK_S)
                status, body = "200 OK", f"balance for {headers['req-id']}"
            head_lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", "Connection: close", "", body]
            sock.sendall("\r\n".join(head_lines).encode())

    def _pay(self, name: str, request_id: str, key: str, arrived_s: float) -> tuple[str, str]:
        with self.lock:
            first_s = self.first_arrival_s.setdefault(key, arrived_s)
            is_first = first_s == arrived_s
            remembered = not is_first and arrived_s - first_s <= WINDOW_S + SLACK_S
            if not remembered:
                self.applied_s.setdefault(key, []).append(arrived_s)
            if not is_first:
                self.repeat_delays_s[key] = arrived_s - first_s
        if is_first:
            self.record.add(f"{name} applies payment {key} (request {request_id})")
            time.sleep(max(0.0, arrived_s + ERROR_AFTER_S - time.monotonic()))
            if TROUBLE:
                self.armed_key = key
            return "500 Internal Server Error", "no answer from the ledger"
        self.record.add(
            f"{name} gets payment {key} again, {(arrived_s - first_s) * 1000:.1f} ms after the first time: "
            + ("a repeat, dropped" if remembered else "the key is forgotten, APPLIED AGAIN")
        )
        return "200 OK", f"payment {key} done"


async def exchange(limiter: Limiter, record: Record, request_id: str, request: bytes) -> int:
    client = await Client.connect(limiter.address)
    try:
        async with asyncio.timeout(PAYMENT_DEADLINE_S + 1.0):
            status, _, _ = await client.exchange(request)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.add(f"request {request_id} got no answer: {error!r}")
        return 0
    finally:
        client.close()
    record.add(f"request {request_id} answered {status}")
    return status


async def case(record: Record) -> int:
    settings = make_settings()
    settings["services"][1]["windowMs"] = WINDOW_S * 1000
    pod = Pod(record)
    discovery = Discovery([host_entry(f"s-{n}", address) for n, address in enumerate(pod.addresses)])
    await discovery.start()
    limiter = Limiter("n0", discovery.address, settings)
    try:
        await limiter.start()
        pod.limiter_pid = limiter.pid
        for number in range(PAYMENT_COUNT):
            for n in range(SERVER_COUNT * 2):  # quiet traffic between the payments
                request_id = f"{number:012x}b{n:03x}"
                await exchange(
                    limiter,
                    record,
                    request_id,
                    build_request("balance", request_id, 1000 + n, BALANCE_DEADLINE_S),
                )
            request_id, key = f"{number:012x}a000", f"{number:032x}"
            await exchange(
                limiter,
                record,
                request_id,
                build_request("payment", request_id, 2000 + number, PAYMENT_DEADLINE_S, key, b"amount=12.50"),
            )
            pod.armed_key = ""
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(limiter.pid, signal.SIGCONT)
        await limiter.stop()
        discovery.stop()
    too_long = {key for key, held_s in pod.hold_s.items() if held_s > MAX_HOLD_S}
    twice = [key for key, times_s in pod.applied_s.items() if len(times_s) > 1 and key not in too_long]
    record.conclude(
        f"{len(pod.applied_s)} payments, {len(pod.repeat_delays_s)} retries, {len(pod.hold_s)} holds "
        f"({len(too_long)} longer than allowed, not counted), {len(twice)} payments applied twice"
    )
    if not pod.repeat_delays_s or (TROUBLE and len(pod.hold_s) == len(too_long)):
        raise CaseError("no retry, or no hold within the limit")
    return BROKEN if twice else HELD


run_case(case, __file__)
