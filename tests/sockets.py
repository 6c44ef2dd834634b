"""Test support on loopback: a limiter, servers and a discovery agent that tests control, raw HTTP clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import uvloop

from ironstage.net.clients import Clients
from ironstage.net.config import Config
from ironstage.net.discovery import Watch
from ironstage.net.limiter import Limiter
from ironstage.net.memory import MemoryAccount
from ironstage.simulator_protocol import parse_settings

TEST_TIMEOUT_S = 30.0  # reached only by a test that hangs

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "me": 0,
    "zones": ["hall-a", "hall-b"],
    "services": [
        {"name": "read", "aimMs": 1e5, "hardLimitMs": 1e5, "effect": "idempotent"},
        {
            "name": "upload",
            "aimMs": 1e5,
            "hardLimitMs": 1e5,
            "effect": "deduplicated",
            "windowMs": 5000.0,
        },
        {"name": "fix", "aimMs": 1e5, "hardLimitMs": 1e5, "effect": "at_most_once"},
    ],
    "contracts": [{"name": "basic", "rate": 1000.0, "mostAtOnce": 2000.0}],
    "guarantees": {
        "coldFrom": 0.2,
        "coldMs": 10000.0,
        "tipMultiple": 2.0,
        "fallMs": 1000.0,
        "drainGraceMs": 250.0,
    },
    "ceilings": {
        "maxAttempts": 3,
        "cancel": True,
        "connectTimeoutMs": 250.0,
        "connIdleMs": 30000.0,
    },
    "specifics": {"mostUnits": 6},
    "report": {"fields": ["rif", "rate"], "how": "pull"},
}


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on uvloop, as the program runs; fail it after `TEST_TIMEOUT_S`."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until the condition holds."""
    while not condition():
        await asyncio.sleep(0.005)


# --- Servers --------------------------------------------------------------------------------------
@dataclass(slots=True)
class ReceivedRequest:
    """A request as a `Backend` received it, and the connection to answer on.

    `connection_number` counts the connections of the backend from 1.
    """

    request_line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    connection_number: int
    connection_closed: asyncio.Event  # set once the limiter has closed the connection

    def reply(self, status: str = "200 OK", body: bytes = b"", *headers: str) -> None:
        """Send a response with this status and body; each of `headers` is a whole header line."""
        head = "\r\n".join([f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""])
        self.writer.write(head.encode() + body)

    def reset_connection(self) -> None:
        """Close the connection at once, without sending what is still buffered."""
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the limiter has closed the connection."""
        await self.connection_closed.wait()


async def read_http_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message: its first line, its headers by lower-case name, and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    start_line, *header_lines = head.rstrip("\r\n").split("\r\n")
    headers = {
        name.lower(): value for name, value in (header_line.split(": ", 1) for header_line in header_lines)
    }
    return start_line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


RequestHandler = Callable[[ReceivedRequest], Awaitable[None]]


@dataclass
class Backend:
    """A server on loopback that runs `handler` for each request.

    Without a handler, the test takes requests from `request_queue` and answers them itself. `requests` holds
    all requests received so far. Whenever a connection comes up, the event loop, and so the limiter, is held
    up for `hold_up_s`.
    """

    handler: RequestHandler | None = None
    requests: list[ReceivedRequest] = field(default_factory=list)
    request_queue: asyncio.Queue[ReceivedRequest] = field(default_factory=asyncio.Queue)
    connection_count: int = 0
    address: str = ""
    hold_up_s: float = 0.0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        time.sleep(self.hold_up_s)
        self.connection_count += 1
        connection_number, connection_closed = self.connection_count, asyncio.Event()
        try:
            while True:
                request = ReceivedRequest(
                    *await read_http_message(reader), writer, connection_number, connection_closed
                )
                self.requests.append(request)
                self.request_queue.put_nowait(request)
                if self.handler is not None:
                    await self.handler(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            connection_closed.set()


@contextlib.asynccontextmanager
async def backend(handler: RequestHandler | None = None) -> AsyncIterator[Backend]:
    """Run a `Backend` on a free port of loopback."""
    running_backend = Backend(handler)
    server = await asyncio.start_server(running_backend._serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    running_backend.address = f"{host}:{port}"
    try:
        yield running_backend
    finally:
        server.close()


def unused_address() -> str:
    """Return an address at which connections are refused, as nothing listens there."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    return f"{host}:{port}"


# --- Discovery ------------------------------------------------------------------------------------
def host_entry(name: str, dial: str, health: str = "active", born_ms: float = 0) -> dict[str, Any]:
    """Return a server's entry in a host list; `born_ms` is the Unix time of its start, 0 for long ago."""
    return {
        "host": name,
        "dial": dial,
        "site": "hall-a",
        "class": "m2",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def host_list(seq: int, *hosts: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    """Return version `seq` of the host list: all hosts if `whole`, else changes only."""
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


class DiscoveryAgent:
    """A discovery agent on loopback.

    `watch_queries` receives the path and query of each watch; `send_line` writes to the latest watch.
    """

    def __init__(self) -> None:
        self.watch_queries: asyncio.Queue[str] = asyncio.Queue()
        self.address = ("", 0)
        self._writer: asyncio.StreamWriter | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_line, _, _ = await read_http_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._writer = writer
        self.watch_queries.put_nowait(request_line.split(" ")[1])

    def send_line(self, line: bytes | dict[str, Any]) -> None:
        """Send a chunk: bytes as they are, a host list as a line of JSON."""
        assert self._writer
        data = line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n"
        self._writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def drop_connection(self) -> None:
        """Close the latest watch's connection without ending its response."""
        assert self._writer
        self._writer.transport.abort()


@contextlib.asynccontextmanager
async def discovery_agent() -> AsyncIterator[DiscoveryAgent]:
    """Run a `DiscoveryAgent` on a free port of loopback."""
    running_agent = DiscoveryAgent()
    server = await asyncio.start_server(running_agent._serve, "127.0.0.1", 0)
    running_agent.address = server.sockets[0].getsockname()
    try:
        yield running_agent
    finally:
        server.close()


# --- The limiter and its clients ------------------------------------------------------------------
def make_config(
    *hosts: dict[str, Any], discovery: tuple[str, int] = ("127.0.0.1", 1), **overrides: Any
) -> Config:
    """Return a limiter's configuration with these hosts in its host list; `overrides` replace its fields.

    `settings` among the overrides replaces top-level keys of `SETTINGS`.
    """
    raw_settings = {**SETTINGS, **overrides.pop("settings", {})}
    fields: dict[str, Any] = {
        "name": "n0",
        "listen": ("127.0.0.1", 0),
        "discovery": discovery,
        "seed": 1,
        "sockets": 1024,
        "memory_limit_bytes": 192 << 20,
        "max_open": 1000,
        "settings": parse_settings(json.dumps(raw_settings).encode()),
        "zones": ("hall-a", "hall-b"),
        "connect_timeout_s": 0.25,
        "server_idle_timeout_s": 30.0,
        "known": host_list(1, *hosts),
    }
    return Config(**{**fields, **overrides})


class LimiterFixture:
    """A limiter with its client side and its discovery watch, as the program wires them."""

    def __init__(self, config: Config, memory_capacity_bytes: int) -> None:
        self.memory = MemoryAccount(memory_capacity_bytes)
        self.limiter = Limiter(config, self.memory)
        self.clients = Clients(self.limiter, config.settings, config.listen, 100, self.memory)
        self.watch = Watch(config.discovery, self.limiter.apply_host_list, random.Random(1), self.memory)
        self.watch.seq = self.limiter.cached_list_seq

    async def connect(self) -> Client:
        """Open a client connection to the limiter."""
        return Client(*await asyncio.open_connection(*self.clients.address))


@contextlib.asynccontextmanager
async def running_limiter(
    *hosts: dict[str, Any],
    agent: DiscoveryAgent | None = None,
    memory_capacity_bytes: int = 1 << 26,
    **overrides: Any,
) -> AsyncIterator[LimiterFixture]:
    """Run a limiter with these hosts in its configured host list; it watches the `agent`, if given."""
    if agent:
        overrides["discovery"] = agent.address
    fixture = LimiterFixture(make_config(*hosts, **overrides), memory_capacity_bytes)
    fixture.clients.listen()
    watch_task = asyncio.create_task(fixture.watch.run()) if agent else None
    try:
        yield fixture
    finally:
        if watch_task:
            watch_task.cancel()
        fixture.clients.stop_listening()
        fixture.limiter.close()


@dataclass(slots=True)
class Response:
    """The limiter's response to a client; header names are in lower case."""

    status_code: int
    headers: dict[str, str]
    body: bytes


def build_request(
    class_name: str = "read", request_id: str = "9b1f03aa5c7e2d41", body: bytes = b"", **overrides: str | None
) -> bytes:
    """Return a valid request of a class; `overrides` replace its headers, `method` and `path`.

    Header names have _ in place of -, and a header set to None is left out.
    """
    headers: dict[str, str | None] = {
        "Host": "backend.local",
        "Req-Id": request_id,
        "Req-Kind": class_name,
        "X-Tier": "basic",
        "X-Api-Key": "00000000b4d65521",
        "Req-Deadline": "90",  # longer than TEST_TIMEOUT_S: a test that waits for it fails
        "X-Call-Terms": "units=1,spread=3,first=1",
    }
    if class_name == "upload":
        headers["Idempotency-Key"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
    if class_name != "read":
        headers["Content-Length"] = str(len(body))
    method = overrides.pop("method", "GET" if class_name == "read" else "POST")
    path = overrides.pop("path", f"/{class_name}/7?a=%20b")
    headers.update({name.replace("_", "-"): value for name, value in overrides.items()})
    header_lines = [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *header_lines, "", ""]).encode() + body


@dataclass(slots=True)
class Client:
    """A client connection that sends raw bytes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)

    async def read_response(self) -> Response:
        """Read the next response."""
        status_line, headers, body = await read_http_message(self.reader)
        return Response(int(status_line.split(" ")[1]), headers, body)

    async def request(self, raw_request: bytes) -> Response:
        """Send a request and read the next response."""
        self.send(raw_request)
        return await self.read_response()

    async def wait_closed(self) -> None:
        """Wait until the limiter closes the connection, and check that it sends nothing before."""
        assert await self.reader.read() == b""

    def close(self) -> None:
        """Close the connection from the client's side."""
        self.writer.close()
