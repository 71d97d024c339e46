"""Non-blocking, rate-limited writer of log lines to standard output.

Lines are buffered and written at intervals. Lines above the rate limit are dropped
and counted.
"""

import contextlib
import logging
import os
import stat
import time
from collections.abc import Callable
from datetime import UTC, datetime

import attrs

from ..events import Event, register
from .line_encoding import encode_line

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
    total_dropped : int
        Lines dropped since the start.
    """

    descriptor: int = 1
    clock: Callable[[], float] = time.monotonic
    dropped: int = 0
    total_dropped: int = 0
    _lines: list[bytes] = attrs.field(factory=list)
    _unwritten: bytes = b""
    _tokens: float = BURST_LINES
    _refilled_s: float = 0.0
    _failing: bool = False
    _inside_line: bool = False

    def open(self) -> None:
        """Make writing non-blocking, if the descriptor can be written to at all."""
        with contextlib.suppress(OSError):
            self.descriptor = _open_non_blocking(self.descriptor)

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
            self._count_dropped(1)
            return
        self._tokens -= 1
        self._lines.append(_line(event, fields))

    def flush(self) -> None:
        """Write as many lines as the output accepts now.

        Lines are dropped and counted while it can't be written to.
        """
        has_room = self._tokens >= 1 and len(self._lines) < BUFFER_LINES
        if self.dropped and has_room and not self._failing:
            dropped, self.dropped = self.dropped, 0
            self._lines.append(_line(LINES_DROPPED, {"lines": dropped}))
        if not self._unwritten:
            self._unwritten = b"".join(self._lines)
            self._lines = []
        if self._unwritten:
            self._write_or_drop()

    def _write_or_drop(self) -> None:
        data = self._unwritten
        # The rest of a line that broke off was dropped: end it before the next one.
        separator = b"\n" if self._failing and self._inside_line else b""
        try:
            written = os.write(self.descriptor, separator + data)
        except BlockingIOError:
            return
        except OSError:
            self._failing = True
            self._unwritten = b""
            self._count_dropped(len(data.splitlines()))
            return
        self._failing = False
        written = max(0, written - len(separator))
        self._unwritten = data[written:]
        self._inside_line = data[written - 1 : written] != b"\n" and written > 0

    def _count_dropped(self, lines: int) -> None:
        self.dropped += lines
        self.total_dropped += lines


def _open_non_blocking(descriptor: int) -> int:
    """Return a descriptor of the same output whose writes don't block.

    The mode of the given one may be shared with other processes. Writes to a regular
    file don't block; a socket can't be opened again.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISREG(mode):
        return descriptor
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    try:
        return os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        os.set_blocking(descriptor, False)
        return descriptor


def _decode_text(value: object) -> object:
    return value.decode("latin-1") if isinstance(value, bytes) else value


def _line(event: Event, fields: dict[str, object]) -> bytes:
    line = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "event": event.number,
        "message": event.summary,
    }
    line.update({name: _decode_text(value) for name, value in fields.items()})
    return encode_line(line)
