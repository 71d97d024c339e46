"""Shedding at the first node what would overload a service behind the next one.

A backend server's run may call another service. When that service is short of
room, refusing its calls wastes the runs that made them, and serving them all
leaves none for its other callers. So the nodes beside its backend servers tell
which share they refuse, and for whose calls; nodes then refuse the same share of
the less urgent requests that lead to such calls, before they run.

Which requests are calls is learned: callers send from all instances, a backend
server's calls come from the instances of its own service only. Pure.
"""

from collections.abc import Iterable

import attrs

LEARN_REQUESTS = 60
"""Requests of a route that are looked at before it counts as calls: with callers
spread over three services, 60 from one service come by chance once in 3^59."""
FORGET_REQUESTS = 600
"""Requests after which the older half is forgotten."""
DECAY = 0.95
"""Part of the counts that is kept at each tick of 0.1 s: a memory of two seconds."""
LEAST_REQUESTS = 5.0
"""Requests in that memory below which no share is told."""
STEP = 0.05
"""Steps in which shares are told, so that small changes cost no messages."""

Report = tuple[str, int, float]
"""Calling service, priority up to which its requests are spared, share to refuse."""


@attrs.define(slots=True)
class Counts:
    """Requests offered and refused, with a fading memory."""

    offered: float = 0.0
    refused: float = 0.0

    def fade(self) -> None:
        """Let a tick pass."""
        self.offered *= DECAY
        self.refused *= DECAY

    @property
    def share(self) -> float:
        """Share that was refused."""
        return self.refused / self.offered if self.offered >= LEAST_REQUESTS else 0.0


@attrs.define(slots=True)
class PressureMeter:
    """What the node beside a backend server refuses, and whose calls lead there."""

    _origins: dict[str, dict[bytes, int]] = attrs.field(factory=dict)
    _callers: dict[str, bytes] = attrs.field(factory=dict)
    _priorities: dict[str, int] = attrs.field(factory=dict)
    _counts: dict[str, Counts] = attrs.field(factory=dict)

    def offered(self, route: str, priority: int, calling_service: bytes) -> None:
        """Count a request that arrived."""
        self._learn(route, calling_service)
        self._priorities[route] = priority
        self._counts.setdefault(route, Counts()).offered += 1

    def refused(self, route: str) -> None:
        """Count a request that found no room."""
        self._counts.setdefault(route, Counts()).refused += 1

    def tick(self) -> None:
        """Let 0.1 s pass."""
        for counts in self._counts.values():
            counts.fade()

    def report(self) -> tuple[Report, ...]:
        """Return which services' requests should be refused where, and how many."""
        found: dict[str, Report] = {}
        for route, caller in self._callers.items():
            spared = self._priorities[route]
            share = max(self._share_of_others(spared), self._counts[route].share)
            told = round(share / STEP) * STEP
            name = caller.decode("latin-1")
            if told > found.get(name, (name, spared, 0.0))[2]:
                found[name] = (name, spared, round(told, 2))
        return tuple(sorted(found.values()))

    def _share_of_others(self, priority: int) -> float:
        total = Counts()
        for route, counts in self._counts.items():
            if route not in self._callers and self._priorities[route] <= priority:
                total.offered += counts.offered
                total.refused += counts.refused
        return total.share

    def _learn(self, route: str, calling_service: bytes) -> None:
        origins = self._origins.setdefault(route, {})
        origins[calling_service] = origins.get(calling_service, 0) + 1
        total = sum(origins.values())
        if total < LEARN_REQUESTS:
            return
        if len(origins) == 1:
            self._callers[route] = calling_service
        else:
            self._callers.pop(route, None)
        if total >= FORGET_REQUESTS:
            halves = {name: count // 2 for name, count in origins.items()}
            self._origins[route] = {k: count for k, count in halves.items() if count}


@attrs.define(slots=True)
class PressureView:
    """What a node refuses at once, by the reports of all others.

    Examples
    --------
    >>> view = PressureView()
    >>> view.update([("books", (("shop", 1, 0.4),)), ("books", ())])
    >>> view.share("shop", 2), view.share("shop", 1), view.share("books", 2)
    (0.2, 0.0, 0.0)
    """

    _shares: dict[str, list[tuple[int, float]]] = attrs.field(factory=dict)

    def update(self, reports: Iterable[tuple[str, tuple[Report, ...]]]) -> None:
        """Take the reports of all nodes, each with the service beside its node."""
        nodes: dict[str, int] = {}
        sums: dict[tuple[str, str, int], float] = {}
        for service, told in reports:
            nodes[service] = nodes.get(service, 0) + 1
            for caller, spared, share in told:
                key = (service, caller, spared)
                sums[key] = sums.get(key, 0.0) + share
        self._shares = {}
        for (service, caller, spared), total in sums.items():
            mean = total / nodes[service]
            self._shares.setdefault(caller, []).append((spared, mean))

    def share(self, service: str, priority: int) -> float:
        """Return the share of a service's requests of a priority to refuse."""
        told = self._shares.get(service)
        if not told:
            return 0.0
        return max((share for spared, share in told if priority > spared), default=0.0)
