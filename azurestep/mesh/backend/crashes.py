"""Quarantine of requests that crash backend servers.

The local node knows which requests were in flight when its backend server crashed,
and reports them to all nodes. A request that was in flight at several crashes is
refused, as ``quarantine`` decides.
"""

import zlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from ...endpoint_key import EndpointKey
from ...quarantine import Quarantine, QuarantineStatus, QuarantineUpdate, fingerprint
from ..incarnation import Incarnation
from ..messages import Request

QUARANTINE_RETRY_AFTER_MS = 10_000.0
"""Exceeds the deadlines of callers, so that the request isn't sent again."""

Publish = Callable[[str, list[QuarantineUpdate]], None]
"""Sends the updates of a service to all nodes."""


def fingerprint_of(request: Request) -> int:
    """Return the fingerprint by which a repeated request is recognised."""
    return fingerprint(
        request.method.decode("latin-1"),
        request.route,
        request.target.decode("latin-1"),
        request.body,
    )


def encode_updates(updates: Iterable[QuarantineUpdate]) -> list[object]:
    """Return updates as plain values, for a message."""
    return [
        [
            update.fingerprint,
            [[key.host, key.port, key.incarnation] for key in update.crashes],
            update.refused_for_ms,
        ]
        for update in updates
    ]


def decode_updates(rows: Iterable[Any]) -> list[QuarantineUpdate]:
    """Return the updates of a message.

    Examples
    --------
    >>> update = QuarantineUpdate(7, (EndpointKey("10.0.0.1", 80, 3),), 5.0)
    >>> decode_updates(encode_updates([update])) == [update]
    True
    """
    return [
        QuarantineUpdate(row[0], tuple(EndpointKey(*key) for key in row[1]), row[2])
        for row in rows
    ]


@attrs.define(eq=False, repr=False)
class CrashTracker:
    """Quarantine tables of one node, by service.

    Attributes
    ----------
    host : str
        Address of this instance.
    publish : Callable
        Sends updates to all nodes.
    count_servers : Callable
        Returns how many backend servers a service has.
    """

    host: str
    publish: Publish = lambda service, updates: None
    count_servers: Callable[[str], int] = lambda service: 1
    _tables: dict[str, Quarantine] = attrs.field(factory=dict)

    def record_connection_loss(self, request: Request, now_ms: float) -> None:
        """Record that a connection ended before the answer to a request began."""
        if request.whole:
            table = self._tables.setdefault(request.service, Quarantine())
            table.record_loss(
                fingerprint_of(request), self._key(request.incarnation), now_ms
            )

    def record_answered(self, request: Request, now_ms: float) -> None:
        """Record that a backend server answered a request."""
        table = self._tables.get(request.service)
        if table is not None and table.active:
            key = self._key(request.incarnation)
            table.record_answer(fingerprint_of(request), key, now_ms)

    def record_crash(
        self, service: str, incarnation: Incarnation, now_ms: float
    ) -> None:
        """Record that the local backend server crashed, and publish the updates."""
        table = self._tables.get(service)
        if table is None:
            return
        key = self._key(incarnation)
        updates = table.record_crash(key, now_ms, self.count_servers(service))
        if updates:
            self.publish(service, updates)

    def record_alive(self, service: str, incarnation: Incarnation) -> None:
        """Record that the local backend server accepts connections."""
        table = self._tables.get(service)
        if table is not None:
            table.record_alive(self._key(incarnation))

    def merge(
        self, service: str, updates: list[QuarantineUpdate], now_ms: float
    ) -> None:
        """Merge the updates of another node."""
        table = self._tables.setdefault(service, Quarantine())
        table.merge(updates, now_ms, self.count_servers(service))

    def export(self, now_ms: float) -> list[tuple[str, list[QuarantineUpdate]]]:
        """Return all updates, for a peer that has just connected."""
        known = ((name, table.export(now_ms)) for name, table in self._tables.items())
        return [(name, updates) for name, updates in known if updates]

    def is_quarantined(self, request: Request, now_ms: float) -> bool:
        """Whether a request crashed too many backend servers to be run again."""
        table = self._tables.get(request.service)
        if table is None or not table.active or not request.whole:
            return False
        return (
            table.status_of(fingerprint_of(request), now_ms) is QuarantineStatus.REFUSED
        )

    def _key(self, incarnation: Incarnation) -> EndpointKey:
        """Return a key of the host and a hash of the incarnation's id and start."""
        name = b"%b@%d" % (incarnation.instance_id, incarnation.started_ms)
        return EndpointKey(self.host, 0, zlib.crc32(name))
