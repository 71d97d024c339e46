"""Load of data centres, for choosing among the servers of a service with many.

Answers the load of many servers whose data centres have their peaks at different
times, and whose load reports are older than a run takes. An old report of a free slot
is mostly wrong: the mean load of the data centre, which comes from many reports, is the
better estimate. Where no other data centre has more room, a request that is sent there
costs bytes and time without a gain.
"""

import math
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs

MEMORY_MS = 250.0
"""Time constant by which a report gives way to the mean of its data centre; about the
time of a run, after which other requests hold the slots."""
MIN_DIFFERENCE = 0.1
"""How many more requests for each slot there must be in the local data centre than in
another one for candidates there.

Half a request at a server of five slots.
"""
MIN_SERVER_RATIO = 0.5
"""How many servers another data centre must have, relative to the local one.

The requests of a fleet would overload the last servers of a data centre that failed.
"""
REFRESH_MS_PER_SERVER = 1.0
"""Time between two calculations of the means, for each backend server of the service.

A thousand loads are summed per second at most, however many there are.
"""


class ReportedServer(Protocol):
    """What is used of a backend server."""

    data_centre: str
    slots: int
    in_flight: int
    own_in_flight: int
    own_in_flight_at_report: int
    reported_ms: float

    @property
    def usable(self) -> bool:
        """Whether it takes new requests."""

    @property
    def load(self) -> float:
        """Estimate of its load from the last report alone."""

    def is_sound(self, now_ms: float) -> bool:
        """Whether its load tells how much room it has."""


Reported = TypeVar("Reported", bound=ReportedServer)


@attrs.define(slots=True, eq=False, repr=False)
class DataCentreLoads(Generic[Reported]):
    """Mean load per slot of a service's backend servers, by data centre.

    Attributes
    ----------
    means : dict
        Requests that run or wait for each slot, by data centre.
    """

    means: dict[str, float] = attrs.field(factory=dict)
    _servers: dict[str, list[Reported]] = attrs.field(factory=dict)
    _next_refresh_ms: float = -math.inf

    def refresh(self, servers: Iterable[Reported], now_ms: float) -> None:
        """Calculate the means of sound servers anew if they are old."""
        if now_ms < self._next_refresh_ms:
            return
        self._servers = {}
        count = 0
        for one in servers:
            count += 1
            if one.usable and one.is_sound(now_ms):
                self._servers.setdefault(one.data_centre, []).append(one)
        self.means = {
            name: sum(one.load for one in found) / sum(one.slots for one in found)
            for name, found in self._servers.items()
        }
        self._next_refresh_ms = now_ms + count * REFRESH_MS_PER_SERVER

    def emptiest(self, data_centre: str) -> list[Reported]:
        """Return the servers of the least loaded other data centre.

        None of them unless it has clearly more room than this one.
        """
        local = self._servers.get(data_centre, [])
        others = [
            name
            for name, found in self._servers.items()
            if name != data_centre and len(found) >= MIN_SERVER_RATIO * len(local)
        ]
        if not others:
            return []
        lowest = min(others, key=self.means.__getitem__)
        here = self.means.get(data_centre, math.inf)
        if here - self.means[lowest] <= MIN_DIFFERENCE:
            return []
        return self._servers.get(lowest, [])

    def estimate(self, server: Reported, now_ms: float) -> float:
        """Return the requests that run or wait at a backend server now.

        Examples
        --------
        >>> loads = DataCentreLoads({"dc-1": 0.8})
        >>> from ..incarnation import Incarnation
        >>> from .choice import Endpoint
        >>> one = Endpoint("a", "shop", Incarnation(b"a"), "dc-1", slots=5)
        >>> one.update_load(1, now_ms=1000.0)
        >>> [round(loads.estimate(one, now_ms), 1) for now_ms in (1000, 1250, 2200)]
        [1.0, 2.9, 4.0]
        """
        mean = self.means.get(server.data_centre)
        if mean is None or not server.is_sound(now_ms):
            return server.load
        weight = math.exp(min(0.0, server.reported_ms - now_ms) / MEMORY_MS)
        reported = weight * server.in_flight + (1 - weight) * mean * server.slots
        since: float = server.own_in_flight - server.own_in_flight_at_report
        if since < 0:
            since *= weight  # the mean that replaces a report has them ended already
        return max(server.own_in_flight, reported + since)
