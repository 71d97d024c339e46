"""The measurement of what quotas cost counts what it says."""

import signal

import pytest
import uvloop

from azurestep.mesh import events
from azurestep.routing.teams import TeamDirectory
from bench import team_keys
from bench.capacity_model import read_inputs
from bench.quota_check import measure_checks
from bench.quota_links import measure_exchanges
from bench.quota_tables import mix_at_target, reports_per_request
from bench.quota_traffic import measure_large_fleet, measure_traffic, mixed_rates


@pytest.mark.parametrize("key", ["known", "unknown", "none"])
def test_the_check_of_a_key_runs(key: str) -> None:
    """Guards against a measurement that the program's functions have left behind."""
    teams = team_keys.fleet_teams(3)
    keys = {"known": teams[0][1], "unknown": [b"guess"], "none": [b""]}
    (request,) = team_keys.requests_with(keys[key], 1)
    team_keys.check(TeamDirectory.build(teams), request)


def test_the_check_of_a_quota_costs_more_than_that_of_the_key() -> None:
    """Guards against rounds that skip the quota."""
    found = {cost.kind: cost.p50_us for cost in measure_checks(5, 200, 20)}
    key_us = found.pop("key alone")
    assert len(found) == 3
    assert min(found.values()) > key_us


def test_every_report_is_answered_by_the_other_process() -> None:
    """Guards against reports that reach no owner and cost nothing there.

    A measurement that a signal didn't end ran beside the next one.
    """
    handler, descriptor = signal.getsignal(signal.SIGTERM), events.WRITER.descriptor
    one, three = uvloop.run(measure_exchanges((1, 3), 60, 2))
    assert signal.getsignal(signal.SIGTERM) is handler
    assert events.WRITER.descriptor == descriptor
    assert (one.rows, three.rows) == (1, 3)
    for cost in (one, three):
        assert cost.exchanges == cost.grants == 120
        assert cost.sender_us > 0
        assert cost.owner_us > 0


def test_traffic_is_counted_in_both_directions() -> None:
    """Guards against bytes that are counted at one end only."""
    idle, mean, busiest = measure_traffic(5, 7, "usual", 1000.0)
    assert (idle.node, mean.node, busiest.node) == ("idle", "mean", "busiest")
    assert busiest.messages_per_s >= mean.messages_per_s > 0
    assert mean.wire_bytes_per_s > mean.bytes_per_s > 0
    sent = 4 * mean.messages_per_s + idle.messages_per_s
    reports = 4 * mean.reports_per_s + idle.reports_per_s
    assert sent == pytest.approx(4 * reports)


def test_a_fleet_without_requests_sends_nothing() -> None:
    """Guards against messages about quotas that nobody uses."""
    found = measure_traffic(5, 7, "none", 1000.0)
    assert [(one.messages_per_s, one.wire_bytes_per_s) for one in found] == [(0, 0)] * 3


def test_the_owner_of_a_team_is_told_apart() -> None:
    """Guards against the reports of a fleet that are divided among its nodes."""
    found = measure_large_fleet(20, 100.0, 500.0)
    assert found.owner.reports_per_s == found.reports_per_s > 0
    assert found.mean.reports_per_s == 0
    assert found.owner.messages_per_s > found.mean.messages_per_s


def test_the_mix_of_teams_has_the_total() -> None:
    """Guards against rates that leave out a team."""
    rates = mixed_rates(77, 828.0)
    assert len(rates) == 77
    assert sum(rates) == pytest.approx(828.0)


def test_reports_between_measured_rates_follow_a_line() -> None:
    """Guards against a team that is counted with the reports of a much larger one."""
    large = read_inputs().quota_cost.large
    ratios = [one.reports_per_s / one.rate_per_s for one in large]
    rates = [one.rate_per_s for one in large]
    assert [reports_per_request(large, rate) for rate in rates] == pytest.approx(ratios)
    assert reports_per_request(large, rates[0] / 10) == ratios[0]
    assert reports_per_request(large, rates[-1] * 10) == ratios[-1]
    middle = reports_per_request(large, (rates[1] * rates[2]) ** 0.5)
    assert middle == pytest.approx((ratios[1] + ratios[2]) / 2)


def test_more_teams_of_the_same_sum_cost_more() -> None:
    """Guards against a mix whose small teams are left out."""
    cost = read_inputs().quota_cost
    few, many = mix_at_target(cost, 77), mix_at_target(cost, 1000)
    assert many.reports > few.reports > 0
    assert many.processor_ratio > few.processor_ratio
    assert many.wire_bytes > few.wire_bytes
