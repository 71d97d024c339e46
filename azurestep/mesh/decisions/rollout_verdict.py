"""Comparison of a new version with the old one, by the outcomes of their runs.

Load pattern: few runs of the new version beside many of the old one, a fault that sits
on one route or begins late, and failures and slow runs that both versions have alike.

A cumulative sum (CUSUM) of log-likelihood ratios is kept for each route and for all of
them together. Evidence for a good version doesn't accumulate, so a fault that begins
late is found as fast as an early one.
"""

import math

import attrs

SLOW_FACTOR = 4.0
"""A run counts as bad from this multiple of the route's mean over all servers."""
MIN_BAD_RATIO = 0.03
MAX_BAD_RATIO = 0.6
"""Bounds of the ratio that is assumed for the old version."""
DETECTED_RISE = 0.25
"""Rise of the ratio of bad runs that is to be detected, as a part of the good runs."""
ALARM_THRESHOLD = 8.0
"""Value of the sum that makes a version count as bad."""
OLD_DECAY = 0.965
"""Decay factor of the old version's counts at each tick of 0.1 s: some 2 s."""
PRIOR_RUNS = 10.0
"""Weight of the ratio over all routes in that of one route."""
ALL_ROUTES = ""
"""Name of the sum over all routes."""


@attrs.define(slots=True, eq=False, repr=False)
class RunCounts:
    """Runs of one version on one route, and how many of them were bad."""

    runs: float = 0.0
    bad: float = 0.0

    def add(self, runs: float, bad: float) -> None:
        """Add runs."""
        self.runs += runs
        self.bad += bad

    def decay(self) -> None:
        """Apply the decay of one tick."""
        self.runs *= OLD_DECAY
        self.bad *= OLD_DECAY


def is_bad_run(failed: bool, run_ms: float, mean_run_ms: float) -> bool:
    """Whether a run failed or was far slower than the mean of its route.

    Examples
    --------
    >>> is_bad_run(False, 500.0, 200.0), is_bad_run(False, 900.0, 200.0)
    (False, True)
    >>> is_bad_run(False, 900.0, 0.0)
    False
    """
    return failed or 0 < mean_run_ms * SLOW_FACTOR < run_ms


@attrs.define(slots=True, eq=False, repr=False)
class VersionComparison:
    """Evidence on one roll-out.

    Examples
    --------
    >>> comparison = VersionComparison()
    >>> comparison.record_old("read", 200, 2)
    >>> comparison.record_new("read", 40, 1)
    >>> comparison.is_bad
    False
    >>> comparison.record_new("read", 12, 6)
    >>> comparison.is_bad
    True
    """

    new_runs: int = 0
    new_bad: int = 0
    _old: dict[str, RunCounts] = attrs.field(factory=dict)
    _sums: dict[str, float] = attrs.field(factory=dict)

    def record_old(self, route: str, runs: int, bad: int) -> None:
        """Add runs of the old version."""
        for name in (route, ALL_ROUTES):
            self._old.setdefault(name, RunCounts()).add(runs, bad)

    def record_new(self, route: str, runs: int, bad: int) -> None:
        """Add runs of the new version."""
        self.new_runs += runs
        self.new_bad += bad
        for name in (route, ALL_ROUTES):
            gain = _log_likelihood_gain(runs, bad, self.old_bad_ratio(name))
            self._sums[name] = max(0.0, self._sums.get(name, 0.0) + gain)

    def tick(self) -> None:
        """Decay the counts of the old version; called every 0.1 s."""
        for counts in self._old.values():
            counts.decay()

    def old_bad_ratio(self, route: str) -> float:
        """Return the recent ratio of bad runs of the old version."""
        total = self._old.get(ALL_ROUTES, RunCounts())
        prior = total.bad / total.runs if total.runs >= 1 else MIN_BAD_RATIO
        counts = self._old.get(route, RunCounts())
        ratio = (counts.bad + PRIOR_RUNS * prior) / (counts.runs + PRIOR_RUNS)
        return min(MAX_BAD_RATIO, max(MIN_BAD_RATIO, ratio))

    @property
    def worst(self) -> tuple[str, float]:
        """Route with the strongest evidence against the new version, and its sum."""
        if not self._sums:
            return ALL_ROUTES, 0.0
        return max(self._sums.items(), key=lambda item: item[1])

    @property
    def is_bad(self) -> bool:
        """Whether the new version is worse than the old one."""
        return self.worst[1] >= ALARM_THRESHOLD


def _log_likelihood_gain(runs: int, bad: int, old_ratio: float) -> float:
    new_ratio = old_ratio + DETECTED_RISE * (1 - old_ratio)
    gain_bad = math.log(new_ratio / old_ratio)
    gain_good = math.log((1 - new_ratio) / (1 - old_ratio))
    return bad * gain_bad + (runs - bad) * gain_good


@attrs.define(slots=True, eq=False, repr=False)
class RunCounter:
    """Counts the runs of the local backend server during a roll-out."""

    rows: dict[str, RunCounts] = attrs.field(factory=dict)

    def record(self, route: str, bad: bool) -> None:
        """Count one run."""
        self.rows.setdefault(route, RunCounts()).add(1, int(bad))

    def clear(self) -> None:
        """Clear the counts, as another roll-out or incarnation began."""
        self.rows.clear()

    def report(self) -> tuple[tuple[str, int, int], ...]:
        """Return route, runs and bad runs of each route."""
        return tuple(
            (route, int(counts.runs), int(counts.bad))
            for route, counts in sorted(self.rows.items())
        )
