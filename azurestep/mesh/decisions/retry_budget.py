"""Retry budget: how often nodes may send a request to a second backend server.

The budget holds for all nodes together: a ratio of a service's requests and a fixed
number in each window. Each node uses an equal part of the number and the ratio of its
own requests, so that no agreement is needed.
"""

import attrs

USED_RETRY_RATIO = 0.5
"""Part of the allowed ratio that is used.

The rest is left for the calls that retried requests make to other services.
"""
USED_EXTRA_RATIO = 0.5
"""Part of the fixed number that is used, for the same reason."""


@attrs.define(slots=True)
class RetryBudget:
    """Token buckets, one for each service.

    Attributes
    ----------
    ratio, extra : float
        Limits for all nodes together in a window.
    window_ms : float
        Length of the window.
    members : int
        Number of live nodes.

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
    _tokens: dict[str, float] = attrs.field(factory=dict)
    _refilled_ms: dict[str, float] = attrs.field(factory=dict)

    def earn(self, service: str) -> None:
        """Add the tokens that a request for a service earns."""
        max_tokens = self._max_tokens()
        tokens = self._tokens.get(service, max_tokens)
        self._tokens[service] = min(max_tokens, tokens + self.ratio * USED_RETRY_RATIO)

    def try_spend(self, service: str, now_ms: float) -> bool:
        """Spend a token for a retry if there is one; return whether."""
        max_tokens = self._max_tokens()
        since_ms = now_ms - self._refilled_ms.get(service, now_ms)
        self._refilled_ms[service] = now_ms
        refill = since_ms / self.window_ms * max_tokens * USED_EXTRA_RATIO
        tokens = min(max_tokens, self._tokens.get(service, max_tokens) + refill)
        if tokens < 1.0:
            self._tokens[service] = tokens
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def _max_tokens(self) -> float:
        return max(1.0, self.extra * USED_EXTRA_RATIO / max(1, self.members))
