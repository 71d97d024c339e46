"""Health probes that find the incarnation of the local backend server.

Sent only where heartbeats and answers don't suffice: after a restart of the node,
instead of waiting for the next heartbeat and until the runs of its former process have
ended, when two incarnations announced the same address, and while a rate limit keeps
requests away whose answers would tell its end.
"""

import asyncio
from collections.abc import Callable

import attrs

from ...http.client import ClientConnection, Headers
from ...platform.headers import ServerNotice, read_answer
from ...routing.table import RoutingTable
from ...values import Value
from .. import events
from ..incarnation import Incarnation
from ..runtime import Runtime
from .inbound import Inbound

PROBE_TIMEOUT_S = 1.0
SEARCH_TIMEOUT_MS = 3000.0
"""Time after its start in which a restarted node probes for its backend server.

Long enough for two heartbeats; a server that sent none by then has ended.
"""
DEFAULT_SLOTS = 4
"""Slots of a backend server found by a probe, until its first heartbeat.

Fewer than any deployment has.
"""
MIN_PROBE_INTERVAL_MS = 300.0
FORMER_RUNS_INTERVAL_MS = 100.0
"""Time between probes while runs of the former process occupy the backend server.

A slot that becomes free is used that much later at most.
"""
OK = 200


@attrs.frozen(slots=True, eq=False, repr=False)
class ProbeResult(Value):
    """The incarnation that answered a probe.

    Attributes
    ----------
    healthy : bool
        Whether it takes requests by its own account.
    notice : ServerNotice
        What it said about itself.
    slots : int or None
        Requests that it runs concurrently; None if it named no number.
    occupancy : int or None
        Requests that run or wait there; None if it named no number.
    work_ratio : float or None
        How long work takes there relative to normal; None if it made no statement.
    """

    instance_id: str
    healthy: bool
    notice: ServerNotice
    slots: int | None
    occupancy: int | None
    work_ratio: float | None


class ProbeAnswerSink:
    """Receives the answer to a probe.

    Attributes
    ----------
    answered : bool
        Whether an answer came, whatever it says.
    """

    def __init__(self, future: "asyncio.Future[ProbeResult | None]") -> None:
        self.answered = False
        self._future = future
        self._result: ProbeResult | None = None

    def on_head(self, status: int, headers: Headers) -> bool:
        """Keep what the head says."""
        fields = read_answer(headers)
        if fields.instance_id:
            self._result = ProbeResult(
                fields.instance_id.decode("latin-1"),
                status == OK,
                fields.notice,
                fields.slots,
                fields.occupancy,
                fields.work_ratio,
            )
        return True

    def on_data(self, data: bytes) -> None:
        """Ignore the body."""

    def on_complete(self, reusable: bool) -> None:
        """Set the result."""
        self.answered = True
        if not self._future.done():
            self._future.set_result(self._result)

    def on_failed(self, reason: str) -> None:
        """Set None as the result."""
        if not self._future.done():
            self._future.set_result(None)

    def on_writable(self) -> None:
        """Ignore; probes have no body."""


@attrs.define(eq=False, repr=False)
class Prober:
    """Probes the local backend server while its incarnation is uncertain.

    Attributes
    ----------
    service : str
        Service of the backend server according to the settings.
    restarted : bool
        Whether the backend server may have been running before this process.
    counts_former_runs : bool
        Whether runs of the former process are counted after a restart.
    """

    runtime: Runtime
    inbound: Inbound
    table: Callable[[], RoutingTable | None]
    service: str
    restarted: bool
    counts_former_runs: bool = False
    _probing: bool = False
    _last_ms: float = 0.0
    _started_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._started_ms = self.runtime.now_ms()
        if self.restarted and self.counts_former_runs:
            self.inbound.admission.former_runs.begin()

    def check(self) -> None:
        """Send a probe if the incarnation or what it runs is uncertain.

        The wait for its answer is limited even if no probe can be sent, as without a
        configuration.
        """
        if self._counts_former_runs:
            self.inbound.limit_wait_for_probe()
        if self._probing or not self._is_due() or self.table() is None:
            return
        interval_ms = MIN_PROBE_INTERVAL_MS
        if self._counts_former_runs:
            interval_ms = FORMER_RUNS_INTERVAL_MS
        if self.runtime.now_ms() - self._last_ms < interval_ms:
            return
        self._probing = True
        self._last_ms = self.runtime.now_ms()
        self.runtime.spawn(self._probe())

    @property
    def _counts_former_runs(self) -> bool:
        """Whether runs of the former process may occupy a known backend server."""
        known = bool(self.inbound.backend.instance_id)
        return known and self.inbound.admission.former_runs.uncertain

    def _is_due(self) -> bool:
        backend = self.inbound.backend
        if backend.conflicting_id or self.inbound.awaits_notice():
            return True
        if self._counts_former_runs:
            return True
        return self.restarted and not backend.instance_id and self._is_searching()

    def _is_searching(self) -> bool:
        return self.runtime.now_ms() - self._started_ms < SEARCH_TIMEOUT_MS

    async def _probe(self) -> None:
        backend = self.inbound.backend
        try:
            found = await self._send_probe()
        finally:
            self._probing = False
        events.log(
            events.BACKEND_PROBED,
            found=found.instance_id if found and found.healthy else "",
            known=backend.instance_id,
            doubted=backend.conflicting_id,
        )
        if found is not None:
            incarnation = Incarnation(found.instance_id.encode("latin-1"))
            self.inbound.apply_notice(incarnation, found.notice, probed=True)
            if found.healthy:
                self._apply_result(found)
            self.inbound.apply_work_ratio(incarnation, found.work_ratio)

    def _apply_result(self, found: ProbeResult) -> None:
        backend = self.inbound.backend
        slots = found.slots or DEFAULT_SLOTS
        if backend.discover(found.instance_id, self.service, slots):
            self.inbound.apply_announcement()
            return
        backend.confirm_instance(found.instance_id, self.runtime.now_ms())
        self.inbound.on_change()

    async def _send_probe(self) -> ProbeResult | None:
        table = self.table()
        service = self.inbound.backend.service or self.service
        if table is None or service not in table.services:
            return None
        connection = await self._find_connection()
        if connection is None:
            return None
        sent_ms = self.runtime.now_ms()
        future: asyncio.Future[ProbeResult | None] = self.runtime.loop.create_future()
        host, port = self.inbound.address
        path = table.services[service].health_path.decode("latin-1")
        head = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        sink = ProbeAnswerSink(future)
        connection.send(head.encode("latin-1"), sink, True)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                found = await future
        except TimeoutError:
            connection.abort()
            return None
        self.inbound.connections.put_back(connection)
        if sink.answered:
            occupancy = None if found is None else found.occupancy
            self.inbound.record_probe(occupancy, sent_ms)
        return found

    async def _find_connection(self) -> ClientConnection | None:
        """Return a connection; a new one unless probes are frequent."""
        if self._counts_former_runs:
            connection = self.inbound.connections.idle.take(self.runtime.loop.time())
            if connection is not None:
                return connection
        return await self.inbound.connections.connect()
