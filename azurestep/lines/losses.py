"""Which attempts were refused, failed or late, when, where and why. Pure."""

from collections import Counter
from collections.abc import Iterable

import attrs

from .reader import LogLine
from .verdict import Decision, Outcome, judge


@attrs.frozen(slots=True)
class Loss:
    """Attempts of one route that were lost for one reason at one node in one second.

    Attributes
    ----------
    second : int
        Whole seconds since the first line.
    returned : int
        How many of them came from callers that had asked before.
    """

    route: str
    second: int
    node: str
    outcome: Outcome
    decision: Decision
    attempts: int
    returned: int


@attrs.frozen(slots=True)
class RouteTotal:
    """All attempts of one route that have a line."""

    route: str
    attempts: int
    in_time: int


@attrs.frozen(slots=True)
class TeamTotal:
    """All attempts of one team that have a line.

    Attributes
    ----------
    decision : Decision
        What decided most of those that were lost.
    """

    team: str
    attempts: int
    lost: int
    decision: Decision


@attrs.frozen(slots=True)
class LossesResult:
    """What the lines of some nodes tell of lost attempts.

    Attributes
    ----------
    losses : list of Loss
        Ordered by second, then by size.
    routes : list of RouteTotal
        All routes with a loss, and how many attempts they had.
    left_out, unreadable : int
        Lines that nodes left out above their rate, and lines that can't be read; the
        counts are short by up to so many.
    teams : list of TeamTotal
        All teams with a loss, that with most losses first.
    """

    losses: list[Loss]
    routes: list[RouteTotal]
    left_out: int
    unreadable: int
    teams: list[TeamTotal] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class _Place:
    route: str
    second: int
    node: str
    outcome: Outcome
    decision: Decision


def find_losses(lines: Iterable[LogLine], unreadable: int = 0) -> LossesResult:
    """Count the losses of lines that are in the order of their times."""
    attempts: Counter[_Place] = Counter()
    returned: Counter[_Place] = Counter()
    offered: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    by_team: dict[str, Counter[Decision]] = {}
    left_out = 0
    begin_ms: float | None = None
    for line in lines:
        begin_ms = line.at_ms if begin_ms is None else begin_ms
        left_out += line.lines
        verdict = judge(line)
        if verdict is None:
            continue
        offered[line.route] += 1
        if line.team:
            by_team.setdefault(line.team, Counter())[verdict.decision] += 1
        if verdict.outcome is Outcome.IN_TIME:
            in_time[line.route] += 1
            continue
        second = int((line.at_ms - begin_ms) // 1000)
        place = _Place(line.route, second, line.node, verdict.outcome, verdict.decision)
        attempts[place] += 1
        returned[place] += line.returned
    losses = [
        Loss(
            place.route,
            place.second,
            place.node,
            place.outcome,
            place.decision,
            count,
            returned[place],
        )
        for place, count in attempts.items()
    ]
    losses.sort(key=lambda loss: (loss.second, -loss.attempts, loss.node))
    names = sorted({loss.route for loss in losses})
    routes = [RouteTotal(name, offered[name], in_time[name]) for name in names]
    return LossesResult(losses, routes, left_out, unreadable, _teams(by_team))


def _teams(decisions: dict[str, Counter[Decision]]) -> list[TeamTotal]:
    """Return the teams with a loss; an attempt in time has no decision."""
    totals = []
    for team, counts in decisions.items():
        attempts = counts.total()
        del counts[Decision.NONE]
        if counts:
            most = counts.most_common(1)[0][0]
            totals.append(TeamTotal(team, attempts, counts.total(), most))
    return sorted(totals, key=lambda total: (-total.lost, total.team))
