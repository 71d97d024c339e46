"""Failure ratio of a backend server, from the outcomes of its runs.

Health probes may succeed at a server that fails every request, and fail at one that
serves. So the local node counts failed runs and reports their ratio to all nodes, which
avoid the server. The counts decay, so that it is tried again after some seconds.
"""

import attrs

TICK_DECAY = 0.9
"""Decay factor of the counts, applied at each tick of 0.1 s: a memory of one
second."""
PRIOR_SUCCESSES = 2.0
"""Successful runs assumed, so that one failure among few runs gives no high ratio."""
REPORT_STEP = 0.1
"""The ratio is rounded to this, so that small changes cause no messages."""


@attrs.define(slots=True, eq=False, repr=False)
class Health:
    """Decaying counts of a backend server's runs and failures.

    Examples
    --------
    >>> health = Health()
    >>> for failed in (True, True, False, True):
    ...     health.record(failed)
    >>> health.failure_ratio
    0.5
    """

    _runs: float = 0.0
    _failures: float = 0.0

    def record(self, failed: bool) -> None:
        """Count a run that ended."""
        self._runs += 1.0
        if failed:
            self._failures += 1.0

    def tick(self) -> None:
        """Decay the counts; called every 0.1 s."""
        self._runs *= TICK_DECAY
        self._failures *= TICK_DECAY

    def clear(self) -> None:
        """Clear the counts, which belong to an earlier incarnation."""
        self._runs = self._failures = 0.0

    @property
    def failure_ratio(self) -> float:
        """Ratio of the runs that fail, from 0 to 1, rounded."""
        ratio = self._failures / (self._runs + PRIOR_SUCCESSES)
        return round(round(ratio / REPORT_STEP) * REPORT_STEP, 2)
