"""Load balancing: spill-over, slow start, load reports and ejection."""

import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.balancing import (
    AttemptOutcome,
    Balancer,
    Endpoint,
    EndpointKey,
    LoadReport,
    OutcomeKind,
)
from azurestep.config.model import LimitRule, SelectionRule, Service

GOOD = AttemptOutcome(OutcomeKind.SUCCESS, 10.0)
BAD = AttemptOutcome(OutcomeKind.ERROR, 1.0)


def endpoint(number, data_centre="dc1", **changes):
    key = EndpointKey("127.0.0.1", 8000 + number, 1)
    made = Endpoint(key, "songs", f"i{number}", data_centre, 12)
    return attrs.evolve(made, **changes)


def make_balancer(endpoints, instance="elsewhere", **selection):
    rule = SelectionRule(**selection)
    service = Service("songs", selection=rule, limits=LimitRule(adaptive=False))
    balancer = Balancer(service, "dc1", instance, random.Random(9))
    balancer.replace(endpoints, 0.0)
    return balancer


def call(balancer, now_ms, outcome_of, avoid=()):
    state = balancer.choose(avoid)
    balancer.start(state)
    balancer.finish(state.endpoint, outcome_of(state.endpoint), now_ms)
    balancer.run_health_checks(now_ms)
    return state.endpoint.key.port - 8000


def count_calls(balancer, outcome_of, count=600, start_ms=0.0):
    """Return the number of calls per backend server, for calls 10 ms apart."""
    numbers = range(count)
    return Counter(
        call(balancer, start_ms + 10.0 * number, outcome_of) for number in numbers
    )


def run_idle(balancer, start_ms, end_ms):
    """Run the reviews of a period without calls."""
    for now_ms in range(start_ms, end_ms, 250):
        balancer.run_health_checks(float(now_ms))


def test_requests_stay_local_below_the_spill_over_ratio():
    balancer = make_balancer([endpoint(0), endpoint(1), endpoint(2, "dc2")])
    assert count_calls(balancer, lambda _: GOOD)[2] == 0


def test_the_local_backend_server_is_preferred_while_idle():
    balancer = make_balancer([endpoint(0), endpoint(1)], instance="i1")
    assert count_calls(balancer, lambda _: GOOD) == {1: 600}
    held = [balancer.choose() for _ in range(3)]
    for _ in held:
        balancer.start(balancer.choose())
    others = {balancer.choose().endpoint.key.port for _ in range(20)}
    assert 8000 in others


def test_a_busy_data_centre_spills_over_to_the_less_used_ones():
    endpoints = [endpoint(0), endpoint(1, "dc2"), endpoint(2, "dc3")]
    balancer = make_balancer(endpoints, spill_over_ratio=0.5)
    for _ in range(6):
        balancer.start(balancer.choose())
    seen = Counter()
    for _ in range(12):
        state = balancer.choose()
        balancer.start(state)
        seen[state.endpoint.data_centre] += 1
    assert seen["dc2"] >= 4
    assert seen["dc3"] >= 4


def test_a_data_centre_without_backend_servers_uses_remote_ones():
    balancer = make_balancer([endpoint(0, "dc2")])
    assert count_calls(balancer, lambda _: GOOD) == {0: 600}


def test_a_new_backend_server_starts_with_a_small_share():
    new = endpoint(2, first_seen_ms=1000.0)
    balancer = make_balancer([endpoint(0), endpoint(1), new], ramp_up_ms=5000)
    balancer.run_health_checks(1500.0)
    seen = Counter()
    for _ in range(12):
        state = balancer.choose()
        balancer.start(state)
        seen[state.endpoint.key.port - 8000] += 1
    assert seen[2] <= 1
    balancer.run_health_checks(7000.0)
    for _ in range(15):
        balancer.start(balancer.choose())
    assert balancer.choose().endpoint.key.port == 8002


def test_fast_errors_do_not_attract_traffic():
    balancer = make_balancer([endpoint(number) for number in range(4)])
    seen = count_calls(balancer, lambda one: BAD if one.key.port == 8000 else GOOD)
    assert seen[0] < 30


@pytest.mark.parametrize("outcome", [BAD, AttemptOutcome(OutcomeKind.SUCCESS, 500.0)])
def test_one_bad_answer_does_not_exclude_a_server_permanently(outcome):
    balancer = make_balancer([endpoint(n) for n in range(3)])
    count_calls(balancer, lambda _: GOOD)
    state = balancer.pools[0].members[0]
    balancer.start(state)
    balancer.finish(state.endpoint, outcome, 6000.0)
    run_idle(balancer, 6000, 20_000)
    assert count_calls(balancer, lambda _: GOOD, start_ms=20_000.0)[0] > 100


def test_a_latency_outlier_is_ejected_and_restored():
    balancer = make_balancer([endpoint(n) for n in range(4)], ejection_ms=2000)
    slow = AttemptOutcome(OutcomeKind.SUCCESS, 200.0)
    seen = count_calls(balancer, lambda one: slow if one.key.port == 8000 else GOOD)
    assert seen[0] < 60
    run_idle(balancer, 6000, 30_000)
    later = count_calls(balancer, lambda _: GOOD, start_ms=30_000.0)
    assert later[0] > 60


def test_each_further_ejection_lasts_twice_as_long():
    balancer = make_balancer([endpoint(n) for n in range(4)], ejection_ms=1000)
    state = balancer.pools[0].members[0]
    ends = []
    for number in range(20_000):
        now_ms = 10.0 * number
        call(balancer, now_ms, lambda one: BAD if one.key.port == 8000 else GOOD)
        if state.ejected and state.ejected_until_ms not in ends:
            ends.append(state.ejected_until_ms)
            last = state.ejected_until_ms - now_ms
            assert last == pytest.approx(1000.0 * 2 ** (len(ends) - 1), abs=10)
    assert len(ends) >= 3


def test_ejections_stay_within_the_maximum_when_all_fail():
    balancer = make_balancer([endpoint(n) for n in range(6)], ejection_ratio=0.34)
    count_calls(balancer, lambda _: BAD)
    members = balancer.pools[0].members
    assert sum(state.ejected for state in members) <= 2
    assert balancer.choose() is not None


def test_ejected_servers_are_restored_when_the_others_leave():
    endpoints = [endpoint(n) for n in range(6)]
    balancer = make_balancer(endpoints)
    for state in balancer.pools[0].members[:2]:
        for _ in range(5):
            balancer.start(state)
            balancer.finish(state.endpoint, BAD, 100.0)
    assert balancer.choose().endpoint.key.port > 8001
    left = [attrs.evolve(one, leaving=True) for one in endpoints[2:]]
    balancer.replace([*endpoints[:2], *left], 200.0)
    assert balancer.choose().endpoint.key.port <= 8001


def test_load_reports_alone_never_exclude_every_server():
    endpoints = [endpoint(n) for n in range(4)]
    balancer = make_balancer(endpoints)
    for one in endpoints:
        balancer.report(LoadReport(one.key, load=1.0, healthy=False))
    assert sum(count_calls(balancer, lambda _: GOOD).values()) == 600


def test_a_false_load_report_shifts_little_load():
    endpoints = [endpoint(n) for n in range(4)]
    balancer = make_balancer(endpoints)
    for one in endpoints[1:]:
        balancer.report(LoadReport(one.key, load=1.0))
    for _ in range(24):
        balancer.start(balancer.choose())
    assert balancer.pools[0].members[0].in_flight <= 9


def test_a_retry_avoids_tried_servers_unless_there_is_no_other():
    balancer = make_balancer([endpoint(0), endpoint(1)])
    tried = (endpoint(0).key,)
    for _ in range(12):
        state = balancer.choose(tried)
        assert state.endpoint.key.port == 8001
        balancer.start(state)
    assert balancer.choose(tried) is None
    alone = make_balancer([endpoint(0)])
    assert alone.choose(tried) is not None


def test_a_new_incarnation_starts_with_cleared_statistics():
    balancer = make_balancer([endpoint(0), endpoint(1), endpoint(2)])
    failing = balancer.pools[0].members[0]
    for _ in range(5):
        balancer.start(failing)
        balancer.finish(failing.endpoint, BAD, 100.0)
    assert failing.ejected
    restarted = endpoint(0, key=EndpointKey("127.0.0.1", 8000, 2))
    balancer.replace([restarted, endpoint(1), endpoint(2)], 6000.0)
    assert not balancer.pools[0].members[0].ejected


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["call", "leave", "join", "review", "hold", "free"]),
        st.integers(0, 5),
        st.sampled_from(list(OutcomeKind)),
        st.floats(0.0, 4000.0),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps=STEPS, ratio=st.floats(0.0, 1.0))
def test_some_backend_server_always_stays_eligible(steps, ratio):
    known = {n: endpoint(n, f"dc{n % 2 + 1}") for n in range(6)}
    balancer = make_balancer(known.values(), ejection_ratio=ratio)
    now_ms, held = 0.0, []
    for action, number, kind, step_ms in steps:
        now_ms += step_ms
        if action in ("leave", "join"):
            known[number] = attrs.evolve(known[number], leaving=action == "leave")
            balancer.replace(known.values(), now_ms)
        elif action == "review":
            balancer.run_health_checks(now_ms)
        elif action == "free" and held:
            balancer.finish(held.pop(), AttemptOutcome(kind, 5.0), now_ms)
        else:
            _use(balancer, held, action, AttemptOutcome(kind, 5.0), now_ms)
        _check(balancer, held, known)


def _use(balancer, held, action, outcome, now_ms):
    state = balancer.choose()
    if state is None:
        return
    assert not state.endpoint.leaving
    assert not state.ejected
    balancer.start(state)
    if action == "hold":
        held.append(state.endpoint)
    else:
        balancer.finish(state.endpoint, outcome, now_ms)


def _check(balancer, held, known):
    states = [state for pool in balancer.pools for state in pool.members]
    staying = [state for state in states if not state.endpoint.leaving]
    assert sum(state.in_flight for state in states) == len(held)
    assert all(state.in_flight <= 12 for state in states)
    if staying:
        assert any(state.eligible for state in staying)
    for pool in balancer.pools:
        eligible = [state for state in pool.members if state.eligible]
        assert pool.total_in_flight == sum(state.in_flight for state in eligible)
        free = {id(state) for state in eligible if state.in_flight < 12}
        assert {id(state) for state in pool.available} == free
