"""The audit trail as it was read back from the log."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, TypeVar

import attrs
from returns.result import Failure

from ..platform.records import LogRecord
from .records import Entry, Gap, Item, decode_batch, identity_of

Kind = TypeVar("Kind")

NEVER_WRITTEN = "numbered items never reached the log"
RETENTION = "the platform's log no longer holds the oldest records"
UNREADABLE = "a record of the audit stream can't be read"


@attrs.frozen
class Numbered:
    """An entry and its place on the log, for example ``17.2``."""

    number: str
    time_ms: int
    entry: Entry

    @property
    def item(self) -> Item:
        """What the entry says."""
        return self.entry.item


@attrs.frozen
class Trail:
    """All entries of the audit stream in the order of the log, without copies.

    Attributes
    ----------
    entries : tuple of Numbered
        The entries.
    lost : tuple of Gap
        Losses that show only when the whole trail is looked at.
    """

    entries: tuple[Numbered, ...]
    lost: tuple[Gap, ...] = ()

    def of_kind(self, kind: type[Kind]) -> Iterator[Kind]:
        """Yield the items of one kind."""
        for numbered in self.entries:
            if isinstance(numbered.item, kind):
                yield numbered.item

    def gaps(self) -> list[Gap]:
        """Return every known loss."""
        return [*self.lost, *self.of_kind(Gap)]


def read_trail(records: Iterable[LogRecord], first_offset: int) -> Trail:
    """Return the trail of the records of the audit stream.

    Parameters
    ----------
    first_offset : int
        Earliest offset that the log still holds.
    """
    seen: set[Any] = set()
    entries: list[Numbered] = []
    lost: list[Gap] = []
    for record in records:
        decoded = decode_batch(record.value)
        if isinstance(decoded, Failure):
            lost.append(Gap("", record.time_ms, record.time_ms, 1, UNREADABLE))
            continue
        for index, entry in enumerate(decoded.unwrap().entries, 1):
            identity = identity_of(entry)
            if identity in seen:
                continue
            seen.add(identity)
            number = f"{record.offset}.{index}"
            entries.append(Numbered(number, record.time_ms, entry))
    if first_offset > 1 and entries:
        first_ms = entries[0].time_ms
        lost.append(Gap("", 0, first_ms, first_offset - 1, RETENTION))
    lost.extend(_missing_numbers(entries, first_offset > 1))
    return Trail(tuple(entries), tuple(lost))


def _missing_numbers(entries: list[Numbered], is_cut: bool) -> Iterator[Gap]:
    """Yield the holes in the numbers of each run of a node."""
    runs: dict[tuple[str, str], list[Numbered]] = defaultdict(list)
    for numbered in entries:
        if numbered.entry.number:
            runs[(numbered.entry.origin, numbered.entry.run)].append(numbered)
    for (origin, _), found in runs.items():
        found.sort(key=lambda numbered: numbered.entry.number)
        before = found[0] if is_cut else None
        for numbered in found:
            last = before.entry.number if before else 0
            count = numbered.entry.number - last - 1
            if count > 0 and not _is_told(found, count):
                from_ms = before.time_ms if before else numbered.time_ms
                yield Gap(origin, from_ms, numbered.time_ms, count, NEVER_WRITTEN)
            before = numbered


def _is_told(found: list[Numbered], count: int) -> bool:
    """Whether the node itself said that it lost that many items."""
    told = (n.item.count for n in found if isinstance(n.item, Gap))
    return any(lost >= count for lost in told)
