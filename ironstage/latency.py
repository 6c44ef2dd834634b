"""Latencies of a moving window, where attempts that were given up say only that they would take longer.

A given-up attempt is a censored observation. Booked as an answer after its wait it reads as a quick one when
clients wait for little: a jammed back end then looks fast, and its lanes open. So its weight passes to what
took longer (Kaplan and Meier's estimate, redistributed to the right). Where all waits end at the aim this is
the plain list, time-outs at the aim.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

PRIOR = 3.0  # attempts taken to be answered in time before any were seen, so that a class never shuts


class Ended(NamedTuple):
    """An attempt's end: when, of which class, how long it took and whether an answer came."""

    at: float
    cls: int
    elapsed: float
    answered: bool


def weighted(ended: Iterable[tuple[float, bool]]) -> list[tuple[float, float, bool]]:
    """(elapsed, weight, answered), the shortest first; the weights add up to the number of attempts."""
    rows = sorted((elapsed, not answered) for elapsed, answered in ended)
    result, each, last = [], 1.0, len(rows) - 1
    for index, (elapsed, given_up) in enumerate(rows):
        if given_up and index < last:
            each += each / (last - index)
        else:
            result.append((elapsed, each, not given_up))
    return result


def mean(rows: list[tuple[float, float, bool]]) -> float:
    """Of the latencies up to the longest wait; 0 where there is none."""
    total = sum(weight for _, weight, _ in rows)
    return sum(elapsed * weight for elapsed, weight, _ in rows) / total if total else 0.0


def tenth(rows: list[tuple[float, float, bool]]) -> float:
    """The 10th percentile."""
    bound, seen = sum(weight for _, weight, _ in rows) / 10.0, 0.0
    for elapsed, weight, _ in rows:
        seen += weight
        if seen > bound:
            return elapsed
    return rows[-1][0] if rows else 0.0


class Chance:
    """The chance that an attempt of one class is answered within a wait."""

    def __init__(self, ended: Iterable[tuple[float, bool]] = ()) -> None:
        self._times: list[float] = []
        self._within: list[float] = []
        self._last, total, done = 0.0, PRIOR, PRIOR
        rows = weighted(ended)
        total += sum(weight for _, weight, _ in rows)
        for elapsed, weight, answered in rows:
            self._last = elapsed
            if answered:
                done += weight
                self._times.append(elapsed)
                self._within.append(done / total)
        self._least = PRIOR / total
        self._beyond = max(0.0, 1.0 - done / total)  # sums of parts may pass their whole by a rounding

    def within(self, wait: float) -> float:
        """Past the longest that was seen at the rate up to there: what is out may still be answered."""
        if wait >= self._last:
            return 1.0 - self._beyond ** (wait / self._last) if self._last > 0 else 1.0
        index = bisect_right(self._times, wait)
        return self._within[index - 1] if index else self._least


class Window:
    """The ends of attempts, for as long as they tell of now.

    Answers and time-outs leave together: kept apart, the last few time-outs of a jam would outstay it by far
    beside the answers of now, and with them the caps that they brought.
    """

    def __init__(self, window_ms: float, oldest_ms: float, fewest: int) -> None:
        self._window_ms = window_ms
        self._oldest_ms = oldest_ms
        self._fewest = fewest  # held however old, up to `oldest_ms`
        self.ends: deque[Ended] = deque()

    def add(self, ended: Ended) -> None:
        self.ends.append(ended)

    def trim(self, now: float) -> None:
        ends = self.ends
        while ends and ends[0].at < now - (self._window_ms if len(ends) > self._fewest else self._oldest_ms):
            ends.popleft()

    def answered(self) -> list[Ended]:
        return [one for one in self.ends if one.answered]

    def given_up(self) -> list[Ended]:
        return [one for one in self.ends if not one.answered]
