"""The servers of the list, and the pool of connections to them.

Fields that end in `_s` are seconds; points in time are on the monotonic clock, as the event loop's are.
"""

from __future__ import annotations

import asyncio
import bisect
import logging
import socket
from collections.abc import Callable
from time import monotonic

from ironstage.interface import CallStatus
from ironstage.net.attempt import TIMER_RESOLUTION_S, Attempt, AttemptResult, ServerRequest
from ironstage.net.config import Address
from ironstage.net.memory import MemoryAccount, Purpose
from ironstage.net.server_connection import CONNECTION_BYTES, Server, ServerConnection

log = logging.getLogger(__name__)

# A connection is reused within this fraction of the servers' idle timeout: clocks need not agree exactly.
IDLE_TIMEOUT_FRACTION = 0.5
SAFE_REUSE_IDLE_S = 0.05  # no server closes a connection that has been idle for less
# After a connection broke that had been idle for a time t, others are reused up to this fraction of t.
BROKEN_IDLE_FRACTION = 0.5
# Growth of that bound at each call of `close_expired_connections`, every 0.25 s: it doubles in about a minute
# until it is back at its initial value.
MAX_IDLE_GROWTH_FACTOR = 1.003


class Servers:
    """The servers by id, and a pool of connections to them.

    A connection rests for DUPLICATE_RESPONSE_WAIT_S after each response before it is reused.

    At most `max_connections` are open. Servers close a connection idle for `server_idle_timeout_s`.
    """

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        server_idle_timeout_s: float,
        memory: MemoryAccount,
    ) -> None:
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_s
        self._initial_max_idle_s = self._max_idle_s = max(
            SAFE_REUSE_IDLE_S, server_idle_timeout_s * IDLE_TIMEOUT_FRACTION
        )
        self._servers: dict[int, Server] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._open_connection_count = 0
        self.memory = memory
        memory.add_relief(self._close_longest_idle_connection)

    def add_or_update(self, server_id: int, address: Address, ready: bool, born_ms: float = 0.0) -> None:
        """Record a server as discovery reports it.

        If it moved, started anew or isn't ready, its idle connections are closed: they may still look open
        though they lead to a process that is gone.
        """
        server = self._servers.setdefault(server_id, Server(address, born_ms))
        if not ready or server.address != address or server.born_ms != born_ms:
            self._close_idle_connections_to(server)
        server.ready = ready
        if ready:
            server.address, server.born_ms = address, born_ms

    def remove(self, server_id: int) -> None:
        """Forget a server that is gone; its outstanding attempts finish on their connections."""
        if server := self._servers.pop(server_id, None):
            server.ready = False
            self._close_idle_connections_to(server)

    def any_ready(self) -> bool:
        """Return whether any server takes new requests."""
        return any(server.ready for server in self._servers.values())

    def send(
        self,
        server_id: int,
        request: ServerRequest,
        deadline_s: float,
        on_end: Callable[[AttemptResult], None],
    ) -> Attempt:
        """Start an attempt over an idle connection, or over a new one.

        An `at_most_once` request reuses a connection only within SAFE_REUSE_IDLE_S: the server might be
        closing one that has been idle for longer, and the request can't be retried after a reset. So it
        waits for a connection that was used just before, where other requests use an older one or a new one.
        At the limit on connections all requests wait so: a new one would close one that others can reuse.
        """
        attempt = Attempt(request, deadline_s, on_end)
        server = self._servers[server_id]
        max_idle_s = min(self._max_idle_s, SAFE_REUSE_IDLE_S) if request.at_most_once else self._max_idle_s
        if connection := self._take_idle_connection(server, max_idle_s):
            connection.start(attempt)
            return attempt
        must_wait = request.at_most_once or self._is_full()
        resting_connection = self._take_resting_connection(server) if must_wait else None
        coroutine = (
            self._start_after_rest(server, attempt, resting_connection, max_idle_s)
            if resting_connection
            else self._connect(server, attempt)
        )
        task = asyncio.get_running_loop().create_task(coroutine)
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return attempt

    def _take_idle_connection(self, server: Server, max_idle_s: float) -> ServerConnection | None:
        """Remove and return the most recently used reusable connection, or None if there is none.

        The connection has been idle for at most `max_idle_s`. Connections that can no longer be reused are
        closed on the way.
        """
        now_s = monotonic()
        for connection in reversed(tuple(server.idle_connections)):
            idle_s = now_s - connection.idle_since_s
            if idle_s < connection.min_idle_s:
                continue  # a duplicate of its last response may still arrive
            if max_idle_s < idle_s <= self._max_idle_s:
                return None  # still of use to other requests; the remaining ones have been idle even longer
            server.idle_connections.remove(connection)
            if idle_s <= max_idle_s and connection.is_reusable():
                connection.prior_idle_s = idle_s
                return connection
            connection.close_immediately()
        return None

    def _take_resting_connection(self, server: Server) -> ServerConnection | None:
        """Remove and return the idle connection that may be reused next, or None if none is resting."""
        now_s = monotonic()
        for index, connection in enumerate(server.idle_connections):
            if now_s - connection.idle_since_s < connection.min_idle_s:
                return server.idle_connections.pop(index)
        return None

    async def _start_after_rest(
        self, server: Server, attempt: Attempt, connection: ServerConnection, max_idle_s: float
    ) -> None:
        """Start an attempt over a connection that may not be reused yet, or else over a new one.

        The latter happens if the connection breaks, or if the wait takes until it has been idle for longer
        than `max_idle_s`.
        """
        process = server.address, server.born_ms
        try:
            await asyncio.sleep(
                connection.idle_since_s + connection.min_idle_s - monotonic() + TIMER_RESOLUTION_S
            )
        except asyncio.CancelledError:
            connection.close_immediately()
            raise
        connection.prior_idle_s = monotonic() - connection.idle_since_s
        if connection.prior_idle_s > max_idle_s or not connection.is_reusable():
            connection.close_immediately()
            if not attempt.ended:
                await self._connect(server, attempt)
        else:
            self._start_if_still_wanted(server, process, attempt, connection)

    def _start_if_still_wanted(
        self, server: Server, process: tuple[Address, float], attempt: Attempt, connection: ServerConnection
    ) -> None:
        """Start an attempt after a wait, unless it has ended by then or its request may no longer be written.

        The connection is then kept for the next attempt.
        """
        if not server.ready or (server.address, server.born_ms) != process:
            # The server drains, moved or started anew meanwhile: no new request may go to this process.
            connection.close_immediately()
            attempt.end(AttemptResult(CallStatus.CONNECT_FAILED))
            return
        if monotonic() > attempt.request.write_by_s:  # its timer may be late
            attempt.end(AttemptResult(CallStatus.NOT_SENT))
        if attempt.ended:
            self.add_idle_connection(server, connection)
        else:
            connection.start(attempt)

    async def _connect(self, server: Server, attempt: Attempt) -> None:
        """Open a connection for an attempt; if the attempt has ended by then, keep it for the next one."""
        if self._is_full() and not self._close_longest_idle_connection():
            log.warning(
                "cannot open a connection to server %s: limit reached, %d are open and none is idle",
                server.address,
                self._open_connection_count,
            )
            attempt.end(AttemptResult(CallStatus.CONNECT_FAILED))
            return
        self._open_connection_count += 1
        address, process, sock = server.address, (server.address, server.born_ms), None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                loop = asyncio.get_running_loop()
                sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await loop.sock_connect(sock, address)
                connection = ServerConnection(self, server, sock)
                await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError):
            self._open_connection_count -= 1
            if sock:
                sock.close()
            attempt.end(AttemptResult(CallStatus.CONNECT_FAILED))
            return
        self._start_if_still_wanted(server, process, attempt, connection)

    def _is_full(self) -> bool:
        """Return whether another connection would exceed the limit on them or the memory account."""
        return self._open_connection_count >= self._max_connections or not self.memory.fits(
            CONNECTION_BYTES, Purpose.RESPONSE
        )

    def add_idle_connection(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for reuse, unless its server takes no new requests."""
        if not server.ready:
            connection.close_immediately()
            return
        bisect.insort(server.idle_connections, connection, key=lambda idle: idle.idle_since_s)

    def handle_connection_closed(self, server: Server, connection: ServerConnection) -> None:
        """Forget a connection that was closed."""
        self._open_connection_count -= 1
        if connection in server.idle_connections:
            server.idle_connections.remove(connection)

    def record_broken_connection(self, prior_idle_s: float) -> None:
        """Lower the bound on reuse after a connection broke under an attempt without any response.

        `prior_idle_s` is how long it had been idle before. Other idle connections may have been dropped
        after as long a time, without this side noticing. 0, for a new connection, tells nothing.
        """
        if prior_idle_s > 0:
            self._max_idle_s = min(
                self._max_idle_s, max(SAFE_REUSE_IDLE_S, prior_idle_s * BROKEN_IDLE_FRACTION)
            )

    def close_idle_connections(self, server_id: int) -> None:
        """Close the idle connections to a server, if it is known."""
        if server := self._servers.get(server_id):
            self._close_idle_connections_to(server)

    def _close_idle_connections_to(self, server: Server) -> None:
        for connection in server.idle_connections:
            connection.close_immediately()
        server.idle_connections.clear()

    def _close_longest_idle_connection(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
        servers_with_idle = [server for server in self._servers.values() if server.idle_connections]
        if not servers_with_idle:
            return False
        min(
            servers_with_idle, key=lambda server: server.idle_connections[0].idle_since_s
        ).idle_connections.pop(0).close_immediately()
        return True

    def close_expired_connections(self) -> None:
        """Close connections idle for too long, before the server closes them under a new request.

        Each call also raises a bound on reuse that `record_broken_connection` lowered.
        """
        self._max_idle_s = min(self._initial_max_idle_s, self._max_idle_s * MAX_IDLE_GROWTH_FACTOR)
        cutoff_s = monotonic() - self._max_idle_s
        for server in self._servers.values():
            while server.idle_connections and server.idle_connections[0].idle_since_s < cutoff_s:
                server.idle_connections.pop(0).close_immediately()

    def close(self) -> None:
        """Cancel the connects under way and close all idle connections."""
        for task in list(self._connect_tasks):
            task.cancel()
        for server in self._servers.values():
            self._close_idle_connections_to(server)
