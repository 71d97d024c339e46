"""Tables of what was measured, as it was measured."""

from .capacity_model import Inputs
from .tables import table


def block_convergence(inputs: Inputs) -> str:
    """Return the convergence times by size."""
    rows = [
        (
            run.label,
            f"{run.nodes}",
            found.label,
            f"{found.changes}",
            f"{found.everywhere_p50_ms:.0f}",
            f"{found.everywhere_p99_ms:.0f}",
            f"{found.everywhere_max_ms:.0f}",
            f"{found.unfinished}",
        )
        for run in [*inputs.scale.runs, *inputs.baselines.runs]
        for found in run.convergence
    ]
    header = (
        "settings",
        "nodes",
        "while",
        "changes",
        "p50 ms",
        "p99 ms",
        "max ms",
        "unfinished",
    )
    return table(header, rows)


def block_bytes(inputs: Inputs) -> str:
    """Return the control bytes by size."""
    rows = [
        (
            run.label,
            f"{run.nodes}",
            window.label,
            f"{window.sent_bytes_per_s:.0f}",
            f"{window.received_bytes_per_s:.0f}",
            f"{window.sent_wire_bytes_per_s + window.received_wire_bytes_per_s:.0f}",
            f"{window.processor_ratio:.2%}",
            f"{window.resident_maximum_mb:.0f}",
            f"{window.log_out_bytes / window.duration_s:.0f}",
        )
        for run in [*inputs.scale.runs, *inputs.baselines.runs]
        for window in run.windows
    ]
    header = (
        "settings",
        "nodes",
        "while",
        "sent B/s",
        "received B/s",
        "wire B/s",
        "share of a core",
        "memory MB",
        "log sends B/s",
    )
    return table(header, rows)


def block_calls(inputs: Inputs) -> str:
    """Return the cost of calls."""
    rows = [
        (
            f"{pair.calls_per_s:.0f}",
            f"{pair.direct_p50_ms:.2f} / {pair.direct_p99_ms:.2f}",
            f"{pair.node_p50_ms:.2f} / {pair.node_p99_ms:.2f}",
            f"{pair.added_p50_ms:.2f}",
            f"{pair.added_p99_ms:.2f}",
            f"{pair.processor_ms_per_call:.2f}",
            f"{pair.failed} of {2 * pair.calls}",
        )
        for pair in inputs.latency.pairs
    ]
    header = (
        "calls/s",
        "direct p50 / p99 ms",
        "through the node p50 / p99 ms",
        "added p50 ms",
        "added p99 ms",
        "processor ms a call",
        "failed",
    )
    return table(header, rows)


def block_added(inputs: Inputs) -> str:
    """Return the time added inside the node, by its own histogram."""
    found = inputs.request_path
    rows = [
        ("calls in the histogram", f"{found.added.count}"),
        ("added inside the node, p50 ms", f"{found.added.p50_ms:.2f}"),
        ("added inside the node, p99 ms", f"{found.added.p99_ms:.2f}"),
        ("target, p99 ms", f"{found.target_ms:.2f}"),
        (
            "direct call, p50 / p99 ms",
            f"{found.direct.p50_ms:.2f} / {found.direct.p99_ms:.2f}",
        ),
        ("processor of the node a call, ms", f"{found.node_processor_us / 1000:.2f}"),
    ]
    return table(("figure", "value"), rows)


def block_machine(inputs: Inputs) -> str:
    """Return the facts of the machine."""
    rows = [
        (
            name,
            f"{found.cores}",
            f"{found.memory_mb}",
            found.python,
            f"{found.load_before:.1f} to {found.load_after:.1f}",
        )
        for name, found in (
            ("node_cost", inputs.costs.machine),
            ("scale", inputs.scale.machine),
            ("latency", inputs.latency.machine),
            ("baselines", inputs.baselines.machine),
            ("bad_days", inputs.bad_days.machine),
            ("request_path", inputs.request_path.machine),
            ("quota_cost", inputs.quota_cost.machine),
        )
    ]
    return table(("result", "cores", "memory MB", "Python", "load average"), rows)


def block_bad_days(inputs: Inputs) -> str:
    """Return how long the fleet took to get over each bad day."""
    rows = [
        (
            day.name,
            f"{day.hit} of {day.nodes}",
            day.awaited if day.recovered else f"NOT REACHED: {day.awaited}",
            f"{day.recovery_s:.2f}",
            f"{day.log_reads}",
        )
        for day in inputs.bad_days.days
    ]
    header = ("what", "nodes hit", "awaited", "seconds", "reads of the log")
    return table(header, rows)
