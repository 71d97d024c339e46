"""Data model of the configuration: routes, services and limits."""

import attrs

from ..values import Value
from .teams import TeamDirectory


@attrs.frozen(slots=True, eq=False, repr=False)
class WeightedService(Value):
    """A service that gets a share of a route's requests by its weight."""

    service: str
    weight: float


@attrs.frozen(slots=True, eq=False, repr=False)
class Route(Value):
    """Rules for requests to one host below one path prefix.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time until a caller gets an answer.
    objective_ms : float
        Latency objective; the timeout if not configured.
    priority : int
        Priority under overload; 0 is the highest.
    max_attempts : int
        Maximum number of backend servers that a request is sent to.
    public : bool
        Whether requests need no key, where the configuration has teams.
    """

    name: str
    host: bytes
    prefix: bytes
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]
    public: bool = False


@attrs.frozen(slots=True, eq=False, repr=False)
class Service(Value):
    """Settings of all backend servers of a service."""

    name: str
    health_path: bytes
    connection_limit: int


@attrs.frozen(slots=True, eq=False, repr=False)
class Limits(Value):
    """Size limits and timeouts for callers."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(slots=True, eq=False, repr=False)
class Document(Value):
    """One version of the configuration.

    Attributes
    ----------
    teams : TeamDirectory or None
        Teams whose keys callers must present; None if the configuration has none.
    """

    version: int
    services: dict[str, Service]
    limits: Limits
    routes: list[Route]
    teams: TeamDirectory | None = None
