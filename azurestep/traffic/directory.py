"""Directory of the backend servers of each service in all data centres."""

from collections.abc import Iterator

import attrs
import xxhash

from ..balancing import Endpoint, EndpointKey
from ..control.table import key_of
from ..control.updates import (
    LIVE,
    MemberState,
    ServerState,
    ServerStatus,
    ServiceSummary,
    Update,
)


def endpoint_key(server: ServerState) -> EndpointKey:
    """Return the key of one incarnation of a backend server."""
    incarnation = xxhash.xxh3_64_intdigest(server.incarnation.encode())
    return EndpointKey(server.host, server.port, incarnation)


@attrs.frozen
class Directory:
    """Endpoints by service.

    Attributes
    ----------
    endpoints : dict of str to tuple of Endpoint
        Endpoints of each service that has any.
    changed : frozenset of str
        Services whose endpoints differ from the previous directory.
    """

    endpoints: dict[str, tuple[Endpoint, ...]] = attrs.field(factory=dict)
    changed: frozenset[str] = frozenset()

    def endpoints_of(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service."""
        return self.endpoints.get(service, ())


@attrs.frozen
class PlacedServer:
    """A backend server and where it runs."""

    instance: str
    data_centre: str
    server: ServerState


class DirectoryBuilder:
    """Builds the directory from updates about members and services.

    Only the services that an update changed are rebuilt, since there may be
    hundreds of instances.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._placed: dict[str, tuple[PlacedServer, ...]] = {}
        self._by_service: dict[str, dict[str, tuple[PlacedServer, ...]]] = {}
        self._stale: set[str] = set()
        self._endpoints: dict[str, tuple[Endpoint, ...]] = {}
        self._first_seen_ms: dict[EndpointKey, float] = {}
        self._has_endpoints = False

    @property
    def is_stale(self) -> bool:
        """Whether an update changed the backend servers of a service."""
        return bool(self._stale)

    def apply(self, update: Update) -> None:
        """Apply the latest update about a member or a service."""
        key = key_of(update)
        placed = tuple(self._placed_of(update))
        before = self._placed.get(key, ())
        if placed == before:
            return
        self._placed[key] = placed
        services = {item.server.service for item in (*before, *placed)}
        for service in services:
            of_service = tuple(
                item for item in placed if item.server.service == service
            )
            self._by_service.setdefault(service, {})[key] = of_service
        self._stale |= services

    def build(self, now_ms: float) -> Directory:
        """Return the directory with the updates applied so far."""
        changed = frozenset(self._stale)
        self._stale.clear()
        endpoints = dict(self._endpoints)
        for service in changed:
            endpoints[service] = tuple(
                self._endpoint_of(placed, now_ms) for placed in self.servers(service)
            )
            self._forget_removed(service, endpoints[service])
        self._endpoints = endpoints
        self._has_endpoints = self._has_endpoints or bool(endpoints)
        return Directory(endpoints, changed)

    def servers(self, service: str) -> Iterator[PlacedServer]:
        """Yield the backend servers of a service."""
        for placed in self._by_service.get(service, {}).values():
            yield from placed

    def _endpoint_of(self, placed: PlacedServer, now_ms: float) -> Endpoint:
        server = placed.server
        key = endpoint_key(server)
        first_seen_ms = self._first_seen_ms.setdefault(
            key, self._initial_first_seen_ms(now_ms)
        )
        is_leaving = server.status == ServerStatus.LEAVING
        return Endpoint(
            key,
            server.service,
            placed.instance,
            placed.data_centre,
            server.slots,
            first_seen_ms,
            is_leaving,
        )

    def _forget_removed(self, service: str, current: tuple[Endpoint, ...]) -> None:
        current_keys = {endpoint.key for endpoint in current}
        for endpoint in self._endpoints.get(service, ()):
            if endpoint.key not in current_keys:
                self._first_seen_ms.pop(endpoint.key, None)

    def _initial_first_seen_ms(self, now_ms: float) -> float:
        # Servers of the first directory get no slow start.
        return now_ms if self._has_endpoints else float("-inf")

    def _placed_of(self, update: Update) -> Iterator[PlacedServer]:
        if isinstance(update, MemberState) and update.status in LIVE:
            for server in update.servers:
                yield PlacedServer(update.instance, update.data_centre, server)
        if isinstance(update, ServiceSummary):
            if update.data_centre == self._data_centre:
                return
            for server in update.servers:
                yield PlacedServer(server.instance, update.data_centre, server)
