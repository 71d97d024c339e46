"""Latency that the node adds to requests."""

import attrs
from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_PENDING = 4096
US_PER_MS = 1000


@attrs.frozen
class LatencySummary:
    """Latency that the node added since its start.

    Attributes
    ----------
    count : int
        Requests counted.
    mean_ms, p50_ms, p90_ms, p99_ms, p999_ms, max_ms : float
        Time from the arrival of the request until it was written to the backend
        server, plus the time from the first byte of the answer until its head was
        written to the caller, without waits for the caller's body or for a slot.
    """

    count: int
    mean_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class AddedLatency:
    """Histogram of the added latency, filled in batches."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
        self._pending_ms: list[float] = []

    def add(self, added_ms: float) -> None:
        """Record the added latency of one request."""
        self._pending_ms.append(added_ms)
        if len(self._pending_ms) >= MAX_PENDING:
            self.flush()

    def flush(self) -> None:
        """Move the pending values into the histogram."""
        pending = self._pending_ms
        self._pending_ms = []
        for added_ms in pending:
            value = max(MIN_US, int(added_ms * US_PER_MS))
            self._histogram.record_value(min(value, MAX_US))

    def summary(self) -> LatencySummary:
        """Return the distribution since the start."""
        self.flush()
        histogram = self._histogram

        def percentile_ms(percentile: float) -> float:
            return histogram.get_value_at_percentile(percentile) / US_PER_MS

        return LatencySummary(
            histogram.get_total_count(),
            histogram.get_mean_value() / US_PER_MS,
            percentile_ms(50.0),
            percentile_ms(90.0),
            percentile_ms(99.0),
            percentile_ms(99.9),
            histogram.get_max_value() / US_PER_MS,
        )
