"""Application of changes to a document."""

from functools import singledispatch

import orjson

from .document import Document, EntryKey, Section, canonical_json
from .records import (
    Change,
    EditEntries,
    ReplaceDocument,
    SwitchPreset,
    document_from_entries,
)

FLEET_KEY = EntryKey(Section.FLEET, "")


@singledispatch
def apply_change(change: Change, document: Document) -> Document:
    """Return the document after a change, without validating it."""
    raise TypeError(f"{type(change).__name__} is not a change")


@apply_change.register
def _replace(change: ReplaceDocument, document: Document) -> Document:
    return document_from_entries(change.entries)


@apply_change.register
def _edit(change: EditEntries, document: Document) -> Document:
    put = {entry.key: entry.body.encode() for entry in change.put}
    return document.with_changes(put, [entry.key for entry in change.removed])


@apply_change.register
def _switch(change: SwitchPreset, document: Document) -> Document:
    fleet = orjson.loads(document.entries.get(FLEET_KEY, b"{}"))
    fleet["active_preset"] = change.preset
    return document.with_changes({FLEET_KEY: canonical_json(fleet)}, [])
