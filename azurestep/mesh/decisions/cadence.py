"""Intervals between probes and load reports, depending on the number of nodes.

Every node is linked to every other one, so with fixed intervals the traffic would
grow with the square of the fleet. Each node therefore has a total rate, shared by
its links.
"""

import attrs

IDLE_PROBES_PER_S = 30.0
"""Probes that a node sends on all its idle links together.

Up to 12 links are probed at the shortest interval.
"""
MIN_IDLE_PROBE_INTERVAL_MS = 400.0
LOCAL_REPORTS_PER_S = 80.0
"""Load reports to all nodes of the local data centre together, where most requests
stay."""
REMOTE_REPORTS_PER_S = 20.0
"""Load reports to remote data centres together; this traffic is charged."""
MIN_REPORT_INTERVAL_MS = 200.0
"""Load reports are not sent more often than this."""


def idle_probe_interval_ms(links: int) -> float:
    """Return the time between two probes of an idle link.

    Examples
    --------
    >>> idle_probe_interval_ms(12), idle_probe_interval_ms(72)
    (400.0, 2400.0)
    """
    return max(MIN_IDLE_PROBE_INTERVAL_MS, links * 1000 / IDLE_PROBES_PER_S)


def report_interval_ms(links: int, per_s: float) -> float:
    """Return the time between two load reports to each of ``links`` nodes."""
    return max(MIN_REPORT_INTERVAL_MS, links * 1000 / per_s)


@attrs.define(slots=True, eq=False, repr=False)
class ReportPacer:
    """Limits the rate of load reports to a group of nodes.

    Attributes
    ----------
    per_s : float
        Reports to all nodes of the group together.
    """

    per_s: float
    _last_report: bytes = b""
    _last_report_ms: float = float("-inf")

    def mark_sent_if_due(self, report: bytes, links: int, now_ms: float) -> bool:
        """Return whether a report has changed and is due; if so, record it as sent."""
        if report == self._last_report:
            return False
        if now_ms - self._last_report_ms < report_interval_ms(links, self.per_s):
            return False
        self.mark_sent(report, now_ms)
        return True

    def mark_sent(self, report: bytes, now_ms: float) -> None:
        """Record that a report was sent."""
        self._last_report = report
        self._last_report_ms = now_ms
