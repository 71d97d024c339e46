"""Calls between services while the called service is overloaded: a model is replayed.

The fault seen: runs held slots and then failed with 500, since their calls were refused
while new work held the slots of the called service.
"""

import functools

import pytest

from azurestep.mesh.decisions.call_slots import MIN_NEW_SHARE
from bench.calls_fleet import (
    CHARGE,
    FULL_RATES,
    LESS_URGENT_ORDER,
    ORDER,
    READ,
    SLOTS,
)
from bench.calls_model import (
    BURST,
    BURST_MS,
    CHARGES_PER_S,
    LEFT,
    USUAL,
    WARM_MS,
    Row,
    burst_rows,
    lack_row,
    load_row,
    outcome,
    play_charges,
)

SEEDS = 1
FORMER_IN_TIME = {0.7: 0.965, 1.0: 0.733, 1.4: 0.337, 2.4: 0.193}
"""Share of all requests that the model served in time before calls came first."""


@functools.cache
def row_at(load: float) -> Row:
    return load_row(load, SEEDS)


@pytest.mark.parametrize("load", [1.0, 1.4, 2.4])
def test_runs_do_not_fail_for_calls_that_could_end_in_time(load: float) -> None:
    """At 1.4 times the capacity, 97% of the orders failed."""
    assert row_at(load).orders.failed <= 0.02


@pytest.mark.parametrize("load", sorted(FORMER_IN_TIME))
def test_no_load_is_served_worse_than_before(load: float) -> None:
    assert row_at(load).in_time >= FORMER_IN_TIME[load] - 0.01


@pytest.mark.parametrize("load", [1.4, 2.4])
def test_no_kind_of_request_is_starved(load: float) -> None:
    """Each kind gets at least half of the share of all that is served."""
    row = row_at(load)
    for kind in (row.orders, row.reads):
        assert kind.in_time + kind.late >= (1 / load) / 2


def test_runs_are_shed_before_they_start_if_the_called_service_lacks_servers() -> None:
    """82% of the orders failed, and few reads were served, with one server left.

    Reads get at least half of the run time that is guaranteed to new work there.
    """
    row = lack_row(SEEDS)
    assert row.orders.failed <= 0.05
    assert row.orders.in_time + row.orders.late >= 0.15
    guaranteed_per_s = MIN_NEW_SHARE * SLOTS * LEFT * 1000 / READ.steps[0]
    share = guaranteed_per_s / (FULL_RATES[READ] * USUAL)
    assert row.reads.in_time + row.reads.late >= share / 2


def test_two_seconds_after_a_burst_all_is_served_as_before() -> None:
    """Guards against queues and returning callers that outlast a burst."""
    before, _, after = burst_rows(3)
    for kind_before, kind_after in (
        (before.orders, after.orders),
        (before.reads, after.reads),
    ):
        served = kind_after.in_time + kind_after.late
        assert served >= kind_before.in_time + kind_before.late - 0.01
    assert after.in_time >= before.in_time - 0.02


CHARGE_WORTH, ORDER_WORTH = 4.9, 0.86
"""What an answer in time is worth on the deployment whose load is replayed."""


@functools.cache
def in_time_in_burst(has_teams: bool) -> tuple[float, float]:
    """Return the shares of charges and of orders that are served in time."""
    fleet = play_charges(0, has_teams)
    span = WARM_MS, WARM_MS + BURST_MS
    charges, orders = (outcome(fleet, one, *span) for one in KINDS)
    return charges.in_time, orders.in_time


KINDS = (CHARGE, LESS_URGENT_ORDER)


def test_urgent_requests_do_not_pay_for_a_burst_of_less_urgent_runs() -> None:
    """A quarter of the charges was refused or late behind the calls of orders."""
    (before, _), (now, _) = in_time_in_burst(False), in_time_in_burst(True)
    assert 1 - now <= 0.75 * (1 - before)


def test_shedding_for_urgent_requests_serves_more_than_it_costs() -> None:
    """Guards against orders that are refused without a charge that gains by it."""
    rates = CHARGES_PER_S, FULL_RATES[ORDER] * BURST
    worths = CHARGE_WORTH, ORDER_WORTH

    def earned(has_teams: bool) -> float:
        shares = in_time_in_burst(has_teams)
        return sum(
            share * rate * worth
            for share, rate, worth in zip(shares, rates, worths, strict=True)
        )

    assert earned(True) > earned(False)
