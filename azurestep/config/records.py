"""Records of the configuration stream on the platform's log."""

from typing import Any

import attrs
import cattrs
import orjson
from cattrs.strategies import configure_tagged_union

from ..errors import MessageMalformedError
from .document import Document, EntryKey, Section

STREAM = "configuration"
RECORD_FORMAT = 1
MAX_ID_LENGTH = 64


@attrs.frozen
class Entry:
    """One entry of a document on the wire: section, name, canonical JSON."""

    section: int
    name: str
    body: str

    @property
    def key(self) -> EntryKey:
        """Place of the entry."""
        return EntryKey(Section(self.section), self.name)


@attrs.frozen
class ReplaceDocument:
    """Change: the whole configuration is replaced."""

    entries: list[Entry]


@attrs.frozen
class EditEntries:
    """Change: entries are put and removed; removals name section and name."""

    put: list[Entry] = attrs.field(factory=list)
    removed: list[Entry] = attrs.field(factory=list)


@attrs.frozen
class SwitchPreset:
    """Change: another preset is put in force."""

    preset: str


Change = ReplaceDocument | EditEntries | SwitchPreset


@attrs.frozen
class Publication:
    """An operator's proposal of a change.

    Attributes
    ----------
    id : str
        Unique name, chosen by the operator's command; a repeated append keeps
        it.
    base_version : int
        Version that the change was made against; 0 is the empty one.
    operator : str
        Who published it.
    change : Change
        What is to change.
    format : int
        Format that a program must know to fold the record.
    """

    id: str
    base_version: int
    operator: str
    change: Change
    format: int = RECORD_FORMAT


@attrs.frozen
class Checkpoint:
    """The whole configuration as folded up to an offset.

    Attributes
    ----------
    id : str
        Unique name of this record.
    as_of : int
        Offset of the last record that was folded into it.
    version : int
        Version in force at ``as_of``.
    entries : list of Entry
        The whole configuration.
    instance : str
        Who wrote it.
    """

    id: str
    as_of: int
    version: int
    entries: list[Entry]
    instance: str
    format: int = RECORD_FORMAT


@attrs.frozen
class Filler:
    """A record that changes nothing.

    After the platform was restored from a backup, fillers bring the log back to
    the offset that the fleet had read already.
    """

    id: str
    operator: str
    format: int = RECORD_FORMAT


Record = Publication | Checkpoint | Filler

CONVERTER = cattrs.Converter()
configure_tagged_union(Change, CONVERTER, tag_name="kind")
configure_tagged_union(Record, CONVERTER, tag_name="kind")


def entries_of(document: Document) -> list[Entry]:
    """Return the entries of a document, sorted by place."""
    return [
        Entry(key.section.value, key.name, document.entries[key].decode())
        for key in sorted(document.entries)
    ]


def document_from_entries(entries: list[Entry]) -> Document:
    """Build a document from entries on the wire."""
    return Document({entry.key: entry.body.encode() for entry in entries})


def encode_record(record: Record) -> bytes:
    """Return the JSON text of a record."""
    return orjson.dumps(CONVERTER.unstructure(record, unstructure_as=Record))


def decode_record(value: Any) -> Record:
    """Build a record from the JSON value that the log returned.

    Raises
    ------
    MessageMalformedError
        If the value is no record of this stream.
    """
    try:
        record: Record = CONVERTER.structure(value, Record)  # type: ignore[arg-type]
    except Exception as error:
        raise MessageMalformedError(
            "a record of the configuration stream can't be decoded",
            "Find out who else appends to that stream",
        ) from error
    return record


def format_of(value: Any) -> int:
    """Return the format that a raw record asks for; 0 when it names none."""
    if not isinstance(value, dict):
        return 0
    named = value.get("format", 0)
    return named if isinstance(named, int) else 0
