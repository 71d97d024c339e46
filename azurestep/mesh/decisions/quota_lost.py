"""Nodes that a quota owner can no longer reach, and what they may have admitted.

A node that was cut off goes on with its last grant until it notices the cut, and
reports to another owner only what exceeds this grant. Without a charge, both sides of a
cut use the same tokens: a surge that began 8 ms before a cut exceeded the quota bound.
"""

import attrs

from .quota_demand import usual_demand

LOST_SILENCE_MS = 300.0
"""Time without a report after which a lost node may have gone on admitting requests.

A node that was cut off is noticed after 400 ms or more, and nodes with requests report
each 100 ms; one whose process ended had reported until then.
"""
LOST_NOTICED_MS = 650.0
"""Longest time for which a node goes on with its last grant until it notices a cut."""
LOST_EXCESS_RATIO = 0.1
"""Part of the tolerated excess that lost nodes may use without a charge."""
LOST_CHARGE_MS = 500.0
"""Time after the loss of a node in which it is charged once the demand is high.

The measured demand follows a surge late: of a team that sent 8 times as much at two
nodes, the owner had measured only 1.1 times the rate when it lost the other node.
"""


@attrs.define(slots=True, eq=False, repr=False)
class LostNodes:
    """Requests that recently lost nodes may have admitted without a report.

    They are charged once the demand exceeds the rate; at a lower demand all nodes
    together stay within the limit.

    Attributes
    ----------
    rate_per_s, excess : float
        Rate and tolerated excess of all nodes that were reachable before, whose demand
        is still measured.
    requests, charged : float
        Requests that may have been admitted, and those charged so far.

    Examples
    --------
    >>> lost = LostNodes()
    >>> lost.add(20.0, rate_per_s=100.0, excess=50.0, now_ms=0.0)
    >>> lost.take_due(demand=110.0, now_ms=0.0)
    0.0
    >>> lost.take_due(demand=140.0, now_ms=100.0)
    15.0
    """

    rate_per_s: float = 0.0
    excess: float = 0.0
    requests: float = 0.0
    charged: float = 0.0
    _until_ms: float = 0.0

    def add(
        self, requests: float, rate_per_s: float, excess: float, now_ms: float
    ) -> None:
        """Add the requests of a lost node.

        The rate and excess of the first one count, as they shrink with each loss.
        """
        if now_ms >= self._until_ms:
            self.requests = self.charged = 0.0
            self.rate_per_s, self.excess = rate_per_s, excess
        self.requests += requests
        self._until_ms = now_ms + LOST_CHARGE_MS

    def take_due(self, demand: float, now_ms: float) -> float:
        """Return what is to be charged now at a demand."""
        if now_ms >= self._until_ms or demand < usual_demand(self.rate_per_s):
            return 0.0
        due = self.requests - self.excess * LOST_EXCESS_RATIO - self.charged
        self.charged += max(0.0, due)
        return max(0.0, due)
