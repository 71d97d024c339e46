"""Calls between services at one backend server, which go before new work."""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.call_slots import CALL_MEMORY_MS
from azurestep.mesh.decisions.calling_services import MIN_ROUTE_REQUESTS
from azurestep.mesh.messages import Request
from azurestep.routing.teams import TeamDirectory

from .fixtures_inbound import InboundHarness, RecordingReceiver

CALL_OBJECTIVE_MS, CALL_DEADLINE_MS = 120.0, 500.0


def call(now_ms: float = 0.0, priority: int = 17) -> Ticket:
    objective_ms = now_ms + CALL_OBJECTIVE_MS
    deadline_ms = now_ms + CALL_DEADLINE_MS
    return Ticket("lookup", priority, now_ms, objective_ms, deadline_ms, is_call=True)


def new_work(now_ms: float = 0.0, priority: int = 18) -> Ticket:
    return Ticket("read", priority, now_ms, now_ms + 1200.0, now_ms + 3000.0)


def full_server(slots: int = 3) -> Admission:
    """Return a server whose slots are all held by long runs of new work."""
    admission = Admission(slots=slots)
    admission.record_run("read", 400.0)
    admission.record_run("lookup", 39.0)
    for _ in range(slots):
        assert admission.admit(new_work(), 0.0) is True
    return admission


def test_a_call_waits_although_it_misses_its_objective() -> None:
    """Guards against runs that fail as their calls are refused at full servers."""
    admission = full_server()
    assert admission.admit(call(), 0.0) is False
    admission = full_server()
    plain = call()
    plain.is_call = False
    assert isinstance(admission.admit(plain, 0.0), Refused)


def test_a_call_is_refused_if_it_can_not_end_before_its_deadline() -> None:
    admission = full_server(slots=1)
    admission.record_run("read", 3000.0)
    assert isinstance(admission.admit(call(), 0.0), Refused)


def test_a_call_that_misses_its_objective_keeps_its_place() -> None:
    """It fell behind all new work that could still meet its own objective."""
    admission = full_server()
    waiting = call(priority=33)
    admission.admit(waiting, 0.0)
    admission.admit(new_work(priority=0), 0.0)
    admission.remove(next(iter(admission.running)))
    assert admission.start_next(200.0) is waiting


def test_a_slot_is_kept_while_calls_wait_long_and_given_back_after() -> None:
    admission = full_server()
    for _ in range(3):
        waiting = call()
        admission.admit(waiting, 0.0)
        admission.remove(next(iter(admission.running)))
        assert admission.start_next(130.0) is waiting
    for one in list(admission.running):
        admission.remove(one)
    now_ms = 140.0
    assert [admission.admit(new_work(now_ms), now_ms) for _ in range(3)] == [
        True,
        True,
        False,
    ]
    assert admission.admit(call(now_ms), now_ms) is True
    admission.remove(next(one for one in admission.running if one.is_call))
    assert admission.start_next(now_ms) is None
    assert admission.start_next(now_ms + CALL_MEMORY_MS) is not None


def test_a_call_takes_a_free_slot_beside_new_work_that_waits() -> None:
    """It waited for the next scan, or was refused if it was not to wait."""
    admission = full_server(slots=2)
    admission.limiter.set_rate(1000.0, 0.0)
    admission.admit(new_work(), 0.0)
    admission.remove(next(iter(admission.running)))
    assert admission.admit(call(), 0.0) is True
    admission.remove(next(one for one in admission.running if one.is_call))
    assert admission.admit(new_work(), 0.0) is False


def test_a_kept_slot_needs_no_timer_under_a_rate_limit() -> None:
    """A timer that is due at once would scan the queue without end."""
    admission = full_server(slots=2)
    admission.limiter.set_rate(50.0, 0.0)
    for _ in range(2):
        admission.admit(call(), 0.0)
    admission.remove(next(iter(admission.running)))
    for _ in range(2):
        assert admission.start_next(130.0) is not None
        admission.remove(next(one for one in admission.running if one.is_call))
    assert admission.admit(new_work(140.0), 140.0) is False
    assert admission.next_start_ms(140.0) is None


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 200)), max_size=100
    ),
    st.integers(1, 4),
)
def test_no_request_is_lost_and_new_work_is_never_shut_out(
    steps: list[tuple[int, bool, float]], slots: int
) -> None:
    """New work gets a slot of an idle server, whatever calls came before."""
    admission = Admission(slots=slots)
    now_ms, open_count = 0.0, 0
    for action, is_call, gap_ms in steps:
        now_ms += gap_ms
        if action and admission.running:
            admission.remove(next(iter(admission.running)), now_ms)
            open_count -= 1
        elif not action:
            one = call(now_ms) if is_call else new_work(now_ms)
            open_count += not isinstance(admission.admit(one, now_ms), Refused)
        while admission.start_next(now_ms) is not None:
            pass
        assert len(admission.running) <= slots
        assert admission.in_flight == open_count
        if admission.waiting:
            assert admission.running
    for one in [*admission.running, *admission.waiting]:
        admission.remove(one)
    assert admission.admit(new_work(now_ms), now_ms) is True


def submit(
    harness: InboundHarness, number: int, calling_service: bytes, team: str = ""
) -> Ticket:
    """Submit a request, cancel it and return its ticket."""
    request = Request(
        b"GET", b"/", [], "shop", b"i-1", "lookup", b"r%d" % number, calling_service,
        True, 17, 500.0, 120.0, harness.loop.now_ms, 0, True, b"", team=team,
    )  # fmt: skip
    run = harness.inbound.submit(request, RecordingReceiver())
    run.cancel()
    harness.loop.run_due()
    return run.ticket


def test_a_node_detects_calls_to_its_server(harness: InboundHarness) -> None:
    tickets = [submit(harness, one, b"books") for one in range(MIN_ROUTE_REQUESTS)]
    assert [one.is_call for one in tickets] == [False] * (len(tickets) - 1) + [True]


@pytest.fixture
def team_harness(harness: InboundHarness) -> InboundHarness:
    """Return a backend server's node whose configuration has teams."""
    teams = TeamDirectory.build([])
    harness.inbound.table = lambda: SimpleNamespace(teams=teams)
    return harness


def test_a_restarted_node_takes_requests_without_a_team_for_calls(
    team_harness: InboundHarness,
) -> None:
    """For seconds after a restart of all nodes, calls were refused as new work."""
    assert submit(team_harness, 1, b"books").is_call
    assert not submit(team_harness, 2, b"books", team="riggers").is_call
    assert not submit(team_harness, 3, b"shop").is_call


def test_callers_of_a_public_route_do_not_stay_taken_for_calls(
    team_harness: InboundHarness,
) -> None:
    """They would go before all other new work for good."""
    services = (b"books", b"files")
    tickets = [
        submit(team_harness, one, services[one % 2])
        for one in range(MIN_ROUTE_REQUESTS + 1)
    ]
    assert tickets[0].is_call
    assert not tickets[-1].is_call


def test_new_work_that_waits_gets_its_share_behind_endless_calls() -> None:
    """Guards against new work that is never served while calls fill all slots."""
    admission = Admission(slots=3)
    admission.record_run("read", 400.0)
    admission.record_run("lookup", 39.0)
    ends: dict[Ticket, float] = {}
    used = {"read": 0.0, "lookup": 0.0}
    for now_ms in range(0, 30_000, 5):
        for _ in range(1 + (now_ms % 25 == 0)):
            admission.admit(call(now_ms), now_ms)
        if now_ms % 200 == 0:
            admission.admit(new_work(now_ms), now_ms)
        for one in admission.find_expiring(now_ms):
            admission.remove(one, now_ms)
        for one in [one for one, end_ms in ends.items() if end_ms <= now_ms]:
            del ends[one]
            admission.remove(one, now_ms)
        admission.start_next(now_ms)
        while admission.start_next(now_ms) is not None:
            pass
        for one in admission.running:
            if one not in ends:
                run_ms = admission.mean_run_ms(one.route)
                used[one.route] += run_ms
                ends[one] = now_ms + run_ms
    share = used["read"] / (used["read"] + used["lookup"])
    assert 0.15 <= share <= 0.35
