"""Basic behaviour of ``Admission``: slots, queue and drops."""

import random

import pytest

from azurestep.balancing import (
    Admission,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Dropped,
    Endpoint,
    EndpointKey,
    Granted,
    OutcomeKind,
    Queued,
    RefusalReason,
    Refused,
)
from azurestep.config.model import ClassShares, LimitRule, Priority, Service

SUCCESS = AttemptOutcome(OutcomeKind.SUCCESS, 5.0)


def request_at(now_ms, priority=Priority.INTERACTIVE, timeout_ms=1000.0, avoid=()):
    return AdmissionRequest(priority, now_ms, now_ms + timeout_ms, avoid)


@pytest.fixture
def admission():
    service = Service("songs", limits=LimitRule(slots=2, queue_length=3))
    admission = Admission(service, ClassShares(), "dc1", "i0", random.Random(7))
    keys = [EndpointKey("127.0.0.1", 8000 + number, 1) for number in range(2)]
    endpoints = [Endpoint(key, "songs", f"i{key.port}", "dc1", 2) for key in keys]
    admission.replace_endpoints(endpoints, 0.0)
    return admission


def fill(admission):
    return [admission.request(request_at(1.0)) for _ in range(4)]


def test_no_endpoint_gets_more_than_its_slots(admission):
    admitted = fill(admission)
    assert all(isinstance(decision, Admitted) for decision in admitted)
    ports = sorted(decision.endpoint.key.port for decision in admitted)
    assert ports == [8000, 8000, 8001, 8001]
    assert isinstance(admission.request(request_at(1.0)), Queued)


def test_a_freed_slot_is_granted_to_the_queued_request(admission):
    admitted = fill(admission)
    waiting = admission.request(request_at(2.0))
    released = admission.finish(admitted[0].ticket, SUCCESS, 6.0)
    assert released == [Granted(waiting.ticket, admitted[0].endpoint)]


def test_a_ticket_frees_its_slot_once(admission):
    admitted = fill(admission)
    admission.finish(admitted[0].ticket, SUCCESS, 6.0)
    admission.finish(admitted[0].ticket, SUCCESS, 6.0)
    assert isinstance(admission.request(request_at(7.0)), Admitted)
    assert isinstance(admission.request(request_at(7.0)), Queued)


def test_a_full_queue_refuses_immediately(admission):
    fill(admission)
    for _ in range(3):
        admission.request(request_at(2.0))
    refused = admission.request(request_at(2.0))
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.QUEUE_FULL
    assert refused.retry_after_ms > 0


def test_a_queued_request_is_dropped_when_it_would_miss_its_deadline(admission):
    admitted = fill(admission)
    admission.finish(
        admitted[0].ticket, AttemptOutcome(OutcomeKind.SUCCESS, 50.0), 60.0
    )
    admission.request(request_at(61.0))
    waiting = admission.request(request_at(61.0, timeout_ms=300.0))
    assert admission.next_tick_ms() == 311.0
    assert admission.tick(310.0) == []
    dropped = admission.tick(311.0)
    assert [type(release) for release in dropped] == [Dropped]
    assert dropped[0].ticket is waiting.ticket
    assert dropped[0].reason is RefusalReason.DEADLINE


def test_a_leaving_endpoint_gets_no_new_requests(admission):
    endpoints = [
        state.endpoint for pool in admission.balancer.pools for state in pool.members
    ]
    leaving = Endpoint(endpoints[0].key, "songs", "i8000", "dc1", 2, leaving=True)
    admission.replace_endpoints([leaving, endpoints[1]], 1.0)
    decisions = [admission.request(request_at(2.0)) for _ in range(3)]
    assert [type(decision) for decision in decisions] == [Admitted, Admitted, Queued]
    assert {d.endpoint.key.port for d in decisions[:2]} == {8001}
