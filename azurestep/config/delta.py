"""Differences between two versions of a document."""

import attrs
from returns.result import Failure, Result, Success

from .document import Document, EntryKey, Section
from .records import Entry


@attrs.frozen
class Delta:
    """What turns a document with one hash into the document of a version.

    Attributes
    ----------
    base_hash : bytes
        Hash of the document that the delta applies to; empty for a whole
        snapshot, which applies to any.
    version : int
        Version that results.
    hash : bytes
        Hash of the document that results.
    as_of : int
        Offset up to which the sender had folded the log.
    put : list of Entry
        Entries added or replaced.
    removed : list of Entry
        Entries removed; their body is empty.
    """

    base_hash: bytes
    version: int
    hash: bytes
    as_of: int
    put: list[Entry]
    removed: list[Entry]

    @property
    def is_snapshot(self) -> bool:
        """Whether the delta stands for the whole document."""
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
    """Return a delta that stands for the whole document."""
    put = [_entry(key, body) for key, body in document.entries.items()]
    return Delta(b"", version, document.hash, as_of, put, [])


def _entry(key: EntryKey, body: bytes) -> Entry:
    return Entry(key.section.value, key.name, body.decode())


def apply_delta(base: Document, delta: Delta) -> Result[Document, str]:
    """Return the resulting document, or why the delta does not apply."""
    if not delta.is_snapshot and delta.base_hash != base.hash:
        return Failure("the delta is for another base")
    start = Document() if delta.is_snapshot else base
    try:
        put = {entry.key: entry.body.encode() for entry in delta.put}
        removed = [EntryKey(Section(e.section), e.name) for e in delta.removed]
    except ValueError:
        return Failure("the delta names an unknown section")
    document = start.with_changes(put, removed)
    if document.hash != delta.hash:
        return Failure("the result has another hash")
    return Success(document)
