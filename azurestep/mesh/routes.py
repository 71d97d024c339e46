"""The configuration in force: routes by host and longest prefix, with splits."""

import attrs


@attrs.frozen(slots=True)
class Part:
    """A share of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen(slots=True)
class Route:
    """What holds for requests of one host below one path prefix.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time that a caller is kept waiting.
    objective_ms : float
        Time within which an answer has its full value.
    priority : int
        Rank under overload; 0 is the highest.
    max_attempts : int
        Most backend servers that one attempt of a caller may reach.
    """

    name: str
    host: bytes
    prefix: bytes
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    parts: tuple[Part, ...]


@attrs.frozen(slots=True)
class Service:
    """What holds for all backend servers of a service."""

    name: str
    health_path: bytes
    connection_limit: int


@attrs.frozen(slots=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@attrs.define(slots=True)
class Split:
    """Deals requests to the parts of a route by smooth weighted round robin.

    Examples
    --------
    >>> split = Split((Part("a", 3), Part("b", 1)))
    >>> [split.take() for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    parts: tuple[Part, ...]
    _credit: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._credit = [0.0] * len(self.parts)

    def take(self) -> str:
        """Return the service of the next request."""
        if len(self.parts) == 1:
            return self.parts[0].service
        total = 0.0
        best = 0
        for index, part in enumerate(self.parts):
            self._credit[index] += part.weight
            total += part.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= total
        return self.parts[best].service


@attrs.define(slots=True)
class RoutingTable:
    """One version of the configuration, ready for look-ups."""

    version: int
    services: dict[str, Service]
    limits: Limits
    routes: list[Route]
    _by_place: dict[tuple[bytes, bytes], Route] = attrs.field(init=False)
    _splits: dict[str, Split] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._by_place = {(route.host, route.prefix): route for route in self.routes}
        self._splits = {}

    def match(self, host: bytes, target: bytes) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        path = target.partition(b"?")[0]
        end = path.rfind(b"/")
        while end >= 0:
            route = self._by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None

    def service_of(self, route: Route) -> str:
        """Return the service of a route's next request, by the parts' weights."""
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = Split(route.parts)
        return split.take()
