"""Admission of requests to one service: limits, queues and refusals."""

import random
from collections.abc import Iterable

from ..config.model import ClassShares, Service
from .choice import Balancer
from .endpoint_state import LIMIT_KINDS, EndpointState
from .limiter import LimiterKind
from .messages import (
    Admitted,
    Decision,
    Dropped,
    Endpoint,
    Granted,
    LoadReport,
    Outcome,
    OutcomeKind,
    Queued,
    RefusalReason,
    Refused,
    Release,
    RequestArrived,
    Ticket,
    TicketState,
)
from .queueing import ClassQueue, Discipline, WaitingRoom, share_of
from .rates import RateMeter, SmoothedMean
from .throttle import Throttle

RETRY_AFTER_MINIMUM_MS = 50.0
RETRY_AFTER_MAXIMUM_MS = 10_000.0
RETRY_AFTER_DEFAULT_MS = 1000.0
SLOWEST_DRAIN_PER_MS = 0.001


class Admission:
    """Decides for each request of one service: send, wait or refuse.

    Parameters
    ----------
    service : Service
        Rules of the service.
    shares : ClassShares
        Class shares of the preset in force.
    data_centre, instance : str
        Where this node runs.
    source : random.Random
        Source of the random choices and of jitter.
    limiter : LimiterKind or None
        How limits adapt; None follows the service's rule.
    discipline : Discipline
        Order of the queues.
    throttled : bool
        Whether a share of requests is refused early where limits can't bite.
    """

    def __init__(
        self,
        service: Service,
        shares: ClassShares,
        data_centre: str,
        instance: str,
        source: random.Random,
        *,
        limiter: LimiterKind | None = None,
        discipline: Discipline = Discipline.CONTROLLED_DELAY,
        throttled: bool = True,
    ) -> None:
        self._service = service
        self._shares = shares
        self._source = source
        self._balancer = Balancer(service, data_centre, instance, source, limiter)
        self._room = WaitingRoom(discipline)
        self._drain = RateMeter()
        self._latency = SmoothedMean()
        self._throttle = Throttle()
        self._may_throttle = throttled
        self._throttled = service.limits.adaptive and throttled

    @property
    def balancer(self) -> Balancer:
        """Choice among the backend servers, for status pages."""
        return self._balancer

    @property
    def latency_ms(self) -> float:
        """Smoothed latency of the service's answers; 0 before the first one."""
        return self._latency.value

    @property
    def expected_ms(self) -> float:
        """Time that an attempt should be given: mean latency plus deviation."""
        return self._latency.value + self._latency.deviation

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._room.waiting()

    def configure(
        self, service: Service, shares: ClassShares, now_ms: float
    ) -> list[Release]:
        """Take over the rules of another configuration version or preset."""
        self._service = service
        self._shares = shares
        self._throttled = service.limits.adaptive and self._may_throttle
        self._balancer.configure(service, now_ms)
        return self.tick(now_ms)

    def replace_endpoints(
        self, endpoints: Iterable[Endpoint], now_ms: float
    ) -> list[Release]:
        """Take over the directory's present list of the service."""
        self._balancer.replace(endpoints, now_ms)
        return self.tick(now_ms)

    def report(self, report: LoadReport) -> None:
        """Take a backend server's own word as a hint."""
        self._balancer.report(report)

    def request(self, request: RequestArrived) -> Decision:
        """Decide on a request or on a further attempt at one."""
        now_ms = request.now_ms
        self._balancer.review(now_ms)
        if now_ms >= request.deadline_ms:
            return self._refuse(RefusalReason.DEADLINE, now_ms)
        queue = self._room.queue(request.priority)
        if not self._class_is_open(queue):
            return self._refuse(RefusalReason.CLASS_CLOSED, now_ms)
        if self._throttled and not self._passes(request):
            return self._refuse(RefusalReason.OVERLOAD, now_ms)
        if self._waits_first(queue):
            return self._enqueue(request, queue)
        state = self._balancer.choose(request.avoid)
        if state is None:
            return self._enqueue(request, queue)
        ticket = Ticket(request)
        self._start(ticket, queue, state)
        return Admitted(ticket, state.endpoint)

    def _passes(self, request: RequestArrived) -> bool:
        drawn = self._source.random()
        return self._throttle.passes(request.priority, request.now_ms, drawn)

    def _class_is_open(self, queue: ClassQueue) -> bool:
        return share_of(self._shares, queue.priority) > 0

    def _waits_first(self, queue: ClassQueue) -> bool:
        return queue.length > 0 or not self._within_share(queue)

    def _within_share(self, queue: ClassQueue) -> bool:
        share = share_of(self._shares, queue.priority)
        if share >= 1.0:
            return True
        if share <= 0.0:
            return False
        return queue.in_flight < max(1.0, share * self._balancer.capacity)

    def _enqueue(self, request: RequestArrived, queue: ClassQueue) -> Queued | Refused:
        now_ms = request.now_ms
        if not self._balancer.knows_any():
            return self._refuse(RefusalReason.NO_ENDPOINT, now_ms)
        limits = self._service.limits
        if queue.length >= limits.queue_length:
            return self._refuse(RefusalReason.QUEUE_FULL, now_ms)
        latest_ms = request.deadline_ms - self.expected_ms
        allowed_ms = queue.allowed_wait_ms(limits.queue_timeout_ms, now_ms)
        expiry_ms = min(latest_ms, now_ms + allowed_ms)
        wait_ms = queue.expected_wait_ms(self._usual_interval_ms(), now_ms)
        if now_ms + wait_ms > expiry_ms:
            return self._refuse(RefusalReason.DEADLINE, now_ms)
        ticket = Ticket(request)
        self._room.push(ticket, now_ms, expiry_ms)
        return Queued(ticket)

    def _usual_interval_ms(self) -> float:
        return self._latency.value / max(1.0, self._balancer.capacity)

    def _refuse(self, reason: RefusalReason, now_ms: float) -> Refused:
        return Refused(reason, self.retry_after_ms(reason, now_ms))

    def retry_after_ms(self, reason: RefusalReason, now_ms: float) -> float:
        """Return a jittered time after which a caller may ask again."""
        base_ms = RETRY_AFTER_DEFAULT_MS
        drain = self._drain.per_ms(now_ms)
        shut = reason in (RefusalReason.NO_ENDPOINT, RefusalReason.CLASS_CLOSED)
        if not shut and drain >= SLOWEST_DRAIN_PER_MS:
            base_ms = (self._room.waiting() + 1) / drain
        base_ms = max(RETRY_AFTER_MINIMUM_MS, min(RETRY_AFTER_MAXIMUM_MS, base_ms))
        return base_ms * (0.5 + self._source.random())

    def _start(self, ticket: Ticket, queue: ClassQueue, state: EndpointState) -> None:
        ticket.state = TicketState.GRANTED
        ticket.endpoint = state.endpoint
        queue.in_flight += 1
        self._balancer.start(state)

    def finish(self, ticket: Ticket, outcome: Outcome, now_ms: float) -> list[Release]:
        """Free the slot of an attempt and learn from its outcome.

        A ticket that already ended is ignored, so that a late answer can't free
        a slot twice.
        """
        if ticket.state is not TicketState.GRANTED or ticket.endpoint is None:
            return []
        ticket.state = TicketState.DONE
        self._room.queue(ticket.request.priority).in_flight -= 1
        self._learn(ticket.endpoint, outcome, now_ms)
        return self._release(now_ms)

    def _learn(self, endpoint: Endpoint, outcome: Outcome, now_ms: float) -> None:
        self._balancer.finish(endpoint, outcome, now_ms)
        if outcome.kind in LIMIT_KINDS and self._throttle.collect(outcome, now_ms):
            self._throttle.judge(self._balancer.limits_bite(), now_ms)
        if outcome.kind is not OutcomeKind.CANCELLED:
            self._drain.add(now_ms)
        if outcome.kind is OutcomeKind.SUCCESS:
            self._latency.add(outcome.latency_ms)

    def cancel(self, ticket: Ticket, now_ms: float) -> list[Release]:
        """Take out a waiting request whose caller went away."""
        if ticket.state is TicketState.QUEUED:
            self._room.queue(ticket.request.priority).forget(ticket, dropped=False)
        return self._release(now_ms)

    def tick(self, now_ms: float) -> list[Release]:
        """Drop what can't make its deadline and serve what can be served."""
        self._balancer.review(now_ms)
        return self._release(now_ms)

    def next_tick_ms(self) -> float | None:
        """Return when ``tick`` has to be called at the latest, or None."""
        return self._room.next_expiry_ms()

    def _release(self, now_ms: float) -> list[Release]:
        releases: list[Release] = []
        for ticket in self._room.expired(now_ms):
            releases.append(self._drop(ticket, now_ms))
        if self._room.waiting():
            self._grant_all(releases, now_ms)
        return releases

    def _drop(self, ticket: Ticket, now_ms: float) -> Dropped:
        late = ticket.request.deadline_ms - self.expected_ms <= now_ms
        reason = RefusalReason.DEADLINE if late else RefusalReason.QUEUE_TIMEOUT
        return Dropped(ticket, reason, self.retry_after_ms(reason, now_ms))

    def _grant_all(self, releases: list[Release], now_ms: float) -> None:
        while True:
            granted = self._grant_one(now_ms)
            if granted is None:
                return
            releases.append(granted)

    def _grant_one(self, now_ms: float) -> Granted | None:
        for queue in self._room.order(self._shares):
            if not self._within_share(queue):
                continue
            ticket = queue.next_ticket(now_ms)
            if ticket is None:
                continue
            state = self._balancer.choose(ticket.request.avoid)
            if state is None:
                continue
            queue.take(now_ms)
            self._start(ticket, queue, state)
            return Granted(ticket, state.endpoint)
        return None
