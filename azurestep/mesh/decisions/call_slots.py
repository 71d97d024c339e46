"""Slots that calls between services need at one backend server.

Answers the load of a service whose new work takes long: a call that has to wait for a
slot holds up a run of another service, which holds a slot itself meanwhile.
"""

import math

import attrs

LATE_CALL_WEIGHT = 0.1
"""Weight of a new sample in the ratio of calls that wait longer than they run."""
MAX_LATE_CALLS = 0.1
"""Ratio of such calls from which a slot is kept free of new work."""
CALL_MEMORY_MS = 1000.0
"""Time after the last call for which a slot is kept free."""
MIN_NEW_SHARE = 0.2
"""Share of the run time that new work gets while it waits behind calls."""
SHARE_DECAY = 0.98
"""Decay factor of the run times by which that share is measured, at each start."""
RUNNING_CALLS_WEIGHT = 0.05
"""Weight of a new sample in the mean number of running calls."""


@attrs.define(slots=True, eq=False, repr=False)
class CallSlots:
    """Measures how long calls wait and how many slots they take.

    Examples
    --------
    >>> calls = CallSlots()
    >>> for _ in range(4):
    ...     calls.record_arrival(0.0, is_call=True, running_calls=1)
    ...     calls.record_start(wait_ms=90.0, run_ms=40.0, is_call=True)
    >>> calls.kept(100.0, slots=3), calls.kept(2000.0, slots=3)
    (1, 0)
    """

    _late: float = 0.0
    _running: float = 0.0
    _last_call_ms: float = -math.inf
    _call_ms: float = 0.0
    _new_ms: float = 0.0

    @property
    def owes_new_work(self) -> bool:
        """Whether new work that waits goes before calls, so that it isn't starved."""
        return self._new_ms < MIN_NEW_SHARE * (self._new_ms + self._call_ms)

    def record_arrival(self, now_ms: float, is_call: bool, running_calls: int) -> None:
        """Count a request that arrived, with the number of calls that run."""
        if is_call:
            self._last_call_ms = now_ms
        self._running += RUNNING_CALLS_WEIGHT * (running_calls - self._running)

    def record_start(self, wait_ms: float, run_ms: float, is_call: bool) -> None:
        """Count a request that got a slot after a wait.

        ``run_ms``: mean run time of its route.
        """
        self._call_ms = self._call_ms * SHARE_DECAY + run_ms * is_call
        self._new_ms = self._new_ms * SHARE_DECAY + run_ms * (not is_call)
        if is_call:
            late = float(wait_ms > run_ms)
            self._late += LATE_CALL_WEIGHT * (late - self._late)

    def kept(self, now_ms: float, slots: int) -> int:
        """Return how many slots are kept free of new work.

        One, if calls wait longer than they run. Never the last one, so that new work
        isn't starved.
        """
        recent = now_ms - self._last_call_ms < CALL_MEMORY_MS
        return int(recent and slots > 1 and self._late > MAX_LATE_CALLS)

    def left(self, now_ms: float, slots: int) -> float:
        """Return how many slots serve new work.

        It is overtaken by calls that come while it waits, which take as many slots as
        calls took until now.
        """
        return max(slots - max(self.kept(now_ms, slots), self._running), 1.0)
