"""Model of a configuration: services, routes, rules and presets."""

from enum import StrEnum

import attrs

FORMAT = 1


class Priority(StrEnum):
    """Class of a request; it decides who waits and who is refused first."""

    INTERACTIVE = "interactive"
    PAYMENT = "payment"
    BULK = "bulk"


@attrs.frozen
class RetryRule:
    """How failed attempts are repeated.

    Attributes
    ----------
    max_attempts : int
        Attempts for one request at this hop, the first included.
    budget_ratio : float
        Retries allowed per request, over all requests to the service.
    """

    max_attempts: int = 2
    budget_ratio: float = 0.1


@attrs.frozen
class LimitRule:
    """How much work a service takes.

    Attributes
    ----------
    slots : int
        Requests in flight at one backend server.
    queue_length : int
        Requests of a class that may wait at one node.
    queue_timeout_ms : int
        Longest wait of a request in a queue.
    adaptive : bool
        Whether the limit follows the observed latency below ``slots``.
    """

    slots: int = 12
    queue_length: int = 64
    queue_timeout_ms: int = 500
    adaptive: bool = True


@attrs.frozen
class SelectionRule:
    """How a backend server is chosen.

    Attributes
    ----------
    spill_over_ratio : float
        Share of the local slots in use from which requests may go to another
        data centre.
    ramp_up_ms : int
        Time over which a new backend server gets its full share.
    ejection_ratio : float
        Largest share of a service's backend servers that may be ejected.
    ejection_ms : int
        Duration of a first ejection.
    """

    spill_over_ratio: float = 0.8
    ramp_up_ms: int = 5000
    ejection_ratio: float = 0.34
    ejection_ms: int = 5000


@attrs.frozen
class Service:
    """A named group of backend servers that do the same work."""

    name: str
    timeout_ms: int = 2000
    connect_timeout_ms: int = 250
    retry: RetryRule = attrs.field(factory=RetryRule)
    limits: LimitRule = attrs.field(factory=LimitRule)
    selection: SelectionRule = attrs.field(factory=SelectionRule)


@attrs.frozen
class HeaderMatch:
    """A header that a request must carry; an empty value means any value."""

    name: str
    value: str = ""


@attrs.frozen
class Route:
    """Which requests go to which service, and how they are treated.

    Attributes
    ----------
    name : str
        Unique name.
    service : str
        Name of the service that takes the request.
    host : str
        Host header to match; ``*`` matches any.
    path_prefix : str
        Prefix of the path, matched at segment ends; the longest wins.
    methods : list of str
        Methods to match; an empty list matches any.
    headers : list of HeaderMatch
        Headers that must all match.
    idempotent : bool or None
        Whether a request may run more than once; None derives it from the
        method (RFC 9110, section 9.2.2).
    priority : Priority
        Class of the requests.
    timeout_ms : int or None
        Deadline of a request; None takes the service's.
    enabled : bool
        Whether the route is in use; presets switch it.
    """

    name: str
    service: str
    host: str = "*"
    path_prefix: str = "/"
    methods: list[str] = attrs.field(factory=list)
    headers: list[HeaderMatch] = attrs.field(factory=list)
    idempotent: bool | None = None
    priority: Priority = Priority.INTERACTIVE
    timeout_ms: int | None = None
    enabled: bool = True


@attrs.frozen
class ClassShares:
    """Share of a service's slots that each class may hold, 0 to 1."""

    interactive: float = 1.0
    payment: float = 1.0
    bulk: float = 0.5


@attrs.frozen
class ServicePatch:
    """Fields of a service that a preset replaces; None keeps the field."""

    service: str
    timeout_ms: int | None = None
    connect_timeout_ms: int | None = None
    retry: RetryRule | None = None
    limits: LimitRule | None = None
    selection: SelectionRule | None = None


@attrs.frozen
class RoutePatch:
    """Fields of a route that a preset replaces; None keeps the field."""

    route: str
    service: str | None = None
    priority: Priority | None = None
    timeout_ms: int | None = None
    enabled: bool | None = None


@attrs.frozen
class Preset:
    """A named overlay of the configuration; exactly one is in force."""

    name: str
    class_shares: ClassShares = attrs.field(factory=ClassShares)
    services: list[ServicePatch] = attrs.field(factory=list)
    routes: list[RoutePatch] = attrs.field(factory=list)


@attrs.frozen
class Configuration:
    """A whole configuration as operators write it."""

    format: int
    active_preset: str
    services: list[Service]
    routes: list[Route]
    presets: list[Preset]
