"""Stand-ins that the review's cases share: a discovery agent, clients, and the start of a limiter.

They follow the project's pages and use only the standard library. Times are seconds of `time.monotonic`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMITER_START_TIMEOUT_S = 20.0
HEARTBEAT_INTERVAL_S = 2.0


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, case_directory: Path) -> None:
        self._file = (case_directory / "record.txt").open("w", buffering=1)
        self._start_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start of the case."""
        self._file.write(f"{time.monotonic() - self._start_s:9.4f} {text}\n")

    def conclude(self, text: str) -> None:
        """Write a line and print it as well."""
        self.add(text)
        print(text)


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def make_settings(**overrides: Any) -> dict[str, Any]:
    """Return the settings of a small deployment of the site; `overrides` replace top-level keys."""
    settings: dict[str, Any] = {
        "balancers": 2,
        "me": 0,
        "myZone": 0,
        "zones": ["hall-a", "hall-b"],
        "kinds": ["std-2c"],
        "registryMode": "automatic",
        "weights": "rough",
        "services": [
            {
                "name": "balance",
                "effect": "idempotent",
                "aimMs": 750.0,
                "hardLimitMs": 3000.0,
                "lateWorth": 0.2,
                "points": 2.0,
                "windowMs": 5000.0,
            },
            {
                "name": "payment",
                "effect": "deduplicated",
                "dedupScope": "cell",
                "aimMs": 1500.0,
                "hardLimitMs": 6000.0,
                "lateWorth": 0.0,
                "points": 6.0,
                "windowMs": 6000.0,
            },
        ],
        "contracts": [
            {"name": "perus", "rate": 1.4, "mostAtOnce": 5.0, "price": 1.3, "beyondCosts": 1.0},
            {"name": "laaja", "rate": 11.0, "mostAtOnce": 23.0, "price": 1.8, "beyondCosts": 0.8},
        ],
        "guarantees": {
            "coldFrom": 0.16,
            "coldMs": 17000.0,
            "tipMultiple": 3.0,
            "fallMs": 3000.0,
            "drainGraceMs": 1000.0,
            "answerSlackMs": 8.0,
            "askWithinMs": 10000.0,
        },
        "ceilings": {
            "maxAttempts": 5,
            "cancel": True,
            "secondCopies": True,
            "probing": True,
            "retryAfter": True,
            "maxRetryAfterMs": 1000.0,
            "maxOpen": 20000,
            "connIdleMs": 30000.0,
            "connectTimeoutMs": 250.0,
            "streamsPerConn": 32,
        },
        "specifics": {"mostUnits": 2, "counter": True, "meteringMs": 1000.0},
        "report": {"how": "piggyback", "fields": ["rate"]},
    }
    return {**settings, **overrides}


def host_entry(name: str, dial: str, cell: int = 0, health: str = "active") -> dict[str, Any]:
    """Return a server's entry in discovery's list."""
    return {
        "host": name,
        "dial": dial,
        "site": "hall-a" if cell % 2 == 0 else "hall-b",
        "class": "std-2c",
        "block": cell,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


class Discovery:
    """The discovery agent on the limiter's machine: the whole list first, then changes, and heartbeats."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts = {host["host"]: host for host in hosts}
        self.seq = 1
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def whole_list(self) -> dict[str, Any]:
        """Return the present list; servers that have left are not in it."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"follow=1" not in head.split(b"\r\n", 1)[0]:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write_line(writer, json.dumps(self.whole_list()).encode())
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                self._write_line(writer, b"")
                await writer.drain()
        self._watches.discard(writer)

    def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def stop(self) -> None:
        if self._server:
            self._server.close()


class Limiter:
    """A limiter, started by the command `run` of the deploy file."""

    def __init__(self, name: str, discovery_address: str, settings: dict[str, Any], seed: int = 1) -> None:
        self.name = name
        self.address = free_address()
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        self.config_path = Path(self._directory.name) / "config.json"
        self.log_path = Path(self._directory.name) / "log"
        config = {
            "name": name,
            "listen": self.address,
            "discovery": discovery_address,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": free_address(),
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": settings,
        }
        self.config_path.write_text(json.dumps(config))
        self._discovery_address = discovery_address
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        assert self.process
        return self.process.pid

    async def start(self) -> None:
        """Start the limiter and wait until `GET /up` is answered with 200."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log_path.open("wb") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env={
                    **os.environ,
                    "GW_NAME": self.name,
                    "GW_LISTEN": self.address,
                    "GW_DISCOVERY": self._discovery_address,
                    "GW_CONFIG": str(self.config_path),
                    "TMPDIR": self._directory.name,
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        deadline_s = time.monotonic() + LIMITER_START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    client = await Client.connect(self.address)
                    status, _, _ = await client.exchange(b"GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                    client.close()
                    if status == 200:
                        return
            await asyncio.sleep(0.05)
        raise CaseError(f"limiter {self.name} did not become ready: {self.log_path.read_text()[-2000:]}")

    async def stop(self) -> None:
        """Kill the limiter, if it still runs, and remove its files."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self._directory.cleanup()


class Client:
    """A client's connection to a limiter."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> Client:
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Read one answer: status, headers by lower-case name, body."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        status_line, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
        }
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return int(status_line.split(" ")[1]), headers, body

    async def exchange(self, request: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send a request and read its answer."""
        self.writer.write(request)
        return await self.read_answer()

    def close(self) -> None:
        self.writer.close()


def build_request(
    class_name: str,
    request_id: str,
    customer_id: int,
    deadline_s: float,
    idempotency_key: str = "",
    body: bytes | None = None,
    units: int = 1,
    spread: int = 2,
    plan: str = "laaja",
) -> bytes:
    """Return a client's request in the form of the protocol page: a GET, or a POST if there is a body."""
    method = "GET" if body is None else "POST"
    lines = [
        f"{method} /{class_name}/{request_id} HTTP/1.1",
        "Host: backend.local",
        f"Req-Id: {request_id}",
        f"Req-Kind: {class_name}",
        f"X-Tier: {plan}",
        f"X-Api-Key: {customer_id:016x}",
        f"Req-Deadline: {deadline_s:.3f}",
        f"X-Call-Terms: units={units},spread={spread},first=0",
    ]
    if idempotency_key:
        lines.append(f"Idempotency-Key: {idempotency_key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def run_case(case: Callable[[Record], Awaitable[int]], case_file: str, timeout_s: float = 110.0) -> None:
    """Run a case and exit with its result: 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    record = Record(Path(case_file).resolve().parent)
    record.add(f"disruption is {'on' if TROUBLE else 'off'}")

    async def bounded() -> int:
        async with asyncio.timeout(timeout_s):
            return await case(record)

    def stop(*_: object) -> None:
        raise CaseError("stopped by a signal")

    signal.signal(signal.SIGTERM, stop)
    try:
        result = asyncio.run(bounded())
    except Exception as error:  # also a fault of the case itself: only a broken rule may exit with 1
        record.conclude(f"the case could not run: {error!r}")
        result = COULD_NOT_RUN
    record.conclude({HELD: "HELD", BROKEN: "BROKEN", COULD_NOT_RUN: "COULD NOT RUN"}[result])
    sys.exit(result)
