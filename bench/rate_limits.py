"""Simulates a service whose backend servers name rate limits.

Usage:
  bench.rate_limits [--seconds N] [--seed N]

Options:
  --seconds N  Length of each run [default: 30].
  --seed N     Seed of arrivals and run times [default: 1].

The decisions are those of the program; network, servers and callers are simulated.
"""

import heapq
import itertools
import sys
from collections import Counter
from collections.abc import Callable
from random import Random
from statistics import quantiles

import attrs
import docopt

from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.choice import (
    Endpoint,
    MeanRunTimes,
    SelectionCriteria,
    choose_endpoint,
)
from azurestep.mesh.incarnation import Incarnation

from .results import Machine, at_end, machine_facts, write_result

ROUTE = "read"
NODES = 13
DATA_CENTRES = 3
LOCAL_MS, REMOTE_MS = 0.3, 1.5
"""Time of a message between nodes, one way."""
REPORT_MS = 200.0
"""Time between the reports of a node to its peers."""
SCAN_MS = 100.0
OBJECTIVE_MS, DEADLINE_MS = 400.0, 1500.0
MAX_TRIED = 4
CALLER_RETRIES = 1
ANSWER_KIB = 1.5
WINDOW_MS = 4000.0


@attrs.frozen
class ServerPlan:
    """A simulated backend server.

    Attributes
    ----------
    run_ms : float
        Mean run time of a request.
    limit_per_s : float or None
        Rate limit that it names; None for none.
    """

    run_ms: float
    limit_per_s: float | None = None


@attrs.frozen
class Scenario:
    """Offered load and the servers that take it."""

    name: str
    reads_per_s: float
    servers: tuple[ServerPlan, ...]


@attrs.frozen
class Outcome:
    """What callers and servers saw in one run.

    Attributes
    ----------
    highest_ratio : float
        Most requests of a limited server within 4 s, in parts of its limit.
    refused_ms : float
        95th percentile of the time until a refusal.
    """

    name: str
    offered: int
    in_time: float
    late: float
    refused: float
    median_ms: float
    p99_ms: float
    hops: float
    highest_ratio: float
    refused_ms: float
    per_server_per_s: tuple[float, ...]


@attrs.frozen
class Result:
    """All runs, and the machine that they ran on."""

    machine: Machine
    outcomes: list[Outcome]


@attrs.define(eq=False)
class Server:
    """A backend server with the admission control beside it."""

    plan: ServerPlan
    key: int
    data_centre: str
    admission: Admission
    sent_ms: list[float] = attrs.field(factory=list)
    timer_ms: float = 0.0


@attrs.define(eq=False)
class Read:
    """One attempt of a caller, and what it took so far."""

    node: int
    arrived_ms: float
    first_ms: float
    retries: int = 0
    tried: set[object] = attrs.field(factory=set)
    hops: int = 0
    retry_after_ms: float = 0.0


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seconds: float, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.end_ms = seconds * 1000
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.servers = [self._make_server(index) for index in range(self.count)]
        self.views = [self._make_view() for _ in range(NODES)]
        self.mean_run_times = [MeanRunTimes() for _ in range(NODES)]
        self.statuses: Counter[str] = Counter()
        self.times_ms: list[float] = []
        self.refusals_ms: list[float] = []
        self.hops: list[int] = []

    @property
    def count(self) -> int:
        """Number of servers."""
        return len(self.scenario.servers)

    def _make_server(self, index: int) -> Server:
        plan = self.scenario.servers[index]
        admission = Admission(slots=18)
        if plan.limit_per_s is not None:
            admission.limiter.set_rate(plan.limit_per_s, 0.0)
        return Server(plan, index, data_centre_of(index), admission)

    def _make_view(self) -> dict[int, Endpoint]:
        view = {}
        for server in self.servers:
            endpoint = Endpoint(
                server.key,
                ROUTE,
                Incarnation(b"%d" % server.key),
                server.data_centre,
                slots=server.admission.slots,
            )
            if server.plan.limit_per_s is not None:
                endpoint.rate_limit_per_s = server.plan.limit_per_s
            view[server.key] = endpoint
        return view

    def run(self) -> Outcome:
        """Run to the end and return what was seen."""
        self._at(0.0, self._arrive)
        self._at(REPORT_MS, self._report)
        self._at(SCAN_MS, self._scan_all)
        while self._events:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        return self._outcome()

    def _at(self, delay_ms: float, act: Callable[[], None]) -> None:
        entry = (self.now_ms + delay_ms, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        if self.now_ms > self.end_ms:
            return
        read = Read(self.random.randrange(NODES), self.now_ms, self.now_ms)
        self._dispatch(read)
        rate = self.scenario.reads_per_s / 1000
        self._at(self.random.expovariate(rate), self._arrive)

    def _report(self) -> None:
        for server in self.servers:
            for view in self.views:
                view[server.key].update_load(server.admission.in_flight)
        if self.now_ms < self.end_ms:
            self._at(REPORT_MS, self._report)

    def _scan_all(self) -> None:
        for server in self.servers:
            self._scan(server)
        if self.now_ms < self.end_ms + DEADLINE_MS:
            self._at(SCAN_MS, self._scan_all)

    def _dispatch(self, read: Read) -> None:
        criteria = SelectionCriteria(
            ROUTE,
            ROUTE,
            read.first_ms + OBJECTIVE_MS - self.now_ms,
            self.mean_run_times[read.node].get(ROUTE),
            ANSWER_KIB,
            data_centre_of(read.node),
        )
        view = self.views[read.node]
        endpoint = choose_endpoint(
            view.values(), criteria, read.tried, self.now_ms, self.random
        )
        if endpoint is None or len(read.tried) >= MAX_TRIED:
            self._refuse(read)
            return
        endpoint.own_in_flight += 1
        read.hops += 1
        server = self.servers[int(str(endpoint.key))]
        self._at(self._delay_ms(read, server), lambda: self._submit(read, server))

    def _delay_ms(self, read: Read, server: Server) -> float:
        near = server.data_centre == data_centre_of(read.node)
        return LOCAL_MS if near else REMOTE_MS

    def _submit(self, read: Read, server: Server) -> None:
        now_ms = self.now_ms
        ticket = Ticket(
            ROUTE,
            2,
            now_ms,
            read.first_ms + OBJECTIVE_MS,
            read.first_ms + DEADLINE_MS,
            read,
        )
        decision = server.admission.admit(ticket, now_ms)
        if isinstance(decision, Refused):
            self._hand_back(read, server, decision.retry_after_ms)
        elif decision:
            self._start(ticket, server)
        else:
            self._wait_for_token(server)

    def _wait_for_token(self, server: Server) -> None:
        start_ms = server.admission.next_start_ms(self.now_ms)
        if start_ms is None or start_ms == server.timer_ms:
            return
        server.timer_ms = start_ms
        self._at(max(0.0, start_ms - self.now_ms), lambda: self._fire(server, start_ms))

    def _fire(self, server: Server, timer_ms: float) -> None:
        if server.timer_ms == timer_ms:
            server.timer_ms = 0.0
            self._scan(server)

    def _scan(self, server: Server) -> None:
        admission = server.admission
        for ticket in admission.find_expiring(self.now_ms):
            admission.remove(ticket)
            assert isinstance(ticket.owner, Read)
            after_ms = admission.estimate_retry_after_ms(self.now_ms)
            self._hand_back(ticket.owner, server, after_ms)
        while (started := admission.start_next(self.now_ms)) is not None:
            self._start(started, server)
        self._wait_for_token(server)

    def _start(self, ticket: Ticket, server: Server) -> None:
        ticket.sent = True
        server.sent_ms.append(self.now_ms)
        run_ms = server.plan.run_ms * self.random.lognormvariate(-0.125, 0.5)
        self._at(run_ms, lambda: self._end(ticket, server, run_ms))

    def _end(self, ticket: Ticket, server: Server, run_ms: float) -> None:
        server.admission.record_run(ROUTE, run_ms)
        server.admission.remove(ticket)
        read = ticket.owner
        assert isinstance(read, Read)
        delay_ms = self._delay_ms(read, server)
        self._at(delay_ms, lambda: self._answer(read, server))
        self._scan(server)

    def _answer(self, read: Read, server: Server) -> None:
        endpoint = self.views[read.node][server.key]
        endpoint.own_in_flight -= 1
        endpoint.update_load(server.admission.in_flight)
        mean_ms = server.admission.mean_run_ms(ROUTE)
        endpoint.mean_run_ms[ROUTE] = mean_ms
        self.mean_run_times[read.node].record_run(ROUTE, mean_ms)
        took_ms = self.now_ms - read.first_ms
        self.statuses["in time" if took_ms <= OBJECTIVE_MS else "late"] += 1
        self.times_ms.append(took_ms)
        self.hops.append(read.hops)

    def _hand_back(self, read: Read, server: Server, retry_after_ms: float) -> None:
        in_flight = server.admission.in_flight

        def handle() -> None:
            endpoint = self.views[read.node][server.key]
            endpoint.own_in_flight -= 1
            endpoint.record_refusal(in_flight, retry_after_ms, self.now_ms)
            read.tried.add(endpoint.key)
            read.retry_after_ms = retry_after_ms
            self._dispatch(read)

        self._at(self._delay_ms(read, server), handle)

    def _refuse(self, read: Read) -> None:
        self.refusals_ms.append(self.now_ms - read.arrived_ms)
        left_ms = read.first_ms + DEADLINE_MS - self.now_ms
        if read.retries >= CALLER_RETRIES or left_ms <= 0:
            self.statuses["refused"] += 1
            return
        again = Read(read.node, self.now_ms, read.first_ms, read.retries + 1)
        pause_ms = min(read.retry_after_ms * self.random.uniform(0.5, 1.5), left_ms / 3)
        self._at(pause_ms, lambda: self._dispatch(again))

    def _outcome(self) -> Outcome:
        offered = sum(self.statuses.values())
        seconds = self.end_ms / 1000
        percentiles = quantiles(self.times_ms, n=100)
        refusals_ms = sorted(self.refusals_ms) or [0.0]
        return Outcome(
            self.scenario.name,
            offered,
            self.statuses["in time"] / offered,
            self.statuses["late"] / offered,
            self.statuses["refused"] / offered,
            percentiles[49],
            percentiles[98],
            sum(self.hops) / len(self.hops),
            max(map(highest_ratio, self.servers)),
            refusals_ms[int(len(refusals_ms) * 0.95)],
            tuple(len(server.sent_ms) / seconds for server in self.servers),
        )


def data_centre_of(index: int) -> str:
    """Return the data centre of a node or server."""
    return f"dc-{index % DATA_CENTRES}"


def highest_ratio(server: Server) -> float:
    """Return the most requests of a limited server in a window, by its limit."""
    limit = server.plan.limit_per_s
    if limit is None:
        return 0.0
    most = first = 0
    for last, sent_ms in enumerate(server.sent_ms):
        while sent_ms - server.sent_ms[first] > WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most / (limit * WINDOW_MS / 1000) if limit else float(most)


RUN_TIMES_MS = (85.0, 145.0, 140.0, 300.0, 85.0, 160.0)


def service(*limits: float | None) -> tuple[ServerPlan, ...]:
    """Return the servers of a service with the limits of the first ones."""
    padded = (*limits, *(None,) * (len(RUN_TIMES_MS) - len(limits)))
    return tuple(
        ServerPlan(run_ms, limit)
        for run_ms, limit in zip(RUN_TIMES_MS, padded, strict=True)
    )


SCENARIOS = (
    Scenario("no limits", 380.0, service()),
    Scenario(
        "the two fastest limited", 380.0, service(52.0, None, None, None, 46.0, None)
    ),
    Scenario("one takes almost nothing", 380.0, service(0.5)),
    Scenario("one takes nothing", 380.0, service(0.0)),
    Scenario("all limited, room enough", 380.0, service(*(70.0,) * 6)),
    Scenario("four limited, little room", 380.0, service(45.0, 45.0, 45.0, None, 45.0)),
    Scenario("all limited, half the room", 380.0, service(*(32.0,) * 6)),
)


def main() -> int:
    """Run all scenarios, print them and write the result."""
    options = docopt.docopt(__doc__ or "")
    machine = machine_facts()
    seconds, seed = float(options["--seconds"]), int(options["--seed"])
    outcomes = []
    for scenario in SCENARIOS:
        outcome = Simulation(scenario, seconds, seed).run()
        outcomes.append(outcome)
        rates = " ".join(f"{rate:.0f}" for rate in outcome.per_server_per_s)
        print(
            f"{outcome.name:28} in time {outcome.in_time:.3f} late {outcome.late:.3f}"
            f" refused {outcome.refused:.3f} p50 {outcome.median_ms:.0f}"
            f" p99 {outcome.p99_ms:.0f} hops {outcome.hops:.2f}"
            f" ratio {outcome.highest_ratio:.2f} refused after"
            f" {outcome.refused_ms:.1f} ms, a second {rates}"
        )
    write_result("rate_limits", Result(at_end(machine), outcomes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
