"""Tests of the latency estimates with censored observations, and of how the gateway uses them."""

from __future__ import annotations

import random

import pytest
from helpers import GatewayFixture, action_names, send_actions

from ironstage import latency

IDEMPOTENT = 0  # class index: position in `helpers.CLASSES`


def test_weights_are_one_when_only_the_longest_observation_is_censored() -> None:
    observations = [(float(n), True) for n in range(1, 20)] + [(100.0, False)]
    weighted = latency.kaplan_meier_weights(reversed(observations))
    assert [(elapsed_ms, weight) for elapsed_ms, weight, _ in weighted] == [
        (elapsed_ms, 1.0) for elapsed_ms, _ in observations
    ]
    assert latency.weighted_mean_ms(weighted) == pytest.approx(
        sum(elapsed_ms for elapsed_ms, _ in observations) / len(observations)
    )
    assert latency.weighted_p10_ms(weighted) == 3.0  # two of the twenty observations are below it


def test_short_deadlines_do_not_bias_the_latency_estimate_low() -> None:
    """Timeouts after short waits, counted as answers, hide an overload.

    Seen from 10 to 12.5 s of a load test, where half of the timeouts came after 99 ms.
    """
    rng = random.Random(7)
    observations = []
    for _ in range(4000):
        answer_time_ms, wait_ms = rng.expovariate(1 / 400.0), rng.choice((60.0, 150.0, 2000.0))
        observations.append((min(answer_time_ms, wait_ms), answer_time_ms <= wait_ms))
    weighted = latency.kaplan_meier_weights(observations)
    unweighted_mean_ms = sum(elapsed_ms for elapsed_ms, _ in observations) / len(observations)
    assert unweighted_mean_ms < 220.0
    assert latency.weighted_mean_ms(weighted) == pytest.approx(400.0, rel=0.1)
    assert latency.weighted_p10_ms(weighted) == pytest.approx(42.0, rel=0.2)  # 400 ln(10/9)
    assert sum(weight for _, weight, _ in weighted) == pytest.approx(len(observations))


def test_answer_probability_follows_the_observed_distribution() -> None:
    distribution = latency.AnswerTimeDistribution([(float(10 * n), True) for n in range(1, 101)])
    low_probability, median_probability, high_probability = (
        distribution.probability_within(wait_ms) for wait_ms in (50.0, 500.0, 900.0)
    )
    assert (
        low_probability < 0.12
        and median_probability == pytest.approx(0.5, abs=0.05)
        and high_probability > 0.88
    )


def test_answer_probability_rises_beyond_the_longest_observed_wait() -> None:
    """Short waits alone are no evidence that a much longer wait would also time out."""
    distribution = latency.AnswerTimeDistribution([(50.0, True)] * 10 + [(100.0, False)] * 10)
    assert distribution.probability_within(100.0) < 0.6
    assert distribution.probability_within(1000.0) > 0.99


def test_answer_probability_is_one_without_observations_and_never_zero() -> None:
    assert latency.AnswerTimeDistribution().probability_within(1.0) == 1.0
    assert latency.AnswerTimeDistribution([(100.0, False)] * 5).probability_within(10.0) > 0.3
    assert latency.AnswerTimeDistribution([(100.0, False)] * 500).probability_within(10.0) > 0.0


def test_rounding_does_not_push_answer_probability_above_one() -> None:
    """Rounded weights can add up to more than the count of observations.

    The unanswered fraction was then negative, and a power of it was not a real number.
    """
    rng = random.Random(3)
    for _ in range(2000):
        observations = [(rng.expovariate(0.01), rng.random() < 0.7) for _ in range(rng.randrange(1, 40))]
        distribution = latency.AnswerTimeDistribution([*observations, (1000.0, True)])
        for wait_ms in (1.0, 100.0, 1000.0, 1234.5, 9999.0):
            assert 0.0 < distribution.probability_within(wait_ms) <= 1.0


def make_fixture_with_latency_history(waits_ms: list[float]) -> GatewayFixture:
    """Return a gateway that has sent 60 idempotent requests to a healthy back end.

    The back end's latencies are spread evenly over 20 to 140 ms. The clients' waits cycle through `waits_ms`;
    a request whose latency exceeds its wait times out.
    """
    fixture = GatewayFixture(gateway_count=200)
    for step in range(60):
        now_ms = 1.0 + 40.0 * step
        wait_ms, answer_time_ms = waits_ms[step % len(waits_ms)], 20.0 + 2.0 * (step * 37 % 60)
        (sent,) = send_actions(fixture.submit_request(now_ms, IDEMPOTENT, timeout_ms=wait_ms))
        answered = answer_time_ms <= wait_ms
        fixture.end_attempt(
            now_ms + 1.0,
            sent,
            "ok" if answered else "timeout",
            elapsed_ms=min(answer_time_ms, wait_ms),
            request_closed=True,
        )
    fixture.fire_timer(2500.0)
    return fixture


def test_capped_lane_prefers_requests_with_long_deadlines() -> None:
    fixture = make_fixture_with_latency_history([1000.0])
    fixture.gateway.lane_caps = (1.0, 1.0)
    admitted_counts = {40.0: 0, 1000.0: 0}
    for n in range(400):
        for wait_ms in admitted_counts:
            fixture.gateway.occupied_slots = [0, 0]
            fixture.gateway.thresholds_updated_ms = now_ms = 2600.0 + n / 100.0
            admitted_counts[wait_ms] += len(
                send_actions(fixture.submit_request(now_ms, IDEMPOTENT, timeout_ms=wait_ms))
            )
    assert admitted_counts[1000.0] >= 380
    assert admitted_counts[40.0] < 100


def test_uncapped_lane_admits_requests_with_short_deadlines() -> None:
    fixture = make_fixture_with_latency_history([1000.0])
    assert fixture.gateway.lane_caps[0] == float("inf")
    assert all(
        send_actions(fixture.submit_request(2600.0 + n, IDEMPOTENT, timeout_ms=40.0)) for n in range(20)
    )


def test_capped_lane_still_admits_a_class_with_only_short_deadlines() -> None:
    """A later request with a long deadline is admitted too: short waits are no evidence about longer ones."""
    fixture = make_fixture_with_latency_history([40.0])
    fixture.gateway.lane_caps = (1.0, 1.0)
    admitted_count = 0
    for n in range(400):
        fixture.gateway.occupied_slots = [0, 0]
        fixture.gateway.thresholds_updated_ms = now_ms = 2600.0 + n / 100.0
        admitted_count += len(send_actions(fixture.submit_request(now_ms, IDEMPOTENT, timeout_ms=40.0)))
    assert admitted_count > 0
    fixture.gateway.occupied_slots = [0, 0]
    assert action_names(fixture.submit_request(2700.0, IDEMPOTENT, timeout_ms=1000.0)) == ["Send"]


def test_timeouts_of_short_deadlines_are_not_taken_for_lost_answers() -> None:
    """Lost answers are left out of the load estimate and retried, which is wrong for short deadlines.

    Half of all gateways took an overload for lost answers.
    """
    fixture = make_fixture_with_latency_history([1000.0, 40.0, 60.0])
    assert len(fixture.gateway.latency_window.censored_observations()) > 20
    assert not fixture.gateway.heavy_answer_loss


def test_timed_out_attempt_holds_its_slot_for_at_least_the_mean_latency() -> None:
    fixture = make_fixture_with_latency_history([1000.0])
    mean_latency_ms, wait_ms = fixture.gateway.fleet.mean_latency_ms, 10.0
    assert mean_latency_ms > 70.0
    (sent,) = send_actions(fixture.submit_request(2600.0, IDEMPOTENT, timeout_ms=wait_ms))
    fixture.end_attempt(2600.0 + wait_ms, sent, "timeout", elapsed_ms=wait_ms, request_closed=True)
    occupied_slot_count = fixture.gateway.occupied_slots[0]
    fixture.fire_timer(2600.0 + wait_ms + mean_latency_ms - 1.0)
    assert fixture.gateway.occupied_slots[0] == occupied_slot_count > 0
    fixture.fire_timer(2600.0 + wait_ms + mean_latency_ms + 1.0)
    assert fixture.gateway.occupied_slots[0] == occupied_slot_count - 1


def test_timeouts_of_an_overload_expire_once_enough_answers_follow() -> None:
    """Timeouts kept longer than answers raise the mean latency after an overload and keep the lane caps low.

    Seen from 17 to 25 s of a load test: a mean of 420 ms while answers took 120 ms.
    """
    window = latency.ObservationWindow(5000.0, 20000.0, 10, 100)
    for n in range(9):
        window.add(latency.LatencyObservation(100.0 * n, IDEMPOTENT, 700.0, False))
    for n in range(12):
        window.add(latency.LatencyObservation(6000.0 + 400.0 * n, IDEMPOTENT, 100.0, True))
    window.trim(11000.0)
    assert not window.censored_observations() and len(window.answered_observations()) == 12


def test_window_keeps_its_minimum_count_up_to_the_maximum_age() -> None:
    window = latency.ObservationWindow(5000.0, 20000.0, 10, 100)
    for n in range(30):
        window.add(latency.LatencyObservation(float(n), IDEMPOTENT, 100.0, n % 2 == 0))
    window.trim(10000.0)
    assert len(window.observations) == 10
    window.trim(20025.0)
    assert [observation.ended_ms for observation in window.observations] == [25.0, 26.0, 27.0, 28.0, 29.0]


def test_outstanding_attempts_raise_the_mean_latency_before_they_time_out() -> None:
    fixture = make_fixture_with_latency_history([1000.0])
    mean_latency_ms = fixture.gateway.fleet.mean_latency_ms
    for n in range(8):
        assert send_actions(fixture.submit_request(2600.0 + n, IDEMPOTENT))
    fixture.fire_timer(3550.0)
    assert fixture.gateway.fleet.mean_latency_ms > 1.5 * mean_latency_ms


def test_attempt_past_its_deadline_does_not_change_the_mean_latency() -> None:
    fixture = make_fixture_with_latency_history([1000.0])
    mean_latency_ms = fixture.gateway.fleet.mean_latency_ms
    assert send_actions(fixture.submit_request(2600.0, IDEMPOTENT))
    fixture.fire_timer(3601.0)
    fixture.fire_timer(4200.0)
    assert fixture.gateway.fleet.mean_latency_ms == pytest.approx(mean_latency_ms, rel=0.1)
