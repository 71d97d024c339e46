"""Health probes: which incarnation runs beside this node.

Asked only where heartbeats don't tell: after a restart of the node, which would
otherwise leave the backend server unused for up to a heartbeat, 1.5 s, and when two
incarnations announced themselves at the same address.
"""

import asyncio
from collections.abc import Callable

import attrs

from ...http.client import Headers
from ...platform.headers import read_answer
from ...routing.table import RoutingTable
from .. import events
from ..runtime import Runtime
from .inbound import Inbound

PROBE_TIMEOUT_S = 1.0
SEARCH_MS = 3000.0
"""Time from the start in which a restarted node looks for the backend server beside
it: two heartbeats, after which its silence means that it is gone."""
SLOTS_ASSUMED = 4
"""Slots of a backend server that a probe found and that tells no load, until its
heartbeat says how many; the least that was seen on a deployment is 6."""
PROBE_GAP_MS = 300.0
"""Least time between two probes."""
OK = 200


@attrs.frozen(slots=True)
class Found:
    """The healthy incarnation that answered a probe.

    Attributes
    ----------
    slots : int or None
        How many requests it runs at once, where it tells it.
    """

    instance_id: str
    slots: int | None


class ProbeSink:
    """Collects the answer to a probe."""

    def __init__(self, future: "asyncio.Future[Found | None]") -> None:
        self._future = future
        self._status = 0
        self._found: Found | None = None

    def on_head(self, status: int, headers: Headers) -> bool:
        """Keep status and incarnation."""
        self._status = status
        fields = read_answer(headers)
        if fields.instance_id:
            self._found = Found(fields.instance_id.decode("latin-1"), fields.slots)
        return True

    def on_data(self, data: bytes) -> None:
        """Ignore the body."""

    def on_complete(self, reusable: bool) -> None:
        """Hand the incarnation over if it is healthy."""
        healthy = self._status == OK
        if not self._future.done():
            self._future.set_result(self._found if healthy else None)

    def on_failed(self, reason: str) -> None:
        """Hand over that nobody is known to run there."""
        if not self._future.done():
            self._future.set_result(None)

    def on_writable(self) -> None:
        """Ignore; probes have no body."""


@attrs.define(eq=False)
class Prober:
    """Sends a health probe to the backend server where it is in doubt.

    Attributes
    ----------
    service : str
        Service of the backend server, as the settings say.
    restarted : bool
        Whether the backend server may have been running before this process, so
        that it is looked for instead of waiting for its next heartbeat.
    """

    runtime: Runtime
    inbound: Inbound
    table: Callable[[], RoutingTable | None]
    service: str
    restarted: bool
    _probing: bool = False
    _last_ms: float = 0.0
    _started_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._started_ms = self.runtime.now_ms()

    def check(self) -> None:
        """Probe if it is not clear which incarnation runs."""
        if self._probing or not self._is_due() or self.table() is None:
            return
        if self.runtime.now_ms() - self._last_ms < PROBE_GAP_MS:
            return
        self._probing = True
        self._last_ms = self.runtime.now_ms()
        self.runtime.spawn(self._probe())

    def _is_due(self) -> bool:
        backend = self.inbound.backend
        if backend.conflicting_id:
            return True
        return self.restarted and not backend.instance_id and self._searches()

    def _searches(self) -> bool:
        return self.runtime.now_ms() - self._started_ms < SEARCH_MS

    async def _probe(self) -> None:
        backend = self.inbound.backend
        try:
            found = await self._ask()
        finally:
            self._probing = False
        events.log(
            events.BACKEND_PROBED,
            found=found.instance_id if found else "",
            known=backend.instance_id,
            doubted=backend.conflicting_id,
        )
        if found is not None:
            self._take(found)

    def _take(self, found: Found) -> None:
        backend = self.inbound.backend
        slots = found.slots or SLOTS_ASSUMED
        if backend.discover(found.instance_id, self.service, slots):
            self.inbound.changed()
            return
        backend.confirm_instance(found.instance_id, self.runtime.now_ms())
        self.inbound.on_change()

    async def _ask(self) -> Found | None:
        table = self.table()
        service = self.inbound.backend.service or self.service
        if table is None or service not in table.services:
            return None
        connection = await self.inbound.connect()
        if connection is None:
            return None
        future: asyncio.Future[Found | None] = self.runtime.loop.create_future()
        host, port = self.inbound.address
        path = table.services[service].health_path.decode("latin-1")
        head = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        connection.send(head.encode("latin-1"), ProbeSink(future), True)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                found = await future
        except TimeoutError:
            connection.abort()
            return None
        self.inbound.keep(connection)
        return found
