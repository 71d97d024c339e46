"""Shedding at the first node what would overload a service behind the next one.

A backend server's run may call another service. When that service is short of
room, refusing its calls wastes the runs that made them, and serving them all
leaves none for its other callers. So nodes tell which share of each route's
requests they had to refuse, and refuse the same share of the less urgent requests
whose runs call that service, before they run.

Which routes are calls is learned beside the backend server: callers send from all
instances, a backend server's calls come from instances of its own service. Pure.
"""

from collections.abc import Iterable, Iterator

import attrs

LEARN_REQUESTS = 60
"""Requests of a route that are looked at before it counts as calls: with callers
spread over three services, 60 from one service come by chance once in 3^59."""
CALLS_SHARE = 0.95
"""Share of a route's requests that come from one service if they are its calls; an
instance that changes its service mislabels a few."""
FORGET_REQUESTS = 600
"""Requests after which the older half is forgotten."""
DECAY = 0.95
"""Part of the counts that is kept at each tick of 0.1 s: a memory of two seconds."""
LEAST_REQUESTS = 4.0
"""Requests in that memory below which no share is told."""
SHED_MOST = 0.5
"""Largest share that is shed. Without a limit, a called service far short of room
left 0.22 of all requests served in the seconds after a restart of the fleet, below
the quarter that is the least; with it the same seed kept that bound."""
STEP = 0.05
"""Steps in which shares are told, so that small changes cost no messages."""

Caller = tuple[str, int]
"""A service whose runs call the one beside the node, and its calls' priority."""
Refusals = tuple[str, int, float]
"""Service, priority, and the share of a route's requests that was refused."""


class CallerDetector:
    """Learns which services call the one beside this node."""

    def __init__(self) -> None:
        self._origins: dict[str, dict[bytes, int]] = {}
        self._callers: dict[str, Caller] = {}

    def record_request(self, route: str, priority: int, calling_service: bytes) -> None:
        """Count a request that arrived."""
        origins = self._origins.setdefault(route, {})
        origins[calling_service] = origins.get(calling_service, 0) + 1
        total = sum(origins.values())
        if total < LEARN_REQUESTS:
            return
        name, most = max(origins.items(), key=lambda item: item[1])
        if most >= total * CALLS_SHARE:
            self._callers[route] = (name.decode("latin-1"), priority)
        else:
            self._callers.pop(route, None)
        if total >= FORGET_REQUESTS:
            halves = {name: count // 2 for name, count in origins.items()}
            self._origins[route] = {k: count for k, count in halves.items() if count}

    def callers(self) -> tuple[Caller, ...]:
        """Return the services that call, each with its calls' priority."""
        return tuple(sorted(set(self._callers.values())))


@attrs.define(slots=True)
class Counts:
    """Requests of a route with a fading memory."""

    service: str
    priority: int
    offered: float = 0.0
    refused: float = 0.0

    def fade(self) -> None:
        """Let a tick pass."""
        self.offered *= DECAY
        self.refused *= DECAY

    @property
    def share(self) -> float:
        """Share that was refused, in steps."""
        if self.offered < LEAST_REQUESTS:
            return 0.0
        return round(round(self.refused / self.offered / STEP) * STEP, 2)


class RefusalMeter:
    """Counts which share of each route's requests this node refuses."""

    def __init__(self) -> None:
        self._counts: dict[str, Counts] = {}

    def record_offered(self, route: str, service: str, priority: int) -> None:
        """Count a request that is sent to a service."""
        counts = self._counts.get(route)
        if counts is None or counts.service != service:
            counts = self._counts[route] = Counts(service, priority)
        counts.offered += 1

    def record_refused(self, route: str) -> None:
        """Count a request for which no backend server had room."""
        counts = self._counts.get(route)
        if counts is not None:
            counts.refused += 1

    def tick(self) -> None:
        """Let 0.1 s pass."""
        for counts in self._counts.values():
            counts.fade()

    def report(self) -> tuple[Refusals, ...]:
        """Return the shares that other nodes should know."""
        return tuple(
            (counts.service, counts.priority, counts.share)
            for _, counts in sorted(self._counts.items())
            if counts.share
        )


@attrs.frozen(slots=True)
class PressureReport:
    """What one node says: its service, who calls it, what the node refuses."""

    service: str
    callers: tuple[Caller, ...]
    refusals: tuple[Refusals, ...]


class LoadShedder:
    """What a node sheds, by the reports of all nodes.

    Examples
    --------
    >>> view = LoadShedder()
    >>> view.update([
    ...     PressureReport("books", (("shop", 1),), (("books", 1, 0.4),)),
    ...     PressureReport("shop", (), ()),
    ... ])
    >>> view.shed_ratio("shop", 2), view.shed_ratio("shop", 1)
    (0.2, 0.0)
    >>> view.shed_ratio("books", 2)
    0.0
    """

    def __init__(self) -> None:
        self._shed: dict[str, list[tuple[int, float]]] = {}

    def update(self, reports: Iterable[PressureReport]) -> None:
        """Take the newest reports of all nodes."""
        told = list(reports)
        means: dict[tuple[str, int], float] = {}
        for report in told:
            for service, priority, share in report.refusals:
                key = (service, priority)
                means[key] = means.get(key, 0.0) + share / len(told)
        self._shed = {}
        if means:
            for service, caller, spared in set(_edges(told)):
                share = max(
                    (m for (s, p), m in means.items() if s == service and p <= spared),
                    default=0.0,
                )
                self._shed.setdefault(caller, []).append((spared, share))

    def shed_ratio(self, service: str, priority: int) -> float:
        """Return the share of a service's requests of a priority to refuse."""
        told = self._shed.get(service)
        if not told:
            return 0.0
        shares = (share for spared, share in told if priority > spared)
        return min(SHED_MOST, max(shares, default=0.0))


def _edges(reports: list[PressureReport]) -> Iterator[tuple[str, str, int]]:
    for report in reports:
        for caller, priority in report.callers:
            yield report.service, caller, priority
