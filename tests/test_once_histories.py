"""No payment runs twice under random faults; each removed check is detected."""

from random import Random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.once import slots
from azurestep.once.accept import RequestForwarder
from azurestep.once.messages import Outcome
from azurestep.once.owner import OwnerRole
from azurestep.once.table import KeyTable
from azurestep.once.tenure import Tenure, TenureState
from bench.once_callers import PayingCallers
from bench.once_faults import Fault, FaultKind, History, Payment, generate
from bench.once_model import Model, Tally
from bench.once_ways import memory_owner, owned_intervals

HISTORY_COUNT = 20

faults = st.builds(
    Fault,
    st.sampled_from(FaultKind),
    at_ms=st.integers(0, 30_000),
    duration_ms=st.sampled_from([200, 2000, 6000, 20_000]),
    target=st.integers(0, 2),
    clock_ms=st.sampled_from([-60_000, -5000, 8000, 40_000]),
)
payments = st.builds(
    Payment,
    name=st.integers(0, 10_000).map("p{}".format),
    at_ms=st.integers(3000, 30_000),
    data_centre=st.integers(0, 2),
    clock_ms=st.sampled_from([0, -200, 5000, -120_000, 60_000]),
    declares=st.booleans(),
)
histories = st.builds(
    History,
    seed=st.integers(0, 2**32),
    duration_ms=st.just(45_000),
    faults=st.lists(faults, max_size=6).map(tuple),
    payments=st.lists(payments, max_size=25, unique_by=lambda item: item.name).map(
        tuple
    ),
)


def run(way, history: History) -> Tally:
    model = Model(way, history)
    model.callers = PayingCallers(model, Random(history.seed + 1))
    return model.run()


def violates_at_most_once(way, first_seed: int) -> bool:
    seeds = range(first_seed, first_seed + HISTORY_COUNT)
    tallies = (run(way, generate(seed)) for seed in seeds)
    return any(
        tally.runs_over_one or tally.payments_over_one or tally.untrue
        for tally in tallies
    )


@given(histories)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_no_history_runs_a_payment_twice_or_denies_a_run(history):
    tally = run(owned_intervals(), history)
    assert tally.runs_over_one == 0
    assert tally.payments_over_one == 0
    assert tally.untrue == 0


def test_owner_in_memory_violates_at_most_once():
    assert violates_at_most_once(memory_owner(), first_seed=0)


def accept_after_the_end(monkeypatch):
    monkeypatch.setattr(
        Tenure, "covers", lambda self, time_ms: self.start_ms <= time_ms
    )


def claim_an_owned_interval(monkeypatch):
    original = slots.claim

    def unguarded(state, record):
        opened = attrs.evolve(state, horizon_ms=0, intervals=())
        added = original(opened, record)
        if added is opened:
            return state
        return attrs.evolve(state, intervals=(*state.intervals, *added.intervals))

    monkeypatch.setattr(slots, "claim", unguarded)


def trust_a_missing_table(monkeypatch):
    original = OwnerRole._load_table

    def unguarded(self, slot_id, tenure):
        original(self, slot_id, tenure)
        tenure.received_from_ms = tenure.start_ms

    monkeypatch.setattr(OwnerRole, "_load_table", unguarded)


def ignore_expired_keys(monkeypatch):
    original = KeyTable.expire_before

    def unguarded(self, time_ms):
        original(self, time_ms)
        return {}

    monkeypatch.setattr(KeyTable, "expire_before", unguarded)


def accept_during_a_release(monkeypatch):
    original = OwnerRole._refusal

    def unguarded(self, request):
        for tenures in self.tenures.values():
            for tenure in tenures:
                tenure.state = TenureState.OPEN
        return original(self, request)

    monkeypatch.setattr(OwnerRole, "_refusal", unguarded)


def answer_not_run_without_a_declared_attempt(monkeypatch):
    def unguarded(self, request, reason, now):
        return self._answer(request, Outcome.NOT_RUN, reason, now)

    monkeypatch.setattr(RequestForwarder, "refuse", unguarded)


@pytest.mark.parametrize(
    ("remove_guard", "first_seed"),
    [
        (accept_after_the_end, 0),
        (claim_an_owned_interval, 300),
        (trust_a_missing_table, 0),
        (ignore_expired_keys, 0),
        (accept_during_a_release, 240),
        (answer_not_run_without_a_declared_attempt, 0),
    ],
)
def test_histories_catch_a_removed_guard(monkeypatch, remove_guard, first_seed):
    assert not violates_at_most_once(owned_intervals(), first_seed)
    remove_guard(monkeypatch)
    assert violates_at_most_once(owned_intervals(), first_seed)
