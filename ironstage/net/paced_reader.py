"""Reading from a connection in bounded steps, so that no peer can keep the event loop to itself.

In each turn of the event loop a connection reads and parses until it has done `MAX_WORK_PER_TURN` units of
work. At most `READ_BYTES` are then left, which wait for the next turn; nothing more is read before they have
been parsed. Only while nothing may be parsed at all, a bounded amount is read ahead, so that an end of the
stream behind it is seen.
"""

from __future__ import annotations

import asyncio
from collections import deque
from time import monotonic
from typing import cast

READ_BYTES = 4 * 1024  # read at a time, beside what is missing of a body of known length
MAX_BULK_READ_BYTES = 64 * 1024
# Data is parsed in pieces of this size: between two of them the parser can be stopped.
PARSE_PIECE_BYTES = 256
# A unit is about the work of one callback of the parser.
MAX_WORK_PER_TURN = 128
MESSAGE_WORK = 64  # to handle a whole message
READ_WORK = 32  # to read a buffer that is filled

# One buffer for all connections: its content is parsed, or copied, before the next read.
_read_buffer = memoryview(bytearray(MAX_BULK_READ_BYTES + READ_BYTES))

# Larger messages are written without copying their parts, which may stay in the write buffer for a while.
MAX_COPIED_WRITE_BYTES = 4 * 1024


def write_parts(transport: asyncio.Transport, parts: list[bytes]) -> None:
    """Write the parts of a message, or of several."""
    if sum(map(len, parts)) <= MAX_COPIED_WRITE_BYTES:
        transport.write(b"".join(parts))
    else:
        transport.writelines(parts)


class PacedReader(asyncio.BufferedProtocol):
    """A protocol that parses what it receives a bounded amount at a time.

    Subclasses define `parse_piece` and call `count_work` from the parser's callbacks.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._unparsed = bytearray()  # received, but not parsed yet
        # Sizes of the first parts of it, each with the time at which the last of that part arrived.
        self._unparsed_arrivals: deque[tuple[int, float]] = deque()
        self._buffer_bytes = 0  # of the buffer for the next read
        self._work_done = 0  # in this turn
        self._turn_scheduled = False
        self._turn_is_over = False  # nothing more is read in this turn
        self._reading_paused = False
        self.arrived_s: float | None = None  # arrival of the piece that is being parsed; None for just now
        self._more_received = False  # more data than the piece that is being parsed has been received

    # --- For subclasses ------------------------------------------------------------------------
    def parse_piece(self, piece: memoryview) -> None:
        """Parse the next piece of the data received; it is valid only during the call."""
        raise NotImplementedError

    def may_parse(self) -> bool:
        """Return whether the next piece may be parsed now; `resume_parsing` follows once it may."""
        return True

    def read_ahead_bytes(self) -> int:
        """Return how much may be received while `may_parse` is false."""
        return 0

    def discards_input(self) -> bool:
        """Return whether everything that still arrives is discarded unread."""
        return self._transport is not None and self._transport.is_closing()

    def bulk_bytes(self) -> int:
        """Return how many of the next bytes are known to take one callback, like those of a body."""
        return 0

    def finish_turn(self) -> None:
        """Act on what was parsed in this turn."""

    def reading_changed(self, is_paused: bool) -> None:
        """Take note that reading was paused or resumed."""

    def count_work(self, units: int = 1) -> None:
        """Count work towards the bound of this turn."""
        self._work_done += units

    # --- Protocol ------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transport is not a subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        bulk_bytes = self.bulk_bytes() if self.may_parse() else self.read_ahead_bytes() - len(self._unparsed)
        self._buffer_bytes = max(0, min(bulk_bytes, MAX_BULK_READ_BYTES)) + READ_BYTES
        return _read_buffer[: self._buffer_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        if not self._turn_scheduled:
            self._work_done = 0
        if nbytes == self._buffer_bytes:  # the event loop reads again in this turn, unless reading is paused
            self.count_work(READ_WORK)
            self._turn_is_over = self._work_done >= MAX_WORK_PER_TURN
            self._schedule_turn()
        data = _read_buffer[:nbytes]
        if self._unparsed or not self.may_parse():
            self._unparsed += data
            self.finish_turn()
            self.resume_parsing()
        else:
            self._parse(data)
        if self._unparsed:
            self._unparsed_arrivals.append((len(self._unparsed), monotonic()))

    # --- Turns ---------------------------------------------------------------------------------
    def _parse(self, data: memoryview) -> None:
        self._unparsed = bytearray(self._parse_within_bound(data))
        self.finish_turn()
        if self._unparsed and self.may_parse():
            self._schedule_turn()
        self.update_reading()

    def _parse_within_bound(self, data: memoryview) -> memoryview:
        """Parse data until the work of this turn is done; return the rest."""
        position = 0
        while position < len(data) and self._work_done < MAX_WORK_PER_TURN and self.may_parse():
            if self.discards_input():
                return data[:0]
            end = position + max(PARSE_PIECE_BYTES, self.bulk_bytes())
            self._more_received = end < len(data)
            self._note_arrival(min(end, len(data)))
            self.parse_piece(data[position:end])
            position = end
        if self._unparsed_arrivals:
            self._unparsed_arrivals = deque(
                (size - position, arrived_s) for size, arrived_s in self._unparsed_arrivals if size > position
            )
        return data[position:]

    def _note_arrival(self, end: int) -> None:
        """Set `arrived_s` for the data up to `end`."""
        self.arrived_s = None
        for size, arrived_s in self._unparsed_arrivals:
            if size >= end:
                self.arrived_s = arrived_s
                return

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._continue)

    def _continue(self) -> None:
        """Go on with the data left over from the last turn."""
        self._turn_scheduled = self._turn_is_over = False
        self._work_done = 0
        if not self._is_open():
            return
        if self._unparsed and self.may_parse():
            self._parse(memoryview(self._unparsed))
        else:
            self.update_reading()

    def resume_parsing(self) -> None:
        """Go on in the next turn, after `may_parse` has become true."""
        if self._unparsed and self.may_parse():
            self._schedule_turn()
        self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading: while data waits to be parsed, only what may be read ahead is read."""
        allowed_bytes = 0 if self.may_parse() else self.read_ahead_bytes() - 1
        must_pause = self._turn_is_over or len(self._unparsed) > allowed_bytes
        if self._transport and must_pause != self._reading_paused and self._is_open():
            self._reading_paused = must_pause
            self.reading_changed(must_pause)
            if must_pause:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()
