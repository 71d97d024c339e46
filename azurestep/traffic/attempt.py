"""Sends one attempt to one backend server, hedged if idempotent."""

import asyncio
from collections.abc import Mapping

import aiohttp
import attrs
from aiohttp.http_exceptions import HttpProcessingError

from .. import events
from ..balancing import Endpoint, OutcomeKind, budget_for_next_hop
from ..environment import Clock
from ..settings import Address
from . import headers
from .backend_answer import BackendAnswer, has_body
from .call import Call
from .connection import BackendConnection
from .connection_pool import ConnectFailedError, ConnectionPool
from .hedge import ExchangeResult, Hedge, SupersededError
from .hedge_policy import FirstByteTimes, HedgeBudget
from .request_head import build_request_head

MS_PER_S = 1000
SERVER_ERROR = 500
UNAVAILABLE = 503
PROBE_SETTLE_S = 0.005
NOT_RUN_KINDS = frozenset({OutcomeKind.CONNECT_FAILED, OutcomeKind.SHED})


@attrs.define
class Attempt:
    """Result of one attempt, up to the head of its answer.

    Attributes
    ----------
    kind : OutcomeKind
        How it ended.
    latency_ms : float
        Time to the first byte of the answer or to the failure.
    answer : BackendAnswer or None
        The answer with an unread body; None without an answer.
    retried_upstream : bool
        Whether an upstream hop already handled the failure.
    sent_ms : float
        Monotonic time at which the request was sent.
    """

    kind: OutcomeKind
    latency_ms: float
    answer: BackendAnswer | None = None
    retried_upstream: bool = False
    sent_ms: float = 0.0


class AttemptSender:
    """Sends attempts over pooled connections.

    An idempotent request uses a pooled connection and is hedged on a new one if the
    pooled one stays unresponsive. Any other request gets a new connection, because
    a request lost on a pooled one could not safely be sent again.

    Parameters
    ----------
    connections : ConnectionPool
        Connections to the backend servers.
    clock : Clock
        Source of time.
    """

    def __init__(self, connections: ConnectionPool, clock: Clock) -> None:
        self._connections = connections
        self._clock = clock
        self._times_by_route: dict[str, FirstByteTimes] = {}
        self._hedge_budgets: dict[str, HedgeBudget] = {}

    async def send(
        self,
        call: Call,
        endpoint: Endpoint,
        extra: Mapping[str, str] | None = None,
    ) -> Attempt:
        """Send the request and wait for the head of the answer."""
        started_ms = self._clock.monotonic_ms()
        remaining_ms = call.remaining_ms(started_ms)
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / MS_PER_S):
                result = await self._exchange(call, endpoint, extra)
        except ConnectFailedError:
            return self._make_failed_attempt(OutcomeKind.CONNECT_FAILED, started_ms)
        except TimeoutError:
            return self._make_failed_attempt(OutcomeKind.TIMEOUT, started_ms)
        except (aiohttp.ClientError, HttpProcessingError, OSError):
            return self._make_failed_attempt(OutcomeKind.RESET, started_ms)
        return self._make_attempt(call, endpoint, result)

    async def probe(self, endpoint: Endpoint, timeout_ms: float) -> bool:
        """Return whether the backend server accepts a new connection."""
        address = _address_of(endpoint)
        try:
            connection = await self._connections.open(address, timeout_ms)
        except ConnectFailedError:
            return False
        # A process that is exiting may accept just before its listener closes.
        await asyncio.sleep(PROBE_SETTLE_S)
        is_alive = connection.is_usable
        self._connections.put_back(address, connection)
        return is_alive

    async def _exchange(
        self, call: Call, endpoint: Endpoint, extra: Mapping[str, str] | None
    ) -> ExchangeResult:
        address = _address_of(endpoint)
        is_repeatable = call.match.idempotent and call.stream is None
        connection = self._connections.take_idle(address) if is_repeatable else None
        if connection is None:
            return await self._exchange_on_new(call, address, extra)
        return await self._exchange_pooled(call, address, extra, connection)

    async def _exchange_on_new(
        self, call: Call, address: Address, extra: Mapping[str, str] | None
    ) -> ExchangeResult:
        service = call.match.service
        remaining_ms = call.remaining_ms(self._clock.monotonic_ms())
        timeout_ms = max(0.0, min(service.connect_timeout_ms, remaining_ms))
        connection = await self._connections.open(address, timeout_ms)
        return await self._exchange_on(connection, call, extra)

    async def _exchange_on(
        self,
        connection: BackendConnection,
        call: Call,
        extra: Mapping[str, str] | None,
    ) -> ExchangeResult:
        sent_ms = self._clock.monotonic_ms()
        budget = budget_for_next_hop(call.budget, sent_ms - call.arrived_ms)
        body = call.body if call.stream is None else call.stream
        try:
            head = await connection.send(
                call.method, build_request_head(call, budget, extra), body
            )
        except BaseException:
            connection.abort()
            raise
        return ExchangeResult(head, connection, sent_ms)

    async def _exchange_pooled(
        self,
        call: Call,
        address: Address,
        extra: Mapping[str, str] | None,
        connection: BackendConnection,
    ) -> ExchangeResult:
        budget = self._hedge_budgets.setdefault(call.match.service.name, HedgeBudget())
        budget.earn()

        def may_hedge() -> bool:
            # Hedges of connections known to be unresponsive spend no budget.
            valid_from_ms = self._connections.valid_from_ms(address)
            return connection.opened_ms < valid_from_ms or budget.try_spend()

        hedge = Hedge(
            connection,
            self._first_byte_times(call).hedge_delay_ms(),
            may_hedge,
            lambda: self._exchange_on_new(call, address, extra),
        )
        try:
            return await self._exchange_on(connection, call, extra)
        except (SupersededError, aiohttp.ClientError, OSError):
            result = await hedge.result_after_failure()
            if result is None:
                raise
            self._retire(address, connection, result)
            return attrs.evolve(result, is_hedged=True)
        finally:
            await hedge.end()

    def _retire(
        self, address: Address, unresponsive: BackendConnection, working: ExchangeResult
    ) -> None:
        opened_ms = working.connection.opened_ms
        is_newly_retired = unresponsive.opened_ms >= self._connections.valid_from_ms(
            address
        )
        retired = self._connections.retire(address, opened_ms)
        if is_newly_retired:
            events.emit(
                events.CONNECTIONS_RETIRED, address=str(address), retired=retired
            )

    def _first_byte_times(self, call: Call) -> FirstByteTimes:
        return self._times_by_route.setdefault(call.match.route.name, FirstByteTimes())

    def _make_attempt(
        self, call: Call, endpoint: Endpoint, result: ExchangeResult
    ) -> Attempt:
        head = result.head
        now_ms = self._clock.monotonic_ms()
        latency_ms = now_ms - result.sent_ms
        self._first_byte_times(call).add(latency_ms)
        answer = BackendAnswer(
            head,
            result.connection,
            _address_of(endpoint),
            self._connections,
            has_body(call.method, head.message.code),
            now_ms,
        )
        return Attempt(
            _kind_of(answer),
            latency_ms,
            answer,
            headers.RETRIED in answer.headers,
            result.sent_ms,
        )

    def _make_failed_attempt(self, kind: OutcomeKind, started_ms: float) -> Attempt:
        return Attempt(kind, self._clock.monotonic_ms() - started_ms)


def _address_of(endpoint: Endpoint) -> Address:
    return Address(endpoint.key.host, endpoint.key.port)


def _kind_of(answer: BackendAnswer) -> OutcomeKind:
    if answer.status == UNAVAILABLE and headers.NOT_RUN in answer.headers:
        return OutcomeKind.SHED
    if answer.status >= SERVER_ERROR:
        return OutcomeKind.ERROR
    return OutcomeKind.SUCCESS
