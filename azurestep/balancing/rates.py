"""Exponentially decayed rates and means."""

import math

import attrs

RATE_TIME_CONSTANT_MS = 1000.0
MEAN_GAIN = 0.05


@attrs.define
class RateMeter:
    """Exponentially decayed rate of events.

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
        """Return the current rate in events per millisecond."""
        age_ms = now_ms - self.updated_ms
        return (
            self.count
            * math.exp(-age_ms / RATE_TIME_CONSTANT_MS)
            / RATE_TIME_CONSTANT_MS
        )


@attrs.define
class SmoothedMean:
    """Exponentially smoothed mean and mean absolute deviation.

    Attributes
    ----------
    value : float
        Mean; the first value sets it.
    deviation : float
        Mean absolute deviation.
    is_empty : bool
        Whether no value was added.
    """

    value: float = 0.0
    deviation: float = 0.0
    is_empty: bool = True

    def add(self, value: float) -> None:
        """Add one value."""
        if self.is_empty:
            self.value = value
            self.is_empty = False
            return
        error = value - self.value
        self.value += MEAN_GAIN * error
        self.deviation += MEAN_GAIN * (abs(error) - self.deviation)
