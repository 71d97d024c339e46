"""Directory: which backend servers each service has, over all data centres."""

from collections.abc import Iterable, Iterator

import attrs
import xxhash

from ..balancing import Endpoint, EndpointKey
from ..control.messages import (
    LIVE,
    MemberState,
    ServerState,
    ServerStatus,
    ServiceSummary,
    Update,
)


def endpoint_key(server: ServerState) -> EndpointKey:
    """Return the identity of one run of a backend server."""
    incarnation = xxhash.xxh3_64_intdigest(server.incarnation.encode())
    return EndpointKey(server.host, server.port, incarnation)


@attrs.frozen
class Directory:
    """Endpoints by service.

    Attributes
    ----------
    endpoints : dict of str to tuple of Endpoint
        Endpoints of each service that has any.
    """

    endpoints: dict[str, tuple[Endpoint, ...]] = attrs.field(factory=dict)

    def of(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service."""
        return self.endpoints.get(service, ())


class DirectoryBuilder:
    """Builds directories and remembers when each endpoint was first seen."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._first_seen_ms: dict[EndpointKey, float] = {}
        self._has_started = False

    def build(self, updates: Iterable[Update], now_ms: float) -> Directory:
        """Return the directory of the updates held by the membership."""
        found: dict[str, list[Endpoint]] = {}
        seen: dict[EndpointKey, float] = {}
        for update in updates:
            for instance, data_centre, server in self._servers_of(update):
                key = endpoint_key(server)
                since_ms = self._first_seen_ms.get(key, self._announced_ms(now_ms))
                seen[key] = since_ms
                endpoint = Endpoint(
                    key,
                    server.service,
                    instance,
                    data_centre,
                    server.slots,
                    since_ms,
                    server.status == ServerStatus.LEAVING,
                )
                found.setdefault(server.service, []).append(endpoint)
        self._first_seen_ms = seen
        self._has_started = self._has_started or bool(seen)
        return Directory({name: tuple(items) for name, items in found.items()})

    def servers(self, updates: Iterable[Update]) -> Iterator[ServerState]:
        """Yield every backend server that the updates announce."""
        for update in updates:
            for _, _, server in self._servers_of(update):
                yield server

    def _announced_ms(self, now_ms: float) -> float:
        # A node that just started can't tell new backend servers from old ones.
        return now_ms if self._has_started else float("-inf")

    def _servers_of(self, update: Update) -> Iterable[tuple[str, str, ServerState]]:
        if isinstance(update, MemberState) and update.status in LIVE:
            for server in update.servers:
                yield update.instance, update.data_centre, server
        if isinstance(update, ServiceSummary):
            if update.data_centre == self._data_centre:
                return
            for server in update.servers:
                yield server.instance, update.data_centre, server
