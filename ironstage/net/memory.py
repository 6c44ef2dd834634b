"""The memory account: one bound on all that peers can make the process hold.

Whatever is kept on behalf of a peer is reserved first: connections with their objects, heads and bodies that
are not complete, data that is read ahead, requests until they are finished, responses until they are written,
and entries under names that peers choose. What does not fit is refused by whoever asked. Client connections
have a part of their own, so that one can still be accepted, and its request refused, while requests fill the
rest.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from enum import Enum
from pathlib import Path

from ironstage.customer_table import MAX_CUSTOMER_COUNT

# Part of the memory left at the start that the account hands out. The rest is for what the allocator loses to
# fragmentation, for garbage not yet collected, and for the statistics of the decision module.
ACCOUNT_FRACTION = 0.6
MIN_CAPACITY_BYTES = 1 << 20  # where the limit is hardly more than the program needs by itself
TYPICAL_RESIDENT_BYTES = 25 << 20  # of the program at its start, if the system does not tell
MAX_RELIEF_STEPS = 8  # things given up to make room for one reservation


# Part of what the account hands out that client connections may take, without their requests.
CLIENT_CONNECTION_FRACTION = 0.35
CUSTOMER_FRACTION = 0.2  # part that the table of customers may take
CUSTOMER_BYTES = 2560  # of one customer in the decision module, measured with thousands


class Purpose(Enum):
    """What memory is reserved for; the value is the part of the account that may be in use afterwards.

    What is needed to finish requests that were accepted may use more than what could lead to new ones.
    """

    INCOMPLETE_INPUT = 0.6
    REQUEST = 0.8
    RESPONSE = 1.0


class MemoryAccount:
    """Counts the bytes held on behalf of peers, up to `capacity_bytes`."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self._reliefs: list[Callable[[], bool]] = []

    def add_relief(self, relief: Callable[[], bool]) -> None:
        """Add a function that gives something up to free memory, and returns False if it has nothing left."""
        self._reliefs.append(relief)

    def reserve(self, size_bytes: int, purpose: Purpose) -> bool:
        """Reserve memory; return False if it does not fit, also after relief."""
        if not self.fits(size_bytes, purpose) and not self._make_room(size_bytes, purpose):
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release memory that was reserved."""
        self.used_bytes -= size_bytes

    def fits(self, size_bytes: int, purpose: Purpose) -> bool:
        """Return whether a reservation fits as things are."""
        return self.used_bytes + size_bytes <= self.capacity_bytes * purpose.value

    def _make_room(self, size_bytes: int, purpose: Purpose) -> bool:
        for _ in range(MAX_RELIEF_STEPS):
            if not any(relief() for relief in self._reliefs):
                return False
            if self.fits(size_bytes, purpose):
                return True
        return False


class Holding:
    """The memory that one holder has reserved; its size follows what the holder has."""

    __slots__ = ("_account", "size_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.size_bytes = 0

    def resize(self, size_bytes: int, purpose: Purpose) -> bool:
        """Change the size; return False, and leave it as it is, if the growth does not fit."""
        growth_bytes = size_bytes - self.size_bytes
        if growth_bytes > 0 and not self._account.reserve(growth_bytes, purpose):
            return False
        if growth_bytes < 0:
            self._account.release(-growth_bytes)
        self.size_bytes = size_bytes
        return True

    def take_over(self, size_bytes: int) -> None:
        """Change the size to include what another holder has just released, which always fits."""
        self._account.used_bytes += size_bytes - self.size_bytes
        self.size_bytes = size_bytes

    def release(self) -> None:
        """Release everything; without effect if that was done before."""
        self._account.release(self.size_bytes)
        self.size_bytes = 0


def resident_bytes() -> int:
    """Return the memory that the process holds at present."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return TYPICAL_RESIDENT_BYTES


def count_customers(capacity_bytes: int) -> int:
    """Return how many customers the decision module may know at a time."""
    return min(MAX_CUSTOMER_COUNT, int(capacity_bytes * CUSTOMER_FRACTION) // CUSTOMER_BYTES)


def account_capacity_bytes(limit_bytes: int, resident_at_start_bytes: int) -> int:
    """Return what may be held on behalf of peers, given the limit and what the program needs by itself."""
    return max(MIN_CAPACITY_BYTES, int((limit_bytes - resident_at_start_bytes) * ACCOUNT_FRACTION))
