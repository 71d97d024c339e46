"""Streams of the log stand-in, in memory, with retention and capacity."""

from collections import deque
from typing import Any

import attrs

FIRST_OFFSET = 1


@attrs.frozen
class Record:
    """One retained record.

    Attributes
    ----------
    offset : int
        Place in the stream, counted from 1 without gaps.
    time_ms : int
        Wall clock of the log at the append, in ms since the epoch.
    value : Any
        The JSON value appended.
    """

    offset: int
    time_ms: int
    value: Any


@attrs.frozen
class Appended:
    """Answer to an append: the record's offset and time."""

    offset: int
    time_ms: int


@attrs.frozen
class Page:
    """Answer to a read.

    Attributes
    ----------
    first_offset : int
        Earliest offset retained; equal to `next_offset` when there is none.
    next_offset : int
        Offset that the stream's next append gets.
    records : tuple of Record
        Records in order of offset, as many as the read's limit at most.
    """

    first_offset: int
    next_offset: int
    records: tuple[Record, ...]


@attrs.frozen
class Retention:
    """How long records are kept.

    Attributes
    ----------
    records : int, optional
        Records kept per stream; None keeps all.
    age_ms : int, optional
        Age at which a record is dropped; None keeps all.
    """

    records: int | None = None
    age_ms: int | None = None


class Stream:
    """One append-only stream.

    Parameters
    ----------
    retention : Retention
        How long records are kept.
    """

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._records: deque[Record] = deque()
        self._next_offset = FIRST_OFFSET

    @property
    def first_offset(self) -> int:
        """Return the earliest offset retained."""
        return self._records[0].offset if self._records else self._next_offset

    @property
    def next_offset(self) -> int:
        """Return the offset that the next append gets."""
        return self._next_offset

    def append(self, value: Any, time_ms: int) -> Appended:
        """Add a record at the end."""
        record = Record(self._next_offset, time_ms, value)
        self._records.append(record)
        self._next_offset += 1
        self.drop_expired(time_ms)
        return Appended(record.offset, record.time_ms)

    def read(self, from_offset: int, limit: int, time_ms: int) -> Page:
        """Return the retained records from an offset on."""
        self.drop_expired(time_ms)
        skipped = max(0, from_offset - self.first_offset)
        stop = min(len(self._records), skipped + limit)
        records = tuple(self._records[index] for index in range(skipped, stop))
        return Page(self.first_offset, self._next_offset, records)

    def drop_expired(self, time_ms: int) -> None:
        """Drop the records that retention no longer covers."""
        limit = self._retention.records
        while limit is not None and len(self._records) > limit:
            self._records.popleft()
        age_ms = self._retention.age_ms
        if age_ms is None:
            return
        while self._records and time_ms - self._records[0].time_ms >= age_ms:
            self._records.popleft()

    def forget_from(self, next_offset: int) -> None:
        """Forget the records from an offset on, as a restored backup would."""
        while self._records and self._records[-1].offset >= next_offset:
            self._records.pop()
        self._next_offset = min(self._next_offset, max(FIRST_OFFSET, next_offset))


class TokenBucket:
    """Limit on a rate, with a burst.

    Parameters
    ----------
    per_second : float
        Tokens gained a second.
    burst : float
        Tokens held at most, and at the start.

    Examples
    --------
    >>> bucket = TokenBucket(per_second=10, burst=1)
    >>> bucket.take(now_s=0.0)
    0.0
    >>> bucket.take(now_s=0.0)
    100.0
    >>> bucket.take(now_s=0.1)
    0.0
    """

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = max(1.0, burst)
        self._tokens = self._burst
        self._updated_s: float | None = None

    def take(self, now_s: float) -> float:
        """Take a token; return 0, or the time in ms until there is one."""
        if self._updated_s is not None:
            gained = (now_s - self._updated_s) * self._per_second
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_s = now_s
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self._per_second * 1000
