"""The client side: accepts connections, bounds their number, ends stalled ones, and drains.

Fields that end in `_s` are seconds.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from time import monotonic

from ironstage.interface import Settings
from ironstage.net.client_connection import ClientConnection, ConnectionTable, has_data
from ironstage.net.config import Address
from ironstage.net.limiter import Limiter
from ironstage.net.memory import MemoryAccount
from ironstage.net.request_validation import RequestValidator

log = logging.getLogger(__name__)

ACCEPT_BATCH_SIZE = 64  # connections accepted in a row, before the event loop serves the open ones again
ACCEPT_RETRY_DELAY_S = 0.05  # while the limit on connections is reached or the descriptors have run out
# For reading a whole request, from its first byte; for the first request of a connection, from the connect.
# A connection that takes longer is closed.
REQUEST_READ_TIMEOUT_S = 2.0
MIN_DRAIN_LISTEN_S = 0.45  # new connections arrive for up to 0.4 s after SIGTERM
LISTEN_QUIET_PERIOD_S = 0.1  # a drain stops listening only this long after the last new connection
MAX_DRAIN_LISTEN_S = 0.6  # however many connections still arrive
# A new connection is kept this long for its first request, also in a drain.
FIRST_REQUEST_GRACE_S = 0.3
# The same at the connection limit, unless data waits on it: others wait to be accepted, and the time of their
# requests runs out.
CROWDED_FIRST_REQUEST_GRACE_S = 0.05
FINAL_FLUSH_TIMEOUT_S = 0.2  # for writing what is buffered, after all connections were told to close

RESOURCE_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Clients:
    """Accepts client connections, bounds their number and memory, and drains them gracefully.

    At most `max_connections` connections are open. `memory` is for what they hold beside their objects.
    """

    def __init__(
        self,
        limiter: Limiter,
        settings: Settings,
        address: Address,
        max_connections: int,
        memory: MemoryAccount,
    ) -> None:
        self.connections = ConnectionTable(limiter, RequestValidator(settings), memory)
        memory.add_relief(self._relieve_memory)
        self._connection_start_tasks: set[asyncio.Task[None]] = set()
        self._max_connections = max_connections
        self._last_accept_s = 0.0
        self._accepting = False
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener = socket.create_server(address, family=family, backlog=1024)
        self._listener.setblocking(False)

    @property
    def address(self) -> Address:
        """The host and port that the listener is bound to."""
        host, port, *_ = self._listener.getsockname()
        return host, port

    def listen(self) -> None:
        """Start to accept connections, or resume after a pause; without effect on a closed listener."""
        if not self._accepting and self._listener.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._listener, self._accept_connections)

    def _pause_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._listener)

    def _pause_accepting_for(self, delay_s: float) -> None:
        """Leave new connections in the backlog for a while, rather than retry in a busy loop."""
        self._pause_accepting()
        asyncio.get_running_loop().call_later(delay_s, self.listen)

    def stop_listening(self) -> None:
        """Close the listener; open connections stay."""
        self._pause_accepting()
        self._listener.close()

    def _accept_connections(self) -> None:
        for _ in range(ACCEPT_BATCH_SIZE):
            if not self._make_room():
                self._pause_accepting_for(ACCEPT_RETRY_DELAY_S)
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTION_ERRNOS:
                    raise
                log.warning("no descriptor for a new connection: %s", error)
                self._evict_connection()
                self._pause_accepting_for(ACCEPT_RETRY_DELAY_S)
                return
            self._last_accept_s = monotonic()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = ClientConnection(self.connections)
            self.connections.open.add(connection)
            task = asyncio.get_running_loop().create_task(self._start_connection(connection, sock))
            self._connection_start_tasks.add(task)
            task.add_done_callback(self._connection_start_tasks.discard)

    async def _start_connection(self, connection: ClientConnection, sock: socket.socket) -> None:
        """Attach an accepted socket to its connection."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            log.warning("accepted client connection failed before it could be served: %s", error)
            sock.close()
            self.connections.remove(connection)

    def _make_room(self) -> bool:
        """Return whether another connection may be opened, after closing one if necessary."""
        return len(self.connections.open) < self._max_connections or self._evict_connection()

    def _relieve_memory(self) -> bool:
        """Give up the client that takes longest to read its responses, or else the slowest request.

        Return False if none has taken longer than `FIRST_REQUEST_GRACE_S`.
        """
        cutoff_s = monotonic() - FIRST_REQUEST_GRACE_S
        writing = [(c.writing_since_s, c) for c in self.connections.open if c.writing_since_s is not None]
        slowest = min(writing, key=lambda pair: pair[0], default=None)
        if slowest is None or slowest[0] >= cutoff_s:
            return self._time_out_slowest_request(cutoff_s)
        slowest[1].abort()
        return True

    def _evict_connection(self) -> bool:
        """Close the connection that has been idle for longest, or else the one with the slowest request.

        A new connection is spared for `CROWDED_FIRST_REQUEST_GRACE_S`, a request that is arriving for
        `FIRST_REQUEST_GRACE_S`. Return False if there was none to close.
        """
        now_s = monotonic()
        connection = next((c for c in self.connections.idle if self._may_evict(c, now_s)), None)
        if connection is None:
            return self._time_out_slowest_request(now_s - FIRST_REQUEST_GRACE_S)
        del self.connections.idle[connection]
        connection.close()
        return True

    def _may_evict(self, connection: ClientConnection, now_s: float) -> bool:
        """Return whether an idle connection may be closed in favour of a new one."""
        if connection.has_sent_response:
            return True
        is_late = connection.connected_s < now_s - CROWDED_FIRST_REQUEST_GRACE_S
        return is_late and not has_data(connection.descriptor)

    def _time_out_slowest_request(self, cutoff_s: float) -> bool:
        """End the request that has been arriving for longest, if it started before `cutoff_s`.

        Many clients that send slowly must not keep others out. Return whether a request was ended.
        """
        connection = next((c for c in self.connections.receiving if c.is_stalled(cutoff_s)), None)
        if connection is None:
            return False
        connection.reject(408)
        connection.close_without_linger()
        return True

    def close_stalled_connections(self) -> None:
        """End requests that never arrive in full, and connections on which nothing ever arrives or is read.

        Each of them would occupy its socket and its memory forever.
        """
        cutoff_s = monotonic() - REQUEST_READ_TIMEOUT_S
        for connection in [c for c in self.connections.open if c.is_write_stalled(cutoff_s)]:
            connection.abort()
        for connection in [c for c in self.connections.open if c.is_stalled(cutoff_s)]:
            if connection.request_started_s is None:
                connection.close()
            else:
                connection.reject(408)

    async def drain(self) -> None:
        """Shut down gracefully: listen while connections still arrive, then finish all requests and close."""
        start_s = monotonic()
        self.connections.draining = True
        self._close_idle_connections(start_s)
        while (now_s := monotonic()) < start_s + MAX_DRAIN_LISTEN_S:
            if now_s >= max(start_s + MIN_DRAIN_LISTEN_S, self._last_accept_s + LISTEN_QUIET_PERIOD_S):
                break
            await asyncio.sleep(0.01)
        self._accept_connections()  # those that arrived since the event loop last polled the listener
        self.stop_listening()
        while self.connections.limiter.open_request_count or any(
            connection.expects_request(monotonic() - FIRST_REQUEST_GRACE_S)
            for connection in self.connections.open
        ):
            self._close_idle_connections(monotonic())
            await asyncio.sleep(0.01)
        for connection in list(self.connections.open):
            connection.close()
        end_s = monotonic() + FINAL_FLUSH_TIMEOUT_S
        while self.connections.open and monotonic() < end_s:
            await asyncio.sleep(0.01)

    def _close_idle_connections(self, now_s: float) -> None:
        """Close idle connections, except new ones within `FIRST_REQUEST_GRACE_S` of their connect."""
        for connection in [
            c
            for c in self.connections.idle
            if c.has_sent_response or c.connected_s < now_s - FIRST_REQUEST_GRACE_S
        ]:
            self.connections.idle.pop(connection, None)
            connection.close()
