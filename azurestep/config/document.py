"""A configuration as a set of named entries with a hash.

Entries are kept as canonical JSON, including fields unknown to this program, so
that nodes of different software versions hold the same bytes and hash.
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
    """Section of a document."""

    FLEET = 0
    SERVICES = 1
    ROUTES = 2
    PRESETS = 3

    @property
    def field(self) -> str:
        """Name of the section in the JSON form."""
        return self.name.lower()


LIST_SECTIONS = (Section.SERVICES, Section.ROUTES, Section.PRESETS)


@attrs.frozen(order=True)
class EntryKey:
    """Section and name that identify an entry."""

    section: Section
    name: str


def canonical_json(value: Any) -> bytes:
    """Return the JSON text of a value with sorted keys."""
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
        """Hash of all entries, ``HASH_SIZE_BYTES`` long."""
        digest = hashlib.blake2b(digest_size=HASH_SIZE_BYTES)
        for key in sorted(self.entries):
            digest.update(f"{key.section.value}/{key.name}\0".encode())
            digest.update(self.entries[key])
            digest.update(b"\0")
        return digest.digest()

    @property
    def size_bytes(self) -> int:
        """Total size of all entries."""
        return sum(len(body) for body in self.entries.values())

    def with_changes(
        self, put: Mapping[EntryKey, bytes], removed: Iterable[EntryKey]
    ) -> "Document":
        """Return a copy with entries added, replaced and removed."""
        entries = dict(self.entries)
        for key in removed:
            entries.pop(key, None)
        entries.update(put)
        return Document(entries)


def document_from_dict(plain: Mapping[str, Any]) -> Document:
    """Build a document from the parsed JSON of a configuration.

    Entries without a name are named by their index, so that validation can
    report their position.
    """
    entries: dict[EntryKey, bytes] = {}
    lists = {section.field: section for section in LIST_SECTIONS}
    fleet = {name: value for name, value in plain.items() if name not in lists}
    entries[EntryKey(Section.FLEET, "")] = canonical_json(fleet)
    for field, section in lists.items():
        for index, item in enumerate(plain.get(field) or []):
            name = item.get("name") if isinstance(item, dict) else None
            key = EntryKey(section, name if isinstance(name, str) else f"#{index}")
            entries[key] = canonical_json(item)
    return Document(entries)


def document_to_dict(document: Document) -> dict[str, Any]:
    """Return the configuration of a document as a dict, lists sorted by name."""
    plain: dict[str, Any] = {section.field: [] for section in LIST_SECTIONS}
    for key in sorted(document.entries):
        value = orjson.loads(document.entries[key])
        if key.section is Section.FLEET:
            plain.update(value)
        else:
            plain[key.section.field].append(value)
    return plain
