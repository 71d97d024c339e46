"""A model of one backend server for which the teams of callers compete.

Compares the order of the queue without teams, start-time fair queueing and deficit
round robin, while one of 77 teams sends 8 times its usual rate and load is 2.4 times
the capacity. The node's own admission control decides.

Usage:
  team_shares [--seeds N] [--no-result]

Options:
  --seeds N    Runs of each way [default: 5].
  --no-result  Print the table only.
"""

import heapq
import math
import statistics
import sys
from collections import Counter
from collections.abc import Iterable
from random import Random

import attrs
import docopt

from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.team_shares import TeamShares

from .results import Machine, at_end, machine_facts, write_result

TEAMS = 77
SLOTS = 3
MEAN_RUN_MS = 60.0
RUN_SIGMA = 0.4
OBJECTIVE_MS, DEADLINE_MS = 400.0, 1200.0
DURATION_MS = 120_000.0
LOAD = 2.4
SURGE = 8.0
SURGING = 1
"""Index of the team that sends more: the second largest."""
LIMIT_RATIO = 1.5
"""A team's ``requests_per_s`` relative to its usual rate."""
WAYS = ("none", "start-time", "round-robin")


@attrs.define(slots=True)
class RoundRobinShares(TeamShares):
    """Deficit round robin: the tag is the round in which a request is served.

    Attributes
    ----------
    quantum : float
        Run time for each unit of weight in a round; the smallest team can send one
        request in each.
    """

    quantum: float = 1.0

    def tags(self, requests: Iterable[tuple[int, str, float, float]]) -> list[float]:
        """Return the rounds in which requests are served."""
        spent: dict[tuple[int, str], float] = {}
        found = []
        for priority, team, weight, run_ms in requests:
            key = (priority, team)
            before = spent.get(key, self.start_tag(priority, team))
            spent[key] = before + run_ms / weight / self.quantum
            found.append(float(math.ceil(spent[key])))
        return found

    def record_start(
        self, priority: int, team: str, weight: float, run_ms: float
    ) -> None:
        """Take a run from the team's deficit, and proceed to its round."""
        tag = self.start_tag(priority, team)
        done = tag + run_ms / weight / self.quantum
        self._next[priority, team] = done
        self._now[priority] = max(
            self._now.get(priority, 0.0), float(math.ceil(done) - 1)
        )

    def correct(self, priority: int, team: str, weight: float, run_ms: float) -> None:
        """Correct the deficit by the true run time."""
        TeamShares.correct(self, priority, team, weight * self.quantum, run_ms)


@attrs.frozen
class Shares:
    """What a run gave to the teams.

    Attributes
    ----------
    overall : float
        Share of all requests that ended within the objective.
    least, median : float
        Least and median share over the teams that send their usual rate.
    surging : float
        Share of the team that sends more.
    within_limit : float
        Requests of that team served in time, relative to its limit.
    """

    overall: float
    least: float
    median: float
    surging: float
    within_limit: float


def usual_rates() -> list[float]:
    """Return the usual share of each team; the largest sends a third."""
    tail = [1 / (rank + 1) ** 0.9 for rank in range(TEAMS - 1)]
    return [1 / 3, *(2 / 3 * one / sum(tail) for one in tail)]


@attrs.define(eq=False)
class Model:
    """One backend server, and the requests of all teams to it."""

    way: str
    random: Random
    sent: list[float]
    limits: list[float]
    admission: Admission = attrs.field(factory=lambda: Admission(slots=SLOTS))
    now_ms: float = 0.0
    offered: Counter[int] = attrs.field(factory=Counter)
    served: Counter[int] = attrs.field(factory=Counter)
    _ends: list[tuple[float, int, Ticket, float]] = attrs.field(factory=list)
    _started: int = 0

    def run(self, per_ms: float) -> None:
        """Play all requests; those that still run at the end aren't served."""
        next_ms = 0.0
        while next_ms < DURATION_MS:
            while self._ends and self._ends[0][0] <= next_ms:
                self._end()
            self.now_ms = next_ms
            self._arrive()
            next_ms += self.random.expovariate(per_ms)

    def _arrive(self) -> None:
        team = self.random.choices(range(TEAMS), self.sent)[0]
        self.offered[team] += 1
        objective_ms = self.now_ms + OBJECTIVE_MS
        deadline_ms = self.now_ms + DEADLINE_MS
        ticket = Ticket("read", 1, self.now_ms, objective_ms, deadline_ms, owner=team)
        if self.way != "none":
            ticket.team, ticket.weight = f"team-{team}", self.limits[team]
        decision = self.admission.admit(ticket, self.now_ms)
        if not isinstance(decision, Refused) and decision:
            self._start(ticket)

    def _start(self, ticket: Ticket) -> None:
        self._started += 1
        drawn = self.random.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
        run_ms = MEAN_RUN_MS * drawn
        end = (self.now_ms + run_ms, self._started, ticket, run_ms)
        heapq.heappush(self._ends, end)

    def _end(self) -> None:
        self.now_ms, _, done, run_ms = heapq.heappop(self._ends)
        self.admission.remove(done, self.now_ms)
        self.admission.record_run(done.route, run_ms)
        if self.now_ms <= done.objective_deadline_ms:
            self.served[int(str(done.owner))] += 1
        for late in self.admission.find_expiring(self.now_ms):
            self.admission.remove(late, self.now_ms)
        while (ready := self.admission.start_next(self.now_ms)) is not None:
            self._start(ready)


def run_way(way: str, seed: int) -> Shares:
    """Return the shares of the teams under one order of the queue."""
    rates = usual_rates()
    sent = [rate * (SURGE if i == SURGING else 1) for i, rate in enumerate(rates)]
    per_ms = LOAD * SLOTS / MEAN_RUN_MS
    limits = [rate * per_ms / sum(sent) * 1000 * LIMIT_RATIO for rate in rates]
    model = Model(way, Random(seed), sent, limits)
    if way == "round-robin":
        model.admission.shares = RoundRobinShares(quantum=MEAN_RUN_MS / min(limits))
    model.run(per_ms)
    offered, served = model.offered, model.served
    ratios = [
        served[team] / offered[team]
        for team in range(TEAMS)
        if team != SURGING and offered[team]
    ]
    return Shares(
        served.total() / offered.total(),
        min(ratios),
        statistics.median(ratios),
        served[SURGING] / offered[SURGING],
        served[SURGING] / (limits[SURGING] * DURATION_MS / 1000),
    )


def mean_shares(way: str, seeds: int) -> Shares:
    """Return the mean over several runs."""
    runs = [attrs.astuple(run_way(way, seed)) for seed in range(seeds)]
    return Shares(*(statistics.mean(column) for column in zip(*runs, strict=True)))


@attrs.frozen
class TeamSharesResult:
    """The shares under each order of the queue."""

    rows: dict[str, Shares]
    seeds: int
    machine: Machine


def main() -> int:
    """Run the model from the command line."""
    options = docopt.docopt(__doc__ or "")
    seeds = int(options["--seeds"])
    machine = machine_facts()
    rows = {way: mean_shares(way, seeds) for way in WAYS}
    print("| Order | All | Least | Median | Surging team | Of its limit |")
    print("| --- | --- | --- | --- | --- | --- |")
    for way, found in rows.items():
        figures = " | ".join(f"{one:.3f}" for one in attrs.astuple(found))
        print(f"| {way} | {figures} |")
    if not options["--no-result"]:
        write_result("team_shares", TeamSharesResult(rows, seeds, at_end(machine)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
