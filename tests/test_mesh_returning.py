"""Callers that come back after a refusal, and what it does to fresh ones."""

import heapq
from collections import Counter
from random import Random

import pytest

from azurestep.mesh.callers.context import CallContext
from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.returning import Attempt, ReturningCallers

from .fixtures_mesh import MeshFleet, caller_headers
from .test_mesh_admission import expired, freed

PLACE = (b"GET", b"shop.example", b"/read/1")


@pytest.fixture
def returning() -> ReturningCallers:
    return ReturningCallers()


def test_a_caller_is_known_by_its_place_and_deadline(
    returning: ReturningCallers,
) -> None:
    returning.add(Attempt(PLACE, 0.0, 1200.0))
    assert returning.first_attempt_ms((b"GET", b"other", b"/"), 80.0, 1200.0) == 80.0
    assert returning.first_attempt_ms(PLACE, 80.0, 1280.0) == 80.0
    assert returning.first_attempt_ms(PLACE, 80.0, 1202.0) == 0.0


def test_an_attempt_comes_back_once(returning: ReturningCallers) -> None:
    returning.add(Attempt(PLACE, 0.0, 1200.0))
    assert returning.first_attempt_ms(PLACE, 80.0, 1200.0) == 0.0
    assert returning.first_attempt_ms(PLACE, 90.0, 1200.0) == 90.0


def test_callers_that_gave_up_are_forgotten(returning: ReturningCallers) -> None:
    returning.add(Attempt(PLACE, 0.0, 1200.0))
    returning.add(Attempt(PLACE, 500.0, 1700.0))
    returning.expire(1300.0)
    assert returning.first_attempt_ms(PLACE, 1300.0, 1200.0) == 1300.0
    assert returning.first_attempt_ms(PLACE, 1300.0, 1700.0) == 500.0


async def test_the_second_attempt_of_a_caller_counts_from_its_first(
    mesh: MeshFleet,
) -> None:
    asked = mesh.instances[0]
    for instance in mesh.instances:
        await instance.beat(mesh.session, "draining")
    assert (await mesh.get(asked, "/read/7", "r1", 900))[0] == 503
    returning = asked.node.calls.returning_callers
    now_ms = asked.node.runtime.now_ms()
    request_key = (b"GET", b"shop.example", b"/read/7")
    found_ms = returning.first_attempt_ms(request_key, now_ms, now_ms + 895)
    assert 0 < now_ms - found_ms < 200
    assert caller_headers("r1")["Attempt-Id"] == "r1"


class Overload:
    """Callers with one objective and two more attempts at one loaded server.

    Reads of 63 ms in the mean, an objective of 200 ms and a deadline of 1,200 ms come
    at 1.5 times what 13 slots carry for 30 s.
    """

    SLOTS, RUN_MS, OBJECTIVE_MS, DEADLINE_MS = 13, 63.0, 200.0, 1200.0

    def __init__(self, remembers: bool, seed: int) -> None:
        self.remembers = remembers
        self.random = Random(seed)
        self.admission = Admission(slots=self.SLOTS)
        self.outcomes: Counter[str] = Counter()
        self.events: list[tuple[float, int, object]] = []
        self.returning = ReturningCallers()
        self.number = 0

    def play(self, load: float = 1.5, seconds: float = 30.0) -> Counter[str]:
        at_ms, gap_ms = 0.0, self.RUN_MS / self.SLOTS / load
        while at_ms < seconds * 1000:
            self.add(at_ms, (at_ms, 0))
            at_ms += self.random.expovariate(1 / gap_ms)
        while self.events:
            now_ms, _, what = heapq.heappop(self.events)
            if isinstance(what, Ticket):
                self.end(what, now_ms)
            else:
                self.ask(now_ms, *what)  # type: ignore[misc]
        return self.outcomes

    def add(self, at_ms: float, what: object) -> None:
        self.number += 1
        heapq.heappush(self.events, (at_ms, self.number, what))

    def ask(self, now_ms: float, born_ms: float, tries: int) -> None:
        for ticket in expired(self.admission, now_ms):
            self.refused(now_ms, ticket.owner, 40.0)  # type: ignore[arg-type]
        request_key = (b"%f" % born_ms,)
        ends_ms = born_ms + self.DEADLINE_MS
        first_attempt_ms = now_ms
        if self.remembers:
            first_attempt_ms = self.returning.first_attempt_ms(
                request_key, now_ms, ends_ms
            )
        objective_deadline_ms = first_attempt_ms + self.OBJECTIVE_MS
        owner = (born_ms, tries)
        ticket = Ticket("read", 2, now_ms, objective_deadline_ms, ends_ms, owner)
        decision = self.admission.offer(ticket, now_ms)
        if isinstance(decision, Refused):
            self.returning.add(Attempt(request_key, first_attempt_ms, ends_ms))
            self.refused(now_ms, owner, decision.retry_after_ms)
        elif decision:
            self.run(ticket, now_ms)

    def refused(
        self, now_ms: float, owner: tuple[float, int], retry_after_ms: float
    ) -> None:
        born_ms, tries = owner
        back_ms = now_ms + retry_after_ms * self.random.uniform(0.5, 1.5)
        if tries >= 2 or back_ms > born_ms + self.DEADLINE_MS:
            self.outcomes["refused"] += 1
        else:
            self.add(back_ms, (born_ms, tries + 1))

    def run(self, ticket: Ticket, now_ms: float) -> None:
        self.add(now_ms + self.random.gammavariate(2, self.RUN_MS / 2), ticket)

    def end(self, ticket: Ticket, now_ms: float) -> None:
        born_ms, _ = ticket.owner  # type: ignore[misc]
        late = now_ms - born_ms > self.OBJECTIVE_MS
        self.outcomes["late" if late else "in time"] += 1
        self.admission.learn("read", self.RUN_MS)
        for started in freed(self.admission, ticket, now_ms):
            self.run(started, now_ms)


def credit(outcomes: Counter[str]) -> float:
    """Return the credit earned, with 0.3 for a late answer."""
    return (outcomes["in time"] + 0.3 * outcomes["late"]) / outcomes.total()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_answers_are_in_time_when_returning_callers_are_known(seed: int) -> None:
    taken_for_new = Overload(remembers=False, seed=seed).play()
    known = Overload(remembers=True, seed=seed).play()
    print(taken_for_new, credit(taken_for_new), known, credit(known))
    assert credit(known) > credit(taken_for_new) + 0.05
    served = known["in time"] + known["late"]
    assert served > 0.95 * (taken_for_new["in time"] + taken_for_new["late"])


async def test_only_attempts_that_came_before_count_as_returned(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[Attempt] = []
    plain = CallContext.identify_attempt

    def noting(self, exchange, caller) -> Attempt:  # type: ignore[no-untyped-def]
        asked.append(plain(self, exchange, caller))
        return asked[-1]

    monkeypatch.setattr(CallContext, "identify_attempt", noting)
    await mesh.get(mesh.instances[0], "/read/8", "n1", 900)
    for instance in mesh.instances:
        await instance.beat(mesh.session, "draining")
    await mesh.get(mesh.instances[0], "/read/9", "n2", 900)
    await mesh.get(mesh.instances[0], "/read/9", "n3", 895)
    assert [attempt.is_retry for attempt in asked] == [False, False, True]
