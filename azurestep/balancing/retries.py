"""Retries: when, from which budget, and at which hop."""

from enum import StrEnum

import attrs

from ..config.model import RetryRule
from .messages import OutcomeKind

BUDGET_MAXIMUM = 10.0
BUDGET_FLOOR_PER_MS = 0.001
NOT_RUN_KINDS = frozenset({OutcomeKind.CONNECT_FAILED, OutcomeKind.SHED})


@attrs.define
class RetryBudget:
    """Token bucket of one service, filled by first requests.

    Re-sends that arrive from callers below take from the same bucket as the
    node's own retries, so that the two together stay within the ratio.

    Attributes
    ----------
    ratio : float
        Tokens added per first request.
    tokens : float
        Retries allowed now.
    updated_ms : float
        Time of the last trickle; a small constant rate lets a service with
        hardly any traffic retry at all.
    """

    ratio: float
    tokens: float = BUDGET_MAXIMUM
    updated_ms: float = 0.0

    def earn(self) -> None:
        """Add a first request's share."""
        self.tokens = min(BUDGET_MAXIMUM, self.tokens + self.ratio)

    def spend(self, now_ms: float) -> bool:
        """Take one retry out of the bucket; return whether there was one."""
        trickle = max(0.0, now_ms - self.updated_ms) * BUDGET_FLOOR_PER_MS
        if self.ratio > 0:
            self.tokens = min(BUDGET_MAXIMUM, self.tokens + trickle)
        self.updated_ms = max(now_ms, self.updated_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.frozen
class FailedAttempt:
    """What is known of an attempt that failed.

    Attributes
    ----------
    kind : OutcomeKind
        How it ended.
    attempts : int
        Attempts at this hop so far, this one included.
    idempotent : bool
        Whether the request may run more than once.
    bytes_delivered : int
        Bytes of the answer that the caller already has.
    remaining_ms : float
        Time until the caller gives up.
    expected_ms : float
        Time that another attempt most likely takes.
    marked_final : bool
        Whether the answer says that a hop below already dealt with it.
    server_died : bool or None
        After ``RESET``: whether the backend server is gone; None when unknown.
    suspect : bool
        Whether the quarantine suspects the request.
    """

    kind: OutcomeKind
    attempts: int
    idempotent: bool
    bytes_delivered: int
    remaining_ms: float
    expected_ms: float = 0.0
    marked_final: bool = False
    server_died: bool | None = None
    suspect: bool = False


class GiveUpReason(StrEnum):
    """Why no other attempt is made."""

    MAY_HAVE_RUN = "may_have_run"
    BYTES_DELIVERED = "bytes_delivered"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"
    FINAL_BELOW = "final_below"
    SUSPECT = "suspect"
    CANCELLED = "cancelled"


@attrs.frozen
class Retry:
    """Try another backend server; avoid those already tried."""


@attrs.frozen
class ProbeFirst:
    """Open one fresh connection to the same backend server and ask again.

    Refused: it died (``server_died=True``). Accepted with the incarnation
    unchanged: only the connection was lost (``server_died=False``).
    """


@attrs.frozen
class GiveUp:
    """Answer the caller now.

    Attributes
    ----------
    reason : GiveUpReason
        Why.
    not_run : bool
        Whether the request provably did not run at this attempt.
    mark_final : bool
        Whether the answer tells the hops above not to retry.
    """

    reason: GiveUpReason
    not_run: bool
    mark_final: bool = True


RetryDecision = Retry | ProbeFirst | GiveUp


def decide_retry(
    attempt: FailedAttempt, rule: RetryRule, budget: RetryBudget, now_ms: float
) -> RetryDecision:
    """Decide what follows a failed attempt.

    The budget is asked last, so that only real retries take from it.
    """
    not_run = attempt.kind in NOT_RUN_KINDS
    reason = _obstacle(attempt, rule, not_run)
    if reason is not None:
        return GiveUp(reason, not_run)
    if attempt.kind is OutcomeKind.RESET and attempt.server_died is None:
        return ProbeFirst()
    if not budget.spend(now_ms):
        return GiveUp(GiveUpReason.BUDGET, not_run)
    return Retry()


def _obstacle(
    attempt: FailedAttempt, rule: RetryRule, not_run: bool
) -> GiveUpReason | None:
    unsafe = _why_unsafe(attempt, not_run)
    if unsafe is not None:
        return unsafe
    if attempt.marked_final:
        return GiveUpReason.FINAL_BELOW
    if attempt.attempts >= rule.max_attempts:
        return GiveUpReason.ATTEMPTS
    if attempt.remaining_ms <= max(0.0, attempt.expected_ms):
        return GiveUpReason.DEADLINE
    return None


def _why_unsafe(attempt: FailedAttempt, not_run: bool) -> GiveUpReason | None:
    if attempt.kind is OutcomeKind.CANCELLED:
        return GiveUpReason.CANCELLED
    if attempt.bytes_delivered > 0:
        return GiveUpReason.BYTES_DELIVERED
    if not not_run and not attempt.idempotent:
        return GiveUpReason.MAY_HAVE_RUN
    if attempt.suspect or attempt.server_died:
        return GiveUpReason.SUSPECT
    return None
