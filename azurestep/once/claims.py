"""Schedule of the claims, extensions and checkpoints of a node."""

import statistics
from collections import defaultdict
from random import Random

import attrs

from .assignment import preferred_owner
from .checkpoints import CheckpointSchedule
from .fold import OwnershipFold, SlotId
from .members import Members
from .messages import AppendRecord, Moment
from .owner import OwnerRole
from .records import Claim, Extend, IntervalState, NodeId, OwnershipRecord
from .settings import OnceSettings
from .slots import SlotState
from .tenure import TenureState

MIN_CLOCK_SAMPLES = 3
CLOCK_TOLERANCE_INTERVALS = 2


@attrs.frozen
class _Pending:
    append_id: str
    deadline_ms: float
    offset: int | None = None


@attrs.define
class ClaimScheduler:
    """Decides which claims, extensions and checkpoints this node appends.

    One append is in flight at a time. Repeated or late records are harmless,
    because the fold ignores records that don't match its state.

    Attributes
    ----------
    is_clock_ahead : bool
        Whether the last records were withheld because this node's clock is far
        ahead of the other owners' clocks.
    """

    node: NodeId
    service: str
    settings: OnceSettings
    random: Random
    is_clock_ahead: bool = False
    _pending: _Pending | None = None
    _append_count: int = 0
    _extension_lead_ms: float = 0.0
    _checkpoints: CheckpointSchedule = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._draw_extension_lead()
        self._checkpoints = CheckpointSchedule(self.node, self.settings)

    def next_id(self) -> str:
        """Return a unique record id."""
        self._append_count += 1
        return f"{self.node.incarnation}-{self._append_count}"

    def record_append(self, append_id: str, offset: int) -> None:
        """Record the offset of an append, to wait until it is read back."""
        if self._pending is not None and self._pending.append_id == append_id:
            self._pending = attrs.evolve(self._pending, offset=offset)

    def is_clock_plausible(self, fold: OwnershipFold, now: Moment) -> bool:
        """Return whether the local clock agrees with the other owners' records.

        A claim with a start far in the future would block the slot until then.
        """
        ends = {
            interval.node: interval.end_ms
            for state in fold.states.values()
            for interval in state.intervals[-1:]
            if interval.node != self.node
        }
        if len(ends) < MIN_CLOCK_SAMPLES:
            return True
        tolerance_ms = CLOCK_TOLERANCE_INTERVALS * self.settings.ownership_interval_ms
        return now.wall_ms <= statistics.median(ends.values()) + tolerance_ms

    def tick(
        self, fold: OwnershipFold, owner: OwnerRole, members: Members, now: Moment
    ) -> list[AppendRecord]:
        """Return the next records to append."""
        if not self.service or not fold.complete or self._is_waiting(fold, now):
            return []
        records = self._extensions(owner, fold, now)
        records = records or self._claims(fold, members, now)
        self.is_clock_ahead = bool(records) and not self.is_clock_plausible(fold, now)
        if self.is_clock_ahead:
            records = []
        if not records and self._checkpoints.is_due(fold, now):
            records = [fold.checkpoint(self.next_id())]
        return [self._append(record, now) for record in records[:1]]

    def _append(self, record: OwnershipRecord, now: Moment) -> AppendRecord:
        deadline_ms = now.monotonic_ms + self.settings.append_timeout_ms
        self._pending = _Pending(record.id, deadline_ms)
        return AppendRecord(record.id, record)

    def _is_waiting(self, fold: OwnershipFold, now: Moment) -> bool:
        pending = self._pending
        if pending is None:
            return False
        if pending.offset is not None and fold.next_offset > pending.offset:
            return False
        return now.monotonic_ms < pending.deadline_ms

    # Extending

    def _draw_extension_lead(self) -> None:
        half_ms = self.settings.ownership_interval_ms / 2
        jitter = self.random.random() * self.settings.extend_jitter_ratio
        self._extension_lead_ms = half_ms * (1 + jitter)

    def _extensions(
        self, owner: OwnerRole, fold: OwnershipFold, now: Moment
    ) -> list[OwnershipRecord]:
        due: dict[str, list[int]] = defaultdict(list)
        for slot_id, tenures in sorted(owner.tenures.items()):
            if self._is_due(fold.state(slot_id), tenures[-1].state, now):
                due[slot_id.service].append(slot_id.slot)
        if due:
            self._draw_extension_lead()
        end_ms = now.wall_ms + self.settings.ownership_interval_ms
        return [
            Extend(self.next_id(), self.node, service, tuple(extended), end_ms)
            for service, extended in due.items()
        ]

    def _is_due(self, state: SlotState, tenure_state: TenureState, now: Moment) -> bool:
        last = state.last
        if last is None or last.node != self.node:
            return False
        if last.state is not IntervalState.HELD or tenure_state is not TenureState.OPEN:
            return False
        return 0 < last.end_ms - now.wall_ms <= self._extension_lead_ms

    # Claiming

    def _claims(
        self, fold: OwnershipFold, members: Members, now: Moment
    ) -> list[OwnershipRecord]:
        live = members.live(self.service)
        if not members.is_settled(self.service, now, self.settings.settle_ms):
            return []
        starts: dict[int, list[int]] = defaultdict(list)
        slot_count = fold.slot_counts.get(self.service, self.settings.slot_count)
        for slot in range(slot_count):
            slot_id = SlotId(self.service, slot)
            state = fold.state(slot_id)
            if not self._is_claimable(state, live, now):
                continue
            if preferred_owner(slot_id, live | {self.node}) != self.node:
                continue
            backdated_ms = now.wall_ms - self.settings.backdate_ms
            starts[max(state.last_end_ms, backdated_ms)].append(slot)
        return [
            Claim(
                self.next_id(),
                self.node,
                self.service,
                slot_count,
                tuple(claimed),
                start_ms,
                max(start_ms, now.wall_ms) + self.settings.ownership_interval_ms,
            )
            for start_ms, claimed in sorted(starts.items())
        ]

    def _is_claimable(
        self, state: SlotState, live: frozenset[NodeId], now: Moment
    ) -> bool:
        last = state.last
        if last is None or last.state is IntervalState.RELEASED:
            return True
        if last.end_ms <= now.wall_ms:
            return True
        if last.node == self.node or last.node in live:
            return False
        return last.end_ms - now.wall_ms <= self.settings.claim_ahead_ms
