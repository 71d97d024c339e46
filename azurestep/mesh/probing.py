"""Health probes: which incarnation runs beside this node.

Asked only where heartbeats don't tell: after a restart of the node, and when two
incarnations announced themselves at the same address.
"""

import asyncio
from collections.abc import Callable

import attrs

from ..platform.headers import read_answer
from . import events
from .http_client import Headers
from .inbound import Inbound
from .routes import RoutingTable
from .runtime import Runtime

PROBE_TIMEOUT_S = 1.0
PROBE_GAP_MS = 300.0
"""Least time between two probes."""
OK = 200


class ProbeSink:
    """Collects the answer to a probe."""

    def __init__(self, future: "asyncio.Future[str]") -> None:
        self._future = future
        self._status = 0
        self._instance_id = ""

    def on_head(self, status: int, headers: Headers) -> bool:
        """Keep status and incarnation."""
        self._status = status
        self._instance_id = read_answer(headers).instance_id.decode("latin-1")
        return True

    def on_data(self, data: bytes) -> None:
        """Ignore the body."""

    def on_complete(self, reusable: bool) -> None:
        """Hand the incarnation over if it is healthy."""
        healthy = self._status == OK
        if not self._future.done():
            self._future.set_result(self._instance_id if healthy else "")

    def on_failed(self, reason: str) -> None:
        """Hand over that nobody is known to run there."""
        if not self._future.done():
            self._future.set_result("")

    def on_writable(self) -> None:
        """Ignore; probes have no body."""


@attrs.define(eq=False)
class Prober:
    """Sends a health probe to the backend server where it is in doubt."""

    runtime: Runtime
    inbound: Inbound
    table: Callable[[], RoutingTable | None]
    _probing: bool = False
    _last_ms: float = 0.0

    def check(self) -> None:
        """Probe if it is not clear which incarnation runs."""
        backend = self.inbound.backend
        if not backend.doubted_id or self._probing:
            return
        if self.runtime.now_ms() - self._last_ms < PROBE_GAP_MS:
            return
        self._probing = True
        self._last_ms = self.runtime.now_ms()
        self.runtime.spawn(self._probe())

    async def _probe(self) -> None:
        backend = self.inbound.backend
        try:
            found = await self._ask()
        finally:
            self._probing = False
        events.log(
            events.BACKEND_PROBED,
            found=found,
            known=backend.instance_id,
            doubted=backend.doubted_id,
        )
        if found:
            backend.answered(found, self.runtime.now_ms())
            self.inbound.on_change()

    async def _ask(self) -> str:
        table = self.table()
        service = self.inbound.backend.service
        if table is None or service not in table.services:
            return ""
        connection = await self.inbound.connect()
        if connection is None:
            return ""
        future: asyncio.Future[str] = self.runtime.loop.create_future()
        host, port = self.inbound.address
        path = table.services[service].health_path.decode("latin-1")
        head = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        connection.send(head.encode("latin-1"), ProbeSink(future), True)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                found = await future
        except TimeoutError:
            connection.abort()
            return ""
        self.inbound.keep(connection)
        return found
