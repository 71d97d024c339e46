"""Data centres whose demand peaks at different times, on the model of uneven servers.

Extends ``bench/speed_model.py`` with demand that rises and falls, answers of two sizes,
bytes between data centres, and nodes that are killed and come back cold. A way of
placement chooses in place of ``EndpointSelector.choose``; the present one calls it.
"""

import math

import attrs

from azurestep.mesh.callers import placement
from azurestep.mesh.callers.call import MAX_NODES_TRIED
from azurestep.mesh.decisions import choice, data_centre_loads
from azurestep.mesh.decisions.choice import Endpoint, SelectionCriteria
from azurestep.mesh.decisions.data_centre_loads import DataCentreLoads

from .speed_model import (
    WARM_UP_MS,
    Asking,
    Fleet,
    Model,
    Node,
    Server,
    Way,
)

PERIOD_MS, AMPLITUDE = 15_000.0, 0.55
FLEET = Fleet(
    servers=79,
    speeds=(0.55, 0.8, 1.0, 1.2, 1.6),
    local_report_ms=300.0,
    remote_report_ms=1200.0,
    length_ms=WARM_UP_MS + PERIOD_MS,
)
READ_KIB, EXPORT_KIB, EXPORT_SHARE = 1.5, 20.0, 0.1
REQUEST_KIB = 0.5
"""Part of the size that also crosses when the request is refused."""
BOTH_RATIO_USERS = Way("both")


@attrs.frozen
class Placement:
    """How a node chooses between data centres.

    Attributes
    ----------
    penalty : float
        Value lost for each KiB between data centres.
    margin : float or None
        By how much more of its slots must be taken in the local data centre than in
        another one for candidates there; None for no such rule.
    only_when_full : bool
        Whether candidates of other data centres need all local ones to be full.
    emptiest : bool
        Whether they are drawn in the data centre with the lowest mean load only.
    remote_sample, local_sample : int
        Number of candidates.
    memory_ms : float or None
        Time constant by which a report gives way to the mean of its data centre; None
        if a report keeps its weight.
    full_fill : float or None
        Load of every data centre, relative to its slots, from which a request may wait
        at the first server that it asks; None for never.
    tries : int
        Servers that are asked for a free slot before a request may wait.
    built : bool
        Whether the node's own decision is used with the loads of data centres.
    """

    name: str
    penalty: float = choice.REMOTE_PENALTY_PER_KIB
    margin: float | None = None
    only_when_full: bool = False
    emptiest: bool = False
    remote_sample: int = choice.REMOTE_SAMPLE
    local_sample: int = choice.LOCAL_SAMPLE
    memory_ms: float | None = None
    full_fill: float | None = None
    tries: int = placement.TRIES_WITHOUT_WAIT
    built: bool = False

    @property
    def differs(self) -> bool:
        """Whether the model chooses itself, in place of ``EndpointSelector``."""
        return not self.built and (
            self.margin is not None
            or self.memory_ms is not None
            or self.only_when_full
            or self.emptiest
            or self.full_fill is not None
            or self.remote_sample != choice.REMOTE_SAMPLE
            or self.local_sample != choice.LOCAL_SAMPLE
            or self.tries != placement.TRIES_WITHOUT_WAIT
        )


@attrs.frozen
class WaveOutcome:
    """What callers saw, as shares of the requests, and what it took for each."""

    in_time: float
    served: float
    kib: float
    nodes_asked: float
    remote_share: float

    @property
    def net(self) -> float:
        """Share in time less the price of the bytes between data centres."""
        return self.in_time - choice.REMOTE_PENALTY_PER_KIB * self.kib


class WaveModel(Model):
    """Discrete events of one run with waves of demand."""

    def __init__(
        self,
        chooses: Placement,
        utilization: float,
        seed: int,
        fleet: Fleet = FLEET,
    ) -> None:
        self.chooses = chooses
        self.kib = 0.0
        self.asked = self.remote = 0
        self._loads: list[DataCentreLoads[Endpoint]] = []
        self._alive: dict[str, list[Node]] = {}
        self._sent: dict[tuple[int, bool], int] = {}
        super().__init__(BOTH_RATIO_USERS, utilization, seed, fleet)
        for node in self.nodes:
            self._loads.append(DataCentreLoads())
            if chooses.built:
                node.group.loads = self._loads[-1]
            self._alive.setdefault(node.data_centre, []).append(node)

    def play(self) -> WaveOutcome:
        """Play the load and return what callers saw."""
        found = self.run()
        return WaveOutcome(
            found.in_time,
            found.served,
            self.kib / self.offered,
            self.asked / self.offered,
            self.remote / self.offered,
        )

    def _schedule_arrivals(self) -> None:
        """Let callers ask nodes, with the demand of each data centre as a wave."""
        rate_per_ms = self._rate_per_ms()
        count = self.fleet.data_centres
        at_ms = 0.0
        while at_ms < self.fleet.length_ms:
            at_ms += self.work.expovariate(rate_per_ms)
            turn = at_ms / PERIOD_MS
            weights = [
                1 + AMPLITUDE * math.sin(2 * math.pi * (turn - index / count))
                for index in range(count)
            ]
            (home,) = self.work.choices(range(count), weights)
            pick, work_ms = self.work.random(), self._draw_work_ms()
            export = self.work.random() < EXPORT_SHARE
            size_kib = EXPORT_KIB if export else READ_KIB
            self._at(
                at_ms,
                lambda home=home, pick=pick, work_ms=work_ms, size_kib=size_kib: (
                    self._arrive_at(home, pick, work_ms, size_kib)
                ),
            )

    def _arrive_at(
        self, home: int, pick: float, work_ms: float, size_kib: float
    ) -> None:
        nodes = self._alive[f"dc-{home}"]
        if nodes:
            self._arrive(nodes[int(pick * len(nodes))], work_ms, size_kib)

    def _choose(self, asking: Asking, criteria: SelectionCriteria) -> Endpoint | None:
        with _Constants(self.chooses):
            if self.chooses.differs:
                found = self._choose_by_fill(asking, criteria)
            else:
                found = super()._choose(asking, criteria)
        if found is not None and asking.counts and asking.tries < MAX_NODES_TRIED:
            self.asked += 1
            if found.data_centre != asking.node.data_centre:
                self.remote += 1
                self.kib += REQUEST_KIB
        return found

    def _choose_by_fill(
        self, asking: Asking, criteria: SelectionCriteria
    ) -> Endpoint | None:
        """Choose as ``EndpointSelector.choose`` does, among other candidates."""
        chooses, selector, node = self.chooses, asking.selector, asking.node
        loads = self._loads[node.index]
        loads.refresh(node.group, self.now_ms)
        fill = loads.means
        tries = chooses.tries
        if chooses.full_fill is not None and min(fill.values()) >= chooses.full_fill:
            tries = 0
        selector.may_wait = len(selector._busy) >= tries
        excluded = selector._excluded
        if not selector.may_wait:
            excluded = excluded.union(one.key for one in selector._busy)
        candidates = self._candidates(node, fill, excluded)
        if not candidates and not selector.may_wait:
            selector.may_wait = True
            candidates = self._candidates(node, fill, selector._excluded)
        if selector.may_wait:
            candidates += [
                one
                for one in selector._busy
                if one.key not in selector._excluded and one not in candidates
            ]
        weighs = None if chooses.memory_ms is None else loads
        return choice._best_of(candidates, criteria, self.now_ms, self.random, weighs)

    def _candidates(
        self, node: Node, fill: dict[str, float], excluded: set[object]
    ) -> list[Endpoint]:
        chooses = self.chooses
        drawn = self._draw(node.group.local, chooses.local_sample, excluded)
        has_room = any(one.load < one.slots for one in drawn)
        if chooses.only_when_full and has_room:
            return drawn
        here = fill.get(node.data_centre, math.inf)
        others = {name: one for name, one in fill.items() if name != node.data_centre}
        if chooses.margin is not None:
            others = {
                name: one for name, one in others.items() if here - one > chooses.margin
            }
        if chooses.emptiest and others:
            lowest = min(others, key=others.__getitem__)
            others = {lowest: others[lowest]}
        if not others:
            return drawn
        remote = node.group.remote
        if len(others) < self.fleet.data_centres - 1:
            remote = [one for one in remote if one.data_centre in others]
        return drawn + self._draw(remote, chooses.remote_sample, excluded)

    def _draw(
        self, endpoints: list[Endpoint], count: int, excluded: set[object]
    ) -> list[Endpoint]:
        found = choice._draw(endpoints, count, excluded, self.random)
        if found is None:
            usable = [one for one in endpoints if choice._is_candidate(one, excluded)]
            found = self.random.sample(usable, min(count, len(usable)))
        return found

    def _answer(self, asking: Asking, in_flight: int, mean_ms: float) -> None:
        endpoint = asking.selector.endpoint
        home = asking.node.data_centre
        if endpoint and asking.counts and endpoint.data_centre != home:
            self.kib += asking.size_kib - REQUEST_KIB
        super()._answer(asking, in_flight, mean_ms)

    def _report(self, server: Server, local: bool) -> None:
        sent = (server.index, local)
        in_flight = server.admission.in_flight
        if self.fleet.skips_unchanged and self._sent.get(sent) == in_flight:
            self._skip_report(server, local)
            return
        self._sent[sent] = in_flight
        super()._report(server, local)

    def _skip_report(self, server: Server, local: bool) -> None:
        if self.now_ms < self.fleet.length_ms:
            after_ms = self.now_ms + self._report_pause_ms(local)
            self._at(after_ms, lambda: self._report(server, local))


class _Constants:
    """Sets constants of the choice for a moment; cheaper than ``mock`` in a loop."""

    def __init__(self, chooses: Placement) -> None:
        self.penalty = chooses.penalty
        self.memory_ms = chooses.memory_ms or data_centre_loads.MEMORY_MS
        self.before = choice.REMOTE_PENALTY_PER_KIB, data_centre_loads.MEMORY_MS

    def __enter__(self) -> None:
        choice.REMOTE_PENALTY_PER_KIB = self.penalty
        data_centre_loads.MEMORY_MS = self.memory_ms

    def __exit__(self, *_: object) -> None:
        choice.REMOTE_PENALTY_PER_KIB, data_centre_loads.MEMORY_MS = self.before
