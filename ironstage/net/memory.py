"""The memory account: one bound on all that peers can make the process hold.

The budget divides the memory limit: so many client connections, customers and servers, and the account for
what they send and get. Whatever is kept of that is reserved in the account first: heads and bodies that are
not complete, data that is read ahead, requests until they are finished, responses until they are written,
lists of servers. What does not fit is refused by whoever asked.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

# Part of the memory left at the start that is handed out. The rest is for what the allocator loses to
# fragmentation, for garbage not yet collected, and for the statistics of the decision module.
BUDGET_FRACTION = 0.65
MIN_CAPACITY_BYTES = 1 << 20  # where the limit is hardly more than the program needs by itself
TYPICAL_RESIDENT_BYTES = 25 << 20  # of the program at its start, if the system does not tell
MAX_RELIEF_STEPS = 8  # things given up to make room for one reservation


# Parts of what is handed out. Client connections have one of their own, so that one can still be accepted,
# and its request refused, while requests fill the account.
CLIENT_CONNECTION_FRACTION = 0.34
CUSTOMER_FRACTION = 0.15
SERVER_FRACTION = 0.1
# The objects of one client connection (protocol, parser, transport), of one customer in the decision module
# and of one server in all tables, each measured with hundreds or thousands of them.
CLIENT_CONNECTION_BYTES = 4608
CUSTOMER_BYTES = 2560
SERVER_BYTES = 2048


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """How many peers and names the memory is enough for, and what is left for the account, in bytes."""

    max_client_connection_count: int
    max_customer_count: int
    max_server_count: int
    account_bytes: int

    @classmethod
    def divide(cls, limit_bytes: int, resident_at_start_bytes: int) -> MemoryBudget:
        """Divide what the memory limit leaves beside what the program needs by itself."""
        left_bytes = (limit_bytes - resident_at_start_bytes) * BUDGET_FRACTION
        total_bytes = max(MIN_CAPACITY_BYTES, int(left_bytes))
        account_fraction = 1.0 - CLIENT_CONNECTION_FRACTION - CUSTOMER_FRACTION - SERVER_FRACTION
        return cls(
            int(total_bytes * CLIENT_CONNECTION_FRACTION) // CLIENT_CONNECTION_BYTES,
            int(total_bytes * CUSTOMER_FRACTION) // CUSTOMER_BYTES,
            int(total_bytes * SERVER_FRACTION) // SERVER_BYTES,
            int(total_bytes * account_fraction),
        )


class Purpose(Enum):
    """What memory is reserved for; the value is the part of the account that may be in use afterwards.

    What is needed to finish requests that were accepted may use more than what could lead to new ones.
    """

    INCOMPLETE_INPUT = 0.5
    REQUEST = 0.7
    RESPONSE = 0.8
    DISCOVERY = 1.0


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
