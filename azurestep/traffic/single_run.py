"""Runs a non-idempotent request; retries it only if it provably did not run."""

import asyncio

import attrs

from ..balancing import OutcomeKind
from ..environment import Clock
from ..once.messages import Header, KeptAnswer
from .answers import ErrorAnswer
from .attempt import NOT_RUN_KINDS
from .backend_answer import BackendAnswer, BodyTruncatedError
from .call import Call
from .caller_answer import end_to_end_headers
from .forward import Forwarder, SentAttempt
from .pool import ServicePool

MS_PER_S = 1000
MAX_ANSWER_BYTES = 4 * 1024 * 1024


@attrs.frozen
class RunAnswered:
    """A backend server returned a whole answer."""

    answer: KeptAnswer


@attrs.frozen
class RunFailed:
    """No whole answer was received.

    Attributes
    ----------
    may_have_run : bool
        Whether a backend server may have run the request.
    """

    may_have_run: bool


RunResult = RunAnswered | RunFailed


async def run_non_idempotent(
    pool: ServicePool, forwarder: Forwarder, call: Call, clock: Clock
) -> RunResult:
    """Run a request; try another backend server only if it did not run."""
    if forwarder.check_limits(pool, call) is not None:
        return RunFailed(may_have_run=False)
    for _ in range(call.match.service.retry.max_attempts):
        sent = await forwarder.send_attempt(pool, call)
        if isinstance(sent, ErrorAnswer):
            return RunFailed(may_have_run=False)
        result = await _result_of(forwarder, sent, call, clock)
        if result is not None:
            return result
    return RunFailed(may_have_run=False)


async def _result_of(
    forwarder: Forwarder, sent: SentAttempt, call: Call, clock: Clock
) -> RunResult | None:
    """Return the result, or None if the request did not run."""
    kind = OutcomeKind.CANCELLED
    attempt = sent.attempt
    try:
        if attempt.answer is None or attempt.kind in NOT_RUN_KINDS:
            kind = attempt.kind
            return None if kind in NOT_RUN_KINDS else RunFailed(may_have_run=True)
        result = await _read_answer(attempt.answer, call, clock)
        is_truncated = isinstance(result, RunFailed)
        kind = OutcomeKind.RESET if is_truncated else attempt.kind
        return result
    finally:
        forwarder.finish(sent, kind)


async def _read_answer(answer: BackendAnswer, call: Call, clock: Clock) -> RunResult:
    remaining_s = max(0.0, call.remaining_ms(clock.monotonic_ms())) / MS_PER_S
    try:
        async with asyncio.timeout(remaining_s):
            body = await answer.read_up_to(MAX_ANSWER_BYTES)
    except (BodyTruncatedError, TimeoutError):
        return RunFailed(may_have_run=True)
    if body is None:
        return RunAnswered(KeptAnswer(answer.status, trimmed=True))
    fields = end_to_end_headers(answer.headers, ("content-length",))
    kept = tuple(Header(name, value) for name, value in fields.items())
    return RunAnswered(KeptAnswer(answer.status, kept, body))
