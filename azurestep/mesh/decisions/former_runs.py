"""Runs of the node's former process that still occupy its backend server.

A backend server with a full queue never answers the request that it could not queue,
nor any later one on that connection. The node is its only client and counts its own
runs, but after a restart it doesn't know those of the former process.
"""

import math

import attrs

UNKNOWN_LIMIT_MS = 3000.0
"""Longest time that requests to a known backend server wait for a probe's answer.

As long as a restarted node searches for its backend server.
"""
FORMER_RUNS_LIMIT_MS = 10_000.0
"""Longest time that former runs are counted.

Longer than the deadlines of the deployments (up to 8.2 s), at which runs end.
"""


@attrs.define(slots=True, eq=False, repr=False)
class FormerRuns:
    """Count of the runs of the former process, from the answers to health probes.

    Attributes
    ----------
    count : int
        Runs that are known to occupy the backend server.
    unknown : bool
        Whether no probe has told the number yet.

    Examples
    --------
    >>> former = FormerRuns()
    >>> former.begin()
    >>> former.occupied(slots=4)
    4
    >>> former.record_probe(occupancy=3, own=0, now_ms=1000.0)
    >>> former.occupied(slots=4)
    3
    >>> former.record_probe(occupancy=4, own=1, now_ms=1100.0)
    >>> former.record_probe(occupancy=2, own=1, now_ms=1200.0)
    >>> former.count
    1
    """

    count: int = 0
    unknown: bool = False
    _limit_ms: float = math.inf

    @property
    def uncertain(self) -> bool:
        """Whether a probe may change the count."""
        return self.unknown or self.count > 0

    def begin(self) -> None:
        """Take all slots to be occupied until a probe tells the number."""
        self.unknown = True

    def limit_wait(self, now_ms: float) -> None:
        """Limit the wait for a probe, now that the backend server is known."""
        if self.unknown:
            self._limit_ms = min(self._limit_ms, now_ms + UNKNOWN_LIMIT_MS)

    def record_probe(self, occupancy: int | None, own: int, now_ms: float) -> None:
        """Apply the answer to a probe.

        Parameters
        ----------
        occupancy : int or None
            Requests that run or wait at the backend server by its own account; None if
            it makes no statement.
        own : int
            Those among them that this process sent for sure.
        """
        found = max(0, occupancy - own) if occupancy is not None else 0
        if self.unknown:
            self.unknown = False
            self.count = found
            self._limit_ms = now_ms + FORMER_RUNS_LIMIT_MS
        else:
            self.count = min(self.count, found)

    def expire(self, now_ms: float) -> bool:
        """End the count once its time is over; return whether it was ended."""
        if not self.uncertain or now_ms < self._limit_ms:
            return False
        self.count, self.unknown = 0, False
        return True

    def occupied(self, slots: int) -> int:
        """Return how many slots are not to be used."""
        return slots if self.unknown else self.count
