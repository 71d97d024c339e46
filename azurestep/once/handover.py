"""Handover of slots and their keys to a successor."""

from collections import defaultdict
from enum import StrEnum

import attrs

from .assignment import preferred_owner
from .claims import ClaimScheduler
from .fold import OwnershipFold, SlotId
from .members import Members
from .messages import (
    AppendRecord,
    KeyState,
    Moment,
    SendToPeer,
    TableEntry,
    TableTransfer,
    TrustedSlot,
)
from .owner import OwnerRole
from .records import HeldSlot, IntervalState, NodeId, Release
from .settings import OnceSettings
from .table import digest_of
from .tenure import Tenure, TenureState

MAX_REBALANCED_SLOTS = 8


class Phase(StrEnum):
    """Phase of a handover."""

    DRAINING = "draining"
    SENT = "sent"
    RELEASING = "releasing"


HandoverOutput = SendToPeer | AppendRecord


@attrs.frozen
class _Destination:
    service: str
    successor: NodeId | None


@attrs.define
class Handover:
    """A handover of slots of one service to one successor."""

    id: str
    service: str
    tenures: dict[SlotId, Tenure]
    successor: NodeId | None
    is_shutdown: bool
    deadline_ms: float
    phase: Phase = Phase.DRAINING
    digest: str = ""
    release: Release | None = None

    @property
    def slot_ids(self) -> set[SlotId]:
        """Slots that are handed over."""
        return set(self.tenures)


@attrs.define
class HandoverManager:
    """Runs the handovers of a node.

    Each handover closes the tenures, waits for running keys, sends the table and
    then appends the release. Once the release was sent to the log, the tenures
    stay closed, because it may take effect at any later time.
    """

    settings: OnceSettings
    owner: OwnerRole
    claims: ClaimScheduler
    _handovers: list[Handover] = attrs.field(factory=list)
    _rebalance_at_ms: float = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no handover is in progress."""
        return not self._handovers

    def hand_over_all(self, members: Members, now: Moment) -> None:
        """Start to hand over every slot, for a shutdown."""
        for handover in self._handovers:
            handover.is_shutdown = True
        self._start(self._open_slot_ids(), members, now, is_shutdown=True)

    def rebalance(self, members: Members, now: Moment) -> None:
        """Start to hand over slots whose preferred owner is another live member."""
        if self._handovers or now.monotonic_ms < self._rebalance_at_ms:
            return
        service = self.claims.service
        if not members.is_settled(service, now, self.settings.settle_ms):
            return
        self._rebalance_at_ms = now.monotonic_ms + self.settings.rebalance_interval_ms
        live = members.live(service) | {self.owner.node}
        moving = [
            slot_id
            for slot_id in self._open_slot_ids()
            if slot_id.service == service
            and preferred_owner(slot_id, live) != self.owner.node
        ]
        self._start(moving[:MAX_REBALANCED_SLOTS], members, now, is_shutdown=False)

    def apply_receipt(self, transfer_id: str) -> list[HandoverOutput]:
        """Release the slots whose table the successor has received."""
        outputs: list[HandoverOutput] = []
        for handover in self._handovers:
            if handover.id == transfer_id and handover.phase is Phase.SENT:
                outputs.append(self._append_release(handover))
        return outputs

    def drop_completed(self, fold: OwnershipFold) -> None:
        """Remove the handovers whose release was read back from the log."""
        self._handovers = [
            handover
            for handover in self._handovers
            if any(self._still_owns(fold, item) for item in handover.tenures.items())
        ]

    def tick(self, now: Moment) -> list[HandoverOutput]:
        """Advance each handover."""
        outputs: list[HandoverOutput] = []
        for handover in list(self._handovers):
            outputs += self._advance(handover, now)
        return outputs

    def _still_owns(self, fold: OwnershipFold, item: tuple[SlotId, Tenure]) -> bool:
        slot_id, tenure = item
        last = fold.state(slot_id).last
        if not fold.complete:
            return True
        if last is None or last.tenure != tenure.id:
            return False
        return last.state is IntervalState.HELD

    def _open_slot_ids(self) -> list[SlotId]:
        return [
            slot_id
            for slot_id, tenures in sorted(self.owner.tenures.items())
            if tenures[-1].state is TenureState.OPEN
        ]

    def _start(
        self,
        slot_ids: list[SlotId],
        members: Members,
        now: Moment,
        *,
        is_shutdown: bool,
    ) -> None:
        groups: dict[_Destination, list[SlotId]] = defaultdict(list)
        for slot_id in slot_ids:
            others = members.live(slot_id.service) - {self.owner.node}
            successor = preferred_owner(slot_id, others)
            groups[_Destination(slot_id.service, successor)].append(slot_id)
        for destination, moving in groups.items():
            tenures = {slot_id: self.owner.tenures[slot_id][-1] for slot_id in moving}
            for tenure in tenures.values():
                tenure.state = TenureState.CLOSING
            self._handovers.append(
                Handover(
                    self.claims.next_id(),
                    destination.service,
                    tenures,
                    destination.successor,
                    is_shutdown,
                    now.monotonic_ms + self.settings.handover_timeout_ms,
                )
            )

    def _advance(self, handover: Handover, now: Moment) -> list[HandoverOutput]:
        is_late = now.monotonic_ms >= handover.deadline_ms
        if handover.phase is Phase.DRAINING:
            if self.owner.is_running(handover.slot_ids) and not is_late:
                return []
            return self._send_table(handover, now)
        if not is_late:
            return []
        if handover.phase is Phase.SENT and not handover.is_shutdown:
            self._cancel(handover)
            return []
        handover.deadline_ms = now.monotonic_ms + self.settings.append_timeout_ms
        return [self._append_release(handover)]

    def _send_table(self, handover: Handover, now: Moment) -> list[HandoverOutput]:
        handover.deadline_ms = now.monotonic_ms + self.settings.handover_timeout_ms
        if handover.successor is None:
            return [self._append_release(handover)]
        handover.phase = Phase.SENT
        trusted = tuple(
            TrustedSlot(slot_id.slot, tenure.trusted_from_ms)
            for slot_id, tenure in sorted(handover.tenures.items())
        )
        entries = tuple(
            _sendable(entry) for entry in self.owner.table.entries_of(handover.slot_ids)
        )
        handover.digest = digest_of(handover.id, trusted, entries)
        transfer = TableTransfer(
            handover.id, handover.service, trusted, entries, handover.digest
        )
        return [SendToPeer(handover.successor, transfer)]

    def _append_release(self, handover: Handover) -> AppendRecord:
        handover.phase = Phase.RELEASING
        for tenure in handover.tenures.values():
            tenure.state = TenureState.RELEASING
        if handover.release is None:
            handover.release = self._release_of(handover)
        return AppendRecord(handover.release.id, handover.release)

    def _release_of(self, handover: Handover) -> Release:
        newest_ms = max(item.max_accepted_ms for item in handover.tenures.values())
        return Release(
            self.claims.next_id(),
            self.owner.node,
            handover.service,
            tuple(
                HeldSlot(slot_id.slot, tenure.id)
                for slot_id, tenure in sorted(handover.tenures.items())
            ),
            newest_ms + 1,
            handover.successor,
            handover.digest,
        )

    def _cancel(self, handover: Handover) -> None:
        for tenure in handover.tenures.values():
            tenure.state = TenureState.OPEN
        self._handovers.remove(handover)


def _sendable(entry: TableEntry) -> TableEntry:
    if entry.state is KeyState.RUNNING:
        return attrs.evolve(entry, state=KeyState.MAY_HAVE_RUN)
    return entry
