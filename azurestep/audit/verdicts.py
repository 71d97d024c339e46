"""Which publications were accepted, derived from the version that a node holds.

A publication is accepted only against the version in force, so the accepted ones
form a chain: each names the one before it as its base. Walking it back from the
version that is held tells them from the refused ones without folding the log
again, and so without the documents.
"""

from functools import singledispatch

import attrs
import orjson

from ..config.document import Section
from ..config.records import (
    Change,
    Checkpoint,
    EditEntries,
    Entry,
    Filler,
    ReplaceDocument,
    SwitchPreset,
    decode_record,
)
from ..errors import MessageMalformedError
from ..platform.records import LogRecord
from .records import Item, PresetInForce, PublicationAccepted, PublicationRefused

UNREADABLE = "the record can't be read as a publication"
INVALID = "the resulting configuration did not validate"


@attrs.frozen
class Head:
    """What the trail needs of a publication, without its document.

    Attributes
    ----------
    id : str
        The publication; empty if the record can't be read.
    change : str
        Kind of its change.
    preset : str
        Preset that it puts in force; empty if it names none.
    """

    offset: int
    time_ms: int
    id: str = ""
    operator: str = ""
    base_version: int = -1
    change: str = ""
    preset: str = ""


def head_of(record: LogRecord) -> Head | None:
    """Return the head of a record; None for one that proposes nothing."""
    try:
        decoded = decode_record(record.value)
    except MessageMalformedError:
        return Head(record.offset, record.time_ms)
    if isinstance(decoded, Checkpoint | Filler):
        return None
    return Head(
        record.offset,
        record.time_ms,
        decoded.id,
        decoded.operator,
        decoded.base_version,
        type(decoded.change).__name__,
        preset_of(decoded.change),
    )


def derive_verdicts(heads: list[Head], version: int) -> list[Item]:
    """Return the audit items of publications.

    Parameters
    ----------
    heads : list of Head
        All publications after those written before, up to the offset that the
        version is known to be in force at.
    version : int
        Version in force after them.
    """
    accepted = _accepted_offsets(heads, version)
    first = next((head for head in heads if head.offset in accepted), None)
    current = first.base_version if first is not None else version
    ids: set[str] = set()
    items: list[Item] = []
    for head in heads:
        if head.offset in accepted:
            current = head.offset
            ids.add(head.id)
            items.extend(_accept(head))
        elif head.id not in ids:
            # A publication appended again after a lost answer is no second one.
            items.append(_refuse(head, current))
    return items


def _accepted_offsets(heads: list[Head], version: int) -> set[int]:
    bases = {head.offset: head.base_version for head in heads}
    accepted: set[int] = set()
    offset = version
    while offset in bases and offset not in accepted:
        accepted.add(offset)
        offset = bases[offset]
    return accepted


def _accept(head: Head) -> list[Item]:
    items: list[Item] = [
        PublicationAccepted(
            head.offset,
            head.id,
            head.operator,
            head.base_version,
            head.change,
            head.preset,
            head.time_ms,
        )
    ]
    if head.change == SwitchPreset.__name__:
        items.append(
            PresetInForce(head.offset, head.preset, head.operator, head.time_ms)
        )
    return items


def _refuse(head: Head, current: int) -> PublicationRefused:
    reason = _reason_for(head, current)
    return PublicationRefused(head.offset, head.id, head.operator, reason, head.time_ms)


def _reason_for(head: Head, current: int) -> str:
    if not head.id:
        return UNREADABLE
    if head.base_version == current:
        return INVALID
    return f"made against version {head.base_version} while {current} is in force"


@singledispatch
def preset_of(change: Change) -> str:
    """Return the preset that a change puts in force; empty if it names none."""
    return ""


@preset_of.register
def _(change: SwitchPreset) -> str:
    return change.preset


@preset_of.register
def _(change: ReplaceDocument) -> str:
    return _preset_among(change.entries)


@preset_of.register
def _(change: EditEntries) -> str:
    return _preset_among(change.put)


def _preset_among(entries: list[Entry]) -> str:
    for entry in entries:
        if entry.section == Section.FLEET:
            return _preset_in(entry.body)
    return ""


def _preset_in(body: str) -> str:
    try:
        fleet = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ""
    return str(fleet.get("active_preset", "")) if isinstance(fleet, dict) else ""
