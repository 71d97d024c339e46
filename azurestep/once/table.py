"""Table of the keys that an owner accepted, limited in keys and in bytes."""

import heapq
from collections import deque

import attrs
import msgpack
import xxhash

from .fold import SlotId
from .messages import KeptAnswer, KeyState, TableEntry, TrustedSlot
from .settings import OnceSettings


@attrs.frozen(order=True)
class TableKey:
    """A key within its service."""

    service: str
    key: str


@attrs.frozen(order=True)
class _TimedKey:
    time_ms: int
    table_key: TableKey


@attrs.define
class KeyTable:
    """State and answer of each accepted key.

    A key is removed only if it did not run, or by ``expire_before``, which
    returns the key times from which on the table still holds every accepted key.
    """

    settings: OnceSettings
    _entries: dict[TableKey, TableEntry] = attrs.field(factory=dict)
    _expiry_heap: list[_TimedKey] = attrs.field(factory=list)
    _queued: set[TableKey] = attrs.field(factory=set)
    _answered: deque[TableKey] = attrs.field(factory=deque)
    _answers_bytes: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def answers_bytes(self) -> int:
        """Size of all kept answers."""
        return self._answers_bytes

    @property
    def is_full(self) -> bool:
        """Whether the table holds the maximum number of keys."""
        return len(self._entries) >= self.settings.max_keys

    def get(self, service: str, key: str) -> TableEntry | None:
        """Return the entry of a key."""
        return self._entries.get(TableKey(service, key))

    def put(self, entry: TableEntry) -> None:
        """Add an entry or replace the entry of the same key."""
        table_key = TableKey(entry.service, entry.key)
        known = self._entries.get(table_key)
        if table_key not in self._queued:
            self._queued.add(table_key)
            heapq.heappush(self._expiry_heap, _TimedKey(entry.time_ms, table_key))
        self._answers_bytes += _answer_bytes(entry) - _answer_bytes(known)
        self._entries[table_key] = entry
        if _answer_bytes(entry) > 0:
            self._answered.append(table_key)
        self._trim_answers()

    def remove(self, service: str, key: str) -> None:
        """Remove a key."""
        known = self._entries.pop(TableKey(service, key), None)
        self._answers_bytes -= _answer_bytes(known)

    def expire_before(self, time_ms: int) -> dict[SlotId, int]:
        """Remove the keys older than a key time, except running ones.

        Returns
        -------
        dict of SlotId to int
            For each slot with a removed key, the key time from which on the
            table still holds every accepted key.
        """
        trusted_from_ms: dict[SlotId, int] = {}
        running = []
        while self._expiry_heap and self._expiry_heap[0].time_ms < time_ms:
            timed = heapq.heappop(self._expiry_heap)
            self._queued.discard(timed.table_key)
            entry = self._entries.get(timed.table_key)
            if entry is None:
                continue
            if entry.state is KeyState.RUNNING:
                running.append(timed)
                continue
            self.remove(entry.service, entry.key)
            slot_id = SlotId(entry.service, entry.slot)
            trusted_from_ms[slot_id] = entry.time_ms + 1
        for timed in running:
            self._queued.add(timed.table_key)
            heapq.heappush(self._expiry_heap, timed)
        return trusted_from_ms

    def entries_of(self, slot_ids: set[SlotId]) -> tuple[TableEntry, ...]:
        """Return the entries of some slots, sorted by service and key."""
        found = (
            entry
            for entry in self._entries.values()
            if SlotId(entry.service, entry.slot) in slot_ids
        )
        return tuple(sorted(found, key=lambda entry: (entry.service, entry.key)))

    def _trim_answers(self) -> None:
        while self._answered and self._answered[0] not in self._entries:
            self._answered.popleft()
        while self._answers_bytes > self.settings.max_answers_bytes:
            table_key = self._answered.popleft()
            entry = self._entries.get(table_key)
            if entry is None or entry.answer is None:
                continue
            before_bytes = _answer_bytes(entry)
            trimmed = attrs.evolve(entry, answer=trim_answer(entry.answer))
            self._entries[table_key] = trimmed
            self._answers_bytes -= before_bytes


def trim_answer(answer: KeptAnswer) -> KeptAnswer:
    """Return an answer without headers and body."""
    return KeptAnswer(answer.status, trimmed=True)


def digest_of(
    transfer_id: str, slots: tuple[TrustedSlot, ...], entries: tuple[TableEntry, ...]
) -> str:
    """Return the digest of a table transfer."""
    rows: list[list[object]] = [[transfer_id]]
    rows += [[slot.slot, slot.trusted_from_ms] for slot in slots]
    rows += [
        [entry.service, entry.slot, entry.key, entry.fingerprint, entry.state]
        for entry in entries
    ]
    return xxhash.xxh3_128_hexdigest(msgpack.packb(rows))


def _answer_bytes(entry: TableEntry | None) -> int:
    if entry is None or entry.answer is None:
        return 0
    return entry.answer.size_bytes
