"""Tables of docs/CAPACITY.md."""

from azurestep.settings import AuditSettings

from . import slopes
from .capacity_model import (
    Inputs,
    appends_per_change,
    load_at_target,
    ownership_per_record,
    ownership_per_s,
    reports_per_change,
    role_per_s,
    wire_per_s,
)
from .tables import table
from .target import ASSUMED, TARGET

ROLES = ("node", "reader", "bridge")
ROLE_NAMES = {
    "node": "node",
    "reader": "reader of the log",
    "bridge": "bridge and reporter",
}


def block_target(inputs: Inputs) -> str:
    """Return the table of the target."""
    rows = [
        ("nodes, each beside one backend server", f"{TARGET.nodes:,}"),
        ("services", f"{TARGET.services}"),
        (
            "regions, data centres, nodes in each",
            f"{TARGET.regions}, {TARGET.data_centres}, {TARGET.members}",
        ),
        (
            "calls a second, and per node",
            f"{TARGET.calls_per_s:,}, {TARGET.calls_per_node_per_s:.0f}",
        ),
        ("calls deep", f"up to {TARGET.call_depth}"),
        ("time added to a call, 99 in 100", f"{TARGET.added_p99_ms} ms"),
        (
            "changes a day, and a second",
            f"{TARGET.changes_per_day:,}, {TARGET.changes_per_s:.4f}",
        ),
        ("in force everywhere within", f"{TARGET.in_force_s:.0f} s"),
        (
            "control per node",
            f"{TARGET.processor_ratio:.1%} of a core, {TARGET.memory_mb} MB, "
            f"{TARGET.control_bytes_per_s / 1000:.0f} KB/s",
        ),
        (
            "failures and restarts a day",
            f"{TARGET.failures_per_day} and {TARGET.restarts_per_day}",
        ),
    ]
    return table(("target", "value"), rows)


def block_slopes(inputs: Inputs) -> str:
    """Return the table of the slopes."""
    costs, scale = inputs.costs, inputs.scale
    rows = [
        _line_row(
            "resident memory, MB over members",
            slopes.over_members(costs, "idle", lambda c: c.resident_mb),
            slopes.COST_COMMAND,
        ),
        _line_row(
            "idle processor, ms/s over members",
            slopes.over_members(
                costs, "idle", lambda c: c.processor_s * 1000 / c.duration_s
            ),
            slopes.COST_COMMAND,
        ),
        _line_row(
            "idle frame bytes sent, B/s over members",
            slopes.over_members(costs, "idle", lambda c: c.sent_bytes / c.duration_s),
            slopes.COST_COMMAND,
        ),
        _line_row(
            "news sent by a starting node, B over members",
            slopes.over_members(costs, "start", lambda c: float(c.sent_bytes)),
            slopes.COST_COMMAND,
        ),
        _line_row(
            "idle frame bytes sent, B/s over all nodes",
            slopes.over_nodes(
                scale,
                lambda run: slopes.window_value(
                    run, "idle", lambda w: w.sent_bytes_per_s
                ),
            ),
            slopes.SCALE_COMMAND,
        ),
        _line_row(
            "change in force everywhere, median ms over all nodes",
            slopes.over_nodes(scale, lambda r: r.convergence[0].everywhere_p50_ms),
            slopes.SCALE_COMMAND,
        ),
        _line_row(
            "bytes that the wire adds, B over frames",
            slopes.wire_bytes_per_frame(scale),
            slopes.SCALE_COMMAND,
        ),
    ]
    return table(("slope", "per unit", "at zero", "fit (R²)", "measured by"), rows)


def block_events(inputs: Inputs) -> str:
    """Return the table of what one event costs a node."""
    rows = []
    for role in ROLES:
        for activity in (
            "changes",
            "report updates",
            "member updates",
            "summary updates",
        ):
            cost = slopes.per_event(inputs.costs, role, activity)
            rows.append(
                (
                    ROLE_NAMES[role],
                    activity,
                    f"{cost.processor_ms:.1f}",
                    f"{cost.sent_bytes:.0f}",
                    f"{cost.received_bytes:.0f}",
                    f"{cost.sent_frames + cost.received_frames:.1f}",
                )
            )
    return table(
        ("role", "one of", "processor ms", "sent B", "received B", "frames"), rows
    )


def block_rates(inputs: Inputs) -> str:
    """Return the rates that the roles' costs are multiplied by."""
    reports = reports_per_change(inputs.scale)
    load = load_at_target(1, reports)
    rows = [
        ("changes", f"{load.changes:.4f}", "the target's"),
        (
            "reports",
            f"{load.reports:.3f}",
            f"{reports:.1f} of each data centre for a change, counted by `scale`",
        ),
        (
            "member updates",
            f"{load.member_updates:.4f}",
            f"restarts and failures of a data centre, assumed "
            f"{ASSUMED.member_updates_per_restart} each",
        ),
        (
            "summary updates",
            f"{load.summary_updates:.4f}",
            f"restarts and failures of the fleet, assumed "
            f"{ASSUMED.summary_updates_per_restart} each",
        ),
    ]
    return table(("what reaches a node", "per second", "from"), rows)


def block_roles(inputs: Inputs) -> str:
    """Return the table of the roles at the target."""
    rows = []
    for role in ROLES:
        for factor in (1, 10):
            spent = role_per_s(inputs, role, factor)
            rows.append(
                (
                    ROLE_NAMES[role] + (f", {factor}× the rates" if factor > 1 else ""),
                    f"{spent.sent_frames + spent.received_frames:.1f}",
                    f"{spent.processor_ms / 1000:.2%}",
                    f"{slopes.resident_mb(inputs.costs, role):.0f}",
                    f"{spent.sent_bytes + spent.received_bytes:.0f}",
                    f"{wire_per_s(inputs, spent):.0f}",
                )
            )
    limit = (
        "limit",
        "",
        f"{TARGET.processor_ratio:.2%}",
        f"{TARGET.memory_mb}",
        "",
        f"{TARGET.control_bytes_per_s}",
    )
    header = (
        "role",
        "frames/s",
        "share of a core",
        "memory MB",
        "frame B/s",
        "wire B/s",
    )
    return table(header, [*rows, limit])


def block_ownership(inputs: Inputs) -> str:
    """Return what ownership records cost every node."""
    one = ownership_per_record(inputs)
    all_of_them = ownership_per_s(inputs)
    appends = ASSUMED.owners * ASSUMED.ownership_records_per_owner_per_s
    wire = wire_per_s(inputs, all_of_them)
    rows = [
        (
            "records of the fleet per second, of 256 owners in 300 s at most",
            f"{appends:.1f}",
        ),
        (
            "one record at one node: processor ms, frame bytes both ways, frames",
            f"{one.processor_ms:.2f}, {one.sent_bytes + one.received_bytes:.0f}, "
            f"{one.sent_frames + one.received_frames:.1f}",
        ),
        (
            "all records at one node: share of a core",
            f"{all_of_them.processor_ms / 1000:.2%}",
        ),
        ("all records at one node: wire B/s", f"{wire:.0f}"),
    ]
    return table(("figure", "value"), rows)


def block_platform(inputs: Inputs) -> str:
    """Return the work of the platform's log."""
    readers = TARGET.data_centres * 2
    polls = readers * 2 / 6
    ownership = ASSUMED.owners * ASSUMED.ownership_records_per_owner_per_s
    run = slopes.shipped(inputs.scale)[-1]
    per_start = run.start_log_reads / run.nodes
    rows = [
        ("appends/s: changes", f"{TARGET.changes_per_s:.3f}"),
        (
            "appends/s: checkpoints of the configuration",
            f"{TARGET.changes_per_s / 500 + 1 / 600:.4f}",
        ),
        ("appends/s: extensions of ownership", f"{ownership:.1f}"),
        (
            "appends/s: audit, at most one of each data centre a second",
            f"{TARGET.data_centres / AuditSettings().append_interval_ms * 1000:.1f}",
        ),
        (
            f"appends for a change, all streams, measured with {run.nodes} nodes "
            f"in {run.data_centres} data centres",
            f"{appends_per_change(run):.1f}",
        ),
        (
            "appends/s that the platform takes, at least",
            f"{ASSUMED.platform_appends_per_s}",
        ),
        (f"reads/s: {readers} readers, two long polls each of 6 s", f"{polls:.1f}"),
        (
            "reads/s: an answer to each reader for each record",
            f"{readers * (TARGET.changes_per_s + ownership):.1f}",
        ),
        (
            f"reads of one starting node, measured with {run.nodes} nodes",
            f"{per_start:.1f}",
        ),
        (
            "reads when a data centre starts at once",
            f"{per_start * TARGET.members:.0f}",
        ),
    ]
    return table(("work", "value"), rows)


def _line_row(name: str, line: slopes.Line, command: str) -> tuple[str, ...]:
    return (
        name,
        f"{line.slope:.4g}",
        f"{line.intercept:.4g}",
        f"{line.fit_ratio:.2f}",
        f"`{command}`",
    )
