"""Service discovery: the list of servers, and a watch for its changes that reconnects with backoff.

A watch is one chunked HTTP/1.1 response of the discovery agent that does not end. Each line is a host list
in JSON or is empty, and any data is a heartbeat. Fields that end in `_s` are seconds. A host is a server as
discovery describes it; `ironstage.net.limiter` turns host lists into the decision module's server lists.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from ironstage import interface as api
from ironstage.net.config import Address, ConfigError, parse_address
from ironstage.net.memory import Holding, MemoryAccount, Purpose
from ironstage.net.paced_reader import MESSAGE_WORK, PARSE_PIECE_BYTES, PacedReader

log = logging.getLogger(__name__)

# A limiter is regarded as knowing a change 6 s after discovery had it, whether or not it has received it.
# HEARTBEAT_TIMEOUT_S and MAX_BACKOFF_S stay below that.
HEARTBEAT_TIMEOUT_S = 4.5  # the agent writes every 2 s
CONNECT_TIMEOUT_S = 1.0
# First and longest backoff before the watch reconnects, with up to UNSCALED_BACKOFF_CLIENT_COUNT limiters.
BACKOFF_RANGE_S = (0.05, 1.0)
# With more limiters the backoff grows in proportion: discovery can handle no higher rate of calls.
UNSCALED_BACKOFF_CLIENT_COUNT = 2
MAX_BACKOFF_S = 5.0  # however many limiters there are
MAX_LINE_BYTES = 4 << 20  # and no more than the memory account has room for
MAX_FRAMING_BYTES = 16 * 1024  # of the head, a chunk extension or the trailer
MAX_NAME_LENGTH = 256  # of a host or a zone, in characters
# Upper bounds of the memory that the parsed form of a line takes for each of these, in bytes.
PARSED_OBJECT_BYTES = 200
PARSED_ELEMENT_BYTES = 72
# A list so much longer than the known one is accepted even when memory is short: the fleet may have grown.
EXPECTED_LIST_GROWTH_FACTOR = 1.5

STATE_BY_HEALTH = {
    "active": api.ServerState.READY,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.GONE,
}


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the host list: a server, its address `dial`, and its location.

    `relative_capacity` is a factor without unit.
    """

    name: str
    dial: Address
    zone: str
    cell: int
    state: api.ServerState
    relative_capacity: float
    born_ms: float  # Unix time of its start, 0 for long ago


@dataclass(frozen=True, slots=True)
class HostList:
    """Version `seq` of the host list: all hosts if `whole`, else changes to the hosts that it names."""

    seq: int
    whole: bool
    hosts: tuple[Host, ...]


def _parse_finite(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"not a finite number: {value!r}")
    return number


def _parse_host(raw: Any) -> Host:
    state, name = STATE_BY_HEALTH[raw["health"]], raw["host"]
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError("host is empty, too long or not a string")
    zone = str(raw.get("site", ""))
    if len(zone) > MAX_NAME_LENGTH:
        raise ValueError("site is too long")
    return Host(
        name=name,
        # A host that left needs no address, as nothing is sent to it any more.
        dial=("", 0) if state is api.ServerState.GONE else parse_address(raw["dial"]),
        zone=zone,
        cell=int(raw.get("block", 0)),
        state=state,
        relative_capacity=_parse_finite(raw.get("share", 1.0)),
        born_ms=_parse_finite(raw.get("born_ms", 0)),
    )


def parse_host_list(raw: Any) -> tuple[HostList, bool]:
    """Parse a host list; return it, and whether all of its entries are valid.

    Invalid entries are skipped. The list is then not `whole`, as a host that seems absent may be the one
    of an invalid entry and must not be taken for gone. Raise ValueError if `raw` is not a host list.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise ValueError("not an object with a list of hosts")
    seq = raw.get("seq")
    if isinstance(seq, bool) or not isinstance(seq, int):
        raise ValueError("seq is not an integer")
    hosts, all_valid = [], True
    for entry in raw["hosts"]:
        try:
            hosts.append(_parse_host(entry))
        except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
            log.warning("discovery: invalid entry in host list version %d, skipping it: %r", seq, error)
            all_valid = False
    return HostList(seq, all_valid and raw.get("whole") is True, tuple(hosts)), all_valid


def parsed_size_bytes(line: bytes) -> int:
    """Return an upper bound of the memory that it takes to parse a line of JSON."""
    text_bytes = len(line) * (2 if line.isascii() else 5)  # the line, and its characters
    element_count = line.count(b",") + line.count(b"[") + 1
    return text_bytes + line.count(b"{") * PARSED_OBJECT_BYTES + element_count * PARSED_ELEMENT_BYTES


def expected_list_bytes(known: Any) -> int:
    """Return the memory for parsing a whole list somewhat longer than the one in the configuration."""
    return int(EXPECTED_LIST_GROWTH_FACTOR * parsed_size_bytes(json.dumps(known, indent=1).encode()))


class _WatchStream(PacedReader):
    """The connection of one watch: splits the chunked response into lines.

    `on_line` gets each line that is not empty, and returns False to close the watch. `ended` is done once the
    connection is closed. A line that takes up to `expected_line_bytes` is read and parsed in any case.
    """

    def __init__(
        self, on_line: Callable[[bytes], bool], memory: MemoryAccount, expected_line_bytes: int = 0
    ) -> None:
        super().__init__()
        self._on_line = on_line
        self._expected_line_bytes = expected_line_bytes
        self._holding = Holding(memory)
        self._framing_bytes = 0  # received since the start of the response, or since a piece of its body
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()  # extended in place, as a line may arrive byte by byte
        self._has_complete_line = False  # the buffer holds the end of a line
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.last_received_s = asyncio.get_running_loop().time()

    def parse_piece(self, piece: memoryview) -> None:
        """Parse a piece of the response, and process the lines that it completes."""
        self.last_received_s = asyncio.get_running_loop().time()
        self._framing_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            log.warning("discovery: invalid HTTP response, closing the watch: %r", error)
            self.close()
            return
        if self._framing_bytes > MAX_FRAMING_BYTES:
            log.warning("discovery: head or trailer too large, closing the watch")
            self.close()
            return
        self._process_lines()

    def _process_lines(self) -> None:
        lines: list[bytes] = []
        # Splitting the buffer at each chunk would take quadratic time for a long list in many chunks.
        if self._has_complete_line:
            *lines, incomplete_line = bytes(self._buffer).split(b"\n")
            self._buffer, self._has_complete_line = bytearray(incomplete_line), False
        for line in lines:
            if line.strip() and not self._process_line(line):
                self.close()
                return
        if len(self._buffer) > MAX_LINE_BYTES or not self._hold(len(self._buffer)):
            log.warning("discovery: line longer than %d bytes, closing the watch", len(self._buffer))
            self.close()

    def _process_line(self, line: bytes) -> bool:
        """Process a line, if there is memory to parse it; return False if it has to be requested again."""
        self.count_work(MESSAGE_WORK + len(line) // PARSE_PIECE_BYTES)
        if not self._hold(parsed_size_bytes(line)):
            log.warning("discovery: no memory to parse a line of %d bytes, closing the watch", len(line))
            return False
        return self._on_line(line)

    def _hold(self, size_bytes: int) -> bool:
        if size_bytes > self._expected_line_bytes:
            return self._holding.resize(size_bytes, Purpose.DISCOVERY)
        self._holding.take_over(size_bytes)
        return True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_work()

    def on_body(self, body: bytes) -> None:
        self.count_work()
        self._framing_bytes = 0
        if self._parser.get_status_code() == 200:
            self._buffer += body
            self._has_complete_line = self._has_complete_line or b"\n" in body

    def on_message_complete(self) -> None:
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        del self._parser  # breaks a reference cycle that only the garbage collector would free
        self._buffer = bytearray()
        self._holding.release()
        if not self.ended.done():
            self.ended.set_result(None)

    def close(self) -> None:
        if self._transport:
            self._transport.close()


def count_discovery_clients(settings: api.Settings) -> int:
    """Return how many limiters call the same discovery service, as the backoff depends on it.

    If limiters must subscribe to changes, all of them call the same service. Otherwise changes are pushed to
    the agent on each machine, which answers at once. What it holds is regarded as known to its limiter,
    whether requested or not, so a starting limiter must not be delayed by a long backoff.
    """
    return settings.gateway_count if settings.must_subscribe else 1


class Watch:
    """Keeps a watch open and passes each host list with something new to `on_list`.

    `seq` is the version of the latest list that was processed and had no invalid entry. Lists that take up to
    `expected_list_bytes` to parse are accepted however little memory is left.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[HostList], None],
        rng: random.Random,
        memory: MemoryAccount,
        discovery_client_count: int = 1,
        expected_list_bytes: int = 0,
    ) -> None:
        self._address = address
        self._expected_list_bytes = expected_list_bytes
        self._memory = memory
        self._on_list = on_list
        self._rng = rng
        scale = max(1.0, discovery_client_count / UNSCALED_BACKOFF_CLIENT_COUNT)
        self._min_backoff_s, self._max_backoff_s = (
            min(MAX_BACKOFF_S, bound_s * scale) for bound_s in BACKOFF_RANGE_S
        )
        self._awaiting_first_list = True
        self._watch_timeout: asyncio.Timeout | None = None  # made to expire when the address changes
        self.seq = 0

    def change_address(self, address: Address) -> None:
        """Switch the watch to another agent at once; the host list received so far stays in use."""
        if address != self._address:
            self._address = address
            if self._watch_timeout:
                self._watch_timeout.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Watch until cancelled; after each failure reconnect from the last version processed.

        The backoff is random: limiters that start or lose discovery at the same time would else call it again
        at the same time, and delay one another until every call times out.
        """
        min_backoff_s, max_backoff_s = self._min_backoff_s, self._max_backoff_s
        backoff_s = min_backoff_s
        await asyncio.sleep(min_backoff_s * self._rng.random())
        while True:
            seq_before = self.seq
            try:
                async with asyncio.timeout(None) as self._watch_timeout:
                    await self._watch_once()
                    backoff_s = min_backoff_s if self.seq != seq_before else min(max_backoff_s, backoff_s * 2)
                    await asyncio.sleep(backoff_s * (1.0 + self._rng.random()) / 2)
            except TimeoutError:  # the address changed; the new agent has its own version numbers
                self.seq, backoff_s = 0, min_backoff_s

    async def _watch_once(self) -> None:
        """Watch until the connection ends; log a failure to connect."""
        try:
            await self._connect_and_read()
        except (OSError, TimeoutError) as error:
            log.warning("discovery: cannot connect, retrying after the backoff: %r", error)

    async def _connect_and_read(self) -> None:
        """Connect to the agent, request the watch and process its lines until it ends or stalls."""
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._awaiting_first_list = True
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, stream = await loop.create_connection(
                lambda: _WatchStream(self._handle_line, self._memory, self._expected_list_bytes), host, port
            )
        request = f"GET /discovery/hosts?follow=1&since={self.seq} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        transport.write(request.encode())
        try:
            # TCP does not report that the other machine became unreachable: only missing heartbeats show it.
            while (
                not stream.ended.done()
                and (remaining_s := stream.last_received_s + HEARTBEAT_TIMEOUT_S - loop.time()) > 0
            ):
                await asyncio.wait([stream.ended], timeout=remaining_s)
        finally:
            transport.abort()

    def _handle_line(self, line: bytes) -> bool:
        """Process a line; return False if it is not entirely valid and must be requested again."""
        try:
            host_list, all_valid = parse_host_list(json.loads(line))
        except (ValueError, RecursionError) as error:
            log.warning("discovery: invalid host list, closing the watch: %r", error)
            return False
        # Ignore repeated and outdated lists. Only a full list at the start of a watch may reset the version.
        if host_list.seq <= self.seq and not (self._awaiting_first_list and host_list.whole):
            return True
        self._awaiting_first_list = False
        self._on_list(host_list)
        if all_valid:
            self.seq = host_list.seq
        return all_valid
