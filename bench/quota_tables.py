"""Tables of docs/CAPACITY.md about quotas of teams."""

import math
from bisect import bisect_left

import attrs

from .capacity_model import Inputs
from .quota_cost import QuotaCost
from .quota_links import ExchangeCost
from .quota_traffic import LargeFleet, mixed_rates
from .tables import table
from .target import TARGET


@attrs.frozen
class QuotaMix:
    """What quotas cost a node of the target's fleet in the mean, per second.

    Attributes
    ----------
    reports : float
        Reports that it sends, and as many that it gets as quota owner.
    processor_ratio : float
        Share of a core for both.
    wire_bytes : float
        Bytes in both directions, with the headers of segments.
    """

    reports: float
    processor_ratio: float
    wire_bytes: float


def cost_of_one(cost: QuotaCost) -> ExchangeCost:
    """Return the cost of a report of one team."""
    return min(cost.exchanges, key=lambda one: one.rows)


def reports_per_request(large: list[LargeFleet], rate_per_s: float) -> float:
    """Return the reports for a request of a team, by the team's rate.

    Between measured rates it follows a line over the rate's logarithm; beyond them it
    is that of the nearest one.
    """
    points = sorted(
        (one.rate_per_s, one.reports_per_s / one.rate_per_s) for one in large
    )
    index = bisect_left(points, (rate_per_s, 0.0))
    if index == 0:
        return points[0][1]
    if index == len(points):
        return points[-1][1]
    (low, low_ratio), (high, high_ratio) = points[index - 1], points[index]
    part = math.log(rate_per_s / low) / math.log(high / low)
    return low_ratio + (high_ratio - low_ratio) * part


def mix_at_target(cost: QuotaCost, teams: int) -> QuotaMix:
    """Return what a mix of teams costs each node if all calls have a limited team."""
    rates = mixed_rates(teams, TARGET.calls_per_s)
    total = sum(rate * reports_per_request(cost.large, rate) for rate in rates)
    reports = total / TARGET.nodes
    one = cost_of_one(cost)
    owner = min(cost.large, key=lambda found: found.rate_per_s).owner
    bytes_per_message = owner.wire_bytes_per_s / owner.messages_per_s
    return QuotaMix(
        reports,
        reports * (one.sender_us + one.owner_us) / 1e6,
        reports * 4 * bytes_per_message,
    )


def block_quota_check(inputs: Inputs) -> str:
    """Return the processor time of the check of key and quota."""
    cost = inputs.quota_cost
    rows = [
        (f"{one.teams:,}", one.kind, f"{one.p50_us:.1f}", f"{one.p99_us:.1f}")
        for one in cost.checks
    ]
    rows.append(("target", "key and quota", f"{cost.target_us:.0f}", ""))
    return table(("teams", "what", "p50 us", "p99 us"), rows)


def block_quota_reports(inputs: Inputs) -> str:
    """Return the processor time of a report and its grant."""
    rows = [
        (
            f"{one.rows}",
            f"{one.exchanges}, {one.grants}",
            _with_range(one.sender_us, one.sender_range_us),
            _with_range(one.owner_us, one.owner_range_us),
        )
        for one in inputs.quota_cost.exchanges
    ]
    header = ("teams in a report", "reports, grants", "sender us", "quota owner us")
    return table(header, rows)


def _with_range(value: float, found: tuple[float, float]) -> str:
    return f"{value:.0f} ({found[0]:.0f} to {found[1]:.0f})"


def block_quota_traffic(inputs: Inputs) -> str:
    """Return the messages of quotas at an idle and a busy node.

    Without requests all nodes are idle, so there is one row of them.
    """
    one = cost_of_one(inputs.quota_cost)
    rows = [
        (
            f"{found.nodes}, {found.teams:,}",
            found.load,
            found.node,
            f"{found.messages_per_s:.1f}",
            f"{found.bytes_per_s:.0f}",
            f"{found.wire_bytes_per_s:.0f}",
            f"{found.reports_per_s:.1f}",
            f"{found.reports_per_s * one.owner_us / 1e6:.2%}",
        )
        for found in inputs.quota_cost.traffic
        if found.load != "none" or found.node == "idle"
    ]
    header = (
        "nodes, teams",
        "load",
        "node",
        "messages/s",
        "B/s",
        "wire B/s",
        "reports/s as owner",
        "share of a core for these",
    )
    return table(header, rows)


def block_quota_target(inputs: Inputs) -> str:
    """Return what one team costs its owner over the target's fleet."""
    cost = inputs.quota_cost
    owner_us = cost_of_one(cost).owner_us
    rows = [
        (
            f"{one.rate_per_s:,.0f}",
            f"{one.reports_per_s:.0f}",
            f"{one.reports_per_s * owner_us / 1e6:.1%}",
            f"{one.owner.wire_bytes_per_s / 1000:.1f}",
            f"{one.mean.wire_bytes_per_s:.0f}",
        )
        for one in cost.large
    ]
    allowed = TARGET.processor_ratio * 1e6 / owner_us
    limit = (
        "limit of control",
        f"{allowed:.0f}",
        f"{TARGET.processor_ratio:.1%}",
        f"{TARGET.control_bytes_per_s / 1000:.1f}",
        f"{TARGET.control_bytes_per_s}",
    )
    header = (
        "requests/s of the team",
        "reports/s at its owner",
        "share of a core there",
        "wire KB/s there",
        "wire B/s at the mean of the other nodes",
    )
    return table(header, [*rows, limit])


def block_quota_mix(inputs: Inputs) -> str:
    """Return what quotas cost each node of the target's fleet."""
    cost = inputs.quota_cost
    rows = []
    for teams in sorted({one.teams for one in cost.checks}):
        mix = mix_at_target(cost, teams)
        rows.append(
            (
                f"{teams:,}",
                f"{mix.reports:.0f}",
                f"{mix.processor_ratio:.1%}",
                f"{mix.wire_bytes / 1000:.1f}",
            )
        )
    rows.append(
        (
            "limit of control",
            "",
            f"{TARGET.processor_ratio:.1%}",
            f"{TARGET.control_bytes_per_s / 1000:.1f}",
        )
    )
    header = ("teams", "reports/s sent", "share of a core", "wire KB/s")
    return table(header, rows)
