"""Tests of the simulator's protocol and adapter, with valid and with malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from ironstage import interface as api
from ironstage import simulator_protocol
from ironstage.simulator_adapter import GatewayInstances, read_frame

SETTINGS = {
    "balancers": 3,
    "me": 1,
    "services": [
        {"aimMs": 1200.0, "hardLimitMs": 5000.0, "effect": "idempotent", "lateWorth": 0.0, "windowMs": 5000.0}
    ],
    "contracts": [{"rate": 2.0, "mostAtOnce": 6.0}],
    "guarantees": {
        "coldFrom": 0.2,
        "coldMs": 10000.0,
        "tipMultiple": 2.0,
        "fallMs": 1000.0,
        "drainGraceMs": 250.0,
    },
    "ceilings": {"maxAttempts": 3, "unknownKey": 1},
}
SERVER_ENTRY = bytes.fromhex("03124a07 0000 00 0000 01 3f800000 0000000000000000".replace(" ", ""))
TARGET_INSTANCE_3 = bytes.fromhex("0b00000003")


def start_record() -> bytes:
    """Return a record that starts an instance with `SETTINGS` and seed 7."""
    text = json.dumps(SETTINGS).encode()
    return bytes([0]) + struct.pack(">QI", 7, len(text)) + text


def server_list_record() -> bytes:
    """Return a record of a stored server list with one server."""
    return bytes([1]) + struct.pack(">BQI", 3, 41, 1) + SERVER_ENTRY


def batch_frame(*records: bytes) -> bytes:
    """Return a batch frame with these records, for time 8384.25 ms."""
    body = b"".join(records)
    return struct.pack(">IdI", len(body), 8384.25, len(records)) + body


def test_documented_batch_is_decoded() -> None:
    raw = bytes.fromhex(
        "0b00000003 020007e3055d3a91c4000001000000003f8000004000000040c0e6200000000040400000"
        "91f03b7c55d20a64 060000004d 0b00000005 0500041ce00e6f2b19".replace(" ", "")
    )
    records = simulator_protocol.decode_batch(5, raw)
    assert [instance for instance, _ in records] == [3, 3, 5]
    arrival = records[0][1]
    assert isinstance(arrival, api.RequestArrived)
    assert arrival.request_id == 0x7E3055D3A91C4 and arrival.units == 2.0
    assert records[1][1] == api.TimerFired(0x4D)
    assert records[2][1] == api.RequestAbandoned(0x41CE00E6F2B19)


def test_documented_attempt_result_is_decoded() -> None:
    raw = bytes.fromhex(
        "0b00000003 040007e3055d3a91c40003124a0700c84032800000000000010056000300".replace(" ", "")
    )
    ((_, ended),) = simulator_protocol.decode_batch(2, raw)
    assert isinstance(ended, api.AttemptEnded)
    assert (
        ended.status is api.CallStatus.OK
        and ended.usage_percent == 85
        and ended.charged_units == 3
        and ended.request_closed
    )


def test_documented_reply_has_its_length_prefix_and_log_text() -> None:
    reply = simulator_protocol.encode_reply(
        [
            (3, [api.Send(0x7E3055D3A91C4, 0x03124A07, 8492.0), api.SetTimer(500.0, 0x4D)]),
            (4, []),
            (5, [api.Log("two servers known")]),
        ]
    )
    documented_hex = (
        "00000040 0900000003 010007e3055d3a91c403124a0740c0960000000000 00407f4000000000000000004d"
        "0900000005 0a001174776f2073657276657273206b6e6f776e"
    )
    assert reply[:5] == bytes.fromhex(documented_hex.replace(" ", ""))[:5]
    assert struct.unpack(">I", reply[:4])[0] == len(reply) - 4
    assert b"two servers known" in reply


ACTIONS = [
    api.Cancel(1, 0),
    api.Refuse(1, 5.0),
    api.Fail(1),
    api.Probe(2),
    api.Subscribe(),
    api.FetchServerList(),
    api.CloseIdleConnections(2),
    api.SendPeerMessage(None, b"hi"),
    api.CounterAdd(3, 4.0, 3000.0),
]


@pytest.mark.parametrize("action", ACTIONS, ids=lambda a: type(a).__name__)
def test_reply_length_prefix_counts_the_body_of_each_action(action: api.Action) -> None:
    reply = simulator_protocol.encode_reply([(0, [action])])
    assert struct.unpack(">I", reply[:4])[0] == len(reply) - 4 > 5


@pytest.mark.parametrize(
    ("record_count", "body", "message"),
    [
        (1, b"\x63", "unknown record code 99"),
        (1, b"\x06\x00", "before any target_instance"),
        (2, TARGET_INSTANCE_3 + b"\x06\x00", "record truncated at byte"),
        (1, TARGET_INSTANCE_3 + b"\x00", "left after"),
        (2, TARGET_INSTANCE_3 + bytes([7]) + struct.pack(">dHIB", 1.0, 999, 1, 0), "call status code 999"),
    ],
)
def test_error_of_a_malformed_batch_names_the_fault(record_count: int, body: bytes, message: str) -> None:
    with pytest.raises(simulator_protocol.ProtocolError, match=message):
        simulator_protocol.decode_batch(record_count, body)


def test_settings_have_defaults_and_errors_name_a_missing_key() -> None:
    parsed = simulator_protocol.parse_settings(json.dumps(SETTINGS).encode())
    assert parsed.metering_ms == 0 and not parsed.may_probe and parsed.plans[0].parallel == 0
    for key, message in (("me", "me"), ("guarantees", "guarantees")):
        raw = {kept: value for kept, value in SETTINGS.items() if kept != key}
        with pytest.raises(simulator_protocol.ProtocolError, match=message):
            simulator_protocol.parse_settings(json.dumps(raw).encode())
    with pytest.raises(simulator_protocol.ProtocolError, match="not JSON"):
        simulator_protocol.parse_settings(b"{")


def test_restarted_instance_and_empty_batch_get_a_reply() -> None:
    instances = GatewayInstances()
    for records in (
        [TARGET_INSTANCE_3, start_record(), server_list_record()],
        [],
        [TARGET_INSTANCE_3, b"\x09", start_record(), server_list_record()],
    ):
        frame = read_frame(io.BytesIO(batch_frame(*records)))
        assert frame is not None
        reply = instances.process_batch(*frame)
        assert struct.unpack(">I", reply[:4])[0] == len(reply) - 4


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    """Run the adapter as a process with `data` as its standard input."""
    return subprocess.run(
        [sys.executable, "-m", "ironstage.simulator_adapter"], input=data, capture_output=True, check=False
    )


def test_adapter_exits_cleanly_at_the_end_of_its_input() -> None:
    finished = run_adapter(
        batch_frame() + batch_frame(TARGET_INSTANCE_3, start_record(), server_list_record())
    )
    assert finished.returncode == 0 and finished.stdout.startswith(b"\0\0\0\0") and not finished.stderr


@pytest.mark.parametrize(
    "data",
    [b"\0\0", batch_frame(TARGET_INSTANCE_3, start_record())[:-3], batch_frame(TARGET_INSTANCE_3, b"\x63")],
)
def test_adapter_reports_a_malformed_frame_on_standard_error(data: bytes) -> None:
    finished = run_adapter(data)
    assert finished.returncode != 0 and finished.stdout == b""
    assert finished.stderr.count(b"\n") == 1 and b"frame 0" in finished.stderr


def test_exception_in_a_gateway_becomes_an_internal_error_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    instances = GatewayInstances()
    instances.process_batch(0.0, 3, TARGET_INSTANCE_3 + start_record() + server_list_record())
    monkeypatch.setattr(instances._gateways[3], "handle", lambda now_ms, event: 1 / 0)
    assert b"ZeroDivisionError" in instances.process_batch(
        1.0, 2, TARGET_INSTANCE_3 + b"\x06\x00\x00\x00\x01"
    )
