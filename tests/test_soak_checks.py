"""Each check of the soak fails on what a broken node would show, and only there."""

import attrs
import pytest

from azurestep.lines.faults import ProgramFault
from soak import checks
from soak.records import (
    Arrival,
    Call,
    Leaving,
    Limit,
    Observations,
    Publication,
    Trouble,
)

PAYMENT = Call("p1", 0, "/pay/", False, 10.0, 10.1, 200, True)
READ = Call("r1", 0, "/read/", True, 10.0, 10.1, 200, True)
ARRIVAL = Arrival("p1", "i-0-0", 10.05)


@pytest.fixture
def seen() -> Observations:
    """Return what a sound fleet shows."""
    calm = [attrs.evolve(READ, name=f"r{i}", sent_s=30.0 + i) for i in range(40)]
    calm = [attrs.evolve(call, ended_s=call.sent_s + 0.1) for call in calm]
    return Observations(
        calls=[PAYMENT, READ, *calm], arrivals=[ARRIVAL], calm_from_s=29.0
    )


def test_a_sound_fleet_breaks_nothing(seen: Observations) -> None:
    assert checks.broken(seen) == {}


def twice(seen: Observations) -> None:
    seen.arrivals.append(Arrival("p1", "i-1-0", 10.2))


def false_refusal(seen: Observations) -> None:
    seen.calls[0] = attrs.evolve(PAYMENT, status=503)


def foreign_answer(seen: Observations) -> None:
    seen.calls[1] = attrs.evolve(READ, own=False)


def late_answer(seen: Observations) -> None:
    seen.calls[1] = attrs.evolve(READ, ended_s=READ.sent_s + 3.0)


def late_arrival(seen: Observations) -> None:
    seen.leavings.append(Leaving("i-0-0", 7.0))


def broken_limit(seen: Observations) -> None:
    seen.limits.append(Limit("i-0-0", 2.0, 9.0, 14.0))
    seen.arrivals += [Arrival(f"r{i}", "i-0-0", 10.1 + i / 10) for i in range(17)]


def overdue_version(seen: Observations) -> None:
    seen.publications.append(Publication(2, "/added/", 5.0))
    seen.calls.append(
        attrs.evolve(READ, path="/added/", sent_s=8.0, ended_s=8.1, status=404)
    )


def lost_version(seen: Observations) -> None:
    added = attrs.evolve(READ, path="/added/", sent_s=8.0, ended_s=8.1)
    seen.calls.append(added)
    seen.calls.append(attrs.evolve(added, sent_s=8.5, ended_s=8.6, status=404))


def cut_at_a_stop(seen: Observations) -> None:
    seen.troubles.append(Trouble(0, 9.5, 15.0, planned=True))
    seen.calls[0] = attrs.evolve(PAYMENT, status=0)


def unanswered_at_a_stop(seen: Observations) -> None:
    seen.troubles.append(Trouble(0, 9.5, 15.0, planned=True))
    seen.calls[1] = attrs.evolve(READ, status=0)


def fault_of_the_program(seen: Observations) -> None:
    seen.faults.append(
        ProgramFault(9010, "a fault", "node-0", "caller", 2, 0.0, "KeyError()", "")
    )


def crash(seen: Observations) -> None:
    seen.crashes.append("node-0")


def not_recovered(seen: Observations) -> None:
    seen.calls[2:] = [attrs.evolve(call, status=503) for call in seen.calls[2:]]


def nothing_sent_after(seen: Observations) -> None:
    seen.calm_from_s = 1000.0


@pytest.mark.parametrize(
    ("damage", "check"),
    [
        (twice, checks.ran_once),
        (false_refusal, checks.refusals_are_true),
        (foreign_answer, checks.answers_are_own),
        (late_answer, checks.answers_come_in_time),
        (broken_limit, checks.limits_are_kept),
        (late_arrival, checks.drained_servers_are_left_alone),
        (overdue_version, checks.versions_come_in_force),
        (lost_version, checks.versions_never_go_back),
        (cut_at_a_stop, checks.planned_stops_cut_nothing),
        (unanswered_at_a_stop, checks.planned_stops_cut_nothing),
        (fault_of_the_program, checks.programs_have_no_faults),
        (crash, checks.programs_have_no_faults),
        (not_recovered, checks.fleet_recovers),
        (nothing_sent_after, checks.fleet_recovers),
    ],
)
def test_a_broken_promise_is_found(seen: Observations, damage, check) -> None:  # type: ignore[no-untyped-def]
    damage(seen)
    assert set(checks.broken(seen)) == {check.__name__}


@pytest.mark.parametrize("damage", [late_answer, overdue_version, lost_version])
def test_a_node_in_trouble_is_not_held_to_bounds(seen: Observations, damage) -> None:  # type: ignore[no-untyped-def]
    damage(seen)
    seen.troubles.append(Trouble(0, 7.0, 14.0))
    assert checks.broken(seen) == {}


def test_a_cut_beside_an_unplanned_fault_is_allowed(seen: Observations) -> None:
    cut_at_a_stop(seen)
    seen.troubles.append(Trouble(0, 9.9, 10.5))
    assert checks.broken(seen) == {}


def test_a_request_is_held_to_its_own_deadline(seen: Observations) -> None:
    seen.calls[1] = attrs.evolve(READ, ended_s=READ.sent_s + 8.2, deadline_s=8.0)
    assert checks.broken(seen) == {}
    seen.calls[1] = attrs.evolve(READ, ended_s=READ.sent_s + 8.6, deadline_s=8.0)
    assert set(checks.broken(seen)) == {"answers_come_in_time"}


def test_trouble_of_another_node_excuses_nothing(seen: Observations) -> None:
    late_answer(seen)
    seen.troubles.append(Trouble(1, 7.0, 14.0))
    assert set(checks.broken(seen)) == {"answers_come_in_time"}
