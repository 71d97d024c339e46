"""Cost of each role at the target, worked out from the measured slopes."""

import attrs

from . import slopes
from .bad_days import BadDays
from .latency import Latency
from .node_cost import NodeCosts
from .quota_cost import QuotaCost
from .request_path import RequestPath
from .results import read_result
from .scale import OWNERSHIP, Run, Scale
from .slopes import Spent
from .target import ASSUMED, TARGET


@attrs.frozen
class Load:
    """Rates of what happens to one node at the target, per second."""

    changes: float
    reports: float
    member_updates: float
    summary_updates: float


def load_at_target(factor: float, reports_per_change: float) -> Load:
    """Return the rates when changes and restarts come so many times as often."""
    changes = TARGET.changes_per_s * factor
    restarts = TARGET.restarts_per_s * factor
    return Load(
        changes,
        changes * reports_per_change * TARGET.data_centres,
        restarts / TARGET.data_centres * ASSUMED.member_updates_per_restart,
        restarts * ASSUMED.summary_updates_per_restart,
    )


@attrs.frozen
class Inputs:
    """Results that the page rests on."""

    costs: NodeCosts
    scale: Scale
    latency: Latency
    baselines: Scale
    bad_days: BadDays
    request_path: RequestPath
    quota_cost: QuotaCost


def read_inputs() -> Inputs:
    """Read the results."""
    return Inputs(
        read_result("node_cost", NodeCosts),
        read_result("scale", Scale),
        read_result("latency", Latency),
        read_result("baselines", Scale),
        read_result("bad_days", BadDays),
        read_result("request_path", RequestPath),
        read_result("quota_cost", QuotaCost),
    )


def role_per_s(inputs: Inputs, role: str, factor: float) -> Spent:
    """Return what a node of a role spends in a second at the target."""
    load = load_at_target(factor, reports_per_change(inputs.scale))
    total = slopes.idle_per_s(inputs.costs, role)
    for rate, activity in (
        (load.changes, "changes"),
        (load.reports, "report updates"),
        (load.member_updates, "member updates"),
        (load.summary_updates, "summary updates"),
    ):
        total = total.plus(slopes.per_event(inputs.costs, role, activity).times(rate))
    return total.plus(ownership_per_s(inputs))


def reports_per_change(scale: Scale) -> float:
    """Return the reports that a data centre publishes for a change."""
    counted = [run.reports_per_change for run in slopes.shipped(scale)]
    known = [count for count in counted if count > 0]
    return max(known) if known else ASSUMED.reports_per_change


def appends_per_change(run: Run) -> float:
    """Return the appends to all streams that came with a change."""
    window = next(w for w in run.windows if w.label == slopes.CHANGES)
    return window.log_appends / window.events


def ownership_per_record(inputs: Inputs) -> Spent:
    """Return what one ownership record costs each node, in the dearest run."""
    costs = (
        slopes.per_window_event(run, OWNERSHIP) for run in slopes.shipped(inputs.scale)
    )
    return max(costs, key=lambda cost: cost.sent_bytes + cost.received_bytes)


def ownership_per_s(inputs: Inputs) -> Spent:
    """Return what the ownership records of the whole fleet cost each node."""
    rate = ASSUMED.owners * ASSUMED.ownership_records_per_owner_per_s
    return ownership_per_record(inputs).times(rate)


def wire_per_s(inputs: Inputs, spent: Spent) -> float:
    """Return the bytes of a second on the wire, both directions together."""
    frames = spent.sent_frames + spent.received_frames
    per_frame = slopes.wire_bytes_per_frame(inputs.scale).slope
    return spent.sent_bytes + spent.received_bytes + frames * per_frame
