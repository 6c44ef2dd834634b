"""The binary protocol between the simulator and the decision module.

The simulator sends batch frames, which are decoded into events; each batch is answered by one reply
frame, encoded from the actions that the events caused. This module makes no decisions.

All numbers are big endian, and all times and durations are milliseconds. A batch frame is a header (length
of the body in bytes, current time, number of records) and a body of records. A reply frame is the length of
its body in bytes and the body. A record is a one-byte code followed by its fields. In both directions a
record that selects an instance applies to the records after it; a batch may hold the events of several
simulated gateways. The settings of an instance are a JSON object inside the record that starts it. The
configuration file of a limiter holds an object of the same form, which `ironstage.net.config` also parses
with `parse_settings`.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from ironstage import interface as api


class ProtocolError(ValueError):
    """Input that violates the protocol: a malformed frame or invalid settings.

    The message names the fault and, where it is known, the place: a byte offset, a record, a server or the
    path of a settings key.
    """


@dataclass(frozen=True, slots=True)
class StartInstance:
    """Record: start a simulated gateway, or replace a running one by a new one.

    `seed` initialises the gateway's random number generator.
    """

    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class StopInstance:
    """Record: discard a simulated gateway and its state."""


Record = api.Event | StartInstance | StopInstance

STATUS_BY_CODE = {
    200: api.CallStatus.OK,
    502: api.CallStatus.ERROR,
    429: api.CallStatus.REJECTED,
    408: api.CallStatus.TIMEOUT,
    521: api.CallStatus.CONNECT_FAILED,
    520: api.CallStatus.RESET,
    444: api.CallStatus.CANCELLED,
    409: api.CallStatus.NOT_SENT,
}
SERVER_STATE_BY_CODE = (api.ServerState.GONE, api.ServerState.READY, api.ServerState.DRAINING)
LIST_KIND_BY_CODE = {
    0: api.ListKind.DELTA,
    2: api.ListKind.FULL,
    3: api.ListKind.CACHED,
    4: api.ListKind.FAILED,
}
RETRY_SAFETY_BY_NAME = {
    "idempotent": api.RetrySafety.IDEMPOTENT,
    "deduplicated": api.RetrySafety.DEDUPLICATED,
    "at_most_once": api.RetrySafety.AT_MOST_ONCE,
}
# The names of load report fields in the settings, and in the load reports that servers publish.
REPORT_FIELD_BY_SETTINGS_NAME = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
BROADCAST_RECIPIENT = 0xFFFF  # recipient of a peer message that goes to all other gateways


class _Reader:
    """Reads fields from a batch body one after the other; errors name the byte offset."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.offset = 0

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the fields of a fixed layout."""
        try:
            values = layout.unpack_from(self.body, self.offset)
        except struct.error:
            raise ProtocolError(f"record truncated at byte {self.offset} of the batch body") from None
        self.offset += layout.size
        return values

    def read_bytes(self, size: int) -> bytes:
        """Read a field of `size` bytes, a length that the record itself has announced."""
        if self.offset + size > len(self.body):
            raise ProtocolError(
                f"field of {size} bytes at byte {self.offset} exceeds the end of the batch body"
            )
        field_bytes = self.body[self.offset : self.offset + size]
        self.offset += size
        return field_bytes


def _big_endian(fields: str) -> struct.Struct:
    """Return a layout without padding, given its `struct` format characters."""
    return struct.Struct(">" + fields)


BATCH_HEADER = _big_endian("IdI")  # length of the body in bytes, current time in ms, number of records
_U8, _U16, _U32, _U64 = _big_endian("B"), _big_endian("H"), _big_endian("I"), _big_endian("Q")

# Layouts of the records of a batch, after the record code. A `HEADER` is followed by fields of variable
# length. The decoders assign fields that the decision module does not use to `_`.
_SERVER_ENTRY_LAYOUT = _big_endian("IHBHBfd")
_SERVER_LIST_HEADER = _big_endian("BQI")
_REQUEST_ARRIVED_LAYOUT = _big_endian("QHBIffdfQ")
_PROBE_RESULT_HEADER = _big_endian("dHI")
_ATTEMPT_ENDED_HEADER = _big_endian("QBIHdBHH")
_STREAM_STARTED_LAYOUT = _big_endian("QBdI")
_PEER_MESSAGE_HEADER = _big_endian("IH")
_COUNTER_TOTAL_LAYOUT = _big_endian("QHfd")


def _decode_status(code: int) -> api.CallStatus:
    try:
        return STATUS_BY_CODE[code]
    except KeyError:
        raise ProtocolError(f"unknown call status code {code}") from None


def _decode_load_report(reader: _Reader) -> tuple[float, ...]:
    (field_count,) = reader.unpack(_U8)
    return reader.unpack(_big_endian(f"{field_count}f"))


def _decode_start_instance(reader: _Reader) -> StartInstance:
    (seed,) = reader.unpack(_U64)
    (settings_size,) = reader.unpack(_U32)
    return StartInstance(seed, parse_settings(reader.read_bytes(settings_size)))


def _decode_server_list(reader: _Reader) -> api.ServerList:
    kind_code, _, server_count = reader.unpack(_SERVER_LIST_HEADER)
    if kind_code not in LIST_KIND_BY_CODE:
        raise ProtocolError(f"unknown server list kind code {kind_code}")
    servers = []
    for _ in range(server_count):
        server_id, zone, _, cell, state_code, relative_capacity, started_ms = reader.unpack(
            _SERVER_ENTRY_LAYOUT
        )
        if state_code >= len(SERVER_STATE_BY_CODE):
            raise ProtocolError(f"unknown state code {state_code} of server {server_id}")
        servers.append(
            api.Server(server_id, zone, cell, SERVER_STATE_BY_CODE[state_code], relative_capacity, started_ms)
        )
    return api.ServerList(LIST_KIND_BY_CODE[kind_code], tuple(servers))


def _decode_request_arrived(reader: _Reader) -> api.RequestArrived:
    (
        request_id,
        class_index,
        _,
        plan_index,
        _,
        units,
        deadline_ms,
        customer_gateway_count,
        customer_id,
    ) = reader.unpack(_REQUEST_ARRIVED_LAYOUT)
    return api.RequestArrived(
        request_id, class_index, plan_index, customer_id, units, int(customer_gateway_count), deadline_ms
    )


def _decode_probe_result(reader: _Reader) -> api.ProbeResult:
    elapsed_ms, status_code, server_id = reader.unpack(_PROBE_RESULT_HEADER)
    return api.ProbeResult(server_id, _decode_status(status_code), elapsed_ms, _decode_load_report(reader))


def _decode_attempt_ended(reader: _Reader) -> api.AttemptEnded:
    (
        request_id,
        attempt_number,
        server_id,
        status_code,
        elapsed_ms,
        request_closed,
        encoded_usage,
        charged_units,
    ) = reader.unpack(_ATTEMPT_ENDED_HEADER)
    # The metered use is sent as its percentage plus 1; 0 stands for no reading.
    usage_percent = encoded_usage - 1 if encoded_usage else None
    return api.AttemptEnded(
        request_id,
        attempt_number,
        server_id,
        _decode_status(status_code),
        elapsed_ms,
        bool(request_closed),
        usage_percent,
        charged_units,
        _decode_load_report(reader),
    )


def _decode_stream_started(reader: _Reader) -> api.StreamStarted:
    request_id, attempt_number, _, server_id = reader.unpack(_STREAM_STARTED_LAYOUT)
    return api.StreamStarted(request_id, attempt_number, server_id)


def _decode_peer_message(reader: _Reader) -> api.PeerMessage:
    sender, body_size = reader.unpack(_PEER_MESSAGE_HEADER)
    return api.PeerMessage(sender, reader.read_bytes(body_size))


def _decode_counter_total(reader: _Reader) -> api.CounterTotal:
    counter_id, status_code, total, elapsed_ms = reader.unpack(_COUNTER_TOTAL_LAYOUT)
    return api.CounterTotal(counter_id, _decode_status(status_code), total, elapsed_ms)


_DECODER_BY_CODE: dict[int, Callable[[_Reader], Record]] = {
    0: _decode_start_instance,
    1: _decode_server_list,
    2: _decode_request_arrived,
    3: _decode_stream_started,
    4: _decode_attempt_ended,
    5: lambda reader: api.RequestAbandoned(*reader.unpack(_U64)),
    6: lambda reader: api.TimerFired(*reader.unpack(_U32)),
    7: _decode_probe_result,
    8: _decode_peer_message,
    9: lambda reader: StopInstance(),
    10: _decode_counter_total,
}
_TARGET_INSTANCE_CODE = 11  # the record that selects the instance of the records after it


def decode_batch(record_count: int, body: bytes) -> list[tuple[int, Record]]:
    """Decode the body of a batch frame into (instance, record) pairs.

    `record_count` includes the target_instance records, which are not among the pairs.
    """
    reader = _Reader(body)
    records: list[tuple[int, Record]] = []
    instance: int | None = None
    for index in range(record_count):
        (code,) = reader.unpack(_U8)
        if code == _TARGET_INSTANCE_CODE:
            (instance,) = reader.unpack(_U32)
            continue
        if code not in _DECODER_BY_CODE:
            raise ProtocolError(f"unknown record code {code} in record {index} at byte {reader.offset - 1}")
        if instance is None:
            raise ProtocolError(f"record {index} comes before any target_instance record")
        records.append((instance, _DECODER_BY_CODE[code](reader)))
    if reader.offset != len(body):
        raise ProtocolError(
            f"{len(body) - reader.offset} bytes left after the last of {record_count} records"
        )
    return records


# Layouts of the records of a reply; the first byte is the record code. A `HEADER` is followed by a text
# or message body, whose length in bytes is the header's last field.
_INSTANCE_LAYOUT = _big_endian("BI")
_SEND_LAYOUT = _big_endian("BQId")
_CANCEL_LAYOUT = _big_endian("BQB")
_REFUSE_LAYOUT = _big_endian("BQd")
_REQUEST_ID_LAYOUT = _big_endian("BQ")
_SET_TIMER_LAYOUT = _big_endian("BdI")
_SERVER_ID_LAYOUT = _big_endian("BI")
_BOOLEAN_LAYOUT = _big_endian("BB")
_SEND_PEER_MESSAGE_HEADER = _big_endian("BHH")
_COUNTER_ADD_LAYOUT = _big_endian("BQfd")
_TEXT_HEADER = _big_endian("BH")


def _encode_text(code: int, text: str) -> bytes:
    """Encode a record that holds a text, cut to the 65535 bytes that its length field can count."""
    text_bytes = text.encode()[:0xFFFF]
    return _TEXT_HEADER.pack(code, len(text_bytes)) + text_bytes


def _encode_send_peer_message(action: api.SendPeerMessage) -> bytes:
    recipient = BROADCAST_RECIPIENT if action.recipient is None else action.recipient
    return _SEND_PEER_MESSAGE_HEADER.pack(2, recipient, len(action.body)) + action.body


# The first argument of each `pack` and `_encode_text` is the record code of the action.
_ENCODER_BY_ACTION: dict[type, Callable[[Any], bytes]] = {
    api.SetTimer: lambda a: _SET_TIMER_LAYOUT.pack(0, a.delay_ms, a.token),
    api.Send: lambda a: _SEND_LAYOUT.pack(1, a.request_id, a.server_id, a.attempt_deadline_ms),
    api.SendPeerMessage: _encode_send_peer_message,
    api.Fail: lambda a: _REQUEST_ID_LAYOUT.pack(3, a.request_id),
    api.Cancel: lambda a: _CANCEL_LAYOUT.pack(4, a.request_id, a.attempt_number),
    api.FetchServerList: lambda a: _U8.pack(5),
    api.Refuse: lambda a: _REFUSE_LAYOUT.pack(6, a.request_id, a.retry_after_ms),
    api.Probe: lambda a: _SERVER_ID_LAYOUT.pack(7, a.server_id),
    api.Subscribe: lambda a: _BOOLEAN_LAYOUT.pack(8, a.enabled),
    api.Log: lambda a: _encode_text(10, a.text),
    api.CloseIdleConnections: lambda a: _SERVER_ID_LAYOUT.pack(11, a.server_id),
    api.CounterAdd: lambda a: _COUNTER_ADD_LAYOUT.pack(12, a.counter_id, a.amount, a.ttl_ms),
}


def encode_reply(groups: Iterable[tuple[int, Iterable[api.Action]]]) -> bytes:
    """Encode the reply frame for (instance, actions) groups, in the order given."""
    parts = []
    for instance, actions in groups:
        encoded = [_ENCODER_BY_ACTION[type(action)](action) for action in actions]
        if encoded:
            parts.append(_INSTANCE_LAYOUT.pack(9, instance))  # record code 9: the instance of what follows
            parts.extend(encoded)
    body = b"".join(parts)
    return _U32.pack(len(body)) + body


def encode_internal_error(instance: int, text: str) -> bytes:
    """Encode a reply frame that reports an internal error of an instance and holds no actions."""
    body = _INSTANCE_LAYOUT.pack(9, instance) + _encode_text(13, text)  # record code 13: internal error
    return _U32.pack(len(body)) + body


# Exclusive upper bound of every numeric setting, in the setting's own unit: far above any meaningful value,
# and integers below it are still exact as floats.
SETTING_VALUE_LIMIT = 1e15


class _SettingsObject:
    """A JSON object of the settings; errors name the full path of a missing or invalid key."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise ProtocolError(f"settings: {path or 'the top level'} is not an object")
        self.raw = raw
        self.path = path

    def _key_path(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get_object(self, key: str) -> _SettingsObject:
        """Return the object under a required key."""
        if key not in self.raw:
            raise ProtocolError(f"settings: {self._key_path(key)} is missing")
        return _SettingsObject(self.raw[key], self._key_path(key))

    def get_objects(self, key: str) -> list[_SettingsObject]:
        """Return the list of objects under a required key."""
        items = self.raw.get(key)
        if not isinstance(items, list):
            raise ProtocolError(f"settings: {self._key_path(key)} is missing or not a list")
        return [_SettingsObject(item, f"{self._key_path(key)}[{i}]") for i, item in enumerate(items)]

    def get_number(self, key: str, default: float | None = None, minimum: float = 0.0) -> float:
        """Return a number from `minimum` up to, but not including, `SETTING_VALUE_LIMIT`.

        The key is required if `default` is None.
        """
        value = self.raw.get(key, default)
        if value is None:
            raise ProtocolError(f"settings: {self._key_path(key)} is missing or null")
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ProtocolError(f"settings: {self._key_path(key)} is not a number")
        # The comparison also rejects NaN and the infinities, which `json.loads` accepts.
        if not minimum <= value < SETTING_VALUE_LIMIT:
            raise ProtocolError(f"settings: {self._key_path(key)} is out of range: {value}")
        return float(value)

    def get_bool(self, key: str) -> bool:
        """Return a boolean, False if the key is missing."""
        value = self.raw.get(key, False)
        if not isinstance(value, bool):
            raise ProtocolError(f"settings: {self._key_path(key)} is not a boolean")
        return value

    def get_string(self, key: str, default: str | None = None) -> str:
        """Return a string; the key is required if `default` is None."""
        value = self.raw.get(key, default)
        if not isinstance(value, str):
            raise ProtocolError(f"settings: {self._key_path(key)} is missing or not a string")
        return value


def _parse_request_class(service: _SettingsObject) -> api.RequestClass:
    effect, dedup_scope = service.get_string("effect"), service.get_string("dedupScope", "all")
    if effect not in RETRY_SAFETY_BY_NAME:
        raise ProtocolError(f"settings: {service.path}.effect has an unknown value: {effect}")
    if dedup_scope not in {scope.value for scope in api.DedupScope}:
        raise ProtocolError(f"settings: {service.path}.dedupScope has an unknown value: {dedup_scope}")
    return api.RequestClass(
        aim_ms=service.get_number("aimMs"),
        max_client_timeout_ms=service.get_number("hardLimitMs"),
        effect=RETRY_SAFETY_BY_NAME[effect],
        dedup_scope=api.DedupScope(dedup_scope),
        window_ms=service.get_number("windowMs", 0),
        late_worth=service.get_number("lateWorth", 0),
        stream=service.get_bool("stream"),
        aim_stretch=service.get_number("aimStretch", 0),
        name=service.get_string("name", ""),
        worth=service.get_number("points", 1),
    )


def _parse_plan(contract: _SettingsObject) -> api.Plan:
    return api.Plan(
        rate=contract.get_number("rate", 0),
        burst=contract.get_number("mostAtOnce", 0),
        parallel=int(contract.get_number("parallel", 0)),
        ceiling_rate=contract.get_number("capRate", 0),
        ceiling_depth=contract.get_number("neverOverDepth", 0),
        ceiling_slack=contract.get_number("capSlack", 0),
        over_worth=contract.get_number("overWorth", 0),
        over_cost=contract.get_number("beyondCosts", 0),
        name=contract.get_string("name", ""),
    )


def _parse_report_fields(report: _SettingsObject) -> tuple[str, ...]:
    """Return the names that the fields have in load reports; a name without a translation stays as it is."""
    names = report.raw.get("fields", [])
    if not isinstance(names, list):
        raise ProtocolError("settings: report.fields is not a list")
    return tuple(REPORT_FIELD_BY_SETTINGS_NAME.get(str(name), str(name)) for name in names)


def parse_settings(text: bytes) -> api.Settings:
    """Parse the JSON text of a gateway's settings; unknown keys are ignored.

    Raises `ProtocolError` if the text is not JSON, or with the path of a key that is missing or invalid.
    """
    try:
        root = _SettingsObject(json.loads(text), "")
    except ValueError as error:
        if isinstance(error, ProtocolError):
            raise
        raise ProtocolError(f"settings: not JSON: {error}") from None
    guarantees, ceilings = root.get_object("guarantees"), root.get_object("ceilings")
    specifics = root.get_object("specifics") if "specifics" in root.raw else _SettingsObject({}, "specifics")
    report = root.get_object("report") if "report" in root.raw else _SettingsObject({}, "report")
    return api.Settings(
        gateway_id=int(root.get_number("me")),
        gateway_count=int(root.get_number("balancers", minimum=1)),
        zone=int(root.get_number("myZone", 0)),
        classes=tuple(_parse_request_class(entry) for entry in root.get_objects("services")),
        plans=tuple(_parse_plan(entry) for entry in root.get_objects("contracts")),
        cold_from=guarantees.get_number("coldFrom"),
        cold_ms=guarantees.get_number("coldMs"),
        tip_multiple=guarantees.get_number("tipMultiple"),
        fall_ms=guarantees.get_number("fallMs"),
        drain_grace_ms=guarantees.get_number("drainGraceMs"),
        ask_within_ms=guarantees.get_number("askWithinMs", 0),
        metering_ms=specifics.get_number("meteringMs", 0),
        post_paid=specifics.get_bool("postPaid"),
        max_attempts=int(ceilings.get_number("maxAttempts", minimum=1)),
        second_copies=ceilings.get_bool("secondCopies"),
        may_cancel=ceilings.get_bool("cancel"),
        may_probe=ceilings.get_bool("probing"),
        max_retry_after_ms=(
            ceilings.get_number("maxRetryAfterMs", 0) if ceilings.get_bool("retryAfter") else 0.0
        ),
        must_subscribe=root.get_string("registryMode", "automatic") == "subscribe",
        report_fields=_parse_report_fields(report),
        most_units=specifics.get_number("mostUnits", 0),
    )
