"""Decoding of the operators' configuration document into typed fields."""

import functools
from typing import Annotated

import attrs
import msgspec

from ..errors import ConfigurationError
from ..routing.model import Document, Limits, Route, Service, WeightedService
from ..routing.teams import Team, TeamDirectory
from ..values import Value
from .units import DURATION_PATTERN, parse_duration_ms

IDEMPOTENT_ROUTE_KINDS = frozenset({"safe", "download"})
"""Kinds of routes whose requests may run more than once."""
DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_PRIORITY = 9
DEFAULT_CONNECTION_LIMIT = 100
MAX_INTEGER = 2**53
"""Largest integer that all JSON parsers represent exactly."""
SERVICE_CACHE_SIZE = 64
"""Maximum number of cached single-service splits."""

Name = Annotated[str, msgspec.Meta(min_length=1)]
PathPrefix = Annotated[str, msgspec.Meta(pattern=r"^/(?:.*/)?\Z")]
Duration = Annotated[str, msgspec.Meta(pattern=DURATION_PATTERN)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


@attrs.frozen(slots=True, eq=False, repr=False)
class _WeightedService(Value):
    service: Name
    weight: Weight


@attrs.frozen(slots=True, eq=False, repr=False)
class _Route(Value):
    host: Name
    path_prefix: PathPrefix
    route_kind: Name
    service: Name | None = None
    traffic_split: list[_WeightedService] | None = None
    timeout: Duration | None = None
    aim: Duration | None = None
    priority: NonNegativeInteger = DEFAULT_PRIORITY
    max_attempts: PositiveInteger = 1
    public: bool = False


@attrs.frozen(slots=True, eq=False, repr=False)
class _Service(Value):
    health_check_path: Name = "/health"
    connection_limit: PositiveInteger = DEFAULT_CONNECTION_LIMIT


@attrs.frozen(slots=True, eq=False, repr=False)
class _Limits(Value):
    max_header_bytes: NonNegativeInteger
    max_body_bytes: NonNegativeInteger
    header_timeout: Duration
    idle_timeout: Duration


@attrs.frozen(slots=True, eq=False, repr=False)
class _Tenant(Value):
    api_keys: list[Name] = attrs.field(factory=list, repr=False)
    priority: NonNegativeInteger = DEFAULT_PRIORITY
    requests_per_s: Rate = 0.0
    burst: Rate = 0.0


@attrs.frozen(slots=True, eq=False, repr=False)
class _Document(Value):
    version: PositiveInteger
    routes: dict[str, msgspec.Raw]
    services: dict[str, _Service]
    limits: _Limits
    tenants: dict[Name, _Tenant] | None = None


_DOCUMENT_DECODER = msgspec.json.Decoder(_Document)
_ROUTE_DECODER = msgspec.json.Decoder(_Route)
_ParsedRoutes = dict[str, tuple[msgspec.Raw, Route]]


class DocumentReader:
    """Parses versions of one configuration; routes that stay are parsed once.

    A version mostly differs from the one before in a few of several hundred routes.
    """

    def __init__(self) -> None:
        self._parsed: _ParsedRoutes = {}
        self._service_names: frozenset[str] = frozenset()

    def read(self, content: bytes) -> Document:
        """Parse a configuration document.

        Raises
        ------
        ConfigurationError
            If the document doesn't match the format, or a route refers to a service
            that the document doesn't define.
        """
        try:
            fields = _DOCUMENT_DECODER.decode(content)
            parsed = self._parse_routes(fields.routes)
        except (msgspec.DecodeError, RecursionError) as error:
            raise _configuration_error(str(error)) from error
        services = {name: _service(name, one) for name, one in fields.services.items()}
        self._check_routes(parsed, services)
        teams = None if fields.tenants is None else _teams(fields.tenants)
        self._parsed = parsed
        self._service_names = frozenset(services)
        routes = [route for _, route in parsed.values()]
        return Document(fields.version, services, _limits(fields.limits), routes, teams)

    def _parse_routes(self, routes: dict[str, msgspec.Raw]) -> _ParsedRoutes:
        """Return all routes with their text, which is that of this document.

        The texts refer to the whole document that they stand in, so that keeping the
        former ones would keep former documents.
        """
        parsed = {}
        for name, text in routes.items():
            known = self._parsed.get(name)
            if known is None or known[0] != text:
                known = (text, _route(name, _ROUTE_DECODER.decode(text)))
            parsed[name] = (text, known[1])
        return parsed

    def _check_routes(
        self, parsed: _ParsedRoutes, services: dict[str, Service]
    ) -> None:
        """Check the services of routes, unless the former document had the same."""
        kept_services = self._service_names <= services.keys()
        for name, (_, route) in parsed.items():
            known = self._parsed.get(name)
            if not kept_services or known is None or known[1] is not route:
                _check_services(route, services)


def read_document(content: bytes) -> Document:
    """Parse a single configuration document; raises as ``DocumentReader.read``."""
    return DocumentReader().read(content)


def _configuration_error(cause: str) -> ConfigurationError:
    return ConfigurationError(
        f"the configuration can't be read: {cause}",
        "Publish a valid document; the version in force stays",
    )


def _service(name: str, fields: _Service) -> Service:
    return Service(name, fields.health_check_path.encode(), fields.connection_limit)


def _route(name: str, fields: _Route) -> Route:
    timeout_ms = DEFAULT_TIMEOUT_MS
    if fields.timeout is not None:
        timeout_ms = parse_duration_ms(fields.timeout)
    objective_ms = timeout_ms
    if fields.aim is not None:
        objective_ms = parse_duration_ms(fields.aim)
    return Route(
        name=name,
        host=fields.host.lower().encode(),
        prefix=fields.path_prefix.encode(),
        idempotent=fields.route_kind in IDEMPOTENT_ROUTE_KINDS,
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        priority=fields.priority,
        max_attempts=fields.max_attempts,
        weighted_services=_weighted_services(name, fields),
        public=fields.public,
    )


def _weighted_services(name: str, fields: _Route) -> tuple[WeightedService, ...]:
    if fields.traffic_split:
        return tuple(
            WeightedService(part.service, part.weight) for part in fields.traffic_split
        )
    if fields.service is None:
        raise _configuration_error(f"route {name!r} has neither a service nor a split")
    return _single_service(fields.service)


def _check_services(route: Route, services: dict[str, Service]) -> None:
    if not any(part.weight > 0 for part in route.weighted_services):
        raise _configuration_error(
            f"route {route.name!r} has no service with a positive weight"
        )
    for part in route.weighted_services:
        if part.service not in services:
            raise _configuration_error(
                f"route {route.name!r} refers to the unknown service {part.service!r}"
            )


@functools.lru_cache(maxsize=SERVICE_CACHE_SIZE)
def _single_service(service: str) -> tuple[WeightedService, ...]:
    """Return the split of a route with one service."""
    return (WeightedService(service, 1.0),)


def _teams(tenants: dict[str, _Tenant]) -> TeamDirectory:
    try:
        return TeamDirectory.build(
            (
                Team(name, one.priority, one.requests_per_s, one.burst),
                [key.encode() for key in one.api_keys],
            )
            for name, one in tenants.items()
        )
    except ValueError as error:
        raise _configuration_error(str(error)) from error


def _limits(fields: _Limits) -> Limits:
    return Limits(
        fields.max_header_bytes,
        fields.max_body_bytes,
        parse_duration_ms(fields.header_timeout),
        parse_duration_ms(fields.idle_timeout),
    )
