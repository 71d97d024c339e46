"""Log lines, written to standard output without blocking.

Lines are collected and written at intervals; above a rate they are left out and
counted, so a flood of requests can neither fill the disk of the log collector nor
hold the event loop.
"""

import logging
import os
import time
from collections.abc import Callable
from datetime import UTC, datetime

import attrs
import orjson

from ..events import Event, register

LINES_DROPPED = register(
    9006,
    logging.WARNING,
    "log lines were left out above the rate",
    "use the counters of the metrics address for totals",
)
RATE_LINES_S = 300.0
"""Lines that are written in a second; a node of the sizes measured carries some
160 requests a second, and each has one line."""
BURST_LINES = 600.0
RESERVED_LINES = 300.0
"""Lines of the burst that routine lines leave to those of refused, failed and late
requests: one second of them."""
BUFFER_LINES = 2000
"""Lines kept while standard output takes none."""


@attrs.define
class LineWriter:
    """Collects lines, bounds their rate and writes them without blocking.

    Attributes
    ----------
    descriptor : int
        Where lines go.
    dropped : int
        Lines left out since the last note of it.
    """

    descriptor: int = 1
    clock: Callable[[], float] = time.monotonic
    dropped: int = 0
    _lines: list[bytes] = attrs.field(factory=list)
    _unwritten: bytes = b""
    _tokens: float = BURST_LINES
    _refilled_s: float = 0.0

    def open(self) -> None:
        """Make writes return at once when nobody reads."""
        os.set_blocking(self.descriptor, False)

    def add(
        self, event: Event, fields: dict[str, object], routine: bool = False
    ) -> None:
        """Add a line, or count it as left out.

        Parameters
        ----------
        event : Event
            What happened.
        fields : dict
            What it is told with.
        routine : bool
            Whether it went as it should. Such lines leave a part of the rate to the
            others: on a day of high load, 63,000 of 150,000 lines were left out, those
            of refused and late requests as often as those of answers in time.
        """
        now_s = self.clock()
        refilled = self._tokens + (now_s - self._refilled_s) * RATE_LINES_S
        self._tokens = min(BURST_LINES, refilled)
        self._refilled_s = now_s
        urgent = event.level >= logging.ERROR
        floor = RESERVED_LINES if routine else 1
        if (self._tokens < floor and not urgent) or len(self._lines) >= BUFFER_LINES:
            self.dropped += 1
            return
        self._tokens -= 1
        self._lines.append(_line(event, fields))

    def flush(self) -> None:
        """Write what standard output takes now."""
        if self.dropped and self._tokens >= 1 and len(self._lines) < BUFFER_LINES:
            dropped, self.dropped = self.dropped, 0
            self._lines.append(_line(LINES_DROPPED, {"lines": dropped}))
        if not self._unwritten:
            self._unwritten = b"".join(self._lines)
            self._lines = []
        if self._unwritten:
            self._unwritten = self._unwritten[self._write(self._unwritten) :]

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self.descriptor, data)
        except BlockingIOError:
            return 0


def _decode_text(value: object) -> object:
    return value.decode("latin-1") if isinstance(value, bytes) else value


def _line(event: Event, fields: dict[str, object]) -> bytes:
    line = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "event": event.number,
        "message": event.summary,
    }
    line.update({name: _decode_text(value) for name, value in fields.items()})
    return orjson.dumps(line, default=str) + b"\n"
