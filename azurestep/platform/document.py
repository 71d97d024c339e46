"""The operators' document, decoded into typed fields."""

import functools
from typing import Annotated

import attrs
import msgspec

from ..errors import ConfigurationError
from ..routing.model import Document, Limits, Route, Service, WeightedService
from .units import DURATION_PATTERN, parse_duration_ms

IDEMPOTENT_KINDS = frozenset({"safe", "download"})
"""Kinds whose requests may run more than once; what else there is runs once."""
DEFAULT_TIMEOUT_MS = 30_000.0
LOWEST_PRIORITY = 9
DEFAULT_CONNECTION_LIMIT = 100
LARGEST_WHOLE = 2**53
"""Largest whole number that every JSON reader keeps exactly."""
SERVICES_KEPT = 64
"""Services whose parts are shared between routes."""

Name = Annotated[str, msgspec.Meta(min_length=1)]
Place = Annotated[str, msgspec.Meta(pattern=r"^/(?:.*/)?\Z")]
Duration = Annotated[str, msgspec.Meta(pattern=DURATION_PATTERN)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=LARGEST_WHOLE)]
Counted = Annotated[int, msgspec.Meta(ge=1, le=LARGEST_WHOLE)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


@attrs.frozen(slots=True)
class _Part:
    service: Name
    weight: Weight


@attrs.frozen(slots=True)
class _Route:
    host: Name
    path_prefix: Place
    route_kind: Name
    service: Name | None = None
    traffic_split: list[_Part] | None = None
    timeout: Duration | None = None
    aim: Duration | None = None
    priority: Whole = LOWEST_PRIORITY
    max_attempts: Counted = 1


@attrs.frozen(slots=True)
class _Service:
    health_check_path: Name = "/health"
    connection_limit: Counted = DEFAULT_CONNECTION_LIMIT


@attrs.frozen(slots=True)
class _Limits:
    max_header_bytes: Whole
    max_body_bytes: Whole
    header_timeout: Duration
    idle_timeout: Duration


@attrs.frozen(slots=True)
class _Document:
    version: Counted
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits


_DOCUMENT = msgspec.json.Decoder(_Document)


def read_document(content: bytes) -> Document:
    """Return what a document says.

    Raises
    ------
    ConfigurationError
        If the document has another shape than the one that is agreed, or a route
        leads to a service that it doesn't name.
    """
    try:
        fields = _DOCUMENT.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _refusal(str(error)) from error
    services = {name: _service(name, one) for name, one in fields.services.items()}
    routes = [_route(name, one) for name, one in fields.routes.items()]
    for route in routes:
        _check_parts(route, services)
    return Document(fields.version, services, _limits(fields.limits), routes)


def _refusal(cause: str) -> ConfigurationError:
    return ConfigurationError(
        f"the configuration can't be read: {cause}",
        "The version in force stays; publish one of the agreed shape",
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
        idempotent=fields.route_kind in IDEMPOTENT_KINDS,
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        priority=fields.priority,
        max_attempts=fields.max_attempts,
        parts=_parts(name, fields),
    )


def _parts(name: str, fields: _Route) -> tuple[WeightedService, ...]:
    if fields.traffic_split:
        return tuple(
            WeightedService(part.service, part.weight) for part in fields.traffic_split
        )
    if fields.service is None:
        raise _refusal(f"route {name!r} has neither a service nor a split")
    return _only_part(fields.service)


def _check_parts(route: Route, services: dict[str, Service]) -> None:
    if not any(part.weight > 0 for part in route.parts):
        raise _refusal(f"no part of route {route.name!r} has a weight")
    for part in route.parts:
        if part.service not in services:
            raise _refusal(
                f"route {route.name!r} leads to the unknown service {part.service!r}"
            )


@functools.lru_cache(maxsize=SERVICES_KEPT)
def _only_part(service: str) -> tuple[WeightedService, ...]:
    """Return the parts of a route without a split, shared by all such routes."""
    return (WeightedService(service, 1.0),)


def _limits(fields: _Limits) -> Limits:
    return Limits(
        fields.max_header_bytes,
        fields.max_body_bytes,
        parse_duration_ms(fields.header_timeout),
        parse_duration_ms(fields.idle_timeout),
    )
