"""Validation of clients' requests against the settings, before the limiter sees them."""

from __future__ import annotations

import math
import re

from ironstage.interface import RetrySafety, Settings
from ironstage.net.limiter import RequestMetadata

CUSTOMER_ID_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
CLIENT_REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,5}")
FIRST_PATH_SEGMENT_PATTERN = re.compile(rb"/([^/?#]*)")


class BadRequestError(Exception):
    """A request is invalid; the message is the body of the response with `status_code`."""

    def __init__(self, status_code: int, message: str) -> None:
        super().__init__(message)
        self.status_code = status_code


class RequestValidator:
    """Validates requests against the settings.

    An invalid request is answered at once. The limiter never sees it, so it counts against no quota.
    """

    def __init__(self, settings: Settings) -> None:
        self._class_by_name = {c.name.encode(): (index, c.effect) for index, c in enumerate(settings.classes)}
        self._plan_index_by_name = {plan.name.encode(): index for index, plan in enumerate(settings.plans)}
        self._gateway_count = settings.gateway_count
        self._most_units = settings.most_units or math.inf

    def validate(
        self, method: bytes, url: bytes, headers: dict[bytes, bytes], has_body: bool
    ) -> RequestMetadata:
        """Return the metadata of a request, or raise `BadRequestError`; header names are in lower case."""
        path = FIRST_PATH_SEGMENT_PATTERN.match(url)
        if path is None or path[1] not in self._class_by_name:
            raise BadRequestError(404, "no such class in the path")
        if headers.get(b"req-kind") != path[1]:
            raise BadRequestError(400, "Req-Kind is not the class in the path")
        class_index, retry_safety = self._class_by_name[path[1]]
        self._check_method(method, retry_safety, headers, has_body)
        client_request_id = headers.get(b"req-id", b"")
        if not CLIENT_REQUEST_ID_PATTERN.fullmatch(client_request_id):
            raise BadRequestError(400, "Req-Id is missing or wrong")
        plan_index, api_key = (
            self._plan_index_by_name.get(headers.get(b"x-tier", b"")),
            headers.get(b"x-api-key", b""),
        )
        if plan_index is None:
            raise BadRequestError(400, "X-Tier is missing or names no plan")
        if not CUSTOMER_ID_PATTERN.fullmatch(api_key) or (customer_id := int(api_key, 16)) >= 1 << 33:
            raise BadRequestError(400, "X-Api-Key is missing or names no customer")
        client_timeout_s = _parse_positive_number(headers.get(b"req-deadline", b""), "Req-Deadline")
        units, customer_gateway_count = self._parse_call_terms(headers.get(b"x-call-terms", b""))
        return RequestMetadata(
            client_request_id,
            class_index,
            plan_index,
            customer_id,
            units,
            customer_gateway_count,
            client_timeout_s,
        )

    def _check_method(
        self, method: bytes, retry_safety: RetrySafety, headers: dict[bytes, bytes], has_body: bool
    ) -> None:
        """Check the method, the body and the Idempotency-Key against the class's retry safety."""
        if method != (b"GET" if retry_safety is RetrySafety.IDEMPOTENT else b"POST"):
            raise BadRequestError(405, "not the method of this class")
        if retry_safety is RetrySafety.IDEMPOTENT and has_body:
            raise BadRequestError(400, "a GET with a body")
        if (retry_safety is RetrySafety.DEDUPLICATED) != bool(headers.get(b"idempotency-key")):
            raise BadRequestError(400, "Idempotency-Key is missing, or not of this class")

    def _parse_call_terms(self, raw: bytes) -> tuple[float, int]:
        """Return the request's units and the number of gateways that its customer's requests are spread over.

        Values out of range are rejected here: the decision module would apply them to the customer that the
        request names.
        """
        pairs = [part.strip().partition(b"=")[::2] for part in raw.split(b",")]
        terms = dict(pairs)
        if len(terms) < len(pairs):
            raise BadRequestError(400, "X-Call-Terms tells something twice")
        units = _parse_positive_number(terms.get(b"units", b""), "units in X-Call-Terms")
        spread, first = terms.get(b"spread", b""), terms.get(b"first", b"")
        if units > self._most_units:
            raise BadRequestError(400, "more units than a request can take")
        if not (INTEGER_PATTERN.fullmatch(spread) and INTEGER_PATTERN.fullmatch(first)):
            raise BadRequestError(400, "spread or first in X-Call-Terms is missing or wrong")
        if not (0 < int(spread) <= self._gateway_count and int(first) < self._gateway_count):
            raise BadRequestError(400, "spread or first in X-Call-Terms is out of range")
        return units, int(spread)


def _parse_positive_number(raw: bytes, name: str) -> float:
    value = float(raw) if DECIMAL_PATTERN.fullmatch(raw) else 0.0
    if value <= 0:
        raise BadRequestError(400, f"{name} is not a number above 0")
    return value
