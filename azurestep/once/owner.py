"""Role of the owner: accepts each key once, runs it and keeps its answer."""

import attrs

from .fold import OwnershipFold, SlotId
from .key import IdempotencyKey
from .messages import (
    BackendServerAnswered,
    DispatchFailed,
    KeptAnswer,
    KeyState,
    Moment,
    Outcome,
    OwnerAnswer,
    Reason,
    RunHere,
    TableEntry,
    TableTransfer,
)
from .records import Interval, NodeId
from .settings import OnceSettings
from .table import KeyTable, TableKey, trim_answer
from .tenure import Tenure, TenureState

MAX_INBOUND_TABLES = 64


@attrs.frozen
class OwnerRequest:
    """A request at its owner, from a caller of this node or from another node."""

    request_id: str
    sender: NodeId | None
    slot_id: SlotId
    key: IdempotencyKey
    fingerprint: str
    remaining_ms: int


@attrs.frozen
class AddressedAnswer:
    """An owner's answer and its receiver, None for a caller of this node."""

    receiver: NodeId | None
    key: str
    service: str
    answer: OwnerAnswer


@attrs.frozen
class _Waiter:
    request: OwnerRequest
    deadline_ms: float
    is_first: bool


OwnerOutput = RunHere | AddressedAnswer


@attrs.define
class OwnerRole:
    """Accepts keys in the intervals that the log assigns to this process.

    A key is accepted only if its creation time lies in an interval read back
    from the log. Intervals of a slot are disjoint, so no other process accepts
    the same key.
    """

    node: NodeId
    settings: OnceSettings
    table: KeyTable
    tenures: dict[SlotId, list[Tenure]] = attrs.field(factory=dict)
    disabled: bool = False
    _run_count: int = 0
    _runs: dict[str, TableKey] = attrs.field(factory=dict)
    _waiters: dict[TableKey, list[_Waiter]] = attrs.field(factory=dict)
    _inbound: dict[str, TableTransfer] = attrs.field(factory=dict)

    # Ownership

    def apply_ownership(self, fold: OwnershipFold, changed: set[SlotId]) -> None:
        """Update this node's tenures of changed slots from the log's state."""
        for slot_id in changed:
            self._apply_slot(slot_id, fold)

    def disable(self) -> None:
        """Accept no more keys, because the log lost records."""
        self.disabled = True

    def tenure_at(self, slot_id: SlotId, time_ms: int) -> Tenure | None:
        """Return this node's tenure that covers a key time."""
        for tenure in self.tenures.get(slot_id, ()):
            if tenure.covers(time_ms):
                return tenure
        return None

    @property
    def slot_ids(self) -> set[SlotId]:
        """Slots of which this node owns an interval."""
        return set(self.tenures)

    def is_responsible_for(self, slot_id: SlotId, key: IdempotencyKey) -> bool:
        """Return whether this node accepted a key or owns its time."""
        if self.table.get(slot_id.service, key.text) is not None:
            return True
        return self.tenure_at(slot_id, key.time_ms) is not None

    def receive_table(self, transfer: TableTransfer) -> None:
        """Keep a predecessor's table until the log makes this node the owner."""
        self._inbound[transfer.digest] = transfer
        if len(self._inbound) > MAX_INBOUND_TABLES:
            self._inbound.pop(next(iter(self._inbound)))
        for trusted in transfer.slots:
            slot_id = SlotId(transfer.service, trusted.slot)
            for tenure in self.tenures.get(slot_id, ()):
                if tenure.digest == transfer.digest:
                    self._load_table(slot_id, tenure)

    def _apply_slot(self, slot_id: SlotId, fold: OwnershipFold) -> None:
        known = {tenure.id: tenure for tenure in self.tenures.get(slot_id, ())}
        kept = []
        for interval in fold.state(slot_id).intervals:
            if interval.node != self.node:
                continue
            tenure = known.get(interval.tenure) or self._begin_tenure(slot_id, interval)
            tenure.end_ms = interval.end_ms
            kept.append(tenure)
        self.tenures[slot_id] = kept
        if not kept:
            del self.tenures[slot_id]

    def _begin_tenure(self, slot_id: SlotId, interval: Interval) -> Tenure:
        tenure = Tenure(
            interval.tenure,
            interval.start_ms,
            interval.end_ms,
            interval.cut_ms,
            interval.digest,
        )
        self._load_table(slot_id, tenure)
        return tenure

    def _load_table(self, slot_id: SlotId, tenure: Tenure) -> None:
        transfer = self._inbound.get(tenure.digest)
        if transfer is None:
            return
        trusted = {item.slot: item.trusted_from_ms for item in transfer.slots}
        if slot_id.slot not in trusted:
            return
        for entry in transfer.entries:
            if entry.slot == slot_id.slot:
                self._merge(entry)
        tenure.received_from_ms = max(tenure.start_ms, trusted[slot_id.slot])

    def _merge(self, entry: TableEntry) -> None:
        known = self.table.get(entry.service, entry.key)
        if known is not None and known.state is not KeyState.MAY_HAVE_RUN:
            return
        self.table.put(entry)

    # Requests

    def accept(self, request: OwnerRequest, now: Moment) -> list[OwnerOutput]:
        """Run a request, or answer it from the table."""
        entry = self.table.get(request.slot_id.service, request.key.text)
        if entry is not None:
            return self._accept_known(request, entry, now)
        reason = self._refusal(request)
        if reason is None:
            return [self._run(request, now)]
        return [self.refuse(request, reason)]

    def refuse(self, request: OwnerRequest, reason: Reason) -> AddressedAnswer:
        """Refuse a request that this node did not run.

        The outcome is "not run" only if the reason implies that the table holds
        every accepted key of this time.
        """
        is_proven = reason in PROVEN_NOT_RUN
        outcome = Outcome.NOT_RUN if is_proven else Outcome.MAY_HAVE_RUN
        return self._answer(request, outcome, reason)

    def _refusal(self, request: OwnerRequest) -> Reason | None:
        tenure = self.tenure_at(request.slot_id, request.key.time_ms)
        if tenure is None or self.disabled:
            return Reason.NOT_OWNER
        if tenure.state is TenureState.RELEASING:
            return Reason.NOT_OWNER
        if request.key.time_ms < tenure.trusted_from_ms:
            return Reason.KEY_TOO_OLD
        return self._temporary_refusal(request, tenure)

    def _temporary_refusal(
        self, request: OwnerRequest, tenure: Tenure
    ) -> Reason | None:
        if tenure.state is TenureState.CLOSING:
            return Reason.HANDOVER
        if request.remaining_ms <= 0:
            return Reason.DEADLINE_PASSED
        if self.table.is_full:
            return Reason.TABLE_FULL
        return None

    def _run(self, request: OwnerRequest, now: Moment) -> RunHere:
        tenure = self.tenure_at(request.slot_id, request.key.time_ms)
        if tenure is not None:
            newest_ms = max(tenure.max_accepted_ms, request.key.time_ms)
            tenure.max_accepted_ms = newest_ms
        self.table.put(
            TableEntry(
                request.slot_id.service,
                request.slot_id.slot,
                request.key.text,
                request.key.time_ms,
                request.fingerprint,
                KeyState.RUNNING,
            )
        )
        self._run_count += 1
        run_id = f"{self.node.incarnation}-{self._run_count}"
        table_key = TableKey(request.slot_id.service, request.key.text)
        self._runs[run_id] = table_key
        self._waiters[table_key] = [self._waiter(request, now, is_first=True)]
        return RunHere(
            run_id,
            request.request_id,
            request.sender,
            request.slot_id.service,
            request.key.text,
            request.remaining_ms,
        )

    def _accept_known(
        self, request: OwnerRequest, entry: TableEntry, now: Moment
    ) -> list[OwnerOutput]:
        if entry.fingerprint != request.fingerprint:
            return [self._answer(request, Outcome.KEY_REUSED, Reason.KEY_REUSED)]
        if entry.state is KeyState.RAN:
            return [
                self._answer(
                    request,
                    Outcome.RAN,
                    Reason.RAN,
                    answer=entry.answer,
                    replayed=True,
                )
            ]
        if entry.state is KeyState.MAY_HAVE_RUN:
            return [self._answer(request, Outcome.MAY_HAVE_RUN, Reason.DISPATCH_LOST)]
        return self._wait(request, now)

    def _wait(self, request: OwnerRequest, now: Moment) -> list[OwnerOutput]:
        table_key = TableKey(request.slot_id.service, request.key.text)
        waiters = self._waiters.setdefault(table_key, [])
        if len(waiters) > self.settings.max_waiters:
            return [self._answer(request, Outcome.MAY_HAVE_RUN, Reason.IN_PROGRESS)]
        waiters.append(self._waiter(request, now, is_first=False))
        return []

    def _waiter(self, request: OwnerRequest, now: Moment, *, is_first: bool) -> _Waiter:
        wait_ms = request.remaining_ms
        if not is_first:
            wait_ms = min(wait_ms, self.settings.wait_timeout_ms)
        return _Waiter(request, now.monotonic_ms + wait_ms, is_first)

    # Runs

    def record_dispatch_failure(self, message: DispatchFailed) -> list[OwnerOutput]:
        """Record that a run ended without an answer."""
        table_key = self._runs.pop(message.run_id, None)
        if table_key is None:
            return []
        if message.bytes_sent:
            self._record(table_key, KeyState.MAY_HAVE_RUN, None)
            return self._answer_waiters(
                table_key, Outcome.MAY_HAVE_RUN, Reason.DISPATCH_LOST
            )
        self.table.remove(table_key.service, table_key.key)
        return self._answer_waiters(table_key, Outcome.NOT_RUN, Reason.DISPATCH_REFUSED)

    def record_answer(self, message: BackendServerAnswered) -> list[OwnerOutput]:
        """Record the answer of a run."""
        table_key = self._runs.pop(message.run_id, None)
        if table_key is None:
            return []
        kept = message.answer
        if kept.size_bytes > self.settings.max_answer_bytes:
            kept = trim_answer(kept)
        self._record(table_key, KeyState.RAN, kept)
        return self._answer_waiters(table_key, Outcome.RAN, Reason.RAN, message.answer)

    def is_running(self, slot_ids: set[SlotId]) -> bool:
        """Return whether a key of some slots is running."""
        running = (
            self.table.get(table_key.service, table_key.key)
            for table_key in self._runs.values()
        )
        return any(
            SlotId(entry.service, entry.slot) in slot_ids
            for entry in running
            if entry is not None
        )

    def tick(self, now: Moment) -> list[OwnerOutput]:
        """Expire old keys and answer requests that waited too long."""
        self._expire_keys(now)
        outputs: list[OwnerOutput] = []
        for table_key, waiters in list(self._waiters.items()):
            late = [item for item in waiters if item.deadline_ms <= now.monotonic_ms]
            if not late:
                continue
            self._waiters[table_key] = [item for item in waiters if item not in late]
            outputs += [
                self._answer(item.request, Outcome.MAY_HAVE_RUN, Reason.IN_PROGRESS)
                for item in late
            ]
        return outputs

    def _expire_keys(self, now: Moment) -> None:
        oldest_ms = now.wall_ms - self.settings.key_window_ms
        for slot_id, trusted_from_ms in self.table.expire_before(oldest_ms).items():
            for tenure in self.tenures.get(slot_id, ()):
                expired_before_ms = max(tenure.expired_before_ms, trusted_from_ms)
                tenure.expired_before_ms = expired_before_ms

    def _record(
        self, table_key: TableKey, state: KeyState, answer: KeptAnswer | None
    ) -> None:
        entry = self.table.get(table_key.service, table_key.key)
        if entry is not None:
            self.table.put(attrs.evolve(entry, state=state, answer=answer))

    def _answer_waiters(
        self,
        table_key: TableKey,
        outcome: Outcome,
        reason: Reason,
        answer: KeptAnswer | None = None,
    ) -> list[OwnerOutput]:
        return [
            self._answer(
                waiter.request,
                outcome,
                reason,
                answer=answer,
                replayed=outcome is Outcome.RAN and not waiter.is_first,
            )
            for waiter in self._waiters.pop(table_key, [])
        ]

    def _answer(
        self,
        request: OwnerRequest,
        outcome: Outcome,
        reason: Reason,
        *,
        answer: KeptAnswer | None = None,
        replayed: bool = False,
    ) -> AddressedAnswer:
        retry_after_ms = 0
        if outcome is not Outcome.RAN:
            retry_after_ms = self.settings.retry_after_ms
        return AddressedAnswer(
            request.sender,
            request.key.text,
            request.slot_id.service,
            OwnerAnswer(
                request.request_id,
                outcome,
                reason,
                retry_after_ms,
                answer,
                replayed,
            ),
        )


PROVEN_NOT_RUN = frozenset(
    {
        Reason.HANDOVER,
        Reason.DEADLINE_PASSED,
        Reason.TABLE_FULL,
        Reason.DISPATCH_REFUSED,
    }
)
