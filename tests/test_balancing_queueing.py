"""Class queues: order, shares, estimated waits and drops."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.balancing import (
    Admission,
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Discipline,
    Dropped,
    Endpoint,
    EndpointKey,
    Granted,
    OutcomeKind,
    Queued,
    RefusalReason,
    Refused,
    TicketState,
)
from azurestep.config.model import ClassShares, LimitRule, Priority, Service

SUCCESS = AttemptOutcome(OutcomeKind.SUCCESS, 10.0)


def request_at(now_ms, priority=Priority.INTERACTIVE, timeout_ms=1000.0, avoid=()):
    return AdmissionRequest(priority, now_ms, now_ms + timeout_ms, avoid)


def make_admission(slots=2, shares=None, **options):
    limits = LimitRule(slots=slots, queue_length=20, adaptive=False)
    service = Service("songs", limits=limits)
    shares = shares or ClassShares()
    source = random.Random(3)
    admission = Admission(service, shares, "dc1", "i0", source, **options)
    key = EndpointKey("127.0.0.1", 8000, 1)
    endpoint = Endpoint(key, "songs", "i1", "dc1", slots)
    admission.replace_endpoints([endpoint], 0.0)
    return admission


@pytest.fixture
def busy():
    """Return an ``Admission`` with both slots in use, and the two tickets."""
    admission = make_admission()
    tickets = [admission.request(request_at(1.0)).ticket for _ in range(2)]
    return admission, tickets


def granted_tickets(releases):
    return [release.ticket for release in releases if isinstance(release, Granted)]


def test_newest_first_order_is_kept_when_no_slot_is_free():
    admission = make_admission(discipline=Discipline.ADAPTIVE_LIFO)
    tickets = [admission.request(request_at(1.0)).ticket for _ in range(2)]
    older = admission.request(request_at(2.0)).ticket
    newer = admission.request(request_at(3.0)).ticket
    admission.tick(200.0)
    released = admission.finish(tickets[0], SUCCESS, 201.0)
    assert granted_tickets(released) == [newer]
    assert older.state is TicketState.QUEUED


def test_a_class_with_an_expected_wait_beyond_its_deadline_is_refused(busy):
    admission, tickets = busy
    now_ms = 2.0
    admission.request(request_at(now_ms, Priority.BULK, 60_000.0))
    for _ in range(400):
        now_ms += 10.0
        waiting = admission.request(request_at(now_ms)).ticket
        released = admission.finish(tickets.pop(0), SUCCESS, now_ms)
        tickets += granted_tickets(released)
        assert waiting in tickets
        if admission.waiting() == 0:
            admission.request(request_at(now_ms, Priority.BULK, 60_000.0))
    refused = admission.request(request_at(now_ms, Priority.BULK, 60_000.0))
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.DEADLINE


def test_a_standing_queue_shortens_the_wait(busy):
    admission, tickets = busy
    now_ms = 1.0
    refusals = 0
    waits = []
    for _ in range(300):
        now_ms += 10.0
        for _ in range(2):
            decision = admission.request(request_at(now_ms))
            refusals += isinstance(decision, Refused)
        for ticket in granted_tickets(
            admission.finish(tickets.pop(0), SUCCESS, now_ms)
        ):
            tickets.append(ticket)
            waits.append(now_ms - ticket.request.now_ms)
    assert refusals > 100
    assert max(waits[100:]) <= 100.0


def test_payment_overtakes_a_longer_interactive_queue(busy):
    admission, tickets = busy
    admission.request(request_at(2.0))
    admission.request(request_at(2.0))
    payment = admission.request(request_at(3.0, Priority.PAYMENT)).ticket
    assert granted_tickets(admission.finish(tickets[0], SUCCESS, 5.0)) == [payment]


def test_bulk_holds_no_more_than_its_share():
    admission = make_admission(slots=4, shares=ClassShares(bulk=0.5))
    decisions = [admission.request(request_at(1.0, Priority.BULK)) for _ in range(3)]
    assert [type(decision) for decision in decisions] == [Admitted, Admitted, Queued]
    assert isinstance(admission.request(request_at(1.0)), Admitted)


def test_a_preset_that_closes_a_class_refuses_it():
    admission = make_admission()
    service = Service("songs")
    admission.configure(service, ClassShares(bulk=0.0), 1.0)
    refused = admission.request(request_at(2.0, Priority.BULK))
    assert refused.reason is RefusalReason.CLASS_CLOSED


def test_a_cancelled_request_is_never_granted(busy):
    admission, tickets = busy
    waiting = admission.request(request_at(2.0)).ticket
    admission.cancel(waiting, 3.0)
    assert admission.finish(tickets[0], SUCCESS, 4.0) == []
    assert admission.waiting() == 0


def test_refusals_have_jittered_retry_times(busy):
    admission, _ = busy
    times = set()
    for _ in range(60):
        decision = admission.request(request_at(2.0))
        if isinstance(decision, Refused):
            times.add(decision.retry_after_ms)
    assert len(times) > 30


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["request", "finish", "cancel", "tick"]),
        st.sampled_from(list(Priority)),
        st.floats(0.0, 120.0),
        st.integers(0, 30),
        st.sampled_from(list(OutcomeKind)),
    ),
    max_size=80,
)


class Driver:
    """Applies random actions and checks the invariants of the tickets."""

    def __init__(self, discipline):
        self.admission = make_admission(slots=3, discipline=discipline)
        self.now_ms = 0.0
        self.running, self.waiting, self.ended = [], [], set()

    def take(self, releases):
        for release in releases:
            self.waiting.remove(release.ticket)
            if isinstance(release, Granted):
                assert self.now_ms < release.ticket.request.deadline_ms
                self.running.append(release.ticket)
            else:
                assert isinstance(release, Dropped)
                assert release.ticket not in self.ended
                self.ended.add(release.ticket)

    def request(self, priority, index, _):
        arrived = request_at(self.now_ms, priority, 50.0 + 10 * index)
        decision = self.admission.request(arrived)
        if isinstance(decision, Admitted):
            self.running.append(decision.ticket)
        elif isinstance(decision, Queued):
            self.waiting.append(decision.ticket)

    def finish(self, _, index, kind):
        if self.running:
            ticket = self.running.pop(index % len(self.running))
            self.ended.add(ticket)
            outcome = AttemptOutcome(kind, 5.0)
            self.take(self.admission.finish(ticket, outcome, self.now_ms))

    def cancel(self, _, index, __):
        if self.waiting:
            ticket = self.waiting.pop(index % len(self.waiting))
            self.ended.add(ticket)
            self.take(self.admission.cancel(ticket, self.now_ms))

    def tick(self, *_):
        self.take(self.admission.tick(self.now_ms))

    def check(self):
        assert len(self.running) <= 3
        assert self.admission.waiting() == len(self.waiting)
        assert not self.ended.intersection(self.running)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(actions=ACTIONS, discipline=st.sampled_from(list(Discipline)))
def test_each_ticket_ends_once_and_slots_are_never_exceeded(actions, discipline):
    driver = Driver(discipline)
    for action, priority, step_ms, index, kind in actions:
        driver.now_ms += step_ms
        getattr(driver, action)(priority, index, kind)
        driver.check()
    while driver.running:
        driver.now_ms += 1.0
        driver.finish(None, 0, OutcomeKind.SUCCESS)
    driver.now_ms += 10_000.0
    driver.tick()
    assert driver.waiting == []
