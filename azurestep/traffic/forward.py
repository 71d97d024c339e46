"""Retry loop of a request: admission, attempts and relay of the answer."""

import asyncio
from collections.abc import Callable

import attrs
from aiohttp import web

from .. import events
from ..balancing import (
    AdmissionRequest,
    AttemptOutcome,
    Endpoint,
    FailedAttempt,
    GiveUp,
    OutcomeKind,
    ProbeFirst,
    QuarantineStatus,
    RefusalReason,
    Refused,
    Resume,
    Retry,
    Ticket,
    decide_retry,
)
from ..environment import Clock
from .answers import (
    CallOutcome,
    ErrorAnswer,
    after_earlier_attempt,
    make_error_answer,
    not_run,
)
from .attempt import NOT_RUN_KINDS, Attempt, AttemptSender
from .backend_answer import BackendAnswer, BodyTruncatedError
from .call import Call
from .latency import AddedLatency
from .pool import ServicePool
from .relay import Relay, RelayEnd

RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})
OUTCOME_BY_RELAY_END = {
    RelayEnd.TRUNCATED: OutcomeKind.RESET,
    RelayEnd.CALLER_DISCONNECTED: OutcomeKind.CANCELLED,
}


@attrs.define
class SentAttempt:
    """A sent attempt with its ticket."""

    pool: ServicePool
    ticket: Ticket
    endpoint: Endpoint
    attempt: Attempt


class Forwarder:
    """Sends a request to backend servers until one answers or no retry is allowed.

    Parameters
    ----------
    sender : AttemptSender
        Sends single attempts.
    clock : Clock
        Source of time.
    latency : AddedLatency
        Histogram of the time that the node adds.
    """

    def __init__(
        self, sender: AttemptSender, clock: Clock, latency: AddedLatency
    ) -> None:
        self._sender = sender
        self._clock = clock
        self._latency = latency

    async def run(
        self, pool: ServicePool, request: web.BaseRequest | None, call: Call
    ) -> web.StreamResponse | ErrorAnswer:
        """Return the answer to a call, or an error answer."""
        error_answer = self.check_limits(pool, call)
        while error_answer is None:
            sent = await self.send_attempt(pool, call)
            if isinstance(sent, ErrorAnswer):
                error_answer = sent
                break
            decision = self._decide(call, sent)
            # Its "not run" would be false where an earlier attempt may have run.
            is_relayed = not (sent.attempt.kind in NOT_RUN_KINDS and call.may_have_run)
            has_answer = sent.attempt.answer is not None and is_relayed
            if has_answer and not isinstance(decision, Retry):
                answer = await self._relay(request, call, sent, decision is not None)
                if answer is not None:
                    return answer
                decision = self._decide(call, sent)
            self.finish(sent, sent.attempt.kind)
            if decision is not None and not isinstance(decision, Retry):
                error_answer = make_error_answer(decision, sent.attempt)
        if call.may_have_run and error_answer.outcome is CallOutcome.NOT_RUN:
            return after_earlier_attempt(error_answer)
        return error_answer

    def check_limits(self, pool: ServicePool, call: Call) -> ErrorAnswer | None:
        """Charge the retry budget and check the quarantine.

        Returns an error answer if either forbids the request.
        """
        now_ms = self._clock.monotonic_ms()
        if call.is_client_retry and not pool.retry_budget.try_spend(now_ms):
            refusal_reason = RefusalReason.RETRY_BUDGET
            wait_ms = pool.admission.retry_after_ms(refusal_reason, now_ms)
            return not_run(503, refusal_reason.value, wait_ms)
        if not call.is_client_retry:
            pool.retry_budget.earn()
        if not pool.quarantine.active:
            return None
        status = pool.quarantine.status_of(call.fingerprint, now_ms)
        call.is_suspect = status is QuarantineStatus.SUSPECT
        if status is not QuarantineStatus.REFUSED:
            return None
        events.emit(
            events.REQUEST_QUARANTINED,
            route=call.match.route.name,
            fingerprint=call.fingerprint,
        )
        reason = RefusalReason.QUARANTINED.value
        return ErrorAnswer(503, CallOutcome.NOT_RUN, reason, None, forbids_retry=True)

    async def send_attempt(
        self, pool: ServicePool, call: Call
    ) -> SentAttempt | ErrorAnswer:
        """Wait for a free slot and send one attempt."""
        now_ms = self._clock.monotonic_ms()
        avoid = tuple(call.tried)
        if call.is_suspect:
            avoid += pool.quarantine.servers_with_suspects(now_ms)
        decision = await pool.acquire(
            AdmissionRequest(call.match.priority, now_ms, call.deadline_ms, avoid)
        )
        if isinstance(decision, Refused):
            return not_run(503, decision.reason.value, decision.retry_after_ms)
        call.waited_ms += self._clock.monotonic_ms() - now_ms
        attempt = await self._send(pool, call, decision.ticket, decision.endpoint)
        return SentAttempt(pool, decision.ticket, decision.endpoint, attempt)

    async def _send(
        self,
        pool: ServicePool,
        call: Call,
        ticket: Ticket,
        endpoint: Endpoint,
        extra: dict[str, str] | None = None,
    ) -> Attempt:
        key = endpoint.key
        call.tried.append(key)
        if pool.quarantine.active:
            now_ms = self._clock.monotonic_ms()
            pool.quarantine.record_start(call.fingerprint, key, now_ms)
        may_have_run, call.may_have_run = call.may_have_run, True
        try:
            attempt = await self._sender.send(call, endpoint, extra)
        except asyncio.CancelledError:
            now_ms = self._clock.monotonic_ms()
            pool.finish(ticket, AttemptOutcome(OutcomeKind.CANCELLED, 0.0), now_ms)
            pool.quarantine.record_end(call.fingerprint, key)
            raise
        if attempt.kind in NOT_RUN_KINDS:
            call.may_have_run = may_have_run
        try:
            await self._record_outcome(pool, call, endpoint, attempt)
        except asyncio.CancelledError:
            self.finish(SentAttempt(pool, ticket, endpoint, attempt), attempt.kind)
            raise
        return attempt

    async def _record_outcome(
        self, pool: ServicePool, call: Call, endpoint: Endpoint, attempt: Attempt
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        if attempt.kind is OutcomeKind.RESET:
            probe = self._sender.probe
            await pool.handle_lost_connection(call.fingerprint, endpoint, probe, now_ms)
        elif pool.quarantine.active:
            is_answered = attempt.answer is not None
            pool.record_end(call.fingerprint, endpoint.key, is_answered, now_ms)

    def _decide(self, call: Call, sent: SentAttempt) -> Retry | GiveUp | None:
        """Return the decision after a failed attempt; None if it didn't fail."""
        attempt = sent.attempt
        kind = attempt.kind
        if kind is OutcomeKind.SUCCESS or _is_request_error(attempt):
            return None
        now_ms = self._clock.monotonic_ms()
        pool = sent.pool
        failed = FailedAttempt(
            kind,
            len(call.tried),
            call.match.idempotent and call.stream is None,
            0,
            call.remaining_ms(now_ms),
            pool.admission.latency_ms,
            attempt.retried_upstream,
            pool.has_crashed(sent.endpoint.key),
            call.is_suspect,
        )
        rule = call.match.service.retry
        decision = decide_retry(failed, rule, pool.retry_budget, now_ms)
        # Every lost connection was probed already, see
        # ServicePool.handle_lost_connection.
        assert not isinstance(decision, ProbeFirst)
        return decision

    def finish(self, sent: SentAttempt, kind: OutcomeKind) -> None:
        """Free the slot and the connection of an attempt."""
        if sent.attempt.answer is not None:
            sent.attempt.answer.release()
        outcome = AttemptOutcome(kind, sent.attempt.latency_ms)
        sent.pool.finish(sent.ticket, outcome, self._clock.monotonic_ms())

    async def _relay(
        self,
        request: web.BaseRequest | None,
        call: Call,
        sent: SentAttempt,
        forbids_retry: bool,
    ) -> web.StreamResponse | None:
        backend_answer = sent.attempt.answer
        assert backend_answer is not None
        current = sent

        async def resume(requested: Resume) -> BackendAnswer | None:
            nonlocal current
            self.finish(current, OutcomeKind.RESET)
            resumed = await self._resume(call, sent.pool, requested)
            if resumed is None:
                return None
            current = resumed
            return resumed.attempt.answer

        relay = Relay(
            call,
            backend_answer,
            resume,
            self._clock.monotonic_ms,
            self._added_latency_recorder(call, sent.attempt, backend_answer),
            forbids_retry,
        )
        try:
            answer = await relay.run(request)
        except BodyTruncatedError:
            sent.attempt.kind = OutcomeKind.RESET
            sent.attempt.answer = None
            backend_answer.release()
            self.finish(current, OutcomeKind.RESET)
            return None
        except BaseException:
            self.finish(current, OutcomeKind.CANCELLED)
            raise
        kind = OUTCOME_BY_RELAY_END.get(relay.end, current.attempt.kind)
        # Runs after a whole answer is written, so that it adds no latency.
        asyncio.get_running_loop().call_soon(self.finish, current, kind)
        return answer

    async def _resume(
        self, call: Call, pool: ServicePool, requested: Resume
    ) -> SentAttempt | None:
        now_ms = self._clock.monotonic_ms()
        if not pool.retry_budget.try_spend(now_ms):
            return None
        timeout_ms = call.match.timeout_ms
        # A resumption gets the full timeout again: bodies may outlast the deadline.
        resumed_call = attrs.evolve(
            call,
            arrived_ms=now_ms,
            budget=attrs.evolve(call.budget, remaining_ms=timeout_ms),
        )
        decision = await pool.acquire(
            AdmissionRequest(
                call.match.priority, now_ms, resumed_call.deadline_ms, tuple(call.tried)
            )
        )
        if isinstance(decision, Refused):
            return None
        extra = {
            "Range": f"bytes={requested.range_start}-{requested.range_end}",
            "If-Range": requested.if_range,
        }
        attempt = await self._send(
            pool, resumed_call, decision.ticket, decision.endpoint, extra
        )
        sent = SentAttempt(pool, decision.ticket, decision.endpoint, attempt)
        if attempt.answer is None or attempt.kind is not OutcomeKind.SUCCESS:
            self.finish(sent, attempt.kind)
            return None
        return sent

    def _added_latency_recorder(
        self, call: Call, attempt: Attempt, backend_answer: BackendAnswer
    ) -> Callable[[], None]:
        before_ms = attempt.sent_ms - call.arrived_ms - call.waited_ms
        is_first = len(call.tried) == 1

        def record() -> None:
            if is_first:
                after_ms = self._clock.monotonic_ms() - backend_answer.first_byte_ms
                self._latency.add(before_ms + after_ms)

        return record


def _is_request_error(attempt: Attempt) -> bool:
    """Return whether an error answer would be the same at every backend server."""
    if attempt.kind is not OutcomeKind.ERROR or attempt.answer is None:
        return False
    return attempt.answer.status not in RETRYABLE_STATUSES
