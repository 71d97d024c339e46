"""Hedging delay and hedging budget.

An unresponsive connection looks like a slow backend server. The delay follows the
first-byte times of the route, like a TCP retransmission timer (RFC 6298), and a
budget limits the hedges, so that a service that became slow doesn't get every
request twice.
"""

import attrs

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DELAY_DEVIATIONS = 4.0
MIN_HEDGE_DELAY_MS = 100.0
INITIAL_HEDGE_DELAY_MS = 250.0
MAX_TOKENS = 10.0
TOKENS_PER_REQUEST = 0.02


@attrs.define
class FirstByteTimes:
    """Smoothed time to the first byte of a route's answers.

    Attributes
    ----------
    mean_ms, deviation_ms : float
        Smoothed mean, and smoothed absolute deviation from it.
    is_empty : bool
        Whether no answer was recorded.
    """

    mean_ms: float = 0.0
    deviation_ms: float = 0.0
    is_empty: bool = True

    def add(self, latency_ms: float) -> None:
        """Record the first-byte time of one answer."""
        if self.is_empty:
            self.is_empty = False
            self.mean_ms = latency_ms
            self.deviation_ms = latency_ms / 2
            return
        distance_ms = abs(latency_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_GAIN * (distance_ms - self.deviation_ms)
        self.mean_ms += MEAN_GAIN * (latency_ms - self.mean_ms)

    def hedge_delay_ms(self) -> float:
        """Return the time without a first byte after which a request is hedged.

        Examples
        --------
        >>> times = FirstByteTimes()
        >>> times.hedge_delay_ms()
        250.0
        >>> times.add(40.0)
        >>> times.hedge_delay_ms()
        120.0
        """
        if self.is_empty:
            return INITIAL_HEDGE_DELAY_MS
        hedge_delay_ms = self.mean_ms + DELAY_DEVIATIONS * self.deviation_ms
        return max(MIN_HEDGE_DELAY_MS, hedge_delay_ms)


@attrs.define
class HedgeBudget:
    """Token bucket that limits the hedged requests of one service.

    Attributes
    ----------
    tokens : float
        Hedges allowed now.
    """

    tokens: float = MAX_TOKENS

    def earn(self) -> None:
        """Add the tokens of one request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def try_spend(self) -> bool:
        """Spend one token on a hedge; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
