"""Adaptive limits and the throttle for services shared by many nodes."""

import random

import pytest

from azurestep.balancing import (
    Admission,
    Admitted,
    Endpoint,
    EndpointKey,
    LimiterKind,
    Outcome,
    OutcomeKind,
    RefusalReason,
    Refused,
    RequestArrived,
)
from azurestep.balancing.endpoint_state import EndpointState
from azurestep.balancing.limiter import make_limiter
from azurestep.balancing.throttle import Throttle
from azurestep.config.model import ClassShares, LimitRule, Priority, Service

KEY = EndpointKey("127.0.0.1", 8000, 1)
ENDPOINT = Endpoint(KEY, "songs", "i1", "dc1", 12)
ADAPTIVE = [LimiterKind.AIMD, LimiterKind.GRADIENT]


@pytest.fixture(params=ADAPTIVE)
def state(request):
    return EndpointState(ENDPOINT, make_limiter(request.param, 12))


def observe(state, kind, latency_ms, count, start_ms=0.0):
    """Let attempts end every 20 ms and return when the next would."""
    state.outstanding = 12
    for number in range(count):
        state.observe(Outcome(kind, latency_ms), start_ms + 20.0 * number)
    return start_ms + 20.0 * count


def test_limit_falls_when_the_latency_rises(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    observe(state, OutcomeKind.SUCCESS, 400.0, 600, now_ms)
    assert state.limiter.limit < 6


def test_limit_returns_when_the_latency_does(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    now_ms = observe(state, OutcomeKind.SUCCESS, 400.0, 600, now_ms)
    observe(state, OutcomeKind.SUCCESS, 50.0, 1000, now_ms)
    assert state.limiter.limit > 10


def test_limit_stays_within_one_and_the_slots(state):
    now_ms = 0.0
    for kind, latency_ms in ((OutcomeKind.TIMEOUT, 900.0), (OutcomeKind.SUCCESS, 1.0)):
        now_ms = observe(state, kind, latency_ms, 2000, now_ms)
        assert 1.0 <= state.limiter.limit <= 12.0


def test_fast_refusals_are_not_taken_for_the_normal_latency(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    now_ms = observe(state, OutcomeKind.SHED, 1.0, 200, now_ms)
    now_ms = observe(state, OutcomeKind.ERROR, 1.0, 200, now_ms)
    observe(state, OutcomeKind.SUCCESS, 50.0, 1000, now_ms)
    assert state.limiter.limit > 10


def test_a_service_that_became_slower_for_good_gets_its_limit_back(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    observe(state, OutcomeKind.SUCCESS, 200.0, 16_000, now_ms)
    assert state.limiter.limit > 10


def make_admission(slots, limiter=None):
    service = Service("songs", limits=LimitRule(slots=slots))
    source = random.Random(5)
    admission = Admission(service, ClassShares(), "dc1", "i0", source, limiter=limiter)
    endpoint = Endpoint(KEY, "songs", "i1", "dc1", slots)
    admission.replace_endpoints([endpoint], 0.0)
    return admission


@pytest.fixture
def admission():
    return make_admission(64)


def drive(admission, kind, latency_ms, count, start_ms):
    """Send one request at a time, as a node does that is one of very many."""
    admitted = 0
    for number in range(count):
        now_ms = start_ms + 100.0 * number
        request = RequestArrived(Priority.BULK, now_ms, now_ms + 1000.0)
        decision = admission.request(request)
        if isinstance(decision, Admitted):
            admitted += 1
            outcome = Outcome(kind, latency_ms)
            admission.finish(decision.ticket, outcome, now_ms + latency_ms)
        else:
            assert isinstance(decision, Refused)
            assert decision.reason is RefusalReason.OVERLOAD
    return admitted / count


@pytest.mark.parametrize("kind", [OutcomeKind.SUCCESS, OutcomeKind.SHED])
def test_a_node_with_one_request_at_a_time_still_holds_back(admission, kind):
    drive(admission, OutcomeKind.SUCCESS, 20.0, 100, 0.0)
    drive(admission, kind, 400.0, 100, 20_000.0)
    assert drive(admission, kind, 400.0, 200, 40_000.0) < 0.3


def test_a_limit_that_is_as_low_as_can_be_leaves_the_work_to_the_throttle():
    admission = make_admission(1)
    drive(admission, OutcomeKind.SUCCESS, 20.0, 100, 0.0)
    drive(admission, OutcomeKind.SUCCESS, 90.0, 100, 20_000.0)
    assert drive(admission, OutcomeKind.SUCCESS, 90.0, 200, 40_000.0) < 0.3


def test_a_rare_long_answer_is_no_overload(admission):
    source = random.Random(11)
    refused = 0
    for number in range(3000):
        now_ms = 400.0 * number
        latency_ms = 320.0 if source.random() < 0.1 else 20.0
        request = RequestArrived(Priority.BULK, now_ms, now_ms + 2000.0)
        decision = admission.request(request)
        if isinstance(decision, Refused):
            refused += 1
            continue
        kind = OutcomeKind.TIMEOUT if source.random() < 0.02 else OutcomeKind.SUCCESS
        outcome = Outcome(kind, latency_ms)
        admission.finish(decision.ticket, outcome, now_ms + latency_ms)
    assert refused < 30


@pytest.mark.parametrize("seed", range(5))
def test_a_few_quick_first_answers_do_not_set_the_usual_latency(admission, seed):
    source = random.Random(seed)
    refused = 0
    for number in range(2000):
        now_ms = 200.0 * number
        latency_ms = 2.0 if number < 3 else 50.0 * source.expovariate(1.0)
        request = RequestArrived(Priority.BULK, now_ms, now_ms + 2000.0)
        decision = admission.request(request)
        if isinstance(decision, Refused):
            refused += 1
            continue
        outcome = Outcome(OutcomeKind.SUCCESS, latency_ms)
        admission.finish(decision.ticket, outcome, now_ms + latency_ms)
    assert refused < 20


def test_the_throttle_opens_again(admission):
    drive(admission, OutcomeKind.SUCCESS, 20.0, 100, 0.0)
    drive(admission, OutcomeKind.SHED, 1.0, 300, 20_000.0)
    drive(admission, OutcomeKind.SUCCESS, 20.0, 600, 60_000.0)
    assert drive(admission, OutcomeKind.SUCCESS, 20.0, 100, 200_000.0) == 1.0


@pytest.mark.parametrize("limited", [True, False])
def test_the_throttle_leaves_the_work_to_limits_that_bite(limited):
    throttle = Throttle()
    for number in range(1000):
        now_ms = 600.0 + 10.0 * number
        latency_ms = 20.0 if number < 200 else 400.0
        outcome = Outcome(OutcomeKind.SUCCESS, latency_ms)
        if throttle.collect(outcome, now_ms):
            throttle.judge(limited, now_ms)
    assert (throttle.share == 1.0) is limited


def test_the_throttle_stays_open_while_the_service_is_well(admission):
    assert drive(admission, OutcomeKind.SUCCESS, 20.0, 500, 0.0) == 1.0


def test_the_throttle_takes_bulk_first_and_payment_last():
    admission = make_admission(1000, LimiterKind.FIXED)
    kinds = [Priority.BULK, Priority.INTERACTIVE, Priority.INTERACTIVE]
    kinds.append(Priority.PAYMENT)
    admitted = dict.fromkeys(Priority, 0)
    recent = 1.0
    running = []
    for number in range(8000):
        now_ms = 25.0 * number
        while running and running[0][0] <= now_ms:
            ended_ms, ticket, outcome = running.pop(0)
            assert admission.finish(ticket, outcome, ended_ms) == []
        priority = kinds[number % 4]
        request = RequestArrived(priority, now_ms, now_ms + 1000.0)
        decision = admission.request(request)
        passed = isinstance(decision, Admitted)
        recent += 0.01 * (passed - recent)
        if not passed:
            assert decision.reason is RefusalReason.OVERLOAD
            continue
        admitted[priority] += 1
        latency_ms = 400.0 if number > 400 and recent > 0.6 else 20.0
        outcome = Outcome(OutcomeKind.SUCCESS, latency_ms)
        running.append((now_ms + latency_ms, decision.ticket, outcome))
        running.sort(key=lambda entry: entry[0])
    assert admitted[Priority.BULK] < 0.5 * 2000
    assert admitted[Priority.BULK] < admitted[Priority.INTERACTIVE] / 2
    assert admitted[Priority.PAYMENT] > 0.9 * 2000
