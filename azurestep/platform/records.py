"""What the platform's log returns."""

from typing import Any

import attrs

FIRST_OFFSET = 1


@attrs.frozen
class LogRecord:
    """A record as read from the log; ``value`` is its JSON value."""

    offset: int
    time_ms: int
    value: Any


@attrs.frozen
class Page:
    """One answer to a read.

    Attributes
    ----------
    first_offset : int
        Earliest offset that the log still holds.
    next_offset : int
        Offset that the next append will get.
    records : list of LogRecord
        Records in the order of their offsets.
    from_offset : int
        Offset that the read asked for.
    """

    first_offset: int
    next_offset: int
    records: list[LogRecord]
    from_offset: int = FIRST_OFFSET


@attrs.frozen
class Receipt:
    """Proof that a record stands on the log."""

    offset: int
