"""Admission control for one service: concurrency limits, queues and load shedding."""

import random
from collections.abc import Iterable

from ..config.model import ClassShares, Service
from .choice import Balancer
from .endpoint_state import LIMITER_OUTCOMES, EndpointState
from .limiter import LimiterKind
from .messages import (
    AdmissionDecision,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Dropped,
    Endpoint,
    Granted,
    LoadReport,
    OutcomeKind,
    Queued,
    QueueResult,
    RefusalReason,
    Refused,
    Ticket,
    TicketState,
)
from .queueing import ClassQueue, ClassQueues, Discipline, share_of
from .rates import RateMeter, SmoothedMean
from .throttle import Throttle

MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 10_000.0
DEFAULT_RETRY_AFTER_MS = 1000.0
MIN_COMPLETIONS_PER_MS = 0.001


class Admission:
    """Admits, queues or refuses the requests to one service.

    Parameters
    ----------
    service : Service
        Rules of the service.
    shares : ClassShares
        Class shares of the preset in force.
    data_centre, instance : str
        Where this node runs.
    rng : random.Random
        Random number generator for load balancing, load shedding and jitter.
    limiter : LimiterKind or None
        How concurrency limits adapt; None follows the service's rule.
    discipline : Discipline
        Order of the queues.
    allow_throttle : bool
        Enables probabilistic load shedding for an adaptive service whose concurrency
        limits can't reduce the load.
    """

    def __init__(
        self,
        service: Service,
        shares: ClassShares,
        data_centre: str,
        instance: str,
        rng: random.Random,
        *,
        limiter: LimiterKind | None = None,
        discipline: Discipline = Discipline.CONTROLLED_DELAY,
        allow_throttle: bool = True,
    ) -> None:
        self._service = service
        self._shares = shares
        self._rng = rng
        self._balancer = Balancer(service, data_centre, instance, rng, limiter)
        self._queues = ClassQueues(discipline)
        self._completions = RateMeter()
        self._latency = SmoothedMean()
        self._throttle = Throttle()
        self._throttle_allowed = allow_throttle
        self._throttle_enabled = service.limits.adaptive and allow_throttle

    @property
    def balancer(self) -> Balancer:
        """Load balancer of the service."""
        return self._balancer

    @property
    def latency_ms(self) -> float:
        """Smoothed latency of the service's answers; 0 before the first one."""
        return self._latency.value

    @property
    def expected_ms(self) -> float:
        """Expected time of an attempt: mean latency plus mean deviation."""
        return self._latency.value + self._latency.deviation

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return self._queues.waiting()

    def configure(
        self, service: Service, shares: ClassShares, now_ms: float
    ) -> list[QueueResult]:
        """Apply the rules of another configuration version or preset."""
        self._service = service
        self._shares = shares
        self._throttle_enabled = service.limits.adaptive and self._throttle_allowed
        self._balancer.configure(service, now_ms)
        return self.tick(now_ms)

    def replace_endpoints(
        self, endpoints: Iterable[Endpoint], now_ms: float
    ) -> list[QueueResult]:
        """Replace the backend servers of the service."""
        self._balancer.replace(endpoints, now_ms)
        return self.tick(now_ms)

    def report(self, report: LoadReport) -> None:
        """Apply a backend server's load report to its weight."""
        self._balancer.report(report)

    def request(self, request: AdmissionRequest) -> AdmissionDecision:
        """Admit, queue or refuse a request or a further attempt at one."""
        now_ms = request.now_ms
        self._balancer.run_health_checks(now_ms)
        if now_ms >= request.deadline_ms:
            return self._refuse(RefusalReason.DEADLINE, now_ms)
        queue = self._queues.queue(request.priority)
        if not self._class_is_open(queue):
            return self._refuse(RefusalReason.CLASS_CLOSED, now_ms)
        if self._throttle_enabled and not self._passes_throttle(request):
            return self._refuse(RefusalReason.OVERLOAD, now_ms)
        if self._must_wait(queue):
            return self._enqueue(request, queue)
        state = self._balancer.choose(request.avoid)
        if state is None:
            return self._enqueue(request, queue)
        ticket = Ticket(request)
        self._start(ticket, queue, state)
        return Admitted(ticket, state.endpoint)

    def _passes_throttle(self, request: AdmissionRequest) -> bool:
        random_value = self._rng.random()
        return self._throttle.admits(request.priority, request.now_ms, random_value)

    def _class_is_open(self, queue: ClassQueue) -> bool:
        return share_of(self._shares, queue.priority) > 0

    def _must_wait(self, queue: ClassQueue) -> bool:
        return queue.length > 0 or not self._within_share(queue)

    def _within_share(self, queue: ClassQueue) -> bool:
        share = share_of(self._shares, queue.priority)
        if share >= 1.0:
            return True
        if share <= 0.0:
            return False
        return queue.in_flight < max(1.0, share * self._balancer.capacity)

    def _enqueue(
        self, request: AdmissionRequest, queue: ClassQueue
    ) -> Queued | Refused:
        now_ms = request.now_ms
        if not self._balancer.has_endpoints():
            return self._refuse(RefusalReason.NO_ENDPOINT, now_ms)
        limits = self._service.limits
        if queue.length >= limits.queue_length:
            return self._refuse(RefusalReason.QUEUE_FULL, now_ms)
        latest_start_ms = request.deadline_ms - self.expected_ms
        max_wait_ms = queue.max_wait_ms(limits.queue_timeout_ms, now_ms)
        expiry_ms = min(latest_start_ms, now_ms + max_wait_ms)
        wait_ms = queue.expected_wait_ms(self._mean_interval_ms(), now_ms)
        if now_ms + wait_ms > expiry_ms:
            return self._refuse(RefusalReason.DEADLINE, now_ms)
        ticket = Ticket(request)
        self._queues.push(ticket, now_ms, expiry_ms)
        return Queued(ticket)

    def _mean_interval_ms(self) -> float:
        return self._latency.value / max(1.0, self._balancer.capacity)

    def _refuse(self, reason: RefusalReason, now_ms: float) -> Refused:
        return Refused(reason, self.retry_after_ms(reason, now_ms))

    def retry_after_ms(self, reason: RefusalReason, now_ms: float) -> float:
        """Return a jittered time after which a caller may send again."""
        base_ms = DEFAULT_RETRY_AFTER_MS
        completions_per_ms = self._completions.per_ms(now_ms)
        is_closed = reason in (RefusalReason.NO_ENDPOINT, RefusalReason.CLASS_CLOSED)
        if not is_closed and completions_per_ms >= MIN_COMPLETIONS_PER_MS:
            base_ms = (self._queues.waiting() + 1) / completions_per_ms
        base_ms = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, base_ms))
        return base_ms * (0.5 + self._rng.random())

    def _start(self, ticket: Ticket, queue: ClassQueue, state: EndpointState) -> None:
        ticket.state = TicketState.GRANTED
        ticket.endpoint = state.endpoint
        queue.in_flight += 1
        self._balancer.start(state)

    def finish(
        self, ticket: Ticket, outcome: AttemptOutcome, now_ms: float
    ) -> list[QueueResult]:
        """Free the slot of an attempt and record its outcome.

        A ticket that already ended is ignored, so that a late answer can't free
        a slot twice.
        """
        if ticket.state is not TicketState.GRANTED or ticket.endpoint is None:
            return []
        ticket.state = TicketState.DONE
        self._queues.queue(ticket.request.priority).in_flight -= 1
        self._record_outcome(ticket.endpoint, outcome, now_ms)
        return self._serve_queues(now_ms)

    def _record_outcome(
        self, endpoint: Endpoint, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        self._balancer.finish(endpoint, outcome, now_ms)
        if outcome.kind in LIMITER_OUTCOMES and self._throttle.record(outcome, now_ms):
            self._throttle.update_ratio(self._balancer.limits_are_effective(), now_ms)
        if outcome.kind is not OutcomeKind.CANCELLED:
            self._completions.add(now_ms)
        if outcome.kind is OutcomeKind.SUCCESS:
            self._latency.add(outcome.latency_ms)

    def cancel(self, ticket: Ticket, now_ms: float) -> list[QueueResult]:
        """Remove a queued request whose caller disconnected."""
        if ticket.state is TicketState.QUEUED:
            self._queues.queue(ticket.request.priority).remove(ticket, dropped=False)
        return self._serve_queues(now_ms)

    def tick(self, now_ms: float) -> list[QueueResult]:
        """Drop expired requests and grant free slots to queued ones."""
        self._balancer.run_health_checks(now_ms)
        return self._serve_queues(now_ms)

    def next_tick_ms(self) -> float | None:
        """Return the time by which ``tick`` must be called, or None."""
        return self._queues.next_expiry_ms()

    def _serve_queues(self, now_ms: float) -> list[QueueResult]:
        results: list[QueueResult] = []
        for ticket in self._queues.expired(now_ms):
            results.append(self._drop(ticket, now_ms))
        if self._queues.waiting():
            self._grant_all(results, now_ms)
        return results

    def _drop(self, ticket: Ticket, now_ms: float) -> Dropped:
        late = ticket.request.deadline_ms - self.expected_ms <= now_ms
        reason = RefusalReason.DEADLINE if late else RefusalReason.QUEUE_TIMEOUT
        return Dropped(ticket, reason, self.retry_after_ms(reason, now_ms))

    def _grant_all(self, results: list[QueueResult], now_ms: float) -> None:
        while True:
            granted = self._grant_one(now_ms)
            if granted is None:
                return
            results.append(granted)

    def _grant_one(self, now_ms: float) -> Granted | None:
        for queue in self._queues.in_serving_order(self._shares):
            if not self._within_share(queue):
                continue
            ticket = queue.peek(now_ms)
            if ticket is None:
                continue
            state = self._balancer.choose(ticket.request.avoid)
            if state is None:
                continue
            queue.pop(now_ms)
            self._start(ticket, queue, state)
            return Granted(ticket, state.endpoint)
        return None
