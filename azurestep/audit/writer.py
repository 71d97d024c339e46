"""The writer of a data centre's audit trail: batches within a bounded rate."""

import uuid
from collections import OrderedDict

import attrs

from .records import Batch, Entry, Gap, Item, encode_entry, identity_of

PENDING_MAXIMUM_BYTES = 1024 * 1024
BATCH_MAXIMUM_BYTES = 256 * 1024
OVERFLOW = "the platform's log could not be reached for too long"


@attrs.frozen
class Receipt:
    """Items of a run up to a number are on the log."""

    origin: str
    run: str
    number: int


@attrs.define
class _Kept:
    entry: Entry
    size_bytes: int
    wall_ms: int


class AuditWriter:
    """Collects entries and says when to append which batch.

    Entries of other nodes are not lost when it is full: it takes none, and they
    stay where they are. What it derived itself is dropped oldest first, and a
    gap says so.

    Parameters
    ----------
    data_centre, instance : str
        Whose trail it is, and who writes it.
    interval_ms : float
        Least time between two appends, and how long an item waits for others.
    """

    def __init__(self, data_centre: str, instance: str, interval_ms: float) -> None:
        self._data_centre = data_centre
        self._instance = instance
        self._interval_ms = interval_ms
        self._kept: OrderedDict[tuple[object, ...], _Kept] = OrderedDict()
        self._size_bytes = 0
        self._gap: Gap | None = None
        self._next_ms = 0.0
        self._waiting_since_ms: float | None = None
        self._in_flight: Batch | None = None
        self._covered_on_log = 0
        self.covered = 0

    def __len__(self) -> int:
        return len(self._kept)

    @property
    def size_bytes(self) -> int:
        """Size of what waits for the log."""
        return self._size_bytes

    def take(self, entries: list[Entry], wall_ms: int) -> None:
        """Take entries that other nodes numbered, as many as there is room for."""
        for entry in entries:
            if not self._keep(entry, wall_ms):
                return

    def derive(self, items: list[Item], wall_ms: int) -> None:
        """Take items that this writer derived, dropping older ones if need be."""
        for item in items:
            while not self._keep(Entry(item), wall_ms) and self._drop_derived():
                pass

    def _keep(self, entry: Entry, wall_ms: int) -> bool:
        identity = identity_of(entry)
        if identity in self._kept:
            return True
        size_bytes = len(encode_entry(entry))
        if self._size_bytes + size_bytes > PENDING_MAXIMUM_BYTES:
            return False
        self._kept[identity] = _Kept(entry, size_bytes, wall_ms)
        self._size_bytes += size_bytes
        return True

    def _drop_derived(self) -> bool:
        for identity, kept in self._kept.items():
            if kept.entry.number == 0:
                self._forget(identity)
                self._widen_gap(kept.wall_ms)
                return True
        return False

    def _forget(self, identity: tuple[object, ...]) -> None:
        kept = self._kept.pop(identity, None)
        if kept is not None:
            self._size_bytes -= kept.size_bytes

    def _widen_gap(self, lost_ms: int) -> None:
        gap = self._gap or Gap(self._data_centre, lost_ms, lost_ms, 0, OVERFLOW)
        self._gap = attrs.evolve(gap, to_ms=lost_ms, count=gap.count + 1)

    def next_batch(self, now_ms: float) -> Batch | None:
        """Return the batch to append now, or None.

        The answer must be given to ``appended`` or to ``failed`` before the next
        one is asked for.
        """
        if self._in_flight is not None or not self._is_due(now_ms):
            return None
        self._waiting_since_ms = None
        self._next_ms = now_ms + self._interval_ms
        entries: list[Entry] = []
        if self._gap is not None:
            entries.append(Entry(self._gap))
        entries.extend(self._first_kept())
        # A batch may claim to cover a publication only with all items before it.
        is_all = len(entries) >= len(self._kept)
        covers = self.covered if is_all else self._covered_on_log
        self._in_flight = Batch(
            uuid.uuid4().hex, self._data_centre, self._instance, covers, entries
        )
        return self._in_flight

    def _is_due(self, now_ms: float) -> bool:
        if not self._kept and self._gap is None:
            return False
        if self._waiting_since_ms is None:
            self._waiting_since_ms = now_ms
        # What belongs together, a verdict and its application, comes together.
        due_ms = max(self._next_ms, self._waiting_since_ms + self._interval_ms)
        return now_ms >= due_ms

    def _first_kept(self) -> list[Entry]:
        entries: list[Entry] = []
        size_bytes = 0
        for kept in self._kept.values():
            size_bytes += kept.size_bytes
            if size_bytes > BATCH_MAXIMUM_BYTES and entries:
                break
            entries.append(kept.entry)
        return entries

    def recover(self, covered: int) -> None:
        """Go on after the last batch that the log holds of this data centre."""
        self.covered = covered
        self._covered_on_log = covered

    def appended(self) -> list[Receipt]:
        """Note that the batch is on the log; return what to tell its origins."""
        batch, self._in_flight = self._in_flight, None
        if batch is None:
            return []
        self._covered_on_log = batch.covers
        receipts: dict[str, Receipt] = {}
        for entry in batch.entries:
            self._forget(identity_of(entry))
            if entry.item is self._gap:
                self._gap = None
            if entry.number:
                receipts[entry.run] = Receipt(entry.origin, entry.run, entry.number)
        return list(receipts.values())

    def failed(self) -> None:
        """Note that the batch may not be on the log; its entries stay."""
        self._in_flight = None

    def clear(self) -> None:
        """Forget everything, when another node became the writer.

        Its origins send again what was not receipted, and the next writer
        derives the rest from the last batch on the log.
        """
        self._kept.clear()
        self._size_bytes = 0
        self._gap = None
        self._in_flight = None
