"""Backend servers of varying speed, as discrete events around the node's decisions.

Callers arrive at all nodes. Each node knows the load of the other servers by reports,
chooses with ``EndpointSelector``, and the node beside a server admits with
``Admission``. Servers differ in speed, and some are slower for a while.
"""

import heapq
import itertools
import statistics
from collections.abc import Callable, Iterator
from random import Random
from types import SimpleNamespace
from typing import Any

import attrs

from azurestep.mesh.callers.call import MAX_NODES_TRIED
from azurestep.mesh.callers.placement import EndpointSelector
from azurestep.mesh.decisions import speed as speeds
from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.cadence import REMOTE_REPORTS_PER_S, report_interval_ms
from azurestep.mesh.decisions.choice import (
    Endpoint,
    EndpointGroup,
    MeanRunTimes,
    SelectionCriteria,
)
from azurestep.mesh.decisions.rollout_table import RolloutTable
from azurestep.mesh.decisions.speed import UsualRatio, WorkSpeed, to_normal_ms
from azurestep.mesh.incarnation import Incarnation

SERVICE, ROUTE = "songs", "read"
SERVERS, DATA_CENTRES, SLOTS = 36, 3, 5
SPEEDS = (0.55, 1.2, 1.2, 1.2)
SLOW_RATIO, SLOW_SHARE, SLOW_MS = 2.5, 0.15, 600.0
NORMAL_MS = SLOW_MS * (1 - SLOW_SHARE) / SLOW_SHARE
WORK_MS, WORK_SIGMA = 200.0, 0.5
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
MEAN_WORK_MS = WORK_MS * (1 + LONG_SHARE * (LONG_FACTOR - 1))
OBJECTIVE_MS, DEADLINE_MS = 685.0, 2000.0
LOCAL_REPORT_MS = 300.0
REMOTE_REPORT_MS = report_interval_ms(
    SERVERS - SERVERS // DATA_CENTRES, REMOTE_REPORTS_PER_S
)
LOCAL_WAY_MS, REMOTE_WAY_MS = 0.5, 3.0
SIZE_KIB = 1.5
LENGTH_MS, WARM_UP_MS = 12_000.0, 2000.0


@attrs.frozen
class Fleet:
    """The servers, and how often they report their load.

    Attributes
    ----------
    speeds : tuple of float
        Speeds of the servers of a data centre, one after the other, repeated.
    skips_unchanged : bool
        Whether a server sends no report while its load is that of the last one.
    """

    servers: int = SERVERS
    data_centres: int = DATA_CENTRES
    speeds: tuple[float, ...] = SPEEDS
    local_report_ms: float = LOCAL_REPORT_MS
    remote_report_ms: float = REMOTE_REPORT_MS
    length_ms: float = LENGTH_MS
    skips_unchanged: bool = False


@attrs.frozen
class Way:
    """Who uses the ratio, and how.

    Attributes
    ----------
    stated : bool
        Whether the servers state a ratio at all.
    by_admission, by_peers, by_remote : bool
        Whether the node beside the server, the other nodes of its data centre, and
        those of other data centres use it.
    includes_speed : bool
        Whether the ratio also tells the lasting speed of the server.
    resent : bool
        Whether a lasting ratio is sent again once it has lost its weight at peers.
    full_weight_ms, no_weight_ms : float
        Ages between which the ratio loses its weight.
    load_memory_ms : float or None
        Time in which a load report loses its weight; None if it keeps it.
    at_once : bool
        Whether all nodes know the true ratio at any time, as the limit of what messages
        could do.
    slow_waits : bool
        Whether admission multiplies the wait in its queue by the ratio, too.
    large_change : float
        Relative change from which peers are sent news.
    slow_queues : bool
        Whether the choice multiplies the wait at other servers by the ratio, too.
    related : bool
        Whether the ratio is taken relative to the usual one of the server.
    late_share : float
        Share of the load reports that are left out, as on a congested link.
    """

    name: str
    stated: bool = True
    by_admission: bool = True
    by_peers: bool = True
    by_remote: bool = False
    includes_speed: bool = False
    resent: bool = True
    full_weight_ms: float = speeds.FULL_WEIGHT_MS
    no_weight_ms: float = speeds.NO_WEIGHT_MS
    load_memory_ms: float | None = None
    at_once: bool = False
    slow_waits: bool = True
    large_change: float = speeds.LARGE_CHANGE
    slow_queues: bool = False
    related: bool = True
    late_share: float = 0.0


class StaleEndpoint(Endpoint):
    """A backend server whose load report loses weight when it is old.

    Without a report, the load is taken to be that of a server with all slots in use
    but one.
    """

    reported_ms = 0.0
    interval_ms = LOCAL_REPORT_MS
    memory_ms = 0.0
    clock: Any = None

    def update_load(self, in_flight: int, now_ms: float = 0.0) -> None:
        """Apply a report of the requests in flight there."""
        super().update_load(in_flight, now_ms)
        self.reported_ms = self.clock.now_ms

    @property
    def load(self) -> float:
        """Estimate of the requests that run or wait there now."""
        told = max(
            self.own_in_flight,
            self.in_flight - self.own_in_flight_at_report + self.own_in_flight,
        )
        overdue_ms = self.clock.now_ms - self.reported_ms - self.interval_ms
        if overdue_ms <= 0:
            return told
        weight = self.memory_ms / (self.memory_ms + overdue_ms)
        return max(self.own_in_flight, weight * told + (1 - weight) * (SLOTS - 1))


class SlowQueueEndpoint(Endpoint):
    """A backend server whose queue advances as slowly as its runs."""

    clock: Any = None

    def start_interval_ms(self, run_ms: float) -> float:
        """Return the time between two starts while all its slots are in use."""
        usual_ms = super().start_interval_ms(run_ms)
        return usual_ms * self.speed.ratio(self.clock.now_ms)


class TrueSpeed(WorkSpeed):
    """The ratio that a server has, without a statement."""

    server: Any = None

    def ratio(self, now_ms: float) -> float:
        """Return how long work takes now relative to normal."""
        return self.server.ratio(now_ms)


class NormalWaits(Admission):
    """Admission that takes queues to advance at normal speed."""

    def _estimate_wait_ms(self, ahead_ms: float, slots: float, now_ms: float) -> float:
        slow_ms = super()._estimate_wait_ms(ahead_ms, slots, now_ms)
        return slow_ms / self.speed.ratio(now_ms)


@attrs.define(eq=False)
class Server:
    """One backend server with the admission of the node beside it."""

    index: int
    speed: float
    random: Random
    data_centre: str
    admission: Admission = attrs.field(factory=lambda: Admission(slots=SLOTS))
    sent_speed: WorkSpeed = attrs.field(factory=WorkSpeed)
    sent_ratio: float = 1.0
    usual: UsualRatio = attrs.field(factory=UsualRatio)
    stated: WorkSpeed = attrs.field(factory=WorkSpeed)
    _changes_ms: list[float] = attrs.field(factory=list)

    def ratio(self, at_ms: float) -> float:
        """Return how long work takes relative to normal at a time."""
        return SLOW_RATIO if self._phase(at_ms) % 2 else 1.0

    def _phase(self, at_ms: float) -> int:
        """Return the number of the phase at a time; odd ones are slow."""
        changes = self._changes_ms
        if not changes:
            changes.append(self.random.uniform(0.0, NORMAL_MS))
        while changes[-1] <= at_ms:
            slow = len(changes) % 2
            changes.append(
                changes[-1]
                + (SLOW_MS if slow else self.random.expovariate(1 / NORMAL_MS))
            )
        return next(
            index
            for index in range(len(changes) - 1, -1, -1)
            if index == 0 or changes[index - 1] <= at_ms
        )

    def end_ms(self, start_ms: float, work_ms: float) -> float:
        """Return when work ends that starts at a time."""
        at_ms = start_ms
        while True:
            phase = self._phase(at_ms)
            rate = self.speed / (SLOW_RATIO if phase % 2 else 1.0)
            until_ms = self._changes_ms[phase]
            if work_ms <= (until_ms - at_ms) * rate:
                return at_ms + work_ms / rate
            work_ms -= (until_ms - at_ms) * rate
            at_ms = until_ms


@attrs.define(eq=False)
class Node:
    """What one node knows of all backend servers."""

    index: int
    data_centre: str
    group: EndpointGroup = attrs.field(factory=EndpointGroup)
    endpoints: list[Endpoint] = attrs.field(factory=list)
    mean_run_times: MeanRunTimes = attrs.field(factory=MeanRunTimes)


@attrs.define(eq=False)
class Asking:
    """One request on its way."""

    node: Node
    selector: EndpointSelector
    sent_ms: float
    work_ms: float
    size_kib: float = SIZE_KIB
    tries: int = 0
    counted_from_ms: float = WARM_UP_MS

    @property
    def counts(self) -> bool:
        """Whether it came after the warm-up."""
        return self.sent_ms >= self.counted_from_ms


@attrs.frozen
class Outcome:
    """What callers saw, as shares of all requests, and messages about speeds."""

    in_time: float
    served: float
    refused: float
    mean_ms: float
    messages_per_s: float


@attrs.define(eq=False)
class Model:
    """Discrete events of one run."""

    way: Way
    utilization: float
    seed: int
    fleet: Fleet = attrs.field(factory=Fleet)
    random: Random = attrs.field(init=False)
    work: Random = attrs.field(init=False)
    servers: list[Server] = attrs.field(init=False)
    nodes: list[Node] = attrs.field(init=False)
    answers_ms: list[float] = attrs.field(factory=list)
    refused: int = 0
    offered: int = 0
    messages: int = 0
    counted_from_ms: float = WARM_UP_MS
    now_ms: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.random, self.work = Random(self.seed), Random(f"{self.seed} work")
        count = self.fleet.servers
        self.servers = [self._make_server(index) for index in range(count)]
        self.nodes = [Node(one.index, one.data_centre) for one in self.servers]
        for node, server in itertools.product(self.nodes, self.servers):
            self._introduce(node, server)

    def _make_server(self, index: int) -> Server:
        row, column = divmod(index, self.fleet.data_centres)
        speed = self.fleet.speeds[row % len(self.fleet.speeds)]
        server = Server(index, speed, Random(f"{self.seed} {index}"), f"dc-{column}")
        if not self.way.slow_waits:
            server.admission = NormalWaits(slots=SLOTS)
        if self.way.at_once:
            server.stated = TrueSpeed()
            server.stated.server = server
            server.admission.speed = server.stated
        return server

    def _introduce(self, node: Node, server: Server) -> None:
        fields: Any = (
            server.index,
            SERVICE,
            Incarnation(b"%d" % server.index),
            server.data_centre,
        )
        local = node.data_centre == server.data_centre
        if self.way.slow_queues:
            endpoint: Endpoint = SlowQueueEndpoint(*fields, slots=SLOTS)
            endpoint.clock = self  # type: ignore[attr-defined]
        elif self.way.load_memory_ms is None:
            endpoint = Endpoint(*fields, slots=SLOTS)
        else:
            endpoint = StaleEndpoint(*fields, slots=SLOTS)
            endpoint.clock = self
            endpoint.memory_ms = self.way.load_memory_ms
            fleet = self.fleet
            endpoint.interval_ms = (
                fleet.local_report_ms if local else fleet.remote_report_ms
            )
        node.endpoints.append(endpoint)
        (node.group.local if local else node.group.remote).append(endpoint)
        is_own = node.index == server.index
        if self.way.at_once or (is_own and self.way.by_peers and self.way.stated):
            endpoint.speed = server.stated

    def run(self) -> Outcome:
        """Play the load and return what callers saw."""
        self._schedule_arrivals()
        self._schedule_reports()
        while self._events:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        in_time = sum(one <= OBJECTIVE_MS for one in self.answers_ms)
        return Outcome(
            in_time / self.offered,
            len(self.answers_ms) / self.offered,
            self.refused / self.offered,
            statistics.fmean(self.answers_ms),
            self.messages * 1000 / self.fleet.length_ms / self.fleet.servers,
        )

    def _rate_per_ms(self) -> float:
        """Return how many requests all callers send, in the mean."""
        slowness = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_RATIO
        work_per_ms = sum(SLOTS * one.speed * slowness for one in self.servers)
        return self.utilization * work_per_ms / MEAN_WORK_MS

    def _draw_work_ms(self) -> float:
        work_ms = WORK_MS * self.work.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
        return work_ms * LONG_FACTOR if self.work.random() < LONG_SHARE else work_ms

    def _schedule_arrivals(self) -> None:
        rate_per_ms = self._rate_per_ms()
        at_ms = 0.0
        while at_ms < self.fleet.length_ms:
            at_ms += self.work.expovariate(rate_per_ms)
            node = self.work.choice(self.nodes)
            work_ms = self._draw_work_ms()
            self._at(
                at_ms,
                lambda node=node, work_ms=work_ms: self._arrive(node, work_ms),
            )

    def _schedule_reports(self) -> None:
        for server in self.servers:
            for local in (True, False):
                self._at(
                    self.random.uniform(0, self._report_pause_ms(local)),
                    lambda server=server, local=local: self._report(server, local),
                )

    def _report_pause_ms(self, local: bool) -> float:
        fleet = self.fleet
        return fleet.local_report_ms if local else fleet.remote_report_ms

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), act))

    def _report(self, server: Server, local: bool) -> None:
        """Send a load report, and the speed if the peers must learn it."""
        peers = [
            node
            for node in self.nodes
            if (node.data_centre == server.data_centre) is local
            and node.index != server.index
        ]
        late = self.way.late_share and self.random.random() < self.way.late_share
        for node in () if late else peers:
            node.endpoints[server.index].update_load(
                server.admission.in_flight, self.now_ms
            )
        if self.way.stated and self.way.by_peers and not (late or self.way.at_once):
            if local and self._is_speed_news(server):
                server.sent_speed = attrs.evolve(server.stated)
                server.sent_ratio = server.stated.stated
                self._tell_speed(server, peers)
            elif not local and self.way.by_remote:
                self._tell_speed(server, peers)
        if self.now_ms < self.fleet.length_ms:
            after_ms = self.now_ms + self._report_pause_ms(local)
            self._at(after_ms, lambda: self._report(server, local))

    def _is_speed_news(self, server: Server) -> bool:
        if self.way.resent:
            return server.stated.differs_much(server.sent_speed, self.now_ms)
        lower, higher = sorted((server.stated.stated, server.sent_ratio))
        return higher > lower * (1 + self.way.large_change)

    def _tell_speed(self, server: Server, peers: list[Node]) -> None:
        self.messages += len(peers)
        stated_ms = self.now_ms - server.stated.age_ms(self.now_ms)
        for node in peers:
            told = node.endpoints[server.index].speed
            told.record(server.stated.stated, stated_ms)

    def _arrive(self, node: Node, work_ms: float, size_kib: float = SIZE_KIB) -> None:
        """Let a caller ask a node."""
        context: Any = SimpleNamespace(
            members=SimpleNamespace(endpoint_group=lambda _: node.group),
            runtime=SimpleNamespace(random=self.random, now_ms=lambda: self.now_ms),
            rollouts=RolloutTable(),
        )
        selector = EndpointSelector(context, SERVICE)
        asking = Asking(node, selector, self.now_ms, work_ms, size_kib)
        asking.counted_from_ms = self.counted_from_ms
        self.offered += asking.counts
        self._ask(asking)

    def _ask(self, asking: Asking) -> None:
        waited_ms = self.now_ms - asking.sent_ms
        node = asking.node
        own = node.endpoints[node.index]
        own.update_load(self.servers[node.index].admission.in_flight, self.now_ms)
        criteria = SelectionCriteria(
            SERVICE,
            ROUTE,
            OBJECTIVE_MS - waited_ms,
            node.mean_run_times.get(ROUTE),
            asking.size_kib,
            node.data_centre,
        )
        endpoint = self._choose(asking, criteria)
        if endpoint is None or asking.tries >= MAX_NODES_TRIED:
            self.refused += asking.counts
            return
        asking.tries += 1
        asking.selector.assign(endpoint)
        server = self.servers[int(str(endpoint.key))]
        way_ms = self._way_ms(node, server)
        self._at(self.now_ms + way_ms, lambda: self._offer(asking, server))

    def _choose(self, asking: Asking, criteria: SelectionCriteria) -> Endpoint | None:
        return asking.selector.choose(criteria, self.now_ms)

    def _way_ms(self, node: Node, server: Server) -> float:
        if node.index == server.index:
            return 0.0
        local = node.data_centre == server.data_centre
        return LOCAL_WAY_MS if local else REMOTE_WAY_MS

    def _offer(self, asking: Asking, server: Server) -> None:
        mean_run_ms = asking.node.mean_run_times.get_or_zero(ROUTE)
        if mean_run_ms:
            server.admission.set_fleet_mean(ROUTE, mean_run_ms)
        ticket = Ticket(
            ROUTE,
            2,
            self.now_ms,
            asking.sent_ms + OBJECTIVE_MS,
            asking.sent_ms + DEADLINE_MS,
            owner=asking,
        )
        decision = server.admission.admit(ticket, self.now_ms)
        if decision is True:
            self._start(server, ticket)
        elif isinstance(decision, Refused) or not asking.selector.may_wait:
            server.admission.remove(ticket)
            self._refuse(asking, server)

    def _refuse(self, asking: Asking, server: Server) -> None:
        in_flight = server.admission.in_flight
        back_ms = self.now_ms + self._way_ms(asking.node, server)
        self._at(back_ms, lambda: self._ask_again(asking, in_flight))

    def _ask_again(self, asking: Asking, in_flight: int) -> None:
        endpoint = asking.selector.release()
        if endpoint is not None:
            endpoint.record_refusal(in_flight, 0.0, self.now_ms)
            if asking.selector.may_wait:
                asking.selector.exclude(endpoint)
            else:
                asking.selector.mark_busy(endpoint)
        self._ask(asking)

    def _start(self, server: Server, ticket: Ticket) -> None:
        asking: Any = ticket.owner
        start_ms = self.now_ms
        start_ratio = server.admission.speed.ratio(start_ms)
        end_ms = server.end_ms(start_ms, asking.work_ms)
        if end_ms <= ticket.deadline_ms:
            self._at(end_ms, lambda: self._end(server, ticket, start_ms, start_ratio))
        else:
            self._at(
                ticket.deadline_ms,
                lambda: self._cut(server, ticket, start_ms, start_ratio),
            )

    def _cut(
        self, server: Server, ticket: Ticket, start_ms: float, start_ratio: float
    ) -> None:
        """End a run at its deadline, without an answer."""
        admission = server.admission
        run_ms = self.now_ms - start_ms
        if run_ms > admission.expected_run_ms(ROUTE, self.now_ms):
            end_ratio = admission.speed.ratio(self.now_ms)
            admission.record_run(ROUTE, to_normal_ms(run_ms, start_ratio, end_ratio))
        asking: Any = ticket.owner
        asking.selector.release()
        self._free(server, ticket)

    def _state_ratio(self, server: Server) -> None:
        """Apply the ratio that the server states with an answer."""
        ratio = server.ratio(self.now_ms)
        if self.way.includes_speed:
            ratio /= server.speed
        if self.way.stated and not self.way.at_once:
            ratio = round(ratio * 100) / 100
            if self.way.related:
                ratio = server.usual.relate(ratio, self.now_ms)
            server.stated.record(ratio, self.now_ms)
            if self.way.by_admission:
                server.admission.speed.record(ratio, self.now_ms)

    def _end(
        self, server: Server, ticket: Ticket, start_ms: float, start_ratio: float
    ) -> None:
        self._state_ratio(server)
        admission = server.admission
        end_ratio = admission.speed.ratio(self.now_ms)
        run_ms = self.now_ms - start_ms
        admission.record_run(ROUTE, to_normal_ms(run_ms, start_ratio, end_ratio))
        asking: Any = ticket.owner
        self._free(server, ticket)
        in_flight, mean_ms = admission.in_flight, admission.mean_run_ms(ROUTE)
        back_ms = self.now_ms + self._way_ms(asking.node, server)
        self._at(back_ms, lambda: self._answer(asking, in_flight, mean_ms))

    def _answer(self, asking: Asking, in_flight: int, mean_ms: float) -> None:
        endpoint = asking.selector.release()
        if endpoint is not None:
            endpoint.mean_run_ms[ROUTE] = mean_ms
            endpoint.update_load(in_flight, self.now_ms)
        asking.node.mean_run_times.record_run(ROUTE, mean_ms)
        if asking.counts:
            self.answers_ms.append(self.now_ms - asking.sent_ms)

    def _free(self, server: Server, ticket: Ticket) -> None:
        """Give the slot of a run that ended to the next request."""
        admission = server.admission
        admission.remove(ticket)
        for late in admission.find_expiring(self.now_ms):
            admission.remove(late)
            owner: Any = late.owner
            self._refuse(owner, server)
        while (following := admission.start_next(self.now_ms)) is not None:
            self._start(server, following)
