"""Results of calls to the platform's log."""

from typing import Any

import attrs

FIRST_OFFSET = 1


@attrs.frozen
class LogRecord:
    """A record of the log; ``value`` is its decoded JSON value."""

    offset: int
    time_ms: int
    value: Any


@attrs.frozen
class Page:
    """Answer to a read.

    Attributes
    ----------
    first_offset : int
        Earliest offset that the log still holds.
    next_offset : int
        Offset of the next append.
    records : list of LogRecord
        Records in the order of their offsets.
    from_offset : int
        Offset that the read started at.
    """

    first_offset: int
    next_offset: int
    records: list[LogRecord]
    from_offset: int = FIRST_OFFSET


@attrs.frozen
class Receipt:
    """Confirmation that a record was appended to the log."""

    offset: int
