"""A configuration as a set of named entries with a hash.

The document keeps each entry as canonical JSON, also the fields that this
program does not know. So nodes of different software versions hold the same
bytes and the same hash, and a delta is a set of entries.
"""

import hashlib
from collections.abc import Iterable, Mapping
from enum import IntEnum
from functools import cached_property
from typing import Any

import attrs
import orjson

HASH_SIZE_BYTES = 12


class Section(IntEnum):
    """Part of a document that an entry belongs to."""

    FLEET = 0
    SERVICES = 1
    ROUTES = 2
    PRESETS = 3

    @property
    def field(self) -> str:
        """Name of the section in the JSON form."""
        return self.name.lower()


LISTS = (Section.SERVICES, Section.ROUTES, Section.PRESETS)


@attrs.frozen(order=True)
class EntryKey:
    """Place of an entry: its section and its name."""

    section: Section
    name: str


def canonical_json(value: Any) -> bytes:
    """Return JSON text that is equal for equal values."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


@attrs.frozen(slots=False)
class Document:
    """An immutable set of entries.

    Attributes
    ----------
    entries : Mapping of EntryKey to bytes
        Canonical JSON of each entry.
    """

    entries: Mapping[EntryKey, bytes] = attrs.field(factory=dict)

    @cached_property
    def hash(self) -> bytes:
        """Hash over all entries, ``HASH_SIZE_BYTES`` long."""
        digest = hashlib.blake2b(digest_size=HASH_SIZE_BYTES)
        for key in sorted(self.entries):
            digest.update(f"{key.section.value}/{key.name}\0".encode())
            digest.update(self.entries[key])
            digest.update(b"\0")
        return digest.digest()

    @property
    def size_bytes(self) -> int:
        """Size of all entries together."""
        return sum(len(body) for body in self.entries.values())

    def with_changes(
        self, put: Mapping[EntryKey, bytes], removed: Iterable[EntryKey]
    ) -> "Document":
        """Return a document with entries replaced, added and removed."""
        entries = dict(self.entries)
        for key in removed:
            entries.pop(key, None)
        entries.update(put)
        return Document(entries)


def document_from_dict(plain: Mapping[str, Any]) -> Document:
    """Build a document from the JSON form of a configuration.

    Entries that have no name get their index, so that validation can say where
    the name is missing.
    """
    entries: dict[EntryKey, bytes] = {}
    lists = {section.field: section for section in LISTS}
    fleet = {name: value for name, value in plain.items() if name not in lists}
    entries[EntryKey(Section.FLEET, "")] = canonical_json(fleet)
    for field, section in lists.items():
        for index, item in enumerate(plain.get(field) or []):
            name = item.get("name") if isinstance(item, dict) else None
            key = EntryKey(section, name if isinstance(name, str) else f"#{index}")
            entries[key] = canonical_json(item)
    return Document(entries)


def document_to_dict(document: Document) -> dict[str, Any]:
    """Return the JSON form of a document, lists sorted by name."""
    plain: dict[str, Any] = {section.field: [] for section in LISTS}
    for key in sorted(document.entries):
        value = orjson.loads(document.entries[key])
        if key.section is Section.FLEET:
            plain.update(value)
        else:
            plain[key.section.field].append(value)
    return plain
