"""Client retries and their effect on other requests."""

import heapq
import math
from collections import Counter
from random import Random

import pytest

from azurestep.mesh.callers.context import CallContext
from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.returning import (
    Attempt,
    ReturningCallers,
    limit_wait_ms,
)

from .fixtures_mesh import MeshFleet, caller_headers
from .test_mesh_admission import end_request, remove_expiring

REQUEST_KEY = (b"GET", b"shop.example", b"/read/1")


@pytest.fixture
def returning() -> ReturningCallers:
    return ReturningCallers()


def test_a_retry_is_matched_by_request_key_and_deadline(
    returning: ReturningCallers,
) -> None:
    returning.add(Attempt(REQUEST_KEY, 0.0, 1200.0))
    assert (
        returning.pop_first_attempt_ms((b"GET", b"other", b"/"), 80.0, 1200.0) == 80.0
    )
    assert returning.pop_first_attempt_ms(REQUEST_KEY, 80.0, 1280.0) == 80.0
    assert returning.pop_first_attempt_ms(REQUEST_KEY, 80.0, 1202.0) == 0.0


def test_an_attempt_matches_one_retry(returning: ReturningCallers) -> None:
    returning.add(Attempt(REQUEST_KEY, 0.0, 1200.0))
    assert returning.pop_first_attempt_ms(REQUEST_KEY, 80.0, 1200.0) == 0.0
    assert returning.pop_first_attempt_ms(REQUEST_KEY, 90.0, 1200.0) == 90.0


def test_attempts_past_their_deadline_expire(returning: ReturningCallers) -> None:
    returning.add(Attempt(REQUEST_KEY, 0.0, 1200.0))
    returning.add(Attempt(REQUEST_KEY, 500.0, 1700.0))
    returning.expire(1300.0)
    assert returning.pop_first_attempt_ms(REQUEST_KEY, 1300.0, 1200.0) == 1300.0
    assert returning.pop_first_attempt_ms(REQUEST_KEY, 1300.0, 1700.0) == 500.0


async def test_the_second_attempt_of_a_caller_counts_from_its_first(
    mesh: MeshFleet,
) -> None:
    asked = mesh.instances[0]
    for instance in mesh.instances:
        await instance.beat(mesh.session, "draining")
    assert (await mesh.get(asked, "/read/7", "r1", 900))[0] == 503
    returning = asked.node.call_context.returning_callers
    now_ms = asked.node.runtime.now_ms()
    request_key = (b"GET", b"shop.example", b"/read/7")
    found_ms = returning.pop_first_attempt_ms(request_key, now_ms, now_ms + 895)
    assert 0 < now_ms - found_ms < 200
    assert caller_headers("r1")["Attempt-Id"] == "r1"


class OverloadSimulation:
    """Callers with up to two retries, at 1.5 times the capacity of one server."""

    SLOTS, RUN_MS, OBJECTIVE_MS, DEADLINE_MS = 13, 63.0, 200.0, 1200.0

    def __init__(self, recognises_retries: bool, seed: int) -> None:
        self.recognises_retries = recognises_retries
        self.random = Random(seed)
        self.admission = Admission(slots=self.SLOTS)
        self.outcomes: Counter[str] = Counter()
        self.events: list[tuple[float, int, object]] = []
        self.returning = ReturningCallers()
        self.number = 0

    def run_simulation(self, load: float = 1.5, seconds: float = 30.0) -> Counter[str]:
        at_ms, gap_ms = 0.0, self.RUN_MS / self.SLOTS / load
        while at_ms < seconds * 1000:
            self.add(at_ms, (at_ms, 0))
            at_ms += self.random.expovariate(1 / gap_ms)
        while self.events:
            now_ms, _, what = heapq.heappop(self.events)
            if isinstance(what, Ticket):
                self.end(what, now_ms)
            else:
                self.send_attempt(now_ms, *what)  # type: ignore[misc]
        return self.outcomes

    def add(self, at_ms: float, what: object) -> None:
        self.number += 1
        heapq.heappush(self.events, (at_ms, self.number, what))

    def send_attempt(self, now_ms: float, created_ms: float, retries: int) -> None:
        for ticket in remove_expiring(self.admission, now_ms):
            self.refused(now_ms, ticket.owner, 40.0)  # type: ignore[arg-type]
        request_key = (b"%f" % created_ms,)
        deadline_ms = created_ms + self.DEADLINE_MS
        first_attempt_ms = now_ms
        if self.recognises_retries:
            first_attempt_ms = self.returning.pop_first_attempt_ms(
                request_key, now_ms, deadline_ms
            )
        objective_deadline_ms = first_attempt_ms + self.OBJECTIVE_MS
        owner = (created_ms, retries)
        ticket = Ticket("read", 2, now_ms, objective_deadline_ms, deadline_ms, owner)
        decision = self.admission.admit(ticket, now_ms)
        if isinstance(decision, Refused):
            self.returning.add(Attempt(request_key, first_attempt_ms, deadline_ms))
            self.refused(now_ms, owner, decision.retry_after_ms)
        elif decision:
            self.run(ticket, now_ms)

    def refused(
        self, now_ms: float, owner: tuple[float, int], retry_after_ms: float
    ) -> None:
        created_ms, retries = owner
        back_ms = now_ms + retry_after_ms * self.random.uniform(0.5, 1.5)
        if retries >= 2 or back_ms > created_ms + self.DEADLINE_MS:
            self.outcomes["refused"] += 1
        else:
            self.add(back_ms, (created_ms, retries + 1))

    def run(self, ticket: Ticket, now_ms: float) -> None:
        self.add(now_ms + self.random.gammavariate(2, self.RUN_MS / 2), ticket)

    def end(self, ticket: Ticket, now_ms: float) -> None:
        created_ms, _ = ticket.owner  # type: ignore[misc]
        late = now_ms - created_ms > self.OBJECTIVE_MS
        self.outcomes["late" if late else "in time"] += 1
        self.admission.record_run("read", self.RUN_MS)
        for started in end_request(self.admission, ticket, now_ms):
            self.run(started, now_ms)


def mean_value(outcomes: Counter[str]) -> float:
    """Return the mean value of the answers, with 0.3 for a late one."""
    return (outcomes["in time"] + 0.3 * outcomes["late"]) / outcomes.total()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_answers_are_in_time_when_retries_are_recognised(seed: int) -> None:
    unrecognised = OverloadSimulation(
        recognises_retries=False, seed=seed
    ).run_simulation()
    recognised = OverloadSimulation(recognises_retries=True, seed=seed).run_simulation()
    print(unrecognised, mean_value(unrecognised), recognised, mean_value(recognised))
    assert mean_value(recognised) > mean_value(unrecognised) + 0.05
    served = recognised["in time"] + recognised["late"]
    assert served > 0.95 * (unrecognised["in time"] + unrecognised["late"])


async def test_only_repeated_requests_count_as_retries(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[Attempt] = []
    original = CallContext.identify_attempt

    def recording(self, exchange, caller) -> Attempt:  # type: ignore[no-untyped-def]
        asked.append(original(self, exchange, caller))
        return asked[-1]

    monkeypatch.setattr(CallContext, "identify_attempt", recording)
    await mesh.get(mesh.instances[0], "/read/8", "n1", 900)
    for instance in mesh.instances:
        await instance.beat(mesh.session, "draining")
    await mesh.get(mesh.instances[0], "/read/9", "n2", 900)
    await mesh.get(mesh.instances[0], "/read/9", "n3", 895)
    assert [attempt.is_retry for attempt in asked] == [False, False, True]


def test_a_refused_caller_is_told_a_wait_that_it_keeps_to() -> None:
    """Callers told to wait longer than a third of their time ask when they like."""
    jitter = 0.5
    for left_ms in (50.0, 400.0, 3000.0):
        for wait_ms in (20.0, 120.0, 5000.0):
            told_ms = limit_wait_ms(wait_ms, left_ms, jitter)
            assert told_ms * (1 + jitter) <= left_ms / 3 + 1e-9 or told_ms == wait_ms
            assert told_ms <= wait_ms
    assert limit_wait_ms(120.0, math.inf, jitter) == 120.0
