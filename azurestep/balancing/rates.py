"""Exponentially decayed rates and means."""

import math

import attrs

RATE_TIME_CONSTANT_MS = 1000.0
MEAN_GAIN = 0.05


@attrs.define
class RateMeter:
    """Events per millisecond over about the last second.

    Attributes
    ----------
    count : float
        Decayed number of events.
    updated_ms : float
        Time of the last event.
    """

    count: float = 0.0
    updated_ms: float = 0.0

    def add(self, now_ms: float) -> None:
        """Count one event."""
        age_ms = now_ms - self.updated_ms
        self.count = self.count * math.exp(-age_ms / RATE_TIME_CONSTANT_MS) + 1.0
        self.updated_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        """Return the present rate in events per millisecond."""
        age_ms = now_ms - self.updated_ms
        return (
            self.count
            * math.exp(-age_ms / RATE_TIME_CONSTANT_MS)
            / RATE_TIME_CONSTANT_MS
        )


@attrs.define
class SmoothedMean:
    """Mean and mean deviation of the recent values; the first one counts whole.

    Attributes
    ----------
    value : float
        Mean.
    deviation : float
        Mean absolute distance from the mean.
    """

    value: float = 0.0
    deviation: float = 0.0
    is_empty: bool = True

    def add(self, value: float) -> None:
        """Take one value into account."""
        if self.is_empty:
            self.value = value
            self.is_empty = False
            return
        error = value - self.value
        self.value += MEAN_GAIN * error
        self.deviation += MEAN_GAIN * (abs(error) - self.deviation)
