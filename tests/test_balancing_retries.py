"""Retry decisions, the retry budget and deadline propagation."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.balancing import (
    FailedAttempt,
    GiveUp,
    GiveUpReason,
    OutcomeKind,
    ProbeFirst,
    Retry,
    RetryBudget,
    budget_for_next_hop,
    budget_on_arrival,
    decide_retry,
)
from azurestep.config.model import RetryRule

RULE = RetryRule(max_attempts=3)
FAILED = FailedAttempt(
    kind=OutcomeKind.ERROR,
    attempts=1,
    idempotent=True,
    bytes_delivered=0,
    remaining_ms=500.0,
)


def decide(rule=RULE, budget=None, **changes):
    budget = budget or RetryBudget(0.1)
    return decide_retry(attrs.evolve(FAILED, **changes), rule, budget, 0.0)


def test_an_idempotent_request_is_retried():
    assert decide() == Retry()


@pytest.mark.parametrize("kind", [OutcomeKind.CONNECT_FAILED, OutcomeKind.SHED])
def test_a_request_that_did_not_run_is_retried_even_if_not_idempotent(kind):
    assert decide(kind=kind, idempotent=False) == Retry()


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"idempotent": False}, GiveUpReason.MAY_HAVE_RUN),
        ({"bytes_delivered": 1}, GiveUpReason.BYTES_DELIVERED),
        ({"attempts": 3}, GiveUpReason.ATTEMPTS),
        ({"remaining_ms": 0.0}, GiveUpReason.DEADLINE),
        ({"remaining_ms": 40.0, "estimated_ms": 50.0}, GiveUpReason.DEADLINE),
        ({"retried_upstream": True}, GiveUpReason.RETRIED_UPSTREAM),
        ({"suspect": True}, GiveUpReason.SUSPECT),
        ({"kind": OutcomeKind.RESET, "server_crashed": True}, GiveUpReason.SUSPECT),
        ({"kind": OutcomeKind.CANCELLED}, GiveUpReason.CANCELLED),
    ],
)
def test_a_failed_attempt_that_must_not_be_repeated_is_given_up(changes, reason):
    assert decide(**changes) == GiveUp(reason, not_run=False)


def test_a_lost_connection_is_probed_before_a_retry():
    assert decide(kind=OutcomeKind.RESET) == ProbeFirst()
    assert decide(kind=OutcomeKind.RESET, server_crashed=False) == Retry()


def test_only_actual_retries_spend_budget():
    budget = RetryBudget(0.1, tokens=1.0)
    decide(budget=budget, retried_upstream=True)
    assert decide(budget=budget) == Retry()
    assert decide(budget=budget) == GiveUp(GiveUpReason.BUDGET, not_run=False)


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(st.tuples(st.booleans(), st.floats(0.0, 50.0)), max_size=300),
    st.floats(0.0, 0.5),
)
def test_retries_stay_within_the_budget(events, ratio):
    budget = RetryBudget(ratio)
    now_ms, first, granted = 0.0, 0, 0
    for is_first, step_ms in events:
        now_ms += step_ms
        if is_first:
            budget.earn()
            first += 1
        else:
            granted += budget.try_spend(now_ms)
    assert granted <= 10 + ratio * first + 0.001 * now_ms + 1e-6


@settings(derandomize=True, max_examples=200)
@given(
    kind=st.sampled_from(list(OutcomeKind)),
    idempotent=st.booleans(),
    delivered=st.integers(0, 3),
    died=st.sampled_from([None, True, False]),
)
def test_a_request_that_may_have_run_is_never_repeated(
    kind, idempotent, delivered, died
):
    decision = decide(
        kind=kind, idempotent=idempotent, bytes_delivered=delivered, server_crashed=died
    )
    provably_not_run = kind in (OutcomeKind.CONNECT_FAILED, OutcomeKind.SHED)
    if not idempotent and not provably_not_run:
        assert isinstance(decision, GiveUp)
        assert not decision.not_run
    if delivered:
        assert isinstance(decision, GiveUp)


def test_the_deadline_shrinks_over_eighteen_hops_and_then_ends():
    budget = budget_on_arrival(None, 0, 100.0)
    for hop in range(18):
        assert not budget.expired
        budget = budget_for_next_hop(budget, spent_ms=3.0)
        assert budget.depth == hop + 1
    assert budget.remaining_ms == pytest.approx(10.0)
    assert budget_for_next_hop(budget, spent_ms=9.0).expired


def test_a_caller_cannot_extend_the_timeout_and_loops_end():
    assert budget_on_arrival(60_000.0, 0, 2000.0).remaining_ms == 2000.0
    assert not budget_on_arrival(None, 18, 2000.0).too_deep
    assert budget_on_arrival(None, 40, 2000.0).too_deep
