"""The memory account: its bound, the precedence of purposes, and relief."""

from __future__ import annotations

from ironstage.net.memory import Holding, MemoryAccount, Purpose, account_capacity_bytes

CAPACITY_BYTES = 1000


def test_incomplete_input_leaves_room_for_requests_and_responses() -> None:
    account = MemoryAccount(CAPACITY_BYTES)
    assert not account.reserve(601, Purpose.INCOMPLETE_INPUT)
    assert account.reserve(600, Purpose.INCOMPLETE_INPUT)
    assert not account.reserve(1, Purpose.INCOMPLETE_INPUT)
    assert account.reserve(200, Purpose.REQUEST)
    assert not account.reserve(1, Purpose.REQUEST)
    assert account.reserve(200, Purpose.RESPONSE)
    assert not account.reserve(1, Purpose.RESPONSE)
    account.release(1000)
    assert account.used_bytes == 0


def test_relief_makes_room_until_nothing_is_left_to_give_up() -> None:
    account = MemoryAccount(CAPACITY_BYTES)
    holdings = [Holding(account) for _ in range(3)]

    def give_up_one() -> bool:
        if not holdings:
            return False
        holdings.pop().release()
        return True

    account.add_relief(give_up_one)
    assert all(holding.resize(300, Purpose.RESPONSE) for holding in holdings)
    assert account.reserve(600, Purpose.RESPONSE)
    assert len(holdings) == 1
    assert not account.reserve(500, Purpose.RESPONSE)
    assert (account.used_bytes, holdings) == (600, [])


def test_holding_that_cannot_grow_stays_as_it_is() -> None:
    account = MemoryAccount(CAPACITY_BYTES)
    holding = Holding(account)
    assert holding.resize(700, Purpose.REQUEST)
    assert not holding.resize(900, Purpose.REQUEST)
    assert (holding.size_bytes, account.used_bytes) == (700, 700)
    assert holding.resize(100, Purpose.REQUEST)
    holding.release()
    holding.release()
    assert account.used_bytes == 0


def test_capacity_is_set_from_the_limit_and_never_vanishes() -> None:
    assert account_capacity_bytes(32 << 20, 24 << 20) < 8 << 20
    assert account_capacity_bytes(192 << 20, 24 << 20) > account_capacity_bytes(64 << 20, 24 << 20)
    assert account_capacity_bytes(20 << 20, 24 << 20) == 1 << 20
