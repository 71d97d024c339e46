"""Admission of one service as an awaitable, with its budget and quarantine."""

import asyncio
import random

from ..balancing import (
    Admission,
    Admitted,
    Dropped,
    Endpoint,
    Granted,
    Outcome,
    OutcomeKind,
    Quarantine,
    Queued,
    Refused,
    Release,
    RequestArrived,
    RetryBudget,
    Ticket,
)
from ..config.model import ClassShares, Service


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
    """

    def __init__(
        self,
        service: Service,
        shares: ClassShares,
        data_centre: str,
        instance: str,
        source: random.Random,
    ) -> None:
        self.admission = Admission(service, shares, data_centre, instance, source)
        self.budget = RetryBudget(service.retry.budget_ratio)
        self.quarantine = Quarantine()
        self.endpoints: tuple[Endpoint, ...] = ()
        self._waiting: dict[Ticket, asyncio.Future[Granted | Dropped]] = {}

    def configure(self, service: Service, shares: ClassShares, now_ms: float) -> None:
        """Take over the rules of another version or preset."""
        self.budget.ratio = service.retry.budget_ratio
        self.settle(self.admission.configure(service, shares, now_ms))

    def replace_endpoints(self, endpoints: tuple[Endpoint, ...], now_ms: float) -> None:
        """Take over the present list of backend servers."""
        self.endpoints = endpoints
        self.settle(self.admission.replace_endpoints(endpoints, now_ms))

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
            self.settle(self.admission.finished(ticket, outcome, now_ms))
        else:
            self.settle(self.admission.cancelled(ticket, now_ms))

    def finish(self, ticket: Ticket, outcome: Outcome, now_ms: float) -> None:
        """End an attempt and wake who can go on."""
        self.settle(self.admission.finished(ticket, outcome, now_ms))

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
