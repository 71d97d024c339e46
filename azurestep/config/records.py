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
    """One entry of a document in records and messages; the body is JSON text."""

    section: int
    name: str
    body: str

    @property
    def key(self) -> EntryKey:
        """Section and name of the entry."""
        return EntryKey(Section(self.section), self.name)


@attrs.frozen
class ReplaceDocument:
    """Change that replaces the complete configuration."""

    entries: list[Entry]


@attrs.frozen
class EditEntries:
    """Change that puts and removes entries; bodies of removed ones are ignored."""

    put: list[Entry] = attrs.field(factory=list)
    removed: list[Entry] = attrs.field(factory=list)


@attrs.frozen
class SwitchPreset:
    """Change that activates another preset."""

    preset: str


Change = ReplaceDocument | EditEntries | SwitchPreset


@attrs.frozen
class Publication:
    """A change proposed by an operator.

    Attributes
    ----------
    id : str
        Unique id from the operator's command; a retried append has the same id.
    base_version : int
        Version that the change is based on; 0 is the empty configuration.
    operator : str
        Name of the operator.
    change : Change
        The proposed change.
    format : int
        Record format that a reader must support.
    """

    id: str
    base_version: int
    operator: str
    change: Change
    format: int = RECORD_FORMAT


@attrs.frozen
class Checkpoint:
    """The complete configuration at an offset of the log.

    Attributes
    ----------
    id : str
        Unique id of this record.
    as_of : int
        Offset of the last record applied.
    version : int
        Version in force at ``as_of``.
    entries : list of Entry
        The complete configuration.
    instance : str
        Instance that wrote the checkpoint.
    """

    id: str
    as_of: int
    version: int
    entries: list[Entry]
    instance: str
    format: int = RECORD_FORMAT


@attrs.frozen
class Filler:
    """A record without effect.

    After the platform was restored from a backup, fillers extend the log to the
    offset that the fleet had already read.
    """

    id: str
    operator: str
    format: int = RECORD_FORMAT


Record = Publication | Checkpoint | Filler

CONVERTER = cattrs.Converter()
configure_tagged_union(Change, CONVERTER, tag_name="kind")
configure_tagged_union(Record, CONVERTER, tag_name="kind")


def entries_of(document: Document) -> list[Entry]:
    """Return the entries of a document, sorted by section and name."""
    return [
        Entry(key.section.value, key.name, document.entries[key].decode())
        for key in sorted(document.entries)
    ]


def document_from_entries(entries: list[Entry]) -> Document:
    """Build a document from entries of a record or message."""
    return Document({entry.key: entry.body.encode() for entry in entries})


def encode_record(record: Record) -> bytes:
    """Encode a record as JSON text."""
    return orjson.dumps(CONVERTER.unstructure(record, unstructure_as=Record))


def decode_record(value: Any) -> Record:
    """Decode a record from the JSON value that the log returned.

    Raises
    ------
    MessageMalformedError
        If the value is not a record of this stream.
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
    """Return the format of an undecoded record; 0 if it has none."""
    if not isinstance(value, dict):
        return 0
    number = value.get("format", 0)
    return number if isinstance(number, int) else 0
