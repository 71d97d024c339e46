"""Connections to the local backend server, and whether it accepts any."""

import asyncio
from collections.abc import Callable

import attrs

from ...http.client import ClientConnection, IdlePool
from .. import events
from ..messages import Request
from ..runtime import Runtime
from ..settings import Address
from .crashes import CrashTracker
from .state import LocalBackend

CONNECT_TIMEOUT_S = 1.0
"""Time after which a connection attempt counts as failed.

A backend server on the same instance accepts within about 1 ms.
"""
MAX_LATE_S = 0.01
"""Delay of that timeout above which this node was busy or stopped itself. What the
backend server did meanwhile is not known."""
MAX_IDLE_MS = 8000.0
"""Idle time after which a connection is closed, before the backend server does it.

Backend servers do so after about 10 s, and say so where the time is another.
"""
IDLE_CLOSE_WINDOW_MS = 30.0
"""Time after sending a request on a reused connection, to detect idle closes.

If the connection ends within this time, the backend server is assumed to have closed it
while it was idle: the round trip takes about 1 ms, the shortest runs take 30 ms.
"""
RECONNECT_INTERVAL_MS = 300.0
"""Time between attempts to reach a backend server that refuses connections."""


@attrs.define(eq=False, repr=False)
class BackendConnections:
    """Opens connections and keeps idle ones for reuse.

    Attributes
    ----------
    on_change : Callable
        Called when the backend server became unreachable or reachable again.
    unreachable : bool
        Whether the last attempt to connect failed.
    """

    runtime: Runtime
    address: Address
    backend: LocalBackend
    crashes: CrashTracker
    on_change: Callable[[], None]
    idle: IdlePool = attrs.field(factory=lambda: IdlePool(MAX_IDLE_MS))
    unreachable: bool = False
    next_reconnect_ms: float = 0.0

    async def connect(self) -> ClientConnection | None:
        """Open a connection to the backend server; None if it accepts none."""
        backend, loop = self.backend, self.runtime.loop
        began_s = loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    ClientConnection, *self.address
                )
        except OSError as error:
            late_s = loop.time() - began_s - CONNECT_TIMEOUT_S
            if isinstance(error, TimeoutError) and late_s > MAX_LATE_S:
                return await self.connect()
            self._set_unreachable(True, type(error).__name__)
            now_ms = self.runtime.now_ms()
            self.crashes.record_crash(backend.service, backend.incarnation, now_ms)
            return None
        self.runtime.metrics.count("connections_opened")
        self.crashes.record_alive(backend.service, backend.incarnation)
        self._set_unreachable(False, "")
        return connection

    def put_back(self, connection: ClientConnection) -> None:
        """Return a connection to the idle pool."""
        if connection.usable:
            self.idle.put(connection, self.runtime.loop.time())

    def record_loss(
        self,
        request: Request,
        connection: ClientConnection,
        sent_ms: float,
        *,
        is_last: bool,
    ) -> None:
        """Record that a connection ended during a request, before any answer.

        A backend server that crashes ends all its connections. Once the last one
        ended, a connection attempt shows whether it still runs; if so, no request is
        recorded as the cause of a crash.
        """
        now_ms = self.runtime.now_ms()
        self.next_reconnect_ms = 0.0
        self.crashes.record_connection_loss(request, now_ms)
        if is_last:
            self.runtime.spawn(self._reconnect())
        reused = connection.request_count > 1
        if reused and now_ms - sent_ms < IDLE_CLOSE_WINDOW_MS:
            self._reduce_reuse_limit(connection.idle_ms)

    def _reduce_reuse_limit(self, idle_ms: float) -> None:
        self.idle.reduce_reuse_limit(idle_ms, self.runtime.loop.time())
        events.log(
            events.IDLE_CONNECTION_LOST,
            instance=self.backend.instance_id,
            rested_ms=round(idle_ms),
            trusted_ms=round(self.idle.reuse_limit_ms),
        )

    def tick(self, now_ms: float) -> None:
        """Close old idle connections, and retry an unreachable backend server."""
        self.idle.sweep(self.runtime.loop.time())
        is_due = self.unreachable and now_ms > self.next_reconnect_ms
        if is_due and self.backend.is_open():
            self.next_reconnect_ms = now_ms + RECONNECT_INTERVAL_MS
            self.runtime.spawn(self._reconnect())

    async def _reconnect(self) -> None:
        connection = await self.connect()
        if connection is not None:
            self.put_back(connection)

    def _set_unreachable(self, unreachable: bool, cause: str) -> None:
        if unreachable == self.unreachable:
            return
        self.unreachable = unreachable
        event = events.BACKEND_LOST if unreachable else events.BACKEND_REACHED
        events.log(event, instance=self.backend.instance_id, cause=cause)
        self.on_change()
