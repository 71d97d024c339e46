"""Retry policy and retry budget."""

from enum import StrEnum

import attrs

from ..config.model import RetryRule
from .messages import OutcomeKind

MAX_TOKENS = 10.0
REFILL_TOKENS_PER_MS = 0.001
NOT_RUN_KINDS = frozenset({OutcomeKind.CONNECT_FAILED, OutcomeKind.SHED})


@attrs.define
class RetryBudget:
    """Token bucket that limits the retries of one service.

    Client retries spend tokens of the same bucket as the node's own retries, so that
    both together stay within the ratio. A small constant
    refill allows retries of a service with little traffic.

    Attributes
    ----------
    ratio : float
        Tokens added per request that isn't a retry.
    tokens : float
        Retries allowed now.
    updated_ms : float
        Time of the last constant refill.
    """

    ratio: float
    tokens: float = MAX_TOKENS
    updated_ms: float = 0.0

    def earn(self) -> None:
        """Add the tokens of a request that isn't a retry."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def try_spend(self, now_ms: float) -> bool:
        """Spend one token on a retry; return whether there was one."""
        refill = max(0.0, now_ms - self.updated_ms) * REFILL_TOKENS_PER_MS
        if self.ratio > 0:
            self.tokens = min(MAX_TOKENS, self.tokens + refill)
        self.updated_ms = max(now_ms, self.updated_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.frozen
class FailedAttempt:
    """A failed attempt, as input of ``decide_retry``.

    Attributes
    ----------
    kind : OutcomeKind
        How it ended.
    attempts : int
        Attempts at this hop so far, including this one.
    idempotent : bool
        Whether the request may run more than once.
    bytes_delivered : int
        Bytes of the answer already sent to the caller.
    remaining_ms : float
        Time until the caller's deadline.
    estimated_ms : float
        Estimated time of another attempt.
    retried_upstream : bool
        Whether the answer says that an upstream hop already handled the failure.
    server_crashed : bool or None
        Whether the backend server crashed; None if unknown. It tells nothing about
        a request that did not run there.
    suspect : bool
        Whether its quarantine status is ``SUSPECT``.
    """

    kind: OutcomeKind
    attempts: int
    idempotent: bool
    bytes_delivered: int
    remaining_ms: float
    estimated_ms: float = 0.0
    retried_upstream: bool = False
    server_crashed: bool | None = None
    suspect: bool = False


class GiveUpReason(StrEnum):
    """Why no other attempt is made."""

    MAY_HAVE_RUN = "may_have_run"
    BYTES_DELIVERED = "bytes_delivered"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"
    RETRIED_UPSTREAM = "final_below"
    SUSPECT = "suspect"
    CANCELLED = "cancelled"


@attrs.frozen
class Retry:
    """Try another backend server than those already tried."""


@attrs.frozen
class ProbeFirst:
    """Open a new connection to the same backend server, then decide again.

    If it is refused, the backend server crashed (``server_crashed=True``);
    otherwise only the connection was lost (``server_crashed=False``).
    """


@attrs.frozen
class GiveUp:
    """Answer the caller now.

    Attributes
    ----------
    reason : GiveUpReason
        Why no other attempt is made.
    not_run : bool
        Whether the request provably did not run in this attempt.
    forbids_retry : bool
        Whether downstream hops must not retry.
    """

    reason: GiveUpReason
    not_run: bool
    forbids_retry: bool = True


RetryDecision = Retry | ProbeFirst | GiveUp


def decide_retry(
    attempt: FailedAttempt, rule: RetryRule, budget: RetryBudget, now_ms: float
) -> RetryDecision:
    """Decide whether to retry after a failed attempt.

    The budget is checked last, so that only actual retries spend tokens.
    """
    not_run = attempt.kind in NOT_RUN_KINDS
    reason = _find_give_up_reason(attempt, rule, not_run)
    if reason is not None:
        return GiveUp(reason, not_run)
    if attempt.kind is OutcomeKind.RESET and attempt.server_crashed is None:
        return ProbeFirst()
    if not budget.try_spend(now_ms):
        return GiveUp(GiveUpReason.BUDGET, not_run)
    return Retry()


def _find_give_up_reason(
    attempt: FailedAttempt, rule: RetryRule, not_run: bool
) -> GiveUpReason | None:
    unsafe = _find_unsafe_reason(attempt, not_run)
    if unsafe is not None:
        return unsafe
    if attempt.retried_upstream:
        return GiveUpReason.RETRIED_UPSTREAM
    if attempt.attempts >= rule.max_attempts:
        return GiveUpReason.ATTEMPTS
    if attempt.remaining_ms <= max(0.0, attempt.estimated_ms):
        return GiveUpReason.DEADLINE
    return None


def _find_unsafe_reason(attempt: FailedAttempt, not_run: bool) -> GiveUpReason | None:
    if attempt.kind is OutcomeKind.CANCELLED:
        return GiveUpReason.CANCELLED
    if attempt.bytes_delivered > 0:
        return GiveUpReason.BYTES_DELIVERED
    if not not_run and not attempt.idempotent:
        return GiveUpReason.MAY_HAVE_RUN
    if attempt.suspect or (attempt.server_crashed and not not_run):
        return GiveUpReason.SUSPECT
    return None
