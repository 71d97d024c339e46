"""Load shedding of requests whose runs would call overloaded services.

A backend server's run may call another service. If that service is overloaded, refusing
its calls wastes the runs that made them, and serving them all starves its other
clients. So nodes report which ratio of each route's requests they refuse, and refuse
the same ratio of the less urgent requests to the calling service before these run.

``calling_services.py`` detects which services call others.
"""

import sys
from collections.abc import Container, Iterable, Iterator

import attrs

from ...values import Value
from .calling_services import CallingService

TICK_DECAY = 0.95
"""Decay factor of the counts, applied at each tick of 0.1 s: a memory of two
seconds."""
MIN_RECENT_REQUESTS = 4.0
"""Decayed count of requests below which no ratio is reported."""
MAX_SHED_RATIO = 0.5
"""Keeps part of the requests served if a called service has no capacity at all.

Without it, less than a quarter of all requests was served after a restart of the fleet.
"""
CALLS_PRIORITY = -1
"""In place of a priority: calls that the runs of a node's own service made."""
TOLERATED_LACK = 0.3
"""Ratio of calls without an answer in time at which new work is not shed yet.

A called service without spare slots makes some calls wait, but serves them all.
"""
LACK_GAIN = 4.0
"""How fast shedding rises with that ratio."""
MAX_LACK_SHED_RATIO = 0.9
"""Keeps some requests, which show when the called service has capacity again.

High, since a caller that is refused asks up to three times more.
"""
URGENT_GAIN = 6.0
"""How fast shedding rises with the ratio of more urgent requests that are refused.

A called service refuses a few of its requests at any load, so little is shed for these.
"""
REPORT_STEP = 0.05
"""Ratios are rounded to this, so that small changes cause no messages."""

RefusalRatio = tuple[str, int, float]
"""Service, priority, and the ratio of a route's requests that were refused.

With ``CALLS_PRIORITY``, the calling service, and the ratio of its calls that were
refused or waited so long that they missed their objective.
"""


@attrs.define(slots=True, eq=False, repr=False)
class RecentCounts:
    """Decaying counts of a route's requests.

    Attributes
    ----------
    priority : int
        Least urgent priority of the recent requests.
    """

    service: str
    priority: int
    offered: float = 0.0
    refused: float = 0.0
    late: float = 0.0

    def decay(self) -> None:
        """Apply the decay of one tick."""
        self.offered *= TICK_DECAY
        self.refused *= TICK_DECAY
        self.late *= TICK_DECAY

    @property
    def ratio(self) -> float:
        """Ratio that was refused, rounded."""
        return self._ratio_of(self.refused)

    @property
    def lack(self) -> float:
        """Ratio that was refused or waited too long for its objective, rounded."""
        return min(1.0, self._ratio_of(self.refused + self.late))

    def _ratio_of(self, count: float) -> float:
        if self.offered < MIN_RECENT_REQUESTS:
            return 0.0
        return round(round(count / self.offered / REPORT_STEP) * REPORT_STEP, 2)


class RefusalMeter:
    """Measures which ratio of each route's requests this node refuses."""

    def __init__(self) -> None:
        self._counts: dict[str, RecentCounts] = {}

    def record_offered(self, route: str, service: str, priority: int) -> None:
        """Count a request for a service."""
        counts = self._counts.get(route)
        if counts is None or counts.service != service:
            counts = self._counts[route] = RecentCounts(service, priority)
        if counts.offered < MIN_RECENT_REQUESTS:
            counts.priority = priority
        counts.offered += 1
        counts.priority = max(counts.priority, priority)

    def record_refused(self, route: str) -> None:
        """Count a request for which no backend server had capacity."""
        counts = self._counts.get(route)
        if counts is not None:
            counts.refused += 1

    def record_late(self, route: str) -> None:
        """Count a request that waited so long that it missed its objective."""
        counts = self._counts.get(route)
        if counts is not None:
            counts.late += 1

    def tick(self) -> None:
        """Decay the counts; called every 0.1 s."""
        for counts in self._counts.values():
            counts.decay()

    def lack(self, called_routes: Container[str]) -> float:
        """Return the ratio of calls that got no answer in time, on the worst route."""
        calls = (one for name, one in self._counts.items() if name in called_routes)
        return max((one.lack for one in calls), default=0.0)

    def report(
        self, own_service: str = "", called_routes: Container[str] = ()
    ) -> tuple[RefusalRatio, ...]:
        """Return the ratios above zero, for the other nodes.

        Parameters
        ----------
        own_service : str
            Service of the backend server beside this node.
        called_routes : container of str
            Routes on which services call others.
        """
        rows = [
            (counts.service, counts.priority, counts.ratio)
            for _, counts in sorted(self._counts.items())
            if counts.ratio
        ]
        lack = self.lack(called_routes)
        if lack > TOLERATED_LACK:
            rows.append((own_service, CALLS_PRIORITY, lack))
        return tuple(rows)


@attrs.frozen(slots=True, repr=False)
class PressureReport(Value):
    """Service of one node, the services that call it, and what the node refuses."""

    service: str
    calling_services: tuple[CallingService, ...]
    refusals: tuple[RefusalRatio, ...]


def find_called_services(reports: Iterable[PressureReport]) -> dict[str, set[str]]:
    """Return the services that each service calls.

    Examples
    --------
    >>> find_called_services([PressureReport("books", (("shop", 1),), ())])
    {'shop': {'books'}}
    """
    called: dict[str, set[str]] = {}
    for report in reports:
        for caller, _ in report.calling_services:
            called.setdefault(caller, set()).add(report.service)
    return called


class LoadShedder:
    """Ratios of requests to refuse, from the reports of all nodes.

    Examples
    --------
    >>> shedder = LoadShedder()
    >>> shedder.update([
    ...     PressureReport("books", (("shop", 1),), (("books", 1, 0.4),)),
    ...     PressureReport("shop", (), ()),
    ... ])
    >>> shedder.shed_ratio("shop", 2), shedder.shed_ratio("shop", 1)
    (0.2, 0.0)
    >>> shedder.shed_ratio("books", 2)
    0.0
    """

    def __init__(self) -> None:
        self._ratios: dict[str, list[tuple[int, float]]] = {}
        self._lacks: dict[str, float] = {}
        self._called_refusals: dict[str, list[tuple[int, float]]] = {}

    def update(self, reports: Iterable[PressureReport]) -> None:
        """Replace the reports by the latest ones of all nodes."""
        known = list(reports)
        means: dict[tuple[str, int], float] = {}
        for report in known:
            for service, priority, ratio in report.refusals:
                if priority == CALLS_PRIORITY:
                    continue
                key = (service, priority)
                means[key] = means.get(key, 0.0) + ratio / len(known)
        self._lacks = _mean_lacks(known)
        self._ratios = {}
        self._called_refusals = {}
        if means:
            for service, caller, call_priority in set(_list_calling_services(known)):
                self._called_refusals.setdefault(caller, []).extend(
                    (priority, mean)
                    for (called, priority), mean in means.items()
                    if called == service
                )
                ratio = max(
                    (
                        mean
                        for (called, called_priority), mean in means.items()
                        if called == service and called_priority <= call_priority
                    ),
                    default=0.0,
                )
                self._ratios.setdefault(caller, []).append((call_priority, ratio))

    @property
    def max_ratio(self) -> float:
        """Largest ratio by which requests to any service are refused."""
        services = {*self._ratios, *self._lacks}
        return max((self.shed_ratio(one, sys.maxsize) for one in services), default=0.0)

    def shed_ratio(self, service: str, priority: int) -> float:
        """Return the ratio of a service's requests of a priority to refuse.

        Requests of any priority whose calls lack capacity would fail after they held
        a slot, so all priorities are refused alike then.
        """
        excess = self._lacks.get(service, 0.0) - TOLERATED_LACK
        lack_ratio = min(MAX_LACK_SHED_RATIO, max(0.0, LACK_GAIN * excess))
        ratios = (
            ratio
            for call_priority, ratio in self._ratios.get(service, ())
            if priority > call_priority
        )
        return max(lack_ratio, min(MAX_SHED_RATIO, max(ratios, default=0.0)))

    def urgent_shed_ratio(self, service: str, priority: int) -> float:
        """Return the ratio to refuse of a service's requests for more urgent ones.

        Runs of the service call another one, where their calls go before its own
        requests, as they hold slots meanwhile. If that service refuses requests that
        are more urgent than those whose runs call it, the latter don't start. Calls
        count among these where they are more urgent than the runs that make them.

        Examples
        --------
        >>> shedder = LoadShedder()
        >>> shedder.update([
        ...     PressureReport("ledger", (("shop", 1),), (("ledger", 0, 0.1),)),
        ... ])
        >>> round(shedder.urgent_shed_ratio("shop", 2), 2)
        0.6
        >>> shedder.urgent_shed_ratio("shop", 0)
        0.0
        """
        ratios = (
            ratio
            for refused_priority, ratio in self._called_refusals.get(service, ())
            if refused_priority < priority
        )
        return min(MAX_LACK_SHED_RATIO, URGENT_GAIN * max(ratios, default=0.0))


def _mean_lacks(reports: list[PressureReport]) -> dict[str, float]:
    """Return the mean ratio of calls that lack capacity, by calling service."""
    sums: dict[str, float] = {}
    counts: dict[str, int] = {}
    for report in reports:
        counts[report.service] = counts.get(report.service, 0) + 1
        for service, priority, ratio in report.refusals:
            if priority == CALLS_PRIORITY and service == report.service:
                sums[service] = sums.get(service, 0.0) + ratio
    return {service: total / counts[service] for service, total in sums.items()}


def _list_calling_services(
    reports: list[PressureReport],
) -> Iterator[tuple[str, str, int]]:
    for report in reports:
        for caller, priority in report.calling_services:
            yield report.service, caller, priority
