"""Typed outcomes of calls to the platform's store.

``era`` is the era that the store named in its answer, None if it named none. It rises
when the store returns from an older copy, without what was written since.
"""

import attrs

from ..values import Value


@attrs.frozen(slots=True, eq=False, repr=False)
class Appended(Value):
    """Records were appended to the log at this offset."""

    offset: int
    end_offset: int
    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class KeyedRecord(Value):
    """Latest record of a key, as ``read_latest`` returns it; empty if deleted."""

    key: str
    value: bytes
    offset: int


@attrs.frozen(slots=True, eq=False, repr=False)
class Records(Value):
    """Records of a read.

    Attributes
    ----------
    next_offset : int
        Offset after these records, at which to continue.
    end_offset : int
        Offset at which the log ended; higher if there were more records.
    """

    values: list[bytes]
    next_offset: int
    end_offset: int
    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class LatestRecords(Value):
    """The latest record of each key, and the offset to continue reading at.

    Attributes
    ----------
    unreadable : int
        Number of records skipped because they can't be decoded.
    """

    items: list[KeyedRecord]
    end_offset: int
    unreadable: int = 0
    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class Truncated(Value):
    """The log has no record at the requested offset.

    Attributes
    ----------
    first_offset : int or None
        Offset at which the log starts; None if the store named none.
    """

    first_offset: int | None
    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class Conflict(Value):
    """The condition of an append was not met."""

    end_offset: int
    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class Fenced(Value):
    """A process with a higher epoch appended as the same producer."""

    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class OutOfSequence(Value):
    """An earlier append of the producer is missing.

    Attributes
    ----------
    expected : int or None
        Sequence number that the store expects, if reported.
    """

    expected: int | None
    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class Producer(Value):
    """Identity of a writer, which lets the store detect repeated and late appends.

    Attributes
    ----------
    name : str
        Name that stays the same across restarts.
    epoch : int
        Number of the process; the store rejects appends of earlier epochs.
    sequence : int
        Number of the append within the epoch; a repeat gets the original answer.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen(slots=True, eq=False, repr=False)
class Refused(Value):
    """The store rejected the call without effect.

    Attributes
    ----------
    status : int
        HTTP status: 429 above the rate limit, 503 while unavailable.
    """

    status: int
    era: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class Unanswered(Value):
    """No complete answer was received; the call may have taken effect.

    Attributes
    ----------
    waited_ms : float
        Time from the call until it was given up.
    received_bytes : int
        How much of the answer's body was there by then.
    """

    cause: str
    era: int | None = None
    waited_ms: float = 0.0
    received_bytes: int = 0


Failed = Refused | Unanswered
AppendOutcome = Appended | Conflict | Fenced | OutOfSequence | Failed
