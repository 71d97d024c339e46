"""When a version counts as in force in a data centre, and what is said of it."""

from collections.abc import Mapping

import attrs

from ..control.updates import DataCentreReport, MemberStatus
from .records import MissingInstance, VersionInForce

SETTLE_MS = 5000
AMEND_INTERVAL_MS = 10_000
NOT_YET = "has not applied it yet"
SUSPECTED = "does not answer"


@attrs.frozen
class _Said:
    members: int
    in_force: int
    missing: tuple[str, ...]


class InForceTracker:
    """Turns the reports of one data centre into audit items.

    One item per version once all live instances have it, or after
    ``SETTLE_MS`` with those missing; then amendments when the numbers change.
    An amendment waits until its numbers stood for ``SETTLE_MS``, since a new
    reporter counts from nothing, and comes at most each ``AMEND_INTERVAL_MS``.
    """

    def __init__(self) -> None:
        self._version = 0
        self._since_ms = 0.0
        self._said: _Said | None = None
        self._said_ms = 0.0
        self._seen: _Said | None = None
        self._seen_ms = 0.0
        self._amendment = 0

    def take(
        self,
        report: DataCentreReport,
        statuses: Mapping[str, int],
        now_ms: float,
    ) -> list[VersionInForce]:
        """Take the present report.

        Parameters
        ----------
        statuses : Mapping of str to int
            ``MemberStatus`` of each live instance of the data centre.
        """
        if not report.version:
            return []
        if report.version != self._version:
            self._start(report.version, now_ms)
        said = _Said(report.members, report.in_force, tuple(report.missing))
        if said != self._seen:
            self._seen = said
            self._seen_ms = now_ms
        if said == self._said or not self._is_due(report, now_ms):
            return []
        item = _item_of(report, statuses, self._amendment)
        self._said = said
        self._said_ms = now_ms
        self._amendment += 1
        return [item]

    def _start(self, version: int, now_ms: float) -> None:
        self._version = version
        self._since_ms = now_ms
        self._said = None
        self._amendment = 0

    def _is_due(self, report: DataCentreReport, now_ms: float) -> bool:
        if self._said is not None:
            has_settled = now_ms - self._seen_ms >= SETTLE_MS
            return has_settled and now_ms - self._said_ms >= AMEND_INTERVAL_MS
        if report.members and report.in_force >= report.members:
            return True
        return now_ms - self._since_ms >= SETTLE_MS


def _item_of(
    report: DataCentreReport, statuses: Mapping[str, int], amendment: int
) -> VersionInForce:
    missing = set(report.missing)
    return VersionInForce(
        report.data_centre,
        report.version,
        report.hash.hex(),
        report.members,
        report.in_force,
        sorted(name for name in statuses if name not in missing),
        [MissingInstance(name, _reason(statuses.get(name))) for name in report.missing],
        report.first_ms,
        report.last_ms,
        amendment,
    )


def _reason(status: int | None) -> str:
    return SUSPECTED if status == MemberStatus.SUSPECT else NOT_YET
