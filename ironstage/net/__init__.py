"""The network side of the limiter: sockets, clocks and timers. `ironstage.policy` makes the decisions.

`limiter` joins the parts: it takes requests from `clients` and host lists from `discovery`, passes them to
the decision module and sends attempts through `servers`. `config` reads the configuration of all of them.
"""
