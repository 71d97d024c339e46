"""Route lookup by host and longest prefix, and weighted traffic splits."""

from random import Random

import attrs

from .model import Document, Limits, Route, Service, WeightedService
from .teams import TeamDirectory

MAX_START_POSITION = 1000
"""Upper bound of the random start position."""


@attrs.define(slots=True, eq=False, repr=False)
class WeightedRoundRobin:
    """Distributes requests over services by smooth weighted round robin.

    Examples
    --------
    >>> split = WeightedRoundRobin(
    ...     (WeightedService("a", 3), WeightedService("b", 1))
    ... )
    >>> [split.next_service() for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    weighted_services: tuple[WeightedService, ...]
    _current_weights: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._current_weights = [0.0] * len(self.weighted_services)

    @classmethod
    def with_random_start(
        cls, weighted_services: tuple[WeightedService, ...], random: Random
    ) -> "WeightedRoundRobin":
        """Return a split with a random start, so that nodes start with other services.

        Otherwise services with small weights would get too few requests.
        """
        split = cls(weighted_services)
        for _ in range(random.randrange(MAX_START_POSITION)):
            split.next_service()
        return split

    def next_service(self) -> str:
        """Return the service of the next request."""
        total = 0.0
        best = 0
        for index, part in enumerate(self.weighted_services):
            self._current_weights[index] += part.weight
            total += part.weight
            if self._current_weights[index] > self._current_weights[best]:
                best = index
        self._current_weights[best] -= total
        return self.weighted_services[best].service


@attrs.define(slots=True, eq=False, repr=False)
class RoutingTable:
    """One version of the configuration with an index for lookups.

    Attributes
    ----------
    splits : dict
        Round-robin state by route name; kept when the configuration changes.
    """

    document: Document
    random: Random
    splits: dict[str, WeightedRoundRobin] = attrs.field(factory=dict)
    _routes_by_prefix: dict[tuple[bytes, bytes], Route] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._routes_by_prefix = {
            (route.host, route.prefix): route for route in self.document.routes
        }

    @property
    def version(self) -> int:
        """Version of the document."""
        return self.document.version

    @property
    def services(self) -> dict[str, Service]:
        """Services that routes may refer to."""
        return self.document.services

    @property
    def teams(self) -> TeamDirectory | None:
        """Teams whose keys callers must present; None for no such teams."""
        return self.document.teams

    @property
    def limits(self) -> Limits:
        """Limits for callers."""
        return self.document.limits

    def match(self, host: bytes, target: bytes) -> Route | None:
        """Return the route with the longest matching prefix of the path, or None."""
        path = target.partition(b"?")[0]
        end = path.rfind(b"/")
        while end >= 0:
            route = self._routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None

    def choose_service(self, route: Route) -> str:
        """Return the service for a route's next request according to the weights."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        split = self.splits.get(route.name)
        if split is None or split.weighted_services != route.weighted_services:
            split = WeightedRoundRobin.with_random_start(
                route.weighted_services, self.random
            )
            self.splits[route.name] = split
        return split.next_service()

    def updated_to(self, document: Document) -> "RoutingTable":
        """Return the table of a later document, which keeps the state of the splits."""
        names = {
            route.name for route in document.routes if len(route.weighted_services) > 1
        }
        kept = {name: split for name, split in self.splits.items() if name in names}
        return RoutingTable(document, self.random, kept)
