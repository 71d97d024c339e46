"""What the lines tell of faults of the program itself. Pure."""

from collections import Counter
from collections.abc import Collection, Iterable

import attrs

from ..mesh import events
from .reader import LogLine

FAULT_EVENTS = frozenset(
    event.number
    for event in (
        events.TASK_FAILED,
        events.HANDLER_FAILED,
        events.FAULT,
        events.PEER_MALFORMED,
    )
)
MARKS = tuple(b'"event":%d,' % number for number in sorted(FAULT_EVENTS))
"""Beginnings of their lines."""


@attrs.frozen(slots=True)
class ProgramFault:
    """Faults of one kind at one place of one node.

    Attributes
    ----------
    event, message : int, str
        What happened, by its number in the catalogue.
    place : str
        Where it was caught; empty where the event has one place only.
    count : int
        How often.
    first_at_ms : float
        When it came first, in Unix milliseconds.
    cause, traceback : str
        Of the first one.
    """

    event: int
    message: str
    node: str
    place: str
    count: int
    first_at_ms: float
    cause: str
    traceback: str


@attrs.frozen(slots=True)
class FaultsResult:
    """All faults that some nodes' lines tell of.

    Attributes
    ----------
    faults : list of ProgramFault
        Ordered by event, the most frequent first.
    unreadable : int
        Lines that can't be read.
    damaged : int
        How many of these tell of a fault too; a collector may cut lines.
    """

    faults: list[ProgramFault]
    unreadable: int
    damaged: int


def find_faults(
    lines: Iterable[LogLine], damaged: Collection[bytes] = ()
) -> FaultsResult:
    """Count the faults in lines that are in the order of their times.

    Parameters
    ----------
    lines : iterable of LogLine
        What was read.
    damaged : collection of bytes
        The texts that could not be read.
    """
    first: dict[tuple[int, str, str], LogLine] = {}
    counts: Counter[tuple[int, str, str]] = Counter()
    for line in lines:
        if line.event in FAULT_EVENTS:
            key = (line.event, line.node, line.place)
            first.setdefault(key, line)
            counts[key] += 1
    faults = [_fault(line, counts[key]) for key, line in first.items()]
    faults.sort(key=lambda fault: (fault.event, -fault.count, fault.node, fault.place))
    told = sum(1 for text in damaged if any(mark in text for mark in MARKS))
    return FaultsResult(faults, len(damaged), told)


def _fault(line: LogLine, count: int) -> ProgramFault:
    return ProgramFault(
        line.event,
        line.message,
        line.node,
        line.place,
        count,
        line.at_ms,
        line.cause,
        line.traceback,
    )
