"""Every decision of the gateway; its types, events and actions stand in `ironstage/interface.py`.

Two lanes of request classes are capped at the back end by the thresholds of de Waal's report BS-R9025
(Section 3); customers are held to quotas by a metered let-in share.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ironstage import interface as api
from ironstage import latency
from ironstage.interface import CallStatus, DedupScope, RetrySafety, ServerState

# --- Constants: lanes and thresholds --------------------------------------------------------------
THRESHOLD_UPDATE_INTERVAL_MS = 500.0  # short, because the load changes within seconds
LOAD_WINDOW_MS = 5000.0  # holds some hundred completions at tens of requests a second
# The window keeps at least so many completions, up to the maximum age; with fewer, the thresholds stay as
# they are.
MIN_OBSERVATION_COUNT = 10
MAX_OBSERVATION_AGE_MS = 20000.0  # older observations say nothing about the present load
# Margin above a threshold, in square roots of the threshold: the small counts of one gateway fluctuate
# by chance, while their sum over all gateways hardly does.
CAP_MARGIN_STDDEVS = 1.5
MIN_LANE_CAP_REQUESTS = 0.2  # above 0, because a lane without completions could never open again
# Bound on lane one's mean latency, as a fraction of its aim: most answers shall be within the aim, not half.
MEAN_LATENCY_BOUND_AIM_FRACTION = 0.15
SAME_LANE_AIM_FACTOR = 1.34  # classes with aims up to this multiple of the tightest aim are in lane one
LOW_LATE_WORTH = 0.3  # attempts of classes with a late worth up to this end at the aim
# Minimum throughput T of lane two, as fractions of its arrivals; the highest feasible one is used.
LANE_TWO_FLOOR_FRACTIONS = tuple(n / 10 for n in range(9, 1, -1))
# Bounds the growth of the remembered light-load latency at each threshold update: it doubles in some 2 s.
LIGHT_LATENCY_MAX_GROWTH_FACTOR = 1.3
MAX_SEARCH_THRESHOLD = 96  # largest value of either threshold; bounds the search (about 5 ms in CPython)

# --- Constants: meter lag and the gateway's fraction of a customer's traffic ----------------------
# The lag is the time from the end of a metered period until its use appears in answers.
METER_LAG_STEP_MS = 100.0
METER_LAG_STEP_COUNT = 30  # a meter that is later than this many steps is not followed
INITIAL_METER_LAG_STEPS = 8  # assumed before any evidence
TRAFFIC_FRACTION_RELATIVE_ERROR = 0.15  # error allowed for in the fraction of a customer's traffic
# Weight of the initial lag: error added for each squared step away from it, in units of the normal
# squared prediction error. Small, so that it only breaks ties.
METER_LAG_PRIOR_WEIGHT = 0.1
METER_PHASE_RETENTION_FACTOR = 0.95  # evidence on when readings change: kept at each change
METER_LAG_RETENTION_FACTOR = 0.995  # lag errors: kept at each reading, so some hundred readings decide
SEND_HISTORY_MS = 10000.0  # minimum length of a customer's send history; exceeds the meter's lag
TRAFFIC_FRACTION_PRIOR_UNITS = 8.0  # weight of an even spread over gateways against metered evidence
# With a smaller part of the burst, the gateway's own sends say nothing about the token bucket's level.
MIN_OWN_BURST_UNITS = 1.0

# --- Constants: admission share and token bucket of a customer ------------------------------------
PRIOR_USE_RATE_FRACTION = 1.0  # use assumed before the first reading, as a fraction of the rate
PRIOR_USE_WEIGHT_UNITS = 0.3
READING_RETENTION_FACTOR = 0.5  # weight of earlier readings: kept at each new one
OTHERS_PRIOR_USE_RATE_FRACTION = 0.7  # use assumed for all other gateways together
OTHERS_PRIOR_MIN_WEIGHT_UNITS = 0.7
# The weight grows with the customer's gateways: the fraction of traffic that one of many gateways sees is
# small and changes within seconds.
OTHERS_PRIOR_WEIGHT_UNITS_PER_GATEWAY = 0.1
# A customer that was idle for so long, with full token buckets, has no state worth keeping.
CUSTOMER_EXPIRY_MS = 40000.0
LIGHT_CUSTOMER_EXPIRY_MS = 10000.0  # the same for a customer with little demand
LIGHT_CUSTOMER_MAX_UNITS = 1.0  # decayed demand and metered use up to which a customer counts as light
CUSTOMER_EXPIRY_INTERVAL_MS = 1000.0
# At some 2 KB each; beyond this count the longest idle are removed as soon as their ceiling bucket is full.
MAX_CUSTOMER_COUNT = 5000
USE_DECAY_MS = 20000.0  # time constant of the decay of readings and demand: customers change their habits
MIN_ADMISSION_SHARE_DIVISOR = 0.05  # lower bound of the admission share that metered use is divided by
TRAFFIC_FRACTION_RETENTION_FACTOR = 0.85  # kept at each metered period: traffic shifts within tens of seconds
# With more than this fraction of the burst left in the bucket, the admission share is not applied.
UNCONDITIONAL_LEVEL_BURST_FRACTION = 0.25
# Reserve for requests of more worth, as fractions of the burst. Each is multiplied by how far the request's
# worth, as a fraction of the highest worth, is below 1.
BASE_RESERVE_BURST_FRACTION = 0.1
OVER_QUOTA_RESERVE_BURST_FRACTION = 0.8  # also multiplied by the root of (1 - admission share)
# Added to the latter for each gateway of the customer: with many gateways the admission share is a rough
# estimate, and the reserve favours attempts of high worth.
OVER_QUOTA_RESERVE_BURST_FRACTION_PER_GATEWAY = 0.06
MAX_BUCKET_DEBT_BURST_FRACTION = 1.0  # how far below empty the estimated level may fall

# --- Constants: lost answers and late retries -----------------------------------------------------
# Heavy answer loss: the fraction of attempts that time out exceeds this although answers come quickly.
HEAVY_LOSS_MIN_ATTEMPT_FRACTION = 0.15
# A timeout after less than this quantile of the answer times is no evidence of a lost answer. Fewer answers
# take longer than the quantile than must be missing for a heavy loss.
ANSWER_LOSS_MIN_WAIT_QUANTILE = 0.9
# Answers come quickly if three in four take less than this fraction of the tightest aim.
FAST_ANSWER_AIM_FRACTION = 0.25
# Total work of an attempt that timed out, as a multiple of the time waited for it: an attempt caught in long
# work has on average as much of that work left as is done.
TIMED_OUT_WORK_FACTOR = 2.0
# Attempt timeouts, as fractions of the time left, that leave time for a retry of work that may be repeated.
HEAVY_LOSS_ATTEMPT_TIME_FRACTION = 0.5
LIGHT_LOSS_ATTEMPT_TIME_FRACTION = 0.65
# With a larger fraction of recent answers late, timeouts are a sign of load, and retries would add to it.
LIGHT_LOSS_MAX_LATE_FRACTION = 0.01
LIGHT_LOSS_MIN_TIMEOUT_RATIO = 0.02  # timeouts to answers; below this, hardly any answer is lost
CLIENT_WAIT_SAMPLE_COUNT = 64  # latest requests of a class that the wait of first attempts is read from
CLIENT_WAIT_BIN_MS = 8.0  # waits this close count as equal: a request loses some time on its way
# Bins with at least this fraction of the most frequent bin's count hold waits of first attempts, too.
FIRST_ATTEMPT_BIN_MIN_FRACTION = 0.7
# A retry is late with less time left to its aim than the mean latency or this fraction of the aim,
# whichever is less.
LATE_RETRY_TIME_LEFT_AIM_FRACTION = 0.5
# With more than this fraction of the burst left in the bucket, a late retry takes nothing from others.
AMPLE_LEVEL_BURST_FRACTION = 0.5

# --- Constants: server health, load and choice ----------------------------------------------------
# With a larger fraction of the ready servers suspect, the back end is slow; the servers are not lost.
OVERLOAD_SUSPECT_FRACTION = 0.6
INITIAL_MEAN_LATENCY_MS = 200.0  # assumed before any observation
TRIAL_BACKOFF_MS = 1000.0  # wait before a suspect's first trial; grows with each trial that fails
TRIAL_BACKOFF_GROWTH_FACTOR = 2.0  # with few gateways; with more, times the root of their relative number
TRIAL_BACKOFF_MAX_FACTOR = 8.0  # of the first wait, with few gateways; with more, in proportion
FEW_GATEWAY_COUNT = 4  # a suspect can bear the trials of this many gateways together
MAX_JITTER_FRACTION = 0.3  # added to a wait at most, as many gateways notice a lost server at once
# Errors without a success in between that make a server suspect: a server that fails at once looks idle and
# would draw all traffic.
SUSPECT_ERROR_COUNT = 2
REJECTION_AVOIDANCE_MS = 200.0  # a server that rejected a request is avoided so long; longer by many gateways
# A cold server's flow, as a multiple of its warm fraction of a warm server's flow: the warm fraction is the
# least capacity that it can have.
COLD_SERVER_FLOW_FACTOR = 1.2
# Upper bound of a cold server's flow: this fraction of the cold rule's `tip_multiple`, times the server's
# warm fraction of the mean flow to a server.
COLD_SERVER_MAX_TIP_MULTIPLE_FRACTION = 0.6
WARM_CAPACITY_UPDATE_INTERVAL_MS = 250.0
FULL_UTILIZATION_LOAD_REQUESTS = 2.0  # outstanding requests that a reported utilization of 1 counts for
CANDIDATE_SAMPLE_COUNT = 12  # servers sampled at random for an attempt
# An answer within this multiple of the mean latency is prompt: the server has no queue. Most answers of an
# idle server are prompt.
PROMPT_ANSWER_LATENCY_FACTOR = 2.0
PROMPT_ANSWER_VALIDITY_MS = LOAD_WINDOW_MS  # how long a prompt answer is evidence about its server
# Advantage, in outstanding requests, of a server with a recent prompt answer: it decides between equals only.
PROMPT_ANSWER_BONUS_REQUESTS = 0.5
# Weight of a new report in the moving average of the load, which replaces a missing or old report.
MEAN_LOAD_SMOOTHING_FACTOR = 0.1
ZONE_EJECTION_FAILURE_COUNT = 3  # failures without an answer in between; then a zone gets trials only
LOAD_REPORT_VALIDITY_MS = 1500.0

INF = math.inf


# --- Threshold search (de Waal, Algorithms 3.8 and 3.9) -----------------------------------------
def j_sums(n: int, x: float, y: float) -> tuple[float, float, float]:
    """J1, J2, J3 of (15)-(17); their inner sums are binomial and collapse to powers of 1 - x."""
    one = two = three = 0.0
    term = 1.0 / (1.0 - x)
    for j in range(n + 1):
        one += term
        two += (j + 1) * x / (1.0 - x) * term
        three += j * term
        term *= y / (1.0 - x)
    return one, two, three


def sole_caller(rho1: float, rho2: float, m2: int) -> tuple[float, float]:
    """S1(1, m2) in mean service times and T2(1, m2) as a part of lambda2, by (28)-(31)."""
    four = five = before = 0.0
    for j in range(m2 + 1):
        before = four + five
        four += rho2**j
        five += (j + 1) * rho1 * rho2**j
    # By (14), S1 = J5 / (lambda1 J4): (30) as printed divides by J4 + J5.
    return five / (rho1 * four), before / (four + five)


def unbounded_lane_two(rho1: float, rho2: float, sojourn: float) -> float:
    """The largest M1 with S1(M1, inf) within bound; 0 where there is none."""
    best = 0.0
    for m1 in range(1, MAX_SEARCH_THRESHOLD + 1 if rho2 < 1 else 1):
        if j_sums(m1, rho2, rho1)[2] > sojourn * rho1 * j_sums(m1 - 1, rho2, rho1)[0]:
            break
        best = m1
    return best


def best_lane_one(
    rows: list[float], before: list[float], rho1: float, sojourn: float, floor: float
) -> tuple[int, float, bool]:
    """(M1, T1 part, whether S1 stopped it): the largest feasible M1 for the rows' M2."""
    best, reached, slow = 0, 0.0, False
    total, below, length = rows[0], before[0], 0.0
    for m1 in range(1, len(rows)):
        admitted = total
        total += rows[m1]
        below += before[m1]
        length += m1 * rows[m1]
        slow = length > sojourn * rho1 * admitted
        if slow or below < floor * total:
            break
        best, reached = m1, admitted / total
    return best, reached, slow


def thresholds(rho1: float, rho2: float, sojourn: float, floor: float) -> tuple[float, float] | None:
    """The optimal (M1, M2), infinite where no cap is due; None where nothing is feasible.

    `sojourn` is S mu1, `floor` is T / lambda2: the product form knows no other units.
    """
    rho1, rho2 = max(rho1, 1e-9), max(rho2, 1e-9)
    if rho1 + rho2 < 1 and sojourn * (1 - rho1 - rho2) >= 1:
        return INF, INF
    last = unbounded_lane_two(rho1, rho2, sojourn)
    if floor >= 1:
        return (last, INF) if last else None
    least = next((m for m in range(MAX_SEARCH_THRESHOLD) if sole_caller(rho1, rho2, m)[1] >= floor), None)
    if least is None or sole_caller(rho1, rho2, least)[0] > sojourn:
        return None
    column = [rho1**m1 for m1 in range(MAX_SEARCH_THRESHOLD + 1)]
    rows, before = list(column), [0.0] * (MAX_SEARCH_THRESHOLD + 1)
    best, top = None, 0.0
    for m2 in range(MAX_SEARCH_THRESHOLD + 1):
        if m2:
            column = [pi * rho2 * (m1 + m2) / m2 for m1, pi in enumerate(column)]
            before, rows = rows, [a + b for a, b in zip(rows, column, strict=True)]
        if m2 < least:
            continue
        if rho1 < 1:
            one, two, _ = j_sums(m2, rho1, rho2)
            fewer = j_sums(m2 - 1, rho1, rho2)[0] if m2 else 0.0
            if two <= sojourn * rho1 * one and fewer >= floor * one:
                return INF, m2
        m1, reached, slow = best_lane_one(rows, before, rho1, sojourn, floor)
        if m1 and reached > top:
            best, top = (m1, m2), reached
        # M1(m2) rises while the floor binds and falls while S1 does; only there it has settled.
        if slow and m1 <= last:
            break
    return best


# --- Quota --------------------------------------------------------------------------------------
@dataclass(slots=True)
class TokenBucket:
    """A store that fills at a rate (units a second) up to a depth."""

    rate: float
    depth: float
    level: float
    at: float

    def refill(self, now: float) -> float:
        self.level = min(self.depth, self.level + self.rate * (now - self.at) / 1000.0)
        self.at = now
        return self.level


class MeterClock:
    """Learns which period a reading speaks of; else sends of another would mend the store."""

    def __init__(self, period: float) -> None:
        self.period = period
        self.errors = [
            (step - INITIAL_METER_LAG_STEPS) ** 2 * METER_LAG_PRIOR_WEIGHT
            for step in range(METER_LAG_STEP_COUNT)
        ]
        self.sine = self.cosine = 0.0

    def changed(self, before: float, now: float) -> None:
        """A customer's reading changed between two answers: the meter moved on in between."""
        if now - before < self.period / 4:
            angle = math.tau * ((before + now) / 2 % self.period) / self.period
            self.sine = METER_PHASE_RETENTION_FACTOR * self.sine + math.sin(angle)
            self.cosine = METER_PHASE_RETENTION_FACTOR * self.cosine + math.cos(angle)

    def moved(self, now: float) -> float:
        """When the present readings came out."""
        phase = math.atan2(self.sine, self.cosine) / math.tau * self.period
        return now - (now - phase) % self.period

    def window(self, now: float) -> tuple[float, float]:
        """Start and end of the period that a reading heard now speaks of."""
        best = min(range(METER_LAG_STEP_COUNT), key=lambda step: self.errors[step])
        end = self.moved(now) - best * METER_LAG_STEP_MS
        return end - self.period, end

    def learn(self, now: float, customer: Customer, whole: float) -> None:
        """Score each lag by how well our sends, scaled by our part, foretell the reading.

        Each miss counts against what chance and a misjudged part make of it (binomial own sends): else the
        few largest customers decide, by noise. It hurts where the large ones alone are steady.
        """
        moved, part = self.moved(now), customer.part()
        spread = 1.0 + whole * (1.0 - part) / part + (TRAFFIC_FRACTION_RELATIVE_ERROR * whole / part) ** 2
        for step in range(METER_LAG_STEP_COUNT):
            end = moved - step * METER_LAG_STEP_MS
            own = customer.drawn(end)[0] - customer.drawn(end - self.period)[0]
            self.errors[step] = (
                self.errors[step] * METER_LAG_RETENTION_FACTOR + (own / part - whole) ** 2 / spread
            )


class Customer:
    """What this gateway holds of one customer: the let-in share and an estimate of the store.

    The store estimate is an exception to the let-in share: for bursts that the store covers, spikes
    that the meter cannot tell yet and missing readings. It can hurt when our part is misjudged.
    """

    __slots__ = (
        "anchor",
        "asked",
        "asked_at",
        "born",
        "ceiling",
        "doors",
        "heard_at",
        "log",
        "out",
        "own",
        "plan",
        "read_at",
        "seen",
        "store",
        "usage",
        "used",
        "whole",
    )

    def __init__(self, plan: api.Plan, doors: int, now: float, born: float = 0.0) -> None:
        self.plan = plan
        self.doors = max(1, doors)
        self.store = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        self.seen = self.used = 0.0  # weighted time metered, and units used in it
        self.asked, self.asked_at, self.born = 0.0, now, born
        # Alone within 1/doors of the ceiling; empty when this gateway started, as its last life may have
        # drawn all, and filled since then: nothing of this customer was sent on.
        began = min(born, now)
        self.ceiling = TokenBucket(
            plan.ceiling_rate / self.doors, plan.ceiling_depth / self.doors, 0.0, began
        )
        # Of own first sends: time, running sums of units, and of units with the others' share.
        self.log = [(-INF, 0.0, 0.0)]
        self.anchor = (plan.burst, now)  # store estimate at the end of the last metered period
        self.heard_at = self.read_at = -INF
        self.own = self.whole = 0.0
        self.usage: int | None = None
        self.out = 0

    def part(self) -> float:
        """Our part of the customer's traffic, learned from the meter; even before evidence."""
        prior = TRAFFIC_FRACTION_PRIOR_UNITS / self.doors
        return min(1.0, (self.own + prior) / (self.whole + TRAFFIC_FRACTION_PRIOR_UNITS))

    def share(self, now: float) -> float:
        """The let-in share: the rate over the use that readings, own tries and a thin guess foretell.

        All fade, so that what a rarely seen customer once did does not bind it (Gamma-Poisson).
        """
        if self.plan.rate <= 0:
            return min(1.0, 100.0 / (self.usage or 100.0))
        weight, rate = math.exp((self.read_at - now) / USE_DECAY_MS), self.plan.rate / 1000.0
        units = (
            PRIOR_USE_WEIGHT_UNITS
            + self.used * weight
            + self.asked * math.exp((self.asked_at - now) / USE_DECAY_MS)
        )
        watched = self.part() * USE_DECAY_MS * (1.0 - math.exp((self.born - now) / USE_DECAY_MS))
        return min(
            1.0,
            rate
            * (PRIOR_USE_WEIGHT_UNITS / (PRIOR_USE_RATE_FRACTION * rate) + self.seen * weight + watched)
            / units,
        )

    def unseen(self) -> tuple[float, float]:
        """What the others draw in a burst's time for each own unit, and units a ms besides (as share)."""
        part, rate = self.part(), max(1e-9, self.plan.rate / 1000.0)
        guess = max(OTHERS_PRIOR_MIN_WEIGHT_UNITS, OTHERS_PRIOR_WEIGHT_UNITS_PER_GATEWAY * self.doors)
        weight = guess / (OTHERS_PRIOR_USE_RATE_FRACTION * rate) + part * self.plan.burst / rate
        return (1.0 - part) * self.plan.burst / rate / weight, (1.0 - part) * guess / weight

    def draw(self, now: float, units: float) -> None:
        """Book a first send: the others draw in proportion, unseen."""
        lump, besides = self.unseen()
        taken = units * (1.0 + lump)
        self.store.rate = self.plan.rate - 1000.0 * besides
        self.store.refill(now)
        self.store.level = max(-MAX_BUCKET_DEBT_BURST_FRACTION * self.plan.burst, self.store.level - taken)
        self.log.append((now, self.log[-1][1] + units, self.log[-1][2] + taken))
        half = len(self.log) // 2
        if half > 8 and self.log[half][0] < now - SEND_HISTORY_MS:
            del self.log[:half]
        if self.plan.ceiling_rate > 0:
            self.ceiling.level -= units

    def forgettable(self, now: float, pressed: bool) -> bool:
        """Whether one made anew would stand as this one does; when pressed the ceiling alone counts."""
        if self.out or self.ceiling.refill(now) < self.ceiling.depth:
            return False
        faded = self.asked * math.exp((self.asked_at - now) / USE_DECAY_MS)
        light = max(faded, self.whole) <= LIGHT_CUSTOMER_MAX_UNITS
        idle = now - self.asked_at >= (LIGHT_CUSTOMER_EXPIRY_MS if light else CUSTOMER_EXPIRY_MS)
        return pressed or (idle and self.store.refill(now) >= self.store.depth)

    def drawn(self, until: float) -> tuple[float, float]:
        """Units of own first sends up to then, without and with the others', from some origin."""
        return self.log[max(0, bisect_right(self.log, (until, INF, INF)) - 1)][1:]

    def meter(self, now: float, usage: int, clock: MeterClock) -> None:
        """Take one reading a metered period: set the let-in share, mend the store estimate."""
        before, self.heard_at = self.heard_at, now
        if usage == self.usage and self.read_at >= clock.moved(now):
            return
        if usage != self.usage and self.usage is not None:
            clock.changed(before, now)
        then, last = (
            max(MIN_ADMISSION_SHARE_DIVISOR, self.share(now)),
            self.read_at,
        )  # use is the outcome of that share
        self.usage, self.read_at, period = usage, now, clock.period
        start, end = clock.window(now)
        whole = usage / 100.0 * self.plan.rate * period / 1000.0
        keep = READING_RETENTION_FACTOR * math.exp((last - now) / USE_DECAY_MS)
        self.seen = self.seen * keep + period
        self.used = self.used * keep + whole / then
        if self.plan.rate <= 0:
            return
        clock.learn(now, self, whole)
        own = self.drawn(end)[0] - self.drawn(start)[0]
        self.own = self.own * TRAFFIC_FRACTION_RETENTION_FACTOR + min(own, whole)
        self.whole = self.whole * TRAFFIC_FRACTION_RETENTION_FACTOR + whole
        self._anchor(now, start, end, whole)

    def _anchor(self, now: float, start: float, end: float, whole: float) -> None:
        """Replay the store: the metered use up to a period's end, our foretelling since then."""
        rate, burst = self.plan.rate / 1000.0, self.plan.burst
        level, at = self.anchor
        if start < at - (end - start) / 2:
            return
        taken = [self.drawn(t)[1] for t in (at, start, end)]
        net = rate - self.unseen()[1]
        level = min(burst, max(0.0, level + net * (start - at) - (taken[1] - taken[0])))
        level = min(burst, max(0.0, level + rate * (end - start) - whole))
        self.anchor = (level, end)
        left = level + net * (now - end) - (self.log[-1][2] - taken[2])
        self.store.level, self.store.at = min(burst, max(-MAX_BUCKET_DEBT_BURST_FRACTION * burst, left)), now

    def spares(self, now: float, units: float) -> bool:
        """Whether the store has so much left that these units will hardly be missed."""
        return (
            self.plan.rate <= 0
            or self.store.refill(now) - units >= AMPLE_LEVEL_BURST_FRACTION * self.plan.burst
        )

    def _kept(self, share: float, worth: float) -> float:
        """Units that a request leaves in the store for dearer ones, by its worth as a part of the dearest's.

        What a customer asks beyond its quota is refused anyhow; so it is the cheaper part. It also gives the
        estimate a margin. It hurts a customer that asks for cheap things alone: that much of its burst, and
        where it is beyond its quota a little of its rate, go unused.
        """
        over = (
            OVER_QUOTA_RESERVE_BURST_FRACTION + OVER_QUOTA_RESERVE_BURST_FRACTION_PER_GATEWAY * self.doors
        ) * math.sqrt(1.0 - share)
        return (BASE_RESERVE_BURST_FRACTION + over) * (1.0 - worth) * self.plan.burst

    def lets_in(self, now: float, units: float, dice: float, worth: float = 1.0) -> bool:
        """The let-in share; a store full enough passes without it where it rests on own sends."""
        share = self.share(now)
        self.asked = self.asked * math.exp((self.asked_at - now) / USE_DECAY_MS) + units
        self.asked_at = now
        if self.plan.parallel and self.out / self.part() >= self.plan.parallel and self.out:
            return False
        if self.plan.rate <= 0:
            return dice < share
        left = self.store.refill(now) - units - self._kept(share, worth)
        sure = (
            self.part() * self.plan.burst >= MIN_OWN_BURST_UNITS
            and left >= UNCONDITIONAL_LEVEL_BURST_FRACTION * self.plan.burst
        )
        return sure or (left >= 0.0 and dice < share)


# --- Server health and choice -------------------------------------------------------------------
@dataclass(slots=True)
class Attempt:
    number: int
    server: api.Server  # as it was then: it may be forgotten before the request is
    sent: float
    out: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class Peer:
    """A server as this gateway sees it."""

    entry: api.Server
    told_ms: float
    waiting: int = 0
    heard_ms: float = -INF
    good_ms: float = -INF  # its latest answer, where that came soon and nothing went wrong since
    suspect: bool = False
    retest_ms: float = 0.0
    backoff: int = 0
    errors: int = 0  # since its last good answer
    avoid_ms: float = -INF
    load: float = 0.0
    load_ms: float = -INF
    allowance: float = 0.0
    filled_ms: float = 0.0


class Fleet:
    """The list, health by silence, slow start of cold servers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.peers: dict[int, Peer] = {}
        self._ready: list[Peer] | None = None
        self.suspects: dict[int, Peer] = {}
        self.missed: dict[int, tuple[int, float]] = {}  # of a zone: failures since its last answer, when
        self.mean_ms = INITIAL_MEAN_LATENCY_MS
        self.usual = 0.0
        self.strength, self.summed_ms = 1.0, -INF
        self.patience = max(1.0, settings.gateway_count / FEW_GATEWAY_COUNT)
        self.due: deque[float] = deque()  # of first sends that quota and lane cap let through, sent or not

    def update(self, now: float, event: api.ServerList) -> None:
        """Apply a list event; a complete list drops what it does not name. A change costs its own length."""
        if event.kind is api.ListKind.FAILED:
            return
        changed = list(event.servers)
        if event.kind is not api.ListKind.DELTA:
            named = {entry.id for entry in changed}
            entries = [peer.entry for ident, peer in self.peers.items() if ident not in named]
            changed += [replace(entry, state=ServerState.GONE) for entry in entries]
        for entry in changed:
            peer = self.peers.get(entry.id)
            if peer is None or entry.started_ms > peer.entry.started_ms:
                # A new process: nothing known of the old one holds. Its first send is due at random,
                # so that hundreds of gateways, each of which earns less than one, add up to their part.
                waiting = peer.waiting if peer else 0
                peer = Peer(entry, now, waiting=waiting, allowance=self.rng.random())
                self.peers[entry.id] = peer
            else:
                peer.entry = entry
            self.suspects.pop(entry.id, None)
            if entry.state is ServerState.GONE and peer.waiting <= 0:
                del self.peers[entry.id]
            elif entry.state is ServerState.READY and peer.suspect:
                self.suspects[entry.id] = peer
        self._ready, self.summed_ms = None, -INF

    @property
    def ready(self) -> list[Peer]:
        """The servers that may be sent to, listed anew when one is next looked for after changes."""
        if self._ready is None:
            self._ready = [peer for peer in self.peers.values() if peer.entry.state is ServerState.READY]
        return self._ready

    def warmth(self, peer: Peer, now: float) -> float:
        """The part of its capacity a server surely has: from cold_from, evenly over cold_ms."""
        if peer.entry.started_ms <= 0 or self.settings.cold_ms <= 0:
            return 1.0
        age = max(0.0, now - peer.entry.started_ms) / self.settings.cold_ms
        return min(1.0, self.settings.cold_from + (1.0 - self.settings.cold_from) * age)

    def _fill(self, peer: Peer, now: float) -> float:
        """Slow start: a cold server earns its warm part of a warm server's flow, for the cold rule bounded.

        The mean flow to a server is less than a warm one bears, so a bound in its terms holds also where
        hardly a server is warm and the flow to those would say nothing.
        """
        self.trim(now)
        servers = max(1, len(self.ready))
        most = max(1.0, COLD_SERVER_MAX_TIP_MULTIPLE_FRACTION * self.settings.tip_multiple)
        flow = (
            len(self.due)
            / LOAD_WINDOW_MS
            / servers
            * min(COLD_SERVER_FLOW_FACTOR * servers / self._strength(now), most)
        )
        gained = (now - max(peer.filled_ms, peer.told_ms)) * flow * self.warmth(peer, now)
        peer.allowance = min(1.0, peer.allowance + gained)
        peer.filled_ms = now
        return peer.allowance

    def _strength(self, now: float) -> float:
        """How many warm servers those in use amount to; cold ones by their warm part."""
        if now - self.summed_ms >= WARM_CAPACITY_UPDATE_INTERVAL_MS:
            self.summed_ms = now
            self.strength = max(1.0, sum(self.warmth(peer, now) for peer in self.ready if not peer.suspect))
        return self.strength

    def trim(self, now: float) -> None:
        while self.due and self.due[0] < now - LOAD_WINDOW_MS:
            self.due.popleft()

    def usable(self, peer: Peer, now: float) -> bool:
        """Whether the drain and cold rules let a new attempt go to this server."""
        if peer.entry.state is not ServerState.READY:
            return False
        warm = self.warmth(peer, now)
        return warm >= 1.0 or (self._fill(peer, now) >= 1.0 and peer.waiting < 1 + 4 * warm)

    def cost(self, peer: Peer, now: float) -> float:
        """Least outstanding requests, weighed by size and what its reports say; a cold send due is due.

        Where a limiter sends less than one request a server in a window, one goes before its equals that has
        just answered soon, or whose trial as a suspect is due. Else each limiter finds out anew which servers
        are jammed, at one after the other, and opens a new connection to each.
        """
        if self.warmth(peer, now) < 1.0:
            return 0.0
        size = max(1e-3, peer.entry.relative_capacity)
        fresh = max(0.0, 1.0 - (now - peer.load_ms) / LOAD_REPORT_VALIDITY_MS)
        load = self.usual + fresh * (peer.load - self.usual)  # no report is not idleness
        seldom = len(self.due) < len(self.ready)  # in a window, which is PROMPT_ANSWER_VALIDITY_MS
        known = (
            PROMPT_ANSWER_BONUS_REQUESTS
            if seldom and (peer.suspect or now - peer.good_ms < PROMPT_ANSWER_VALIDITY_MS)
            else 0.0
        )
        return (1.0 + peer.waiting + load - known) / size

    def shunned_until(self, peer: Peer, now: float) -> float:
        """Until when a server is left alone: as a suspect, as full, or with its zone; now where it is not."""
        # A zone cut off or restarting at once: with many gateways nobody can try each of its servers.
        missed, last = self.missed.get(peer.entry.zone, (0, 0.0))
        suspect = peer.retest_ms if peer.suspect else now
        return max(
            now,
            suspect,
            peer.avoid_ms,
            last + TRIAL_BACKOFF_MS if missed >= ZONE_EJECTION_FAILURE_COUNT else now,
        )

    def choose(
        self, now: float, allowed: Callable[[Peer], bool], tried: set[int], shunned: bool = True
    ) -> Peer | None:
        """The cheapest of a few random servers, against herding; a shunned one only where no other is left.

        Of those the one that is due soonest: by their cost all gateways would take the same few, which look
        free because they turn all away. Where `shunned` is False, none of them.
        """

        def rank(peer: Peer) -> tuple[float, bool, float]:
            return self.shunned_until(peer, now), peer.entry.id in tried, self.cost(peer, now)

        ready = self.ready
        for pool in (self.rng.sample(ready, min(CANDIDATE_SAMPLE_COUNT, len(ready))), ready):
            fit = [(rank(peer), peer) for peer in pool if self.usable(peer, now) and allowed(peer)]
            best = min(fit, key=lambda pair: pair[0], default=None)
            if best and best[0][0] <= now and not best[0][1]:
                return best[1]
        return best[1] if best and (shunned or best[0][0] <= now) else None

    def heard(self, now: float, event: api.AttemptEnded) -> None:
        """Learn from an attempt's end; any answer clears a suspicion."""
        if (peer := self.peers.get(event.server_id)) is None:
            return
        peer.waiting -= 1
        if peer.entry.state is ServerState.GONE:
            if peer.waiting <= 0:
                del self.peers[event.server_id]
            return
        if event.status is not CallStatus.CANCELLED:
            soon = (
                event.status is CallStatus.OK
                and event.elapsed_ms <= PROMPT_ANSWER_LATENCY_FACTOR * self.mean_ms
            )
            if not soon:
                peer.good_ms = -INF
            elif (
                now - peer.good_ms >= PROMPT_ANSWER_VALIDITY_MS
            ):  # not drawn out: which ones are preferred goes round
                peer.good_ms = now
        if event.status in (CallStatus.OK, CallStatus.ERROR, CallStatus.REJECTED):
            peer.heard_ms = now
            self.missed.pop(peer.entry.zone, None)
        if event.status in (CallStatus.OK, CallStatus.ERROR, CallStatus.REJECTED, CallStatus.RESET):
            # A reset may be the connection's own end; a process that died refuses the next one, too.
            if event.status is not CallStatus.REJECTED:
                peer.errors = 0 if event.status is CallStatus.OK else peer.errors + 1
            if peer.errors >= SUSPECT_ERROR_COUNT:
                self.doubt(peer, now)
            elif event.status in (CallStatus.OK, CallStatus.ERROR):
                self.clear(peer, now)
        # Silence while it had work is the sign of a vanished server, a refused connection of a lost one.
        silent = event.status is CallStatus.TIMEOUT and peer.heard_ms < now - event.elapsed_ms
        if event.status is CallStatus.REJECTED:
            peer.avoid_ms = now + REJECTION_AVOIDANCE_MS * self.patience * self._jitter()
            if peer.suspect:  # it lives, but what it holds already is too much
                self.doubt(peer, now)
        elif silent or event.status is CallStatus.CONNECT_FAILED:
            self.doubt(peer, now)
            self.missed[peer.entry.zone] = self.missed.get(peer.entry.zone, (0, now))[0] + 1, now
        self.report(now, event.server_id, event.load_report)

    def report(self, now: float, server: int, values: tuple[float, ...]) -> None:
        """Read a load report: requests in hand or queued, else how busy its cores are."""
        peer = self.peers.get(server)
        if peer is None or not values:
            return
        seen = dict(zip(self.settings.report_fields, values, strict=False))
        held = seen.get("inflight", seen.get("queue", 0.0))
        peer.load = held + FULL_UTILIZATION_LOAD_REQUESTS * min(1.0, seen.get("util", 0.0)) ** 2
        peer.load_ms = now
        self.usual += MEAN_LOAD_SMOOTHING_FACTOR * (peer.load - self.usual)

    def _jitter(self) -> float:
        return 1.0 + MAX_JITTER_FRACTION * self.rng.random()

    def clear(self, peer: Peer, now: float) -> None:
        """It answers; so its zone may be back, and the zone's other suspects get their trials soon."""
        if peer.suspect:
            for other in self.suspects.values():
                if other.entry.zone == peer.entry.zone:
                    other.retest_ms = min(other.retest_ms, now + TRIAL_BACKOFF_MS * self.rng.random() * 2.0)
        peer.suspect, peer.backoff = False, 0
        self.suspects.pop(peer.entry.id, None)

    def doubt(self, peer: Peer, now: float) -> None:
        """Leave a server alone but for trials: all limiters' together, as often as a few limiters' before.

        A slow server gets a trial of each limiter as its next request; sent as often by all, these alone keep
        it jammed, and every one is lost.
        """
        peer.suspect = True
        self.suspects[peer.entry.id] = peer
        growth, most = (
            TRIAL_BACKOFF_GROWTH_FACTOR * math.sqrt(self.patience),
            TRIAL_BACKOFF_MAX_FACTOR * self.patience,
        )
        times = min(most, growth**peer.backoff)
        peer.retest_ms = now + TRIAL_BACKOFF_MS * times * self._jitter()
        if times < most:  # beyond, the power would leave the range of floats
            peer.backoff += 1

    def all_slow(self) -> bool:
        """Whether most are suspect: a jam, whose time-outs are latencies. It hurts if most truly vanished."""
        return len(self.suspects) > OVERLOAD_SUSPECT_FRACTION * len(self.ready)


# --- Request life cycle -------------------------------------------------------------------------
@dataclass(slots=True)
class Request:
    event: api.RequestArrived
    cls: api.RequestClass
    lane: int
    end_ms: float  # work past this is worth nothing
    customer: Customer
    attempts: list[Attempt] = field(default_factory=list)
    open: bool = True
    streaming: bool = False

    def outstanding(self) -> int:
        return sum(1 for attempt in self.attempts if attempt.out)


NEVER_RAN = (CallStatus.REJECTED, CallStatus.CONNECT_FAILED, CallStatus.NOT_SENT)


def split_lanes(classes: tuple[api.RequestClass, ...]) -> list[int]:
    """Lane 0 holds the tight aims; aims that hardly differ share it, as squeezing equals loses more."""
    tightest = min((c.aim_ms for c in classes), default=0.0)
    return [0 if c.aim_ms <= SAME_LANE_AIM_FACTOR * tightest else 1 for c in classes]


class Gateway:
    """One gateway's decisions: `handle` takes each event and returns the actions it causes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.fleet = Fleet(settings, self.rng)
        self.lanes = split_lanes(settings.classes)
        self.customers: dict[int, Customer] = {}
        self.clock = MeterClock(settings.metering_ms)
        self.requests: dict[int, Request] = {}
        self.caps: tuple[float, float] = (INF, INF)
        self.count = [0, 0]
        self.running: list[tuple[float, int]] = []  # lanes' given-up work: until when it holds its slot
        self.window = latency.ObservationWindow(LOAD_WINDOW_MS, MAX_OBSERVATION_AGE_MS, MIN_OBSERVATION_COUNT)
        self.chances = [latency.AnswerTimeDistribution() for _ in settings.classes]
        self.low = [INF, INF, INF]  # light-load latency of lane one, lane two and both
        self.arrivals: deque[tuple[float, int, float]] = deque()
        self.mean_out, self.out_ms = [0.0, 0.0], -INF  # of each lane
        self.begun = INF  # when the first request came
        self.rerun_ms = -INF
        self.declined = -INF  # when a server last turned a request away
        self.lossy = False
        self.strays = False  # some answers get lost though hardly one is late
        self.born, self.tidied = INF, 0.0
        self.dearest = max((c.worth for c in settings.classes), default=0.0) or 1.0
        self.waits: list[deque[float]] = [deque(maxlen=CLIENT_WAIT_SAMPLE_COUNT) for _ in settings.classes]
        self.actions: list[api.Action] = []
        self.acts: dict[type, Callable[[float, Any], None]] = {
            api.RequestArrived: self._arrive,
            api.AttemptEnded: self._outcome,
            api.RequestAbandoned: self._abandon,
            api.ServerList: self._listed,
            api.StreamStarted: self._begun,
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event; the actions take effect in the order given."""
        self.actions = []
        while self.running and self.running[0][0] <= now:
            self.count[heapq.heappop(self.running)[1]] -= 1
        gone = 1.0 - math.exp((self.out_ms - now) / LOAD_WINDOW_MS)
        self.mean_out = [m + gone * (n - m) for m, n in zip(self.mean_out, self.count, strict=True)]
        self.out_ms = now
        if now - self.rerun_ms >= THRESHOLD_UPDATE_INTERVAL_MS:
            self.rerun_ms = now
            self._rerun(now)
        if now - self.tidied >= CUSTOMER_EXPIRY_INTERVAL_MS:
            self.tidied = now
            self._tidy(now)
        if act := self.acts.get(type(event)):
            act(now, event)
        return self.actions

    def _tidy(self, now: float) -> None:
        """Forget customers that have been idle for longest, and what the flow no longer counts."""
        self.fleet.trim(now)
        over = len(self.customers) - MAX_CUSTOMER_COUNT
        gone: list[int] = []
        for ident, customer in self.customers.items():  # the longest idle first
            pressed = len(gone) < over
            if not pressed and now - customer.asked_at < LIGHT_CUSTOMER_EXPIRY_MS:
                break
            if customer.forgettable(now, pressed):
                gone.append(ident)
        for ident in gone:
            del self.customers[ident]

    def _listed(self, now: float, event: api.ServerList) -> None:
        self.fleet.update(now, event)
        self.born = min(self.born, now)
        if self.settings.must_subscribe and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.actions.append(api.Subscribe(True))

    def _arrive(self, now: float, event: api.RequestArrived) -> None:
        """The ordinary path: let-in share, lane cap, server choice; what fails is refused at once."""
        self.begun = min(self.begun, now)
        cls = self.settings.classes[event.class_index]
        customer = self.customers.pop(event.customer_id, None)
        if customer is None:
            customer = Customer(
                self.settings.plans[event.plan_index], event.customer_gateway_count, now, self.born
            )
        self.customers[event.customer_id] = customer  # behind all others: the latest to ask
        # Where a late answer earns little, an attempt past the aim is waste and feeds a jam.
        in_time = cls.late_worth <= LOW_LATE_WORTH and cls.aim_stretch <= 0 and not cls.stream
        end = min(event.deadline_ms, now + cls.aim_ms) if in_time else event.deadline_ms
        request = Request(event, cls, self.lanes[event.class_index], end, customer)
        self.requests[event.request_id] = request
        if in_time and self._late(now, event) and not customer.spares(now, event.units):
            self._answer(now, request)
        elif customer.lets_in(now, event.units, self.rng.random(), cls.worth / self.dearest):
            self.arrivals.append((now, request.lane, event.units))
            if self._passes(now, request):
                self.fleet.due.append(now)
                if self._send(now, request, set()):
                    return
        self._answer(now, request)

    def _passes(self, now: float, request: Request) -> bool:
        """Whether the lane has room for an answer to this request, not only for one attempt at it.

        Where an attempt is answered in time with some chance, an answer takes the inverse of it in attempts,
        and the others are work for nobody. So a request whose client hardly waits needs that much room: where
        the lane is pressed it gives way to those that the same work would answer. Below the cap by less than
        one: by chance, which mixes the two whole thresholds beside it.
        """
        cost = 1.0 / self.chances[request.event.class_index].probability_within(request.end_ms - now)
        return cost - 1.0 + self.rng.random() < self._room(request.lane)

    def _room(self, lane: int) -> float:
        """How many more requests of a lane may go out: up to its threshold, and for chance beyond it.

        The swing of a sum is the root of the sum: of few gateways each may add the root of its own threshold,
        of many that root in part. The whole root passes swings alone, while the lane's mean count is below
        the threshold: where thresholds are small, many gateways' roots would be more than all thresholds.
        """
        cap, mean = self.caps[lane], self.mean_out[lane]
        if cap == INF:
            return INF
        steady = 1.0 / math.sqrt(self.fleet.patience)
        part = 1.0 if mean < cap else steady
        return cap + CAP_MARGIN_STDDEVS * math.sqrt(cap) * part - self.count[lane]

    def _late(self, now: float, event: api.RequestArrived) -> bool:
        """Whether this is a repeat that can hardly be answered within the aim, counted from the first try.

        No try waits past the end of its request, so one that waits for less than first ones do is a repeat,
        and what its wait falls short of the class's deadline has passed. A request that was long on its way
        shows the same. It hurts clients whose first tries wait for less than others': taken for repeats, they
        get what the customer's store can spare.
        """
        cls, waits, wait = (
            self.settings.classes[event.class_index],
            self.waits[event.class_index],
            event.deadline_ms - now,
        )
        waits.append(wait)
        left = cls.aim_ms - (cls.deadline_ms - wait)
        if (
            left >= min(self.fleet.mean_ms, LATE_RETRY_TIME_LEFT_AIM_FRACTION * cls.aim_ms)
            or len(waits) < MIN_OBSERVATION_COUNT
        ):
            return False
        # First tries wait alike, repeats for what is left of their time; last ones may wait for longer.
        groups = Counter(round(each / CLIENT_WAIT_BIN_MS) for each in waits)
        least = FIRST_ATTEMPT_BIN_MIN_FRACTION * max(groups.values())
        first = min(group for group, size in groups.items() if size >= least)
        return wait < (first - 1) * CLIENT_WAIT_BIN_MS

    def _may_repeat(self, request: Request, peer: Peer, now: float) -> bool:
        """The repeats rule, passed by every send."""
        if request.outstanding() and not self.settings.second_copies:
            return False
        ran = [attempt for attempt in request.attempts if attempt.may_have_run]
        if not ran or request.cls.effect is RetrySafety.IDEMPOTENT:
            return True
        if request.cls.effect is RetrySafety.AT_MOST_ONCE or now - ran[0].sent > request.cls.window_ms:
            return False
        return all(self._same_group(request.cls.dedup_scope, attempt.server, peer) for attempt in ran)

    def _same_group(self, scope: DedupScope, server: api.Server, peer: Peer) -> bool:
        if scope is DedupScope.ALL:
            return True
        return server.zone == peer.entry.zone if scope is DedupScope.ZONE else server.cell == peer.entry.cell

    def _send(self, now: float, request: Request, tried: set[int]) -> bool:
        """The one place that sends: every rule on sending is checked here."""
        event, first = request.event, not request.attempts
        if not request.open or request.streaming or now >= request.end_ms:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        customer = request.customer
        if first and customer.plan.ceiling_rate > 0 and customer.ceiling.refill(now) < event.units:
            return False
        # A further attempt at a server that is full or silent would only add to what keeps it so.
        peer = self.fleet.choose(now, lambda p: self._may_repeat(request, p, now), tried, first)
        if peer is None:
            return False
        attempt = Attempt(len(request.attempts), peer.entry, now)
        request.attempts.append(attempt)
        peer.waiting += 1
        peer.allowance -= 1.0
        if peer.suspect:  # a trial; the next one waits for its outcome
            self.fleet.doubt(peer, now)
        self.count[request.lane] += 1
        request.customer.out += 1
        if first:
            request.customer.draw(now, event.units)
        until = request.end_ms
        part = (
            HEAVY_LOSS_ATTEMPT_TIME_FRACTION
            if self.lossy
            else LIGHT_LOSS_ATTEMPT_TIME_FRACTION
            if self.strays and first
            else 1.0
        )
        if (
            request.cls.effect is not RetrySafety.AT_MOST_ONCE
            and attempt.number + 1 < self.settings.max_attempts
        ):
            until = now + part * (until - now)
        self.actions.append(api.Send(event.request_id, peer.entry.id, until))
        return True

    def _answer(self, now: float, request: Request) -> None:
        """The one place that ends a request: refused where a retry is surely harmless, else failed."""
        if not request.open or request.streaming:
            return
        ran = any(attempt.may_have_run for attempt in request.attempts)
        keyed_all = (
            request.cls.effect is RetrySafety.DEDUPLICATED and request.cls.dedup_scope is DedupScope.ALL
        )
        harmless = not ran or request.cls.effect is RetrySafety.IDEMPOTENT or keyed_all
        refuse = harmless and not (ran and now >= request.end_ms)
        ident, request.open = request.event.request_id, False
        self.actions.append(api.Refuse(ident, self._advice(now, request)) if refuse else api.Fail(ident))
        self._forget(request)

    def _advice(self, now: float, request: Request) -> float:
        """When to come back, in ms: once what is out has mostly ended, or where the meter says that the
        quota is used up, once the store holds the units again."""
        customer, wait = request.customer, self.fleet.mean_ms
        short = request.event.units - customer.store.refill(now)
        if (customer.usage or 0) >= 100 and short > 0 and customer.plan.rate > 0:
            wait = max(wait, short / customer.plan.rate * 1000.0)
        return min(self.settings.max_retry_after_ms, wait)

    def _forget(self, request: Request) -> None:
        if not request.open and not request.outstanding():
            self.requests.pop(request.event.request_id, None)

    def _abandon(self, now: float, event: api.RequestAbandoned) -> None:
        """The client has gone: nobody waits for what is still out."""
        if request := self.requests.get(event.request_id):
            request.open = False
            self._cancel(request)
            self._forget(request)

    def _begun(self, now: float, event: api.StreamStarted) -> None:
        """The answer is the client's now: neither sent again, withdrawn nor ended here."""
        if request := self.requests.get(event.request_id):
            request.streaming = True

    def _cancel(self, request: Request) -> None:
        if self.settings.may_cancel and not request.streaming:
            ident = request.event.request_id
            self.actions += [api.Cancel(ident, a.number) for a in request.attempts if a.out]

    def _outcome(self, now: float, event: api.AttemptEnded) -> None:
        """Book an attempt's end, learn from it, then close, retry or answer the request."""
        peer = self.fleet.peers.get(event.server_id)
        was_suspect = peer is not None and peer.suspect and not self.fleet.all_slow()
        self.fleet.heard(now, event)
        request = self.requests.get(event.request_id)
        if request is None or not (attempt := request.attempts[event.attempt_number]).out:
            return
        attempt.out = False
        attempt.may_have_run = event.status not in NEVER_RAN
        request.customer.out -= 1
        if event.status is CallStatus.TIMEOUT and not was_suspect and not self.lossy:
            # Given up, not ended: the server works on it or still will, after a short wait for the longer.
            rest = max((TIMED_OUT_WORK_FACTOR - 1.0) * event.elapsed_ms, self.fleet.mean_ms)
            heapq.heappush(self.running, (now + rest, request.lane))
        else:
            self.count[request.lane] -= 1
        if event.usage_percent is not None and self.settings.metering_ms > 0:
            request.customer.meter(now, event.usage_percent, self.clock)
        if (
            self.settings.post_paid
            and event.status is CallStatus.OK
            and event.charged_units
            and not event.attempt_number
        ):
            request.customer.store.level += request.event.units - event.charged_units
        # Work lost at a suspect says nothing of the back end's load; elsewhere a time-out is a latency.
        if event.status is CallStatus.OK or (event.status is CallStatus.TIMEOUT and not was_suspect):
            answered = event.status is CallStatus.OK
            self.window.add(
                latency.LatencyObservation(now, request.event.class_index, event.elapsed_ms, answered)
            )
        elif event.status is CallStatus.REJECTED:
            self.declined = now
        if event.request_closed:
            request.open = False
            self._cancel(request)
        elif request.open and not request.outstanding():
            tried = {a.server.id for a in request.attempts}
            if event.status is CallStatus.NOT_SENT or not self._send(now, request, tried):
                self._answer(now, request)
        self._forget(request)

    def _light(self, which: int, rows: list[tuple[float, float, bool]]) -> float:
        """The 10th-percentile latency, remembered through a jam, where it waits too and load reads low.
        It hurts, for some seconds, where requests truly become heavier."""
        if rows:
            self.low[which] = min(
                latency.weighted_p10_ms(rows), self.low[which] * LIGHT_LATENCY_MAX_GROWTH_FACTOR
            )
        return self.low[which] if self.low[which] < INF else 0.0

    def _awaited(self, now: float) -> list[latency.LatencyObservation]:
        """What is out, as if given up now: in a jam its age tells an aim sooner than its time-out will."""
        return [
            latency.LatencyObservation(now, request.event.class_index, now - attempt.sent, False)
            for request in self.requests.values()
            if now < request.end_ms
            for attempt in request.attempts
            if attempt.out and (attempt.server.id not in self.fleet.suspects or self.fleet.all_slow())
        ]

    def _rerun(self, now: float) -> None:
        """Estimate the load from the window and set the lane caps by the search."""
        self.window.trim(now)
        queue, lanes = self.arrivals, self.lanes
        while queue and queue[0][0] < now - (
            LOAD_WINDOW_MS if len(queue) > MIN_OBSERVATION_COUNT else MAX_OBSERVATION_AGE_MS
        ):
            queue.popleft()
        aim = min(c.aim_ms for c, lane in zip(self.settings.classes, lanes, strict=True) if lane == 0)
        # Lost answers are told from a jam by the others, which come quickly: no load, worth another try.
        # It also covers vanished servers; it would feed a jam whose time-outs are one class's alone. What
        # was given up before most answers come says nothing of either.
        given_up = self.window.censored_observations()
        quick = sorted(ended.elapsed_ms for ended in self.window.answered_observations())
        most = quick[int(len(quick) * ANSWER_LOSS_MIN_WAIT_QUANTILE)] if quick else 0.0
        lost = sum(1 for ended in given_up if ended.elapsed_ms >= most)
        heavy = lost > HEAVY_LOSS_MIN_ATTEMPT_FRACTION * (lost + len(quick))
        calm = self.declined < now - LOAD_WINDOW_MS  # who turns requests away has a jam
        swift = len(quick) > 3 and quick[len(quick) * 3 // 4] < FAST_ANSWER_AIM_FRACTION * aim
        before, self.lossy = self.lossy, calm and heavy and swift
        late = sum(1 for elapsed in quick if elapsed > LIGHT_LOSS_ATTEMPT_TIME_FRACTION * aim)
        enough = lost >= max(2.0, LIGHT_LOSS_MIN_TIMEOUT_RATIO * len(quick))
        self.strays = (
            len(quick) > MIN_OBSERVATION_COUNT
            and enough
            and late <= LIGHT_LOSS_MAX_LATE_FRACTION * len(quick)
        )
        if self.lossy and not before:
            self.actions.append(api.Log(f"answers get lost: {lost} beside {len(quick)}"))
        ended = self.window.answered_observations() if self.lossy else list(self.window.observations)
        told = ended if self.lossy else ended + self._awaited(now)
        of_lane: list[list[tuple[float, bool]]] = [[], []]
        of_class: list[list[tuple[float, bool]]] = [[] for _ in self.chances]
        for one in told:
            of_lane[lanes[one.class_index]].append((one.elapsed_ms, one.answered))
            if one.ended_ms >= now - LOAD_WINDOW_MS:
                of_class[one.class_index].append((one.elapsed_ms, one.answered))
        self.chances = [latency.AnswerTimeDistribution(ends) for ends in of_class]
        rows = [latency.kaplan_meier_weights(ends) for ends in of_lane]
        every = sorted(rows[0] + rows[1])
        if every:
            self.fleet.mean_ms = max(1.0, latency.weighted_mean_ms(every))
        if len(ended) < MIN_OBSERVATION_COUNT or not rows[0]:
            return
        low = [self._light(which, lane) for which, lane in enumerate(rows)]
        load = 1.0 - self._light(2, every) / self.fleet.mean_ms
        rates = [sum(1 for _, lane, _ in self.arrivals if lane == which) for which in (0, 1)]
        weight = [rates[which] * low[which] for which in (0, 1)]
        if load <= 0 or sum(weight) <= 0 or low[0] <= 0:
            return
        rho = [load * part / sum(weight) for part in weight]
        tries = (
            thresholds(rho[0], rho[1], MEAN_LATENCY_BOUND_AIM_FRACTION * aim / low[0], floor)
            for floor in LANE_TWO_FLOOR_FRACTIONS
        )
        found = next((pair for pair in tries if pair is not None), None)
        if found is None:
            return
        # Counted from nothing the mean would be low for seconds, and the caps with it.
        counted = 1.0 - math.exp((self.begun - now) / LOAD_WINDOW_MS)
        scale = max(1e-3, sum(self.mean_out) / counted * (1.0 - load) / load)
        caps = (max(MIN_LANE_CAP_REQUESTS, found[0] * scale), max(MIN_LANE_CAP_REQUESTS, found[1] * scale))
        if (min(caps) < INF) != (min(self.caps) < INF):
            self.actions.append(api.Log(f"lane caps {caps[0]:.1f} {caps[1]:.1f} at load {load:.2f}"))
        self.caps = caps
