"""When to doubt a pooled connection: pure decisions about first-byte times.

A connection that went silent looks like a slow backend server. The bound
follows the route's own first-byte times, as a TCP retransmission timer does
(RFC 6298), and the number of doubts is limited, so that a service that became
slow for all isn't asked everything twice.
"""

import attrs

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
MIN_HEDGE_DELAY_MS = 100.0
BOUND_INITIAL_MS = 250.0
TOKENS_MAXIMUM = 10.0
TOKENS_PER_REQUEST = 0.02


@attrs.define
class FirstByteTimes:
    """Smoothed time to the first byte of a route's answers.

    Attributes
    ----------
    mean_ms, deviation_ms : float
        Smoothed mean, and smoothed absolute deviation from it.
    is_empty : bool
        Whether no answer was seen.
    """

    mean_ms: float = 0.0
    deviation_ms: float = 0.0
    is_empty: bool = True

    def add(self, latency_ms: float) -> None:
        """Take the time of one answer into account."""
        if self.is_empty:
            self.is_empty = False
            self.mean_ms = latency_ms
            self.deviation_ms = latency_ms / 2
            return
        distance_ms = abs(latency_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_GAIN * (distance_ms - self.deviation_ms)
        self.mean_ms += MEAN_GAIN * (latency_ms - self.mean_ms)

    def bound_ms(self) -> float:
        """Return the time after which a pooled connection is doubted.

        Examples
        --------
        >>> times = FirstByteTimes()
        >>> times.bound_ms()
        250.0
        >>> times.add(40.0)
        >>> times.bound_ms()
        120.0
        """
        if self.is_empty:
            return BOUND_INITIAL_MS
        bound_ms = self.mean_ms + DEVIATIONS * self.deviation_ms
        return max(MIN_HEDGE_DELAY_MS, bound_ms)


@attrs.define
class HedgeBudget:
    """Token bucket that bounds the requests sent twice.

    Attributes
    ----------
    tokens : float
        Hedges allowed now; each request adds a small share.
    """

    tokens: float = TOKENS_MAXIMUM

    def request(self) -> None:
        """Add the share of one request."""
        self.tokens = min(TOKENS_MAXIMUM, self.tokens + TOKENS_PER_REQUEST)

    def take(self) -> bool:
        """Take one hedge out of the bucket; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
