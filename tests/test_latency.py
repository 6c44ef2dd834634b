"""Latencies with attempts that were given up: what they tell, and what they must not."""

from __future__ import annotations

import random

import pytest
from helpers import Rig, kinds, sends

from ironstage import latency

SAFE = 0


def test_without_short_waits_it_is_the_plain_list() -> None:
    ended = [(float(n), True) for n in range(1, 20)] + [(100.0, False)]
    rows = latency.weighted(reversed(ended))
    assert [(elapsed, weight) for elapsed, weight, _ in rows] == [(elapsed, 1.0) for elapsed, _ in ended]
    assert latency.mean(rows) == pytest.approx(sum(elapsed for elapsed, _ in ended) / len(ended))
    assert latency.tenth(rows) == 3.0  # two in twenty are below it


def test_short_waits_do_not_make_a_slow_back_end_look_fast() -> None:
    """join+mass seed 1, 10 to 12.5 s: half of the time-outs after 99 ms; read as answers they hid a jam."""
    rng = random.Random(7)
    ended = []
    for _ in range(4000):
        took, wait = rng.expovariate(1 / 400.0), rng.choice((60.0, 150.0, 2000.0))
        ended.append((min(took, wait), took <= wait))
    rows = latency.weighted(ended)
    plain = sum(elapsed for elapsed, _ in ended) / len(ended)
    assert plain < 220.0
    assert latency.mean(rows) == pytest.approx(400.0, rel=0.1)
    assert latency.tenth(rows) == pytest.approx(42.0, rel=0.2)  # 400 ln(10/9)
    assert sum(weight for _, weight, _ in rows) == pytest.approx(len(ended))


def test_chance_follows_the_wait() -> None:
    chance = latency.Chance([(float(10 * n), True) for n in range(1, 101)])
    low, half, high = (chance.within(wait) for wait in (50.0, 500.0, 900.0))
    assert low < 0.12 and half == pytest.approx(0.5, abs=0.05) and high > 0.88


def test_chance_is_not_judged_beyond_what_was_waited_for() -> None:
    """All clients wait for little: of one that waits for long no attempt has told anything against it."""
    chance = latency.Chance([(50.0, True)] * 10 + [(100.0, False)] * 10)
    assert chance.within(100.0) < 0.6
    assert chance.within(1000.0) > 0.99


def test_chance_before_evidence_is_whole_and_never_none() -> None:
    assert latency.Chance().within(1.0) == 1.0
    assert latency.Chance([(100.0, False)] * 5).within(10.0) > 0.3
    assert latency.Chance([(100.0, False)] * 500).within(10.0) > 0.0


def test_chance_is_one_at_most_whatever_the_rounding() -> None:
    """lbsim rough-1: weights added up to more than their number, and a power of that was no real number."""
    rng = random.Random(3)
    for _ in range(2000):
        ended = [(rng.expovariate(0.01), rng.random() < 0.7) for _ in range(rng.randrange(1, 40))]
        chance = latency.Chance([*ended, (1000.0, True)])
        for wait in (1.0, 100.0, 1000.0, 1234.5, 9999.0):
            assert 0.0 < chance.within(wait) <= 1.0


def fed(waits: list[float]) -> Rig:
    """A gateway whose class answers after 20 to 140 ms, evenly, to clients that wait so long."""
    rig = Rig(gateway_count=200)
    for step in range(60):
        now = 1.0 + 40.0 * step
        wait, took = waits[step % len(waits)], 20.0 + 2.0 * (step * 37 % 60)
        (sent,) = sends(rig.arrive(now, SAFE, deadline=wait))
        answered = took <= wait
        rig.done(now + 1.0, sent, "ok" if answered else "timeout", elapsed=min(took, wait), closed=True)
    rig.tick(2500.0)
    return rig


def test_a_pressed_lane_passes_those_who_wait_before_those_who_hardly_do() -> None:
    rig = fed([1000.0])
    rig.gateway.caps = (1.0, 1.0)
    passed = {40.0: 0, 1000.0: 0}
    for n in range(400):
        for wait in passed:
            rig.gateway.count = [0, 0]
            rig.gateway.rerun_ms = now = 2600.0 + n / 100.0
            passed[wait] += len(sends(rig.arrive(now, SAFE, deadline=wait)))
    assert passed[1000.0] >= 380
    assert passed[40.0] < 100


def test_an_open_lane_passes_short_waits_too() -> None:
    rig = fed([1000.0])
    assert rig.gateway.caps[0] == float("inf")
    assert all(sends(rig.arrive(2600.0 + n, SAFE, deadline=40.0)) for n in range(20))


def test_a_class_whose_clients_all_hardly_wait_is_not_shut() -> None:
    """Nor is what comes after them: their waits say nothing of longer ones."""
    rig = fed([40.0])
    rig.gateway.caps = (1.0, 1.0)
    passed = 0
    for n in range(400):
        rig.gateway.count = [0, 0]
        rig.gateway.rerun_ms = now = 2600.0 + n / 100.0
        passed += len(sends(rig.arrive(now, SAFE, deadline=40.0)))
    assert passed > 0
    rig.gateway.count = [0, 0]
    assert kinds(rig.arrive(2700.0, SAFE, deadline=1000.0)) == ["Send"]


def test_short_waits_are_no_lost_answers() -> None:
    """Else they count for nothing and each is tried again: half of all took a jam for lost answers."""
    rig = fed([1000.0, 40.0, 60.0])
    assert len(rig.gateway.window.given_up()) > 20
    assert not rig.gateway.lossy


def test_given_up_work_holds_its_slot_for_a_mean_latency_at_least() -> None:
    rig = fed([1000.0])
    usual, wait = rig.gateway.fleet.mean_ms, 10.0
    assert usual > 70.0
    (sent,) = sends(rig.arrive(2600.0, SAFE, deadline=wait))
    rig.done(2600.0 + wait, sent, "timeout", elapsed=wait, closed=True)
    out = rig.gateway.count[0]
    rig.tick(2600.0 + wait + usual - 1.0)
    assert rig.gateway.count[0] == out > 0
    rig.tick(2600.0 + wait + usual + 1.0)
    assert rig.gateway.count[0] == out - 1


def test_time_outs_of_a_jam_do_not_outstay_it() -> None:
    """join+mass seed 1, 17 to 25 s: a mean of 420 ms beside answers after 120, and caps that stayed low."""
    window = latency.Window(5000.0, 20000.0, 10)
    for n in range(9):
        window.add(latency.Ended(100.0 * n, SAFE, 700.0, False))
    for n in range(12):
        window.add(latency.Ended(6000.0 + 400.0 * n, SAFE, 100.0, True))
    window.trim(11000.0)
    assert not window.given_up() and len(window.answered()) == 12


def test_the_last_few_ends_are_held_however_old_up_to_a_bound() -> None:
    window = latency.Window(5000.0, 20000.0, 10)
    for n in range(30):
        window.add(latency.Ended(float(n), SAFE, 100.0, n % 2 == 0))
    window.trim(10000.0)
    assert len(window.ends) == 10
    window.trim(20025.0)
    assert [one.at for one in window.ends] == [25.0, 26.0, 27.0, 28.0, 29.0]


def test_what_is_out_tells_of_a_jam_before_its_time_out() -> None:
    rig = fed([1000.0])
    usual = rig.gateway.fleet.mean_ms
    for n in range(8):
        assert sends(rig.arrive(2600.0 + n, SAFE))
    rig.tick(3550.0)
    assert rig.gateway.fleet.mean_ms > 1.5 * usual


def test_one_attempt_that_is_past_its_time_tells_nothing_more() -> None:
    rig = fed([1000.0])
    usual = rig.gateway.fleet.mean_ms
    assert sends(rig.arrive(2600.0, SAFE))
    rig.tick(3601.0)
    rig.tick(4200.0)
    assert rig.gateway.fleet.mean_ms == pytest.approx(usual, rel=0.1)
