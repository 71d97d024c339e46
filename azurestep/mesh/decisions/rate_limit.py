"""Rate limit of one backend server, as a token bucket.

The local node is the only sender to its backend server, so one bucket holds the limit
for the requests of all nodes.
"""

import math

import attrs

BURST_S = 0.1
"""Unused tokens of this time are kept, so that uneven arrivals use the whole rate."""
MIN_BURST = 1.0
"""Tokens that may be kept at any rate; a request takes one."""
ROUNDING = 1e-6
"""Tolerated rounding error of the token count."""


@attrs.define(slots=True, eq=False, repr=False)
class RateLimiter:
    """Token bucket; a request that is sent takes a token.

    Attributes
    ----------
    rate_per_s : float
        Tokens added per second; infinite without a limit, 0 if nothing may be sent.

    Examples
    --------
    >>> limiter = RateLimiter()
    >>> limiter.set_rate(10.0, now_ms=0.0)
    >>> limiter.try_take(50.0), limiter.wait_ms(50.0), limiter.wait_ms(50.0, ahead=2)
    (False, 50.0, 250.0)
    >>> limiter.try_take(100.0), limiter.try_take(100.0)
    (True, False)
    """

    rate_per_s: float = math.inf
    _tokens: float = 0.0
    _refilled_ms: float = 0.0

    @property
    def active(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s != math.inf

    def set_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Change the limit; a new one begins without tokens."""
        if rate_per_s == self.rate_per_s:
            return
        if self.active:
            self._refill(now_ms)
        else:
            self._tokens = 0.0
        self.rate_per_s = rate_per_s
        self._refilled_ms = now_ms
        self._tokens = min(self._tokens, self._max_tokens())

    def try_take(self, now_ms: float) -> bool:
        """Take a token if there is one; without a limit there always is."""
        if not self.active:
            return True
        self._refill(now_ms)
        if self._tokens < 1.0 - ROUNDING:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        if self.active:
            self._tokens = min(self._tokens + 1.0, self._max_tokens())

    def wait_ms(self, now_ms: float, ahead: int = 0) -> float:
        """Return when a token is free for a request behind ``ahead`` others."""
        if not self.active:
            return 0.0
        self._refill(now_ms)
        missing = ahead + 1.0 - self._tokens
        if missing <= 0:
            return 0.0
        if self.rate_per_s == 0:
            return math.inf
        return missing / self.rate_per_s * 1000

    def _refill(self, now_ms: float) -> None:
        added = (now_ms - self._refilled_ms) / 1000 * self.rate_per_s
        self._tokens = min(self._tokens + max(0.0, added), self._max_tokens())
        self._refilled_ms = now_ms

    def _max_tokens(self) -> float:
        return max(MIN_BURST, self.rate_per_s * BURST_S)
