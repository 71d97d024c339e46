"""Metrics of a node in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter

import attrs

from .team_metrics import TeamMetrics

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1600, 3200, 6400)


@attrs.define(slots=True, eq=False, repr=False)
class Histogram:
    """Latency histogram with fixed buckets.

    Examples
    --------
    >>> histogram = Histogram()
    >>> histogram.record(3.0)
    >>> histogram.lines("run_ms")[2]
    'azurestep_run_ms_bucket{le="5"} 1'
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0

    def record(self, value_ms: float) -> None:
        """Record a duration."""
        self.counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self.total_ms += value_ms

    def lines(self, name: str) -> list[str]:
        """Return the histogram in the text format."""
        lines = []
        cumulative = 0
        for bound, count in zip((*BUCKETS_MS, "+Inf"), self.counts, strict=True):
            cumulative += count
            lines.append(f'azurestep_{name}_bucket{{le="{bound}"}} {cumulative}')
        lines.append(f"azurestep_{name}_sum {self.total_ms:.1f}")
        lines.append(f"azurestep_{name}_count {cumulative}")
        return lines


@attrs.define(slots=True, eq=False, repr=False)
class Metrics:
    """All metrics of a node: histograms, counters and gauges, and calls by team."""

    call_ms: Histogram = attrs.field(factory=Histogram)
    run_ms: Histogram = attrs.field(factory=Histogram)
    cancel_late_ms: Histogram = attrs.field(factory=Histogram)
    counters: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    gauges: dict[str, float] = attrs.field(factory=dict)
    teams: TeamMetrics = attrs.field(factory=TeamMetrics)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increase a counter."""
        self.counters[name, label] += amount

    def text(self) -> str:
        """Return all metrics in the text format."""
        lines = [
            *self.call_ms.lines("call_ms"),
            *self.run_ms.lines("run_ms"),
            *self.cancel_late_ms.lines("cancel_late_ms"),
        ]
        for (name, label), value in sorted(self.counters.items()):
            labels = f'{{kind="{label}"}}' if label else ""
            lines.append(f"azurestep_{name}_total{labels} {value}")
        lines += self.teams.lines()
        lines += [f"azurestep_{name} {value:g}" for name, value in self.gauges.items()]
        return "\n".join(lines) + "\n"
