"""Requests that reach the last service when calls go several hops deep."""

import random

import attrs

from azurestep.balancing import (
    FailedAttempt,
    OutcomeKind,
    Retry,
    RetryBudget,
    decide_retry,
)
from azurestep.config.model import RetryRule

REQUEST_INTERVAL_MS = 10.0
ANSWER_MS = 1.0
RATIO = 0.1
ATTEMPTS = 2
REQUESTS = 3000
UNBOUNDED_REQUESTS = 2
COSTLY_DEPTH = 10


@attrs.frozen
class RetryPolicy:
    """Which of the two rules is on."""

    name: str
    budget: bool
    nearest_hop: bool


POLICIES = [
    RetryPolicy("neither", budget=False, nearest_hop=False),
    RetryPolicy("budget only", budget=True, nearest_hop=False),
    RetryPolicy("nearest hop only", budget=False, nearest_hop=True),
    RetryPolicy("both", budget=True, nearest_hop=True),
]


@attrs.frozen
class Amplification:
    """Figures of one run.

    Attributes
    ----------
    reached : float
        Requests at the last service per caller's request.
    good_ratio : float
        Callers' requests that were answered well.
    """

    policy: str
    depth: int
    failure_ratio: float
    requests: int
    reached: float
    good_ratio: float


@attrs.define
class NoBudget(RetryBudget):
    """Allows every retry."""

    def try_spend(self, now_ms: float) -> bool:
        """Allow the retry."""
        return True


@attrs.define
class Chain:
    """Hops in a row; each retries by the decision code."""

    depth: int
    failure_ratio: float
    policy: RetryPolicy
    source: random.Random
    budgets: list[RetryBudget] = attrs.field(factory=list)
    reached: int = 0
    now_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Give each hop its budget."""
        kind = RetryBudget if self.policy.budget else NoBudget
        self.budgets = [kind(RATIO) for _ in range(self.depth)]

    def call(self, hop: int, resend: bool) -> tuple[bool, bool]:
        """Call a hop; return whether it went well and the final mark."""
        if hop == self.depth:
            self.reached += 1
            return self.source.random() >= self.failure_ratio, False
        budget = self.budgets[hop]
        if not self._enters(budget, resend):
            return False, True
        attempts = 0
        while True:
            attempts += 1
            good, final = self.call(hop + 1, resend or attempts > 1)
            if good:
                return True, False
            attempt = FailedAttempt(
                kind=OutcomeKind.ERROR,
                attempts=attempts,
                idempotent=True,
                bytes_delivered=0,
                remaining_ms=1000.0,
                retried_upstream=final and self.policy.nearest_hop,
            )
            rule = RetryRule(ATTEMPTS, RATIO)
            decision = decide_retry(attempt, rule, budget, self.now_ms)
            if not isinstance(decision, Retry):
                return False, decision.forbids_retry

    def _enters(self, budget: RetryBudget, resend: bool) -> bool:
        if not resend:
            budget.earn()
            return True
        return budget.try_spend(self.now_ms)


def measure(
    policy: RetryPolicy, depth: int, failure_ratio: float, requests: int, seed: int = 1
) -> Amplification:
    """Send callers' requests through a chain."""
    chain = Chain(depth, failure_ratio, policy, random.Random(seed))
    good = 0
    for _ in range(requests):
        chain.now_ms += REQUEST_INTERVAL_MS
        good += chain.call(0, resend=False)[0]
    reached = chain.reached / requests
    return Amplification(
        policy.name, depth, failure_ratio, requests, reached, good / requests
    )


def table(requests: int = REQUESTS) -> list[Amplification]:
    """Measure all policies at both depths and failure ratios."""
    rows = []
    for depth in (3, 18):
        for failure_ratio in (1.0, 0.3):
            for policy in POLICIES:
                explodes = failure_ratio == 1.0 and depth > COSTLY_DEPTH
                unbounded = explodes and policy.name == "neither"
                count = UNBOUNDED_REQUESTS if unbounded else requests
                rows.append(measure(policy, depth, failure_ratio, count))
    return rows
