"""Runs the decision module under the simulator: `python -m ironstage.simulator_adapter`.

Reads batch frames of events from standard input and writes one reply frame of actions to standard output
for each; `ironstage.simulator_protocol` defines both. The process ends with its input.
"""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from ironstage import interface as api
from ironstage import simulator_protocol
from ironstage.policy import Gateway


class GatewayInstances:
    """The simulated gateways by instance number; they share no state."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}

    def process_batch(self, now_ms: float, record_count: int, body: bytes) -> bytes:
        """Pass the records of a batch to their instances and return the reply frame.

        Actions keep the order of the records that caused them. If a gateway raises an exception, the rest
        of the batch is skipped and the reply holds an internal error in place of all actions.
        Raises `ProtocolError` if the batch violates the protocol.
        """
        records = simulator_protocol.decode_batch(record_count, body)
        groups: list[tuple[int, list[api.Action]]] = []
        for instance, record in records:
            if not groups or groups[-1][0] != instance:
                groups.append((instance, []))
            try:
                groups[-1][1].extend(self._handle(instance, now_ms, record))
            except simulator_protocol.ProtocolError:
                raise
            except Exception as error:
                traceback.print_exc()
                innermost_frame = traceback.extract_tb(error.__traceback__)[-1]
                location = f"{innermost_frame.filename.rsplit('/', 1)[-1]}:{innermost_frame.lineno}"
                return simulator_protocol.encode_internal_error(
                    instance, f"{type(error).__name__}: {error} ({location})"
                )
        return simulator_protocol.encode_reply(groups)

    def _handle(self, instance: int, now_ms: float, record: simulator_protocol.Record) -> list[api.Action]:
        """Start or stop an instance, or pass an event to it and return the actions."""
        if isinstance(record, simulator_protocol.StartInstance):
            self._gateways[instance] = Gateway(record.settings, record.seed)
            return []
        if isinstance(record, simulator_protocol.StopInstance):
            self._gateways.pop(instance, None)
            return []
        if instance not in self._gateways:
            raise simulator_protocol.ProtocolError(f"event for instance {instance}, which is not running")
        return self._gateways[instance].handle(now_ms, record)


def read_frame(stream: BinaryIO) -> tuple[float, int, bytes] | None:
    """Read a batch frame: its time in ms, record count and body, or None at a clean end of input.

    Raises `ProtocolError` if the input ends inside a frame.
    """
    header = stream.read(simulator_protocol.BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < simulator_protocol.BATCH_HEADER.size:
        raise simulator_protocol.ProtocolError(f"input ends inside a frame header, after {len(header)} bytes")
    body_size, now_ms, record_count = simulator_protocol.BATCH_HEADER.unpack(header)
    body = stream.read(body_size)
    if len(body) < body_size:
        raise simulator_protocol.ProtocolError(
            f"input ends inside a frame body, after {len(body)} of {body_size} bytes"
        )
    return now_ms, record_count, body


def main() -> int:
    """Answer batches until the input ends, and return the exit status: 0, or 2 after a protocol error."""
    instances, source, sink = GatewayInstances(), sys.stdin.buffer, sys.stdout.buffer
    frame_index = 0
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(instances.process_batch(*frame))
            sink.flush()
            frame_index += 1
    except simulator_protocol.ProtocolError as error:
        print(f"ironstage.simulator_adapter: frame {frame_index}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
