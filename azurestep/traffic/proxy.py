"""The proxy: takes a caller's request through the stages to its answer.

Stages: match the route, admit, send, relay. Each stage takes the call and
returns the next thing or a refusal.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from ..balancing import (
    Endpoint,
    FailedAttempt,
    GiveUp,
    Outcome,
    OutcomeKind,
    ProbeFirst,
    Refused,
    RequestArrived,
    Retry,
    Ticket,
    decide_retry,
)
from ..environment import Clock
from ..settings import Settings
from .answers import CallOutcome, Refusal, answer_of
from .attempt import Attempt, AttemptSender
from .call import BODY_KEPT_MAXIMUM_BYTES, Call, budget_of, host_of
from .directory import Directory
from .pool import ServicePool
from .relay import BodyCutError, relay
from .single_run import RunResult, run_single
from .table import RoutingTable

STARTING_RETRY_AFTER_MS = 500.0
OnceHandler = Callable[[Call], Awaitable[web.Response]]


@attrs.frozen
class Sent:
    """An attempt that was sent, with its ticket."""

    ticket: Ticket
    endpoint: Endpoint
    attempt: Attempt


class Proxy:
    """Serves callers with the routing table and the directory of the moment."""

    def __init__(
        self,
        settings: Settings,
        sender: AttemptSender,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._sender = sender
        self._clock = clock
        self._random = source
        self._table: RoutingTable | None = None
        self._directory = Directory()
        self._pools: dict[str, ServicePool] = {}
        self._in_flight = 0
        self.once: OnceHandler | None = None

    @property
    def in_flight(self) -> int:
        """Requests that have no whole answer yet."""
        return self._in_flight

    @property
    def table(self) -> RoutingTable | None:
        """The table in force."""
        return self._table

    def swap_table(self, table: RoutingTable) -> None:
        """Put a whole new table in force by one assignment."""
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
            self._random,
        )
        pool.replace_endpoints(self._directory.of(name), now_ms)
        return pool

    def swap_directory(self, directory: Directory) -> None:
        """Take over the present backend servers of every service."""
        now_ms = self._clock.monotonic_ms()
        self._directory = directory
        for name, pool in self._pools.items():
            pool.replace_endpoints(directory.of(name), now_ms)

    def tick(self) -> None:
        """Drop waiting requests whose time is over."""
        now_ms = self._clock.monotonic_ms()
        for pool in self._pools.values():
            pool.tick(now_ms)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self._in_flight += 1
        try:
            result = await self._serve(request)
        finally:
            self._in_flight -= 1
        return answer_of(result) if isinstance(result, Refusal) else result

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse | Refusal:
        call = self._match(request)
        if isinstance(call, Refusal):
            return call
        refusal = await self._read_body(request, call)
        if refusal is not None:
            return refusal
        if not call.match.idempotent and self.once is not None:
            return await self.once(call)
        return await self.run(request, call)

    async def run_single(self, call: Call) -> RunResult:
        """Run a request that must not repeat, once."""
        pool = self._pools[call.match.service.name]
        return await run_single(pool, self._sender, call, self._clock)

    def _match(self, request: web.BaseRequest) -> Call | Refusal:
        arrived_ms = self._clock.monotonic_ms()
        table = self._table
        if table is None:
            return _not_run(503, "starting", STARTING_RETRY_AFTER_MS)
        match = table.match(
            host_of(request), request.path, request.method, request.headers
        )
        if match is None:
            return _not_run(404, "no_route", None)
        budget = budget_of(request, match)
        if budget.expired:
            return _not_run(504, "deadline", None)
        if budget.too_deep:
            return _not_run(508, "too_deep", None)
        return Call(
            request.method,
            request.raw_path,
            request.headers,
            table,
            match,
            budget,
            arrived_ms,
        )

    async def _read_body(self, request: web.BaseRequest, call: Call) -> Refusal | None:
        if not request.body_exists:
            return None
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > BODY_KEPT_MAXIMUM_BYTES:
                return _not_run(413, "body_too_large", None)
        call.body = bytes(body)
        return None

    async def run(
        self, request: web.BaseRequest, call: Call
    ) -> web.StreamResponse | Refusal:
        """Send attempts until one is answered or none may follow."""
        pool = self._pools[call.match.service.name]
        pool.budget.first_request()
        while True:
            sent = await self._attempt(pool, call)
            if isinstance(sent, Refusal):
                return sent
            if sent.attempt.response is not None and _is_answer(sent.attempt):
                answer = await self._relay(pool, request, sent)
                if answer is not None:
                    return answer
            else:
                self._finish(pool, sent, sent.attempt.kind)
            refusal = self._after_failure(pool, call, sent)
            if refusal is not None:
                return refusal

    async def _attempt(self, pool: ServicePool, call: Call) -> Sent | Refusal:
        now_ms = self._clock.monotonic_ms()
        asked = RequestArrived(
            call.match.priority, now_ms, call.deadline_ms, tuple(call.tried)
        )
        decision = await pool.acquire(asked)
        if isinstance(decision, Refused):
            return _not_run(503, decision.reason.value, decision.retry_after_ms)
        call.tried.append(decision.endpoint.key)
        try:
            attempt = await self._sender.send(call, decision.endpoint)
        except asyncio.CancelledError:
            outcome = Outcome(OutcomeKind.CANCELLED, 0.0)
            pool.finish(decision.ticket, outcome, self._clock.monotonic_ms())
            raise
        return Sent(decision.ticket, decision.endpoint, attempt)

    def _finish(self, pool: ServicePool, sent: Sent, kind: OutcomeKind) -> None:
        outcome = Outcome(kind, sent.attempt.latency_ms)
        pool.finish(sent.ticket, outcome, self._clock.monotonic_ms())

    async def _relay(
        self, pool: ServicePool, request: web.BaseRequest, sent: Sent
    ) -> web.StreamResponse | None:
        response = sent.attempt.response
        assert response is not None
        kind = OutcomeKind.CANCELLED
        try:
            answer = await relay(request, response)
            kind = sent.attempt.kind
        except BodyCutError:
            kind = OutcomeKind.RESET
            sent.attempt.kind = kind
            return None
        finally:
            response.release()
            self._finish(pool, sent, kind)
        return answer

    def _after_failure(
        self, pool: ServicePool, call: Call, sent: Sent
    ) -> Refusal | None:
        now_ms = self._clock.monotonic_ms()
        failed = FailedAttempt(
            sent.attempt.kind,
            len(call.tried),
            call.match.idempotent,
            0,
            call.remaining_ms(now_ms),
            pool.admission.latency_ms,
            sent.attempt.is_final,
            server_died=False if sent.attempt.kind is OutcomeKind.RESET else None,
        )
        decision = decide_retry(failed, call.match.service.retry, pool.budget, now_ms)
        if sent.attempt.response is not None:
            sent.attempt.response.release()
        if isinstance(decision, Retry | ProbeFirst):
            return None
        return _refusal_of(decision, sent.attempt)


def _is_answer(attempt: Attempt) -> bool:
    return attempt.kind in (OutcomeKind.SUCCESS, OutcomeKind.ERROR)


def _not_run(status: int, reason: str, retry_after_ms: float | None) -> Refusal:
    return Refusal(status, CallOutcome.NOT_RUN, reason, retry_after_ms)


def _refusal_of(decision: GiveUp, attempt: Attempt) -> Refusal:
    outcome = CallOutcome.NOT_RUN if decision.not_run else CallOutcome.MAY_HAVE_RUN
    status = 504 if attempt.kind is OutcomeKind.TIMEOUT else 502
    if decision.not_run:
        status = 503
    return Refusal(
        status,
        outcome,
        decision.reason.value,
        STARTING_RETRY_AFTER_MS,
        decision.mark_final,
    )
