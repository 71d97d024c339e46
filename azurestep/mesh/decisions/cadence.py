"""How often nodes tell one another things, by how many there are. Pure.

Every node links with every other one, so what each tells all others at a fixed pace
grows with the square of the fleet: at 71 nodes of 0.43 core, probes and load reports
alone kept the processors busy and cost 0.55 to 0.91 of a day's worth for the bytes
between data centres. So each node has a rate for each kind of news, shared by its
links, down to the pace that small fleets have.
"""

import attrs

IDLE_PROBES_PER_S = 30.0
"""Probes of idle links that a node sends: the pace of 0.4 s at 12 links."""
MIN_IDLE_PROBE_INTERVAL_MS = 400.0
"""Shortest time between two probes of an idle link."""
LOCAL_REPORTS_PER_S = 80.0
"""Load reports to the nodes of the own data centre, where most requests stay."""
REMOTE_REPORTS_PER_S = 20.0
"""Load reports to other data centres; these bytes are priced."""
REPORT_LEAST_MS = 200.0
"""Shortest time between two load reports; a look at the load comes each 0.2 s."""


def idle_probe_interval_ms(links: int) -> float:
    """Return the time between two probes of an idle link.

    Examples
    --------
    >>> idle_probe_interval_ms(12), idle_probe_interval_ms(72)
    (400.0, 2400.0)
    """
    return max(MIN_IDLE_PROBE_INTERVAL_MS, links * 1000 / IDLE_PROBES_PER_S)


def report_ms(links: int, per_s: float) -> float:
    """Return the time between two load reports to each of so many nodes."""
    return max(REPORT_LEAST_MS, links * 1000 / per_s)


@attrs.define(slots=True)
class ReportPacer:
    """When load reports to a group of nodes are due.

    Attributes
    ----------
    per_s : float
        Reports that a node sends to all of them together.
    """

    per_s: float
    _told: bytes = b""
    _told_ms: float = float("-inf")

    def is_due(self, report: bytes, links: int, now_ms: float) -> bool:
        """Whether a report is news and its time has come; it then counts as sent."""
        if report == self._told:
            return False
        if now_ms - self._told_ms < report_ms(links, self.per_s):
            return False
        self.mark_sent(report, now_ms)
        return True

    def mark_sent(self, report: bytes, now_ms: float) -> None:
        """Note that a report was sent out of turn."""
        self._told = report
        self._told_ms = now_ms
