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
        Random text generated at the start of the process. The membership's
        counter must not be used here, because it may repeat.
    """

    instance: str
    incarnation: str


class IntervalState(StrEnum):
    """Whether an interval is still held by its owner."""

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
        Whether the owner still holds the interval.
    cut_ms : int
        Key time from which on no former owner accepted a key; for earlier times
        the owner needs the table of the handover.
    digest : str
        Digest of that table; empty without a handover.
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
    """A node process claims slots for a range of key times."""

    id: str
    node: NodeId
    service: str
    slot_count: int
    slots: tuple[int, ...]
    start_ms: int
    end_ms: int


@attrs.frozen
class Extend:
    """An owner extends its intervals."""

    id: str
    node: NodeId
    service: str
    slots: tuple[int, ...]
    end_ms: int


@attrs.frozen
class HeldSlot:
    """A slot that is released, with its tenure.

    The tenure prevents a late copy of a release from ending a later tenure.
    """

    slot: int
    tenure: str


@attrs.frozen
class Release:
    """An owner releases slots, optionally to a successor.

    Attributes
    ----------
    held : tuple of HeldSlot
        Slots that are released.
    cut_ms : int
        Key time from which on the owner accepted no key.
    successor : NodeId or None
        Next owner of the same intervals.
    digest : str
        Digest of the table that was sent to the successor.
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
    """The complete ownership state, for readers of a log with dropped records.

    Attributes
    ----------
    as_of : int
        Offset of the last record that the state includes; -1 for none.
    horizon_ms : int
        Key time below which the owners of unlisted slots are unknown.
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
    """Why a record can't be decoded."""

    MALFORMED = "malformed"
    FORMAT_UNSUPPORTED = "format_unsupported"


def encode_record(record: OwnershipRecord) -> bytes:
    """Return the JSON form of a record."""
    document = {"format": FORMAT, "kind": KIND_NAMES[type(record)]}
    return orjson.dumps(document | CONVERTER.unstructure(record))


def decode_record(raw: bytes) -> Result[OwnershipRecord, RecordProblem]:
    """Decode a record from its JSON form.

    Returns
    -------
    Result
        The record; ``MALFORMED`` for a record that every reader ignores, or
        ``FORMAT_UNSUPPORTED`` for one that a newer program wrote.
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
