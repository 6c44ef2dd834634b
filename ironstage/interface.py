"""The interface of the decision module: settings, events and actions.

Nothing here depends on a wire format or makes a decision. `ironstage.policy` decides; its callers are
`ironstage.net.limiter`, for real traffic, and `ironstage.simulator_adapter`. Some settings, events and
actions stem from the simulator's protocol; the decision module does not use them.

Fields that end in `_ms` are milliseconds. A deadline is a point in time on the caller's clock, a timeout a
duration. An attempt is one transmission of a request to a server, and its answer is the server's response.
The final answer to a request is the only response that its client gets: a server's answer, a refusal or a
failure.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class RetrySafety(Enum):
    """Whether a request may run again after an attempt that may have run."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DedupScope(Enum):
    """Which servers recognise and discard the repeats of a deduplicated request.

    These are all servers, or those in the same zone or cell as the server of the earlier attempt.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class CallStatus(Enum):
    """How an attempt, probe or counter call ended.

    ERROR: the server's answer is an error or invalid. REJECTED: the server declined the request without
    running it. CONNECT_FAILED: the server did not get the whole request. RESET: the connection broke after
    the request was sent. NOT_SENT: the attempt was not sent, because the request had already ended, was past
    its deadline, had no attempts left or could not be written whole in time.
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
    """A server's state as reported by service discovery; only READY servers get new attempts."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(Enum):
    """What a server list event holds: changes only, a full list, a cached full list or no list."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    `aim_ms` is the aim, the latency within which an answer should come, and `max_client_timeout_ms` the
    longest that a client waits for it. `aim_stretch` lengthens the aim by the request's own work; the
    decision module only checks whether it is above 0. `worth` is the value of an answer within the aim,
    relative to other classes, and `late_worth` that of a later answer. `stream` tells that answers are
    streamed. If `late_worth` is low, `aim_stretch` is 0 and answers are not streamed, attempts end at the aim
    instead of the request's deadline.

    Servers in the `dedup_scope` recognise the repeats of a deduplicated request for `window_ms`, counted
    from the first attempt that may have run. `name` is the name of the class in HTTP requests.
    """

    aim_ms: float
    max_client_timeout_ms: float
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

    If `rate` is 0, the quota limits a customer by its metered use alone, without a token bucket. `parallel`
    caps the customer's outstanding attempts at all gateways together (0: no cap). `ceiling_rate` (units a
    second, 0: no ceiling) and `ceiling_depth` (units) describe a second token bucket that must never be
    exceeded. `name` is the name of the plan in HTTP requests. `ceiling_slack`, `over_worth` and `over_cost`
    are not used by this program.
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

    `gateway_id` is this gateway's own number and `gateway_count` the number of all gateways.

    A server that started recently is cold. It has at least a fraction of its full capacity, the warm
    fraction, which grows linearly from `cold_from` at its start to 1 after `cold_ms` (0: no server is cold).
    A cold server may get at most `tip_multiple` times its warm fraction of the mean request rate to a server.

    The meter publishes a customer's use once in `metering_ms` (0: no meter). If `post_paid`, the
    `charged_units` of a successful first attempt replace the request's `units` in the estimated level of the
    customer's token bucket.

    A request gets at most `max_attempts` attempts, including the first. `second_copies` allows an attempt
    while another one is outstanding (hedging).
    `may_cancel` allows cancelling the outstanding attempts of a request that has its final answer or lost
    its client. `max_retry_after_ms` bounds the advice given with a refusal (0: no advice).

    `must_subscribe` tells that a gateway gets changes of the server list by subscription; otherwise they are
    pushed to it. `report_fields` names the values of a load report, in their order.

    `zone` (the gateway's own), `fall_ms`, `drain_grace_ms`, `ask_within_ms` and `may_probe` are not used by
    this program.
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

    `zone` and `cell` are the numbers of the server's zone and cell, to which deduplication may be limited.
    `relative_capacity` is a factor without unit. `started_ms` is 0 for a server that started long ago.
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

    `class_index` and `plan_index` are positions in the settings. `units` are the quota units of the request,
    and `customer_gateway_count` is the number of gateways that the customer's requests are spread over.
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

    `attempt_number` counts the attempts of a request from 0. `request_closed` tells that the request has its
    final answer or lost its client. `usage_percent` is the customer's metered use in percent of its rate, or
    None without a reading. `charged_units` are the units that the server charged (0: unknown). `load_report`
    holds the values of the settings' `report_fields`, and is empty without a report.
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
    """Event: a health probe of a server ended; `load_report` has the form of that in `AttemptEnded`."""

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
    """Action: send the request to a server; the attempt times out at `attempt_deadline_ms`.

    The attempt ends with NOT_SENT if the request has not been written whole by `write_by_ms`.
    """

    request_id: int
    server_id: int
    attempt_deadline_ms: float
    write_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an outstanding attempt."""

    request_id: int
    attempt_number: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: refuse the request, as its final answer.

    A client's retry is harmless, best after `retry_after_ms` (0: no advice).
    """

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: fail the request, as its final answer, without telling whether it ran or may be retried."""

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
