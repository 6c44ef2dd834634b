"""Every decision of the gateway: quotas, lane caps, server health, server choice and retries.

`Gateway.handle` takes an event and returns the actions that follow from it; `ironstage/interface.py` defines
the settings, events and actions. Points in time (`now_ms` and other fields in `_ms`) are milliseconds on the
caller's clock, and units are the quota units of a request.

- Quota: a customer's requests are admitted with a probability, the admission share, which follows from its
  metered use. Where the estimated level of its token bucket is high, requests are admitted regardless.
- Lanes: classes with tight latency aims are in lane one, the others in lane two. The outstanding requests of
  each lane at the back end, which is all servers together, are capped by the thresholds of de Waal's report
  BS-R9025 (Section 3).
- Servers: the server with the least outstanding requests of a random sample is chosen. Servers that fail
  become suspects, which get only occasional trial requests. Servers that started recently are cold and get
  less traffic (slow start).
- Attempts: a request is sent as a first attempt at one server and, where a repeat is safe, as retries at
  others. If the time for repeats ends while an attempt is outstanding, a hedge is sent just before. A request
  may itself be the retry of a client; then it is called a client's retry.
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
LOAD_WINDOW_MS = 5000.0  # holds some hundred ended attempts at tens of requests a second
# Ended attempts that the window keeps even if they are older, up to the maximum age. With fewer, the
# thresholds stay as they are.
MIN_OBSERVATION_COUNT = 10
MAX_OBSERVATION_AGE_MS = 20000.0  # older observations say nothing about the present load
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
MAX_SEARCH_THRESHOLD = 96  # largest value of either threshold; bounds the search (about 5 ms in CPython)

# --- Constants: meter lag and the gateway's fraction of a customer's traffic ----------------------
# The lag is the time from the end of a metered period until its use appears in answers.
METER_LAG_STEP_MS = 100.0
METER_LAG_STEP_COUNT = 30  # longer lags are not considered
INITIAL_METER_LAG_STEPS = 8  # assumed before any evidence
TRAFFIC_FRACTION_RELATIVE_ERROR = 0.15  # expected error of a customer's estimated traffic fraction
# Weight of the initial lag. Another lag starts with an error of this weight times its squared distance in
# steps; an error of 1 is the expected squared error of one reading. Small, so that it only breaks ties.
METER_LAG_PRIOR_WEIGHT = 0.1
METER_PHASE_RETENTION_FACTOR = 0.95  # of earlier evidence on when readings change, at each change
METER_LAG_RETENTION_FACTOR = 0.995  # of earlier lag errors, at each reading; some hundred readings decide
SEND_HISTORY_MS = 10000.0  # minimum length of a customer's send history; exceeds the meter's lag
TRAFFIC_FRACTION_PRIOR_UNITS = 8.0  # weight of an even spread over gateways against metered evidence
# If the gateway's fraction of the burst is smaller, its own sends say nothing about the bucket's level.
MIN_OWN_BURST_UNITS = 1.0

# --- Constants: admission share and token bucket of a customer ------------------------------------
PRIOR_DEMAND_RATE_FRACTION = 1.0  # demand assumed before the first reading, as a fraction of the rate
PRIOR_DEMAND_WEIGHT_UNITS = 0.3  # weight of this assumption against readings and own requests
READING_RETENTION_FACTOR = 0.5  # of earlier readings, at each new one
OTHERS_PRIOR_USE_RATE_FRACTION = 0.7  # use assumed for all other gateways together
# Weight of this assumption against own sends, in units. It grows with the customer's gateways, because the
# fraction of the traffic that one of many gateways sees is small and changes within seconds.
OTHERS_PRIOR_MIN_UNITS = 0.7
OTHERS_PRIOR_UNITS_PER_GATEWAY = 0.1
# A customer that was idle for so long, with full token buckets, has no state worth keeping.
CUSTOMER_EXPIRY_MS = 40000.0
LIGHT_CUSTOMER_EXPIRY_MS = 10000.0  # the same for one of whom little more than one request was seen
LIGHT_CUSTOMER_MAX_UNITS = 1.0  # decayed demand and metered use up to which a customer counts as light
CUSTOMER_EXPIRY_INTERVAL_MS = 1000.0
# At some 2 KB each; beyond this count the longest idle are removed as soon as their ceiling bucket is full.
MAX_CUSTOMER_COUNT = 5000
USE_DECAY_MS = 20000.0  # time constant of the decay of readings and demand: customers change their habits
MIN_ADMISSION_SHARE_DIVISOR = 0.05  # lower bound of the admission share that metered use is divided by
# Of earlier evidence on the traffic fraction, at each reading: traffic shifts within tens of seconds.
TRAFFIC_FRACTION_RETENTION_FACTOR = 0.85
# With more than this fraction of the burst left in the bucket, the admission share is not applied.
UNCONDITIONAL_LEVEL_BURST_FRACTION = 0.25
# Reserve for requests of more worth, as fractions of the burst. Each is multiplied by how far the request's
# worth, as a fraction of the highest worth, is below 1.
BASE_RESERVE_BURST_FRACTION = 0.1
OVER_QUOTA_RESERVE_BURST_FRACTION = 0.8  # also multiplied by the root of (1 - admission share)
# Added to the latter for each gateway of the customer: with many gateways the admission share is a rough
# estimate, and the reserve favours requests of high worth.
RESERVE_FRACTION_PER_GATEWAY = 0.06
MAX_BUCKET_DEBT_BURST_FRACTION = 1.0  # how far below empty the estimated level may fall

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
# With more than this fraction of the burst left, a client's late retry takes nothing that others need.
AMPLE_LEVEL_BURST_FRACTION = 0.5

# --- Constants: retries ---------------------------------------------------------------------------
# Longest time for which a gateway may be held up between reading its clock and writing a request.
MAX_WRITE_DELAY_MS = 150.0
HEDGE_LEAD_MS = 50.0  # before the last moment for a repeat, as a connection may have to be opened

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
MAX_TIMER_TOKEN = 1 << 32


# --- Threshold search (de Waal, Algorithms 3.8 and 3.9) -----------------------------------------
def j_sums(n: int, x: float, y: float) -> tuple[float, float, float]:
    """Return J1, J2 and J3 of (15)-(17); their inner sums are binomial and collapse to powers of 1 - x."""
    j1 = j2 = j3 = 0.0
    term = 1.0 / (1.0 - x)
    for j in range(n + 1):
        j1 += term
        j2 += (j + 1) * x / (1.0 - x) * term
        j3 += j * term
        term *= y / (1.0 - x)
    return j1, j2, j3


def measures_at_m1_one(rho1: float, rho2: float, m2: int) -> tuple[float, float]:
    """Return lane one's mean sojourn time and lane two's throughput for the thresholds (1, m2), by (28)-(31).

    The sojourn time S1 is in mean service times, and the throughput T2 is a fraction of lambda2.
    """
    j4 = j5 = previous_sum = 0.0
    for j in range(m2 + 1):
        previous_sum = j4 + j5
        j4 += rho2**j
        j5 += (j + 1) * rho1 * rho2**j
    # By (14), S1 = J5 / (lambda1 J4): (30) as printed divides by J4 + J5.
    return j5 / (rho1 * j4), previous_sum / (j4 + j5)


def largest_m1_without_m2_cap(rho1: float, rho2: float, max_sojourn: float) -> float:
    """Return the largest M1 with S1(M1, inf) at most `max_sojourn`, or 0 if there is none."""
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
    """Return the largest feasible M1 for one M2, T1 / lambda1 there, and whether the bound on S1 limits M1.

    `weights_by_m1[m1]` is the product-form weight of the states with m1 requests of lane one and at most M2
    of lane two; `weights_below_m2[m1]` is that of the states with fewer than M2 of lane two.
    """
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
    """Return the (M1, M2) with the largest throughput of lane one, or None if no pair is feasible.

    A threshold is infinite if its lane needs no cap. `rho1` and `rho2` are the lanes' utilizations, the
    arrival rates times the mean service times. `max_sojourn` is S mu1, the bound on lane one's mean sojourn
    time in mean service times, and `min_lane_two_fraction` is T / lambda2, the least throughput of lane two
    as a fraction of its arrivals. All are ratios, because the product form depends on nothing else.
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
        # As m2 grows, M1(m2) rises while the floor of lane two limits it, then falls while the bound on S1
        # does. The search ends when a falling M1(m2) reaches its value without a cap on lane two: only there
        # has it settled.
        if sojourn_exceeded and m1 <= m1_without_m2_cap:
            break
    return best_thresholds


# --- Quota --------------------------------------------------------------------------------------
@dataclass(slots=True)
class TokenBucket:
    """A token bucket of at most `depth` units that is refilled at `rate` units a second.

    `level` is the number of units at `refilled_ms`.
    """

    rate: float
    depth: float
    level: float
    refilled_ms: float

    def refill(self, now_ms: float) -> float:
        """Add the units gained since the last refill and return the level."""
        self.level = min(self.depth, self.level + self.rate * (now_ms - self.refilled_ms) / 1000.0)
        self.refilled_ms = now_ms
        return self.level


class MeterClock:
    """Learns which metered period a reading describes.

    A reading compared with the sends of another period would correct the token bucket wrongly.
    """

    def __init__(self, period_ms: float) -> None:
        self.period_ms = period_ms
        self.lag_errors = [
            (step - INITIAL_METER_LAG_STEPS) ** 2 * METER_LAG_PRIOR_WEIGHT
            for step in range(METER_LAG_STEP_COUNT)
        ]
        self.phase_sine = self.phase_cosine = 0.0

    def record_change(self, previous_reading_ms: float, now_ms: float) -> None:
        """Learn from a reading that changed between two answers: the meter published in between.

        The time of publication within the period is estimated by a decaying circular mean.
        """
        if now_ms - previous_reading_ms < self.period_ms / 4:
            angle = math.tau * ((previous_reading_ms + now_ms) / 2 % self.period_ms) / self.period_ms
            self.phase_sine = METER_PHASE_RETENTION_FACTOR * self.phase_sine + math.sin(angle)
            self.phase_cosine = METER_PHASE_RETENTION_FACTOR * self.phase_cosine + math.cos(angle)

    def last_change_ms(self, now_ms: float) -> float:
        """Return when the meter published the present readings."""
        phase_ms = math.atan2(self.phase_sine, self.phase_cosine) / math.tau * self.period_ms
        return now_ms - (now_ms - phase_ms) % self.period_ms

    def reading_period(self, now_ms: float) -> tuple[float, float]:
        """Return start and end of the metered period that a reading received now describes."""
        best_lag_steps = min(range(METER_LAG_STEP_COUNT), key=lambda step: self.lag_errors[step])
        end_ms = self.last_change_ms(now_ms) - best_lag_steps * METER_LAG_STEP_MS
        return end_ms - self.period_ms, end_ms

    def learn_lag(self, now_ms: float, customer: Customer, metered_units: float) -> None:
        """Score each candidate lag by how well the gateway's own sends predict the reading.

        The own sends are divided by the gateway's fraction of the customer's traffic. Each squared error is
        divided by its expected value, given binomially distributed own sends and an inexact fraction.
        Otherwise the few largest customers would decide, by noise. The drawback: the result is worse where
        only the large customers send steadily.
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
    """What this gateway knows of one customer: the evidence on its use and an estimate of its token bucket.

    The customer's demand is all that it requests; its use is what is sent to servers, which the meter counts.

    A bucket that is full enough admits requests that the admission share would refuse. This is for bursts
    that the bucket covers, spikes that the meter does not show yet and missing readings. The drawback: it
    may admit wrongly if the gateway's fraction of the customer's traffic is misjudged.
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
        # Decayed sums over readings: metered time, and use divided by the admission share then in effect.
        self.metered_ms = self.metered_demand_units = 0.0
        # `own_demand_units` is the decayed sum of the units requested through this gateway.
        self.own_demand_units, self.last_request_ms, self.gateway_started_ms = 0.0, now_ms, gateway_started_ms
        # Each gateway keeps to an equal part of the ceiling without coordination. The bucket is empty at the
        # gateway's start, because an earlier process may have used all of it. It has been refilled since
        # then, because this process has sent nothing for the customer.
        ceiling_empty_ms = min(gateway_started_ms, now_ms)
        self.ceiling_bucket = TokenBucket(
            plan.ceiling_rate / self.customer_gateway_count,
            plan.ceiling_depth / self.customer_gateway_count,
            0.0,
            ceiling_empty_ms,
        )
        # Of own first attempts: time in ms, cumulative units, cumulative units with predicted use elsewhere.
        self.send_history = [(-INF, 0.0, 0.0)]
        # Estimated level of the bucket at the end of the last metered period, and that end in ms.
        self.period_end_level = (plan.burst, now_ms)
        self.reading_received_ms = self.reading_applied_ms = -INF
        # Decayed sums over readings: use through this gateway and through all gateways.
        self.own_use_units = self.total_use_units = 0.0
        self.usage_percent: int | None = None
        self.outstanding_count = 0

    def traffic_fraction(self) -> float:
        """Return the estimated fraction of the customer's traffic that goes through this gateway.

        It is learned from the meter; before any evidence, traffic is taken to be spread evenly over the
        gateways.
        """
        prior_units = TRAFFIC_FRACTION_PRIOR_UNITS / self.customer_gateway_count
        return min(
            1.0, (self.own_use_units + prior_units) / (self.total_use_units + TRAFFIC_FRACTION_PRIOR_UNITS)
        )

    def admission_share(self, now_ms: float) -> float:
        """Return the admission share: the rate divided by the expected demand, at most 1.

        The demand is a Gamma-Poisson estimate from readings, own requests and a weak prior. The evidence
        decays, so that a rarely seen customer is not limited by what it did long ago.
        """
        if self.plan.rate <= 0:
            return min(1.0, 100.0 / (self.usage_percent or 100.0))
        reading_weight, rate_per_ms = (
            math.exp((self.reading_applied_ms - now_ms) / USE_DECAY_MS),
            self.plan.rate / 1000.0,
        )
        demand_units = (
            PRIOR_DEMAND_WEIGHT_UNITS
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
                PRIOR_DEMAND_WEIGHT_UNITS / (PRIOR_DEMAND_RATE_FRACTION * rate_per_ms)
                + self.metered_ms * reading_weight
                + own_observed_ms
            )
            / demand_units,
        )

    def predicted_others_use(self) -> tuple[float, float]:
        """Predict the use at the customer's other gateways, from what this gateway sends.

        Returns the units that they use for each own unit, within the time in which the burst refills, and
        the units per millisecond that they use regardless of own sends. This is a Gamma-Poisson estimate, as
        in `admission_share`.
        """
        traffic_fraction, rate_per_ms = self.traffic_fraction(), max(1e-9, self.plan.rate / 1000.0)
        prior_units = max(
            OTHERS_PRIOR_MIN_UNITS, OTHERS_PRIOR_UNITS_PER_GATEWAY * self.customer_gateway_count
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
        """Record a first attempt and, in proportion to it, the predicted use at other gateways."""
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
        """Return whether a new record of this customer would be the same, so that this one can be removed.

        If `over_limit`, there are too many customers, and only outstanding attempts and the ceiling bucket
        prevent the removal.
        """
        if self.outstanding_count or self.ceiling_bucket.refill(now_ms) < self.ceiling_bucket.depth:
            return False
        own_demand_units = self.own_demand_units * math.exp((self.last_request_ms - now_ms) / USE_DECAY_MS)
        is_light = max(own_demand_units, self.total_use_units) <= LIGHT_CUSTOMER_MAX_UNITS
        is_idle = now_ms - self.last_request_ms >= (
            LIGHT_CUSTOMER_EXPIRY_MS if is_light else CUSTOMER_EXPIRY_MS
        )
        return over_limit or (is_idle and self.bucket.refill(now_ms) >= self.bucket.depth)

    def units_sent_until(self, until_ms: float) -> tuple[float, float]:
        """Return the cumulative units of own first attempts, without and with predicted use elsewhere.

        Only differences between two results have a meaning.
        """
        return self.send_history[max(0, bisect_right(self.send_history, (until_ms, INF, INF)) - 1)][1:]

    def apply_reading(self, now_ms: float, usage_percent: int, meter_clock: MeterClock) -> None:
        """Apply a reading, once per metered period, to the admission share and to the bucket's level."""
        previous_received_ms, self.reading_received_ms = self.reading_received_ms, now_ms
        if usage_percent == self.usage_percent and self.reading_applied_ms >= meter_clock.last_change_ms(
            now_ms
        ):
            return
        if usage_percent != self.usage_percent and self.usage_percent is not None:
            meter_clock.record_change(previous_received_ms, now_ms)
        # The use was metered under this admission share; the demand was larger by its inverse.
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
        self._recompute_level(now_ms, start_ms, end_ms, metered_units)

    def _recompute_level(self, now_ms: float, start_ms: float, end_ms: float, metered_units: float) -> None:
        """Recompute the bucket's level from metered use up to `end_ms` and predicted use since then."""
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
        """Return whether so much is left in the bucket that other requests will hardly need these units."""
        return (
            self.plan.rate <= 0
            or self.bucket.refill(now_ms) - units >= AMPLE_LEVEL_BURST_FRACTION * self.plan.burst
        )

    def _reserved_units(self, admission_share: float, relative_worth: float) -> float:
        """Return the units that a request must leave in the bucket for requests of more worth.

        `relative_worth` is the request's worth as a fraction of the highest worth of a class. What a
        customer requests beyond its quota is refused in any case; with the reserve, the refused requests are
        those of less worth. The reserve is also a safety margin for the estimated level. The drawback: a
        customer that sends only requests of low worth cannot use the reserved part of its burst and, when
        beyond its quota, a little of its rate.
        """
        over_quota_fraction = (
            OVER_QUOTA_RESERVE_BURST_FRACTION + RESERVE_FRACTION_PER_GATEWAY * self.customer_gateway_count
        ) * math.sqrt(1.0 - admission_share)
        return (BASE_RESERVE_BURST_FRACTION + over_quota_fraction) * (1.0 - relative_worth) * self.plan.burst

    def admits(self, now_ms: float, units: float, random_value: float, relative_worth: float = 1.0) -> bool:
        """Decide whether the quota admits a request, given a `random_value` from 0 to 1.

        The admission share is the probability of admission. It is not applied if the bucket is full enough,
        provided that own sends are evidence about the bucket's level. The cap on concurrent attempts
        (`parallel`) and the reserve for requests of more worth always apply.
        """
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


# --- Request life cycle -------------------------------------------------------------------------
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

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.fleet = Fleet(settings, self.rng)
        self.lane_of_class = split_lanes(settings.classes)
        self.customers: dict[int, Customer] = {}
        self.meter_clock = MeterClock(settings.metering_ms)
        self.requests: dict[int, Request] = {}
        self.lane_caps: tuple[float, float] = (INF, INF)
        # By lane: one slot for each outstanding attempt, and one for each timed-out attempt that its server
        # is assumed to be still working on.
        self.occupied_slots = [0, 0]
        # Heap of (release time in ms, lane): the slots of attempts that timed out.
        self.timed_out_slots: list[tuple[float, int]] = []
        self.latency_window = latency.ObservationWindow(
            LOAD_WINDOW_MS, MAX_OBSERVATION_AGE_MS, MIN_OBSERVATION_COUNT
        )
        self.answer_time_distributions = [latency.AnswerTimeDistribution() for _ in settings.classes]
        self.light_load_latency_ms = [INF, INF, INF]  # of lane one, of lane two, of both
        # Requests that the quota admitted: time in ms, lane index, units.
        self.admitted_arrivals: deque[tuple[float, int, float]] = deque()
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
        """Remove idle customers, the longest idle first, and admission times past the load window."""
        self.fleet.trim_admitted_times(now_ms)
        excess_count = len(self.customers) - MAX_CUSTOMER_COUNT
        expired_ids: list[int] = []
        for customer_id, customer in self.customers.items():  # in order of their last requests
            over_limit = len(expired_ids) < excess_count
            if not over_limit and now_ms - customer.last_request_ms < LIGHT_CUSTOMER_EXPIRY_MS:
                break
            if customer.can_expire(now_ms, over_limit):
                expired_ids.append(customer_id)
        for customer_id in expired_ids:
            del self.customers[customer_id]

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
        customer = self.customers.pop(event.customer_id, None)
        if customer is None:
            customer = Customer(
                self.settings.plans[event.plan_index], event.customer_gateway_count, now_ms, self.started_ms
            )
        self.customers[event.customer_id] = customer  # at the end of the order of last requests
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
        if (
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

        No other method refuses or fails a request.
        """
        if not request.is_open or request.streaming:
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
        request_id, request.is_open = request.arrival.request_id, False
        self.actions.append(
            api.Refuse(request_id, self._retry_after_ms(now_ms, request))
            if may_refuse
            else api.Fail(request_id)
        )
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
        # Timeouts are taken for lost answers, not for overload, if the other answers come quickly. Lost
        # answers are no sign of load and are worth a retry; the same holds for unreachable servers. The
        # drawback: in an overload where only one class times out, the retries add to it. A timeout after a
        # shorter wait than most answers need is evidence of neither.
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
        # Servers that reject requests are overloaded.
        no_rejections = self.last_rejection_ms < now_ms - LOAD_WINDOW_MS
        answers_are_fast = (
            len(answer_times_ms) > 3
            and answer_times_ms[len(answer_times_ms) * 3 // 4] < FAST_ANSWER_AIM_FRACTION * tightest_aim_ms
        )
        was_heavy_loss, self.heavy_answer_loss = (
            self.heavy_answer_loss,
            no_rejections and many_lost and answers_are_fast,
        )
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
        weighted_both_lanes = sorted(weighted_by_lane[0] + weighted_by_lane[1])
        if weighted_both_lanes:
            self.fleet.mean_latency_ms = max(1.0, latency.weighted_mean_ms(weighted_both_lanes))
        if len(observed) < MIN_OBSERVATION_COUNT or not weighted_by_lane[0]:
            return
        light_latency_ms = [
            self._update_light_load_latency(index, lane) for index, lane in enumerate(weighted_by_lane)
        ]
        # In the queueing model, the mean latency is the light-load latency divided by (1 - utilization).
        utilization = (
            1.0 - self._update_light_load_latency(2, weighted_both_lanes) / self.fleet.mean_latency_ms
        )
        arrival_counts = [
            sum(1 for _, lane, _ in self.admitted_arrivals if lane == index) for index in (0, 1)
        ]
        work_by_lane = [arrival_counts[index] * light_latency_ms[index] for index in (0, 1)]
        if utilization <= 0 or sum(work_by_lane) <= 0 or light_latency_ms[0] <= 0:
            return
        rho = [utilization * lane_work / sum(work_by_lane) for lane_work in work_by_lane]
        # The first feasible pair is the one for the highest floor of lane two.
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
        # Corrects the moving average for its start at 0, which would keep it and the caps low for seconds.
        averaged_fraction = 1.0 - math.exp((self.first_arrival_ms - now_ms) / LOAD_WINDOW_MS)
        # The model holds utilization / (1 - utilization) requests on average. Its thresholds are scaled by
        # the ratio of the requests that really occupy slots to these.
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
                    f"lane caps set to {lane_caps[0]:.1f} (lane one) and {lane_caps[1]:.1f} (lane two) "
                    f"requests at back-end utilization {utilization:.2f}"
                )
            )
        self.lane_caps = lane_caps
