"""Server health and choice: the servers as one gateway sees them.

The server with the least outstanding requests of a random sample is chosen. Servers that fail become
suspects, which get only occasional trial requests. Servers that started recently are cold and get less
traffic (slow start).
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from ironstage import interface as api
from ironstage.interface import CallStatus, ServerState
from ironstage.latency import LOAD_WINDOW_MS

# --- Constants: server health, load and choice ----------------------------------------------------
# With a larger fraction of the ready servers suspect, the servers are taken to be slow, not unreachable.
OVERLOAD_SUSPECT_FRACTION = 0.6
INITIAL_MEAN_LATENCY_MS = 200.0  # assumed before any observation
TRIAL_BACKOFF_MS = 1000.0  # wait before a suspect's first trial; grows with each trial that fails
TRIAL_BACKOFF_GROWTH_FACTOR = 2.0  # times the root of `gateway_count_factor`
TRIAL_BACKOFF_MAX_FACTOR = 8.0  # largest multiple of the first wait, times `gateway_count_factor`
# Waits and cap margins are not scaled for up to this many gateways: a suspect can bear the trials of all.
MAX_UNSCALED_GATEWAY_COUNT = 4
MAX_JITTER_FRACTION = 0.3  # largest addition to a wait, as many gateways notice a failure together
# Errors without a success in between that make a server suspect: a server that fails at once looks idle and
# would draw all traffic.
SUSPECT_ERROR_COUNT = 2
REJECTION_AVOIDANCE_MS = 200.0  # a server is avoided so long after a rejection, times `gateway_count_factor`
# A cold server's flow, as a multiple of its warm fraction of a warm server's flow. It is above 1, because the
# warm fraction is the least capacity that the server can have.
COLD_SERVER_FLOW_FACTOR = 1.2
# The cold rule bounds a cold server's flow to `tip_multiple` times its warm fraction of the mean flow to a
# server. The flow is kept to this fraction of that bound.
COLD_RULE_BOUND_FRACTION = 0.6
WARM_CAPACITY_UPDATE_INTERVAL_MS = 250.0
FULL_UTILIZATION_LOAD_REQUESTS = 2.0  # outstanding requests that a reported utilization of 1 counts for
CANDIDATE_SAMPLE_COUNT = 12  # servers sampled at random for each attempt
# An answer within this multiple of the mean latency is prompt: the server has no queue. Most answers of an
# idle server are prompt.
PROMPT_ANSWER_LATENCY_FACTOR = 2.0
PROMPT_ANSWER_VALIDITY_MS = LOAD_WINDOW_MS  # how long a prompt answer is evidence about its server
# Advantage, in outstanding requests, of a server with a recent prompt answer: it decides between equals only.
PROMPT_ANSWER_BONUS_REQUESTS = 0.5
# Weight of a new report in the moving average of the load, which stands in for missing and old reports.
MEAN_LOAD_SMOOTHING_FACTOR = 0.1
ZONE_AVOIDANCE_FAILURE_COUNT = 3  # failures without an answer in between; then a zone gets trials only
LOAD_REPORT_VALIDITY_MS = 1500.0

INF = math.inf


@dataclass(slots=True)
class Attempt:
    """An attempt at a server, with its list entry, as the server may be removed before the request ends."""

    number: int
    server_entry: api.Server  # as listed when the attempt was sent
    sent_ms: float
    is_outstanding: bool = True
    may_have_run: bool = True
    is_hedge: bool = False  # sent while another attempt was outstanding


@dataclass(slots=True)
class TrackedServer:
    """State and statistics of one server, as seen by this gateway.

    `slow_start_tokens` is the number of requests that a cold server may get, at most 1; `reported_load` is
    in outstanding requests.
    """

    entry: api.Server
    first_listed_ms: float
    outstanding_count: int = 0
    last_answer_ms: float = -INF
    prompt_answer_ms: float = -INF  # reset by any other end of an attempt but a cancellation
    suspect: bool = False
    next_trial_ms: float = 0.0
    backoff_exponent: int = 0  # of the waits between trials
    consecutive_errors: int = 0  # since its last success
    rejection_avoidance_end_ms: float = -INF  # avoided until then after a rejection
    reported_load: float = 0.0
    load_reported_ms: float = -INF
    slow_start_tokens: float = 0.0
    tokens_refilled_ms: float = 0.0


class Fleet:
    """The servers: server list, passive health checks, slow start of cold servers and server choice."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.servers: dict[int, TrackedServer] = {}
        self._ready_servers: list[TrackedServer] | None = None
        self.suspects: dict[int, TrackedServer] = {}
        # By zone: number of failures since the zone's last answer, and time of the last failure.
        self.zone_failures: dict[int, tuple[int, float]] = {}
        self.mean_latency_ms = INITIAL_MEAN_LATENCY_MS
        self.mean_reported_load = 0.0
        self.warm_capacity, self.warm_capacity_updated_ms = 1.0, -INF
        self.gateway_count_factor = max(1.0, settings.gateway_count / MAX_UNSCALED_GATEWAY_COUNT)
        # Arrival times of the requests that quota and lane cap admitted, sent or not.
        self.admitted_times_ms: deque[float] = deque()

    def apply_server_list(self, now_ms: float, event: api.ServerList) -> None:
        """Apply a server list; a full list removes the servers that it does not name.

        The cost of a change is proportional to the number of its entries, not to the number of servers.
        """
        if event.kind is api.ListKind.FAILED:
            return
        changed_entries = list(event.servers)
        if event.kind is not api.ListKind.DELTA:
            listed_ids = {entry.id for entry in changed_entries}
            missing_entries = [
                server.entry for server_id, server in self.servers.items() if server_id not in listed_ids
            ]
            changed_entries += [replace(entry, state=ServerState.GONE) for entry in missing_entries]
        for entry in changed_entries:
            server = self.servers.get(entry.id)
            if server is None or entry.started_ms > server.entry.started_ms:
                # A new process: nothing known of the old one applies. Its slow start tokens begin at a
                # random value: each of hundreds of gateways gains less than one token while the server is
                # cold, but together they send it the flow that is due.
                outstanding_count = server.outstanding_count if server else 0
                server = TrackedServer(
                    entry, now_ms, outstanding_count=outstanding_count, slow_start_tokens=self.rng.random()
                )
                self.servers[entry.id] = server
            else:
                server.entry = entry
            self.suspects.pop(entry.id, None)
            if entry.state is ServerState.GONE and server.outstanding_count <= 0:
                del self.servers[entry.id]
            elif entry.state is ServerState.READY and server.suspect:
                self.suspects[entry.id] = server
        self._ready_servers, self.warm_capacity_updated_ms = None, -INF

    @property
    def ready_servers(self) -> list[TrackedServer]:
        """The servers in state READY; the list is rebuilt at the first use after a change."""
        if self._ready_servers is None:
            self._ready_servers = [
                server for server in self.servers.values() if server.entry.state is ServerState.READY
            ]
        return self._ready_servers

    def warm_fraction(self, server: TrackedServer, now_ms: float) -> float:
        """Return the least fraction of its capacity that a server has.

        It grows from `cold_from` to 1, linearly over `cold_ms`.
        """
        if server.entry.started_ms <= 0 or self.settings.cold_ms <= 0:
            return 1.0
        age_fraction = max(0.0, now_ms - server.entry.started_ms) / self.settings.cold_ms
        return min(1.0, self.settings.cold_from + (1.0 - self.settings.cold_from) * age_fraction)

    def _refill_slow_start_tokens(self, server: TrackedServer, now_ms: float) -> float:
        """Add the slow start tokens that a cold server has gained, and return its tokens.

        A cold server gains its warm fraction of a warm server's flow, bounded by the cold rule. The bound
        refers to the mean flow to a server, which is less than a warm server carries. So it also holds where
        hardly any server is warm and the flow to warm servers would say nothing.
        """
        self.trim_admitted_times(now_ms)
        server_count = max(1, len(self.ready_servers))
        max_flow_factor = max(1.0, COLD_RULE_BOUND_FRACTION * self.settings.tip_multiple)
        # Requests per ms to a server with a warm fraction of 1, as far as the cold rule allows.
        warm_flow_per_ms = (
            len(self.admitted_times_ms)
            / LOAD_WINDOW_MS
            / server_count
            * min(COLD_SERVER_FLOW_FACTOR * server_count / self._total_warm_capacity(now_ms), max_flow_factor)
        )
        earned_tokens = (
            (now_ms - max(server.tokens_refilled_ms, server.first_listed_ms))
            * warm_flow_per_ms
            * self.warm_fraction(server, now_ms)
        )
        server.slow_start_tokens = min(1.0, server.slow_start_tokens + earned_tokens)
        server.tokens_refilled_ms = now_ms
        return server.slow_start_tokens

    def _total_warm_capacity(self, now_ms: float) -> float:
        """Return the number of servers in use, where a cold one counts as its warm fraction."""
        if now_ms - self.warm_capacity_updated_ms >= WARM_CAPACITY_UPDATE_INTERVAL_MS:
            self.warm_capacity_updated_ms = now_ms
            self.warm_capacity = max(
                1.0,
                sum(
                    self.warm_fraction(server, now_ms) for server in self.ready_servers if not server.suspect
                ),
            )
        return self.warm_capacity

    def trim_admitted_times(self, now_ms: float) -> None:
        """Remove the times that are older than the load window."""
        while self.admitted_times_ms and self.admitted_times_ms[0] < now_ms - LOAD_WINDOW_MS:
            self.admitted_times_ms.popleft()

    def accepts_attempt(self, server: TrackedServer, now_ms: float) -> bool:
        """Return whether the drain and cold rules allow a new attempt at this server.

        Only servers in state READY get attempts, and cold ones only with a slow start token and with few
        outstanding attempts.
        """
        if server.entry.state is not ServerState.READY:
            return False
        warm_fraction = self.warm_fraction(server, now_ms)
        return warm_fraction >= 1.0 or (
            self._refill_slow_start_tokens(server, now_ms) >= 1.0
            and server.outstanding_count < 1 + 4 * warm_fraction
        )

    def selection_cost(self, server: TrackedServer, now_ms: float) -> float:
        """Return a server's cost, in outstanding requests per relative capacity, for the choice of the least.

        This is the rule of least outstanding requests, with the server's load reports added. A cold server
        with a slow start token costs 0, so that it gets its request at once.

        If a gateway sends less than one request per server within the load window, then among equal servers
        it prefers one that has recently answered promptly or is a suspect whose trial is due. Otherwise each
        gateway would discover the overloaded servers anew, one after the other, and open a new connection to
        each.
        """
        if self.warm_fraction(server, now_ms) < 1.0:
            return 0.0
        relative_capacity = max(1e-3, server.entry.relative_capacity)
        report_freshness = max(0.0, 1.0 - (now_ms - server.load_reported_ms) / LOAD_REPORT_VALIDITY_MS)
        # A server without a recent report is taken to have the mean load, not to be idle.
        expected_load = self.mean_reported_load + report_freshness * (
            server.reported_load - self.mean_reported_load
        )
        # Both `admitted_times_ms` and prompt answers cover a time of PROMPT_ANSWER_VALIDITY_MS.
        is_sparse_traffic = len(self.admitted_times_ms) < len(self.ready_servers)
        prompt_answer_bonus = (
            PROMPT_ANSWER_BONUS_REQUESTS
            if is_sparse_traffic
            and (server.suspect or now_ms - server.prompt_answer_ms < PROMPT_ANSWER_VALIDITY_MS)
            else 0.0
        )
        return (1.0 + server.outstanding_count + expected_load - prompt_answer_bonus) / relative_capacity

    def avoided_until(self, server: TrackedServer, now_ms: float) -> float:
        """Return until when a server is avoided, or `now_ms` if it is not.

        A server is avoided as a suspect, after a rejection, or together with its zone.
        """
        # A whole zone may be cut off or restart at once. Each of many gateways sends too little to try every
        # server of the zone, so the zone is avoided as a whole.
        failure_count, last_failure_ms = self.zone_failures.get(server.entry.zone, (0, 0.0))
        suspect_until_ms = server.next_trial_ms if server.suspect else now_ms
        return max(
            now_ms,
            suspect_until_ms,
            server.rejection_avoidance_end_ms,
            last_failure_ms + TRIAL_BACKOFF_MS if failure_count >= ZONE_AVOIDANCE_FAILURE_COUNT else now_ms,
        )

    def choose_server(
        self,
        now_ms: float,
        is_allowed: Callable[[TrackedServer], bool],
        tried_server_ids: set[int],
        allow_avoided: bool = True,
    ) -> TrackedServer | None:
        """Return the server of least cost in a random sample, or None if none is allowed.

        Sampling avoids herding. All servers are considered if each one in the sample is avoided, not allowed
        or in `tried_server_ids`.

        An avoided server is chosen only if no other is left, and not at all unless `allow_avoided`. Of the
        avoided servers, the one whose avoidance ends first is chosen. By cost, all gateways would choose the
        same few servers, which look idle because they reject every request.
        """

        def rank(server: TrackedServer) -> tuple[float, bool, float]:
            return (
                self.avoided_until(server, now_ms),
                server.entry.id in tried_server_ids,
                self.selection_cost(server, now_ms),
            )

        ready = self.ready_servers
        for candidates in (self.rng.sample(ready, min(CANDIDATE_SAMPLE_COUNT, len(ready))), ready):
            ranked_servers = [
                (rank(server), server)
                for server in candidates
                if self.accepts_attempt(server, now_ms) and is_allowed(server)
            ]
            best = min(ranked_servers, key=lambda ranked_server: ranked_server[0], default=None)
            if best and best[0][0] <= now_ms and not best[0][1]:
                return best[1]
        return best[1] if best and (allow_avoided or best[0][0] <= now_ms) else None

    def record_attempt_end(self, now_ms: float, event: api.AttemptEnded) -> None:
        """Update a server's statistics and health from the end of an attempt.

        An answer clears a suspicion, unless it is a rejection or a repeated error.
        """
        if (server := self.servers.get(event.server_id)) is None:
            return
        server.outstanding_count -= 1
        if server.entry.state is ServerState.GONE:
            if server.outstanding_count <= 0:
                del self.servers[event.server_id]
            return
        if event.status is not CallStatus.CANCELLED:
            is_prompt = (
                event.status is CallStatus.OK
                and event.elapsed_ms <= PROMPT_ANSWER_LATENCY_FACTOR * self.mean_latency_ms
            )
            if not is_prompt:
                server.prompt_answer_ms = -INF
            elif now_ms - server.prompt_answer_ms >= PROMPT_ANSWER_VALIDITY_MS:
                # A prompt answer that is still valid is not renewed, so that the preference rotates.
                server.prompt_answer_ms = now_ms
        if event.status in (CallStatus.OK, CallStatus.ERROR, CallStatus.REJECTED):
            server.last_answer_ms = now_ms
            self.zone_failures.pop(server.entry.zone, None)
        if event.status in (CallStatus.OK, CallStatus.ERROR, CallStatus.REJECTED, CallStatus.RESET):
            # A single reset may concern only the connection; a process that has ended also refuses the next
            # connection.
            if event.status is not CallStatus.REJECTED:
                server.consecutive_errors = (
                    0 if event.status is CallStatus.OK else server.consecutive_errors + 1
                )
            if server.consecutive_errors >= SUSPECT_ERROR_COUNT:
                self.mark_suspect(server, now_ms)
            elif event.status in (CallStatus.OK, CallStatus.ERROR):
                self.clear_suspicion(server, now_ms)
        # A server that answered nothing during a whole attempt may be unreachable, and one that refuses a
        # connection is down.
        is_silent = event.status is CallStatus.TIMEOUT and server.last_answer_ms < now_ms - event.elapsed_ms
        if event.status is CallStatus.REJECTED:
            server.rejection_avoidance_end_ms = (
                now_ms + REJECTION_AVOIDANCE_MS * self.gateway_count_factor * self._jitter_factor()
            )
            if server.suspect:  # alive, but overloaded by its present work
                self.mark_suspect(server, now_ms)
        elif is_silent or event.status is CallStatus.CONNECT_FAILED:
            self.mark_suspect(server, now_ms)
            self.zone_failures[server.entry.zone] = (
                self.zone_failures.get(server.entry.zone, (0, now_ms))[0] + 1,
                now_ms,
            )
        self.record_load_report(now_ms, event.server_id, event.load_report)

    def record_load_report(self, now_ms: float, server_id: int, values: tuple[float, ...]) -> None:
        """Update a server's load from a report.

        The load is the number of requests in flight, or else in the queue, plus a term for CPU utilization.
        """
        server = self.servers.get(server_id)
        if server is None or not values:
            return
        report = dict(zip(self.settings.report_fields, values, strict=False))
        request_count = report.get("inflight", report.get("queue", 0.0))
        server.reported_load = (
            request_count + FULL_UTILIZATION_LOAD_REQUESTS * min(1.0, report.get("util", 0.0)) ** 2
        )
        server.load_reported_ms = now_ms
        self.mean_reported_load += MEAN_LOAD_SMOOTHING_FACTOR * (
            server.reported_load - self.mean_reported_load
        )

    def _jitter_factor(self) -> float:
        """Return a random factor for a wait, at least 1."""
        return 1.0 + MAX_JITTER_FRACTION * self.rng.random()

    def clear_suspicion(self, server: TrackedServer, now_ms: float) -> None:
        """Mark a server that answered as no longer suspect.

        Its zone may be back, so the zone's other suspects get their trials soon.
        """
        if server.suspect:
            for other in self.suspects.values():
                if other.entry.zone == server.entry.zone:
                    other.next_trial_ms = min(
                        other.next_trial_ms, now_ms + TRIAL_BACKOFF_MS * self.rng.random() * 2.0
                    )
        server.suspect, server.backoff_exponent = False, 0
        self.suspects.pop(server.entry.id, None)

    def mark_suspect(self, server: TrackedServer, now_ms: float) -> None:
        """Avoid a server except for trials, with exponential backoff.

        The backoff grows with the number of gateways, so that all of them together send as many trials as a
        few gateways would. If each sent its trials as often, the trials alone would keep a slow server
        overloaded, and every one of them would be lost.
        """
        server.suspect = True
        self.suspects[server.entry.id] = server
        growth_factor, max_factor = (
            TRIAL_BACKOFF_GROWTH_FACTOR * math.sqrt(self.gateway_count_factor),
            TRIAL_BACKOFF_MAX_FACTOR * self.gateway_count_factor,
        )
        backoff_factor = min(max_factor, growth_factor**server.backoff_exponent)
        server.next_trial_ms = now_ms + TRIAL_BACKOFF_MS * backoff_factor * self._jitter_factor()
        if backoff_factor < max_factor:  # otherwise the power would in time overflow a float
            server.backoff_exponent += 1

    def mostly_suspect(self) -> bool:
        """Return whether most servers are suspect, which is taken for an overload.

        Timeouts then count as censored latencies, which is wrong if most servers are really unreachable.
        """
        return len(self.suspects) > OVERLOAD_SUSPECT_FRACTION * len(self.ready_servers)
