"""Test support: settings, servers and events with defaults, so that a test states only what it checks."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ironstage import interface as api
from ironstage.policy import Gateway

IDEMPOTENT_CLASS = api.RequestClass(1000, 4000, api.RetrySafety.IDEMPOTENT, api.DedupScope.ALL, 0, 0.0)
DEDUPLICATED_CLASS = api.RequestClass(1000, 4000, api.RetrySafety.DEDUPLICATED, api.DedupScope.ALL, 3000, 0.0)
ZONE_DEDUPLICATED_CLASS = api.RequestClass(
    3000, 9000, api.RetrySafety.DEDUPLICATED, api.DedupScope.ZONE, 2000, 0.0
)
AT_MOST_ONCE_CLASS = api.RequestClass(1500, 4000, api.RetrySafety.AT_MOST_ONCE, api.DedupScope.ALL, 0, 0.0)
CLASSES = (IDEMPOTENT_CLASS, DEDUPLICATED_CLASS, ZONE_DEDUPLICATED_CLASS, AT_MOST_ONCE_CLASS)

BASE_SETTINGS = api.Settings(
    gateway_id=0,
    gateway_count=2,
    zone=0,
    classes=CLASSES,
    plans=(api.Plan(rate=1000, burst=2000),),
    cold_from=0.2,
    cold_ms=10000,
    tip_multiple=2.0,
    fall_ms=1000,
    drain_grace_ms=500,
    ask_within_ms=0,
    metering_ms=1000,
    post_paid=False,
    max_attempts=3,
    second_copies=False,
    may_cancel=True,
    may_probe=False,
    max_retry_after_ms=0,
    must_subscribe=False,
    report_fields=(),
)


def make_server(server_id: int, zone: int = 0, state: str = "ready", started_ms: float = 0.0) -> api.Server:
    """Return a server of relative capacity 1; its cell has the number of its zone."""
    return api.Server(server_id, zone, zone, api.ServerState(state), 1.0, started_ms)


class GatewayFixture:
    """A gateway with two servers or those given; `overrides` replace fields of `BASE_SETTINGS`.

    Requests are numbered from 1. Points in time are milliseconds on the gateway's clock.
    """

    def __init__(
        self, servers: list[api.Server] | None = None, max_customer_count: int = 5000, **overrides: Any
    ) -> None:
        self.gateway = Gateway(replace(BASE_SETTINGS, **overrides), 1, max_customer_count)
        self.last_request_id = 0
        if servers is None:
            servers = [make_server(1), make_server(2)]
        self.apply_server_list(0.0, *servers, kind="full")

    def apply_server_list(self, now_ms: float, *servers: api.Server, kind: str = "delta") -> list[api.Action]:
        """Deliver a server list of the given `ListKind`."""
        return self.gateway.handle(now_ms, api.ServerList(api.ListKind(kind), servers))

    def submit_request(
        self,
        now_ms: float,
        class_index: int = 0,
        customer_id: int = 1,
        customer_gateway_count: int = 1,
        timeout_ms: float = 4000.0,
    ) -> list[api.Action]:
        """Deliver a request of one unit under the first plan, whose deadline is in `timeout_ms`."""
        self.last_request_id += 1
        event = api.RequestArrived(
            self.last_request_id,
            class_index,
            0,
            customer_id,
            1.0,
            customer_gateway_count,
            now_ms + timeout_ms,
        )
        return self.gateway.handle(now_ms, event)

    def end_attempt(
        self, now_ms: float, sent: api.Send, status: str, attempt_number: int = 0, **event_fields: Any
    ) -> list[api.Action]:
        """Deliver the end of an attempt, after 50 ms unless `elapsed_ms` is given.

        `request_closed` defaults to whether the status is ok; the other fields are those of `AttemptEnded`.
        """
        request_closed = event_fields.pop("request_closed", status == "ok")
        event = api.AttemptEnded(
            sent.request_id,
            attempt_number,
            sent.server_id,
            api.CallStatus(status),
            event_fields.pop("elapsed_ms", 50.0),
            request_closed,
            **event_fields,
        )
        return self.gateway.handle(now_ms, event)

    def fire_timer(self, now_ms: float) -> list[api.Action]:
        """Deliver the expiry of a timer.

        The gateway sets none; as with any event, it updates the state that depends on time.
        """
        return self.gateway.handle(now_ms, api.TimerFired(0))


def send_actions(actions: list[api.Action]) -> list[api.Send]:
    """Return the actions that send an attempt."""
    return [action for action in actions if isinstance(action, api.Send)]


def action_names(actions: list[api.Action]) -> list[str]:
    """Return the type name of each action."""
    return [type(action).__name__ for action in actions]
