"""The interface of the decision module: settings, events and actions.

Fields that end in `_ms` are milliseconds; points in time are on the caller's clock.
Nothing here depends on a wire format or makes a decision: `ironstage.policy` decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetrySafety(Enum):
    """Whether a request may run again after an attempt that may have run."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DedupScope(Enum):
    """Which servers recognise and discard the repeats of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class CallStatus(Enum):
    """How an attempt, probe or counter call ended.

    REJECTED: the server turned the request away without running it. NOT_SENT: the caller dropped the
    attempt, because the request had already ended, was past its deadline or had no attempts left.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class ServerState(Enum):
    """A server's state as reported by service discovery."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(Enum):
    """What a server list event holds: changes only, a complete list, a stored list or no list."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    `aim_ms` is the latency target and `deadline_ms` the longest wait for an answer; `aim_stretch`
    lengthens the target in proportion to the request's own work. A deduplicated request may be repeated
    within `window_ms` of its first attempt. `worth` is the value of an answer within the target, and
    `late_worth` that of a later one.
    """

    aim_ms: float
    deadline_ms: float
    effect: RetrySafety
    dedup_scope: DedupScope
    window_ms: float
    late_worth: float
    stream: bool = False
    aim_stretch: float = 0.0
    name: str = ""
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota: a token bucket of `burst` units refilled at `rate` units a second, with further caps.

    `parallel` caps the customer's concurrent attempts (0: no cap). `ceiling_rate` (units a second, 0: no
    ceiling) and `ceiling_depth` (units) describe a second token bucket that must never be exceeded.
    """

    rate: float
    burst: float
    parallel: int = 0
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    ceiling_slack: float = 0.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a gateway gets at its start.

    `gateway_id` is this gateway's own number and `gateway_count` the number of all gateways. The meter
    publishes a customer's use once in `metering_ms` (0: no meter). `max_retry_after_ms` bounds the
    advice given with a refusal (0: no advice).
    """

    gateway_id: int
    gateway_count: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    cold_from: float
    cold_ms: float
    tip_multiple: float
    fall_ms: float
    drain_grace_ms: float
    ask_within_ms: float
    metering_ms: float
    post_paid: bool
    max_attempts: int
    second_copies: bool
    may_cancel: bool
    may_probe: bool
    max_retry_after_ms: float
    must_subscribe: bool
    report_fields: tuple[str, ...]
    most_units: float = 0.0  # the most units that one request takes; 0: unknown


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list.

    `relative_capacity` is a factor without unit; `started_ms` is 0 for a server that started long ago.
    """

    id: int
    zone: int
    cell: int
    state: ServerState
    relative_capacity: float
    started_ms: float


@dataclass(frozen=True, slots=True)
class ServerList:
    """Event: service discovery delivered a list of servers, or failed to."""

    kind: ListKind
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a client sent a request, which gets exactly one final answer by `deadline_ms`.

    `class_index` and `plan_index` are positions in the settings. `customer_gateway_count` is the number
    of gateways that the customer's requests are spread over.
    """

    request_id: int
    class_index: int
    plan_index: int
    customer_id: int
    units: float
    customer_gateway_count: int
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt ended, `elapsed_ms` after it was sent.

    `request_closed` tells that the request has its final answer or lost its client. `usage_percent` is
    the customer's metered use in percent of its rate, or None without a reading. `charged_units` are the
    units that the server charged (0: not told). `load_report` follows the settings' `report_fields`.
    """

    request_id: int
    attempt_number: int
    server_id: int
    status: CallStatus
    elapsed_ms: float
    request_closed: bool
    usage_percent: int | None = None
    charged_units: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """Event: the first part of an attempt's streamed answer went to the client."""

    request_id: int
    attempt_number: int
    server_id: int


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """Event: nobody waits for an answer to the request any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: the timer set with this token expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Event: a health probe of a server ended; `load_report` follows the settings' `report_fields`."""

    server_id: int
    status: CallStatus
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message from another gateway arrived."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterTotal:
    """Event: the call to a shared counter ended; `total` is the counter's value."""

    counter_id: int
    status: CallStatus
    total: float
    elapsed_ms: float


Event = (
    ServerList
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | RequestAbandoned
    | TimerFired
    | ProbeResult
    | PeerMessage
    | CounterTotal
)


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send the request to a server; the attempt times out at `attempt_deadline_ms`."""

    request_id: int
    server_id: int
    attempt_deadline_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an outstanding attempt."""

    request_id: int
    attempt_number: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: final answer; a retry is harmless, best after `retry_after_ms` (0: no advice)."""

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: final answer that does not tell whether the request ran or may be retried."""

    request_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: deliver `TimerFired` with this token after `delay_ms`."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: probe a server's health."""

    server_id: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: turn the subscription to changes of the server list on or off."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchServerList:
    """Action: fetch the server list once."""

    pass


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Action: close the idle connections to a server."""

    server_id: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Action: send a message to one other gateway, or to all when `recipient` is None."""

    recipient: int | None
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterAdd:
    """Action: add to a shared counter, which expires after `ttl_ms`."""

    counter_id: int
    amount: float
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a line to the log."""

    text: str


Action = (
    Send
    | Cancel
    | Refuse
    | Fail
    | SetTimer
    | Probe
    | Subscribe
    | FetchServerList
    | CloseIdleConnections
    | SendPeerMessage
    | CounterAdd
    | Log
)
