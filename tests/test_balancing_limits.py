"""Adaptive concurrency limits and load shedding by the throttle."""

import random

import pytest

from azurestep.balancing import (
    Admission,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Endpoint,
    EndpointKey,
    LimiterKind,
    OutcomeKind,
    RefusalReason,
    Refused,
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
    """Record an attempt every 20 ms; return the time of the next one."""
    state.in_flight = 12
    for number in range(count):
        state.record_outcome(AttemptOutcome(kind, latency_ms), start_ms + 20.0 * number)
    return start_ms + 20.0 * count


def test_limit_falls_when_the_latency_rises(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    observe(state, OutcomeKind.SUCCESS, 400.0, 600, now_ms)
    assert state.limiter.limit < 6


def test_limit_recovers_with_the_latency(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    now_ms = observe(state, OutcomeKind.SUCCESS, 400.0, 600, now_ms)
    observe(state, OutcomeKind.SUCCESS, 50.0, 1000, now_ms)
    assert state.limiter.limit > 10


def test_limit_stays_within_one_and_the_slots(state):
    now_ms = 0.0
    for kind, latency_ms in ((OutcomeKind.TIMEOUT, 900.0), (OutcomeKind.SUCCESS, 1.0)):
        now_ms = observe(state, kind, latency_ms, 2000, now_ms)
        assert 1.0 <= state.limiter.limit <= 12.0


def test_fast_refusals_and_errors_do_not_lower_the_limit(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    now_ms = observe(state, OutcomeKind.SHED, 1.0, 200, now_ms)
    now_ms = observe(state, OutcomeKind.ERROR, 1.0, 200, now_ms)
    observe(state, OutcomeKind.SUCCESS, 50.0, 1000, now_ms)
    assert state.limiter.limit > 10


def test_a_permanently_slower_service_gets_its_limit_back(state):
    now_ms = observe(state, OutcomeKind.SUCCESS, 50.0, 200)
    observe(state, OutcomeKind.SUCCESS, 200.0, 16_000, now_ms)
    assert state.limiter.limit > 10


def make_admission(slots, limiter=None):
    service = Service("songs", limits=LimitRule(slots=slots))
    rng = random.Random(5)
    admission = Admission(service, ClassShares(), "dc1", "i0", rng, limiter=limiter)
    endpoint = Endpoint(KEY, "songs", "i1", "dc1", slots)
    admission.replace_endpoints([endpoint], 0.0)
    return admission


@pytest.fixture
def admission():
    return make_admission(64)


def send_requests(admission, kind, latency_ms, count, start_ms):
    """Send one request at a time; return the share admitted."""
    admitted = 0
    for number in range(count):
        now_ms = start_ms + 100.0 * number
        request = AdmissionRequest(Priority.BULK, now_ms, now_ms + 1000.0)
        decision = admission.request(request)
        if isinstance(decision, Admitted):
            admitted += 1
            outcome = AttemptOutcome(kind, latency_ms)
            admission.finish(decision.ticket, outcome, now_ms + latency_ms)
        else:
            assert isinstance(decision, Refused)
            assert decision.reason is RefusalReason.OVERLOAD
    return admitted / count


@pytest.mark.parametrize("kind", [OutcomeKind.SUCCESS, OutcomeKind.SHED])
def test_a_node_with_one_request_at_a_time_still_sheds_load(admission, kind):
    send_requests(admission, OutcomeKind.SUCCESS, 20.0, 100, 0.0)
    send_requests(admission, kind, 400.0, 100, 20_000.0)
    assert send_requests(admission, kind, 400.0, 200, 40_000.0) < 0.3


def test_the_throttle_sheds_load_at_the_minimum_limit():
    admission = make_admission(1)
    send_requests(admission, OutcomeKind.SUCCESS, 20.0, 100, 0.0)
    send_requests(admission, OutcomeKind.SUCCESS, 90.0, 100, 20_000.0)
    assert send_requests(admission, OutcomeKind.SUCCESS, 90.0, 200, 40_000.0) < 0.3


def test_rare_long_answers_are_not_an_overload(admission):
    rng = random.Random(11)
    refused = 0
    for number in range(3000):
        now_ms = 400.0 * number
        latency_ms = 320.0 if rng.random() < 0.1 else 20.0
        request = AdmissionRequest(Priority.BULK, now_ms, now_ms + 2000.0)
        decision = admission.request(request)
        if isinstance(decision, Refused):
            refused += 1
            continue
        kind = OutcomeKind.TIMEOUT if rng.random() < 0.02 else OutcomeKind.SUCCESS
        outcome = AttemptOutcome(kind, latency_ms)
        admission.finish(decision.ticket, outcome, now_ms + latency_ms)
    assert refused < 30


@pytest.mark.parametrize("seed", range(5))
def test_a_few_quick_first_answers_do_not_set_the_baseline(admission, seed):
    rng = random.Random(seed)
    refused = 0
    for number in range(2000):
        now_ms = 200.0 * number
        latency_ms = 2.0 if number < 3 else 50.0 * rng.expovariate(1.0)
        request = AdmissionRequest(Priority.BULK, now_ms, now_ms + 2000.0)
        decision = admission.request(request)
        if isinstance(decision, Refused):
            refused += 1
            continue
        outcome = AttemptOutcome(OutcomeKind.SUCCESS, latency_ms)
        admission.finish(decision.ticket, outcome, now_ms + latency_ms)
    assert refused < 20


def test_the_throttle_recovers_after_an_overload(admission):
    send_requests(admission, OutcomeKind.SUCCESS, 20.0, 100, 0.0)
    send_requests(admission, OutcomeKind.SHED, 1.0, 300, 20_000.0)
    send_requests(admission, OutcomeKind.SUCCESS, 20.0, 600, 60_000.0)
    assert send_requests(admission, OutcomeKind.SUCCESS, 20.0, 100, 200_000.0) == 1.0


@pytest.mark.parametrize("limits_are_effective", [True, False])
def test_the_throttle_admits_everything_while_the_limits_are_effective(
    limits_are_effective,
):
    throttle = Throttle()
    for number in range(1000):
        now_ms = 600.0 + 10.0 * number
        latency_ms = 20.0 if number < 200 else 400.0
        outcome = AttemptOutcome(OutcomeKind.SUCCESS, latency_ms)
        if throttle.record(outcome, now_ms):
            throttle.update_ratio(limits_are_effective, now_ms)
    assert (throttle.admitted_ratio == 1.0) is limits_are_effective


def test_the_throttle_admits_everything_without_overload(admission):
    assert send_requests(admission, OutcomeKind.SUCCESS, 20.0, 500, 0.0) == 1.0


def test_the_throttle_sheds_bulk_first_and_payment_last():
    admission = make_admission(1000, LimiterKind.FIXED)
    kinds = [Priority.BULK, Priority.INTERACTIVE, Priority.INTERACTIVE]
    kinds.append(Priority.PAYMENT)
    admitted = dict.fromkeys(Priority, 0)
    recent_admitted_ratio = 1.0
    running = []
    for number in range(8000):
        now_ms = 25.0 * number
        while running and running[0][0] <= now_ms:
            ended_ms, ticket, outcome = running.pop(0)
            assert admission.finish(ticket, outcome, ended_ms) == []
        priority = kinds[number % 4]
        request = AdmissionRequest(priority, now_ms, now_ms + 1000.0)
        decision = admission.request(request)
        passed = isinstance(decision, Admitted)
        recent_admitted_ratio += 0.01 * (passed - recent_admitted_ratio)
        if not passed:
            assert decision.reason is RefusalReason.OVERLOAD
            continue
        admitted[priority] += 1
        latency_ms = 400.0 if number > 400 and recent_admitted_ratio > 0.6 else 20.0
        outcome = AttemptOutcome(OutcomeKind.SUCCESS, latency_ms)
        running.append((now_ms + latency_ms, decision.ticket, outcome))
        running.sort(key=lambda entry: entry[0])
    assert admitted[Priority.BULK] < 0.5 * 2000
    assert admitted[Priority.BULK] < admitted[Priority.INTERACTIVE] / 2
    assert admitted[Priority.PAYMENT] > 0.9 * 2000
