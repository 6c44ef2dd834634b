"""Tests of the gateway's decisions without a network or simulator.

They cover retries and final answers, server health and choice, the slow start of cold servers, lane caps, and
a plan's ceiling and cap on concurrent attempts.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest
from helpers import (
    BASE_SETTINGS,
    CLASSES,
    ZONE_DEDUPLICATED_CLASS,
    GatewayFixture,
    action_names,
    make_server,
    send_actions,
)

from ironstage import fleet as fleet_module
from ironstage import interface as api
from ironstage import policy

# Class indexes: positions in `helpers.CLASSES`.
IDEMPOTENT, DEDUPLICATED, ZONE_DEDUPLICATED, AT_MOST_ONCE = range(4)


def test_request_is_refused_at_once_without_servers() -> None:
    fixture = GatewayFixture([])
    for class_index in range(4):
        assert action_names(fixture.submit_request(1.0, class_index)) == ["Refuse"]


def test_at_most_once_request_that_may_have_run_fails_without_retry() -> None:
    for status in ("timeout", "error", "reset", "cancelled"):
        fixture = GatewayFixture()
        (sent,) = send_actions(fixture.submit_request(1.0, AT_MOST_ONCE))
        assert action_names(fixture.end_attempt(100.0, sent, status)) == ["Fail"]


def test_at_most_once_request_is_retried_after_attempts_that_never_ran() -> None:
    fixture = GatewayFixture([make_server(1), make_server(2), make_server(3)])
    (sent,) = send_actions(fixture.submit_request(1.0, AT_MOST_ONCE))
    (retry,) = send_actions(fixture.end_attempt(20.0, sent, "rejected"))
    assert retry.server_id != sent.server_id
    (last_retry,) = send_actions(fixture.end_attempt(40.0, retry, "connect_failed", attempt_number=1))
    assert action_names(fixture.end_attempt(60.0, last_retry, "rejected", attempt_number=2)) == ["Refuse"]


def test_idempotent_request_is_retried_at_another_server_after_an_error() -> None:
    fixture = GatewayFixture()
    (sent,) = send_actions(fixture.submit_request(1.0, IDEMPOTENT))
    (retry,) = send_actions(fixture.end_attempt(20.0, sent, "error"))
    assert retry.server_id != sent.server_id


def test_zone_deduplicated_request_is_not_retried_in_another_zone_or_refused() -> None:
    fixture = GatewayFixture([make_server(1, 0), make_server(2, 1), make_server(3, 0)])
    (sent,) = send_actions(fixture.submit_request(1.0, ZONE_DEDUPLICATED))
    zone_of_server = {1: 0, 2: 1, 3: 0}
    actions = fixture.end_attempt(20.0, sent, "reset")
    assert all(
        zone_of_server[retry.server_id] == zone_of_server[sent.server_id] for retry in send_actions(actions)
    )
    assert "Refuse" not in action_names(actions)


def test_zone_deduplicated_request_fails_without_retry_after_its_window() -> None:
    fixture = GatewayFixture([make_server(1, 0)])
    (sent,) = send_actions(fixture.submit_request(1.0, ZONE_DEDUPLICATED, timeout_ms=9000.0))
    assert action_names(fixture.end_attempt(2002.0, sent, "error")) == ["Fail"]


def test_repeat_leaves_room_for_a_hold_up_before_the_end_of_its_window() -> None:
    """A repeat that is written 150 ms after the decision still reaches the servers within the window."""
    for now_ms, may_repeat in ((1851.0, True), (1851.1, False)):
        fixture = GatewayFixture([make_server(1, 0), make_server(2, 0)])
        (sent,) = send_actions(fixture.submit_request(1.0, ZONE_DEDUPLICATED, timeout_ms=9000.0))
        assert sent.write_by_ms == math.inf
        retries = send_actions(fixture.end_attempt(now_ms, sent, "error"))
        assert [retry.write_by_ms for retry in retries] == ([1851.0] if may_repeat else [])


@pytest.mark.parametrize(("now_ms", "final_answer"), [(1651.0, "Refuse"), (1651.1, "Fail")])
def test_client_is_advised_to_retry_only_within_the_window(now_ms: float, final_answer: str) -> None:
    """A refusal says that a retry is harmless: one at the advised time, 200 ms later, must be recognised."""
    # Guards against payments that a client's retry applies again, after the servers have forgotten the key.
    classes = [replace(ZONE_DEDUPLICATED_CLASS, dedup_scope=api.DedupScope.ALL)]
    fixture = GatewayFixture([make_server(1)], classes=tuple(classes), max_retry_after_ms=200)
    (sent,) = send_actions(fixture.submit_request(1.0, 0, timeout_ms=9000.0))
    actions = fixture.end_attempt(now_ms, sent, "timeout", elapsed_ms=now_ms - 1.0)
    assert action_names(actions) == [final_answer]


def submit_until_hedge_timer(**overrides: Any) -> tuple[GatewayFixture, api.Send, list[api.SetTimer]]:
    """Send a request at 1 ms whose window, of 2,000 ms, ends 1,000 ms before its aim."""
    overrides = {"second_copies": True, "may_cancel": True, **overrides}
    fixture = GatewayFixture([make_server(1, 0), make_server(2, 0), make_server(3, 1)], **overrides)
    actions = fixture.submit_request(1.0, ZONE_DEDUPLICATED, timeout_ms=9000.0)
    (sent,) = send_actions(actions)
    return fixture, sent, [action for action in actions if isinstance(action, api.SetTimer)]


def test_hedge_is_sent_just_before_the_last_moment_for_a_repeat() -> None:
    """An attempt that fails later could not be retried, and the client would get no answer."""
    fixture, sent, (timer,) = submit_until_hedge_timer()
    assert timer.delay_ms == 1800.0  # the window, less a hold-up of 150 ms and 50 ms for a connection
    (hedge,) = send_actions(fixture.gateway.handle(1801.0, api.TimerFired(timer.token)))
    assert {sent.server_id, hedge.server_id} in ({1, 2}, {3})  # in the zone of the first attempt
    assert hedge.server_id != sent.server_id and hedge.write_by_ms == 1851.0
    assert fixture.end_attempt(1900.0, sent, "error") == []  # the answer may still come from the hedge
    assert fixture.end_attempt(1901.0, hedge, "ok", attempt_number=1) == []
    assert fixture.gateway.requests == {}


def test_first_answer_cancels_the_other_attempt_of_a_hedged_request() -> None:
    fixture, sent, (timer,) = submit_until_hedge_timer()
    (hedge,) = send_actions(fixture.gateway.handle(1801.0, api.TimerFired(timer.token)))
    assert fixture.end_attempt(1810.0, hedge, "ok", attempt_number=1) == [api.Cancel(sent.request_id, 0)]


def test_no_hedge_timer_is_set_if_a_repeat_is_possible_to_the_end_or_never() -> None:
    assert submit_until_hedge_timer(second_copies=False)[2] == []
    for class_index in (IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE):  # the window is longer than the aim
        fixture = GatewayFixture(second_copies=True)
        assert "SetTimer" not in action_names(fixture.submit_request(1.0, class_index))


@pytest.mark.parametrize("obstacle", ["answered", "retried", "lane full", "too late", "none"])
def test_no_hedge_is_sent_if_it_is_needless_or_harmful(obstacle: str) -> None:
    fixture, sent, (timer,) = submit_until_hedge_timer()
    now_ms = 1801.0
    match obstacle:
        case "answered":
            fixture.end_attempt(1800.0, sent, "ok")
        case "retried":
            assert len(send_actions(fixture.end_attempt(1790.0, sent, "error"))) == 1
        case "lane full":
            fixture.gateway.lane_caps = (policy.INF, 0.5)
        case "too late":
            now_ms = 1851.1
    hedges = send_actions(fixture.gateway.handle(now_ms, api.TimerFired(timer.token)))
    assert len(hedges) == (1 if obstacle == "none" else 0)


def test_answer_to_a_hedge_is_no_latency_observation() -> None:
    """A server that recognises a repeat answers at once, which would make the back end look overloaded."""
    fixture, _, (timer,) = submit_until_hedge_timer()
    (hedge,) = send_actions(fixture.gateway.handle(1801.0, api.TimerFired(timer.token)))
    fixture.end_attempt(1803.0, hedge, "ok", attempt_number=1, elapsed_ms=2.0)
    assert not fixture.gateway.latency_window.answered_observations()


def test_no_hedge_is_sent_without_second_copies() -> None:
    fixture = GatewayFixture()
    (sent,) = send_actions(fixture.submit_request(1.0, IDEMPOTENT))
    for now_ms in range(50, 990, 50):
        assert not send_actions(fixture.fire_timer(float(now_ms)))
    assert "Cancel" not in action_names(fixture.end_attempt(995.0, sent, "ok"))


def test_at_most_one_hedge_is_sent_and_only_to_another_server() -> None:
    fixture = GatewayFixture(second_copies=True)
    (sent,) = send_actions(fixture.submit_request(1.0, DEDUPLICATED))
    hedges = [
        hedge for now_ms in range(50, 2000, 50) for hedge in send_actions(fixture.fire_timer(float(now_ms)))
    ]
    assert len(hedges) <= 1 and all(hedge.server_id != sent.server_id for hedge in hedges)


def test_request_gets_one_final_answer_when_several_events_end_it() -> None:
    fixture = GatewayFixture()
    (sent,) = send_actions(fixture.submit_request(1.0, IDEMPOTENT, timeout_ms=300.0))
    assert sent.attempt_deadline_ms <= 301.0
    assert action_names(fixture.end_attempt(301.0, sent, "timeout")) == ["Fail"]
    assert fixture.gateway.handle(301.0, api.RequestAbandoned(sent.request_id)) == []
    assert fixture.end_attempt(301.0, sent, "ok") == []


def test_abandoned_request_is_cancelled_and_gets_no_final_answer() -> None:
    fixture = GatewayFixture()
    (sent,) = send_actions(fixture.submit_request(1.0, IDEMPOTENT))
    assert action_names(fixture.gateway.handle(50.0, api.RequestAbandoned(sent.request_id))) == ["Cancel"]
    assert fixture.end_attempt(52.0, sent, "cancelled") == []
    assert fixture.gateway.requests == {}


def test_request_whose_attempt_was_not_sent_is_refused_without_retry() -> None:
    fixture = GatewayFixture()
    (sent,) = send_actions(fixture.submit_request(1.0, AT_MOST_ONCE))
    assert action_names(fixture.end_attempt(1.0, sent, "not_sent")) == ["Refuse"]


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_draining_or_gone_server_gets_no_requests(state: str) -> None:
    fixture = GatewayFixture()
    fixture.apply_server_list(5.0, make_server(1, state=state))
    for now_ms in range(10, 40):
        assert {sent.server_id for sent in send_actions(fixture.submit_request(float(now_ms)))} == {2}


def test_server_missing_from_a_full_list_gets_no_requests() -> None:
    fixture = GatewayFixture()
    fixture.apply_server_list(5.0, make_server(2), kind="full")
    assert all(
        sent.server_id == 2
        for now_ms in range(10, 30)
        for sent in send_actions(fixture.submit_request(float(now_ms)))
    )


def test_failed_list_keeps_the_previous_servers() -> None:
    fixture = GatewayFixture()
    fixture.apply_server_list(5.0, kind="failed")
    assert send_actions(fixture.submit_request(6.0))


def test_cold_server_gets_little_traffic_in_its_first_second() -> None:
    fixture = GatewayFixture([make_server(server_id) for server_id in range(1, 9)])
    cold_server_request_count, total_request_count = 0, 0
    for step in range(3000):
        now_ms = 10.0 * step + 1
        if step == 1500:
            fixture.apply_server_list(now_ms, make_server(1, started_ms=now_ms))
        for sent in send_actions(fixture.submit_request(now_ms)):
            total_request_count += step >= 1500 and now_ms < 16000.0
            cold_server_request_count += sent.server_id == 1 and step >= 1500 and now_ms < 16000.0
            fixture.end_attempt(now_ms + 5.0, sent, "ok", elapsed_ms=5.0)
    assert total_request_count > 50
    assert (
        cold_server_request_count
        <= total_request_count / 8 * BASE_SETTINGS.cold_from * BASE_SETTINGS.tip_multiple
    )


def make_fixture_with_ceiling(
    customer_gateway_count: int, **overrides: object
) -> tuple[GatewayFixture, api.Plan]:
    """Return a gateway whose plan has a ceiling, and the plan.

    `customer_gateway_count` is not used: the count that comes with each request divides the ceiling.
    """
    plan = api.Plan(rate=50, burst=100, ceiling_rate=8, ceiling_depth=12, ceiling_slack=1)
    return GatewayFixture(plans=(plan,), **overrides), plan


def test_gateway_keeps_to_its_part_of_the_ceiling_from_an_empty_bucket() -> None:
    fixture, plan = make_fixture_with_ceiling(2)
    sent_count = 0
    for step in range(2000):
        now_ms = 1.0 + step * 5
        for sent in send_actions(fixture.submit_request(now_ms, customer_gateway_count=2)):
            sent_count += 1
            fixture.end_attempt(now_ms + 2, sent, "ok", elapsed_ms=2.0)
        assert sent_count <= plan.ceiling_rate / 2 * (now_ms / 1000.0) + 1
    assert sent_count >= plan.ceiling_rate / 2 * 9


def test_parallel_cap_bounds_outstanding_attempts() -> None:
    fixture = GatewayFixture(plans=(api.Plan(rate=1000, burst=1000, parallel=3),))
    assert sum(len(send_actions(fixture.submit_request(1.0 + n))) for n in range(9)) == 3


def test_timeouts_count_as_latencies_when_most_servers_are_silent() -> None:
    """If most servers do not answer, they are overloaded, not lost.

    In incident if55596 every server became a suspect, so that no timeout counted and no lane cap was set.
    """
    fixture = GatewayFixture()
    for sent in [send_actions(fixture.submit_request(1.0 + n))[0] for n in range(30)]:
        fixture.end_attempt(1100.0, sent, "timeout", elapsed_ms=1000.0)
    assert fixture.gateway.fleet.mostly_suspect()
    assert fixture.gateway.latency_window.censored_observations()


def test_overload_sets_lane_caps_although_every_latency_is_long() -> None:
    """In incident if55596 the 10th percentile of the latency grew with the overload.

    The utilization then looked low, and no lane cap was set.
    """
    fixture = GatewayFixture()
    for step in range(700):
        now_ms = 10.0 * step + 1
        elapsed_ms = 60.0 + 60.0 * (step % 4) if step < 200 else 900.0
        for sent in send_actions(fixture.submit_request(now_ms)):
            fixture.gateway.occupied_slots[0] += 1  # as if the attempt were outstanding for its latency
            fixture.end_attempt(now_ms + 1, sent, "ok", elapsed_ms=elapsed_ms)
            fixture.gateway.occupied_slots[0] -= 1
        if step % 5 == 0:
            fixture.gateway.mean_occupied_slots = [9.0, 0.0]
            fixture.fire_timer(now_ms)
    assert fixture.gateway.lane_caps[0] < float("inf")


def test_silent_server_is_avoided_until_its_trial() -> None:
    """Where a gateway sends a server one attempt a minute, only a timeout shows that it has vanished."""
    fixture = GatewayFixture([make_server(server_id) for server_id in range(1, 5)])
    (timed_out_attempt,) = send_actions(fixture.submit_request(1.0))
    fixture.end_attempt(1001.0, timed_out_attempt, "timeout", elapsed_ms=1000.0)
    for now_ms in range(1010, 1900, 10):
        (sent,) = send_actions(fixture.submit_request(float(now_ms)))
        assert sent.server_id != timed_out_attempt.server_id
        fixture.end_attempt(now_ms + 5.0, sent, "ok", elapsed_ms=5.0)
    chosen_ids = set()
    for now_ms in range(2100, 3000, 10):
        (sent,) = send_actions(fixture.submit_request(float(now_ms)))
        chosen_ids.add(sent.server_id)
        fixture.end_attempt(now_ms + 5.0, sent, "ok", elapsed_ms=5.0)
    assert timed_out_attempt.server_id in chosen_ids


def make_fixture_with_lost_answers(answer_time_ms: float) -> GatewayFixture:
    """Return a gateway that has sent requests for 8 s.

    One attempt in four timed out after 1 s; the others were answered after `answer_time_ms`.
    """
    fixture = GatewayFixture([make_server(server_id) for server_id in range(1, 9)])
    for step in range(80):
        now_ms = 1.0 + 100.0 * step
        for sent in send_actions(fixture.submit_request(now_ms)):
            status, elapsed_ms = ("timeout", 1000.0) if step % 4 == 0 else ("ok", answer_time_ms)
            fixture.end_attempt(now_ms + 50.0, sent, status, elapsed_ms=elapsed_ms, request_closed=True)
    return fixture


def test_lost_answers_shorten_repeatable_attempts_but_an_overload_does_not() -> None:
    """While answers get lost, an attempt that may be repeated times out early enough for a retry.

    Seen in a load test where servers worked and answered, but a quarter of the answers was lost.
    """
    fixture = make_fixture_with_lost_answers(100.0)
    (idempotent_attempt,) = send_actions(fixture.submit_request(8100.0, IDEMPOTENT))
    assert idempotent_attempt.attempt_deadline_ms < 8100.0 + 600.0
    (at_most_once_attempt,) = send_actions(fixture.submit_request(8110.0, AT_MOST_ONCE))
    assert at_most_once_attempt.attempt_deadline_ms > 8110.0 + 1400.0
    (overload_attempt,) = send_actions(
        make_fixture_with_lost_answers(800.0).submit_request(8100.0, IDEMPOTENT)
    ) or [None]
    assert overload_attempt is None or overload_attempt.attempt_deadline_ms > 8100.0 + 900.0


def test_no_timer_is_set_by_a_request_its_answer_or_a_server_list() -> None:
    """An idle gateway must use no CPU time.

    In incident i724dc8 hundreds of gateways went through all servers on a periodic timer and were stopped
    for their CPU use.
    """
    fixture = GatewayFixture([make_server(server_id) for server_id in range(1, 50)])
    (sent,) = send_actions(actions := fixture.submit_request(2.0))
    actions += fixture.apply_server_list(3.0, make_server(1)) + fixture.end_attempt(30.0, sent, "ok")
    assert "SetTimer" not in action_names(actions)


def test_many_gateways_together_send_a_cold_server_the_flow_that_is_due() -> None:
    """Each of many gateways gains less than one slow start token while a zone is cold.

    When all of them started without tokens, the zone got no requests.
    """
    fixtures = [
        GatewayFixture([make_server(server_id) for server_id in range(1, 41)], gateway_count=200)
        for _ in range(60)
    ]
    for seed, fixture in enumerate(fixtures):
        fixture.gateway.rng.seed(seed)
        for now_ms in range(0, 5000, 500):
            fixture.end_attempt(
                now_ms + 9.0,
                send_actions(fixture.submit_request(float(now_ms + 1)))[0],
                "ok",
                elapsed_ms=8.0,
            )
        fixture.apply_server_list(5000.0, make_server(1, started_ms=5000.0))
    cold_server_request_count = sum(
        sent.server_id == 1
        for fixture in fixtures
        for now_ms in range(5010, 15000, 500)
        for sent in send_actions(fixture.submit_request(float(now_ms)))
    )
    # A warm server gets one in 40 of the 20 requests that each of the 60 gateways sends.
    warm_server_request_count = 60 * 20 / 40
    assert 0.2 * warm_server_request_count < cold_server_request_count < warm_server_request_count


def test_cold_half_of_the_fleet_gets_its_warm_fraction_of_the_warm_flow() -> None:
    """Cold servers that get too little overload the warm ones.

    In a load test, the cold servers of one zone were idle for seconds, while the servers of the other zone
    were overloaded until requests timed out.
    """
    servers = [
        make_server(server_id, started_ms=1.0 if server_id > 20 else 0.0) for server_id in range(1, 41)
    ]
    fixtures = [GatewayFixture(servers, gateway_count=60) for _ in range(60)]
    cold_request_count = warm_request_count = 0
    for seed, fixture in enumerate(fixtures):
        fixture.gateway.rng.seed(seed)
        for now_ms in range(100, 9000, 100):
            for sent in send_actions(fixture.submit_request(float(now_ms))):
                fixture.end_attempt(now_ms + 90.0, sent, "ok", elapsed_ms=90.0)
                cold_request_count, warm_request_count = (
                    cold_request_count + (now_ms > 4000 and sent.server_id > 20),
                    warm_request_count + (now_ms > 4000 and sent.server_id <= 20),
                )
    warm_fraction = fixture.gateway.fleet.warm_fraction(fixture.gateway.fleet.servers[40], 6500.0)
    assert 0.9 * warm_fraction < cold_request_count / warm_request_count < 1.4 * warm_fraction


def test_cold_rule_bounds_the_flow_to_cold_servers_if_hardly_any_is_warm() -> None:
    fixture = GatewayFixture([make_server(n, started_ms=100.0 if n > 1 else 0.0) for n in range(1, 41)])
    chosen_ids = [
        sent.server_id for n in range(400) for sent in send_actions(fixture.submit_request(100.0 + 10.0 * n))
    ]
    mean_requests_per_server, max_flow_factor = (
        len(chosen_ids) / 40,
        fleet_module.COLD_RULE_BOUND_FRACTION * BASE_SETTINGS.tip_multiple,
    )
    warm_fraction = fixture.gateway.fleet.warm_fraction(fixture.gateway.fleet.servers[40], 4100.0)
    # Each cold server starts with a random part of a slow start token, half of one on average.
    initial_tokens = 39 * 0.5
    assert (
        sum(server_id > 1 for server_id in chosen_ids) - initial_tokens
        < 39 * mean_requests_per_server * max_flow_factor * warm_fraction
    )


def test_wholly_cold_fleet_gets_some_of_the_requests() -> None:
    fixture = GatewayFixture([make_server(n, started_ms=100.0) for n in range(1, 11)])
    sent_by_request = [send_actions(fixture.submit_request(100.0 + 50.0 * n)) for n in range(100)]
    assert 5 < sum(1 for sent in sent_by_request if sent) < 80


def test_zone_with_nothing_but_failures_is_avoided_except_for_trials() -> None:
    """Each of many gateways sends too little to try every server of a lost zone."""
    fixture = GatewayFixture([make_server(n, zone=n % 2) for n in range(1, 21)])
    for now_ms in range(10, 400, 10):
        for sent in send_actions(fixture.submit_request(float(now_ms))):
            status = "connect_failed" if sent.server_id % 2 else "ok"
            for retry in send_actions(fixture.end_attempt(now_ms + 2.0, sent, status)):
                fixture.end_attempt(
                    now_ms + 4.0,
                    retry,
                    "connect_failed" if retry.server_id % 2 else "ok",
                    attempt_number=1,
                )
    chosen_zones = [send_actions(fixture.submit_request(500.0 + n))[0].server_id % 2 for n in range(20)]
    assert sum(chosen_zones) == 0
    assert any(send_actions(fixture.submit_request(2500.0 + n))[0].server_id % 2 for n in range(30))


def test_server_without_a_recent_load_report_is_not_taken_for_idle() -> None:
    """Servers without a recent report were taken for idle, so the mean load is assumed for them."""
    fixture = GatewayFixture(
        [make_server(server_id) for server_id in range(1, 4)],
        report_fields=("inflight",),
        gateway_count=300,
    )
    fleet = fixture.gateway.fleet
    for now_ms in range(1, 40):
        fleet.record_load_report(float(now_ms), 1, (9.0,))
        fleet.record_load_report(float(now_ms), 2, (2.0,))
    low_load_cost, high_load_cost, no_report_cost = (
        fleet.selection_cost(fleet.servers[server_id], 50.0) for server_id in (2, 1, 3)
    )
    assert low_load_cost < no_report_cost < high_load_cost
    assert fleet.selection_cost(fleet.servers[1], 60000.0) == fleet.selection_cost(fleet.servers[3], 60000.0)


def test_server_that_fails_at_once_gets_few_requests_and_can_recover() -> None:
    """A server that fails at once always has the least outstanding requests and would draw all traffic.

    Single errors, such as damaged answers, must not exclude a server, and a server that recovers must get
    requests again.
    """
    fixture = GatewayFixture([make_server(server_id) for server_id in range(1, 5)])
    failed_count, is_broken = 0, True
    for step in range(2000):
        now_ms = 10.0 * step + 1
        is_broken = step < 1000
        for sent in send_actions(fixture.submit_request(now_ms, AT_MOST_ONCE)):
            at_broken_server = is_broken and sent.server_id == 1
            failed_count += at_broken_server
            fixture.end_attempt(
                now_ms + 1.0,
                sent,
                "error" if at_broken_server or step % 50 == 0 else "ok",
                elapsed_ms=1.0,
            )
    assert failed_count < 20
    assert not fixture.gateway.fleet.suspects


@pytest.mark.parametrize(("timeout_count", "late_answer_count"), [(0, 0), (4, 0), (4, 8)])
def test_light_answer_loss_shortens_repeatable_attempts_if_no_answer_is_late(
    timeout_count: int, late_answer_count: int
) -> None:
    """Where some answers get lost, an attempt that may be repeated times out early enough for a retry.

    Late answers are a sign of load; retries would add to it.
    """
    fixture = GatewayFixture([make_server(server_id) for server_id in range(1, 5)])
    for step in range(100):
        now_ms = 10.0 * step + 1
        [sent] = send_actions(fixture.submit_request(now_ms, AT_MOST_ONCE))
        elapsed_ms = 900.0 if step < late_answer_count else 20.0
        status = "timeout" if step >= 100 - timeout_count else "ok"
        fixture.end_attempt(now_ms + 5.0, sent, status, elapsed_ms=elapsed_ms)
    now_ms = 2000.0
    fixture.fire_timer(now_ms)
    attempt_timeouts_ms = {
        class_index: send_actions(fixture.submit_request(now_ms, class_index))[0].attempt_deadline_ms - now_ms
        for class_index in (IDEMPOTENT, AT_MOST_ONCE)
    }
    assert attempt_timeouts_ms[AT_MOST_ONCE] == CLASSES[AT_MOST_ONCE].aim_ms
    assert (attempt_timeouts_ms[IDEMPOTENT] < CLASSES[IDEMPOTENT].aim_ms) is (
        timeout_count > 0 and late_answer_count == 0
    )


def test_two_resets_make_a_server_suspect_and_one_does_not() -> None:
    """A single reset may concern only the connection."""
    fixture = GatewayFixture([make_server(1)])
    fleet = fixture.gateway.fleet
    for now_ms, suspect_count in ((10.0, 0), (20.0, 1)):
        [sent] = send_actions(fixture.submit_request(now_ms, AT_MOST_ONCE))
        fixture.end_attempt(now_ms + 1.0, sent, "reset", elapsed_ms=1.0)
        assert len(fleet.suspects) == suspect_count
    [trial] = send_actions(fixture.submit_request(2000.0, AT_MOST_ONCE))
    fixture.end_attempt(2001.0, trial, "ok", elapsed_ms=1.0)
    assert not fleet.suspects


def silent_server_attempt_times_ms(gateway_count: int, duration_s: int = 30) -> list[float]:
    """Return when one gateway of `gateway_count` sends attempts to a server that never answers.

    The first attempt is included; the later ones are trials.
    """
    fixture = GatewayFixture(
        [make_server(server_id) for server_id in range(1, 5)], gateway_count=gateway_count
    )
    attempt_times_ms = []
    for now_ms in range(100, duration_s * 1000, 100):
        for sent in send_actions(fixture.submit_request(float(now_ms))):
            is_silent = sent.server_id == 1
            attempt_times_ms += [float(now_ms)] * is_silent
            fixture.end_attempt(
                now_ms + 90.0, sent, "timeout" if is_silent else "ok", elapsed_ms=90.0, request_closed=True
            )
    return attempt_times_ms


def test_each_of_many_gateways_sends_a_suspect_fewer_trials_than_each_of_few() -> None:
    """If each of many gateways sends as many trials as each of few, the trials alone overload a server.

    In a load test, one trial from each gateway every few seconds kept slow servers overloaded.
    """
    few_gateways_times_ms, many_gateways_times_ms = (
        silent_server_attempt_times_ms(2),
        silent_server_attempt_times_ms(40),
    )
    assert len(few_gateways_times_ms) >= 5 and 2 <= len(many_gateways_times_ms) <= 3
    # The wait before the first trial does not grow, so a single late answer costs a server little traffic.
    assert many_gateways_times_ms[1] - many_gateways_times_ms[0] < 2500.0


def test_suspect_that_rejects_its_trial_stays_suspect() -> None:
    fixture = GatewayFixture([make_server(1), make_server(2)])
    fleet = fixture.gateway.fleet
    fleet.mark_suspect(fleet.servers[1], 0.0)
    first_trial_ms = fleet.servers[1].next_trial_ms
    trial = next(
        sent
        for now_ms in range(1500, 1700, 10)
        for sent in send_actions(fixture.submit_request(float(now_ms)))
        if sent.server_id == 1
    )
    fixture.end_attempt(1800.0, trial, "rejected")
    assert fleet.servers[1].suspect and fleet.servers[1].next_trial_ms > first_trial_ms


def test_recovered_suspect_brings_forward_the_trials_of_its_zone() -> None:
    fixture = GatewayFixture(
        [make_server(server_id, zone=server_id % 2) for server_id in range(1, 9)], gateway_count=40
    )
    fleet = fixture.gateway.fleet
    for _ in range(4):
        for server in fleet.ready_servers:
            fleet.mark_suspect(server, 0.0)
    fleet.clear_suspicion(fleet.servers[1], 5000.0)
    early_trial_ids = {
        server_id
        for server_id, server in fleet.servers.items()
        if server.next_trial_ms <= 5000.0 + 2 * fleet_module.TRIAL_BACKOFF_MS
    }
    assert early_trial_ids >= {3, 5, 7} and not early_trial_ids & {2, 4, 6, 8}


def test_trial_backoff_of_a_server_that_never_recovers_stays_bounded() -> None:
    """An unbounded power overflows a float, as 14**271 did.

    The exception ended the handling of an outstanding request, which never released its slot.
    """
    fleet = GatewayFixture([make_server(1)], gateway_count=200).gateway.fleet
    for _ in range(2000):
        fleet.mark_suspect(fleet.servers[1], 1000.0)
    max_backoff_ms = (
        fleet_module.TRIAL_BACKOFF_MS * fleet_module.TRIAL_BACKOFF_MAX_FACTOR * fleet.gateway_count_factor
    )
    assert (
        max_backoff_ms
        <= fleet.servers[1].next_trial_ms - 1000.0
        <= max_backoff_ms * (1 + fleet_module.MAX_JITTER_FRACTION)
    )


def capped_lane_occupancy(gateway_count: int) -> tuple[int, float]:
    """Return the most slots occupied in the first second, and the mean number after 20 s.

    The lane has a cap of 1, and requests arrive so fast that three would be outstanding at a time without it.
    """
    fixture, outstanding, slot_counts = GatewayFixture(gateway_count=gateway_count), [], []
    fixture.gateway.thresholds_updated_ms = policy.INF  # the lane caps are never updated
    fixture.gateway.lane_caps = (1.0, policy.INF)
    for now_ms in range(100, 60_000, 100):
        while outstanding and outstanding[0][0] <= now_ms:
            fixture.end_attempt(float(now_ms), outstanding.pop(0)[1], "ok", elapsed_ms=300.0)
        outstanding += [
            (now_ms + 300.0, sent) for sent in send_actions(fixture.submit_request(float(now_ms)))
        ]
        slot_counts.append(fixture.gateway.occupied_slots[0])
    return max(slot_counts[:10]), sum(slot_counts[200:]) / len(slot_counts[200:])


def test_many_gateways_keep_the_mean_occupancy_of_a_lane_near_its_cap() -> None:
    """The cap margins of many gateways can add up to more than their thresholds.

    In a load test with thresholds of 1.2 and 1.8, each of 198 gateways had two requests outstanding in each
    lane for a long time.
    """
    (few_gateways_max_slots, few_gateways_mean_slots), (many_gateways_max_slots, many_gateways_mean_slots) = (
        capped_lane_occupancy(4),
        capped_lane_occupancy(200),
    )
    assert few_gateways_max_slots >= 2 and many_gateways_max_slots >= 2
    assert few_gateways_mean_slots > 1.9 and many_gateways_mean_slots < 1.5


def test_first_attempts_rotate_among_avoided_servers_which_get_no_retries() -> None:
    """If all servers reject requests, the one whose avoidance ends first gets the first attempt.

    In a load test, a server that looked idle, but rejected every gateway's requests, got 2,142 of 3,651
    wasted attempts in a second.
    """
    fixture = GatewayFixture(
        [make_server(server_id) for server_id in range(1, 5)], gateway_count=200, max_attempts=5
    )
    attempted_ids: list[int] = []
    for now_ms in range(10, 4010, 100):
        actions = fixture.submit_request(float(now_ms))
        attempt_number = 0
        while sent := send_actions(actions):
            attempted_ids.append(sent[0].server_id)
            actions = fixture.end_attempt(now_ms + 1.0, sent[0], "rejected", attempt_number=attempt_number)
            attempt_number += 1
        assert action_names(actions) == ["Refuse"]
    assert (
        len(attempted_ids) == 4 + 39
        and max(attempted_ids.count(server_id) for server_id in range(1, 5)) < len(attempted_ids) / 2
    )


def test_timed_out_attempt_holds_its_slot_for_as_long_again_as_its_wait() -> None:
    """A server still works on attempts that timed out.

    In a load test, a server had ten requests by the gateways' counts, and as many more that had timed out and
    were no longer counted.
    """
    fixture = GatewayFixture()
    [sent] = send_actions(fixture.submit_request(0.0))
    fixture.end_attempt(1000.0, sent, "timeout", elapsed_ms=1000.0, request_closed=True)
    fixture.fire_timer(1999.0)
    assert fixture.gateway.occupied_slots[0] == 1
    fixture.fire_timer(2000.0)
    assert fixture.gateway.occupied_slots[0] == 0
    [sent] = send_actions(fixture.submit_request(2100.0))
    fixture.end_attempt(2200.0, sent, "ok", elapsed_ms=100.0)
    assert fixture.gateway.occupied_slots[0] == 0


def test_timeouts_are_not_taken_for_lost_answers_after_a_rejection() -> None:
    """Servers that reject requests are overloaded.

    In a load test, a third of the gateways took timeouts for lost answers and lifted their lane caps.
    """
    fixture = make_fixture_with_lost_answers(20.0)
    gateway = fixture.gateway
    assert gateway.heavy_answer_loss
    [sent] = send_actions(fixture.submit_request(8010.0))
    fixture.end_attempt(8011.0, sent, "rejected", elapsed_ms=1.0)
    fixture.fire_timer(8600.0)
    assert not gateway.heavy_answer_loss


def test_lane_headroom_has_its_full_margin_while_the_mean_is_below_the_cap() -> None:
    """A margin that shrinks before the mean count reaches the cap refuses requests without an overload.

    Seen in a load test without a fault, with a margin that shrank on the way to the cap.
    """
    gateway = GatewayFixture(gateway_count=200).gateway
    gateway.lane_caps, gateway.occupied_slots = (4.0, 4.0), [6, 6]
    gateway.mean_occupied_slots = [3.0, 4.5]
    assert gateway._lane_headroom(0) == pytest.approx(1.0)
    assert gateway._lane_headroom(1) < 0.0


def chosen_server_ids(request_interval_ms: float, server_count: int = 40) -> list[int]:
    """Return the servers to which one of 200 gateways sends 400 requests, one every `request_interval_ms`.

    Server 1 alone is slow.
    """
    fixture = GatewayFixture([make_server(n) for n in range(1, server_count + 1)], gateway_count=200)
    chosen_ids = []
    for n in range(400):
        now_ms = 100.0 + request_interval_ms * n
        for sent in send_actions(fixture.submit_request(now_ms, customer_id=n)):
            chosen_ids.append(sent.server_id)
            elapsed_ms = 5.0 if sent.server_id > 1 else 900.0
            fixture.end_attempt(now_ms + 5.0, sent, "ok", elapsed_ms=elapsed_ms)
    return chosen_ids


def test_sparse_traffic_prefers_servers_with_a_recent_prompt_answer() -> None:
    """Without this preference each gateway discovers every overloaded server anew, over a new connection.

    In a load test, 14,988 connections were opened for some 19,000 attempts, and each overload was discovered
    200 times.
    """
    sparse_ids, dense_ids = chosen_server_ids(250.0), chosen_server_ids(25.0)
    recent_repeat_counts = [
        sum(server_id in chosen_ids[max(0, index - 5) : index] for index, server_id in enumerate(chosen_ids))
        for chosen_ids in (sparse_ids, dense_ids)
    ]
    assert recent_repeat_counts[0] > 4 * recent_repeat_counts[1]
    assert sparse_ids.count(1) <= 400 / 40
    assert len(set(sparse_ids)) > 30  # the preference rotates
