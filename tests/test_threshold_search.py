"""The threshold search, compared with Table 1 of de Waal's report BS-R9025 and with a brute-force search.

Names and numbers of equations are those of the report. M1 and M2 are the thresholds of lanes one and two, T1
and T2 the lanes' throughputs, and S1 is the mean sojourn time in lane one.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from ironstage.threshold_search import MAX_SEARCH_THRESHOLD, j_sums, measures_at_m1_one, optimal_thresholds

# lambda1 (equal to rho1, as mu1 is 1 here) and the optimal M1 and M2.
TABLE_1 = [(0.80, 32, 5), (0.85, 23, 5), (0.90, 20, 5), (1.00, 18, 5), (1.20, 16, 5), (1.50, 15, 5)]


@pytest.mark.parametrize(("lambda1", "m1", "m2"), TABLE_1)
def test_optimal_thresholds_match_table_1(lambda1: float, m1: int, m2: int) -> None:
    assert optimal_thresholds(lambda1, 0.3, 20.0, 0.2 / 0.3) == (m1, m2)


def product_form_measures(rho1: float, rho2: float, m1: int, m2: int) -> tuple[float, float, float]:
    """Return T1 / lambda1, S1 mu1 and T2 / lambda2, summed over all states by (4) to (8)."""
    weights = {
        (n1, n2): math.comb(n1 + n2, n1) * rho1**n1 * rho2**n2 for n1 in range(m1 + 1) for n2 in range(m2 + 1)
    }
    total_weight = sum(weights.values())
    lane_one_fraction = sum(weight for (n1, _), weight in weights.items() if n1 < m1) / total_weight
    lane_two_fraction = sum(weight for (_, n2), weight in weights.items() if n2 < m2) / total_weight
    mean_lane_one_count = sum(n1 * weight for (n1, _), weight in weights.items()) / total_weight
    return (
        lane_one_fraction,
        (mean_lane_one_count / (rho1 * lane_one_fraction) if lane_one_fraction else math.inf),
        lane_two_fraction,
    )


@pytest.mark.parametrize("rho1", [0.2, 0.7, 1.1, 1.6])
@pytest.mark.parametrize("rho2", [0.1, 0.5, 1.2])
@pytest.mark.parametrize("max_sojourn", [2.0, 4.0])
@pytest.mark.parametrize("min_lane_two_fraction", [0.3, 0.6, 0.9])
def test_optimal_thresholds_are_as_good_as_those_of_a_brute_force_search(
    rho1: float, rho2: float, max_sojourn: float, min_lane_two_fraction: float
) -> None:
    thresholds = optimal_thresholds(rho1, rho2, max_sojourn, min_lane_two_fraction)
    best_lane_one_fraction = 0.0
    for m1 in range(1, 22):
        for m2 in range(22):
            lane_one_fraction, sojourn, lane_two_fraction = product_form_measures(rho1, rho2, m1, m2)
            if sojourn <= max_sojourn and lane_two_fraction >= min_lane_two_fraction:
                best_lane_one_fraction = max(best_lane_one_fraction, lane_one_fraction)
    if thresholds is None:
        assert best_lane_one_fraction == 0.0
        return
    finite_thresholds = [int(min(threshold, 60)) for threshold in thresholds]
    lane_one_fraction, sojourn, lane_two_fraction = product_form_measures(rho1, rho2, *finite_thresholds)
    assert lane_one_fraction >= best_lane_one_fraction - 1e-9
    assert sojourn <= max_sojourn + 1e-6 and lane_two_fraction >= min_lane_two_fraction - 1e-6


def test_thresholds_are_infinite_at_light_load() -> None:
    assert optimal_thresholds(0.2, 0.2, 2.0, 0.9) == (math.inf, math.inf)


def test_floor_of_all_lane_two_arrivals_uncaps_lane_two_or_is_infeasible() -> None:
    thresholds = optimal_thresholds(0.8, 0.3, 4.0, 1.0)
    assert thresholds is not None and thresholds[1] == math.inf and thresholds[0] < math.inf
    assert optimal_thresholds(0.8, 1.3, 4.0, 1.0) is None


def test_j_sums_are_the_limits_of_their_infinite_series() -> None:
    rho1, rho2, n = 0.5, 0.3, 4
    terms = [(i, j, math.comb(i + j, i) * rho1**i * rho2**j) for i in range(300) for j in range(n + 1)]
    expected = (
        sum(term for _, _, term in terms),
        sum(i * term for i, _, term in terms),
        sum(j * term for _, j, term in terms),
    )
    assert j_sums(n, rho1, rho2) == pytest.approx(expected)


def test_measures_at_m1_one_match_the_product_form() -> None:
    _, sojourn, lane_two_fraction = product_form_measures(0.7, 0.4, 1, 3)
    assert measures_at_m1_one(0.7, 0.4, 3) == pytest.approx((sojourn, lane_two_fraction))


def test_cost_of_the_threshold_search_is_bounded() -> None:
    """The cost is counted in executed lines, which do not depend on the speed of the machine."""
    executed_line_count = 0

    def count_line(frame: FrameType, event: str, arg: object) -> Callable[..., Any]:
        nonlocal executed_line_count
        executed_line_count += event == "line"
        return count_line

    previous_trace = sys.gettrace()
    sys.settrace(count_line)
    try:
        for rho in (0.5, 0.99, 1.5, 4.0):
            optimal_thresholds(rho, rho, MAX_SEARCH_THRESHOLD * 4.0, 0.5)
    finally:
        sys.settrace(previous_trace)
    assert 0 < executed_line_count < 400_000
