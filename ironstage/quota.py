"""Quotas: what a gateway knows of a customer's use, and whether the customer's quota admits a request.

A customer's requests are admitted with a probability, the admission share, which follows from its metered
use. Where the estimated level of its token bucket is high, requests are admitted regardless.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

from ironstage import interface as api

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
# With more than this fraction of the burst left, a client's late retry takes nothing that others need.
AMPLE_LEVEL_BURST_FRACTION = 0.5

INF = math.inf


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
