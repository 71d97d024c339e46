"""Statuses of roll-outs in the store, which hold the one verdict on each order."""

import time
from collections.abc import Callable, Iterable

import attrs

from ...platform.outcomes import Appended, KeyedRecord, LatestRecords
from ...platform.rollout import (
    RolloutState,
    RolloutStatus,
    read_status,
    rollout_key,
    write_status,
)
from ...platform.store import StoreClient
from ...platform.topics import STATUS_TOPIC
from ..decisions.rollout import Phase, Rollout
from ..knowledge.store_era import StoreEra
from ..runtime import Runtime

WRITE_PAUSE_MS = 300.0
"""Pause between attempts to write a status."""
PHASES = {
    RolloutState.RUNNING: Phase.CANARY,
    RolloutState.ROLLED_BACK: Phase.ROLLED_BACK,
    RolloutState.COMPLETED: Phase.COMPLETED,
}


@attrs.define(eq=False, repr=False)
class Statuses:
    """Reads and writes statuses, one at a time.

    Attributes
    ----------
    advance : Callable
        Called with a roll-out and the phase that the store's status gives it.
    is_current : Callable
        Whether a roll-out is that of the latest order that this node knows.
    may_complete : Callable
        Whether a roll-out is still to be completed. Asked after the store was read,
        as a stop may have arrived, or this process been paused, meanwhile.
    """

    runtime: Runtime
    client: StoreClient
    era: StoreEra
    advance: Callable[[Rollout, Phase], None]
    is_current: Callable[[Rollout], bool]
    may_complete: Callable[[Rollout], bool]
    _known: dict[str, RolloutStatus] = attrs.field(factory=dict)
    _busy: bool = False
    _next_ms: float = 0.0

    def knows(self, rollout: Rollout) -> bool:
        """Whether the store is known to hold a status of a roll-out."""
        return rollout.service in self._known

    def is_written(self, rollout: Rollout, state: RolloutState) -> bool:
        """Whether the store is known to hold this status."""
        status = self._known.get(rollout.service)
        return status is not None and status.state is state

    def forget(self, service: str) -> None:
        """Forget the status of an earlier order."""
        self._known.pop(service, None)

    def forget_all(self) -> None:
        """Forget all statuses, which the store may have lost."""
        self._known.clear()

    def read(self, rollout: Rollout, now_ms: float) -> None:
        """Read the status of a roll-out whose progress is not known."""
        self._begin(rollout, None, now_ms)

    def write(self, rollout: Rollout, state: RolloutState, now_ms: float) -> None:
        """Write a status, unless the store holds a verdict."""
        self._begin(rollout, state, now_ms)

    def _begin(
        self, rollout: Rollout, state: RolloutState | None, now_ms: float
    ) -> None:
        if self._busy or now_ms < self._next_ms:
            return
        self._busy = True
        self._next_ms = now_ms + WRITE_PAUSE_MS
        self.runtime.spawn(self._run(rollout, state))

    async def _run(self, rollout: Rollout, state: RolloutState | None) -> None:
        try:
            await self._exchange(rollout, state)
        finally:
            self._busy = False

    async def _exchange(self, rollout: Rollout, state: RolloutState | None) -> None:
        """Read the status and write another one, unless there is a verdict already.

        The write is conditional on the end of the log that was read, so of two writers
        only one succeeds.
        """
        latest = await self.client.read_latest(STATUS_TOPIC)
        if not self.era.accept(latest.era) or not isinstance(latest, LatestRecords):
            return
        found = _read_status_of(rollout.service, latest.items)
        if not self.is_current(rollout) or _is_of_later_order(rollout, found):
            return
        known = found if _is_of_order(rollout, found) else None
        if known is not None and known.state is not RolloutState.RUNNING:
            self._adopt(rollout, known)
            return
        if state is None:
            self._resume(rollout, known)
            return
        if known is not None and known.state is state:
            self._known[rollout.service] = known
            return
        if state is RolloutState.COMPLETED and not self.may_complete(rollout):
            return
        remaining_ms = rollout.deadline_ms - self.runtime.now_ms()
        status = RolloutStatus(
            state,
            rollout.new_version,
            rollout.era,
            rollout.offset,
            max(0, int(time.time() * 1000 + remaining_ms)),
        )
        outcome = await self.client.put(
            STATUS_TOPIC,
            rollout_key(rollout.service),
            write_status(status),
            at=latest.end_offset,
        )
        if isinstance(outcome, Appended) and self.era.accept(outcome.era):
            self._adopt(rollout, status)

    def _adopt(self, rollout: Rollout, status: RolloutStatus) -> None:
        """Adopt a status that the store holds."""
        if not self.is_current(rollout):
            return
        self._known[rollout.service] = status
        if status.state is not RolloutState.RUNNING:
            self.advance(rollout, PHASES[status.state])

    def _resume(self, rollout: Rollout, known: RolloutStatus | None) -> None:
        """Continue an order that was found at the start of this node."""
        if rollout.phase is not Phase.PENDING:
            return
        if known is not None:
            remaining_ms = known.ends_unix_ms - time.time() * 1000
            remaining_ms = min(rollout.duration_ms, max(0.0, remaining_ms))
            rollout.deadline_ms = self.runtime.now_ms() + remaining_ms
        self.advance(rollout, Phase.CANARY)


def _read_status_of(
    service: str, records: Iterable[KeyedRecord]
) -> RolloutStatus | None:
    """Return the latest status of a service's roll-outs."""
    for record in records:
        if record.key == rollout_key(service):
            return read_status(record.value)
    return None


def _is_of_order(rollout: Rollout, status: RolloutStatus | None) -> bool:
    """Whether a status is of a roll-out's order, not of an earlier one."""
    if status is None or status.new_version != rollout.new_version:
        return False
    return status.order_era != rollout.era or status.order_offset >= rollout.offset


def _is_of_later_order(rollout: Rollout, status: RolloutStatus | None) -> bool:
    """Whether a status is of an order that this node has not read yet.

    In a later era, the same order stands at another offset.
    """
    if status is None:
        return False
    if status.order_era == rollout.era:
        return status.order_offset > rollout.offset
    differs = status.new_version != rollout.new_version
    return differs and status.order_era > rollout.era
