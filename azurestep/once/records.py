"""Records of the ownership log and their JSON form."""

from enum import StrEnum
from typing import Any

import attrs
import cattrs
import orjson
from returns.result import Failure, Result, Success

FORMAT = 1


@attrs.frozen(order=True)
class NodeId:
    """One process of a node.

    Attributes
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Random text drawn at the start of the process, so that it never repeats;
        the counter of the membership must not be used here.
    """

    instance: str
    incarnation: str


class IntervalState(StrEnum):
    """What the log says of an interval."""

    HELD = "held"
    RELEASED = "released"


@attrs.frozen
class Interval:
    """Key times that one node process owns in one slot.

    Attributes
    ----------
    node : NodeId
        The owner.
    start_ms, end_ms : int
        Key times, from the first included to the last excluded.
    tenure : str
        Id of the record that made this node the owner.
    state : IntervalState
        Whether the owner still holds it.
    cut_ms : int
        Keys from this time on were never accepted by a former owner; below it
        the owner needs the table that was handed over.
    digest : str
        Digest of that table; empty when nothing was handed over.
    """

    node: NodeId
    start_ms: int
    end_ms: int
    tenure: str
    state: IntervalState = IntervalState.HELD
    cut_ms: int = 0
    digest: str = ""

    def covers(self, time_ms: int) -> bool:
        """Return whether a key time lies inside."""
        return self.start_ms <= time_ms < self.end_ms


@attrs.frozen
class Claim:
    """A node process asks for slots from a key time on."""

    id: str
    node: NodeId
    service: str
    slot_count: int
    slots: tuple[int, ...]
    start_ms: int
    end_ms: int


@attrs.frozen
class Extend:
    """An owner moves the end of its intervals."""

    id: str
    node: NodeId
    service: str
    slots: tuple[int, ...]
    end_ms: int


@attrs.frozen
class HeldSlot:
    """A slot and the tenure that is given up.

    The tenure keeps a late copy of a release from ending a later tenure.
    """

    slot: int
    tenure: str


@attrs.frozen
class Release:
    """An owner gives slots up, to a successor if it names one.

    Attributes
    ----------
    held : tuple of HeldSlot
        What is given up.
    cut_ms : int
        The owner accepted no key of this time or later, and accepts none after
        it appended the record.
    successor : NodeId or None
        Next owner of the same intervals.
    digest : str
        Digest of the table that the successor was sent.
    """

    id: str
    node: NodeId
    service: str
    held: tuple[HeldSlot, ...]
    cut_ms: int
    successor: NodeId | None = None
    digest: str = ""


@attrs.frozen
class SlotSnapshot:
    """State of one slot in a checkpoint."""

    service: str
    slot: int
    horizon_ms: int
    intervals: tuple[Interval, ...]


@attrs.frozen
class ServiceSlots:
    """Number of slots of a service in a checkpoint."""

    service: str
    slot_count: int


@attrs.frozen
class Checkpoint:
    """The whole state, appended again before retention drops its records.

    Attributes
    ----------
    as_of : int
        Offset of the last record that the state includes; -1 for none.
    horizon_ms : int
        Key time below which nothing is known of slots that are not listed.
    """

    id: str
    as_of: int
    horizon_ms: int
    services: tuple[ServiceSlots, ...]
    slots: tuple[SlotSnapshot, ...]


OwnershipRecord = Claim | Extend | Release | Checkpoint

KINDS: dict[str, type] = {
    "claim": Claim,
    "extend": Extend,
    "release": Release,
    "checkpoint": Checkpoint,
}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}
CONVERTER = cattrs.Converter()


class RecordProblem(StrEnum):
    """Why a record was not read."""

    MALFORMED = "malformed"
    FORMAT_UNSUPPORTED = "format_unsupported"


def encode_record(record: OwnershipRecord) -> bytes:
    """Return the JSON form of a record."""
    document = {"format": FORMAT, "kind": KIND_NAMES[type(record)]}
    return orjson.dumps(document | CONVERTER.unstructure(record))


def decode_record(raw: bytes) -> Result[OwnershipRecord, RecordProblem]:
    """Read a record from its JSON form.

    Returns
    -------
    Result
        The record; ``MALFORMED`` for what every reader ignores alike, and
        ``FORMAT_UNSUPPORTED`` for what a newer program wrote.
    """
    try:
        document: Any = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return Failure(RecordProblem.MALFORMED)
    if not isinstance(document, dict) or not isinstance(document.get("format"), int):
        return Failure(RecordProblem.MALFORMED)
    if document["format"] > FORMAT:
        return Failure(RecordProblem.FORMAT_UNSUPPORTED)
    kind = KINDS.get(str(document.get("kind")))
    if kind is None:
        return Failure(RecordProblem.MALFORMED)
    try:
        return Success(CONVERTER.structure(document, kind))
    except cattrs.BaseValidationError:
        return Failure(RecordProblem.MALFORMED)
