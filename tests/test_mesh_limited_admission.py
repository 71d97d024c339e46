"""Admission control under a rate limit of the backend server."""

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.backend.run import Run
from azurestep.mesh.decisions.admission import (
    MAX_RETRY_AFTER_MS,
    Admission,
    Refused,
    Ticket,
)
from azurestep.mesh.decisions.rate_limit import RateLimiter
from azurestep.mesh.messages import Reason
from azurestep.platform.headers import NO_RATE_LIMIT, ServerNotice

from .fixtures_inbound import InboundHarness, RecordingReceiver, answer

RATES_PER_S = (0.0, 0.5, 3.0, 47.9, 400.0, math.inf)
OBJECTIVE_MS = 400.0


def ticket(
    now_ms: float, priority: int = 2, objective_ms: float = OBJECTIVE_MS
) -> Ticket:
    return Ticket("read", priority, now_ms, now_ms + objective_ms, now_ms + 1200)


def limited(rate_per_s: float, slots: int = 20, run_ms: float = 50.0) -> Admission:
    admission = Admission(slots=slots)
    admission.record_run("read", run_ms)
    admission.limiter.set_rate(rate_per_s, 0.0)
    return admission


@attrs.frozen
class Step:
    """Time that passes, then a change of the limit (if any) and a token to take."""

    after_ms: float
    rate_per_s: float | None


steps = st.lists(
    st.builds(
        Step,
        st.sampled_from([0.0, 1.0, 7.0, 90.0, 2500.0]),
        st.none() | st.sampled_from(RATES_PER_S),
    ),
    max_size=60,
)


@given(steps)
def test_tokens_never_exceed_the_rate_and_its_burst(plan: list[Step]) -> None:
    limiter = RateLimiter()
    now_ms = allowed = 0.0
    taken = 0
    for step in plan:
        now_ms += step.after_ms
        if limiter.active:
            allowed += step.after_ms / 1000 * limiter.rate_per_s
        if step.rate_per_s is not None:
            if not limiter.active:
                allowed, taken = 0.0, 0
            limiter.set_rate(step.rate_per_s, now_ms)
        took = limiter.try_take(now_ms)
        taken += took
        if limiter.active:
            assert taken <= allowed + 1e-3
            assert took or limiter.wait_ms(now_ms) > 0
        else:
            assert took


@given(st.sampled_from(RATES_PER_S[1:-1]), st.integers(0, 9))
def test_a_token_is_free_after_the_wait_that_was_told(rate: float, ahead: int) -> None:
    limiter = RateLimiter()
    limiter.set_rate(rate, 0.0)
    now_ms = limiter.wait_ms(0.0)
    for _ in range(ahead):
        assert limiter.try_take(now_ms)
        now_ms += limiter.wait_ms(now_ms)
    assert limiter.try_take(now_ms)
    assert now_ms == pytest.approx((ahead + 1) / rate * 1000, abs=0.1)


def test_a_request_waits_for_its_token_if_it_meets_its_objective() -> None:
    admission = limited(10.0)
    assert admission.admit(ticket(0.0), 0.0) is False
    assert admission.start_next(99.0) is None
    assert admission.next_start_ms(99.0) == 100.0
    assert admission.start_next(100.0) is not None


def test_a_request_beyond_the_limit_is_refused_at_once() -> None:
    admission = limited(10.0)
    decisions = [admission.admit(ticket(0.0), 0.0) for _ in range(4)]
    assert decisions[:3] == [False, False, False]
    assert isinstance(decisions[3], Refused)
    assert 400.0 <= decisions[3].retry_after_ms <= 450.0


def test_a_server_that_takes_nothing_gets_nothing() -> None:
    admission = limited(0.0)
    decision = admission.admit(ticket(0.0), 0.0)
    assert decision == Refused(MAX_RETRY_AFTER_MS)
    assert admission.next_start_ms(60_000.0) is None


def test_a_token_of_a_request_that_was_not_sent_is_returned() -> None:
    admission = limited(1.0)
    first, second = ticket(1000.0), ticket(1000.0, objective_ms=2000.0)
    assert admission.admit(first, 1000.0) is True
    admission.remove(first)
    assert admission.admit(second, 1000.0) is True
    second.sent = True
    admission.remove(second)
    assert admission.admit(ticket(1000.0), 1000.0) is not True


def test_tokens_go_to_the_most_urgent_request() -> None:
    admission = limited(10.0)
    bulk, payment = ticket(0.0, priority=3), ticket(1.0, priority=1)
    admission.admit(bulk, 0.0)
    admission.admit(payment, 1.0)
    assert admission.start_next(100.0) is payment


def test_a_lower_limit_refuses_at_once_what_waits_too_long_then() -> None:
    admission = limited(10.0)
    waiting = [ticket(0.0) for _ in range(3)]
    for one in waiting:
        admission.admit(one, 0.0)
    admission.limiter.set_rate(3.0, 0.0)
    assert admission.find_expiring(0.0) == waiting[1:]


def submit(harness: InboundHarness) -> Run:
    """Submit a read and let it open a connection, if it may start."""
    run = harness.submit(RecordingReceiver())
    harness.loop.run_due()
    return run


def name_limit(harness: InboundHarness, limit_per_s: float) -> None:
    incarnation = harness.inbound.backend.incarnation
    harness.inbound.apply_notice(incarnation, ServerNotice(limit_per_s))
    harness.loop.run_due()


def test_requests_in_the_queue_start_one_by_one_as_the_limit_allows(
    harness: InboundHarness,
) -> None:
    name_limit(harness, 20.0)
    harness.inbound.admission.record_run("read", 20.0)
    runs = [harness.submit(RecordingReceiver()) for _ in range(3)]
    sent_ms = []
    for _ in range(40):
        harness.loop.now_ms += 5.0
        harness.loop.fire_timers()
        harness.loop.run_due()
        sent_ms.append(sum(run.may_have_run for run in runs))
    assert [sent_ms.index(count) for count in (1, 2, 3)] == [9, 19, 29]


def test_service_is_back_as_soon_as_the_limit_ends(harness: InboundHarness) -> None:
    name_limit(harness, 10.0)
    runs = [submit(harness) for _ in range(2)]
    assert not any(run.may_have_run for run in runs)
    name_limit(harness, NO_RATE_LIMIT)
    assert all(run.may_have_run for run in runs)


def test_a_later_incarnation_has_no_limit(harness: InboundHarness) -> None:
    name_limit(harness, 0.0)
    receiver = RecordingReceiver()
    harness.submit(receiver)
    assert receiver.outcomes == [Reason.OVERLOADED.name]
    backend = harness.inbound.backend
    beat = attrs.evolve(
        backend._records["i-1"].heartbeat, sequence=1, started_ms=5, slots=4
    )
    backend._records["i-1"].started_ms = 4
    backend.apply_heartbeat(beat, harness.loop.now_ms)
    assert submit(harness).may_have_run


def test_an_unreadable_limit_changes_nothing(harness: InboundHarness) -> None:
    name_limit(harness, 10.0)
    notice = ServerNotice(None, malformed=(b"server-limit",))
    harness.inbound.apply_notice(harness.inbound.backend.incarnation, notice)
    assert harness.inbound.backend.rate_limit_per_s == 10.0
    assert harness.inbound.backend.malformed_notice


def test_answers_of_others_name_no_limit(harness: InboundHarness) -> None:
    run = submit(harness)
    connection = run._connection
    assert connection is not None
    connection.data_received(
        b"HTTP/1.1 421 X\r\nInstance-Id: i-2\r\nServer-Limit: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert harness.inbound.backend._records["i-1"].rate_limit_per_s == NO_RATE_LIMIT


def test_a_refusal_without_an_id_names_no_limit(harness: InboundHarness) -> None:
    connection = submit(harness)._connection
    assert connection is not None
    connection.data_received(
        b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nServer-Limit: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert harness.inbound.backend.rate_limit_per_s == NO_RATE_LIMIT


def test_an_altered_answer_names_no_limit(harness: InboundHarness) -> None:
    run = submit(harness)
    connection = run._connection
    assert connection is not None
    connection.data_received(
        b"HTTP/1.1 200 X\r\nAttempt-Id: r1\r\nServer-Limit: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert harness.inbound.backend.rate_limit_per_s == NO_RATE_LIMIT
    answer(submit(harness))
    assert harness.inbound.backend.rate_limit_per_s == NO_RATE_LIMIT


@pytest.mark.parametrize(("rate_per_s", "burst"), [(0.5, 1), (47.9, 4), (400.0, 40)])
def test_an_idle_server_gets_no_more_than_a_burst_at_once(
    rate_per_s: float, burst: int
) -> None:
    limiter = RateLimiter()
    limiter.set_rate(rate_per_s, 0.0)
    taken = [limiter.try_take(60_000.0) for _ in range(60)]
    assert sum(taken) == burst


def test_a_request_that_is_overtaken_waits_until_its_deadline_under_a_limit() -> None:
    # Once later requests take its token, it is refused and not kept for its deadline.
    admission = limited(10.0)
    overtaken = ticket(0.0)
    admission.admit(overtaken, 0.0)
    for number in range(3):
        admission.admit(ticket(float(number), priority=1), float(number))
    assert admission.find_expiring(3.0) == [overtaken]


def test_a_request_is_refused_at_the_moment_when_its_token_comes() -> None:
    # A timer that fires a little late must not cost the request that waited for it.
    admission = limited(2.5, run_ms=0.0)
    waiting = ticket(0.0)
    assert admission.admit(waiting, 0.0) is False
    assert admission.find_expiring(401.0) == []
    assert admission.start_next(401.0) is waiting
