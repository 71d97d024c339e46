"""What log lines tell, as text for people."""

from collections import Counter

from ..lines.explanation import ExplainResult
from ..lines.faults import FaultsResult, ProgramFault
from ..lines.losses import LossesResult
from .render import render
from .tables import format_table
from .times import NONE

SECONDS_SHOWN = 12
"""Worst seconds in the text; ``--json`` has all."""
TEAMS_SHOWN = 20
"""Teams with most losses in the text; ``--json`` has all."""


@render.register
def _explain(result: ExplainResult) -> str:
    rows = [
        [f"{step.at_ms:.0f}", step.node, step.what, step.inputs or NONE]
        for step in result.steps
    ]
    head = f"{result.request_id}: {result.cause}"
    if not rows:
        return head
    table = format_table(["ms", "node", "what happened", "what it went by"], rows)
    return f"{head}\n\n{table}"


@render.register
def _losses(result: LossesResult) -> str:
    parts = [_by_route(result), _by_second(result)]
    if result.teams:
        parts.append(_by_team(result))
    if result.left_out or result.unreadable:
        parts.append(
            f"Lines left out above the nodes' rate: {result.left_out};"
            f" unreadable: {result.unreadable}. The counts are short by up to so many."
        )
    return "\n\n".join(parts)


def _by_route(result: LossesResult) -> str:
    counts: Counter[tuple[str, str, str]] = Counter()
    returned: Counter[tuple[str, str, str]] = Counter()
    for loss in result.losses:
        key = (loss.route or NONE, str(loss.outcome), str(loss.decision))
        counts[key] += loss.attempts
        returned[key] += loss.returned
    totals = {total.route or NONE: total for total in result.routes}
    rows = [
        [*key, count, f"{count / totals[key[0]].attempts:.3f}", returned[key]]
        for key, count in counts.most_common()
    ]
    headers = ["route", "outcome", "what decided it", "attempts", "share", "returned"]
    return format_table(headers, rows)


def _by_team(result: LossesResult) -> str:
    rows = [
        [
            total.team,
            total.attempts,
            total.lost,
            f"{total.lost / total.attempts:.3f}",
            str(total.decision),
        ]
        for total in result.teams[:TEAMS_SHOWN]
    ]
    return format_table(["team", "attempts", "lost", "share", "most for"], rows)


def _by_second(result: LossesResult) -> str:
    counts: Counter[int] = Counter()
    first: dict[int, Counter[str]] = {}
    nodes: dict[int, set[str]] = {}
    for loss in result.losses:
        counts[loss.second] += loss.attempts
        reasons = first.setdefault(loss.second, Counter())
        reasons[f"{loss.outcome}: {loss.decision}"] += loss.attempts
        nodes.setdefault(loss.second, set()).add(loss.node)
    rows = [
        [second, counts[second], len(nodes[second]), first[second].most_common(1)[0][0]]
        for second, _ in counts.most_common(SECONDS_SHOWN)
    ]
    headers = ["worst seconds", "attempts lost", "nodes", "most for"]
    return format_table(headers, sorted(rows))


@render.register
def _faults(result: FaultsResult) -> str:
    parts = [] if result.damaged else ["No fault of the program."]
    if result.faults:
        rows = [
            [fault.event, fault.node, fault.place or NONE, fault.count, fault.cause]
            for fault in result.faults
        ]
        headers = ["event", "node", "place", "count", "first cause"]
        parts = [format_table(headers, rows)]
    parts += [_traceback(fault) for fault in result.faults if fault.traceback]
    if result.unreadable:
        parts.append(
            f"Lines that can't be read: {result.unreadable};"
            f" {result.damaged} of them tell of a fault too."
        )
    return "\n\n".join(parts)


def _traceback(fault: ProgramFault) -> str:
    head = f"{fault.event} at {fault.node}, {fault.place}: {fault.message}"
    return f"{head}\n{fault.traceback.rstrip()}"
