"""The network side of the limiter: sockets, clocks and timers. `ironstage.policy` makes the decisions."""
