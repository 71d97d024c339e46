"""The three ways of keeping payments from running twice, for comparison."""

from random import Random
from typing import Any

import attrs
import cattrs
import orjson

from azurestep.once import OnceDecision, OnceSettings
from azurestep.once import messages as m
from azurestep.once.assignment import preferred_owner
from azurestep.once.fold import SlotId
from azurestep.once.key import parse_key
from azurestep.once.records import NodeId, encode_record

from .once_model import SERVICE, Way

QUICK_SETTINGS = OnceSettings(
    slot_count=8,
    ownership_interval_ms=16_000,
    backdate_ms=6000,
    claim_ahead_ms=4000,
    settle_ms=1500,
    key_window_ms=12_000,
    max_keys=40,
    wait_timeout_ms=1000,
    forward_timeout_ms=1200,
    append_timeout_ms=1500,
    handover_timeout_ms=1500,
    rebalance_interval_ms=6000,
    checkpoint_records=15,
    checkpoint_interval_ms=20_000,
)


def owned_intervals(settings: OnceSettings = QUICK_SETTINGS) -> Way:
    """Return the way that the product takes."""

    def make(node: NodeId, source: Random) -> OnceDecision:
        return OnceDecision(node, SERVICE, settings, source)

    return Way("owned intervals", make, encode_record)


@attrs.define
class MemoryOwner:
    """Baseline: the live member that a hash prefers remembers the key."""

    node: NodeId
    random: Random
    next_offset: int = 0
    live: tuple[NodeId, ...] = ()
    states: dict[str, m.OwnerAnswer | None] = attrs.field(factory=dict)
    requests: dict[str, m.RequestArrived] = attrs.field(factory=dict)
    runs: dict[str, m.RunHere] = attrs.field(factory=dict)

    def handle(self, message: Any, now: m.Moment) -> list[Any]:
        """Take an input and return outputs."""
        if isinstance(message, m.MembersChanged):
            self.live = message.live
        if isinstance(message, m.RequestArrived):
            return self._arrived(message)
        if isinstance(message, m.PeerSent):
            return self._from_peer(message)
        if isinstance(message, m.ForwardFailed):
            return self._answer(message.request_id, m.Outcome.NOT_RUN)
        if isinstance(message, m.BackendServerAnswered):
            return self._ended(message.run_id, m.Outcome.RAN)
        if isinstance(message, m.DispatchFailed):
            sent = message.bytes_sent
            outcome = m.Outcome.MAY_HAVE_RUN if sent else m.Outcome.NOT_RUN
            return self._ended(message.run_id, outcome)
        return []

    def _arrived(self, request: m.RequestArrived) -> list[Any]:
        self.requests[request.request_id] = request
        slot = parse_key(request.key).unwrap().slot(256)
        owner = preferred_owner(SlotId(SERVICE, slot), {*self.live, self.node})
        if owner == self.node or owner is None:
            return self._run(request.request_id, request.key, None)
        forwarded = m.ForwardedRequest(
            request.request_id, SERVICE, request.key, "body", request.remaining_ms
        )
        return [m.SendToPeer(owner, forwarded)]

    def _from_peer(self, sent: m.PeerSent) -> list[Any]:
        if isinstance(sent.message, m.ForwardedRequest):
            return self._run(sent.message.request_id, sent.message.key, sent.sender)
        if isinstance(sent.message, m.OwnerAnswer):
            return self._answer(sent.message.request_id, sent.message.outcome)
        return []

    def _run(self, request_id: str, key: str, sender: NodeId | None) -> list[Any]:
        if key in self.states:
            known = self.states[key]
            outcome = known.outcome if known else m.Outcome.MAY_HAVE_RUN
            return self._reply(request_id, sender, outcome)
        self.states[key] = None
        run = m.RunHere(request_id, request_id, sender, SERVICE, key, 0)
        self.runs[run.run_id] = run
        return [run]

    def _ended(self, run_id: str, outcome: m.Outcome) -> list[Any]:
        run = self.runs.pop(run_id)
        if outcome is m.Outcome.NOT_RUN:
            del self.states[run.key]
        else:
            self.states[run.key] = m.OwnerAnswer(run_id, outcome, REASONS[outcome])
        return self._reply(run.request_id, run.sender, outcome)

    def _reply(
        self, request_id: str, sender: NodeId | None, outcome: m.Outcome
    ) -> list[Any]:
        if sender is None:
            return self._answer(request_id, outcome)
        answer = m.OwnerAnswer(request_id, outcome, REASONS[outcome])
        return [m.SendToPeer(sender, answer)]

    def _answer(self, request_id: str, outcome: m.Outcome) -> list[Any]:
        request = self.requests.pop(request_id, None)
        if request is None:
            return []
        return [m.AnswerCaller(request_id, request.key, outcome, REASONS[outcome])]


REASONS = {
    m.Outcome.RAN: m.Reason.RAN,
    m.Outcome.NOT_RUN: m.Reason.DISPATCH_REFUSED,
    m.Outcome.MAY_HAVE_RUN: m.Reason.DISPATCH_LOST,
}


@attrs.frozen
class KeyClaim:
    """A record of the baseline that claims each key."""

    id: str
    node: NodeId
    key: str


@attrs.define
class ClaimOnLog:
    """Baseline: the first record on the log that names a key may run it."""

    node: NodeId
    random: Random
    next_offset: int = 0
    winners: dict[str, str] = attrs.field(factory=dict)
    requests: dict[str, m.RequestArrived] = attrs.field(factory=dict)
    running: dict[str, m.RequestArrived] = attrs.field(factory=dict)
    answers: dict[str, m.Outcome] = attrs.field(factory=dict)

    def handle(self, message: Any, now: m.Moment) -> list[Any]:
        """Take an input and return outputs."""
        if isinstance(message, m.RequestArrived):
            return self._arrived(message)
        if isinstance(message, m.LogRecordsRead):
            return self._read(message)
        if isinstance(message, m.AppendFailed):
            return self._append_failed(message)
        if isinstance(message, m.BackendServerAnswered):
            return self._ended(message.run_id, m.Outcome.RAN)
        if isinstance(message, m.DispatchFailed):
            return self._ended(message.run_id, m.Outcome.MAY_HAVE_RUN)
        return []

    def _arrived(self, request: m.RequestArrived) -> list[Any]:
        if request.key in self.winners:
            return self._known(request)
        self.requests[request.request_id] = request
        claim = KeyClaim(request.request_id, self.node, request.key)
        return [m.AppendRecord(claim.id, claim)]  # type: ignore[arg-type]

    def _known(self, request: m.RequestArrived) -> list[Any]:
        winner = self.winners[request.key]
        outcome = self.answers.get(winner, m.Outcome.MAY_HAVE_RUN)
        return [self._answer(request, outcome)]

    def _read(self, message: m.LogRecordsRead) -> list[Any]:
        outputs: list[Any] = []
        for entry in message.entries:
            if entry.offset < self.next_offset:
                continue
            self.next_offset = entry.offset + 1
            claim = cattrs.structure(orjson.loads(entry.payload), KeyClaim)
            winner = self.winners.setdefault(claim.key, claim.id)
            request = self.requests.pop(claim.id, None)
            if request is None:
                continue
            if winner == claim.id:
                self.running[claim.id] = request
                outputs.append(
                    m.RunHere(claim.id, claim.id, None, SERVICE, claim.key, 0)
                )
            else:
                outputs += self._known(request)
        self.next_offset = max(self.next_offset, message.next_offset)
        return outputs

    def _append_failed(self, message: m.AppendFailed) -> list[Any]:
        request = self.requests.pop(message.append_id, None)
        if request is None:
            return []
        is_sole = request.attempt == 1 and not message.may_have_taken_effect
        outcome = m.Outcome.NOT_RUN if is_sole else m.Outcome.MAY_HAVE_RUN
        return [self._answer(request, outcome)]

    def _ended(self, run_id: str, outcome: m.Outcome) -> list[Any]:
        self.answers[run_id] = outcome
        return [self._answer(self.running.pop(run_id), outcome)]

    def _answer(self, request: m.RequestArrived, outcome: m.Outcome) -> Any:
        return m.AnswerCaller(
            request.request_id, request.key, outcome, REASONS[outcome]
        )


def memory_owner() -> Way:
    """Return the baseline of an owner in memory, by hash."""
    return Way("memory owner", MemoryOwner, encode_record)


def claim_on_log() -> Way:
    """Return the baseline of a claim on the log for each key."""
    return Way(
        "claim on log",
        ClaimOnLog,
        lambda record: orjson.dumps(cattrs.unstructure(record)),
    )
