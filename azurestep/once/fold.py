"""Ownership state computed from the log, the same on every node that reads it."""

from collections.abc import Iterator

import attrs
from returns.result import Success

from . import slots
from .key import is_slot_count
from .records import (
    Checkpoint,
    Claim,
    Extend,
    OwnershipRecord,
    RecordProblem,
    Release,
    ServiceSlots,
    SlotSnapshot,
    decode_record,
)
from .slots import SlotState

MAX_BUFFERED_RECORDS = 20_000


@attrs.frozen(order=True)
class SlotId:
    """A slot of a service."""

    service: str
    slot: int


@attrs.frozen
class LogEntry:
    """One undecoded record of the platform's log."""

    offset: int
    payload: bytes


@attrs.frozen
class _BufferedRecord:
    offset: int
    record: OwnershipRecord


@attrs.define
class OwnershipFold:
    """Owners of the key times of each slot.

    The fold is complete if it has applied every record, or a checkpoint and
    every record after its ``as_of``. While incomplete it knows no owners.
    Offsets are contiguous, so a missing offset is a lost record.

    Attributes
    ----------
    next_offset : int
        Offset of the first record not yet applied.
    complete : bool
        Whether no record is missing.
    checkpoint_as_of : int
        ``as_of`` of the newest checkpoint read; -1 for none.
    """

    next_offset: int = 0
    complete: bool = True
    checkpoint_as_of: int = -1
    horizon_ms: int = 0
    slot_counts: dict[str, int] = attrs.field(factory=dict)
    states: dict[SlotId, SlotState] = attrs.field(factory=dict)
    _buffer: list[_BufferedRecord] = attrs.field(factory=list)
    _buffer_start: int = 0

    def apply_entries(
        self, from_offset: int, entries: tuple[LogEntry, ...], next_offset: int
    ) -> set[SlotId]:
        """Apply the records from ``from_offset`` up to ``next_offset``.

        Records already applied are skipped. Missing records make the fold
        incomplete.

        Returns
        -------
        set of SlotId
            Slots whose state changed.
        """
        if from_offset > self.next_offset:
            self._mark_incomplete(from_offset)
        changed: set[SlotId] = set()
        for entry in entries:
            if entry.offset < self.next_offset:
                continue
            if entry.offset > self.next_offset:
                self._mark_incomplete(entry.offset)
            self.next_offset = entry.offset + 1
            changed |= self._apply_entry(entry)
        if next_offset > self.next_offset:
            self._mark_incomplete(next_offset)
        return changed

    def invalidate(self) -> None:
        """Drop the state, because the log lost records that were applied."""
        self._mark_incomplete(self.next_offset)

    def state(self, slot_id: SlotId) -> SlotState:
        """Return the state of a slot."""
        return self.states.get(slot_id) or SlotState(self.horizon_ms)

    def is_gap(self, slot_id: SlotId, time_ms: int) -> bool:
        """Return whether no key of this time has run or can run."""
        return self.complete and self.state(slot_id).is_gap(time_ms)

    def checkpoint(self, record_id: str) -> Checkpoint:
        """Return a checkpoint of a complete fold."""
        return Checkpoint(
            id=record_id,
            as_of=self.next_offset - 1,
            horizon_ms=self.horizon_ms,
            services=tuple(
                ServiceSlots(service, count)
                for service, count in sorted(self.slot_counts.items())
            ),
            slots=tuple(
                SlotSnapshot(
                    slot_id.service, slot_id.slot, state.horizon_ms, state.intervals
                )
                for slot_id, state in sorted(self.states.items())
            ),
        )

    def _mark_incomplete(self, from_offset: int) -> None:
        self.complete = False
        self.next_offset = from_offset
        self.states = {}
        self._buffer = []
        self._buffer_start = from_offset

    def _apply_entry(self, entry: LogEntry) -> set[SlotId]:
        decoded = decode_record(entry.payload)
        if not isinstance(decoded, Success):
            if decoded.failure() is RecordProblem.FORMAT_UNSUPPORTED:
                self._mark_incomplete(entry.offset + 1)
            return set()
        record = decoded.unwrap()
        if isinstance(record, Checkpoint):
            return self._apply_checkpoint(record, entry.offset)
        if not self.complete:
            self._buffer_record(_BufferedRecord(entry.offset, record))
            return set()
        return self._apply_record(record)

    def _buffer_record(self, buffered: _BufferedRecord) -> None:
        self._buffer.append(buffered)
        if len(self._buffer) > MAX_BUFFERED_RECORDS:
            dropped = self._buffer.pop(0)
            self._buffer_start = dropped.offset + 1

    def _apply_checkpoint(self, record: Checkpoint, offset: int) -> set[SlotId]:
        if record.as_of >= offset:
            return set()
        self.checkpoint_as_of = max(self.checkpoint_as_of, record.as_of)
        if self.complete or record.as_of + 1 < self._buffer_start:
            return set()
        return self._adopt(record)

    def _adopt(self, record: Checkpoint) -> set[SlotId]:
        self.complete = True
        self.horizon_ms = record.horizon_ms
        self.slot_counts = {item.service: item.slot_count for item in record.services}
        self.states = {
            SlotId(item.service, item.slot): SlotState(item.horizon_ms, item.intervals)
            for item in record.slots
        }
        for buffered in self._buffer:
            if buffered.offset > record.as_of:
                self._apply_record(buffered.record)
        self._buffer = []
        return set(self.states)

    def _apply_record(self, record: OwnershipRecord) -> set[SlotId]:
        if isinstance(record, Checkpoint):
            return set()
        if isinstance(record, Claim) and not self._accepts_slot_count(record):
            return set()
        changed = set()
        for slot_id, after in self._next_states(record):
            if after is not self.states.get(slot_id):
                self.states[slot_id] = after
                changed.add(slot_id)
        return changed

    def _next_states(
        self, record: Claim | Extend | Release
    ) -> Iterator[tuple[SlotId, SlotState]]:
        if isinstance(record, Release):
            for held in record.held:
                slot_id = SlotId(record.service, held.slot)
                yield slot_id, slots.release(self.state(slot_id), record, held.tenure)
            return
        for slot in record.slots:
            slot_id = SlotId(record.service, slot)
            state = self.state(slot_id)
            if isinstance(record, Claim):
                yield slot_id, slots.claim(state, record)
            else:
                yield slot_id, slots.extend(state, record)

    def _accepts_slot_count(self, record: Claim) -> bool:
        if not is_slot_count(record.slot_count):
            return False
        count = self.slot_counts.setdefault(record.service, record.slot_count)
        return count == record.slot_count
