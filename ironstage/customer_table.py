"""The customers that a gateway knows, bounded in number.

Any peer can invent customers. Those of whom one request was seen are therefore given up before those that
came again, unless hardly any of the former are left.
"""

from __future__ import annotations

from collections.abc import Iterator

from ironstage.quota import LIGHT_CUSTOMER_EXPIRY_MS, Customer

MAX_CUSTOMER_COUNT = 5000  # if the caller sets no other bound
MIN_NEWCOMER_FRACTION = 0.25  # of the table that customers seen once may fill in any case
MAX_EVICTION_TRIES = 8  # customers looked at to make room for another one


class CustomerTable:
    """Customers by id; at most `max_count`."""

    def __init__(self, max_count: int = MAX_CUSTOMER_COUNT) -> None:
        self._max_count = max_count
        # Each in order of the customers' last requests.
        self._newcomers: dict[int, Customer] = {}
        self._regulars: dict[int, Customer] = {}  # seen more than once

    def __len__(self) -> int:
        return len(self._newcomers) + len(self._regulars)

    def __iter__(self) -> Iterator[int]:
        yield from self._newcomers
        yield from self._regulars

    def __getitem__(self, customer_id: int) -> Customer:
        return self._regulars.get(customer_id) or self._newcomers[customer_id]

    def values(self) -> list[Customer]:
        """Return all customers."""
        return [*self._newcomers.values(), *self._regulars.values()]

    def find(self, customer_id: int) -> Customer | None:
        """Return the customer of a request that has arrived, or None if none was seen of it so far."""
        customer = self._regulars.pop(customer_id, None) or self._newcomers.pop(customer_id, None)
        if customer is not None:
            self._regulars[customer_id] = customer  # at the end of the order of last requests
        return customer

    def add(self, customer_id: int, customer: Customer, now_ms: float) -> bool:
        """Add a customer, in place of another one if the table is full; return False if none may go."""
        if len(self) >= self._max_count and not self._evict(now_ms):
            return False
        self._newcomers[customer_id] = customer
        return True

    def _evict(self, now_ms: float) -> bool:
        """Remove the customer that has been idle for longest, if one of the first few may be removed."""
        newcomers_first = len(self._newcomers) > self._max_count * MIN_NEWCOMER_FRACTION
        tables = [self._newcomers, self._regulars] if newcomers_first else [self._regulars, self._newcomers]
        for table in tables:
            for customer_id, _ in zip(table, range(MAX_EVICTION_TRIES), strict=False):
                if table[customer_id].can_expire(now_ms, over_limit=True):
                    del table[customer_id]
                    return True
        return False

    def expire(self, now_ms: float) -> None:
        """Remove the customers that have been idle for so long that nothing known of them matters."""
        for table in (self._newcomers, self._regulars):
            expired_ids: list[int] = []
            for customer_id, customer in table.items():
                if now_ms - customer.last_request_ms < LIGHT_CUSTOMER_EXPIRY_MS:
                    break
                if customer.can_expire(now_ms, over_limit=False):
                    expired_ids.append(customer_id)
            for customer_id in expired_ids:
                del table[customer_id]
