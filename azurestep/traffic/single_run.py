"""One run of a request that must not repeat, at one backend server."""

import asyncio

import aiohttp
import attrs

from ..balancing import Admitted, Outcome, OutcomeKind, Refused, RequestArrived
from ..environment import Clock
from ..once.messages import Header, KeptAnswer
from .attempt import Attempt, AttemptSender
from .call import Call, passed_on
from .pool import ServicePool

ANSWER_MAXIMUM_BYTES = 4 * 1024 * 1024
NOT_RUN_KINDS = frozenset({OutcomeKind.CONNECT_FAILED, OutcomeKind.SHED})


@attrs.frozen
class RunAnswered:
    """The backend server gave a whole answer."""

    answer: KeptAnswer


@attrs.frozen
class RunFailed:
    """No whole answer came.

    Attributes
    ----------
    bytes_sent : bool
        Whether a backend server may have run the request.
    """

    bytes_sent: bool


RunResult = RunAnswered | RunFailed


async def run_single(
    pool: ServicePool, sender: AttemptSender, call: Call, clock: Clock
) -> RunResult:
    """Run a call once; go to another backend server only if nothing ran."""
    for _ in range(call.match.service.retry.max_attempts):
        now_ms = clock.monotonic_ms()
        asked = RequestArrived(
            call.match.priority, now_ms, call.deadline_ms, tuple(call.tried)
        )
        decision = await pool.acquire(asked)
        if isinstance(decision, Refused):
            return RunFailed(bytes_sent=False)
        call.tried.append(decision.endpoint.key)
        result = await _attempt(pool, sender, call, clock, decision)
        if result is not None:
            return result
    return RunFailed(bytes_sent=False)


async def _attempt(
    pool: ServicePool, sender: AttemptSender, call: Call, clock: Clock, to: Admitted
) -> RunResult | None:
    """Return the result, or None if the request did not run."""
    kind = OutcomeKind.CANCELLED
    latency_ms = 0.0
    try:
        attempt = await sender.send(call, to.endpoint)
        kind, latency_ms = attempt.kind, attempt.latency_ms
        if attempt.response is None or kind in NOT_RUN_KINDS:
            if attempt.response is not None:
                attempt.response.release()
            return None if kind in NOT_RUN_KINDS else RunFailed(bytes_sent=True)
        result = await _read_answer(attempt, call, clock)
        if isinstance(result, RunFailed):
            kind = OutcomeKind.RESET
        return result
    finally:
        outcome = Outcome(kind, latency_ms)
        pool.finish(to.ticket, outcome, clock.monotonic_ms())


async def _read_answer(attempt: Attempt, call: Call, clock: Clock) -> RunResult:
    response = attempt.response
    assert response is not None
    remaining_s = max(0.0, call.remaining_ms(clock.monotonic_ms())) / 1000
    try:
        async with asyncio.timeout(remaining_s):
            body = await response.content.read(ANSWER_MAXIMUM_BYTES + 1)
            while not response.content.at_eof() and len(body) <= ANSWER_MAXIMUM_BYTES:
                body += await response.content.read(ANSWER_MAXIMUM_BYTES)
    except (aiohttp.ClientError, TimeoutError, OSError):
        response.close()
        return RunFailed(bytes_sent=True)
    is_trimmed = len(body) > ANSWER_MAXIMUM_BYTES
    if is_trimmed:
        response.close()
        return RunAnswered(KeptAnswer(response.status, trimmed=True))
    response.release()
    fields = passed_on(response.headers)
    fields.popall("Content-Length", None)
    headers = tuple(Header(name, value) for name, value in fields.items())
    return RunAnswered(KeptAnswer(response.status, headers, body))
