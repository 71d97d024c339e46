"""Which services call the local one.

A call between services is a request like any other. The node of the called server
detects them: the requests of such a route come from instances of a single service,
while those of external clients come from all instances.
"""

MIN_ROUTE_REQUESTS = 60
"""Requests counted before a route can be classified as called by a service.

With callers spread over three services, 60 from one service come by chance once in
3^59.
"""
MIN_PRESUMED_REQUESTS = 20
"""The same for requests that are calls by what is known of them.

Callers of a public route come by chance from a service with 0.6 of the instances 20
times once in 16,000.
"""
MIN_CALLER_RATIO = 0.95
"""Ratio of a route's requests that must come from the calling service.

Below 1, since an instance that changes its service sends some requests under
its former service.
"""
MAX_ROUTE_REQUESTS = 600
"""Count of requests at which all counts of a route are halved."""

CallingService = tuple[str, int]
"""A service that calls the local one, and the priority of its calls."""


class CallerDetector:
    """Detects which services call the local backend server."""

    def __init__(self) -> None:
        self._origins: dict[str, dict[bytes, int]] = {}
        self._calling_services: dict[str, CallingService] = {}

    def record_request(
        self,
        route: str,
        priority: int,
        calling_service: bytes,
        *,
        presumed: bool = False,
    ) -> None:
        """Count a request that arrived.

        ``presumed``: it is presumed to be a call, and tells sooner whether it is one.
        """
        origins = self._origins.setdefault(route, {})
        origins[calling_service] = origins.get(calling_service, 0) + 1
        total = sum(origins.values())
        if total < (MIN_PRESUMED_REQUESTS if presumed else MIN_ROUTE_REQUESTS):
            return
        name, most = max(origins.items(), key=lambda item: item[1])
        if most >= total * MIN_CALLER_RATIO:
            self._calling_services[route] = (name.decode("latin-1"), priority)
        else:
            self._calling_services.pop(route, None)
        if total >= MAX_ROUTE_REQUESTS:
            halves = {name: count // 2 for name, count in origins.items()}
            self._origins[route] = {k: count for k, count in halves.items() if count}

    def is_called(
        self, route: str, own_service: str, *, presumed: bool = False
    ) -> bool:
        """Whether another service calls the local one on a route.

        Where a fleet has one service, external callers have its instances in common
        too, and can't be told from calls.

        Parameters
        ----------
        presumed : bool
            Answer while too few requests were counted to tell. A node that restarts
            would otherwise take calls for new work for some seconds.
        """
        found = self._calling_services.get(route)
        if found is None:
            count = sum(self._origins.get(route, {}).values())
            return presumed and count < MIN_ROUTE_REQUESTS
        return found[0] != own_service

    def called_routes(self) -> tuple[str, ...]:
        """Return the routes on which a service calls the local one."""
        return tuple(sorted(self._calling_services))

    def calling_services(self) -> tuple[CallingService, ...]:
        """Return the calling services, each with the priority of its calls."""
        return tuple(sorted(set(self._calling_services.values())))
