"""The proxy: serves a caller's request.

Stages: match the route, read the body, admit, send, relay. A stage may end the
request with an error answer.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..balancing import LoadReport
from ..environment import Clock
from ..settings import Settings
from .answers import ErrorAnswer, make_answer, not_run
from .attempt import AttemptSender
from .call import (
    Call,
    is_client_retry,
    read_budget,
    read_host,
    read_target,
)
from .caller_connection import has_pipelined_request
from .directory import Directory
from .forward import Forwarder
from .latency import AddedLatency, LatencySummary
from .pool import QuarantineListener, QuarantineReport, ServicePool
from .request_body import buffer_body
from .single_run import RunFailed, RunResult, run_non_idempotent
from .table import RoutingTable
from .under_way import STOPPING_ANSWER, InFlightRequest, InFlightRequests

STARTING_RETRY_AFTER_MS = 500.0
MAX_STARTING_WAIT_S = 2.0
MS_PER_S = 1000
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NonIdempotentHandler = Callable[[Call], Awaitable[web.Response]]


class Proxy:
    """Serves callers with the current routing table and directory.

    Attributes
    ----------
    on_quarantine_report : callable
        Called with each report on requests that crash backend servers; it sends
        the report to peers.
    ready : asyncio.Event
        Set once there is a routing table, and a directory or the wait for it ended.
    non_idempotent_handler : callable or None
        Handles non-idempotent requests; without it they are served like any other.
    """

    def __init__(
        self,
        settings: Settings,
        sender: AttemptSender,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.on_quarantine_report: QuarantineListener = _ignore_report
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._latency = AddedLatency()
        self._forwarder = Forwarder(sender, clock, self._latency)
        self._table: RoutingTable | None = None
        self._directory = Directory()
        self._pools: dict[str, ServicePool] = {}
        self._in_flight_requests = InFlightRequests()
        self._is_draining = False
        self._is_closed = False
        self.ready = asyncio.Event()
        self.non_idempotent_handler: NonIdempotentHandler | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests in flight, including those executed for peers."""
        return len(self._in_flight_requests)

    @property
    def table(self) -> RoutingTable | None:
        """The current routing table."""
        return self._table

    @property
    def has_directory(self) -> bool:
        """Whether any backend server is known."""
        return bool(self._directory.endpoints)

    def has_all_endpoints(self) -> bool:
        """Return whether every service of the routing table has a backend server."""
        if self._table is None:
            return False
        return all(self._directory.endpoints_of(name) for name in self._table.services)

    def latency_summary(self) -> LatencySummary:
        """Return the distribution of the latency that this node adds."""
        return self._latency.summary()

    def drain(self) -> None:
        """Close the caller's connection after each answer from now on."""
        self._is_draining = True

    def close(self) -> None:
        """Refuse new requests as not run."""
        self._is_draining = self._is_closed = True

    def end_requests(self) -> int:
        """End all requests in flight with an error answer; return their number."""
        self.close()
        return self._in_flight_requests.end_requests()

    def replace_table(self, table: RoutingTable) -> None:
        """Replace the routing table; requests in flight keep theirs."""
        now_ms = self._clock.monotonic_ms()
        for name, service in table.services.items():
            pool = self._pools.get(name)
            if pool is None:
                self._pools[name] = self._make_pool(table, name, now_ms)
            else:
                pool.configure(service, table.shares, now_ms)
        self._table = table

    def _make_pool(self, table: RoutingTable, name: str, now_ms: float) -> ServicePool:
        pool = ServicePool(
            table.services[name],
            table.shares,
            self._settings.data_centre,
            self._settings.instance,
            self._rng,
            on_report=self._publish_quarantine,
        )
        pool.replace_endpoints(self._directory.endpoints_of(name), now_ms)
        return pool

    def _publish_quarantine(self, report: QuarantineReport) -> None:
        self.on_quarantine_report(report)

    def replace_directory(self, directory: Directory) -> None:
        """Replace the directory and update the pools of changed services."""
        now_ms = self._clock.monotonic_ms()
        self._directory = directory
        for name in directory.changed & self._pools.keys():
            self._pools[name].replace_endpoints(directory.endpoints_of(name), now_ms)

    def merge_quarantine(self, report: QuarantineReport) -> None:
        """Merge a peer's quarantine report."""
        pool = self._pools.get(report.service)
        if pool is not None:
            now_ms = self._clock.monotonic_ms()
            pool.quarantine.merge(report.updates, now_ms, len(pool.endpoints))

    def report_load(self, service: str, report: LoadReport) -> None:
        """Apply a backend server's load report."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.admission.report(report)

    def tick(self) -> None:
        """Drop expired queued requests and flush the latency histogram."""
        now_ms = self._clock.monotonic_ms()
        self._latency.flush()
        for pool in self._pools.values():
            pool.tick(now_ms)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller."""
        result = (
            STOPPING_ANSWER
            if self._is_closed
            else await self._serve_until_ended(request)
        )
        response = make_answer(result) if isinstance(result, ErrorAnswer) else result
        if (
            self._is_draining
            and not response.prepared
            and not has_pipelined_request(request.protocol)
        ):
            response.force_close()
        return response

    async def _serve_until_ended(
        self, request: web.BaseRequest
    ) -> web.StreamResponse | ErrorAnswer:
        entry = InFlightRequest()
        try:
            async with entry.timeout:
                self._in_flight_requests.add(entry)
                return await self._serve(request, entry)
        except TimeoutError:
            if not entry.timeout.expired():
                raise
            return entry.make_shutdown_answer()
        finally:
            self._in_flight_requests.remove(entry)

    async def _wait_until_ready(self) -> None:
        try:
            await asyncio.wait_for(self.ready.wait(), MAX_STARTING_WAIT_S)
        except TimeoutError:
            return

    async def _serve(
        self, request: web.BaseRequest, entry: InFlightRequest
    ) -> web.StreamResponse | ErrorAnswer:
        if not self.ready.is_set():
            await self._wait_until_ready()
        call = self._match_route(request)
        if isinstance(call, ErrorAnswer):
            return call
        entry.call = call
        error_answer = await self._read_body(request, call)
        if error_answer is not None:
            return error_answer
        if not call.match.idempotent and self.non_idempotent_handler is not None:
            entry.is_sent_to_owner = True
            return await self.non_idempotent_handler(call)
        return await self.run(request, call)

    async def run_non_idempotent(self, call: Call) -> RunResult:
        """Run a non-idempotent request as the owner of its key."""
        pool = self._pools[call.match.service.name]
        entry = InFlightRequest(call=call, is_owner_run=True)
        try:
            async with entry.timeout:
                self._in_flight_requests.add(entry)
                return await run_non_idempotent(
                    pool, self._forwarder, call, self._clock
                )
        except TimeoutError:
            if not entry.timeout.expired():
                raise
            return RunFailed(may_have_run=entry.may_have_run)
        finally:
            self._in_flight_requests.remove(entry)

    def _match_route(self, request: web.BaseRequest) -> Call | ErrorAnswer:
        arrived_ms = self._clock.monotonic_ms()
        table = self._table
        if table is None:
            return not_run(503, "starting", STARTING_RETRY_AFTER_MS)
        match = table.match(
            read_host(request), request.path, request.method, request.headers
        )
        if match is None:
            return not_run(404, "no_route", None)
        budget = read_budget(request, match)
        if budget.expired:
            return not_run(504, "deadline", None)
        if budget.too_deep:
            return not_run(508, "too_deep", None)
        return Call(
            request.method,
            read_target(request),
            request.headers,
            table,
            match,
            budget,
            arrived_ms,
            is_client_retry=is_client_retry(request),
            closes_connection=self._is_draining,
        )

    async def _read_body(
        self, request: web.BaseRequest, call: Call
    ) -> ErrorAnswer | None:
        if not request.body_exists:
            return None
        started_ms = self._clock.monotonic_ms()
        if "Expect" in request.headers and request.transport is not None:
            request.transport.write(CONTINUE)
        remaining_ms = call.remaining_ms(started_ms)
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / MS_PER_S):
                error_answer = await buffer_body(request, call)
        except TimeoutError:
            return not_run(408, "body_too_slow", None)
        call.waited_ms += self._clock.monotonic_ms() - started_ms
        return error_answer

    async def run(
        self, request: web.BaseRequest | None, call: Call
    ) -> web.StreamResponse | ErrorAnswer:
        """Send attempts until one is answered or no retry is allowed.

        Parameters
        ----------
        request : web.BaseRequest or None
            Request whose connection large answers are streamed to; None returns
            every answer whole, as a ``web.Response``.
        call : Call
            The call to send.
        """
        pool = self._pools[call.match.service.name]
        return await self._forwarder.run(pool, request, call)


def _ignore_report(report: QuarantineReport) -> None:
    return
