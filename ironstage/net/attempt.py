"""One transmission of an HTTP request to a server, its deadline and its result.

Fields that end in `_s` are seconds; points in time are on the monotonic clock, as the event loop's are.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ironstage.interface import CallStatus

# The loop counts whole milliseconds: timers are set this much later, so as not to expire early.
TIMER_RESOLUTION_S = 0.001


class AttemptConnection(Protocol):
    """The connection that an attempt uses; `request_written` tells if the kernel has the whole request."""

    request_written: bool

    def close_immediately(self) -> None:
        """Close the connection without ending its attempt."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt.

    `body` and `content_type` are those of the response. `usage_percent` is the customer's metered use in
    percent of its rate, or None without a valid reading; `load_report` is the raw load report, if any.
    """

    status: CallStatus
    body: bytes = b""
    content_type: bytes = b""
    usage_percent: int | None = None
    load_report: bytes = b""


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """An HTTP request to a server.

    `head` is the request line and the headers but Req-Deadline, without the empty line at the end. The server
    must not run an `at_most_once` request again after a broken attempt. A request that has not been written
    whole by `write_by_s` is given up.
    """

    head: bytes
    body: bytes = b""
    at_most_once: bool = False
    write_by_s: float = math.inf

    def message(self, timeout_s: float) -> list[bytes]:
        """Return the parts to write; the Req-Deadline among them tells how long the answer is waited for."""
        return [b"%bReq-Deadline: %.3f\r\n\r\n" % (self.head, max(0.0, timeout_s)), self.body]


class Attempt:
    """One transmission of an HTTP request to a server; it times out at `deadline_s`.

    If the request has not been written whole by its `write_by_s`, the attempt ends with NOT_SENT. `on_end` is
    called once, with the result.
    """

    __slots__ = ("_on_end", "_timers", "connection", "deadline_s", "ended", "request")

    def __init__(
        self, request: ServerRequest, deadline_s: float, on_end: Callable[[AttemptResult], None]
    ) -> None:
        self.request = request
        self.deadline_s = deadline_s
        self.connection: AttemptConnection | None = None
        self.ended = False
        self._on_end = on_end
        loop = asyncio.get_running_loop()
        self._timers = [loop.call_at(deadline_s + TIMER_RESOLUTION_S, self._handle_timeout)]
        if request.write_by_s < deadline_s:
            self._timers.append(
                loop.call_at(request.write_by_s + TIMER_RESOLUTION_S, self._handle_write_timeout)
            )

    def end(self, result: AttemptResult) -> None:
        """End the attempt and report its result; calls after the first do nothing."""
        if not self.ended:
            self.ended = True
            for timer in self._timers:
                timer.cancel()
            self.connection = None
            self._on_end(result)

    def cancel(self) -> None:
        """End the attempt with CANCELLED and close its connection."""
        self._abort(CallStatus.CANCELLED)

    def _is_written(self) -> bool:
        """Return whether the whole request has been written: a server runs it only with its last byte."""
        return self.connection is not None and self.connection.request_written

    def _handle_timeout(self) -> None:
        self._abort(CallStatus.TIMEOUT if self._is_written() else CallStatus.CONNECT_FAILED)

    def _handle_write_timeout(self) -> None:
        if not self._is_written():
            self._abort(CallStatus.NOT_SENT)

    def _abort(self, status: CallStatus) -> None:
        if self.connection:
            self.connection.close_immediately()
        self.end(AttemptResult(status))
