"""A request limiter that enforces customers' quotas and rate ceilings in front of a shared API.

`Gateway` makes the decisions of one limiter process, without any input or output of its own.
"""

from ironstage.policy import Gateway

__all__ = ["Gateway"]
