"""Latency statistics over a moving window, with unanswered attempts as censored observations.

`ironstage.policy` derives from them the lane caps, its caps on outstanding requests.

The latency of an attempt that timed out or is still outstanding is only known to exceed the time elapsed so
far. Counting that time as a latency biases the estimate low when clients have short deadlines: an overloaded
back end then looks fast, and its lane caps are lifted. The weight of a censored observation is therefore
redistributed to the right, to the observations that took longer (Kaplan-Meier estimate). Where every timeout
happens at the latency aim (`aimMs`), the result is the unweighted sample, with each timeout as a latency of
the aim.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

LOAD_WINDOW_MS = 5000.0  # holds some hundred ended attempts at tens of requests a second
# Attempts assumed to be answered in time before any observation, so that no class is ever shut out.
PRIOR_ANSWERED_COUNT = 3.0


class LatencyObservation(NamedTuple):
    """Elapsed time of one attempt, in milliseconds; censored if the attempt had no answer by `ended_ms`.

    For an attempt that is still outstanding, `ended_ms` is the time of the observation.
    """

    ended_ms: float
    class_index: int
    elapsed_ms: float
    answered: bool


def kaplan_meier_weights(observations: Iterable[tuple[float, bool]]) -> list[tuple[float, float, bool]]:
    """Weight the observations by redistributing the weight of censored ones to the right.

    Takes pairs (elapsed_ms, answered) in any order and returns (elapsed_ms, weight, answered) in ascending
    order of elapsed time. Censored observations are left out, except for one with the longest elapsed time,
    which has none to its right. The weights add up to the number of observations.
    """
    ordered = sorted((elapsed_ms, not answered) for elapsed_ms, answered in observations)
    weighted_observations, weight, last_index = [], 1.0, len(ordered) - 1
    for index, (elapsed_ms, censored) in enumerate(ordered):
        if censored and index < last_index:
            weight += weight / (last_index - index)
        else:
            weighted_observations.append((elapsed_ms, weight, not censored))
    return weighted_observations


def weighted_mean_ms(weighted_observations: list[tuple[float, float, bool]]) -> float:
    """Return the restricted mean of the latency in ms; 0 without observations.

    Latencies beyond the longest elapsed time count as that time, as nothing is known about them.
    """
    total_weight = sum(weight for _, weight, _ in weighted_observations)
    return (
        sum(elapsed_ms * weight for elapsed_ms, weight, _ in weighted_observations) / total_weight
        if total_weight
        else 0.0
    )


def weighted_p10_ms(weighted_observations: list[tuple[float, float, bool]]) -> float:
    """Return the 10th percentile of the latency in ms; 0 without observations."""
    target_weight, cumulative_weight = sum(weight for _, weight, _ in weighted_observations) / 10.0, 0.0
    for elapsed_ms, weight, _ in weighted_observations:
        cumulative_weight += weight
        if cumulative_weight > target_weight:
            return elapsed_ms
    return weighted_observations[-1][0] if weighted_observations else 0.0


class AnswerTimeDistribution:
    """Distribution of the time until an attempt of one class is answered.

    Estimated from pairs (elapsed_ms, answered) with Kaplan-Meier weights and `PRIOR_ANSWERED_COUNT`
    pseudo-observations that count as answered within any wait, which keeps every probability above 0.
    """

    def __init__(self, observations: Iterable[tuple[float, bool]] = ()) -> None:
        self._answer_times_ms: list[float] = []
        self._answered_fractions: list[float] = []  # cumulative, at the same index of `_answer_times_ms`
        self._longest_ms, total_weight, answered_weight = 0.0, PRIOR_ANSWERED_COUNT, PRIOR_ANSWERED_COUNT
        weighted_observations = kaplan_meier_weights(observations)
        total_weight += sum(weight for _, weight, _ in weighted_observations)
        for elapsed_ms, weight, answered in weighted_observations:
            self._longest_ms = elapsed_ms
            if answered:
                answered_weight += weight
                self._answer_times_ms.append(elapsed_ms)
                self._answered_fractions.append(answered_weight / total_weight)
        self._min_fraction = PRIOR_ANSWERED_COUNT / total_weight
        # By rounding, the answered weight can exceed the total, so the difference is clamped at 0.
        self._unanswered_fraction = max(0.0, 1.0 - answered_weight / total_weight)

    def probability_within(self, wait_ms: float) -> float:
        """Return the probability that an attempt is answered within `wait_ms`; 1 without observations.

        Beyond the longest observed time the distribution is extrapolated with a constant hazard rate, the
        mean rate up to that time, because attempts that are unanswered by then may still be answered later.
        """
        if wait_ms >= self._longest_ms:
            return (
                1.0 - self._unanswered_fraction ** (wait_ms / self._longest_ms)
                if self._longest_ms > 0
                else 1.0
            )
        index = bisect_right(self._answer_times_ms, wait_ms)
        return self._answered_fractions[index - 1] if index else self._min_fraction


class ObservationWindow:
    """Moving window of latency observations, in order of the time at which the attempts ended.

    Answered and censored observations expire together. If each kind had its own minimum count, the last few
    timeouts of an overload would stay long after it, next to current answers, and so would the lane caps that
    they caused.
    """

    def __init__(self, window_ms: float, max_age_ms: float, min_count: int, max_count: int) -> None:
        self._window_ms = window_ms
        self._max_age_ms = max_age_ms
        self._min_count = min_count  # observations kept beyond `window_ms`, up to `max_age_ms`
        self.observations: deque[LatencyObservation] = deque(maxlen=max_count)

    def add(self, observation: LatencyObservation) -> None:
        """Append an observation that ended no earlier than those in the window."""
        self.observations.append(observation)

    def trim(self, now_ms: float) -> None:
        """Remove expired observations, the oldest first.

        They expire after `window_ms`, or after `max_age_ms` while no more than `min_count` are left.
        """
        observations = self.observations
        while observations and observations[0].ended_ms < now_ms - (
            self._window_ms if len(observations) > self._min_count else self._max_age_ms
        ):
            observations.popleft()

    def answered_observations(self) -> list[LatencyObservation]:
        """Return the observations of attempts that were answered."""
        return [observation for observation in self.observations if observation.answered]

    def censored_observations(self) -> list[LatencyObservation]:
        """Return the observations of attempts that timed out."""
        return [observation for observation in self.observations if not observation.answered]
