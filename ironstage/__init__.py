"""A request limiter that enforces customers' quotas and rate ceilings in front of a shared API.

A limiter is one process of `python -m ironstage`; a gateway is a limiter as the decision module sees it.
`Gateway` makes the decisions of one, without any input or output of its own.

- `interface` defines the settings, events and actions of the decisions.
- `policy` decides, with the latency statistics of `latency`.
- `net` connects a gateway to clients, servers and service discovery.
- `simulator_adapter` connects gateways to a simulator, in the binary format of `simulator_protocol`.
"""

from ironstage.policy import Gateway

__all__ = ["Gateway"]
