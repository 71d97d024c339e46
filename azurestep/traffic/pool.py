"""Asyncio wrapper of the admission to one service."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from ..balancing import (
    Admission,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Dropped,
    Endpoint,
    EndpointKey,
    Granted,
    OutcomeKind,
    Quarantine,
    QuarantineUpdate,
    Queued,
    QueueResult,
    Refused,
    RetryBudget,
    Ticket,
)
from ..config.model import ClassShares, Service

MAX_CRASHED_SERVERS = 256

Probe = Callable[[Endpoint, float], Awaitable[bool]]


@attrs.frozen
class QuarantineReport:
    """Requests that crash backend servers, as reported to peers.

    Attributes
    ----------
    service : str
        Service of the requests.
    updates : list of QuarantineUpdate
        Fingerprints of requests, with the crashes counted for each.
    """

    service: str
    updates: list[QuarantineUpdate]


QuarantineListener = Callable[[QuarantineReport], None]


class ServicePool:
    """Admission, retry budget and quarantine of one service, for asyncio.

    Parameters
    ----------
    service : Service
        Rules of the service.
    shares : ClassShares
        Class shares of the preset in force.
    data_centre, instance : str
        Where this node runs.
    rng : random.Random
        Random number generator.
    on_report : callable
        Called with each report on requests that crash backend servers.
    """

    def __init__(
        self,
        service: Service,
        shares: ClassShares,
        data_centre: str,
        instance: str,
        rng: random.Random,
        *,
        on_report: QuarantineListener,
    ) -> None:
        self.admission = Admission(service, shares, data_centre, instance, rng)
        self.retry_budget = RetryBudget(service.retry.budget_ratio)
        self.quarantine = Quarantine()
        self.endpoints: tuple[Endpoint, ...] = ()
        self._service = service
        self._on_report = on_report
        self._crashed: dict[EndpointKey, None] = {}
        self._waiting: dict[Ticket, asyncio.Future[Granted | Dropped]] = {}

    def configure(self, service: Service, shares: ClassShares, now_ms: float) -> None:
        """Apply the rules of another configuration version or preset."""
        self._service = service
        self.retry_budget.ratio = service.retry.budget_ratio
        self.resolve_waiting(self.admission.configure(service, shares, now_ms))

    def replace_endpoints(self, endpoints: tuple[Endpoint, ...], now_ms: float) -> None:
        """Replace the backend servers of the service."""
        self._record_replaced(endpoints, now_ms)
        self.endpoints = endpoints
        self.resolve_waiting(self.admission.replace_endpoints(endpoints, now_ms))

    def _record_replaced(self, endpoints: tuple[Endpoint, ...], now_ms: float) -> None:
        """Record a crash of each server whose address has another incarnation now."""
        keys_by_address = {(e.key.host, e.key.port): e.key for e in endpoints}
        for previous in self.endpoints:
            key = previous.key
            current = keys_by_address.get((key.host, key.port), key)
            if current != key and not previous.leaving:
                self._record_crash(key, now_ms)

    async def handle_lost_connection(
        self, fingerprint: int, endpoint: Endpoint, probe: Probe, now_ms: float
    ) -> None:
        """Probe a backend server whose connection was lost; record a crash."""
        key = endpoint.key
        self.quarantine.record_loss(fingerprint, key, now_ms)
        if key in self._crashed:
            return
        if await probe(endpoint, self._service.connect_timeout_ms):
            self.quarantine.record_alive(key)
        else:
            self._record_crash(key, now_ms)

    def _record_crash(self, key: EndpointKey, now_ms: float) -> None:
        self._crashed[key] = None
        if len(self._crashed) > MAX_CRASHED_SERVERS:
            del self._crashed[next(iter(self._crashed))]
        updates = self.quarantine.record_crash(key, now_ms, len(self.endpoints))
        if updates:
            self._on_report(QuarantineReport(self._service.name, updates))

    def has_crashed(self, key: EndpointKey) -> bool:
        """Return whether a crash of a backend server was recorded."""
        return key in self._crashed

    def record_end(
        self, fingerprint: int, key: EndpointKey, is_answered: bool, now_ms: float
    ) -> None:
        """Record the end of an attempt in the quarantine."""
        if is_answered:
            self.quarantine.record_answer(fingerprint, key, now_ms)
        else:
            self.quarantine.record_end(fingerprint, key)

    async def acquire(self, request: AdmissionRequest) -> Admitted | Refused:
        """Admit or refuse a request, waiting in the queue if necessary."""
        decision = self.admission.request(request)
        if not isinstance(decision, Queued):
            return decision
        ticket = decision.ticket
        future: asyncio.Future[Granted | Dropped] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[ticket] = future
        try:
            result = await future
        except asyncio.CancelledError:
            self._waiting.pop(ticket, None)
            self._cancel(ticket, future, request.now_ms)
            raise
        if isinstance(result, Granted):
            return Admitted(ticket, result.endpoint)
        return Refused(result.reason, result.retry_after_ms)

    def _cancel(
        self,
        ticket: Ticket,
        future: "asyncio.Future[Granted | Dropped]",
        now_ms: float,
    ) -> None:
        was_granted = future.done() and not future.cancelled()
        if was_granted and isinstance(future.result(), Granted):
            outcome = AttemptOutcome(OutcomeKind.CANCELLED, 0.0)
            self.resolve_waiting(self.admission.finish(ticket, outcome, now_ms))
        else:
            self.resolve_waiting(self.admission.cancel(ticket, now_ms))

    def finish(self, ticket: Ticket, outcome: AttemptOutcome, now_ms: float) -> None:
        """End an attempt and grant its slot to a queued request."""
        self.resolve_waiting(self.admission.finish(ticket, outcome, now_ms))

    def tick(self, now_ms: float) -> None:
        """Drop expired queued requests."""
        if self._waiting:
            self.resolve_waiting(self.admission.tick(now_ms))

    def resolve_waiting(self, results: list[QueueResult]) -> None:
        """Resolve the futures of granted and dropped requests."""
        for result in results:
            future = self._waiting.pop(result.ticket, None)
            if future is not None and not future.done():
                future.set_result(result)
