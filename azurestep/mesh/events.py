"""Numbered log events of the node on the platform, written without blocking.

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

STARTED = register(9001, logging.INFO, "sidecar started")
STOPPING = register(9002, logging.INFO, "sidecar is stopping")
STOPPED = register(9003, logging.INFO, "sidecar stopped")
RELOADED = register(9004, logging.INFO, "settings reloaded")
SETTINGS_REFUSED = register(
    9005, logging.ERROR, "settings refused, the former ones stay", "mend the file"
)
LINES_LEFT_OUT = register(
    9006,
    logging.WARNING,
    "log lines were left out above the rate",
    "use the counters of the metrics address for totals",
)
TASK_FAILED = register(
    9007,
    logging.ERROR,
    "a part of the node ended by an error",
    "report the cause; restart the node if it does not serve",
)
PAUSED = register(
    9008,
    logging.WARNING,
    "this node stood still",
    "look at the instance's processor if it comes often",
)
STORE_LOST = register(
    9101,
    logging.WARNING,
    "the platform's store does not answer",
    "nothing, if the store is known to be away; the node serves what it holds",
)
STORE_REACHED = register(9102, logging.INFO, "the platform's store answers again")
VERSION = register(9103, logging.INFO, "configuration in force")
VERSION_REFUSED = register(
    9104,
    logging.ERROR,
    "a configuration can't be read, the former one stays",
    "publish one of the agreed shape",
)
PEER_LOST = register(
    9201,
    logging.WARNING,
    "a node does not answer",
    "nothing, if that instance was stopped; else look at the network between both",
)
PEER_REACHED = register(9202, logging.INFO, "a node answers")
PEER_MALFORMED = register(
    9203,
    logging.ERROR,
    "a message of a node can't be read",
    "compare the versions of the program on both instances",
)
BACKEND_ANNOUNCED = register(9301, logging.INFO, "backend server announced")
BACKEND_LEAVING = register(9302, logging.INFO, "backend server is leaving")
BACKEND_LOST = register(
    9303,
    logging.WARNING,
    "the backend server takes no connections",
    "look at the backend server; requests go to others until it is back",
)
BACKEND_REACHED = register(9304, logging.INFO, "the backend server takes connections")
OTHER_INSTANCE = register(
    9305, logging.INFO, "another backend server answers at the address"
)
ANNOUNCEMENT_REFUSED = register(
    9306,
    logging.ERROR,
    "an announcement can't be read",
    "compare it with the agreed heartbeat",
)
BACKEND_PROBED = register(9307, logging.INFO, "health probe answered")
CALL_ENDED = register(9401, logging.INFO, "request answered")
CALL_REFUSED = register(9402, logging.INFO, "request refused, it has not run")
CALL_FAILED = register(9403, logging.WARNING, "request failed, it may have run")
CALL_GONE = register(9404, logging.INFO, "the caller left before the answer")
CALL_RETRIED = register(9405, logging.INFO, "request goes to another backend server")
RUN_REFUSED = register(9501, logging.INFO, "run refused beside the backend server")
RUN_FAILED = register(9502, logging.WARNING, "run without a whole answer")
EXTRA_ANSWER = register(9503, logging.INFO, "answer to another request skipped")

RATE_LINES_S = 300.0
"""Lines that are written in a second; a node of the sizes measured carries some
160 requests a second, and each has one line."""
BURST_LINES = 600.0
BUFFER_LINES = 2000
"""Lines kept while standard output takes none."""


@attrs.define
class LineWriter:
    """Collects lines, bounds their rate and writes them without blocking.

    Attributes
    ----------
    descriptor : int
        Where lines go; it is set to non-blocking.
    left_out : int
        Lines left out since the last note of it.
    """

    descriptor: int = 1
    clock: Callable[[], float] = time.monotonic
    left_out: int = 0
    _lines: list[bytes] = attrs.field(factory=list)
    _rest: bytes = b""
    _tokens: float = BURST_LINES
    _filled_s: float = 0.0

    def add(self, event: Event, fields: dict[str, object]) -> None:
        """Add a line, or count it as left out."""
        now_s = self.clock()
        grown = self._tokens + (now_s - self._filled_s) * RATE_LINES_S
        self._tokens = min(BURST_LINES, grown)
        self._filled_s = now_s
        urgent = event.level >= logging.ERROR
        if (self._tokens < 1 and not urgent) or len(self._lines) >= BUFFER_LINES:
            self.left_out += 1
            return
        self._tokens -= 1
        self._lines.append(_line(event, fields))

    def flush(self) -> None:
        """Write what standard output takes now."""
        if self.left_out and self._tokens >= 1 and len(self._lines) < BUFFER_LINES:
            left_out, self.left_out = self.left_out, 0
            self._lines.append(_line(LINES_LEFT_OUT, {"lines": left_out}))
        data = self._rest + b"".join(self._lines)
        self._lines = []
        if not data:
            return
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        self._rest = data[written:]


def _text(value: object) -> object:
    return value.decode("latin-1") if isinstance(value, bytes) else value


def _line(event: Event, fields: dict[str, object]) -> bytes:
    line = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "event": event.number,
        "message": event.summary,
    }
    line.update({name: _text(value) for name, value in fields.items()})
    return orjson.dumps(line, default=str) + b"\n"


WRITER = LineWriter()


def log(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    WRITER.add(event, fields)
