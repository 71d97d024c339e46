"""Fair queueing between the teams of callers at one backend server."""

import math
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.team_shares import MAX_TEAMS, TeamShares
from azurestep.mesh.messages import Request
from azurestep.routing.model import Document, Limits
from azurestep.routing.table import RoutingTable
from azurestep.routing.teams import Team, TeamDirectory
from bench.team_shares import mean_shares

from .fixtures_inbound import InboundHarness, RecordingReceiver, answer

LONG_MS = 1e9


def team_ticket(team: str, weight: float = 1.0, priority: int = 1) -> Ticket:
    return Ticket("read", priority, 0.0, LONG_MS, LONG_MS, team=team, weight=weight)


class FormerAdmission(Admission):
    """The order of the queue before teams: objective met, priority, objective."""

    def _former_rank(self, one: Ticket, now_ms: float) -> tuple[bool, int, float]:
        late = now_ms + self.mean_run_ms(one.route) > one.objective_deadline_ms
        return late, one.priority, one.objective_deadline_ms

    def _in_order(self, now_ms: float) -> list[Ticket]:
        return sorted(self._waiting, key=lambda one: self._former_rank(one, now_ms))

    def _wait_in_queue_ms(self, ticket: Ticket, now_ms: float) -> float:
        rank = self._former_rank(ticket, now_ms)
        ahead = [one for one in self._waiting if self._former_rank(one, now_ms) <= rank]
        ahead_ms = sum(self.mean_run_ms(one.route) for one in ahead)
        limit_ms = self.limiter.wait_ms(now_ms, len(ahead))
        return max(self._estimate_wait_ms(ahead_ms, self.slots, now_ms), limit_ms)


Step = tuple[int, int, float, float, int]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.integers(0, 3),
            st.floats(0, 120),
            st.floats(20, 600),
            st.integers(0, 2),
        ),
        max_size=120,
    ),
    st.integers(1, 4),
    st.booleans(),
)
def test_without_teams_every_decision_is_the_former_one(
    steps: list[Step], slots: int, limited: bool
) -> None:
    """Guards deployments without teams against a change of their order."""
    new, former = Admission(slots=slots), FormerAdmission(slots=slots)
    histories: list[list[object]] = []
    for admission in (new, former):
        if limited:
            admission.limiter.set_rate(12.0, 0.0)
        history: list[object] = []
        now_ms = 0.0
        number = 0
        for action, priority, gap_ms, objective_ms, route in steps:
            now_ms += gap_ms
            if action < 3:
                number += 1
                one = Ticket(
                    f"route-{route}",
                    priority,
                    now_ms,
                    now_ms + objective_ms,
                    now_ms + 900.0,
                    owner=number,
                )
                decision = admission.admit(one, now_ms)
                history.append(decision)
            elif admission.running:
                done = min(admission.running, key=lambda one: int(str(one.owner)))
                admission.record_run(done.route, objective_ms / 3)
                admission.remove(done, now_ms)
            expired = admission.find_expiring(now_ms)
            history.append([one.owner for one in expired])
            for one in expired:
                admission.remove(one, now_ms)
            while (started := admission.start_next(now_ms)) is not None:
                history.append(started.owner)
        histories.append(history)
    assert histories[0] == histories[1]


@given(
    st.lists(st.floats(0.5, 20.0), min_size=2, max_size=5),
    st.integers(1, 5),
    st.integers(0, 2**32),
)
def test_waiting_teams_share_the_run_time_by_weight(
    weights: list[float], slots: int, seed: int
) -> None:
    """Guards against a team that gets more than its share while others wait."""
    random = Random(seed)
    admission = Admission(slots=slots)
    used = dict.fromkeys(range(len(weights)), 0.0)
    now_ms, longest_ms = 0.0, 90.0
    ends: dict[Ticket, float] = {}
    for team, weight in enumerate(weights):
        for _ in range(40):
            one = team_ticket(f"t{team}", weight)
            one.owner = team
            if admission.admit(one, now_ms):
                ends[one] = now_ms + random.uniform(10.0, longest_ms)
    waiting = {team: 40 for team in used}
    for one in ends:
        waiting[int(str(one.owner))] -= 1
    starts_at: dict[int, float] | None = None
    while all(waiting.values()):
        done = min(ends, key=ends.__getitem__)
        now_ms = ends.pop(done)
        admission.remove(done, now_ms)
        if starts_at is not None:
            used[int(str(done.owner))] += now_ms - done.started_ms
        while (ready := admission.start_next(now_ms)) is not None:
            starts_at = starts_at or {}
            ends[ready] = now_ms + random.uniform(10.0, longest_ms)
            waiting[int(str(ready.owner))] -= 1
    # A charge of 150 ms is corrected at the end of each run, so up to `slots` runs of
    # a team may be charged too much or too little at any moment.
    charged_ms = max(longest_ms, 150.0)
    for a, weight_a in enumerate(weights):
        for b, weight_b in enumerate(weights):
            bound = (2 * slots + 1) * charged_ms * (1 / weight_a + 1 / weight_b)
            assert used[a] / weight_a - used[b] / weight_b <= bound


def test_an_idle_team_does_not_save_up_its_share() -> None:
    """Guards against a team that is served alone after it sent nothing for long."""
    shares = TeamShares()
    for _ in range(100):
        shares.record_start(1, "busy", 1.0, 50.0)
    assert shares.start_tag(1, "idle") == 99 * 50.0


def test_requests_without_a_team_stay_ahead_within_their_priority() -> None:
    admission = Admission(slots=1)
    admission.admit(team_ticket("a"), 0.0)
    first, call, urgent = team_ticket("b"), team_ticket(""), team_ticket("c", 1.0, 0)
    for one in (first, call, urgent):
        admission.admit(one, 0.0)
    admission.slots = 4
    started = [admission.start_next(0.0) for _ in range(3)]
    assert started == [urgent, call, first]


def test_a_team_that_sends_much_does_not_delay_others() -> None:
    """Guards the estimate of the wait, by which requests are refused."""
    admission = Admission(slots=1)
    admission.record_run("read", 100.0)
    deadline_ms = 1000.0
    flood = [Ticket("read", 1, 0.0, 400.0, deadline_ms, team="big") for _ in range(10)]
    decisions = [admission.admit(one, 0.0) for one in flood]
    assert isinstance(decisions[-1], Refused)
    small = Ticket("read", 1, 0.0, 400.0, deadline_ms, team="small")
    assert admission.admit(small, 0.0) is False
    admission.remove(flood[0], 100.0)
    assert admission.start_next(100.0) is small


def test_teams_that_no_longer_wait_are_dropped() -> None:
    """Guards the memory of a node against many teams."""
    shares = TeamShares()
    for number in range(10 * MAX_TEAMS):
        shares.record_start(1, f"t{number}", 1.0, 0.0)
    assert len(shares._next) <= MAX_TEAMS
    assert math.isfinite(shares.start_tag(1, "t1"))


def test_start_time_fair_queueing_serves_every_team() -> None:
    """One of 77 teams sends 8 times its usual rate; load is 2.4 times the capacity.

    The share of each team is at least half of the share over all teams.
    """
    former, fair = mean_shares("none", 2), mean_shares("start-time", 2)
    assert fair.least >= fair.overall / 2
    assert fair.least > former.least
    assert fair.overall >= former.overall - 0.01


def test_the_weight_of_a_team_is_its_limit(harness: InboundHarness) -> None:
    """A run takes the weight from the configuration in force at its node."""
    teams = TeamDirectory.build([(Team("a", 1, 12.0), [b"k"]), (Team("b", 1), [])])
    table = RoutingTable(Document(1, {}, Limits(), [], teams), Random(1))
    inbound = harness.inbound
    assert inbound.team_weight("a") == 1.0
    inbound.table = lambda: table
    assert [inbound.team_weight(one) for one in ("a", "b", "c", "")] == [12.0, 1, 1, 1]
    run = harness.submit(RecordingReceiver())
    assert (run.ticket.team, run.ticket.weight) == ("", 1.0)
    run.cancel()
    request = Request(
        b"GET", b"/", [], "shop", b"i-1", "read", b"r", b"", True, 17, 900.0, 400.0,
        harness.loop.now_ms, 0, True, b"", team="a",
    )  # fmt: skip
    run = inbound.submit(request, RecordingReceiver())
    assert (run.ticket.team, run.ticket.weight) == ("a", 12.0)
    harness.loop.run_due()
    harness.loop.now_ms += 30.0
    answer(run)
    # Charged for the 30 ms that it took, not for the 150 ms that were expected.
    assert inbound.admission.shares.start_tag(17, "a") == 30.0 / 12.0
