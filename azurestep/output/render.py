"""Results as text for people."""

from functools import singledispatch
from typing import Any

from ..control.updates import DataCentreReport
from ..node.messages import NodeStatus
from .results import CheckResult, DrainResult, KeysResult, PublishResult
from .tables import format_table
from .times import NONE, format_time


@singledispatch
def render(result: Any) -> str:
    """Return the text of a result."""
    raise TypeError(f"{type(result).__name__} is no result")


@render.register
def _check(result: CheckResult) -> str:
    lines = []
    for checked in result.files:
        verdict = f"{len(checked.faults)} faults" if checked.faults else "valid"
        lines.append(f"{checked.file}: {checked.kind}, {verdict}")
        lines.extend(f"  {fault}" for fault in checked.faults)
    return "\n".join(lines)


@render.register
def _publish(result: PublishResult) -> str:
    if result.outcome == "refused":
        lines = [f"refused: {result.reason}"]
        lines.extend(f"  {fault}" for fault in result.faults)
        lines.append(f"version {result.version} stays in force")
        return "\n".join(lines)
    if result.outcome == "unchanged":
        return f"nothing to publish: version {result.version} is the same"
    text = f"accepted: version {result.version}, preset {result.preset}"
    if result.in_force is None:
        return text
    if result.in_force:
        return f"{text}, in force everywhere"
    lines = [f"{text}, not yet in force everywhere:"]
    lines.extend(f"  {_behind(report)}" for report in result.behind)
    return "\n".join(lines)


def _behind(report: DataCentreReport) -> str:
    named = ", ".join(report.missing) or "unknown instances"
    return (
        f"{report.data_centre}: version {report.version} on {report.in_force} of "
        f"{report.members}, missing {named}"
    )


@render.register
def _status(status: NodeStatus) -> str:
    roles = [
        name
        for name, held in (("reader", status.is_reader), ("bridge", status.is_bridge))
        if held
    ]
    lines = [
        f"instance     {status.instance} in {status.data_centre}",
        f"version      {status.version} ({status.hash[:12]}), as of {status.as_of}",
        f"preset       {status.preset or NONE}",
        f"roles        {', '.join(roles) or NONE}",
        f"in flight    {status.in_flight}",
        "",
        format_table(
            ["data centre", "version", "in force", "missing", "last"],
            [
                [
                    report.data_centre,
                    report.version,
                    f"{report.in_force}/{report.members}",
                    ", ".join(report.missing) or NONE,
                    format_time(report.last_ms),
                ]
                for report in status.reports
            ],
        ),
        "",
        format_table(
            ["member", "status", "backend servers", "platform"],
            [
                [
                    member.instance,
                    member.status,
                    member.servers,
                    "reachable" if member.log_reachable else "unreachable",
                ]
                for member in status.members
            ],
        ),
    ]
    return "\n".join(lines)


@render.register
def _drain(result: DrainResult) -> str:
    return f"{result.node} takes no new work and stops when its requests have ended"


@render.register
def _keys(result: KeysResult) -> str:
    return (
        '"fleet_key": {\n'
        f'  "public_key": "{result.fleet_key.public_key}",\n'
        f'  "secret_key": "{result.fleet_key.secret_key}"\n'
        "}"
    )
