"""The limiter: translates between the network and the decision module, `ironstage.policy`.

Client requests, server responses and host lists become the module's events; its actions become
messages to servers and responses to clients. Host lists are those of service discovery and of the
configuration; the decision module gets them as server lists.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import math
import time
from collections import deque
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Protocol

from ironstage import interface as api
from ironstage.customer_table import MAX_CUSTOMER_COUNT
from ironstage.interface import CallStatus, ServerState
from ironstage.net.attempt import TIMER_RESOLUTION_S, Attempt, AttemptResult, ServerRequest
from ironstage.net.config import Address, Config
from ironstage.net.discovery import Host, HostList, parse_host_list
from ironstage.net.memory import Holding, MemoryAccount, Purpose
from ironstage.net.servers import Servers
from ironstage.policy import Gateway

log = logging.getLogger(__name__)

# The decision module's clock starts at this value, not at 0, so that servers that started before the limiter
# have a start time above 0: one of 0 or less means "long ago".
CLOCK_START_MS = 1e9
# The decision module's deadline is this much before the client's, as the response takes time to arrive, but
# not before half of the client's timeout has passed.
RESPONSE_MARGIN_S = 0.010
PROBE_TIMEOUT_S = 0.25
MAX_LOAD_REPORT_VALUE = 10_000.0  # of any field; no server holds or serves more
# Fraction of the unreserved descriptors for connections to servers; clients' connections get the rest.
SERVER_CONNECTION_FRACTION = 0.4
RESERVED_DESCRIPTOR_COUNT = 32  # for the listener, the discovery watch, the event loop and the log

# Measured with hundreds of requests that wait for their servers: the objects of a request and of an attempt,
# here and in the decision module, with their timers.
REQUEST_BYTES = 6 * 1024
RESERVED_ID_BYTES = 512  # of the id of a request whose client has left, with its timer
MAX_SERVER_COUNT = 4096  # if the caller sets no other bound
# Servers beyond those of the configuration that may be listed in any case, as a part of these.
MIN_NEW_SERVER_FRACTION = 0.5
MAX_ZONE_COUNT = 256  # the zones of discovery beyond count as one

PROBE_REQUEST = ServerRequest(b"GET /metrics/load HTTP/1.1\r\nHost: backend.local\r\n")


class ClientRequest(Protocol):
    """A client's request, as `ironstage.net.clients` submits it.

    `forwarded_head` is the request line and the headers to forward, without Req-Deadline and without the
    empty line at the end. `answer` sends the response; `retry_after_s` is 0 for no Retry-After header.
    """

    @property
    def forwarded_head(self) -> bytes: ...
    @property
    def body(self) -> bytes: ...
    def answer(
        self, status_code: int, body: bytes = b"", content_type: bytes = b"", retry_after_s: float = 0.0
    ) -> None: ...


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a client's headers state about its request.

    `client_request_id` is the Req-Id, and `client_timeout_s` how long the client waits for a response. The
    other fields are passed to the decision module: see `ironstage.interface.RequestArrived`.
    """

    client_request_id: bytes
    class_index: int
    plan_index: int
    customer_id: int
    units: float
    customer_gateway_count: int
    client_timeout_s: float


@dataclass(slots=True)
class _PendingRequest:
    """A request that is unanswered or has outstanding attempts.

    An `at_most_once` request must not be retried after a broken attempt. `deadline_ms` is the decision
    module's deadline; `deadline_timer` expires at the client's. `attempts` holds None for each attempt
    that has ended. `is_open` turns false once the request has its response or lost its client. In the latter
    case `keeps_client_request_id` tells that its id stays reserved until the deadline.
    """

    client_request: ClientRequest
    holding: Holding
    client_request_id: bytes
    at_most_once: bool
    is_idempotent: bool
    deadline_ms: float
    deadline_timer: asyncio.TimerHandle
    attempts: list[Attempt | None] = field(default_factory=list)
    is_open: bool = True
    outstanding_attempt_count: int = 0
    keeps_client_request_id: bool = False


def parse_load_report(fields: tuple[str, ...], raw: bytes) -> tuple[float, ...]:
    """Return the values of a JSON load report in the order of `fields`.

    The result is empty if the report is absent or malformed, lacks a field, or has a value outside the
    range from 0 to `MAX_LOAD_REPORT_VALUE`.
    """
    try:
        values = tuple(float(json.loads(raw)[name]) for name in fields) if raw else ()
    except (ValueError, KeyError, TypeError, RecursionError, OverflowError):
        return ()
    return values if all(0 <= value <= MAX_LOAD_REPORT_VALUE for value in values) else ()


def _is_later_process(host: Host, owner: Host) -> bool:
    """Return whether a host's process came after the one known so far at the same address.

    Without different start times the one told last did, unless it is about to end.
    """
    if host.born_ms != owner.born_ms:
        return host.born_ms > owner.born_ms
    return host.state is ServerState.READY or owner.state is not ServerState.READY


class Limiter:
    """Holds the pending requests, the server ids and the clock; the decision module makes the decisions.

    `open_request_count` counts the unanswered requests. `cached_list_seq` is the version of the host list
    in the configuration, 0 without one.
    """

    def __init__(
        self,
        config: Config,
        memory: MemoryAccount,
        max_customer_count: int = MAX_CUSTOMER_COUNT,
        max_server_count: int = MAX_SERVER_COUNT,
    ) -> None:
        self._settings = config.settings
        self._memory = memory
        self._gateway = Gateway(config.settings, config.seed, max_customer_count)
        self._clock_start_s = time.monotonic()
        # Computed once: with a new offset for each conversion, a server's start time would appear to change,
        # which counts as a restart.
        self._unix_to_clock_offset_ms = CLOCK_START_MS - time.time() * 1000
        self._servers = Servers(
            int((config.sockets - RESERVED_DESCRIPTOR_COUNT) * SERVER_CONNECTION_FRACTION),
            config.connect_timeout_s,
            config.server_idle_timeout_s,
            memory,
        )
        self._max_server_count = max_server_count
        self._server_ids: dict[str, int] = {}  # by host name, without the servers that are gone
        self._hosts: dict[str, Host] = {}  # as last listed, without those that are gone
        self._host_name_by_address: dict[Address, str] = {}
        self._server_id_counter = itertools.count()  # ids are never reused: attempts may outlast their server
        self._zone_ids = {zone: zone_id for zone_id, zone in enumerate(config.zones)}
        self._requests: dict[int, _PendingRequest] = {}
        self._open_client_request_ids: set[bytes] = set()
        self._last_request_id = 0
        self._event_queue: deque[api.Event] = deque()
        self._dispatching = False
        self._max_open_requests = config.max_open
        self.open_request_count = 0
        self.cached_list_seq = 0
        self._load_cached_list(config)

    def _load_cached_list(self, config: Config) -> None:
        """Apply the host list in the configuration, which is used until discovery delivers one."""
        try:
            host_list = parse_host_list(config.known)[0]
        except ValueError as error:
            log.warning("invalid host list in the configuration, ignoring it: %s", error)
            return
        self.cached_list_seq = host_list.seq
        known_count = len(host_list.hosts)
        self._max_server_count = max(
            self._max_server_count, int(known_count * (1.0 + MIN_NEW_SERVER_FRACTION))
        )
        self._apply_list(host_list, api.ListKind.CACHED)

    # --- Clock -------------------------------------------------------------------------------
    def _now_ms(self) -> float:
        """Return the time on the decision module's clock."""
        return (time.monotonic() - self._clock_start_s) * 1000 + CLOCK_START_MS

    def _to_loop_time(self, clock_ms: float) -> float:
        """Convert a time on the decision module's clock to the event loop's, in seconds."""
        return (clock_ms - CLOCK_START_MS) / 1000 + self._clock_start_s

    # --- Input from clients and discovery ------------------------------------------------------
    @property
    def ready(self) -> bool:
        """Whether any server is ready."""
        return self._servers.any_ready()

    def submit(self, client_request: ClientRequest, metadata: RequestMetadata, waited_s: float = 0.0) -> int:
        """Accept a request, which gets exactly one response by its client's deadline; return its id.

        The request arrived `waited_s` ago. If its client has given it up meanwhile, it is refused at once.
        """
        self._last_request_id += 1
        holding = Holding(self._memory)
        held_bytes = REQUEST_BYTES + len(client_request.forwarded_head) + len(client_request.body)
        if self.open_request_count >= self._max_open_requests or not holding.resize(
            held_bytes, Purpose.REQUEST
        ):
            client_request.answer(503)
            return self._last_request_id
        if metadata.client_request_id in self._open_client_request_ids:
            # A server would take it for a duplicate of the open request with this client request id.
            holding.release()
            client_request.answer(409)
            return self._last_request_id
        request_id, now_ms = self._last_request_id, self._now_ms()
        request_class = self._settings.classes[metadata.class_index]
        timeout_s = min(metadata.client_timeout_s, request_class.max_client_timeout_ms / 1000) - waited_s
        if timeout_s <= 0.0:
            holding.release()
            client_request.answer(503)
            return self._last_request_id
        deadline_ms = now_ms + max(timeout_s - RESPONSE_MARGIN_S, timeout_s / 2) * 1000
        deadline_timer = asyncio.get_running_loop().call_at(
            self._to_loop_time(now_ms) + timeout_s, partial(self._handle_deadline, request_id)
        )
        self._requests[request_id] = _PendingRequest(
            client_request,
            holding,
            metadata.client_request_id,
            request_class.effect is api.RetrySafety.AT_MOST_ONCE,
            request_class.effect is api.RetrySafety.IDEMPOTENT,
            deadline_ms,
            deadline_timer,
        )
        self._open_client_request_ids.add(metadata.client_request_id)
        self.open_request_count += 1
        self._dispatch(
            api.RequestArrived(
                request_id,
                metadata.class_index,
                metadata.plan_index,
                metadata.customer_id,
                metadata.units,
                metadata.customer_gateway_count,
                deadline_ms,
            )
        )
        return request_id

    def abandon(self, request_id: int) -> None:
        """Close a request whose client has disconnected."""
        if (pending := self._requests.get(request_id)) and pending.is_open:
            if pending.attempts and not pending.is_idempotent:
                self._reserve_client_request_id(pending)
            self._close_request(request_id, pending)
            self._dispatch(api.RequestAbandoned(request_id))

    def _reserve_client_request_id(self, pending: _PendingRequest) -> None:
        """Reject the id until the deadline: the request may run, and must not run twice if it comes again."""
        client_request_id, holding = pending.client_request_id, Holding(self._memory)
        holding.take_over(RESERVED_ID_BYTES)

        def release() -> None:
            holding.release()
            self._open_client_request_ids.discard(client_request_id)

        pending.keeps_client_request_id = True
        asyncio.get_running_loop().call_at(pending.deadline_timer.when(), release)

    def apply_host_list(self, host_list: HostList) -> None:
        """Apply a host list from discovery: a full list if it is `whole`, else changes only."""
        self._apply_list(host_list, api.ListKind.FULL if host_list.whole else api.ListKind.DELTA)

    def _apply_list(self, host_list: HostList, kind: api.ListKind) -> None:
        """Pass a host list to the decision module as a server list, and remove the servers that are gone."""
        hosts = self._mark_replaced_hosts(host_list.hosts)
        servers = [self._register_server(host) for host in hosts]
        self._dispatch(api.ServerList(kind, tuple(server for server in servers if server is not None)))
        gone_names = {host.name for host in hosts if host.state is ServerState.GONE}
        gone_names &= self._server_ids.keys()
        if kind is not api.ListKind.DELTA:
            gone_names |= self._server_ids.keys() - {host.name for host in hosts}
        for name in gone_names:
            self._servers.remove(self._server_ids.pop(name))
            self._forget_host(name)

    def _forget_host(self, name: str) -> None:
        host = self._hosts.pop(name, None)
        if host and self._host_name_by_address.get(host.dial) == name:
            del self._host_name_by_address[host.dial]

    def _mark_replaced_hosts(self, hosts: tuple[Host, ...]) -> list[Host]:
        """Return the hosts, with those marked as gone at whose address another one has come up.

        A process that has gone may be listed for some time beside the one that follows it at its address.
        What is sent to that address reaches the latter, whatever is known of the former.
        """
        listed = {host.name: host for host in hosts}
        for name in list(listed):
            host = listed[name]
            if host.state is ServerState.GONE:
                continue
            self._forget_host(name)
            owner_name = self._host_name_by_address.get(host.dial, "")
            owner = listed.get(owner_name) or self._hosts.get(owner_name)
            if owner and owner.dial == host.dial and owner.state is not ServerState.GONE:
                replaced = owner if _is_later_process(host, owner) else host
                listed[replaced.name] = replace(replaced, state=ServerState.GONE)
                log.info("host %s is gone: another one is at its address", replaced.name)
                if replaced is host:
                    continue
            self._hosts[name] = host
            self._host_name_by_address[host.dial] = name
        return list(listed.values())

    def _register_server(self, host: Host) -> api.Server | None:
        """Add or update the server of a host list entry and return it as the decision module sees it.

        Return None if it is new and there is no room for it.
        """
        if (server_id := self._server_ids.get(host.name)) is None:
            if len(self._server_ids) >= self._max_server_count:
                log.warning("no room for another server than the %d listed", len(self._server_ids))
                return None
            server_id = self._server_ids[host.name] = next(self._server_id_counter)
        zone_count = min(len(self._zone_ids), MAX_ZONE_COUNT)
        zone_id = self._zone_ids.get(host.zone, zone_count)
        if zone_id < MAX_ZONE_COUNT:
            self._zone_ids[host.zone] = zone_id
        self._servers.add_or_update(server_id, host.dial, host.state is ServerState.READY, host.born_ms)
        started_ms = host.born_ms + self._unix_to_clock_offset_ms if host.born_ms > 0 else 0.0
        return api.Server(server_id, zone_id, host.cell, host.state, host.relative_capacity, started_ms)

    def close_expired_connections(self) -> None:
        """Close the server connections that have been idle for too long."""
        self._servers.close_expired_connections()

    def close(self) -> None:
        """Close the idle server connections and abandon those being opened."""
        self._servers.close()

    # --- Events and actions --------------------------------------------------------------------
    def _dispatch(self, event: api.Event) -> None:
        """Queue an event for the decision module; events caused by its actions wait until it has returned."""
        self._event_queue.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._event_queue:
                self._handle_event(self._event_queue.popleft())
        finally:
            self._dispatching = False

    def _handle_event(self, event: api.Event) -> None:
        """Pass one event to the decision module and carry out the actions that it returns."""
        try:
            for action in self._gateway.handle(self._now_ms(), event):
                self._execute_action(action)
        except Exception:
            # An exception on one request must not affect the others; only its own client gets a 500.
            log.exception("decision module or one of its actions failed on event %r", event)
            request_id = getattr(event, "request_id", None)
            if request_id is not None and (pending := self._requests.get(request_id)) and pending.is_open:
                self._answer(request_id, 500)
                self._event_queue.append(api.RequestAbandoned(request_id))

    def _execute_action(self, action: api.Action) -> None:
        """Carry out one action of the decision module."""
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._answer(action.request_id, 429, action.retry_after_ms / 1000)
            case api.Fail():
                self._answer(action.request_id, 502)
            case api.Cancel():
                self._cancel(action)
            case api.SetTimer():
                on_expiry = partial(self._dispatch, api.TimerFired(action.token))
                expiry_s = self._to_loop_time(self._now_ms() + action.delay_ms)
                asyncio.get_running_loop().call_at(expiry_s + TIMER_RESOLUTION_S, on_expiry)
            case api.Probe():
                self._probe(action.server_id)
            case api.CloseIdleConnections():
                self._servers.close_idle_connections(action.server_id)
            case api.Log():
                log.info("decision module: %s", action.text)
            case api.Subscribe() | api.FetchServerList():
                pass  # the discovery watch is always on
            case _:
                log.error("unsupported action from the decision module: %r", action)

    def _cancel(self, action: api.Cancel) -> None:
        """Cancel an attempt if it is still outstanding."""
        pending = self._requests.get(action.request_id)
        attempt = (
            pending.attempts[action.attempt_number]
            if pending and action.attempt_number < len(pending.attempts)
            else None
        )
        if attempt:
            attempt.cancel()

    def _send(self, action: api.Send) -> None:
        """Start an attempt, or report it as not sent: the request is closed, too late or out of attempts."""
        request_id, now_ms = action.request_id, self._now_ms()
        pending = self._requests.get(request_id)
        attempt_number = len(pending.attempts) if pending else 0
        attempt_deadline_ms = (
            min(action.attempt_deadline_ms or math.inf, pending.deadline_ms) if pending else 0.0
        )
        if (
            not pending
            or not pending.is_open
            or now_ms >= attempt_deadline_ms
            or now_ms > action.write_by_ms
            or attempt_number >= self._settings.max_attempts
        ):
            request_closed = not pending or not pending.is_open
            self._event_queue.append(
                api.AttemptEnded(
                    request_id, attempt_number, action.server_id, CallStatus.NOT_SENT, 0.0, request_closed
                )
            )
            return
        attempt = self._servers.send(
            action.server_id,
            ServerRequest(
                pending.client_request.forwarded_head,
                pending.client_request.body,
                pending.at_most_once,
                self._to_loop_time(action.write_by_ms),
            ),
            self._to_loop_time(attempt_deadline_ms),
            partial(self._handle_attempt_end, request_id, pending, attempt_number, action.server_id, now_ms),
        )
        pending.outstanding_attempt_count += 1
        pending.attempts.append(attempt)

    def _handle_attempt_end(
        self,
        request_id: int,
        pending: _PendingRequest,
        attempt_number: int,
        server_id: int,
        sent_ms: float,
        result: AttemptResult,
    ) -> None:
        """Report the end of an attempt to the decision module; the first 200 goes to the client."""
        pending.attempts[attempt_number] = None
        pending.outstanding_attempt_count -= 1
        if result.status is CallStatus.OK and pending.is_open:
            self._close_request(request_id, pending)
            pending.client_request.answer(200, result.body, result.content_type)
        self._remove_if_finished(request_id, pending)
        self._dispatch(
            api.AttemptEnded(
                request_id,
                attempt_number,
                server_id,
                result.status,
                self._now_ms() - sent_ms,
                not pending.is_open,
                result.usage_percent,
                0,
                parse_load_report(self._settings.report_fields, result.load_report),
            )
        )

    def _probe(self, server_id: int) -> None:
        """Request a server's load report and pass the result to the decision module."""
        sent_ms = self._now_ms()

        def on_probe_end(result: AttemptResult) -> None:
            load_report = parse_load_report(self._settings.report_fields, result.load_report or result.body)
            self._dispatch(api.ProbeResult(server_id, result.status, self._now_ms() - sent_ms, load_report))

        self._servers.send(
            server_id, PROBE_REQUEST, self._to_loop_time(sent_ms) + PROBE_TIMEOUT_S, on_probe_end
        )

    # --- Responses to clients ------------------------------------------------------------------
    def _answer(self, request_id: int, status_code: int, retry_after_s: float = 0.0) -> None:
        """Answer a request that is still open, and close it."""
        if (pending := self._requests.get(request_id)) and pending.is_open:
            self._close_request(request_id, pending)
            pending.client_request.answer(status_code, retry_after_s=retry_after_s)

    def _close_request(self, request_id: int, pending: _PendingRequest) -> None:
        """Close a request that has its response or lost its client; its attempts may still be outstanding."""
        pending.is_open = False
        pending.deadline_timer.cancel()
        self.open_request_count -= 1
        if not pending.keeps_client_request_id:
            self._open_client_request_ids.discard(pending.client_request_id)
        self._remove_if_finished(request_id, pending)

    def _remove_if_finished(self, request_id: int, pending: _PendingRequest) -> None:
        """Remove a request that is closed and has no outstanding attempts."""
        if not pending.is_open and not pending.outstanding_attempt_count:
            self._requests.pop(request_id, None)
            pending.holding.release()

    def _handle_deadline(self, request_id: int) -> None:
        """Answer 504 at the client's deadline if the decision module has not answered the request."""
        if request_id in self._requests:
            log.error("request %d was not answered by its deadline; answering 504", request_id)
            self._answer(request_id, 504)
            self._dispatch(api.RequestAbandoned(request_id))
