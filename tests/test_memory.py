"""The memory account: its bound, the precedence of purposes, and relief."""

from __future__ import annotations

import pytest

from ironstage.net import memory
from ironstage.net.memory import Holding, MemoryAccount, MemoryBudget, Purpose

CAPACITY_BYTES = 1000


def test_each_purpose_leaves_room_for_those_that_go_before_it() -> None:
    account = MemoryAccount(CAPACITY_BYTES)
    assert not account.reserve(501, Purpose.INCOMPLETE_INPUT)
    for purpose, size_bytes in zip(Purpose, (500, 200, 100, 200), strict=True):
        assert account.reserve(size_bytes, purpose)
        assert not account.reserve(1, purpose)
    account.release(CAPACITY_BYTES)
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
    assert all(holding.resize(300, Purpose.DISCOVERY) for holding in holdings)
    assert account.reserve(600, Purpose.DISCOVERY)
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


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
def test_budget_keeps_to_the_memory_limit(memory_mb: int) -> None:
    """Also with the least memory, a third of 1,024 descriptors can hold connections of clients."""
    resident_bytes = 24 << 20
    budget = MemoryBudget.divide(memory_mb << 20, resident_bytes)
    held_bytes = (
        budget.max_client_connection_count * memory.CLIENT_CONNECTION_BYTES
        + budget.max_customer_count * memory.CUSTOMER_BYTES
        + budget.max_server_count * memory.SERVER_BYTES
        + budget.account_bytes
    )
    assert budget.max_client_connection_count >= 1024 // 3
    assert held_bytes <= ((memory_mb << 20) - resident_bytes) * 0.65


def test_budget_never_vanishes() -> None:
    budget = MemoryBudget.divide(20 << 20, 24 << 20)
    assert budget.account_bytes > 256 * 1024 and budget.max_client_connection_count > 50
