"""What a node knows of the runs of both versions during a roll-out."""

from collections.abc import Iterable

import attrs

from ...values import Value
from ..decisions.rollout_verdict import VersionComparison
from ..link_messages import TrialCounts


@attrs.frozen(slots=True, eq=False, repr=False)
class ReceivedCounts(Value):
    """The last report of a node and when it arrived."""

    counts: TrialCounts
    received_ms: float


@attrs.define(eq=False, repr=False)
class Trial:
    """Reports of the nodes beside the servers of one service, and their comparison."""

    comparison: VersionComparison = attrs.field(factory=VersionComparison)
    _received: dict[object, ReceivedCounts] = attrs.field(factory=dict)

    def apply(
        self, node: object, counts: TrialCounts, is_new: bool, now_ms: float
    ) -> None:
        """Add what a node's backend server ran since the node's last report."""
        former = self._received.get(node)
        known: dict[str, tuple[int, int]] = {}
        if former is not None and former.counts.version == counts.version:
            known = {route: (runs, bad) for route, runs, bad in former.counts.rows}
        self._received[node] = ReceivedCounts(counts, now_ms)
        for route, runs, bad in counts.rows:
            known_runs, known_bad = known.get(route, (0, 0))
            if runs < known_runs or bad < known_bad:
                known_runs = known_bad = 0  # the node was restarted
            if runs > known_runs:
                record = (
                    self.comparison.record_new if is_new else self.comparison.record_old
                )
                record(route, runs - known_runs, bad - known_bad)

    def is_idle(self, nodes: Iterable[object], since_ms: float) -> bool:
        """Whether all nodes have reported no request in flight since a time."""
        for node in nodes:
            received = self._received.get(node)
            if received is None or received.received_ms < since_ms:
                return False
            if received.counts.in_flight:
                return False
        return True
