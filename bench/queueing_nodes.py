"""Nodes for the queueing model: the decision code and the baselines."""

import itertools
import random

import attrs

from azurestep.balancing import (
    Admission,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Dropped,
    FailedAttempt,
    Granted,
    LoadReport,
    OutcomeKind,
    Queued,
    QueueResult,
    Retry,
    RetryBudget,
    Ticket,
    decide_retry,
)
from azurestep.config.model import ClassShares, Service

from .queueing_model import (
    LOCAL_ONE_WAY_MS,
    REMOTE_ONE_WAY_MS,
    CallerRequest,
    FakeBackendServer,
    Job,
    Timeline,
)

TICK_MS = 50.0


@attrs.define(eq=False)
class Node:
    """Common part: sending an attempt, giving up at the deadline."""

    timeline: Timeline
    data_centre: str
    servers: list[FakeBackendServer]
    source: random.Random

    def arrive(self, request: CallerRequest) -> None:
        """Take a caller's request."""
        raise NotImplementedError

    def end(self, request: CallerRequest, result: str) -> None:
        """Answer the caller."""
        if not request.result:
            request.result = result
            request.ended_ms = self.timeline.now_ms

    def send(self, request: CallerRequest, server: FakeBackendServer, answer) -> None:
        """Send an attempt; ``answer`` gets its outcome, once."""
        local = server.endpoint.data_centre == self.data_centre
        one_way_ms = LOCAL_ONE_WAY_MS if local else REMOTE_ONE_WAY_MS

        def conclude(job: Job, kind: OutcomeKind) -> None:
            if job.done:
                return
            job.done = True
            answer(kind, self.timeline.now_ms - job.sent_ms)

        def give_up(job: Job) -> None:
            if job.done:
                return
            server.cancel(job)
            answer(OutcomeKind.TIMEOUT, self.timeline.now_ms - job.sent_ms)

        job = Job(conclude, one_way_ms, self.timeline.now_ms)
        request.attempts += 1
        request.tried = (*request.tried, server.endpoint.key)
        server.send(job)
        self.timeline.at(request.deadline_ms, give_up, job)


RESULTS = {
    OutcomeKind.SUCCESS: "good",
    OutcomeKind.TIMEOUT: "late",
    OutcomeKind.SHED: "refused",
}


@attrs.define(eq=False)
class BaselineNode(Node):
    """Sends at once, without limits.

    Attributes
    ----------
    rule : str
        ``random``, ``round_robin`` or ``reported_load``.
    retries : int
        Blind retries of idempotent requests after a failure.
    """

    rule: str
    retries: int = 0
    reported: dict = attrs.field(factory=dict)
    _turn: itertools.count = attrs.field(factory=itertools.count)

    def arrive(self, request: CallerRequest) -> None:
        """Send to whichever backend server the rule gives."""

        def answer(kind: OutcomeKind, _: float) -> None:
            again = request.idempotent or kind is OutcomeKind.SHED
            failed = kind in (OutcomeKind.ERROR, OutcomeKind.SHED)
            if failed and again and request.attempts <= self.retries:
                self.arrive(request)
                return
            self.end(request, RESULTS.get(kind, "error"))

        self.send(request, self._choose(), answer)

    def _choose(self) -> FakeBackendServer:
        if self.rule == "random":
            return self.source.choice(self.servers)
        if self.rule == "round_robin":
            return self.servers[next(self._turn) % len(self.servers)]
        lowest = min(self.reported.get(s.endpoint.key, 0.0) for s in self.servers)
        lowest_ones = [
            s
            for s in self.servers
            if self.reported.get(s.endpoint.key, 0.0) <= lowest + 0.01
        ]
        return self.source.choice(lowest_ones)

    def report(self, report: LoadReport) -> None:
        """Believe a load report."""
        self.reported[report.key] = report.load if report.healthy else 2.0


@attrs.define(eq=False)
class DecisionNode(Node):
    """Asks the decision code."""

    service: Service
    admission: Admission
    budget: RetryBudget
    _pending: dict[Ticket, CallerRequest] = attrs.field(factory=dict)
    _by_key: dict = attrs.field(factory=dict)

    def prepare(self) -> None:
        """Announce the backend servers and begin to tick."""
        self._by_key = {server.endpoint.key: server for server in self.servers}
        endpoints = [server.endpoint for server in self.servers]
        self.admission.replace_endpoints(endpoints, self.timeline.now_ms)
        self._tick()

    def _tick(self) -> None:
        now_ms = self.timeline.now_ms
        self._take(self.admission.tick(now_ms))
        self.timeline.at(now_ms + TICK_MS, self._tick)

    def report(self, report: LoadReport) -> None:
        """Pass a load report on as a hint."""
        self.admission.report(report)

    def arrive(self, request: CallerRequest) -> None:
        """Ask for admission of a first attempt."""
        self.budget.earn()
        self._ask(request)

    def _ask(self, request: CallerRequest) -> None:
        now_ms = self.timeline.now_ms
        arrived = AdmissionRequest(
            request.priority, now_ms, request.deadline_ms, request.tried
        )
        decision = self.admission.request(arrived)
        if isinstance(decision, Admitted):
            self._send(decision.ticket, request)
        elif isinstance(decision, Queued):
            self._pending[decision.ticket] = request
            due_ms = self.admission.next_tick_ms()
            if due_ms is not None and due_ms < now_ms + TICK_MS:
                self.timeline.at(due_ms, self._expire)
        else:
            self.end(request, "refused")

    def _expire(self) -> None:
        self._take(self.admission.tick(self.timeline.now_ms))

    def _take(self, results: list[QueueResult]) -> None:
        for result in results:
            request = self._pending.pop(result.ticket)
            if isinstance(result, Granted):
                self._send(result.ticket, request)
            elif isinstance(result, Dropped):
                self.end(request, "refused")

    def _send(self, ticket: Ticket, request: CallerRequest) -> None:
        def answer(kind: OutcomeKind, latency_ms: float) -> None:
            now_ms = self.timeline.now_ms
            outcome = AttemptOutcome(kind, latency_ms)
            results = self.admission.finish(ticket, outcome, now_ms)
            self._conclude(request, kind)
            self._take(results)

        self.send(request, self._by_key[ticket.endpoint.key], answer)

    def _conclude(self, request: CallerRequest, kind: OutcomeKind) -> None:
        now_ms = self.timeline.now_ms
        if kind is OutcomeKind.SUCCESS:
            self.end(request, "good")
            return
        attempt = FailedAttempt(
            kind=kind,
            attempts=request.attempts,
            idempotent=request.idempotent,
            bytes_delivered=0,
            remaining_ms=request.deadline_ms - now_ms,
            estimated_ms=self.admission.expected_ms,
        )
        rule = self.service.retry
        if isinstance(decide_retry(attempt, rule, self.budget, now_ms), Retry):
            self._ask(request)
            return
        self.end(request, RESULTS.get(kind, "error"))


def decision_node(
    node: Node, instance: str, service: Service, **options
) -> DecisionNode:
    """Return a node that asks the decision code, at the place of another."""
    admission = Admission(
        service, ClassShares(), node.data_centre, instance, node.source, **options
    )
    budget = RetryBudget(service.retry.budget_ratio)
    decided = DecisionNode(
        node.timeline,
        node.data_centre,
        node.servers,
        node.source,
        service,
        admission,
        budget,
    )
    decided.prepare()
    return decided
