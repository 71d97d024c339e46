"""Reports of the configuration version in force in a data centre.

The first bridge of a data centre counts the instances that applied a version and
broadcasts the result to all data centres. The report carries the addresses of the
bridges, by which remote data centres find them.
"""

from collections import OrderedDict

import attrs

from .membership import Membership
from .messages import AppliedReport, Digest
from .outputs import Output
from .updates import DataCentreReport

MAX_MISSING_INSTANCES = 16
MAX_TALLIES = 16
REPORT_INTERVAL_MS = 200
PARTIAL_REPORT_DELAY_MS = 2000


@attrs.define
class Tally:
    """Instances that applied a version, and when the first and the last did."""

    hash: bytes
    instances: set[str] = attrs.field(factory=set)
    first_ms: int = 0
    last_ms: int = 0


class Reporter:
    """Counts instances that applied a version and publishes the report."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._tallies: OrderedDict[int, Tally] = OrderedDict()
        self._next_ms = 0.0
        self._version = 0
        self._version_ms = 0.0

    def instance(self) -> str | None:
        """Return the instance that reports for this data centre, if there is one."""
        bridges = self._membership.bridges()
        return bridges[0] if bridges else None

    def record_applied(self, applied: AppliedReport) -> None:
        """Add the instances of a report to the tally of its version."""
        version = applied.digest.version
        tally = self._tallies.get(version)
        if tally is None:
            tally = Tally(applied.digest.hash, set(), applied.first_ms, 0)
            self._tallies[version] = tally
        tally.instances.update(applied.instances)
        tally.first_ms = min(tally.first_ms, applied.first_ms)
        tally.last_ms = max(tally.last_ms, applied.last_ms)
        while len(self._tallies) > MAX_TALLIES:
            del self._tallies[min(self._tallies)]

    def tick(self, now_ms: float, digest: Digest) -> list[Output]:
        """Publish the report if it changed.

        While some members have not applied a new version, its report is delayed,
        so that a version change usually causes a single report.
        """
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + REPORT_INTERVAL_MS
        if self.instance() != self._membership.own.instance:
            return []
        if digest.version != self._version:
            self._version = digest.version
            self._version_ms = now_ms
        report = self._make_report(digest)
        is_partial = report.in_force < report.members
        if is_partial and now_ms - self._version_ms < PARTIAL_REPORT_DELAY_MS:
            return []
        held = self._membership.table.get(f"r/{report.data_centre}")
        if isinstance(held, DataCentreReport):
            if attrs.evolve(report, stamp=held.stamp, origin=held.origin) == held:
                return []
            report = attrs.evolve(report, stamp=held.stamp + 1)
        return self._membership.broadcast([report])

    def _make_report(self, digest: Digest) -> DataCentreReport:
        own = self._membership.own
        order = self._membership.order
        tally = self._tallies.get(digest.version, Tally(digest.hash))
        missing = [name for name in order if name not in tally.instances]
        bridges = self._membership.bridges()
        members = (self._membership.member(name) for name in bridges)
        return DataCentreReport(
            own.data_centre,
            1,
            own.instance,
            digest.version,
            digest.hash,
            len(order),
            len(order) - len(missing),
            missing[:MAX_MISSING_INSTANCES],
            tally.first_ms,
            tally.last_ms,
            [member.address for member in members if member is not None],
        )
