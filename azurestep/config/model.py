"""Model of a configuration: services, routes, rules and presets."""

from enum import StrEnum

import attrs

FORMAT = 1


class Priority(StrEnum):
    """Class of a request: decides which requests wait or are refused first."""

    INTERACTIVE = "interactive"
    PAYMENT = "payment"
    BULK = "bulk"


@attrs.frozen
class RetryRule:
    """Retries of failed attempts.

    Attributes
    ----------
    max_attempts : int
        Attempts of one request at this hop, including the first.
    budget_ratio : float
        Maximum ratio of retries to requests of the service.
    """

    max_attempts: int = 2
    budget_ratio: float = 0.1


@attrs.frozen
class LimitRule:
    """Concurrency and queue limits of a service.

    Attributes
    ----------
    slots : int
        Requests in flight at one backend server.
    queue_length : int
        Requests of a class that may wait at one node.
    queue_timeout_ms : int
        Maximum wait of a request in a queue.
    adaptive : bool
        Whether the limit follows the observed latency below ``slots``.
    """

    slots: int = 12
    queue_length: int = 64
    queue_timeout_ms: int = 500
    adaptive: bool = True


@attrs.frozen
class SelectionRule:
    """Selection of a backend server.

    Attributes
    ----------
    spill_over_ratio : float
        Ratio of local slots in use from which requests may go to a remote data
        centre.
    ramp_up_ms : int
        Time over which a new backend server reaches its full share of requests.
    ejection_ratio : float
        Maximum ratio of a service's backend servers that may be ejected.
    ejection_ms : int
        Duration of a first ejection.
    """

    spill_over_ratio: float = 0.8
    ramp_up_ms: int = 5000
    ejection_ratio: float = 0.34
    ejection_ms: int = 5000


@attrs.frozen
class Service:
    """A named group of interchangeable backend servers."""

    name: str
    timeout_ms: int = 2000
    connect_timeout_ms: int = 250
    retry: RetryRule = attrs.field(factory=RetryRule)
    limits: LimitRule = attrs.field(factory=LimitRule)
    selection: SelectionRule = attrs.field(factory=SelectionRule)


@attrs.frozen
class HeaderMatch:
    """A header that a request must have; an empty value matches any value."""

    name: str
    value: str = ""


@attrs.frozen
class Route:
    """Requests that go to a service, and how they are handled.

    Attributes
    ----------
    name : str
        Unique name.
    service : str
        Name of the service that handles the requests.
    host : str
        Host header to match; ``*`` matches any.
    path_prefix : str
        Prefix of the path, matched in whole segments; the longest match wins.
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
        Timeout of a request; None uses the service's.
    enabled : bool
        Whether the route is in use; presets can change it.
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
    """Ratio of a service's slots that each class may use, 0 to 1."""

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
    """A complete configuration as operators write it."""

    format: int
    active_preset: str
    services: list[Service]
    routes: list[Route]
    presets: list[Preset]
