"""Deltas between two versions of a document."""

import attrs
from returns.result import Failure, Result, Success

from .document import Document, EntryKey, Section
from .records import Entry


@attrs.frozen
class Delta:
    """The difference between a base document and a version.

    Attributes
    ----------
    base_hash : bytes
        Hash of the base document; empty for a snapshot, which needs no base.
    version : int
        Resulting version.
    hash : bytes
        Hash of the resulting document.
    as_of : int
        Offset of the last log record that the sender had applied.
    put : list of Entry
        Entries added or replaced.
    removed : list of Entry
        Entries removed, with an empty body.
    """

    base_hash: bytes
    version: int
    hash: bytes
    as_of: int
    put: list[Entry]
    removed: list[Entry]

    @property
    def is_snapshot(self) -> bool:
        """Whether the delta holds the complete document."""
        return not self.base_hash


def make_delta(base: Document, target: Document, version: int, as_of: int) -> Delta:
    """Return the delta between two documents."""
    put = [
        _entry(key, body)
        for key, body in target.entries.items()
        if base.entries.get(key) != body
    ]
    removed = [_entry(key, b"") for key in base.entries if key not in target.entries]
    return Delta(base.hash, version, target.hash, as_of, put, removed)


def make_snapshot(document: Document, version: int, as_of: int) -> Delta:
    """Return a delta that holds the complete document."""
    put = [_entry(key, body) for key, body in document.entries.items()]
    return Delta(b"", version, document.hash, as_of, put, [])


def _entry(key: EntryKey, body: bytes) -> Entry:
    return Entry(key.section.value, key.name, body.decode())


def apply_delta(base: Document, delta: Delta) -> Result[Document, str]:
    """Return the resulting document, or why the delta does not apply."""
    if not delta.is_snapshot and delta.base_hash != base.hash:
        return Failure("the delta applies to another base document")
    start = Document() if delta.is_snapshot else base
    try:
        put = {entry.key: entry.body.encode() for entry in delta.put}
        removed = [EntryKey(Section(e.section), e.name) for e in delta.removed]
    except ValueError:
        return Failure("the delta has an entry of an unknown section")
    document = start.with_changes(put, removed)
    if document.hash != delta.hash:
        return Failure("the hash of the resulting document differs")
    return Success(document)
