"""Answers that the node itself generates, without a backend server's answer."""

import math
from enum import StrEnum

import attrs
import orjson
from aiohttp import web

from ..balancing import GiveUp, OutcomeKind
from . import headers
from .attempt import Attempt

MS_PER_S = 1000
RETRY_AFTER_MS = 500.0
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class CallOutcome(StrEnum):
    """Whether a failed request may have run.

    ``NOT_RUN`` is used only if no byte of the request was sent to a backend
    server, or if the backend server itself refused the request.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class ErrorAnswer:
    """An error answer to a request without an answer of a backend server.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : CallOutcome
        Whether the request may have run.
    reason : str
        Short name of the cause.
    retry_after_ms : float or None
        Time after which to send again; None if that is of no use.
    forbids_retry : bool
        Whether hops above must not retry.
    """

    status: int
    outcome: CallOutcome
    reason: str
    retry_after_ms: float | None = None
    forbids_retry: bool = False


def not_run(status: int, reason: str, retry_after_ms: float | None) -> ErrorAnswer:
    """Return the error answer of a request that did not run."""
    return ErrorAnswer(status, CallOutcome.NOT_RUN, reason, retry_after_ms)


def make_error_answer(decision: GiveUp, attempt: Attempt) -> ErrorAnswer:
    """Return the error answer after the last attempt at a request."""
    if decision.not_run:
        outcome, status = CallOutcome.NOT_RUN, UNAVAILABLE
    elif attempt.kind is OutcomeKind.TIMEOUT:
        outcome, status = CallOutcome.MAY_HAVE_RUN, GATEWAY_TIMEOUT
    else:
        outcome, status = CallOutcome.MAY_HAVE_RUN, BAD_GATEWAY
    reason = decision.reason.value
    return ErrorAnswer(status, outcome, reason, RETRY_AFTER_MS, decision.forbids_retry)


def make_answer(error_answer: ErrorAnswer) -> web.Response:
    """Return the HTTP answer of an error answer."""
    fields = {
        headers.OUTCOME: error_answer.outcome,
        headers.REASON: error_answer.reason,
    }
    if error_answer.outcome is CallOutcome.NOT_RUN:
        fields[headers.NOT_RUN] = "1"
    if error_answer.forbids_retry:
        fields[headers.RETRIED] = headers.RETRIED_FINAL
    if error_answer.retry_after_ms is not None:
        seconds = math.ceil(error_answer.retry_after_ms / MS_PER_S)
        fields[headers.RETRY_AFTER] = str(seconds)
        fields[headers.RETRY_AFTER_MS] = str(math.ceil(error_answer.retry_after_ms))
    body = orjson.dumps(
        {"outcome": error_answer.outcome, "reason": error_answer.reason}
    )
    return web.Response(
        status=error_answer.status,
        body=body,
        headers=fields,
        content_type="application/json",
    )
