"""Calls and quotas of each team, for a bounded number of teams."""

import heapq
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

import attrs

from .messages import Reason

SHOWN_TEAMS = 20
"""Teams with series of their own: at most 220 series of a node. With 1,000 teams, 1,100
nodes would have 12 million."""
REVIEW_CALLS = 2000
"""Calls after which the teams with series of their own are chosen again; 20 s at 100
calls a second."""
STAY_FACTOR = 2
"""A team takes another one's place only with so many times its calls, so that teams of
about equal size don't take turns."""
OTHER = "other"
SERIES = "azurestep_team_calls_total"
QUOTA_SERIES = "azurestep_team_quota"


class TeamOutcome(StrEnum):
    """How a call of a team ended."""

    GOOD = "good"
    LATE = "late"
    REFUSED_QUOTA = "refused_quota"
    REFUSED_CAPACITY = "refused_capacity"
    FAILED = "failed"


def outcome_of_refusal(reason: Reason) -> TeamOutcome:
    """Return the outcome of a request of a team that was refused and has not run."""
    if reason is Reason.QUOTA:
        return TeamOutcome.REFUSED_QUOTA
    return TeamOutcome.REFUSED_CAPACITY


@attrs.define(slots=True, eq=False, repr=False)
class TeamCounters:
    """Counters of one team, or of all that have no series of their own.

    Attributes
    ----------
    admitted, returned : int
        Requests within the quota, and those of them that have not run.
    """

    outcomes: Counter[TeamOutcome] = attrs.field(factory=Counter)
    admitted: int = 0
    returned: int = 0


@attrs.define(slots=True, eq=False, repr=False)
class TeamMetrics:
    """Counters of the teams with the most calls, and of all others together.

    Each counter only grows. A team that gets a series of its own begins at zero there;
    what it had before stays in that of the others.

    Attributes
    ----------
    quota_gauges : Mapping
        Gauges of each team with a quota, by name; those without series of their own
        are added up.

    Examples
    --------
    >>> metrics = TeamMetrics()
    >>> metrics.record("riggers", TeamOutcome.GOOD)
    >>> metrics.lines()
    ['azurestep_team_calls_total{team="riggers",kind="good"} 1']
    """

    quota_gauges: Mapping[str, Mapping[str, float]] = attrs.field(factory=dict)
    _shown: dict[str, TeamCounters] = attrs.field(factory=dict)
    _others: TeamCounters = attrs.field(factory=TeamCounters)
    _recent: Counter[str] = attrs.field(factory=Counter)
    _recent_calls: int = 0

    def record(self, team: str, outcome: TeamOutcome) -> None:
        """Count a call; ``team`` is empty for a call without one, which isn't."""
        if not team:
            return
        self._counters(team).outcomes[outcome] += 1
        self._recent[team] += 1
        self._recent_calls += 1
        if self._recent_calls >= REVIEW_CALLS:
            self._review()

    def record_quota(self, team: str, admitted: int, returned: int) -> None:
        """Count requests within the team's quota, and those that have not run."""
        if admitted or returned:
            counters = self._counters(team)
            counters.admitted += admitted
            counters.returned += returned

    def lines(self) -> list[str]:
        """Return counters and gauges in the text format."""
        series = [*sorted(self._shown.items()), (OTHER, self._others)]
        lines = [
            f'{SERIES}{{team="{_escape(team)}",kind="{kind}"}} {count}'
            for team, counters in series
            for kind, count in sorted(counters.outcomes.items())
        ]
        by_name: dict[str, list[str]] = {}
        for team, counters in series:
            values = _quota_values(counters, self._gauges_of(team))
            for name, value in values.items():
                line = f'{QUOTA_SERIES}_{name}{{team="{_escape(team)}"}} {value:.15g}'
                by_name.setdefault(name, []).append(line)
        return lines + [line for found in by_name.values() for line in found]

    def _gauges_of(self, series: str) -> Mapping[str, float]:
        if series in self._shown:
            return self.quota_gauges.get(series, {})
        sums: dict[str, float] = {}
        for team, gauges in self.quota_gauges.items():
            if team not in self._shown:
                for name, value in gauges.items():
                    sums[name] = sums.get(name, 0.0) + value
        return sums

    def _counters(self, team: str) -> TeamCounters:
        """Return where a team is counted; the first teams get series of their own."""
        if team not in self._shown and len(self._shown) < SHOWN_TEAMS:
            self._show(team)
        return self._shown.get(team, self._others)

    def _show(self, team: str) -> None:
        """Give a team series of its own, unless its name is that of the others."""
        if team != OTHER:
            self._shown[team] = TeamCounters()

    def _review(self) -> None:
        """Choose the teams with series of their own by their recent calls."""
        scores = {
            team: self._recent[team] * (STAY_FACTOR if team in self._shown else 1)
            for team in {*self._recent, *self._shown}
        }
        chosen = heapq.nlargest(
            SHOWN_TEAMS, scores, key=lambda team: (scores[team], team in self._shown)
        )
        for team in self._shown.keys() - chosen:
            del self._shown[team]
        for team in set(chosen) - self._shown.keys():
            self._show(team)
        self._recent.clear()
        self._recent_calls = 0


def _quota_values(
    counters: TeamCounters, gauges: Mapping[str, float]
) -> dict[str, float]:
    """Return the counters and gauges of a series that are about quotas."""
    values: dict[str, float] = {}
    if counters.admitted or counters.returned:
        values["admitted_total"] = counters.admitted
        values["returned_total"] = counters.returned
    values.update(gauges)
    return values


def _escape(text: str) -> str:
    """Return a label's value as the text format writes it."""
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
