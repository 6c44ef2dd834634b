"""Test support: a limiter as a process of its own, whose memory and answers are watched from outside."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sockets import SETTINGS, Client, build_request, host_list, unused_address

ROOT = Path(__file__).parent.parent
CLIENT_TIMEOUT_S = 1.5  # of each sound request
LOST_AFTER_S = 0.5  # later than this after its time, an answer is lost
TIME_LIMIT_SLACK_S = 0.05  # of every time limit of the protocol
ASK_INTERVAL_S = 0.05


class LimiterProcess:
    """A running limiter process, its address and its configuration file."""

    def __init__(self, process: asyncio.subprocess.Process, address: str, config_path: Path) -> None:
        self.process = process
        self.host, port = address.split(":")
        self.config_path = config_path
        self.port = int(port)

    async def connect(self) -> Client:
        """Open a client connection to the limiter."""
        return Client(*await asyncio.open_connection(self.host, self.port))

    def log_text(self) -> str:
        """Return what the process has logged so far."""
        return (self.config_path.parent / "log").read_text()

    def resident_mb(self) -> float:
        """Return the memory that the process holds, in MB, as the kernel tells it."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / 1024

    async def wait_ready(self) -> None:
        """Wait until the limiter accepts connections and has a ready server."""
        while True:
            with contextlib.suppress(ConnectionError):
                client = await self.connect()
                response = await client.request(b"GET /up HTTP/1.1\r\n\r\n")
                client.close()
                if response.status_code == 200:
                    return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_process(
    directory: Path,
    *hosts: dict[str, Any],
    before_exec: Callable[[], None] | None = None,
    memory_mb: float = 192,
    sockets: int = 1024,
    discovery: str | None = None,
    settings: dict[str, Any] | None = None,
) -> AsyncIterator[LimiterProcess]:
    """Run a limiter process with these hosts in its host list; `directory` holds its files.

    The process writes its log to the file "log" there; `before_exec` runs in the new process first.
    `settings` replace top-level keys of `SETTINGS`.
    """
    address, config_path = unused_address(), directory / "config.json"
    config: dict[str, Any] = {
        "name": "n3",
        "listen": address,
        "discovery": discovery or unused_address(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": host_list(1, *hosts),
        "settings": {**SETTINGS, **(settings or {})},
    }
    config_path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ironstage",
        cwd=ROOT,
        env={**os.environ, "GW_CONFIG": str(config_path), "GW_DISCOVERY": config["discovery"]},
        preexec_fn=before_exec,
        stderr=(directory / "log").open("wb"),
    )
    limiter = LimiterProcess(process, address, config_path)
    try:
        await limiter.wait_ready()
        yield limiter
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


@dataclass
class Observation:
    """What was seen of a limiter from outside: its memory, and the answers to sound requests."""

    peak_mb: float = 0.0
    max_wait_s: float = 0.0
    statuses: Counter[int] = field(default_factory=Counter)
    has_failed: bool = False  # the log holds a traceback

    def check(self, memory_mb: float) -> None:
        """Check that the limiter kept to its memory limit and answered each sound request in time."""
        assert not self.has_failed
        assert self.peak_mb <= memory_mb
        assert self.max_wait_s <= CLIENT_TIMEOUT_S + LOST_AFTER_S + TIME_LIMIT_SLACK_S
        assert self.statuses.keys() <= {200, 429, 503}


async def observe(limiter: LimiterProcess, duration_s: float) -> Observation:
    """Ask the limiter steadily, each time on a new connection, and watch its memory meanwhile.

    A connection that is shut before anything was sent on it is opened anew, as clients do.
    """
    observation = Observation()
    loop = asyncio.get_running_loop()

    async def ask(number: int) -> None:
        start_s = time.monotonic()
        request = build_request("read", f"sound{number}", Req_Deadline=str(CLIENT_TIMEOUT_S))
        while True:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                client = await limiter.connect()
                response = await client.request(request)
                break
        observation.max_wait_s = max(observation.max_wait_s, time.monotonic() - start_s)
        observation.statuses[response.status_code] += 1
        client.close()

    asks: list[asyncio.Task[None]] = []
    end_s = loop.time() + duration_s
    while loop.time() < end_s or not all(task.done() for task in asks):
        if loop.time() < end_s and len(asks) * ASK_INTERVAL_S < duration_s - (end_s - loop.time()):
            asks.append(asyncio.create_task(ask(len(asks))))
        observation.peak_mb = max(observation.peak_mb, limiter.resident_mb())
        await asyncio.sleep(0.01)
    await asyncio.gather(*asks)
    observation.has_failed = "Traceback" in limiter.log_text()
    return observation
