"""Non-blocking, rate-limited writer of log lines to standard output.

Lines are buffered and written at intervals. Lines above the rate limit are dropped
and counted.
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
    "log lines dropped above the rate limit",
    "use the counters of the metrics endpoint for totals",
)
MAX_LINES_PER_SECOND = 300.0
BURST_LINES = 600.0
"""Size of the token bucket."""
RESERVED_LINES = 300.0
"""Part of the burst that is reserved for lines that aren't routine."""
BUFFER_LINES = 2000
"""Lines buffered while standard output is blocked."""


@attrs.define(eq=False, repr=False)
class LineWriter:
    """Buffers log lines, limits their rate and writes them without blocking.

    Attributes
    ----------
    descriptor : int
        File descriptor that lines are written to.
    dropped : int
        Lines dropped since the last line that reported it.
    """

    descriptor: int = 1
    clock: Callable[[], float] = time.monotonic
    dropped: int = 0
    _lines: list[bytes] = attrs.field(factory=list)
    _unwritten: bytes = b""
    _tokens: float = BURST_LINES
    _refilled_s: float = 0.0

    def open(self) -> None:
        """Set the descriptor to non-blocking mode."""
        os.set_blocking(self.descriptor, False)

    def add(
        self, event: Event, fields: dict[str, object], routine: bool = False
    ) -> None:
        """Add a line, or count it as dropped.

        Parameters
        ----------
        event : Event
            What happened.
        fields : dict
            Fields of the line.
        routine : bool
            Whether the line reports an expected outcome. Such lines are dropped
            before others.
        """
        now_s = self.clock()
        refilled = self._tokens + (now_s - self._refilled_s) * MAX_LINES_PER_SECOND
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
        """Write as many lines as standard output accepts now."""
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
