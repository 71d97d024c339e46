"""Role of the node that a caller contacts: forwards requests to key owners."""

from random import Random

import attrs

from .fold import OwnershipFold, SlotId
from .key import IdempotencyKey, generate_key
from .members import Members
from .messages import (
    AnswerCaller,
    ForwardedRequest,
    Moment,
    Outcome,
    OwnerAnswer,
    Reason,
    RequestArrived,
    SendToPeer,
)
from .owner import OwnerRole
from .records import NodeId
from .settings import OnceSettings
from .tenure import TenureState

FIRST_ATTEMPT = 1
NOT_ACCEPTED = frozenset({Reason.NOT_OWNER, Reason.KEY_TOO_OLD})


@attrs.frozen
class _Forwarded:
    request: RequestArrived
    deadline_ms: float


@attrs.define
class RequestForwarder:
    """Forwards callers' requests to the owners of their keys.

    Answers "not run" only if the request can't have run: the log or the owner
    rules it out, or this copy did not run and the caller declared that there is
    no other copy.
    """

    node: NodeId
    settings: OnceSettings
    fold: OwnershipFold
    members: Members
    owner: OwnerRole
    random: Random
    _forwarded: dict[str, _Forwarded] = attrs.field(factory=dict)

    def slot_count(self, service: str) -> int:
        """Return the number of slots of a service."""
        return self.fold.slot_counts.get(service, self.settings.slot_count)

    def slot_id(self, service: str, key: IdempotencyKey) -> SlotId:
        """Return the slot of a key."""
        return SlotId(service, key.slot(self.slot_count(service)))

    def open_slots(self, service: str, now: Moment) -> tuple[int, ...]:
        """Return the slots that accept a key created now at a reachable owner."""
        return tuple(
            slot
            for slot in range(self.slot_count(service))
            if self._is_open(SlotId(service, slot), now)
        )

    def generate_key(self, service: str, now: Moment) -> IdempotencyKey:
        """Generate a key, preferably for an open slot of this node."""
        open_slots = self.open_slots(service, now)
        own = [
            slot
            for slot in open_slots
            if self.owner.tenure_at(SlotId(service, slot), now.wall_ms)
        ]
        candidates = own or open_slots or range(self.slot_count(service))
        return generate_key(now.wall_ms, self.random.choice(candidates), self.random)

    def route(
        self, request: RequestArrived, key: IdempotencyKey, now: Moment
    ) -> SendToPeer | AnswerCaller:
        """Forward a request to its owner, which is another node, or refuse it."""
        slot_id = self.slot_id(request.service, key)
        interval = self.fold.state(slot_id).covering(key.time_ms)
        if interval is None:
            return self._refuse_unowned(request, slot_id, key, now)
        if interval.node not in self.members.reachable(request.service):
            return self.refuse(request, Reason.OWNER_UNREACHABLE, now)
        wait_ms = min(request.remaining_ms, self.settings.forward_timeout_ms)
        self._forwarded[request.request_id] = _Forwarded(
            request, now.monotonic_ms + wait_ms
        )
        forwarded = ForwardedRequest(
            request.request_id,
            request.service,
            key.text,
            request.fingerprint,
            request.remaining_ms,
        )
        return SendToPeer(interval.node, forwarded)

    def refuse(
        self, request: RequestArrived, reason: Reason, now: Moment
    ) -> AnswerCaller:
        """Refuse a request of which this copy did not run."""
        is_first = request.attempt == FIRST_ATTEMPT
        outcome = Outcome.NOT_RUN if is_first else Outcome.MAY_HAVE_RUN
        return self._answer(request, outcome, reason, now)

    def refuse_permanently(
        self, request: RequestArrived, reason: Reason, now: Moment
    ) -> AnswerCaller:
        """Refuse a request whose key no node will ever accept."""
        return self._answer(request, Outcome.NOT_RUN, reason, now, final=True)

    def apply_owner_answer(
        self, answer: OwnerAnswer, now: Moment
    ) -> list[AnswerCaller]:
        """Return the caller's answer; none if the request already timed out."""
        forwarded = self._forwarded.pop(answer.request_id, None)
        if forwarded is None:
            return []
        return [self.answer_of(forwarded.request, answer, now)]

    def fail_forward(
        self, request_id: str, bytes_sent: bool, now: Moment
    ) -> list[AnswerCaller]:
        """Answer a request that did not reach its owner."""
        forwarded = self._forwarded.pop(request_id, None)
        if forwarded is None:
            return []
        request = forwarded.request
        if not bytes_sent:
            return [self.refuse(request, Reason.OWNER_UNREACHABLE, now)]
        return [self._answer(request, Outcome.MAY_HAVE_RUN, Reason.OWNER_SILENT, now)]

    def tick(self, now: Moment) -> list[AnswerCaller]:
        """Answer the requests whose owner did not answer in time."""
        late = [
            request_id
            for request_id, forwarded in self._forwarded.items()
            if forwarded.deadline_ms <= now.monotonic_ms
        ]
        return [
            answer
            for request_id in late
            for answer in self.fail_forward(request_id, True, now)
        ]

    def answer_of(
        self, request: RequestArrived, answer: OwnerAnswer, now: Moment
    ) -> AnswerCaller:
        """Convert an owner's answer to the caller's answer.

        An owner that did not accept this copy doesn't know about other copies.
        If the caller declared that there are none, the request did not run.
        """
        outcome = answer.outcome
        if answer.reason in NOT_ACCEPTED and request.attempt == FIRST_ATTEMPT:
            outcome = Outcome.NOT_RUN
        return self._answer(
            request,
            outcome,
            answer.reason,
            now,
            owner_answer=answer,
        )

    def _refuse_unowned(
        self,
        request: RequestArrived,
        slot_id: SlotId,
        key: IdempotencyKey,
        now: Moment,
    ) -> AnswerCaller:
        if self.fold.is_gap(slot_id, key.time_ms):
            return self.refuse_permanently(request, Reason.NEVER_OWNED, now)
        return self.refuse(request, Reason.NO_OWNER, now)

    def _is_open(self, slot_id: SlotId, now: Moment) -> bool:
        interval = self.fold.state(slot_id).covering(now.wall_ms)
        if interval is None:
            return False
        if interval.node != self.node:
            return interval.node in self.members.reachable(slot_id.service)
        tenure = self.owner.tenure_at(slot_id, now.wall_ms)
        return tenure is not None and tenure.state is TenureState.OPEN

    def _answer(
        self,
        request: RequestArrived,
        outcome: Outcome,
        reason: Reason,
        now: Moment,
        *,
        final: bool = False,
        owner_answer: OwnerAnswer | None = None,
    ) -> AnswerCaller:
        if outcome in (Outcome.RAN, Outcome.KEY_REUSED):
            open_slots: tuple[int, ...] = ()
            retry_after_ms = 0
        else:
            open_slots = self.open_slots(request.service, now)
            retry_after_ms = self.settings.retry_after_ms
        return AnswerCaller(
            request.request_id,
            request.key,
            outcome,
            reason,
            retry_after_ms,
            final,
            owner_answer.answer if owner_answer else None,
            owner_answer.replayed if owner_answer else False,
            open_slots,
            self.slot_count(request.service),
        )
