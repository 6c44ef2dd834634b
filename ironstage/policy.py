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
    j1 = j2 = j3 = 0.0
    term = 1.0 / (1.0 - x)
    for j in range(n + 1):
        j1 += term
        j2 += (j + 1) * x / (1.0 - x) * term
        j3 += j * term
        term *= y / (1.0 - x)
    return j1, j2, j3


def measures_at_m1_one(rho1: float, rho2: float, m2: int) -> tuple[float, float]:
    """S1(1, m2) in mean service times and T2(1, m2) as a part of lambda2, by (28)-(31)."""
    j4 = j5 = previous_sum = 0.0
    for j in range(m2 + 1):
        previous_sum = j4 + j5
        j4 += rho2**j
        j5 += (j + 1) * rho1 * rho2**j
    # By (14), S1 = J5 / (lambda1 J4): (30) as printed divides by J4 + J5.
    return j5 / (rho1 * j4), previous_sum / (j4 + j5)


def largest_m1_without_m2_cap(rho1: float, rho2: float, max_sojourn: float) -> float:
    """The largest M1 with S1(M1, inf) within bound; 0 where there is none."""
    best_m1 = 0.0
    for m1 in range(1, MAX_SEARCH_THRESHOLD + 1 if rho2 < 1 else 1):
        if j_sums(m1, rho2, rho1)[2] > max_sojourn * rho1 * j_sums(m1 - 1, rho2, rho1)[0]:
            break
        best_m1 = m1
    return best_m1


def largest_feasible_m1(
    weights_by_m1: list[float],
    weights_below_m2: list[float],
    rho1: float,
    max_sojourn: float,
    min_lane_two_fraction: float,
) -> tuple[int, float, bool]:
    """(M1, T1 part, whether S1 stopped it): the largest feasible M1 for the rows' M2."""
    best_m1, throughput_fraction, sojourn_exceeded = 0, 0.0, False
    total_weight, weight_below_m2, weighted_m1_sum = weights_by_m1[0], weights_below_m2[0], 0.0
    for m1 in range(1, len(weights_by_m1)):
        weight_below_m1 = total_weight
        total_weight += weights_by_m1[m1]
        weight_below_m2 += weights_below_m2[m1]
        weighted_m1_sum += m1 * weights_by_m1[m1]
        sojourn_exceeded = weighted_m1_sum > max_sojourn * rho1 * weight_below_m1
        if sojourn_exceeded or weight_below_m2 < min_lane_two_fraction * total_weight:
            break
        best_m1, throughput_fraction = m1, weight_below_m1 / total_weight
    return best_m1, throughput_fraction, sojourn_exceeded


def optimal_thresholds(
    rho1: float, rho2: float, max_sojourn: float, min_lane_two_fraction: float
) -> tuple[float, float] | None:
    """The optimal (M1, M2), infinite where no cap is due; None where nothing is feasible.

    `sojourn` is S mu1, `floor` is T / lambda2: the product form knows no other units.
    """
    rho1, rho2 = max(rho1, 1e-9), max(rho2, 1e-9)
    if rho1 + rho2 < 1 and max_sojourn * (1 - rho1 - rho2) >= 1:
        return INF, INF
    m1_without_m2_cap = largest_m1_without_m2_cap(rho1, rho2, max_sojourn)
    if min_lane_two_fraction >= 1:
        return (m1_without_m2_cap, INF) if m1_without_m2_cap else None
    min_m2 = next(
        (
            candidate_m2
            for candidate_m2 in range(MAX_SEARCH_THRESHOLD)
            if measures_at_m1_one(rho1, rho2, candidate_m2)[1] >= min_lane_two_fraction
        ),
        None,
    )
    if min_m2 is None or measures_at_m1_one(rho1, rho2, min_m2)[0] > max_sojourn:
        return None
    column_weights = [rho1**m1 for m1 in range(MAX_SEARCH_THRESHOLD + 1)]
    weights_by_m1, weights_below_m2 = list(column_weights), [0.0] * (MAX_SEARCH_THRESHOLD + 1)
    best_thresholds, best_throughput_fraction = None, 0.0
    for m2 in range(MAX_SEARCH_THRESHOLD + 1):
        if m2:
            column_weights = [weight * rho2 * (m1 + m2) / m2 for m1, weight in enumerate(column_weights)]
            weights_below_m2, weights_by_m1 = (
                weights_by_m1,
                [
                    row_weight + column_weight
                    for row_weight, column_weight in zip(weights_by_m1, column_weights, strict=True)
                ],
            )
        if m2 < min_m2:
            continue
        if rho1 < 1:
            j1, j2, _ = j_sums(m2, rho1, rho2)
            j1_below_m2 = j_sums(m2 - 1, rho1, rho2)[0] if m2 else 0.0
            if j2 <= max_sojourn * rho1 * j1 and j1_below_m2 >= min_lane_two_fraction * j1:
                return INF, m2
        m1, throughput_fraction, sojourn_exceeded = largest_feasible_m1(
            weights_by_m1, weights_below_m2, rho1, max_sojourn, min_lane_two_fraction
        )
        if m1 and throughput_fraction > best_throughput_fraction:
            best_thresholds, best_throughput_fraction = (m1, m2), throughput_fraction
        # M1(m2) rises while the floor binds and falls while S1 does; only there it has settled.
        if sojourn_exceeded and m1 <= m1_without_m2_cap:
            break
    return best_thresholds


# --- Quota --------------------------------------------------------------------------------------
@dataclass(slots=True)
class TokenBucket:
    """A store that fills at a rate (units a second) up to a depth."""

    rate: float
    depth: float
    level: float
    refilled_ms: float

    def refill(self, now_ms: float) -> float:
        self.level = min(self.depth, self.level + self.rate * (now_ms - self.refilled_ms) / 1000.0)
        self.refilled_ms = now_ms
        return self.level


class MeterClock:
    """Learns which period a reading speaks of; else sends of another would mend the store."""

    def __init__(self, period_ms: float) -> None:
        self.period_ms = period_ms
        self.lag_errors = [
            (step - INITIAL_METER_LAG_STEPS) ** 2 * METER_LAG_PRIOR_WEIGHT
            for step in range(METER_LAG_STEP_COUNT)
        ]
        self.phase_sine = self.phase_cosine = 0.0

    def record_change(self, previous_reading_ms: float, now_ms: float) -> None:
        """A customer's reading changed between two answers: the meter moved on in between."""
        if now_ms - previous_reading_ms < self.period_ms / 4:
            angle = math.tau * ((previous_reading_ms + now_ms) / 2 % self.period_ms) / self.period_ms
            self.phase_sine = METER_PHASE_RETENTION_FACTOR * self.phase_sine + math.sin(angle)
            self.phase_cosine = METER_PHASE_RETENTION_FACTOR * self.phase_cosine + math.cos(angle)

    def last_change_ms(self, now_ms: float) -> float:
        """When the present readings came out."""
        phase_ms = math.atan2(self.phase_sine, self.phase_cosine) / math.tau * self.period_ms
        return now_ms - (now_ms - phase_ms) % self.period_ms

    def reading_period(self, now_ms: float) -> tuple[float, float]:
        """Start and end of the period that a reading heard now speaks of."""
        best_lag_steps = min(range(METER_LAG_STEP_COUNT), key=lambda step: self.lag_errors[step])
        end_ms = self.last_change_ms(now_ms) - best_lag_steps * METER_LAG_STEP_MS
        return end_ms - self.period_ms, end_ms

    def learn_lag(self, now_ms: float, customer: Customer, metered_units: float) -> None:
        """Score each lag by how well our sends, scaled by our part, foretell the reading.

        Each miss counts against what chance and a misjudged part make of it (binomial own sends): else the
        few largest customers decide, by noise. It hurts where the large ones alone are steady.
        """
        changed_ms, traffic_fraction = self.last_change_ms(now_ms), customer.traffic_fraction()
        expected_squared_error = (
            1.0
            + metered_units * (1.0 - traffic_fraction) / traffic_fraction
            + (TRAFFIC_FRACTION_RELATIVE_ERROR * metered_units / traffic_fraction) ** 2
        )
        for step in range(METER_LAG_STEP_COUNT):
            end_ms = changed_ms - step * METER_LAG_STEP_MS
            own_units = (
                customer.units_sent_until(end_ms)[0] - customer.units_sent_until(end_ms - self.period_ms)[0]
            )
            self.lag_errors[step] = (
                self.lag_errors[step] * METER_LAG_RETENTION_FACTOR
                + (own_units / traffic_fraction - metered_units) ** 2 / expected_squared_error
            )


class Customer:
    """What this gateway holds of one customer: the let-in share and an estimate of the store.

    The store estimate is an exception to the let-in share: for bursts that the store covers, spikes
    that the meter cannot tell yet and missing readings. It can hurt when our part is misjudged.
    """

    __slots__ = (
        "bucket",
        "ceiling_bucket",
        "customer_gateway_count",
        "gateway_started_ms",
        "last_request_ms",
        "metered_demand_units",
        "metered_ms",
        "outstanding_count",
        "own_demand_units",
        "own_use_units",
        "period_end_level",
        "plan",
        "reading_applied_ms",
        "reading_received_ms",
        "send_history",
        "total_use_units",
        "usage_percent",
    )

    def __init__(
        self, plan: api.Plan, customer_gateway_count: int, now_ms: float, gateway_started_ms: float = 0.0
    ) -> None:
        self.plan = plan
        self.customer_gateway_count = max(1, customer_gateway_count)
        self.bucket = TokenBucket(plan.rate, plan.burst, plan.burst, now_ms)
        self.metered_ms = self.metered_demand_units = 0.0  # weighted time metered, and units used in it
        self.own_demand_units, self.last_request_ms, self.gateway_started_ms = 0.0, now_ms, gateway_started_ms
        # Alone within 1/doors of the ceiling; empty when this gateway started, as its last life may have
        # drawn all, and filled since then: nothing of this customer was sent on.
        ceiling_empty_ms = min(gateway_started_ms, now_ms)
        self.ceiling_bucket = TokenBucket(
            plan.ceiling_rate / self.customer_gateway_count,
            plan.ceiling_depth / self.customer_gateway_count,
            0.0,
            ceiling_empty_ms,
        )
        # Of own first sends: time, running sums of units, and of units with the others' share.
        self.send_history = [(-INF, 0.0, 0.0)]
        self.period_end_level = (plan.burst, now_ms)  # store estimate at the end of the last metered period
        self.reading_received_ms = self.reading_applied_ms = -INF
        self.own_use_units = self.total_use_units = 0.0
        self.usage_percent: int | None = None
        self.outstanding_count = 0

    def traffic_fraction(self) -> float:
        """Our part of the customer's traffic, learned from the meter; even before evidence."""
        prior_units = TRAFFIC_FRACTION_PRIOR_UNITS / self.customer_gateway_count
        return min(
            1.0, (self.own_use_units + prior_units) / (self.total_use_units + TRAFFIC_FRACTION_PRIOR_UNITS)
        )

    def admission_share(self, now_ms: float) -> float:
        """The let-in share: the rate over the use that readings, own tries and a thin guess foretell.

        All fade, so that what a rarely seen customer once did does not bind it (Gamma-Poisson).
        """
        if self.plan.rate <= 0:
            return min(1.0, 100.0 / (self.usage_percent or 100.0))
        reading_weight, rate_per_ms = (
            math.exp((self.reading_applied_ms - now_ms) / USE_DECAY_MS),
            self.plan.rate / 1000.0,
        )
        demand_units = (
            PRIOR_USE_WEIGHT_UNITS
            + self.metered_demand_units * reading_weight
            + self.own_demand_units * math.exp((self.last_request_ms - now_ms) / USE_DECAY_MS)
        )
        own_observed_ms = (
            self.traffic_fraction()
            * USE_DECAY_MS
            * (1.0 - math.exp((self.gateway_started_ms - now_ms) / USE_DECAY_MS))
        )
        return min(
            1.0,
            rate_per_ms
            * (
                PRIOR_USE_WEIGHT_UNITS / (PRIOR_USE_RATE_FRACTION * rate_per_ms)
                + self.metered_ms * reading_weight
                + own_observed_ms
            )
            / demand_units,
        )

    def predicted_others_use(self) -> tuple[float, float]:
        """What the others draw in a burst's time for each own unit, and units a ms besides (as share)."""
        traffic_fraction, rate_per_ms = self.traffic_fraction(), max(1e-9, self.plan.rate / 1000.0)
        prior_units = max(
            OTHERS_PRIOR_MIN_WEIGHT_UNITS, OTHERS_PRIOR_WEIGHT_UNITS_PER_GATEWAY * self.customer_gateway_count
        )
        evidence_ms = (
            prior_units / (OTHERS_PRIOR_USE_RATE_FRACTION * rate_per_ms)
            + traffic_fraction * self.plan.burst / rate_per_ms
        )
        return (
            (1.0 - traffic_fraction) * self.plan.burst / rate_per_ms / evidence_ms,
            (1.0 - traffic_fraction) * prior_units / evidence_ms,
        )

    def record_send(self, now_ms: float, units: float) -> None:
        """Book a first send: the others draw in proportion, unseen."""
        others_units_per_own_unit, others_units_per_ms = self.predicted_others_use()
        total_units = units * (1.0 + others_units_per_own_unit)
        self.bucket.rate = self.plan.rate - 1000.0 * others_units_per_ms
        self.bucket.refill(now_ms)
        self.bucket.level = max(
            -MAX_BUCKET_DEBT_BURST_FRACTION * self.plan.burst, self.bucket.level - total_units
        )
        self.send_history.append(
            (now_ms, self.send_history[-1][1] + units, self.send_history[-1][2] + total_units)
        )
        half_length = len(self.send_history) // 2
        if half_length > 8 and self.send_history[half_length][0] < now_ms - SEND_HISTORY_MS:
            del self.send_history[:half_length]
        if self.plan.ceiling_rate > 0:
            self.ceiling_bucket.level -= units

    def can_expire(self, now_ms: float, over_limit: bool) -> bool:
        """Whether one made anew would stand as this one does; when pressed the ceiling alone counts."""
        if self.outstanding_count or self.ceiling_bucket.refill(now_ms) < self.ceiling_bucket.depth:
            return False
        own_demand_units = self.own_demand_units * math.exp((self.last_request_ms - now_ms) / USE_DECAY_MS)
        is_light = max(own_demand_units, self.total_use_units) <= LIGHT_CUSTOMER_MAX_UNITS
        is_idle = now_ms - self.last_request_ms >= (
            LIGHT_CUSTOMER_EXPIRY_MS if is_light else CUSTOMER_EXPIRY_MS
        )
        return over_limit or (is_idle and self.bucket.refill(now_ms) >= self.bucket.depth)

    def units_sent_until(self, until_ms: float) -> tuple[float, float]:
        """Units of own first sends up to then, without and with the others', from some origin."""
        return self.send_history[max(0, bisect_right(self.send_history, (until_ms, INF, INF)) - 1)][1:]

    def apply_reading(self, now_ms: float, usage_percent: int, meter_clock: MeterClock) -> None:
        """Take one reading a metered period: set the let-in share, mend the store estimate."""
        previous_received_ms, self.reading_received_ms = self.reading_received_ms, now_ms
        if usage_percent == self.usage_percent and self.reading_applied_ms >= meter_clock.last_change_ms(
            now_ms
        ):
            return
        if usage_percent != self.usage_percent and self.usage_percent is not None:
            meter_clock.record_change(previous_received_ms, now_ms)
        share_in_effect, previous_applied_ms = (
            max(MIN_ADMISSION_SHARE_DIVISOR, self.admission_share(now_ms)),
            self.reading_applied_ms,
        )
        self.usage_percent, self.reading_applied_ms, period_ms = usage_percent, now_ms, meter_clock.period_ms
        start_ms, end_ms = meter_clock.reading_period(now_ms)
        metered_units = usage_percent / 100.0 * self.plan.rate * period_ms / 1000.0
        retention_factor = READING_RETENTION_FACTOR * math.exp((previous_applied_ms - now_ms) / USE_DECAY_MS)
        self.metered_ms = self.metered_ms * retention_factor + period_ms
        self.metered_demand_units = (
            self.metered_demand_units * retention_factor + metered_units / share_in_effect
        )
        if self.plan.rate <= 0:
            return
        meter_clock.learn_lag(now_ms, self, metered_units)
        own_units = self.units_sent_until(end_ms)[0] - self.units_sent_until(start_ms)[0]
        self.own_use_units = self.own_use_units * TRAFFIC_FRACTION_RETENTION_FACTOR + min(
            own_units, metered_units
        )
        self.total_use_units = self.total_use_units * TRAFFIC_FRACTION_RETENTION_FACTOR + metered_units
        self._rebase_bucket(now_ms, start_ms, end_ms, metered_units)

    def _rebase_bucket(self, now_ms: float, start_ms: float, end_ms: float, metered_units: float) -> None:
        """Replay the store: the metered use up to a period's end, our foretelling since then."""
        rate_per_ms, burst = self.plan.rate / 1000.0, self.plan.burst
        level, level_ms = self.period_end_level
        if start_ms < level_ms - (end_ms - start_ms) / 2:
            return
        cumulative_units = [self.units_sent_until(time_ms)[1] for time_ms in (level_ms, start_ms, end_ms)]
        net_rate_per_ms = rate_per_ms - self.predicted_others_use()[1]
        level = min(
            burst,
            max(
                0.0,
                level + net_rate_per_ms * (start_ms - level_ms) - (cumulative_units[1] - cumulative_units[0]),
            ),
        )
        level = min(burst, max(0.0, level + rate_per_ms * (end_ms - start_ms) - metered_units))
        self.period_end_level = (level, end_ms)
        current_level = (
            level + net_rate_per_ms * (now_ms - end_ms) - (self.send_history[-1][2] - cumulative_units[2])
        )
        self.bucket.level, self.bucket.refilled_ms = (
            min(burst, max(-MAX_BUCKET_DEBT_BURST_FRACTION * burst, current_level)),
            now_ms,
        )

    def has_ample_units(self, now_ms: float, units: float) -> bool:
        """Whether the store has so much left that these units will hardly be missed."""
        return (
            self.plan.rate <= 0
            or self.bucket.refill(now_ms) - units >= AMPLE_LEVEL_BURST_FRACTION * self.plan.burst
        )

    def _reserved_units(self, admission_share: float, relative_worth: float) -> float:
        """Units that a request leaves in the store for dearer ones, by its worth as a part of the dearest's.

        What a customer asks beyond its quota is refused anyhow; so it is the cheaper part. It also gives the
        estimate a margin. It hurts a customer that asks for cheap things alone: that much of its burst, and
        where it is beyond its quota a little of its rate, go unused.
        """
        over_quota_fraction = (
            OVER_QUOTA_RESERVE_BURST_FRACTION
            + OVER_QUOTA_RESERVE_BURST_FRACTION_PER_GATEWAY * self.customer_gateway_count
        ) * math.sqrt(1.0 - admission_share)
        return (BASE_RESERVE_BURST_FRACTION + over_quota_fraction) * (1.0 - relative_worth) * self.plan.burst

    def admits(self, now_ms: float, units: float, random_value: float, relative_worth: float = 1.0) -> bool:
        """The let-in share; a store full enough passes without it where it rests on own sends."""
        admission_share = self.admission_share(now_ms)
        self.own_demand_units = (
            self.own_demand_units * math.exp((self.last_request_ms - now_ms) / USE_DECAY_MS) + units
        )
        self.last_request_ms = now_ms
        if (
            self.plan.parallel
            and self.outstanding_count / self.traffic_fraction() >= self.plan.parallel
            and self.outstanding_count
        ):
            return False
        if self.plan.rate <= 0:
            return random_value < admission_share
        remaining_units = (
            self.bucket.refill(now_ms) - units - self._reserved_units(admission_share, relative_worth)
        )
        admitted_by_level = (
            self.traffic_fraction() * self.plan.burst >= MIN_OWN_BURST_UNITS
            and remaining_units >= UNCONDITIONAL_LEVEL_BURST_FRACTION * self.plan.burst
        )
        return admitted_by_level or (remaining_units >= 0.0 and random_value < admission_share)


# --- Server health and choice -------------------------------------------------------------------
@dataclass(slots=True)
class Attempt:
    number: int
    server_entry: api.Server  # as it was then: it may be forgotten before the request is
    sent_ms: float
    is_outstanding: bool = True
    may_have_run: bool = True


@dataclass(slots=True)
class TrackedServer:
    """A server as this gateway sees it."""

    entry: api.Server
    first_listed_ms: float
    outstanding_count: int = 0
    last_answer_ms: float = -INF
    prompt_answer_ms: float = -INF  # its latest answer, where that came soon and nothing went wrong since
    suspect: bool = False
    next_trial_ms: float = 0.0
    backoff_exponent: int = 0
    consecutive_errors: int = 0  # since its last good answer
    avoid_until_ms: float = -INF
    reported_load: float = 0.0
    load_reported_ms: float = -INF
    slow_start_tokens: float = 0.0
    tokens_refilled_ms: float = 0.0


class Fleet:
    """The list, health by silence, slow start of cold servers, and the choice among them."""

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
        self.gateway_count_factor = max(1.0, settings.gateway_count / FEW_GATEWAY_COUNT)
        # Arrival times of the requests that quota and lane cap admitted, sent or not.
        self.admitted_times_ms: deque[float] = deque()

    def apply_server_list(self, now_ms: float, event: api.ServerList) -> None:
        """Apply a list event; a complete list drops what it does not name. A change costs its own length."""
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
                # A new process: nothing known of the old one holds. Its first send is due at random,
                # so that hundreds of gateways, each of which earns less than one, add up to their part.
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
        """The servers that may be sent to, listed anew when one is next looked for after changes."""
        if self._ready_servers is None:
            self._ready_servers = [
                server for server in self.servers.values() if server.entry.state is ServerState.READY
            ]
        return self._ready_servers

    def warm_fraction(self, server: TrackedServer, now_ms: float) -> float:
        """The part of its capacity a server surely has: from cold_from, evenly over cold_ms."""
        if server.entry.started_ms <= 0 or self.settings.cold_ms <= 0:
            return 1.0
        age_fraction = max(0.0, now_ms - server.entry.started_ms) / self.settings.cold_ms
        return min(1.0, self.settings.cold_from + (1.0 - self.settings.cold_from) * age_fraction)

    def _refill_slow_start_tokens(self, server: TrackedServer, now_ms: float) -> float:
        """Slow start: a cold server earns its warm part of a warm server's flow, for the cold rule bounded.

        The mean flow to a server is less than a warm one bears, so a bound in its terms holds also where
        hardly a server is warm and the flow to those would say nothing.
        """
        self.trim_admitted_times(now_ms)
        server_count = max(1, len(self.ready_servers))
        max_flow_factor = max(1.0, COLD_SERVER_MAX_TIP_MULTIPLE_FRACTION * self.settings.tip_multiple)
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
        """How many warm servers those in use amount to; cold ones by their warm part."""
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
        while self.admitted_times_ms and self.admitted_times_ms[0] < now_ms - LOAD_WINDOW_MS:
            self.admitted_times_ms.popleft()

    def usable(self, server: TrackedServer, now_ms: float) -> bool:
        """Whether the drain and cold rules let a new attempt go to this server."""
        if server.entry.state is not ServerState.READY:
            return False
        warm_fraction = self.warm_fraction(server, now_ms)
        return warm_fraction >= 1.0 or (
            self._refill_slow_start_tokens(server, now_ms) >= 1.0
            and server.outstanding_count < 1 + 4 * warm_fraction
        )

    def selection_cost(self, server: TrackedServer, now_ms: float) -> float:
        """Least outstanding requests, weighed by size and what its reports say; a cold send due is due.

        Where a limiter sends less than one request a server in a window, one goes before its equals that has
        just answered soon, or whose trial as a suspect is due. Else each limiter finds out anew which servers
        are jammed, at one after the other, and opens a new connection to each.
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
        """Until when a server is left alone: as a suspect, as full, or with its zone; now where it is not."""
        # A zone cut off or restarting at once: with many gateways nobody can try each of its servers.
        failure_count, last_failure_ms = self.zone_failures.get(server.entry.zone, (0, 0.0))
        suspect_until_ms = server.next_trial_ms if server.suspect else now_ms
        return max(
            now_ms,
            suspect_until_ms,
            server.avoid_until_ms,
            last_failure_ms + TRIAL_BACKOFF_MS if failure_count >= ZONE_EJECTION_FAILURE_COUNT else now_ms,
        )

    def choose_server(
        self,
        now_ms: float,
        is_allowed: Callable[[TrackedServer], bool],
        tried_ids: set[int],
        allow_avoided: bool = True,
    ) -> TrackedServer | None:
        """The cheapest of a few random servers, against herding; a shunned one only where no other is left.

        Of those the one that is due soonest: by their cost all gateways would take the same few, which look
        free because they turn all away. Where `shunned` is False, none of them.
        """

        def rank(server: TrackedServer) -> tuple[float, bool, float]:
            return (
                self.avoided_until(server, now_ms),
                server.entry.id in tried_ids,
                self.selection_cost(server, now_ms),
            )

        ready = self.ready_servers
        for candidates in (self.rng.sample(ready, min(CANDIDATE_SAMPLE_COUNT, len(ready))), ready):
            ranked_servers = [
                (rank(server), server)
                for server in candidates
                if self.usable(server, now_ms) and is_allowed(server)
            ]
            best = min(ranked_servers, key=lambda ranked_server: ranked_server[0], default=None)
            if best and best[0][0] <= now_ms and not best[0][1]:
                return best[1]
        return best[1] if best and (allow_avoided or best[0][0] <= now_ms) else None

    def record_attempt_end(self, now_ms: float, event: api.AttemptEnded) -> None:
        """Learn from an attempt's end; any answer clears a suspicion."""
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
            # A reset may be the connection's own end; a process that died refuses the next one, too.
            if event.status is not CallStatus.REJECTED:
                server.consecutive_errors = (
                    0 if event.status is CallStatus.OK else server.consecutive_errors + 1
                )
            if server.consecutive_errors >= SUSPECT_ERROR_COUNT:
                self.mark_suspect(server, now_ms)
            elif event.status in (CallStatus.OK, CallStatus.ERROR):
                self.clear_suspicion(server, now_ms)
        # Silence while it had work is the sign of a vanished server, a refused connection of a lost one.
        is_silent = event.status is CallStatus.TIMEOUT and server.last_answer_ms < now_ms - event.elapsed_ms
        if event.status is CallStatus.REJECTED:
            server.avoid_until_ms = (
                now_ms + REJECTION_AVOIDANCE_MS * self.gateway_count_factor * self._jitter_factor()
            )
            if server.suspect:  # it lives, but what it holds already is too much
                self.mark_suspect(server, now_ms)
        elif is_silent or event.status is CallStatus.CONNECT_FAILED:
            self.mark_suspect(server, now_ms)
            self.zone_failures[server.entry.zone] = (
                self.zone_failures.get(server.entry.zone, (0, now_ms))[0] + 1,
                now_ms,
            )
        self.record_load_report(now_ms, event.server_id, event.load_report)

    def record_load_report(self, now_ms: float, server_id: int, values: tuple[float, ...]) -> None:
        """Read a load report: requests in hand or queued, else how busy its cores are."""
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
        return 1.0 + MAX_JITTER_FRACTION * self.rng.random()

    def clear_suspicion(self, server: TrackedServer, now_ms: float) -> None:
        """It answers; so its zone may be back, and the zone's other suspects get their trials soon."""
        if server.suspect:
            for other in self.suspects.values():
                if other.entry.zone == server.entry.zone:
                    other.next_trial_ms = min(
                        other.next_trial_ms, now_ms + TRIAL_BACKOFF_MS * self.rng.random() * 2.0
                    )
        server.suspect, server.backoff_exponent = False, 0
        self.suspects.pop(server.entry.id, None)

    def mark_suspect(self, server: TrackedServer, now_ms: float) -> None:
        """Leave a server alone but for trials: all limiters' together, as often as a few limiters' before.

        A slow server gets a trial of each limiter as its next request; sent as often by all, these alone keep
        it jammed, and every one is lost.
        """
        server.suspect = True
        self.suspects[server.entry.id] = server
        growth_factor, max_factor = (
            TRIAL_BACKOFF_GROWTH_FACTOR * math.sqrt(self.gateway_count_factor),
            TRIAL_BACKOFF_MAX_FACTOR * self.gateway_count_factor,
        )
        backoff_factor = min(max_factor, growth_factor**server.backoff_exponent)
        server.next_trial_ms = now_ms + TRIAL_BACKOFF_MS * backoff_factor * self._jitter_factor()
        if backoff_factor < max_factor:  # beyond, the power would leave the range of floats
            server.backoff_exponent += 1

    def mostly_suspect(self) -> bool:
        """Whether most are suspect: a jam, whose time-outs are latencies. It hurts if most truly vanished."""
        return len(self.suspects) > OVERLOAD_SUSPECT_FRACTION * len(self.ready_servers)


# --- Request life cycle -------------------------------------------------------------------------
@dataclass(slots=True)
class Request:
    arrival: api.RequestArrived
    request_class: api.RequestClass
    lane: int
    useful_until_ms: float  # work past this is worth nothing
    customer: Customer
    attempts: list[Attempt] = field(default_factory=list)
    open: bool = True
    streaming: bool = False

    def outstanding_count(self) -> int:
        return sum(1 for attempt in self.attempts if attempt.is_outstanding)


NEVER_RAN = (CallStatus.REJECTED, CallStatus.CONNECT_FAILED, CallStatus.NOT_SENT)


def split_lanes(classes: tuple[api.RequestClass, ...]) -> list[int]:
    """Lane 0 holds the tight aims; aims that hardly differ share it, as squeezing equals loses more."""
    tightest_aim_ms = min((request_class.aim_ms for request_class in classes), default=0.0)
    return [
        0 if request_class.aim_ms <= SAME_LANE_AIM_FACTOR * tightest_aim_ms else 1
        for request_class in classes
    ]


class Gateway:
    """One gateway's decisions: `handle` takes each event and returns the actions it causes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.fleet = Fleet(settings, self.rng)
        self.lane_of_class = split_lanes(settings.classes)
        self.customers: dict[int, Customer] = {}
        self.meter_clock = MeterClock(settings.metering_ms)
        self.requests: dict[int, Request] = {}
        self.lane_caps: tuple[float, float] = (INF, INF)
        self.occupied_slots = [0, 0]
        # Heap of (release time in ms, lane): slots held by attempts that timed out.
        self.timed_out_slots: list[tuple[float, int]] = []
        self.latency_window = latency.ObservationWindow(
            LOAD_WINDOW_MS, MAX_OBSERVATION_AGE_MS, MIN_OBSERVATION_COUNT
        )
        self.answer_time_distributions = [latency.AnswerTimeDistribution() for _ in settings.classes]
        self.light_load_latency_ms = [INF, INF, INF]  # light-load latency of lane one, lane two and both
        self.admitted_arrivals: deque[tuple[float, int, float]] = deque()
        self.mean_occupied_slots, self.mean_slots_updated_ms = [0.0, 0.0], -INF  # of each lane
        self.first_request_ms = INF  # when the first request came
        self.thresholds_updated_ms = -INF
        self.last_rejection_ms = -INF  # when a server last turned a request away
        self.heavy_answer_loss = False
        self.light_answer_loss = False  # some answers get lost though hardly one is late
        self.started_ms, self.customers_expired_ms = INF, 0.0
        self.max_class_worth = (
            max((request_class.worth for request_class in settings.classes), default=0.0) or 1.0
        )
        self.client_waits_ms: list[deque[float]] = [
            deque(maxlen=CLIENT_WAIT_SAMPLE_COUNT) for _ in settings.classes
        ]
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            api.RequestArrived: self._on_request_arrived,
            api.AttemptEnded: self._on_attempt_ended,
            api.RequestAbandoned: self._on_request_abandoned,
            api.ServerList: self._on_server_list,
            api.StreamStarted: self._on_stream_started,
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
        """Forget customers that have been idle for longest, and what the flow no longer counts."""
        self.fleet.trim_admitted_times(now_ms)
        excess_count = len(self.customers) - MAX_CUSTOMER_COUNT
        expired_ids: list[int] = []
        for customer_id, customer in self.customers.items():  # the longest idle first
            over_limit = len(expired_ids) < excess_count
            if not over_limit and now_ms - customer.last_request_ms < LIGHT_CUSTOMER_EXPIRY_MS:
                break
            if customer.can_expire(now_ms, over_limit):
                expired_ids.append(customer_id)
        for customer_id in expired_ids:
            del self.customers[customer_id]

    def _on_server_list(self, now_ms: float, event: api.ServerList) -> None:
        self.fleet.apply_server_list(now_ms, event)
        self.started_ms = min(self.started_ms, now_ms)
        if self.settings.must_subscribe and event.kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            self.actions.append(api.Subscribe(True))

    def _on_request_arrived(self, now_ms: float, event: api.RequestArrived) -> None:
        """The ordinary path: let-in share, lane cap, server choice; what fails is refused at once."""
        self.first_request_ms = min(self.first_request_ms, now_ms)
        request_class = self.settings.classes[event.class_index]
        customer = self.customers.pop(event.customer_id, None)
        if customer is None:
            customer = Customer(
                self.settings.plans[event.plan_index], event.customer_gateway_count, now_ms, self.started_ms
            )
        self.customers[event.customer_id] = customer  # behind all others: the latest to ask
        # Where a late answer earns little, an attempt past the aim is waste and feeds a jam.
        ends_at_aim = (
            request_class.late_worth <= LOW_LATE_WORTH
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
        if (
            ends_at_aim
            and self._is_late_retry(now_ms, event)
            and not customer.has_ample_units(now_ms, event.units)
        ):
            self._finish_unanswered(now_ms, request)
        elif customer.admits(
            now_ms, event.units, self.rng.random(), request_class.worth / self.max_class_worth
        ):
            self.admitted_arrivals.append((now_ms, request.lane, event.units))
            if self._lane_admits(now_ms, request):
                self.fleet.admitted_times_ms.append(now_ms)
                if self._send_attempt(now_ms, request, set()):
                    return
        self._finish_unanswered(now_ms, request)

    def _lane_admits(self, now_ms: float, request: Request) -> bool:
        """Whether the lane has room for an answer to this request, not only for one attempt at it.

        Where an attempt is answered in time with some chance, an answer takes the inverse of it in attempts,
        and the others are work for nobody. So a request whose client hardly waits needs that much room: where
        the lane is pressed it gives way to those that the same work would answer. Below the cap by less than
        one: by chance, which mixes the two whole thresholds beside it.
        """
        expected_attempts = 1.0 / self.answer_time_distributions[
            request.arrival.class_index
        ].probability_within(request.useful_until_ms - now_ms)
        return expected_attempts - 1.0 + self.rng.random() < self._lane_headroom(request.lane)

    def _lane_headroom(self, lane: int) -> float:
        """How many more requests of a lane may go out: up to its threshold, and for chance beyond it.

        The swing of a sum is the root of the sum: of few gateways each may add the root of its own threshold,
        of many that root in part. The whole root passes swings alone, while the lane's mean count is below
        the threshold: where thresholds are small, many gateways' roots would be more than all thresholds.
        """
        cap, mean_slots = self.lane_caps[lane], self.mean_occupied_slots[lane]
        if cap == INF:
            return INF
        many_gateways_factor = 1.0 / math.sqrt(self.fleet.gateway_count_factor)
        margin_factor = 1.0 if mean_slots < cap else many_gateways_factor
        return cap + CAP_MARGIN_STDDEVS * math.sqrt(cap) * margin_factor - self.occupied_slots[lane]

    def _is_late_retry(self, now_ms: float, event: api.RequestArrived) -> bool:
        """Whether this is a repeat that can hardly be answered within the aim, counted from the first try.

        No try waits past the end of its request, so one that waits for less than first ones do is a repeat,
        and what its wait falls short of the class's deadline has passed. A request that was long on its way
        shows the same. It hurts clients whose first tries wait for less than others': taken for repeats, they
        get what the customer's store can spare.
        """
        request_class, waits_ms, wait_ms = (
            self.settings.classes[event.class_index],
            self.client_waits_ms[event.class_index],
            event.deadline_ms - now_ms,
        )
        waits_ms.append(wait_ms)
        time_left_ms = request_class.aim_ms - (request_class.deadline_ms - wait_ms)
        if (
            time_left_ms
            >= min(self.fleet.mean_latency_ms, LATE_RETRY_TIME_LEFT_AIM_FRACTION * request_class.aim_ms)
            or len(waits_ms) < MIN_OBSERVATION_COUNT
        ):
            return False
        # First tries wait alike, repeats for what is left of their time; last ones may wait for longer.
        bin_counts = Counter(round(sample_ms / CLIENT_WAIT_BIN_MS) for sample_ms in waits_ms)
        min_count = FIRST_ATTEMPT_BIN_MIN_FRACTION * max(bin_counts.values())
        first_attempt_bin = min(wait_bin for wait_bin, count in bin_counts.items() if count >= min_count)
        return wait_ms < (first_attempt_bin - 1) * CLIENT_WAIT_BIN_MS

    def _may_send_to(self, request: Request, server: TrackedServer, now_ms: float) -> bool:
        """The repeats rule, passed by every send."""
        if request.outstanding_count() and not self.settings.second_copies:
            return False
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        if not possibly_run or request.request_class.effect is RetrySafety.IDEMPOTENT:
            return True
        if (
            request.request_class.effect is RetrySafety.AT_MOST_ONCE
            or now_ms - possibly_run[0].sent_ms > request.request_class.window_ms
        ):
            return False
        return all(
            self._in_dedup_scope(request.request_class.dedup_scope, attempt.server_entry, server)
            for attempt in possibly_run
        )

    def _in_dedup_scope(
        self, dedup_scope: DedupScope, earlier_entry: api.Server, server: TrackedServer
    ) -> bool:
        if dedup_scope is DedupScope.ALL:
            return True
        return (
            earlier_entry.zone == server.entry.zone
            if dedup_scope is DedupScope.ZONE
            else earlier_entry.cell == server.entry.cell
        )

    def _send_attempt(self, now_ms: float, request: Request, tried_ids: set[int]) -> bool:
        """The one place that sends: every rule on sending is checked here."""
        arrival, is_first_attempt = request.arrival, not request.attempts
        if not request.open or request.streaming or now_ms >= request.useful_until_ms:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        customer = request.customer
        if (
            is_first_attempt
            and customer.plan.ceiling_rate > 0
            and customer.ceiling_bucket.refill(now_ms) < arrival.units
        ):
            return False
        # A further attempt at a server that is full or silent would only add to what keeps it so.
        server = self.fleet.choose_server(
            now_ms,
            lambda candidate: self._may_send_to(request, candidate, now_ms),
            tried_ids,
            is_first_attempt,
        )
        if server is None:
            return False
        attempt = Attempt(len(request.attempts), server.entry, now_ms)
        request.attempts.append(attempt)
        server.outstanding_count += 1
        server.slow_start_tokens -= 1.0
        if server.suspect:  # a trial; the next one waits for its outcome
            self.fleet.mark_suspect(server, now_ms)
        self.occupied_slots[request.lane] += 1
        request.customer.outstanding_count += 1
        if is_first_attempt:
            request.customer.record_send(now_ms, arrival.units)
        attempt_deadline_ms = request.useful_until_ms
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
        self.actions.append(api.Send(arrival.request_id, server.entry.id, attempt_deadline_ms))
        return True

    def _finish_unanswered(self, now_ms: float, request: Request) -> None:
        """The one place that ends a request: refused where a retry is surely harmless, else failed."""
        if not request.open or request.streaming:
            return
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        deduplicated_everywhere = (
            request.request_class.effect is RetrySafety.DEDUPLICATED
            and request.request_class.dedup_scope is DedupScope.ALL
        )
        retry_is_harmless = (
            not may_have_run
            or request.request_class.effect is RetrySafety.IDEMPOTENT
            or deduplicated_everywhere
        )
        may_refuse = retry_is_harmless and not (may_have_run and now_ms >= request.useful_until_ms)
        request_id, request.open = request.arrival.request_id, False
        self.actions.append(
            api.Refuse(request_id, self._retry_after_ms(now_ms, request))
            if may_refuse
            else api.Fail(request_id)
        )
        self._remove_if_finished(request)

    def _retry_after_ms(self, now_ms: float, request: Request) -> float:
        """When to come back, in ms: once what is out has mostly ended, or where the meter says that the
        quota is used up, once the store holds the units again."""
        customer, wait_ms = request.customer, self.fleet.mean_latency_ms
        missing_units = request.arrival.units - customer.bucket.refill(now_ms)
        if (customer.usage_percent or 0) >= 100 and missing_units > 0 and customer.plan.rate > 0:
            wait_ms = max(wait_ms, missing_units / customer.plan.rate * 1000.0)
        return min(self.settings.max_retry_after_ms, wait_ms)

    def _remove_if_finished(self, request: Request) -> None:
        if not request.open and not request.outstanding_count():
            self.requests.pop(request.arrival.request_id, None)

    def _on_request_abandoned(self, now_ms: float, event: api.RequestAbandoned) -> None:
        """The client has gone: nobody waits for what is still out."""
        if request := self.requests.get(event.request_id):
            request.open = False
            self._cancel_outstanding(request)
            self._remove_if_finished(request)

    def _on_stream_started(self, now_ms: float, event: api.StreamStarted) -> None:
        """The answer is the client's now: neither sent again, withdrawn nor ended here."""
        if request := self.requests.get(event.request_id):
            request.streaming = True

    def _cancel_outstanding(self, request: Request) -> None:
        if self.settings.may_cancel and not request.streaming:
            request_id = request.arrival.request_id
            self.actions += [
                api.Cancel(request_id, attempt.number)
                for attempt in request.attempts
                if attempt.is_outstanding
            ]

    def _on_attempt_ended(self, now_ms: float, event: api.AttemptEnded) -> None:
        """Book an attempt's end, learn from it, then close, retry or answer the request."""
        server = self.fleet.servers.get(event.server_id)
        was_suspect = server is not None and server.suspect and not self.fleet.mostly_suspect()
        self.fleet.record_attempt_end(now_ms, event)
        request = self.requests.get(event.request_id)
        if request is None or not (attempt := request.attempts[event.attempt_number]).is_outstanding:
            return
        attempt.is_outstanding = False
        attempt.may_have_run = event.status not in NEVER_RAN
        request.customer.outstanding_count -= 1
        if event.status is CallStatus.TIMEOUT and not was_suspect and not self.heavy_answer_loss:
            # Given up, not ended: the server works on it or still will, after a short wait for the longer.
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
        # Work lost at a suspect says nothing of the back end's load; elsewhere a time-out is a latency.
        if event.status is CallStatus.OK or (event.status is CallStatus.TIMEOUT and not was_suspect):
            answered = event.status is CallStatus.OK
            self.latency_window.add(
                latency.LatencyObservation(now_ms, request.arrival.class_index, event.elapsed_ms, answered)
            )
        elif event.status is CallStatus.REJECTED:
            self.last_rejection_ms = now_ms
        if event.request_closed:
            request.open = False
            self._cancel_outstanding(request)
        elif request.open and not request.outstanding_count():
            tried_ids = {earlier_attempt.server_entry.id for earlier_attempt in request.attempts}
            if event.status is CallStatus.NOT_SENT or not self._send_attempt(now_ms, request, tried_ids):
                self._finish_unanswered(now_ms, request)
        self._remove_if_finished(request)

    def _update_light_load_latency(
        self, index: int, weighted_observations: list[tuple[float, float, bool]]
    ) -> float:
        """The 10th-percentile latency, remembered through a jam, where it waits too and load reads low.
        It hurts, for some seconds, where requests truly become heavier."""
        if weighted_observations:
            self.light_load_latency_ms[index] = min(
                latency.weighted_p10_ms(weighted_observations),
                self.light_load_latency_ms[index] * LIGHT_LATENCY_MAX_GROWTH_FACTOR,
            )
        return self.light_load_latency_ms[index] if self.light_load_latency_ms[index] < INF else 0.0

    def _outstanding_observations(self, now_ms: float) -> list[latency.LatencyObservation]:
        """What is out, as if given up now: in a jam its age tells an aim sooner than its time-out will."""
        return [
            latency.LatencyObservation(now_ms, request.arrival.class_index, now_ms - attempt.sent_ms, False)
            for request in self.requests.values()
            if now_ms < request.useful_until_ms
            for attempt in request.attempts
            if attempt.is_outstanding
            and (attempt.server_entry.id not in self.fleet.suspects or self.fleet.mostly_suspect())
        ]

    def _update_thresholds(self, now_ms: float) -> None:
        """Estimate the load from the window and set the lane caps by the search."""
        self.latency_window.trim(now_ms)
        arrivals, lane_of_class = self.admitted_arrivals, self.lane_of_class
        while arrivals and arrivals[0][0] < now_ms - (
            LOAD_WINDOW_MS if len(arrivals) > MIN_OBSERVATION_COUNT else MAX_OBSERVATION_AGE_MS
        ):
            arrivals.popleft()
        tightest_aim_ms = min(
            request_class.aim_ms
            for request_class, lane in zip(self.settings.classes, lane_of_class, strict=True)
            if lane == 0
        )
        # Lost answers are told from a jam by the others, which come quickly: no load, worth another try.
        # It also covers vanished servers; it would feed a jam whose time-outs are one class's alone. What
        # was given up before most answers come says nothing of either.
        timed_out = self.latency_window.censored_observations()
        answer_times_ms = sorted(
            observed.elapsed_ms for observed in self.latency_window.answered_observations()
        )
        min_wait_ms = (
            answer_times_ms[int(len(answer_times_ms) * ANSWER_LOSS_MIN_WAIT_QUANTILE)]
            if answer_times_ms
            else 0.0
        )
        lost_count = sum(1 for observed in timed_out if observed.elapsed_ms >= min_wait_ms)
        many_lost = lost_count > HEAVY_LOSS_MIN_ATTEMPT_FRACTION * (lost_count + len(answer_times_ms))
        no_rejections = self.last_rejection_ms < now_ms - LOAD_WINDOW_MS  # who turns requests away has a jam
        answers_are_fast = (
            len(answer_times_ms) > 3
            and answer_times_ms[len(answer_times_ms) * 3 // 4] < FAST_ANSWER_AIM_FRACTION * tightest_aim_ms
        )
        was_heavy_loss, self.heavy_answer_loss = (
            self.heavy_answer_loss,
            no_rejections and many_lost and answers_are_fast,
        )
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
                    f"answers are being lost: {lost_count} attempts timed out after a normal wait, "
                    f"{len(answer_times_ms)} were answered"
                )
            )
        observed = (
            self.latency_window.answered_observations()
            if self.heavy_answer_loss
            else list(self.latency_window.observations)
        )
        load_observations = (
            observed if self.heavy_answer_loss else observed + self._outstanding_observations(now_ms)
        )
        observations_by_lane: list[list[tuple[float, bool]]] = [[], []]
        observations_by_class: list[list[tuple[float, bool]]] = [[] for _ in self.answer_time_distributions]
        for observation in load_observations:
            observations_by_lane[lane_of_class[observation.class_index]].append(
                (observation.elapsed_ms, observation.answered)
            )
            if observation.ended_ms >= now_ms - LOAD_WINDOW_MS:
                observations_by_class[observation.class_index].append(
                    (observation.elapsed_ms, observation.answered)
                )
        self.answer_time_distributions = [
            latency.AnswerTimeDistribution(elapsed_pairs) for elapsed_pairs in observations_by_class
        ]
        weighted_by_lane = [
            latency.kaplan_meier_weights(elapsed_pairs) for elapsed_pairs in observations_by_lane
        ]
        weighted_total = sorted(weighted_by_lane[0] + weighted_by_lane[1])
        if weighted_total:
            self.fleet.mean_latency_ms = max(1.0, latency.weighted_mean_ms(weighted_total))
        if len(observed) < MIN_OBSERVATION_COUNT or not weighted_by_lane[0]:
            return
        light_latency_ms = [
            self._update_light_load_latency(index, lane) for index, lane in enumerate(weighted_by_lane)
        ]
        utilization = 1.0 - self._update_light_load_latency(2, weighted_total) / self.fleet.mean_latency_ms
        arrival_counts = [
            sum(1 for _, lane, _ in self.admitted_arrivals if lane == index) for index in (0, 1)
        ]
        work_by_lane = [arrival_counts[index] * light_latency_ms[index] for index in (0, 1)]
        if utilization <= 0 or sum(work_by_lane) <= 0 or light_latency_ms[0] <= 0:
            return
        rho = [utilization * lane_work / sum(work_by_lane) for lane_work in work_by_lane]
        candidates = (
            optimal_thresholds(
                rho[0],
                rho[1],
                MEAN_LATENCY_BOUND_AIM_FRACTION * tightest_aim_ms / light_latency_ms[0],
                min_fraction,
            )
            for min_fraction in LANE_TWO_FLOOR_FRACTIONS
        )
        best_thresholds = next((candidate for candidate in candidates if candidate is not None), None)
        if best_thresholds is None:
            return
        # Counted from nothing the mean would be low for seconds, and the caps with it.
        averaged_fraction = 1.0 - math.exp((self.first_request_ms - now_ms) / LOAD_WINDOW_MS)
        requests_per_model_request = max(
            1e-3, sum(self.mean_occupied_slots) / averaged_fraction * (1.0 - utilization) / utilization
        )
        lane_caps = (
            max(MIN_LANE_CAP_REQUESTS, best_thresholds[0] * requests_per_model_request),
            max(MIN_LANE_CAP_REQUESTS, best_thresholds[1] * requests_per_model_request),
        )
        if (min(lane_caps) < INF) != (min(self.lane_caps) < INF):
            self.actions.append(
                api.Log(
                    f"lane caps set to {lane_caps[0]:.1f} and {lane_caps[1]:.1f} requests "
                    f"at utilization {utilization:.2f}"
                )
            )
        self.lane_caps = lane_caps
