"""Retry budget: how often nodes may send a request to a second backend server.

All nodes share the budget: a ratio of a service's requests plus a fixed number in each
window. Each node uses an equal part of the number and the ratio of its own requests, so
the nodes need no coordination. A node that can't be reached, as behind a cut, may still
use its part, and one that has just started may have used it in its former process.

Load pattern: the servers of one service fail many runs. The retries call other services
again, and those calls count in the budgets of these, which earn from their own clients'
requests only. Data centres are cut off, or nodes restarted, meanwhile.
"""

from collections.abc import Collection

import attrs

USED_RETRY_RATIO = 0.5
"""Fraction of the allowed ratio that is used.

The rest is a reserve for what other nodes count differently.
"""
MAX_DEBT_RATIO = 0.25
"""Fraction of the fixed number by which calls of retries may overdraw a budget."""
USED_EXTRA_RATIO = 0.5
"""Fraction of the fixed number that is used, for the same reason."""


@attrs.define(slots=True, eq=False, repr=False)
class RetryBudget:
    """Token buckets, one for each service.

    Attributes
    ----------
    ratio, extra : float
        Limits for all nodes together in a window.
    window_ms : float
        Length of the window.
    members : int
        Number of nodes that share the fixed number; 0 if it is not known yet.
    restarted : bool
        Whether a former process of this node may have used its part.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.2, extra=8, window_ms=10_000, members=2)
    >>> [budget.try_spend("a", 0.0) for _ in range(3)]
    [True, True, False]
    """

    ratio: float
    extra: float
    window_ms: float
    members: int = 1
    restarted: bool = False
    _tokens: dict[str, float] = attrs.field(factory=dict)
    _refilled_ms: dict[str, float] = attrs.field(factory=dict)

    def earn(self, service: str) -> None:
        """Add the tokens that a request for a service earns."""
        if not self.members:
            return
        max_tokens = self._max_tokens()
        tokens = self._tokens.get(service, self._start_tokens())
        self._tokens[service] = min(max_tokens, tokens + self.ratio * USED_RETRY_RATIO)

    def try_spend(
        self, service: str, now_ms: float, called: Collection[str] = ()
    ) -> bool:
        """Spend a token for a retry if there is one; return whether it was spent.

        Parameters
        ----------
        called : collection of str
            Services that the retried run calls again: one token of each is spent too.
        """
        if not self.members or self._refill(service, now_ms) < 1.0:
            return False
        max_debt = self._share() * MAX_DEBT_RATIO
        if any(self._refill(one, now_ms) - 1.0 < -max_debt for one in called):
            return False
        for one in (service, *called):
            self._tokens[one] -= 1.0
        return True

    def _refill(self, service: str, now_ms: float) -> float:
        """Add the tokens since the last refill; return how many there are."""
        max_tokens = self._max_tokens()
        since_ms = now_ms - self._refilled_ms.get(service, now_ms)
        self._refilled_ms[service] = now_ms
        refill = since_ms / self.window_ms * max_tokens * USED_EXTRA_RATIO
        tokens = self._tokens.get(service, self._start_tokens())
        tokens = min(max_tokens, tokens + refill)
        self._tokens[service] = tokens
        return tokens

    def _max_tokens(self) -> float:
        return max(1.0, self._share() * USED_EXTRA_RATIO)

    def _start_tokens(self) -> float:
        return 0.0 if self.restarted else self._max_tokens()

    def _share(self) -> float:
        """Return the part of the fixed number that this node may use."""
        return self.extra / self.members
