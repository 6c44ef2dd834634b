"""The threshold search of de Waal's report BS-R9025 (Section 3, Algorithms 3.8 and 3.9).

It finds the caps M1 and M2 on the outstanding requests of two lanes that share a processor. Numbers in
parentheses are those of the report's equations.
"""

from __future__ import annotations

import math

MAX_SEARCH_THRESHOLD = 96  # largest value of either threshold; bounds the search (about 5 ms in CPython)

INF = math.inf


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
