"""What a configuration says of routes, services and limits. Data only."""

import attrs


@attrs.frozen(slots=True)
class WeightedService:
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
    weighted_services: tuple[WeightedService, ...]


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


@attrs.frozen(slots=True)
class Document:
    """One version of the configuration, as the operators wrote it."""

    version: int
    services: dict[str, Service]
    limits: Limits
    routes: list[Route]
