"""The operator's document, read into a routing table."""

import functools
from typing import Any

import orjson

from ..errors import ConfigurationError, SettingsError
from ..mesh.routes import Limits, Part, Route, RoutingTable, Service
from .units import parse_duration_ms

IDEMPOTENT_KIND = "safe"
DEFAULT_TIMEOUT_MS = 30_000.0
LOWEST_PRIORITY = 9
SERVICES_KEPT = 64
"""Services whose parts are shared between routes."""
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, SettingsError)


def read_document(content: bytes) -> RoutingTable:
    """Return the routing table of a document.

    Raises
    ------
    ConfigurationError
        If the document has another shape than the one that is agreed.
    """
    try:
        fields = orjson.loads(content)
        services = {
            name: _service(name, value) for name, value in fields["services"].items()
        }
        routes = [_route(name, value) for name, value in fields["routes"].items()]
        return RoutingTable(
            int(fields["version"]), services, _limits(fields["limits"]), routes
        )
    except UNREADABLE as error:
        raise ConfigurationError(
            f"the configuration can't be read: {error!r}",
            "The version in force stays; publish one of the agreed shape",
        ) from error


def _service(name: str, fields: dict[str, Any]) -> Service:
    return Service(
        name,
        str(fields.get("health_check_path", "/health")).encode(),
        int(fields.get("connection_limit", 100)),
    )


def _route(name: str, fields: dict[str, Any]) -> Route:
    timeout_ms = (
        parse_duration_ms(fields["timeout"])
        if fields.get("timeout")
        else DEFAULT_TIMEOUT_MS
    )
    objective = fields.get("aim")
    return Route(
        name=name,
        host=str(fields["host"]).lower().encode(),
        prefix=str(fields["path_prefix"]).encode(),
        idempotent=fields["route_kind"] == IDEMPOTENT_KIND,
        timeout_ms=timeout_ms,
        objective_ms=parse_duration_ms(objective) if objective else timeout_ms,
        priority=int(fields.get("priority", LOWEST_PRIORITY)),
        max_attempts=max(1, int(fields.get("max_attempts", 1))),
        parts=_parts(fields),
    )


def _parts(fields: dict[str, Any]) -> tuple[Part, ...]:
    split = fields.get("traffic_split")
    if not split:
        return _only_part(str(fields["service"]))
    return tuple(Part(str(part["service"]), float(part["weight"])) for part in split)


@functools.lru_cache(maxsize=SERVICES_KEPT)
def _only_part(service: str) -> tuple[Part, ...]:
    """Return the parts of a route without a split, shared by all such routes."""
    return (Part(service, 1.0),)


def _limits(fields: dict[str, Any]) -> Limits:
    return Limits(
        int(fields["max_header_bytes"]),
        int(fields["max_body_bytes"]),
        parse_duration_ms(fields["header_timeout"]),
        parse_duration_ms(fields["idle_timeout"]),
    )
