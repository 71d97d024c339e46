"""Admission of one service as an awaitable, with its budget and quarantine."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from ..balancing import (
    Admission,
    Admitted,
    Dropped,
    Endpoint,
    EndpointKey,
    Granted,
    Outcome,
    OutcomeKind,
    Quarantine,
    QuarantineUpdate,
    Queued,
    Refused,
    Release,
    RequestArrived,
    RetryBudget,
    Ticket,
)
from ..config.model import ClassShares, Service

DEATHS_REMEMBERED = 256

Probe = Callable[[Endpoint, float], Awaitable[bool]]


@attrs.frozen
class QuarantineReport:
    """What this node learned about requests that crash backend servers.

    Attributes
    ----------
    service : str
        Service that the requests went to.
    updates : list of QuarantineUpdate
        What the other nodes should know.
    """

    service: str
    updates: list[QuarantineUpdate]


QuarantineListener = Callable[[QuarantineReport], None]


class ServicePool:
    """Backend servers of one service as a task sees them.

    Parameters
    ----------
    service : Service
        Rules of the service.
    shares : ClassShares
        Class shares of the preset in force.
    data_centre, instance : str
        Where this node runs.
    source : random.Random
        Source of random choices.
    on_report : callable
        Told what was learned about requests that crash backend servers.
    """

    def __init__(
        self,
        service: Service,
        shares: ClassShares,
        data_centre: str,
        instance: str,
        source: random.Random,
        *,
        on_report: QuarantineListener,
    ) -> None:
        self.admission = Admission(service, shares, data_centre, instance, source)
        self.budget = RetryBudget(service.retry.budget_ratio)
        self.quarantine = Quarantine()
        self.endpoints: tuple[Endpoint, ...] = ()
        self._service = service
        self._on_report = on_report
        self._dead: dict[EndpointKey, None] = {}
        self._waiting: dict[Ticket, asyncio.Future[Granted | Dropped]] = {}

    def configure(self, service: Service, shares: ClassShares, now_ms: float) -> None:
        """Take over the rules of another version or preset."""
        self._service = service
        self.budget.ratio = service.retry.budget_ratio
        self.settle(self.admission.configure(service, shares, now_ms))

    def replace_endpoints(self, endpoints: tuple[Endpoint, ...], now_ms: float) -> None:
        """Take over the present list of backend servers."""
        self._note_replaced(endpoints, now_ms)
        self.endpoints = endpoints
        self.settle(self.admission.replace_endpoints(endpoints, now_ms))

    def _note_replaced(self, endpoints: tuple[Endpoint, ...], now_ms: float) -> None:
        """Count those as dead whose address another run has taken over."""
        places = {(e.key.host, e.key.port): e.key for e in endpoints}
        for former in self.endpoints:
            key = former.key
            present = places.get((key.host, key.port), key)
            if present != key and not former.leaving:
                self._note_death(key, now_ms)

    async def learn_of_loss(
        self, fingerprint: int, endpoint: Endpoint, probe: Probe, now_ms: float
    ) -> None:
        """Find out whether a backend server died as its connection was lost."""
        key = endpoint.key
        self.quarantine.record_loss(fingerprint, key, now_ms)
        if key in self._dead:
            return
        if await probe(endpoint, self._service.connect_timeout_ms):
            self.quarantine.record_alive(key)
        else:
            self._note_death(key, now_ms)

    def _note_death(self, key: EndpointKey, now_ms: float) -> None:
        self._dead[key] = None
        if len(self._dead) > DEATHS_REMEMBERED:
            del self._dead[next(iter(self._dead))]
        updates = self.quarantine.record_death(key, now_ms, len(self.endpoints))
        if updates:
            self._on_report(QuarantineReport(self._service.name, updates))

    def has_died(self, key: EndpointKey) -> bool:
        """Return whether a backend server whose connection was lost is dead."""
        return key in self._dead

    def note_end(
        self, fingerprint: int, key: EndpointKey, is_answered: bool, now_ms: float
    ) -> None:
        """Tell the quarantine how an attempt ended."""
        if is_answered:
            self.quarantine.record_answer(fingerprint, key, now_ms)
        else:
            self.quarantine.record_end(fingerprint, key)

    async def acquire(self, request: RequestArrived) -> Admitted | Refused:
        """Return a backend server for a request, waiting in the queue if needed."""
        decision = self.admission.request(request)
        if not isinstance(decision, Queued):
            return decision
        ticket = decision.ticket
        future: asyncio.Future[Granted | Dropped] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[ticket] = future
        try:
            release = await future
        except asyncio.CancelledError:
            self._waiting.pop(ticket, None)
            self._abandon(ticket, future, request.now_ms)
            raise
        if isinstance(release, Granted):
            return Admitted(ticket, release.endpoint)
        return Refused(release.reason, release.retry_after_ms)

    def _abandon(
        self,
        ticket: Ticket,
        future: "asyncio.Future[Granted | Dropped]",
        now_ms: float,
    ) -> None:
        was_granted = future.done() and not future.cancelled()
        if was_granted and isinstance(future.result(), Granted):
            outcome = Outcome(OutcomeKind.CANCELLED, 0.0)
            self.settle(self.admission.finish(ticket, outcome, now_ms))
        else:
            self.settle(self.admission.cancel(ticket, now_ms))

    def finish(self, ticket: Ticket, outcome: Outcome, now_ms: float) -> None:
        """End an attempt and wake who can go on."""
        self.settle(self.admission.finish(ticket, outcome, now_ms))

    def tick(self, now_ms: float) -> None:
        """Drop waiting requests whose time is over."""
        if self._waiting:
            self.settle(self.admission.tick(now_ms))

    def settle(self, releases: list[Release]) -> None:
        """Hand releases to the tasks that wait for them."""
        for release in releases:
            future = self._waiting.pop(release.ticket, None)
            if future is not None and not future.done():
                future.set_result(release)
