"""How well a backend server does, from what its runs came to.

Health probes may say well of a server that fails every request, and ill of one
that serves. So the node beside a backend server counts the runs that failed, with
a short memory, and tells all nodes the ratio; they go by it when they choose. The
counts fade, so that a server which is avoided is tried again after some 3 s. Pure.
"""

import attrs

TICK_DECAY = 0.9
"""Part of the counts that is kept at each tick of 0.1 s: a memory of one second. A
server that failed all of 15 requests a second is told as half failing 2 s later."""
PRIOR_SUCCESSES = 2.0
"""Good runs that are assumed, so that one failure doesn't close a quiet server."""
REPORT_STEP = 0.1
"""Steps in which the ratio is told, so that small changes cost no messages."""


@attrs.define(slots=True)
class Health:
    """Runs at a backend server, and those that failed, with a fading memory.

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
        """Let 0.1 s pass."""
        self._runs *= TICK_DECAY
        self._failures *= TICK_DECAY

    def clear(self) -> None:
        """Forget the runs; another incarnation serves."""
        self._runs = self._failures = 0.0

    @property
    def failure_ratio(self) -> float:
        """Share of the runs that fail, from 0 to 1, in steps."""
        ratio = self._failures / (self._runs + PRIOR_SUCCESSES)
        return round(round(ratio / REPORT_STEP) * REPORT_STEP, 2)
