"""The decisions of the gateway on each request: admission, lane caps, attempts, retries and final answers.

`Gateway.handle` takes an event and returns the actions that follow from it; `ironstage/interface.py` defines
the settings, events and actions. Points in time (`now_ms` and other fields in `_ms`) are milliseconds on the
caller's clock, and units are the quota units of a request.

- Quota: each customer's use is kept to its plan (`ironstage/quota.py`).
- Lanes: classes with tight latency aims are in lane one, the others in lane two. The outstanding requests of
  each lane at the back end, which is all servers together, are capped by the thresholds of de Waal's report
  BS-R9025 (`ironstage/threshold_search.py`), from latency statistics (`ironstage/latency.py`).
- Servers: health, slow start and choice of servers are those of `ironstage/fleet.py`.
- Attempts: a request is sent as a first attempt at one server and, where a repeat is safe, as retries at
  others. If the time for repeats ends while an attempt is outstanding, a hedge is sent just before. A request
  may itself be the retry of a client; then it is called a client's retry.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ironstage import interface as api
from ironstage import latency
from ironstage.customer_table import MAX_CUSTOMER_COUNT, CustomerTable
from ironstage.fleet import Attempt, Fleet, TrackedServer
from ironstage.interface import CallStatus, DedupScope, RetrySafety
from ironstage.latency import LOAD_WINDOW_MS
from ironstage.quota import Customer, MeterClock
from ironstage.threshold_search import optimal_thresholds

# --- Constants: lanes and thresholds --------------------------------------------------------------
THRESHOLD_UPDATE_INTERVAL_MS = 500.0  # short, because the load changes within seconds
# Ended attempts that the window keeps even if they are older, up to the maximum age. With fewer, the
# thresholds stay as they are.
MIN_OBSERVATION_COUNT = 10
MAX_OBSERVATION_AGE_MS = 20000.0  # older observations say nothing about the present load
MAX_OBSERVATION_COUNT = 4096  # the latest; more would tell no more, and fill the memory in a flood
# Margin above a threshold, in square roots of the threshold: the small counts of one gateway fluctuate
# by chance, while their sum over all gateways hardly does.
CAP_MARGIN_STDDEVS = 1.5
MIN_LANE_CAP_REQUESTS = 0.2  # above 0, because a lane without ended attempts could never open again
# Bound on lane one's mean latency, as a fraction of its aim. With a mean equal to the aim, only about
# half of the answers would be within the aim.
MEAN_LATENCY_BOUND_AIM_FRACTION = 0.15
SAME_LANE_AIM_FACTOR = 1.34  # classes with aims up to this multiple of the tightest aim are in lane one
END_AT_AIM_MAX_LATE_WORTH = 0.3  # up to this late worth, a class's attempts end at the aim
# Minimum throughput T of lane two, as fractions of its arrivals; the highest feasible one is used.
LANE_TWO_FLOOR_FRACTIONS = tuple(n / 10 for n in range(9, 1, -1))
# Largest growth of the remembered light-load latency at each threshold update; it can double in 1.5 s.
LIGHT_LATENCY_MAX_GROWTH_FACTOR = 1.3

# --- Constants: customers -------------------------------------------------------------------------
CUSTOMER_EXPIRY_INTERVAL_MS = 1000.0

# --- Constants: lost answers and late client retries ----------------------------------------------
# Heavy answer loss: more than this fraction of the attempts time out although answers come quickly.
HEAVY_LOSS_MIN_ATTEMPT_FRACTION = 0.15
# A timeout after less than this quantile of the answer times is no evidence of a lost answer. The fraction of
# the answers that take longer is below HEAVY_LOSS_MIN_ATTEMPT_FRACTION.
ANSWER_LOSS_MIN_WAIT_QUANTILE = 0.9
# Answers come quickly if three in four take less than this fraction of the tightest aim.
FAST_ANSWER_AIM_FRACTION = 0.25
# Total work of an attempt that timed out, as a multiple of the time waited for it: an attempt caught in long
# work has on average as much of that work left as is done.
TIMED_OUT_WORK_FACTOR = 2.0
# While answers get lost, attempts that may be repeated time out after these fractions of the time left, which
# leaves time for a retry.
HEAVY_LOSS_ATTEMPT_TIME_FRACTION = 0.5
LIGHT_LOSS_ATTEMPT_TIME_FRACTION = 0.65  # of first attempts, while more answers are lost than late
# With a larger fraction of the recent answers late, timeouts are a sign of load, and retries would add to it.
LIGHT_LOSS_MAX_LATE_FRACTION = 0.01
LIGHT_LOSS_MIN_TIMEOUT_RATIO = 0.02  # timeouts to answers; below this, hardly any answer is lost
CLIENT_WAIT_SAMPLE_COUNT = 64  # latest requests of a class; show how long clients wait for first requests
CLIENT_WAIT_BIN_MS = 8.0  # waits this close count as equal: a request loses some time on its way
# Bins with at least this fraction of the fullest bin's count also hold waits of first requests.
FIRST_REQUEST_BIN_MIN_FRACTION = 0.7
# A client's retry is late if the time left to its aim is less than both the mean latency and this fraction of
# the aim.
LATE_CLIENT_RETRY_AIM_FRACTION = 0.5

# --- Constants: retries ---------------------------------------------------------------------------
# Longest time for which a gateway may be held up between reading its clock and writing a request.
MAX_WRITE_DELAY_MS = 150.0
HEDGE_LEAD_MS = 50.0  # before the last moment for a repeat, as a connection may have to be opened

INF = math.inf
MAX_TIMER_TOKEN = 1 << 32


@dataclass(slots=True)
class Request:
    """A request that has no final answer yet, or still has outstanding attempts.

    `is_open` tells that the request has no final answer yet, and `streaming` that the client has received the
    first part of a streamed answer.
    """

    arrival: api.RequestArrived
    request_class: api.RequestClass
    lane: int
    useful_until_ms: float  # an answer after this time is worth nothing
    customer: Customer
    attempts: list[Attempt] = field(default_factory=list)
    is_open: bool = True
    streaming: bool = False

    def outstanding_count(self) -> int:
        """Return the number of outstanding attempts."""
        return sum(1 for attempt in self.attempts if attempt.is_outstanding)


# After an attempt that ended like this, the request has certainly not run.
NEVER_RUN_STATUSES = (CallStatus.REJECTED, CallStatus.CONNECT_FAILED, CallStatus.NOT_SENT)


def split_lanes(classes: tuple[api.RequestClass, ...]) -> list[int]:
    """Return the lane index of each class: 0 (lane one) for the tightest aims, 1 (lane two) for the others.

    Classes whose aims hardly differ share a lane, because capping one class for the sake of a similar one
    loses more than it gains.
    """
    tightest_aim_ms = min((request_class.aim_ms for request_class in classes), default=0.0)
    return [
        0 if request_class.aim_ms <= SAME_LANE_AIM_FACTOR * tightest_aim_ms else 1
        for request_class in classes
    ]


class Gateway:
    """The decisions of one gateway: `handle` takes each event and returns the actions that follow from it."""

    def __init__(
        self, settings: api.Settings, seed: int, max_customer_count: int = MAX_CUSTOMER_COUNT
    ) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.fleet = Fleet(settings, self.rng)
        self.lane_of_class = split_lanes(settings.classes)
        self.customers = CustomerTable(max_customer_count)
        self.meter_clock = MeterClock(settings.metering_ms)
        self.requests: dict[int, Request] = {}
        self.lane_caps: tuple[float, float] = (INF, INF)
        # By lane: one slot for each outstanding attempt, and one for each timed-out attempt that its server
        # is assumed to be still working on.
        self.occupied_slots = [0, 0]
        # Heap of (release time in ms, lane): the slots of attempts that timed out.
        self.timed_out_slots: list[tuple[float, int]] = []
        self.latency_window = latency.ObservationWindow(
            LOAD_WINDOW_MS, MAX_OBSERVATION_AGE_MS, MIN_OBSERVATION_COUNT, MAX_OBSERVATION_COUNT
        )
        self.answer_time_distributions = [latency.AnswerTimeDistribution() for _ in settings.classes]
        self.light_load_latency_ms = [INF, INF, INF]  # of lane one, of lane two, of both
        # Requests that the quota admitted: time in ms, lane index, units.
        self.admitted_arrivals: deque[tuple[float, int, float]] = deque(maxlen=MAX_OBSERVATION_COUNT)
        self.mean_occupied_slots, self.mean_slots_updated_ms = [0.0, 0.0], -INF  # by lane
        self.first_arrival_ms = INF
        self.thresholds_updated_ms = -INF
        self.last_rejection_ms = -INF  # by any server
        self.heavy_answer_loss = False  # many answers get lost, although the others come quickly
        self.light_answer_loss = False  # some answers get lost, although hardly any answer is late
        # Time of the first server list, and of the last check for idle customers.
        self.started_ms, self.customers_expired_ms = INF, 0.0
        self.max_class_worth = (
            max((request_class.worth for request_class in settings.classes), default=0.0) or 1.0
        )
        self.client_waits_ms: list[deque[float]] = [
            deque(maxlen=CLIENT_WAIT_SAMPLE_COUNT) for _ in settings.classes
        ]
        self.hedge_timers: dict[int, int] = {}  # request ids by timer token
        self.last_timer_token = 0
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            api.RequestArrived: self._on_request_arrived,
            api.AttemptEnded: self._on_attempt_ended,
            api.RequestAbandoned: self._on_request_abandoned,
            api.ServerList: self._on_server_list,
            api.StreamStarted: self._on_stream_started,
            api.TimerFired: self._on_timer_fired,
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event; the actions take effect in the order given."""
        self.actions = []
        while self.timed_out_slots and self.timed_out_slots[0][0] <= now_ms:
            self.occupied_slots[heapq.heappop(self.timed_out_slots)[1]] -= 1
        new_weight = 1.0 - math.exp((self.mean_slots_updated_ms - now_ms) / LOAD_WINDOW_MS)
        self.mean_occupied_slots = [
            mean + new_weight * (slots - mean)
            for mean, slots in zip(self.mean_occupied_slots, self.occupied_slots, strict=True)
        ]
        self.mean_slots_updated_ms = now_ms
        if now_ms - self.thresholds_updated_ms >= THRESHOLD_UPDATE_INTERVAL_MS:
            self.thresholds_updated_ms = now_ms
            self._update_thresholds(now_ms)
        if now_ms - self.customers_expired_ms >= CUSTOMER_EXPIRY_INTERVAL_MS:
            self.customers_expired_ms = now_ms
            self._expire_customers(now_ms)
        if handler := self.handlers.get(type(event)):
            handler(now_ms, event)
        return self.actions

    def _expire_customers(self, now_ms: float) -> None:
        """Remove idle customers, and admission times past the load window."""
        self.fleet.trim_admitted_times(now_ms)
        self.customers.expire(now_ms)

    def _on_server_list(self, now_ms: float, event: api.ServerList) -> None:
        """Apply a server list; subscribe to changes if it is a cached list or none was delivered."""
        self.fleet.apply_server_list(now_ms, event)
        self.started_ms = min(self.started_ms, now_ms)
        if self.settings.must_subscribe and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.actions.append(api.Subscribe(True))

    def _on_request_arrived(self, now_ms: float, event: api.RequestArrived) -> None:
        """Check quota and lane cap and send the first attempt; refuse at once if any of these fails."""
        self.first_arrival_ms = min(self.first_arrival_ms, now_ms)
        request_class = self.settings.classes[event.class_index]
        customer, is_known = self.customers.find(event.customer_id), True
        if customer is None:
            customer = Customer(
                self.settings.plans[event.plan_index], event.customer_gateway_count, now_ms, self.started_ms
            )
            is_known = self.customers.add(event.customer_id, customer, now_ms)
        # If a late answer is worth little, work past the aim is wasted and adds to an overload.
        ends_at_aim = (
            request_class.late_worth <= END_AT_AIM_MAX_LATE_WORTH
            and request_class.aim_stretch <= 0
            and not request_class.stream
        )
        useful_until_ms = (
            min(event.deadline_ms, now_ms + request_class.aim_ms) if ends_at_aim else event.deadline_ms
        )
        request = Request(
            event, request_class, self.lane_of_class[event.class_index], useful_until_ms, customer
        )
        self.requests[event.request_id] = request
        if not is_known or (
            ends_at_aim
            and self._is_late_client_retry(now_ms, event)
            and not customer.has_ample_units(now_ms, event.units)
        ):
            self._refuse_or_fail(now_ms, request)
        elif customer.admits(
            now_ms, event.units, self.rng.random(), request_class.worth / self.max_class_worth
        ):
            self.admitted_arrivals.append((now_ms, request.lane, event.units))
            if self._lane_admits(now_ms, request):
                self.fleet.admitted_times_ms.append(now_ms)
                if self._send_attempt(now_ms, request, set()):
                    return
        self._refuse_or_fail(now_ms, request)

    def _lane_admits(self, now_ms: float, request: Request) -> bool:
        """Return whether the lane has headroom for an answer to the request, not only for an attempt.

        If an attempt is answered in time with probability p, an answer takes 1/p attempts, and the work on
        the others is wasted. A request whose client waits only briefly therefore needs headroom for 1/p
        attempts; in a lane near its cap it is refused in favour of requests that the same work would answer.
        Headroom for a fraction of a request admits with that fraction as probability, which mixes the two
        integer thresholds next to the cap.
        """
        expected_attempts = 1.0 / self.answer_time_distributions[
            request.arrival.class_index
        ].probability_within(request.useful_until_ms - now_ms)
        return expected_attempts - 1.0 + self.rng.random() < self._lane_headroom(request.lane)

    def _lane_headroom(self, lane: int) -> float:
        """Return how many more requests of a lane may be sent, with a margin for random fluctuations.

        The standard deviation of a count is about its square root. Each of a few gateways may exceed its own
        threshold by a multiple of that root, each of many by less, as fluctuations of different gateways
        cancel out. While the lane's mean count is below the threshold, the full margin applies, which lets
        fluctuations pass. If it always applied, the margins of many gateways with small thresholds would add
        up to more than all thresholds.
        """
        cap, mean_slots = self.lane_caps[lane], self.mean_occupied_slots[lane]
        if cap == INF:
            return INF
        many_gateways_factor = 1.0 / math.sqrt(self.fleet.gateway_count_factor)
        margin_factor = 1.0 if mean_slots < cap else many_gateways_factor
        return cap + CAP_MARGIN_STDDEVS * math.sqrt(cap) * margin_factor - self.occupied_slots[lane]

    def _is_late_client_retry(self, now_ms: float, event: api.RequestArrived) -> bool:
        """Return whether this is a client's retry that comes too late for an answer within the aim.

        The aim is counted from the client's first request. No client waits past the deadline of that
        request. So a request with a shorter wait than first requests is a retry, and the time by which its
        wait is shorter than the class's longest client timeout has already passed. A request that was delayed
        on its way looks the same. The drawback: first requests of clients that wait for less time than others
        are taken for retries, and get only what the customer's bucket has to spare.
        """
        request_class, waits_ms, wait_ms = (
            self.settings.classes[event.class_index],
            self.client_waits_ms[event.class_index],
            event.deadline_ms - now_ms,
        )
        waits_ms.append(wait_ms)
        time_left_ms = request_class.aim_ms - (request_class.max_client_timeout_ms - wait_ms)
        if (
            time_left_ms
            >= min(self.fleet.mean_latency_ms, LATE_CLIENT_RETRY_AIM_FRACTION * request_class.aim_ms)
            or len(waits_ms) < MIN_OBSERVATION_COUNT
        ):
            return False
        # First requests have similar waits, and retries wait for the rest of that time. A client's last retry
        # may wait for longer.
        bin_counts = Counter(round(sample_ms / CLIENT_WAIT_BIN_MS) for sample_ms in waits_ms)
        min_count = FIRST_REQUEST_BIN_MIN_FRACTION * max(bin_counts.values())
        first_request_bin = min(wait_bin for wait_bin, count in bin_counts.items() if count >= min_count)
        return wait_ms < (first_request_bin - 1) * CLIENT_WAIT_BIN_MS

    def _repeat_deadline_ms(self, request: Request) -> float:
        """Return until when another attempt may be written, as far as repeated execution is concerned.

        A repeat has to reach a server while the servers still recognise it, even if this gateway is held up
        just before it writes.
        """
        first_possibly_run = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
        if first_possibly_run is None or request.request_class.effect is RetrySafety.IDEMPOTENT:
            return INF
        if request.request_class.effect is RetrySafety.AT_MOST_ONCE:
            return -INF
        return first_possibly_run.sent_ms + request.request_class.window_ms - MAX_WRITE_DELAY_MS

    def _may_repeat_at(self, request: Request, server: TrackedServer) -> bool:
        """Return whether this server would recognise a repeat of each attempt that may have run.

        A server with an outstanding attempt gets no second one.
        """
        if any(
            attempt.is_outstanding and attempt.server_entry.id == server.entry.id
            for attempt in request.attempts
        ):
            return False
        return request.request_class.effect is RetrySafety.IDEMPOTENT or all(
            self._in_dedup_scope(request.request_class.dedup_scope, attempt.server_entry, server)
            for attempt in request.attempts
            if attempt.may_have_run
        )

    def _in_dedup_scope(
        self, dedup_scope: DedupScope, earlier_entry: api.Server, server: TrackedServer
    ) -> bool:
        """Return whether the server would recognise a repeat of an attempt at the earlier server."""
        if dedup_scope is DedupScope.ALL:
            return True
        return (
            earlier_entry.zone == server.entry.zone
            if dedup_scope is DedupScope.ZONE
            else earlier_entry.cell == server.entry.cell
        )

    def _send_attempt(self, now_ms: float, request: Request, tried_server_ids: set[int]) -> bool:
        """Send an attempt if every rule on sending allows it; no other method sends."""
        arrival, is_first_attempt = request.arrival, not request.attempts
        if not request.is_open or request.streaming or now_ms >= request.useful_until_ms:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if request.outstanding_count() and not self.settings.second_copies:
            return False
        write_by_ms = self._repeat_deadline_ms(request)
        if now_ms > write_by_ms:
            return False
        customer = request.customer
        if (
            is_first_attempt
            and customer.plan.ceiling_rate > 0
            and customer.ceiling_bucket.refill(now_ms) < arrival.units
        ):
            return False
        # Retries are not sent to avoided servers: they would add to the overload that makes a server reject
        # requests or leave them unanswered.
        server = self.fleet.choose_server(
            now_ms,
            lambda candidate: self._may_repeat_at(request, candidate),
            tried_server_ids,
            is_first_attempt,
        )
        if server is None:
            return False
        is_hedge = request.outstanding_count() > 0
        attempt = Attempt(len(request.attempts), server.entry, now_ms, is_hedge=is_hedge)
        request.attempts.append(attempt)
        server.outstanding_count += 1
        server.slow_start_tokens -= 1.0
        if server.suspect:  # this attempt is a trial, and the next trial waits for its result
            self.fleet.mark_suspect(server, now_ms)
        self.occupied_slots[request.lane] += 1
        request.customer.outstanding_count += 1
        if is_first_attempt:
            request.customer.record_send(now_ms, arrival.units)
        attempt_deadline_ms = request.useful_until_ms
        # Less than 1 leaves time for a retry while answers get lost.
        time_fraction = (
            HEAVY_LOSS_ATTEMPT_TIME_FRACTION
            if self.heavy_answer_loss
            else LIGHT_LOSS_ATTEMPT_TIME_FRACTION
            if self.light_answer_loss and is_first_attempt
            else 1.0
        )
        if (
            request.request_class.effect is not RetrySafety.AT_MOST_ONCE
            and attempt.number + 1 < self.settings.max_attempts
        ):
            attempt_deadline_ms = now_ms + time_fraction * (attempt_deadline_ms - now_ms)
        self.actions.append(api.Send(arrival.request_id, server.entry.id, attempt_deadline_ms, write_by_ms))
        self._schedule_hedge(now_ms, request)
        return True

    def _hedge_ms(self, request: Request) -> float:
        """Return when the request is hedged if its attempt is still outstanding."""
        return self._repeat_deadline_ms(request) - HEDGE_LEAD_MS

    def _schedule_hedge(self, now_ms: float, request: Request) -> None:
        """Set a timer for a hedge if the last moment for a repeat comes while an answer is still of use.

        An attempt that fails after that moment can't be retried any more, so it is hedged just before.
        """
        if self.settings.second_copies and now_ms < self._hedge_ms(request) < request.useful_until_ms:
            self.last_timer_token = (self.last_timer_token + 1) % MAX_TIMER_TOKEN
            self.hedge_timers[self.last_timer_token] = request.arrival.request_id
            self.actions.append(api.SetTimer(self._hedge_ms(request) - now_ms, self.last_timer_token))

    def _on_timer_fired(self, now_ms: float, event: api.TimerFired) -> None:
        """Hedge the request of a timer, unless it is over, was retried meanwhile or its lane is full."""
        request = self.requests.get(self.hedge_timers.pop(event.token, -1))
        if (
            request is not None
            and request.outstanding_count() == 1
            and sum(1 for attempt in request.attempts if attempt.may_have_run) == 1
            and now_ms >= self._hedge_ms(request)
            and self._lane_headroom(request.lane) >= 1.0
        ):
            self._send_attempt(now_ms, request, set())

    def _refuse_or_fail(self, now_ms: float, request: Request) -> None:
        """Refuse the request if a client's retry is surely harmless, else fail it.

        A repeat at the advised time has to be recognised by the server that gets it. No other method refuses
        or fails a request.
        """
        if not request.is_open or request.streaming:
            return
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        retry_after_ms = self._retry_after_ms(now_ms, request)
        retry_is_recognised = (
            request.request_class.effect is RetrySafety.DEDUPLICATED
            and request.request_class.dedup_scope is DedupScope.ALL
            and now_ms + retry_after_ms <= self._repeat_deadline_ms(request)
        )
        retry_is_harmless = (
            not may_have_run or request.request_class.effect is RetrySafety.IDEMPOTENT or retry_is_recognised
        )
        may_refuse = retry_is_harmless and not (may_have_run and now_ms >= request.useful_until_ms)
        request_id, request.is_open = request.arrival.request_id, False
        self.actions.append(api.Refuse(request_id, retry_after_ms) if may_refuse else api.Fail(request_id))
        self._remove_if_finished(request)

    def _retry_after_ms(self, now_ms: float, request: Request) -> float:
        """Return the delay in ms after which the client is advised to retry, at most `max_retry_after_ms`.

        This is the mean latency, after which most outstanding attempts have ended. If the meter shows that
        the quota is used up, it is at least the time until the bucket holds the request's units again.
        """
        customer, wait_ms = request.customer, self.fleet.mean_latency_ms
        missing_units = request.arrival.units - customer.bucket.refill(now_ms)
        if (customer.usage_percent or 0) >= 100 and missing_units > 0 and customer.plan.rate > 0:
            wait_ms = max(wait_ms, missing_units / customer.plan.rate * 1000.0)
        return min(self.settings.max_retry_after_ms, wait_ms)

    def _remove_if_finished(self, request: Request) -> None:
        """Remove a request that has its final answer and no outstanding attempts."""
        if not request.is_open and not request.outstanding_count():
            self.requests.pop(request.arrival.request_id, None)

    def _on_request_abandoned(self, now_ms: float, event: api.RequestAbandoned) -> None:
        """Cancel the outstanding attempts of a request whose client has gone."""
        if request := self.requests.get(event.request_id):
            request.is_open = False
            self._cancel_outstanding(request)
            self._remove_if_finished(request)

    def _on_stream_started(self, now_ms: float, event: api.StreamStarted) -> None:
        """Record that the answer goes to the client: no retry, cancellation, refusal or failure follows."""
        if request := self.requests.get(event.request_id):
            request.streaming = True

    def _cancel_outstanding(self, request: Request) -> None:
        """Cancel the request's outstanding attempts, if the settings allow it."""
        if self.settings.may_cancel and not request.streaming:
            request_id = request.arrival.request_id
            self.actions += [
                api.Cancel(request_id, attempt.number)
                for attempt in request.attempts
                if attempt.is_outstanding
            ]

    def _on_attempt_ended(self, now_ms: float, event: api.AttemptEnded) -> None:
        """Record the end of an attempt and learn from it, then close, retry or finish the request."""
        server = self.fleet.servers.get(event.server_id)
        was_suspect = server is not None and server.suspect and not self.fleet.mostly_suspect()
        self.fleet.record_attempt_end(now_ms, event)
        request = self.requests.get(event.request_id)
        if request is None or not (attempt := request.attempts[event.attempt_number]).is_outstanding:
            return
        attempt.is_outstanding = False
        attempt.may_have_run = event.status not in NEVER_RUN_STATUSES
        request.customer.outstanding_count -= 1
        if event.status is CallStatus.TIMEOUT and not was_suspect and not self.heavy_answer_loss:
            # The server still works on a timed-out attempt or has yet to begin. So the slot stays occupied
            # for as long again as the wait was, but at least for the mean latency, because after a short
            # wait more of the work is left.
            remaining_ms = max((TIMED_OUT_WORK_FACTOR - 1.0) * event.elapsed_ms, self.fleet.mean_latency_ms)
            heapq.heappush(self.timed_out_slots, (now_ms + remaining_ms, request.lane))
        else:
            self.occupied_slots[request.lane] -= 1
        if event.usage_percent is not None and self.settings.metering_ms > 0:
            request.customer.apply_reading(now_ms, event.usage_percent, self.meter_clock)
        if (
            self.settings.post_paid
            and event.status is CallStatus.OK
            and event.charged_units
            and not event.attempt_number
        ):
            request.customer.bucket.level += request.arrival.units - event.charged_units
        # A timeout at a suspect says nothing about the back end's load; elsewhere it is a censored latency.
        # The answer to a hedge says nothing: a server that recognises a repeat gives it without the work.
        if (event.status is CallStatus.OK and not attempt.is_hedge) or (
            event.status is CallStatus.TIMEOUT and not was_suspect
        ):
            answered = event.status is CallStatus.OK
            self.latency_window.add(
                latency.LatencyObservation(now_ms, request.arrival.class_index, event.elapsed_ms, answered)
            )
        elif event.status is CallStatus.REJECTED:
            self.last_rejection_ms = now_ms
        if event.request_closed:
            request.is_open = False
            self._cancel_outstanding(request)
        elif request.is_open and not request.outstanding_count():
            tried_server_ids = {earlier_attempt.server_entry.id for earlier_attempt in request.attempts}
            if event.status is CallStatus.NOT_SENT or not self._send_attempt(
                now_ms, request, tried_server_ids
            ):
                self._refuse_or_fail(now_ms, request)
        self._remove_if_finished(request)

    def _update_light_load_latency(
        self, index: int, weighted_observations: list[tuple[float, float, bool]]
    ) -> float:
        """Update and return the remembered 10th percentile of the latency in ms; 0 without observations.

        `index` is 0 for lane one, 1 for lane two and 2 for both. Growth is limited, because in an overload
        even fast requests wait, and a percentile that grew with them would make the utilization look low.
        Where requests really become heavier, the value is too low for some seconds.
        """
        if weighted_observations:
            self.light_load_latency_ms[index] = min(
                latency.weighted_p10_ms(weighted_observations),
                self.light_load_latency_ms[index] * LIGHT_LATENCY_MAX_GROWTH_FACTOR,
            )
        return self.light_load_latency_ms[index] if self.light_load_latency_ms[index] < INF else 0.0

    def _outstanding_observations(self, now_ms: float) -> list[latency.LatencyObservation]:
        """Return the outstanding attempts as observations censored now.

        In an overload, their age shows that aims are missed earlier than their timeouts do.
        """
        return [
            latency.LatencyObservation(now_ms, request.arrival.class_index, now_ms - attempt.sent_ms, False)
            for request in self.requests.values()
            if now_ms < request.useful_until_ms
            for attempt in request.attempts
            if attempt.is_outstanding
            and (attempt.server_entry.id not in self.fleet.suspects or self.fleet.mostly_suspect())
        ]

    def _update_thresholds(self, now_ms: float) -> None:
        """Estimate the utilization from the load window and set the lane caps by the threshold search."""
        self._trim_load_window(now_ms)
        tightest_aim_ms = min(
            request_class.aim_ms
            for request_class, lane in zip(self.settings.classes, self.lane_of_class, strict=True)
            if lane == 0
        )
        self._update_answer_loss(now_ms, tightest_aim_ms)
        ended_observations = (
            self.latency_window.answered_observations()
            if self.heavy_answer_loss
            else list(self.latency_window.observations)
        )
        load_observations = (
            ended_observations
            if self.heavy_answer_loss
            else ended_observations + self._outstanding_observations(now_ms)
        )
        self._update_answer_time_distributions(now_ms, load_observations)
        weighted_by_lane = self._weight_by_lane(load_observations)
        weighted_both_lanes = sorted(weighted_by_lane[0] + weighted_by_lane[1])
        if weighted_both_lanes:
            self.fleet.mean_latency_ms = max(1.0, latency.weighted_mean_ms(weighted_both_lanes))
        if len(ended_observations) < MIN_OBSERVATION_COUNT or not weighted_by_lane[0]:
            return
        light_latency_ms = [
            self._update_light_load_latency(index, lane) for index, lane in enumerate(weighted_by_lane)
        ]
        # In the queueing model, the mean latency is the light-load latency divided by (1 - utilization).
        utilization = (
            1.0 - self._update_light_load_latency(2, weighted_both_lanes) / self.fleet.mean_latency_ms
        )
        rho = self._split_utilization(utilization, light_latency_ms)
        if rho is None:
            return
        max_sojourn = MEAN_LATENCY_BOUND_AIM_FRACTION * tightest_aim_ms / light_latency_ms[0]
        # The first feasible pair is the one for the highest floor of lane two.
        candidates = (
            optimal_thresholds(rho[0], rho[1], max_sojourn, min_fraction)
            for min_fraction in LANE_TWO_FLOOR_FRACTIONS
        )
        best_thresholds = next((candidate for candidate in candidates if candidate is not None), None)
        if best_thresholds is not None:
            self._set_lane_caps(now_ms, best_thresholds, utilization)

    def _trim_load_window(self, now_ms: float) -> None:
        """Remove ended attempts and admitted arrivals that are too old to tell the present load."""
        self.latency_window.trim(now_ms)
        arrivals = self.admitted_arrivals
        while arrivals and arrivals[0][0] < now_ms - (
            LOAD_WINDOW_MS if len(arrivals) > MIN_OBSERVATION_COUNT else MAX_OBSERVATION_AGE_MS
        ):
            arrivals.popleft()

    def _update_answer_loss(self, now_ms: float, tightest_aim_ms: float) -> None:
        """Decide whether many or some answers are being lost.

        Timeouts are taken for lost answers, not for overload, if the other answers come quickly. Lost answers
        are no sign of load and are worth a retry; the same holds for unreachable servers. The drawback: in an
        overload where only one class times out, the retries add to it. A timeout after a shorter wait than
        most answers need is evidence of neither.
        """
        answer_times_ms = sorted(
            observed.elapsed_ms for observed in self.latency_window.answered_observations()
        )
        lost_count = self._count_lost_answers(answer_times_ms)
        many_lost = lost_count > HEAVY_LOSS_MIN_ATTEMPT_FRACTION * (lost_count + len(answer_times_ms))
        # Servers that reject requests are overloaded.
        no_rejections = self.last_rejection_ms < now_ms - LOAD_WINDOW_MS
        answers_are_fast = (
            len(answer_times_ms) > 3
            and answer_times_ms[len(answer_times_ms) * 3 // 4] < FAST_ANSWER_AIM_FRACTION * tightest_aim_ms
        )
        was_heavy_loss = self.heavy_answer_loss
        self.heavy_answer_loss = no_rejections and many_lost and answers_are_fast
        # An answer counts as late if an attempt with the timeout for light losses would have missed it.
        late_count = sum(
            1
            for elapsed_ms in answer_times_ms
            if elapsed_ms > LIGHT_LOSS_ATTEMPT_TIME_FRACTION * tightest_aim_ms
        )
        enough_lost = lost_count >= max(2.0, LIGHT_LOSS_MIN_TIMEOUT_RATIO * len(answer_times_ms))
        self.light_answer_loss = (
            len(answer_times_ms) > MIN_OBSERVATION_COUNT
            and enough_lost
            and late_count <= LIGHT_LOSS_MAX_LATE_FRACTION * len(answer_times_ms)
        )
        if self.heavy_answer_loss and not was_heavy_loss:
            self.actions.append(
                api.Log(
                    f"answers are being lost: {lost_count} attempts timed out after a wait in which most "
                    f"answers arrive, {len(answer_times_ms)} attempts were answered"
                )
            )

    def _count_lost_answers(self, answer_times_ms: list[float]) -> int:
        """Return how many attempts timed out after a wait in which most of these sorted answers arrive."""
        min_wait_ms = (
            answer_times_ms[int(len(answer_times_ms) * ANSWER_LOSS_MIN_WAIT_QUANTILE)]
            if answer_times_ms
            else 0.0
        )
        timed_out = self.latency_window.censored_observations()
        return sum(1 for observed in timed_out if observed.elapsed_ms >= min_wait_ms)

    def _update_answer_time_distributions(
        self, now_ms: float, observations: list[latency.LatencyObservation]
    ) -> None:
        """Derive the distribution of each class's answer times from the observations within the window."""
        observations_by_class: list[list[tuple[float, bool]]] = [[] for _ in self.settings.classes]
        for observation in observations:
            if observation.ended_ms >= now_ms - LOAD_WINDOW_MS:
                observations_by_class[observation.class_index].append(
                    (observation.elapsed_ms, observation.answered)
                )
        self.answer_time_distributions = [
            latency.AnswerTimeDistribution(elapsed_pairs) for elapsed_pairs in observations_by_class
        ]

    def _weight_by_lane(
        self, observations: list[latency.LatencyObservation]
    ) -> list[list[tuple[float, float, bool]]]:
        """Return the weighted observations of each lane, with censored ones redistributed."""
        observations_by_lane: list[list[tuple[float, bool]]] = [[], []]
        for observation in observations:
            observations_by_lane[self.lane_of_class[observation.class_index]].append(
                (observation.elapsed_ms, observation.answered)
            )
        return [latency.kaplan_meier_weights(elapsed_pairs) for elapsed_pairs in observations_by_lane]

    def _split_utilization(self, utilization: float, light_latency_ms: list[float]) -> list[float] | None:
        """Return each lane's part of the utilization, by its arrivals and light-load latency.

        None if there is no load to split, or nothing known of lane one.
        """
        arrival_counts = [
            sum(1 for _, lane, _ in self.admitted_arrivals if lane == index) for index in (0, 1)
        ]
        work_by_lane = [arrival_counts[index] * light_latency_ms[index] for index in (0, 1)]
        if utilization <= 0 or sum(work_by_lane) <= 0 or light_latency_ms[0] <= 0:
            return None
        return [utilization * lane_work / sum(work_by_lane) for lane_work in work_by_lane]

    def _set_lane_caps(self, now_ms: float, thresholds: tuple[float, float], utilization: float) -> None:
        """Set the lane caps to these thresholds of the model, scaled to the requests that occupy slots."""
        # Corrects the moving average for its start at 0, which would keep it and the caps low for seconds.
        averaged_fraction = 1.0 - math.exp((self.first_arrival_ms - now_ms) / LOAD_WINDOW_MS)
        # The model holds utilization / (1 - utilization) requests on average. Its thresholds are scaled by
        # the ratio of the requests that really occupy slots to these.
        requests_per_model_request = max(
            1e-3, sum(self.mean_occupied_slots) / averaged_fraction * (1.0 - utilization) / utilization
        )
        lane_caps = (
            max(MIN_LANE_CAP_REQUESTS, thresholds[0] * requests_per_model_request),
            max(MIN_LANE_CAP_REQUESTS, thresholds[1] * requests_per_model_request),
        )
        if (min(lane_caps) < INF) != (min(self.lane_caps) < INF):
            self.actions.append(
                api.Log(
                    f"lane caps set to {lane_caps[0]:.1f} (lane one) and {lane_caps[1]:.1f} (lane two) "
                    f"requests at back-end utilization {utilization:.2f}"
                )
            )
        self.lane_caps = lane_caps
