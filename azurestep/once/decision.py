"""State machine of the at-most-once guarantee of one node process."""

from functools import singledispatchmethod
from random import Random

import attrs
from returns.result import Success

from .. import events
from .accept import FIRST_ATTEMPT, RequestForwarder
from .claims import ClaimScheduler
from .fold import OwnershipFold
from .handover import HandoverManager
from .key import parse_key
from .members import Members
from .messages import (
    AppendDone,
    AppendFailed,
    BackendServerAnswered,
    DispatchFailed,
    Emit,
    ForwardedRequest,
    ForwardFailed,
    Input,
    LogHealth,
    LogRecordsRead,
    LogRegressed,
    MembersChanged,
    Moment,
    Output,
    OwnerAnswer,
    PeerSent,
    Reason,
    RequestArrived,
    SendToPeer,
    Stopped,
    StopRequested,
    TableReceipt,
    TableTransfer,
    Tick,
)
from .owner import AddressedAnswer, OwnerOutput, OwnerRequest, OwnerRole
from .records import NodeId
from .settings import OnceSettings
from .table import KeyTable, digest_of


@attrs.define
class OnceDecision:
    """Decides how one node process handles non-idempotent requests.

    Does no I/O: each input returns the outputs for the caller to carry out.

    Parameters
    ----------
    node : NodeId
        This process, with a new random incarnation at every start.
    service : str
        Service of the local backend server, whose slots this node may own;
        empty until a backend server registered.
    settings : OnceSettings
        Intervals, timeouts and limits.
    random : Random
        Random numbers for new keys and jitter.
    """

    node: NodeId
    service: str
    settings: OnceSettings = attrs.field(factory=OnceSettings)
    random: Random = attrs.field(factory=Random)
    fold: OwnershipFold = attrs.field(init=False, factory=OwnershipFold)
    members: Members = attrs.field(init=False, factory=Members)
    owner: OwnerRole = attrs.field(init=False)
    forwarder: RequestForwarder = attrs.field(init=False)
    claims: ClaimScheduler = attrs.field(init=False)
    handovers: HandoverManager = attrs.field(init=False)
    _local_requests: dict[str, RequestArrived] = attrs.field(init=False, factory=dict)
    _has_read: bool = attrs.field(init=False, default=False)
    _is_log_reachable: bool = attrs.field(init=False, default=True)
    _stopping: bool = attrs.field(init=False, default=False)
    _stopped: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self.owner = OwnerRole(self.node, self.settings, KeyTable(self.settings))
        self.forwarder = RequestForwarder(
            self.node,
            self.settings,
            self.fold,
            self.members,
            self.owner,
            self.random,
        )
        self.claims = ClaimScheduler(
            self.node, self.service, self.settings, self.random
        )
        self.handovers = HandoverManager(self.settings, self.owner, self.claims)

    def set_service(self, service: str) -> None:
        """Set the service whose slots this node may own."""
        self.service = service
        self.claims.service = service

    @property
    def next_offset(self) -> int:
        """Offset of the ownership stream to read next."""
        return self.fold.next_offset

    def handle(self, message: Input, now: Moment) -> list[Output]:
        """Handle an input and return the outputs in the order to carry out."""
        return self._handle(message, now)

    @singledispatchmethod
    def _handle(self, message: object, now: Moment) -> list[Output]:
        raise TypeError(f"{type(message).__name__} is not an input of OnceDecision")

    @_handle.register
    def _(self, message: RequestArrived, now: Moment) -> list[Output]:
        if not message.key:
            generated = self.forwarder.generate_key(message.service, now)
            message = attrs.evolve(message, key=generated.text, attempt=FIRST_ATTEMPT)
        parsed = parse_key(message.key)
        if not isinstance(parsed, Success):
            return [self.forwarder.refuse_permanently(message, Reason.KEY_INVALID, now)]
        key = parsed.unwrap()
        message = attrs.evolve(message, key=key.text)
        slot_id = self.forwarder.slot_id(message.service, key)
        if self.owner.is_responsible_for(slot_id, key):
            request = _owner_request(message, None, self.forwarder)
            self._local_requests[message.request_id] = message
            return self._convert(self.owner.accept(request, now), now)
        return [self.forwarder.route(message, key, now)]

    @_handle.register
    def _(self, message: PeerSent, now: Moment) -> list[Output]:
        return self._handle_peer(message.message, message.sender, now)

    @singledispatchmethod
    def _handle_peer(
        self, message: object, sender: NodeId, now: Moment
    ) -> list[Output]:
        raise TypeError(f"{type(message).__name__} is not a peer message")

    @_handle_peer.register
    def _(self, message: ForwardedRequest, sender: NodeId, now: Moment) -> list[Output]:
        if not isinstance(parse_key(message.key), Success):
            return []
        request = _owner_request(message, sender, self.forwarder)
        return self._convert(self.owner.accept(request, now), now)

    @_handle_peer.register
    def _(self, message: OwnerAnswer, sender: NodeId, now: Moment) -> list[Output]:
        return [*self.forwarder.apply_owner_answer(message, now)]

    @_handle_peer.register
    def _(self, message: TableTransfer, sender: NodeId, now: Moment) -> list[Output]:
        digest = digest_of(message.transfer_id, message.slots, message.entries)
        if digest != message.digest:
            return [Emit(events.TABLE_REFUSED, f"from {sender.instance}")]
        self.owner.receive_table(message)
        return [SendToPeer(sender, TableReceipt(message.transfer_id))]

    @_handle_peer.register
    def _(self, message: TableReceipt, sender: NodeId, now: Moment) -> list[Output]:
        return [*self.handovers.apply_receipt(message.transfer_id)]

    @_handle.register
    def _(self, message: ForwardFailed, now: Moment) -> list[Output]:
        return [
            *self.forwarder.fail_forward(message.request_id, message.bytes_sent, now)
        ]

    @_handle.register
    def _(self, message: DispatchFailed, now: Moment) -> list[Output]:
        return self._convert(self.owner.record_dispatch_failure(message), now)

    @_handle.register
    def _(self, message: BackendServerAnswered, now: Moment) -> list[Output]:
        return self._convert(self.owner.record_answer(message), now)

    @_handle.register
    def _(self, message: LogRecordsRead, now: Moment) -> list[Output]:
        was_complete = self.fold.complete
        changed = self.fold.apply_entries(
            message.from_offset, message.entries, message.next_offset
        )
        self._has_read = True
        owned = self.owner.slot_ids
        self.owner.apply_ownership(self.fold, changed)
        self.handovers.drop_completed(self.fold)
        outputs: list[Output] = []
        if was_complete and not self.fold.complete:
            detail = f"ownership records before offset {self.fold.next_offset}"
            outputs.append(Emit(events.OWNERSHIP_INCOMPLETE, detail))
        if not was_complete and self.fold.complete:
            detail = f"as of offset {self.fold.checkpoint_as_of}"
            outputs.append(Emit(events.OWNERSHIP_ADOPTED, detail))
        for slot_id in sorted(self.owner.slot_ids - owned):
            detail = f"slot {slot_id.slot} of {slot_id.service}"
            outputs.append(Emit(events.SLOT_OWNED, detail))
        for slot_id in sorted(owned - self.owner.slot_ids):
            detail = f"slot {slot_id.slot} of {slot_id.service}"
            outputs.append(Emit(events.SLOT_GIVEN_UP, detail))
        return outputs

    @_handle.register
    def _(self, message: LogRegressed, now: Moment) -> list[Output]:
        self.owner.disable()
        self.fold.invalidate()
        return [Emit(events.OWNERSHIP_DISABLED, "the ownership log lost records")]

    @_handle.register
    def _(self, message: AppendDone, now: Moment) -> list[Output]:
        self.claims.record_append(message.append_id, message.offset)
        return []

    @_handle.register
    def _(self, message: AppendFailed, now: Moment) -> list[Output]:
        return []

    @_handle.register
    def _(self, message: MembersChanged, now: Moment) -> list[Output]:
        self.members.update(message, now)
        return []

    @_handle.register
    def _(self, message: LogHealth, now: Moment) -> list[Output]:
        self._is_log_reachable = message.is_reachable
        return []

    @_handle.register
    def _(self, message: StopRequested, now: Moment) -> list[Output]:
        if not self._stopping:
            self._stopping = True
            self.handovers.hand_over_all(self.members, now)
        return self._handle(Tick(), now)

    @_handle.register
    def _(self, message: Tick, now: Moment) -> list[Output]:
        outputs: list[Output] = [*self.forwarder.tick(now)]
        outputs += self._convert(self.owner.tick(now), now)
        if self._has_read and not self._stopping and not self.owner.disabled:
            outputs += self._claim(now)
            # A slot stays closed during a handover, which needs the log to finish.
            if self._is_log_reachable:
                self.handovers.rebalance(self.members, now)
        outputs += self.handovers.tick(now)
        if self._stopping and not self._stopped and self.handovers.is_idle:
            self._stopped = True
            outputs.append(Stopped(len(self.owner.slot_ids)))
        return outputs

    def _claim(self, now: Moment) -> list[Output]:
        was_ahead = self.claims.is_clock_ahead
        outputs: list[Output] = [
            *self.claims.tick(self.fold, self.owner, self.members, now)
        ]
        if self.claims.is_clock_ahead and not was_ahead:
            outputs.append(Emit(events.CLOCK_IMPLAUSIBLE, f"{now.wall_ms} ms"))
        return outputs

    def _convert(self, outputs: list[OwnerOutput], now: Moment) -> list[Output]:
        return [
            self._convert_answer(output, now)
            if isinstance(output, AddressedAnswer)
            else output
            for output in outputs
        ]

    def _convert_answer(self, addressed: AddressedAnswer, now: Moment) -> Output:
        if addressed.receiver is not None:
            return SendToPeer(addressed.receiver, addressed.answer)
        request = self._local_requests.pop(addressed.answer.request_id)
        return self.forwarder.answer_of(request, addressed.answer, now)


def _owner_request(
    message: RequestArrived | ForwardedRequest,
    sender: NodeId | None,
    forwarder: RequestForwarder,
) -> OwnerRequest:
    key = parse_key(message.key).unwrap()
    return OwnerRequest(
        message.request_id,
        sender,
        forwarder.slot_id(message.service, key),
        key,
        message.fingerprint,
        message.remaining_ms,
    )
