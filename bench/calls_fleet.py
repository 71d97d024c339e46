"""A model of a service whose runs call another service, with the node's own decisions.

Orders go to the shop, whose runs each make two calls to the books. Reads and charges go
to the books as well. Each server has a node beside it; callers arrive at all nodes.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from azurestep.mesh.callers.call import MAX_NODES_TRIED
from azurestep.mesh.callers.outbound import SHED_RETRY_AFTER_MS
from azurestep.mesh.callers.own_answers import RETRY_AFTER_JITTER
from azurestep.mesh.callers.placement import TRIES_WITHOUT_WAIT
from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.calling_services import CallerDetector
from azurestep.mesh.decisions.choice import (
    Endpoint,
    EndpointGroup,
    MeanRunTimes,
    SelectionCriteria,
    choose_from_group,
)
from azurestep.mesh.decisions.pressure import (
    LoadShedder,
    PressureReport,
    RefusalMeter,
)
from azurestep.mesh.decisions.returning import (
    Attempt,
    ReturningCallers,
    can_complete,
    limit_wait_ms,
)
from azurestep.mesh.incarnation import Incarnation

SERVERS, SLOTS = 12, 3
WAY_MS = 1.0
TICK_MS, TICKS_PER_REPORT = 100.0, 2
MAX_ATTEMPTS = 4
MIN_PATIENCE_MS = 60.0
"""Time left below which a refused caller gives up."""
RUN_SIGMA = 0.3


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes
    ----------
    steps : tuple
        Run times in ms between the calls that a run makes.
    priorities : tuple of int
        Priorities of its requests, drawn evenly.
    """

    route: str
    service: str
    steps: tuple[float, ...]
    objective_ms: float
    timeout_ms: float
    priorities: tuple[int, ...]


ORDER = Kind("order", "shop", (20.0, 20.0, 20.0), 450.0, 1500.0, (17, 33))
READ = Kind("read", "books", (400.0,), 1200.0, 3000.0, (18, 34))
LESS_URGENT_ORDER = attrs.evolve(ORDER, priorities=(18,))
CHARGE = Kind("charge", "books", (84.0,), 250.0, 800.0, (16,))
"""More urgent than the orders whose calls it competes with."""
LOOKUP = Kind("lookup", "books", (39.0,), 120.0, 500.0, (17,))
"""A call; it has the effective priority of route priority 1 without a team."""
FULL_RATES = {ORDER: 120.0, READ: 66.0}
"""Requests per second of work that fills all slots of the books."""


@attrs.define(eq=False)
class Caller:
    """A caller's request over all its attempts."""

    kind: Kind
    priority: int
    key: tuple[bytes, ...]
    arrived_ms: float
    deadline_ms: float
    attempts: int = 0
    result: str = ""


@attrs.define(eq=False)
class Sent:
    """One attempt at a node: the request that it sends to backend servers."""

    kind: Kind
    priority: int
    node: "Node"
    first_ms: float
    deadline_ms: float
    on_end: Callable[[str, float], None]
    tried: int = 0
    excluded: set[object] = attrs.field(factory=set)
    busy: list[Endpoint] = attrs.field(factory=list)
    may_wait: bool = True
    retry_after_ms: float = 0.0


@attrs.define(eq=False)
class Node:
    """A node with its backend server, and what it knows of the others."""

    number: int
    service: str
    random: Random
    admission: Admission = attrs.field(factory=lambda: Admission(slots=SLOTS))
    detector: CallerDetector = attrs.field(factory=CallerDetector)
    meter: RefusalMeter = attrs.field(factory=RefusalMeter)
    shedder: LoadShedder = attrs.field(factory=LoadShedder)
    returning: ReturningCallers = attrs.field(factory=ReturningCallers)
    run_times: MeanRunTimes = attrs.field(factory=MeanRunTimes)
    groups: dict[str, EndpointGroup] = attrs.field(factory=dict)
    called_routes: set[str] = attrs.field(factory=set)

    def report(self) -> PressureReport:
        """Return what the node tells the others."""
        callers = self.detector.calling_services()
        refusals = self.meter.report(self.service, self.called_routes)
        return PressureReport(self.service, callers, refusals)


class Fleet:
    """All nodes and callers, driven by events in order of time.

    ``has_teams``: requests are shed as where the configuration has teams.
    """

    def __init__(self, seed: int, has_teams: bool = False) -> None:
        self.has_teams = has_teams
        self.random = Random(seed)
        self.now_ms = 0.0
        self.callers: list[Caller] = []
        self.shed = Counter[str]()
        self.rates: dict[Kind, float] = {}
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count()
        self.nodes = [
            Node(number, service, Random(seed * 1000 + number))
            for number, service in enumerate(["shop"] * SERVERS + ["books"] * SERVERS)
        ]
        for node in self.nodes:
            for service in ("shop", "books"):
                node.groups[service] = EndpointGroup(
                    [
                        Endpoint(
                            other.number, service, Incarnation(b"", 0), "a", slots=SLOTS
                        )
                        for other in self.nodes
                        if other.service == service
                    ],
                )
        self._tick(0)

    def at(self, time_ms: float, act: Callable[..., None], *arguments: object) -> None:
        """Schedule an event."""
        event = (max(time_ms, self.now_ms), next(self._numbers), act, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_ms: float, rates: dict[Kind, float]) -> None:
        """Play the events up to a time, with arrivals at the rates per second."""
        self.rates = rates
        for kind, rate in rates.items():
            time_ms = self.now_ms + self.random.expovariate(rate / 1000)
            while time_ms < until_ms:
                self.at(time_ms, self._arrive, kind)
                time_ms += self.random.expovariate(rate / 1000)
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        self.now_ms = until_ms

    def close_servers(self, service: str, count: int) -> None:
        """Let servers of a service take no further requests."""
        closed = [one.number for one in self.nodes if one.service == service][:count]
        for node in self.nodes:
            for endpoint in node.groups[service]:
                endpoint.open = endpoint.open and endpoint.key not in closed

    def _tick(self, number: int) -> None:
        reports = [node.report() for node in self.nodes]
        for node in self.nodes:
            node.meter.tick()
            for other in self.nodes:
                node.called_routes.update(other.detector.called_routes())
            if number % TICKS_PER_REPORT == 0:
                for group in node.groups.values():
                    for endpoint in group:
                        other = self.nodes[int(str(endpoint.key))]
                        endpoint.update_load(other.admission.in_flight)
                node.shedder.update(reports)
                node.returning.expire(self.now_ms)
            self._scan(node)
        self.at(self.now_ms + TICK_MS, self._tick, number + 1)

    # Callers.

    def _arrive(self, kind: Kind) -> None:
        number = len(self.callers)
        deadline_ms = self.now_ms + kind.timeout_ms
        priority = self.random.choice(kind.priorities)
        key = (b"GET", kind.service.encode(), b"/%d" % number)
        caller = Caller(kind, priority, key, self.now_ms, deadline_ms)
        self.callers.append(caller)
        self._ask(caller, self.random.choice(self.nodes))

    def _ask(self, caller: Caller, node: Node) -> None:
        caller.attempts += 1
        first_ms = node.returning.pop_first_attempt_ms(
            caller.key, self.now_ms, caller.deadline_ms
        )
        returning = first_ms < self.now_ms
        attempt = Attempt(caller.key, first_ms, caller.deadline_ms, returning)
        kind = caller.kind
        shed_ratio = node.shedder.shed_ratio(kind.service, caller.priority)
        if self.has_teams:
            urgent_ratio = node.shedder.urgent_shed_ratio(kind.service, caller.priority)
            shed_ratio = max(shed_ratio, urgent_ratio)
        if node.random.random() < shed_ratio:
            self.shed[kind.route] += 1
            node.returning.add(attempt)
            self._refused(caller, node, SHED_RETRY_AFTER_MS / (1 - shed_ratio))
            return

        def on_end(result: str, retry_after_ms: float) -> None:
            if result == "refused":
                node.returning.add(attempt)
                self._refused(caller, node, retry_after_ms)
            else:
                late = self.now_ms > caller.arrived_ms + kind.objective_ms
                caller.result = "late" if result == "good" and late else result

        self._send(
            Sent(kind, caller.priority, node, first_ms, caller.deadline_ms, on_end)
        )

    def _refused(self, caller: Caller, node: Node, retry_after_ms: float) -> None:
        """Let a refused caller ask again, or give up."""
        jitter = 1 + RETRY_AFTER_JITTER * (2 * node.random.random() - 1)
        left_ms = caller.deadline_ms - self.now_ms
        wait_ms = limit_wait_ms(retry_after_ms, left_ms, RETRY_AFTER_JITTER) * jitter
        if wait_ms > left_ms / 3:
            wait_ms = self.random.uniform(0.1, 1.0) * left_ms / 3
        if caller.attempts >= MAX_ATTEMPTS or left_ms - wait_ms < MIN_PATIENCE_MS:
            caller.result = "refused"
        else:
            self.at(self.now_ms + wait_ms, self._ask, caller, node)

    # Nodes of callers.

    def _send(self, sent: Sent) -> None:
        node, kind = sent.node, sent.kind
        node.meter.record_offered(kind.route, kind.service, sent.priority)
        self._dispatch(sent)

    def _dispatch(self, sent: Sent) -> None:
        node, kind, now_ms = sent.node, sent.kind, self.now_ms
        objective_ms = sent.first_ms + kind.objective_ms - now_ms
        known_ms = node.run_times.get_or_zero(kind.route)
        if not can_complete(sent.deadline_ms - now_ms, known_ms):
            self._give_up(sent)
            return
        mean_ms = node.run_times.get(kind.route)
        criteria = SelectionCriteria(
            kind.service, kind.route, objective_ms, mean_ms, 0.0, "a"
        )
        endpoint = self._choose(sent, criteria)
        if endpoint is None:
            self._give_up(sent)
            return
        sent.tried += 1
        endpoint.own_in_flight += 1
        other = self.nodes[int(str(endpoint.key))]
        self.at(now_ms + WAY_MS, self._admit, other, sent, endpoint)

    def _choose(self, sent: Sent, criteria: SelectionCriteria) -> Endpoint | None:
        """Ask for a free slot first, as ``EndpointSelector`` does."""
        group, random = sent.node.groups[criteria.service], sent.node.random
        sent.may_wait = len(sent.busy) >= TRIES_WITHOUT_WAIT
        if not sent.may_wait:
            excluded = sent.excluded.union(one.key for one in sent.busy)
            found = choose_from_group(group, criteria, excluded, self.now_ms, random)
            if found is not None:
                return found
            sent.may_wait = True
        return choose_from_group(
            group, criteria, sent.excluded, self.now_ms, random, asked=sent.busy
        )

    def _give_up(self, sent: Sent) -> None:
        sent.node.meter.record_refused(sent.kind.route)
        sent.on_end("refused", sent.retry_after_ms)

    # Nodes of backend servers.

    def _admit(self, node: Node, sent: Sent, endpoint: Endpoint) -> None:
        kind, now_ms = sent.kind, self.now_ms
        node.detector.record_request(
            kind.route, sent.priority, sent.node.service.encode()
        )
        fleet_ms = sent.node.run_times.get_or_zero(kind.route)
        if fleet_ms:
            node.admission.set_fleet_mean(kind.route, fleet_ms)
        objective_ms = sent.first_ms + kind.objective_ms
        ticket = Ticket(
            kind.route,
            sent.priority,
            now_ms,
            objective_ms,
            sent.deadline_ms,
            owner=(sent, endpoint),
            is_call=node.detector.is_called(kind.route, node.service),
        )
        decision = node.admission.admit(ticket, now_ms)
        if isinstance(decision, Refused):
            self._refuse(node, ticket)
        elif decision:
            self._start(node, ticket)
        elif not sent.may_wait:
            node.admission.remove(ticket)
            self._refuse(node, ticket)

    def _refuse(self, node: Node, ticket: Ticket) -> None:
        after_ms = node.admission.estimate_retry_after_ms(self.now_ms)
        in_flight = node.admission.in_flight
        self.at(self.now_ms + WAY_MS, self._on_refusal, ticket, in_flight, after_ms)

    def _on_refusal(self, ticket: Ticket, in_flight: int, after_ms: float) -> None:
        sent, endpoint = ticket.owner  # type: ignore[misc]
        endpoint.own_in_flight -= 1
        endpoint.record_refusal(in_flight, after_ms, self.now_ms)
        if sent.may_wait:
            sent.excluded.add(endpoint.key)
        else:
            sent.busy.append(endpoint)
        sent.retry_after_ms = after_ms
        if sent.tried < MAX_NODES_TRIED:
            self._dispatch(sent)
        else:
            self._give_up(sent)

    def _scan(self, node: Node) -> None:
        for late in node.admission.find_expiring(self.now_ms):
            node.admission.remove(late)
            self._refuse(node, late)
        while (ready := node.admission.start_next(self.now_ms)) is not None:
            self._start(node, ready)

    def _start(self, node: Node, ticket: Ticket) -> None:
        self._step(node, ticket, self.now_ms, 0)

    def _step(self, node: Node, ticket: Ticket, started_ms: float, step: int) -> None:
        """Run the next part of a run, which the next call ends."""
        sent = ticket.owner[0]  # type: ignore[index]
        drawn = self.random.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
        part_ms = sent.kind.steps[step] * drawn
        last = step + 1 == len(sent.kind.steps)
        if last:
            self.at(self.now_ms + part_ms, self._end, node, ticket, started_ms, "good")
            return

        def on_call_end(result: str, _: float) -> None:
            if result == "good":
                self._step(node, ticket, started_ms, step + 1)
            else:
                self._end(node, ticket, started_ms, "failed")

        def call() -> None:
            deadline_ms = self.now_ms + LOOKUP.timeout_ms
            self._send(
                Sent(
                    LOOKUP,
                    LOOKUP.priorities[0],
                    node,
                    self.now_ms,
                    deadline_ms,
                    on_call_end,
                )
            )

        self.at(self.now_ms + part_ms, call)

    def _end(self, node: Node, ticket: Ticket, started_ms: float, result: str) -> None:
        sent, endpoint = ticket.owner  # type: ignore[misc]
        run_ms = self.now_ms - started_ms
        node.admission.remove(ticket)
        if result == "good":
            node.admission.record_run(sent.kind.route, run_ms)
        self._scan(node)
        mean_ms = node.admission.mean_run_ms(sent.kind.route)
        in_flight = node.admission.in_flight

        def answer() -> None:
            endpoint.own_in_flight -= 1
            endpoint.update_load(in_flight)
            if result == "good":
                endpoint.mean_run_ms[sent.kind.route] = mean_ms
                sent.node.run_times.record_run(sent.kind.route, mean_ms)
            late = self.now_ms > sent.first_ms + sent.kind.objective_ms
            if late and started_ms - ticket.arrived_ms > run_ms:
                sent.node.meter.record_late(sent.kind.route)
            on_time = self.now_ms <= sent.deadline_ms
            sent.on_end(result if on_time else "failed", 0.0)

        self.at(self.now_ms + WAY_MS, answer)
