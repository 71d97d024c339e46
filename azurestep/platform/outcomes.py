"""What calls to the platform's store come to, and who makes them."""

import attrs


@attrs.frozen(slots=True)
class Appended:
    """Records stand on the log from this offset on."""

    offset: int
    end_offset: int


@attrs.frozen(slots=True)
class KeyedRecord:
    """The newest value of a key; empty if the key was dropped."""

    key: str
    value: bytes
    offset: int


@attrs.frozen(slots=True)
class Records:
    """Records read, and the offset of the next read."""

    values: list[bytes]
    next_offset: int


@attrs.frozen(slots=True)
class LatestRecords:
    """The newest record of each key, and where to read on.

    Attributes
    ----------
    unreadable : int
        Records left out, since their key or value can't be read.
    """

    items: list[KeyedRecord]
    end_offset: int
    unreadable: int = 0


@attrs.frozen(slots=True)
class Truncated:
    """The records asked for are deleted; the log begins at this offset."""

    first_offset: int


@attrs.frozen(slots=True)
class Conflict:
    """The condition of an append did not hold."""

    end_offset: int


@attrs.frozen(slots=True)
class Fenced:
    """A process with a higher epoch has written as the same producer."""


@attrs.frozen(slots=True)
class OutOfSequence:
    """An append of the producer before this one is missing.

    Attributes
    ----------
    expected : int or None
        Number that the store waits for, where it tells it.
    """

    expected: int | None


@attrs.frozen(slots=True)
class Producer:
    """Who appends, so that a repeated or late append is told from a new one.

    Attributes
    ----------
    name : str
        Identity that outlives a process.
    epoch : int
        Number of the process; appends of an earlier one are refused.
    sequence : int
        Number of the append within the epoch; a repeat gets its first answer.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen(slots=True)
class Refused:
    """The store did nothing.

    Attributes
    ----------
    status : int
        Its status: 429 above the rate, 503 while it is away.
    """

    status: int


@attrs.frozen(slots=True)
class Unanswered:
    """No answer came; the call may have been carried out."""

    cause: str


Failed = Refused | Unanswered
AppendOutcome = Appended | Conflict | Fenced | OutOfSequence | Failed
