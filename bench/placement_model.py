"""A model of placement among many backend servers, with the node's own decisions.

Callers arrive at many nodes. Each node knows the load of the servers by reports that
are some time old, chooses with ``EndpointSelector``, and the node beside a server
admits with ``Admission``. Run times vary, and servers differ in speed.

Usage:
  placement_model [--seeds N] [--no-result]

Options:
  --seeds N    Runs of each load [default: 20].
  --no-result  Print the table only.
"""

import heapq
import itertools
import statistics
import sys
from collections.abc import Callable, Iterator
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import attrs
import docopt

from azurestep.mesh.callers import placement
from azurestep.mesh.callers.placement import EndpointSelector
from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.choice import Endpoint, EndpointGroup, SelectionCriteria
from azurestep.mesh.decisions.rollout_table import RolloutTable
from azurestep.mesh.incarnation import Incarnation

from .results import Machine, at_end, machine_facts, write_result

SERVICE, ROUTE, LOCAL = "songs", "read", "dc-0"
DATA_CENTRES = 5
SLOTS = 6
MEAN_RUN_MS = 600.0
RUN_SIGMA = 0.6
SPEEDS = (0.5, 1.0, 1.0, 1.5)
OBJECTIVE_MS, DEADLINE_MS = 1500.0, 5000.0
LOCAL_WAY_MS, REMOTE_WAY_MS = 1.0, 3.0
MAX_TRIES = 4
VARIANTS = (0, 1, 2, 3)
"""Servers that are asked for a free slot before a request may wait."""


@attrs.frozen
class Load:
    """What is offered to the servers.

    Attributes
    ----------
    utilization : float
        Offered work as a share of what all slots together can do.
    report_age_ms : float
        Time between two reports of a server's load to a node.
    """

    name: str
    servers: int
    utilization: float
    report_age_ms: float
    length_ms: float = 15_000.0


LOADS = (
    Load("calm, 108 servers", 108, 0.5, 500.0),
    Load("burst, 108 servers", 108, 0.85, 500.0),
    Load("burst, old reports", 108, 0.85, 8000.0),
    Load("overload, 108 servers", 108, 1.2, 500.0),
    Load("burst, 6 servers", 6, 0.85, 200.0),
)


@attrs.define(eq=False)
class Server:
    """One backend server with the admission of the node beside it."""

    index: int
    speed: float
    admission: Admission = attrs.field(factory=lambda: Admission(slots=SLOTS))

    @property
    def data_centre(self) -> str:
        """Where it runs."""
        return f"dc-{self.index % DATA_CENTRES}"


@attrs.define(eq=False)
class Asking:
    """One request on its way."""

    selector: EndpointSelector
    sent_ms: float
    run_ms: float
    tries: int = 0


@attrs.frozen
class Outcome:
    """What callers saw: shares of all requests, and the mean time of an answer."""

    in_time: float
    late: float
    refused: float
    mean_ms: float
    tries: float


@attrs.define(eq=False)
class Model:
    """Discrete events of one run; all nodes stand in the first data centre."""

    load: Load
    random: Random
    servers: list[Server] = attrs.field(init=False)
    group: EndpointGroup = attrs.field(factory=EndpointGroup)
    answers_ms: list[float] = attrs.field(factory=list)
    refused: int = 0
    offered: int = 0
    tries: int = 0
    now_ms: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        count = self.load.servers
        self.servers = [
            Server(index, SPEEDS[index % len(SPEEDS)]) for index in range(count)
        ]
        for server in self.servers:
            server.admission.record_run(ROUTE, MEAN_RUN_MS / server.speed)

    def run(self) -> Outcome:
        """Play the load and return what callers saw."""
        work_per_ms = sum(SLOTS * one.speed for one in self.servers) / MEAN_RUN_MS
        rate_per_ms = self.load.utilization * work_per_ms
        at_ms = 0.0
        while at_ms < self.load.length_ms:
            at_ms += self.random.expovariate(rate_per_ms)
            self._at(at_ms, self._arrive)
        while self._events:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        late = sum(one > OBJECTIVE_MS for one in self.answers_ms)
        return Outcome(
            (len(self.answers_ms) - late) / self.offered,
            late / self.offered,
            self.refused / self.offered,
            statistics.fmean(self.answers_ms),
            self.tries / self.offered,
        )

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), act))

    def _arrive(self) -> None:
        """Let a caller ask a node."""
        self.offered += 1
        context: Any = SimpleNamespace(
            members=SimpleNamespace(endpoint_group=lambda _: self.group),
            runtime=SimpleNamespace(random=self.random, now_ms=lambda: self.now_ms),
            rollouts=RolloutTable(),
        )
        run_ms = MEAN_RUN_MS * self.random.lognormvariate(
            -(RUN_SIGMA**2) / 2, RUN_SIGMA
        )
        selector = EndpointSelector(context, SERVICE)
        self._ask(Asking(selector, self.now_ms, run_ms))

    def report(self) -> None:
        """Let the nodes learn the load of each server, at times of its own."""
        for server in self.servers:
            endpoint = Endpoint(
                server.index,
                SERVICE,
                Incarnation(b"%d" % server.index),
                server.data_centre,
                slots=SLOTS,
            )
            endpoint.mean_run_ms[ROUTE] = MEAN_RUN_MS / server.speed
            local = server.data_centre == LOCAL
            (self.group.local if local else self.group.remote).append(endpoint)
            self._report_again(server, endpoint)

    def _report_again(self, server: Server, endpoint: Endpoint) -> None:
        endpoint.update_load(server.admission.in_flight)
        after_ms = self.load.report_age_ms * self.random.uniform(0.5, 1.5)
        if self.now_ms < self.load.length_ms:
            self._at(
                self.now_ms + after_ms, lambda: self._report_again(server, endpoint)
            )

    def _ask(self, asking: Asking) -> None:
        waited_ms = self.now_ms - asking.sent_ms
        criteria = SelectionCriteria(
            SERVICE, ROUTE, OBJECTIVE_MS - waited_ms, MEAN_RUN_MS, 1.5, LOCAL
        )
        endpoint = asking.selector.choose(criteria, self.now_ms)
        if endpoint is None or asking.tries >= MAX_TRIES:
            self.refused += 1
            return
        asking.tries += 1
        self.tries += 1
        server = self.servers[int(str(endpoint.key))]
        local = server.data_centre == LOCAL
        way_ms = LOCAL_WAY_MS if local else REMOTE_WAY_MS
        self._at(
            self.now_ms + way_ms, lambda: self._offer(asking, server, endpoint, way_ms)
        )

    def _offer(
        self, asking: Asking, server: Server, endpoint: Endpoint, way_ms: float
    ) -> None:
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
            self._at(
                self.now_ms + way_ms, lambda: self._refuse(asking, server, endpoint)
            )

    def _refuse(self, asking: Asking, server: Server, endpoint: Endpoint) -> None:
        endpoint.record_refusal(server.admission.in_flight, 0.0, self.now_ms)
        if asking.selector.may_wait:
            asking.selector.exclude(endpoint)
        else:
            asking.selector.mark_busy(endpoint)
        self._ask(asking)

    def _start(self, server: Server, ticket: Ticket) -> None:
        asking: Any = ticket.owner
        end_ms = self.now_ms + asking.run_ms / server.speed
        self._at(end_ms, lambda: self._end(server, ticket))

    def _end(self, server: Server, ticket: Ticket) -> None:
        asking: Any = ticket.owner
        server.admission.remove(ticket)
        self.answers_ms.append(self.now_ms - asking.sent_ms)
        for late in server.admission.find_expiring(self.now_ms):
            server.admission.remove(late)
            self.refused += 1
        while (following := server.admission.start_next(self.now_ms)) is not None:
            self._start(server, following)


def play(load: Load, seed: int, tries_without_wait: int) -> Outcome:
    """Play a load once."""
    model = Model(load, Random(seed))
    model.report()
    with mock.patch.object(placement, "TRIES_WITHOUT_WAIT", tries_without_wait):
        return model.run()


@attrs.frozen
class Row:
    """Means of one load and variant, with half the 95% confidence interval."""

    load: str
    tries_without_wait: int
    in_time: float
    in_time_error: float
    late: float
    refused: float
    mean_ms: float
    tries: float


@attrs.frozen
class PlacementResult:
    """All rows, in the order of the loads."""

    rows: list[Row]
    seeds: int
    machine: Machine


def summarize(load: Load, variant: int, found: list[Outcome]) -> Row:
    """Return the means of several runs."""
    in_time = [one.in_time for one in found]
    spread = statistics.stdev(in_time) if len(found) > 1 else 0.0
    return Row(
        load.name,
        variant,
        statistics.fmean(in_time),
        1.96 * spread / len(found) ** 0.5,
        statistics.fmean(one.late for one in found),
        statistics.fmean(one.refused for one in found),
        statistics.fmean(one.mean_ms for one in found),
        statistics.fmean(one.tries for one in found),
    )


def main() -> int:
    """Run the model from the command line."""
    options = docopt.docopt(__doc__ or "")
    seeds = int(options["--seeds"])
    machine = machine_facts()
    rows = []
    for load in LOADS:
        for variant in VARIANTS:
            found = [play(load, seed, variant) for seed in range(seeds)]
            rows.append(summarize(load, variant, found))
            print(rows[-1], flush=True)
    if not options["--no-result"]:
        write_result("placement_model", PlacementResult(rows, seeds, at_end(machine)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
