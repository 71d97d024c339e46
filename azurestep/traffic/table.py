"""Routing table: finds the route of a request.

A table is built from one configuration version and never changes. A request keeps
the table that was current on its arrival.
"""

from collections.abc import Iterator, Mapping

import attrs

from ..config.model import ClassShares, Configuration, Priority, Route, Service
from ..config.presets import active_preset, apply_active_preset

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
ANY_HOST = "*"


@attrs.frozen
class Match:
    """Route and service of a request.

    Attributes
    ----------
    route : Route
        The route.
    service : Service
        Service of the route, with the active preset applied.
    timeout_ms : int
        Maximum time of the request.
    idempotent : bool
        Whether the request may run more than once.
    """

    route: Route
    service: Service
    timeout_ms: int
    idempotent: bool

    @property
    def priority(self) -> Priority:
        """Priority class of the request."""
        return self.route.priority


def accepts_non_idempotent(route: Route) -> bool:
    """Return whether a route accepts non-idempotent requests."""
    if route.idempotent is not None:
        return not route.idempotent
    return not route.methods or any(
        method not in IDEMPOTENT_METHODS for method in route.methods
    )


def is_idempotent(route: Route, method: str) -> bool:
    """Return whether a request may run more than once."""
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


class RoutingTable:
    """Immutable routes of one configuration version, by host and path.

    Parameters
    ----------
    version : int
        Version of the configuration.
    configuration : Configuration
        A valid configuration; its active preset is applied.
    """

    def __init__(self, version: int, configuration: Configuration) -> None:
        in_force = apply_active_preset(configuration)
        self.version = version
        self.preset: str = configuration.active_preset
        self.shares: ClassShares = active_preset(configuration).class_shares
        self.services: Mapping[str, Service] = {
            service.name: service for service in in_force.services
        }
        self._routes: dict[tuple[str, str], list[Route]] = {}
        for route in in_force.routes:
            if route.enabled:
                key = (route.host, _strip_slash(route.path_prefix))
                self._routes.setdefault(key, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=_specificity, reverse=True)

    @property
    def non_idempotent_services(self) -> frozenset[str]:
        """Services that accept non-idempotent requests."""
        return frozenset(
            route.service
            for routes in self._routes.values()
            for route in routes
            if accepts_non_idempotent(route)
        )

    def match(
        self, host: str, path: str, method: str, headers: Mapping[str, str]
    ) -> Match | None:
        """Return the most specific match of a request, or None.

        An exact host precedes any host, then the longest prefix, then the route
        with more headers and methods.
        """
        for key in (host, ANY_HOST):
            for prefix in _prefixes(path):
                for route in self._routes.get((key, prefix), ()):
                    if _matches(route, method, headers):
                        return self._match_of(route, method)
        return None

    def _match_of(self, route: Route, method: str) -> Match:
        service = self.services[route.service]
        timeout_ms = route.timeout_ms or service.timeout_ms
        return Match(route, service, timeout_ms, is_idempotent(route, method))


def _strip_slash(prefix: str) -> str:
    return prefix.rstrip("/")


def _prefixes(path: str) -> Iterator[str]:
    """Yield the path and its ancestors, longest first.

    Examples
    --------
    >>> list(_prefixes("/songs/17"))
    ['/songs/17', '/songs', '']
    """
    prefix = path.rstrip("/")
    while prefix:
        yield prefix
        prefix = prefix[: prefix.rfind("/")]
    yield ""


def _specificity(route: Route) -> tuple[int, bool, str]:
    return (len(route.headers), bool(route.methods), route.name)


def _matches(route: Route, method: str, headers: Mapping[str, str]) -> bool:
    if route.methods and method not in route.methods:
        return False
    for required in route.headers:
        value = headers.get(required.name)
        if value is None or (required.value and value != required.value):
            return False
    return True
