"""Calls of each team by how they ended, for a bounded number of teams."""

import heapq
from collections import Counter
from enum import StrEnum

import attrs

from .messages import Reason

SHOWN_TEAMS = 20
"""Teams with series of their own: 100 series of a node. With 1,000 teams, 1,100 nodes
would have 5.5 million."""
REVIEW_CALLS = 2000
"""Calls after which the teams with series of their own are chosen again; 20 s at 100
calls a second."""
STAY_FACTOR = 2
"""A team takes another one's place only with so many times its calls, so that teams of
about equal size don't take turns."""
OTHER = "other"
SERIES = "azurestep_team_calls_total"


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
class TeamMetrics:
    """Counters of the teams with the most calls, and of all others together.

    Each counter only grows. A team that gets a series of its own begins at zero there;
    what it had before stays in that of the others.

    Examples
    --------
    >>> metrics = TeamMetrics()
    >>> metrics.record("riggers", TeamOutcome.GOOD)
    >>> metrics.lines()
    ['azurestep_team_calls_total{team="riggers",kind="good"} 1']
    """

    _shown: dict[str, Counter[TeamOutcome]] = attrs.field(factory=dict)
    _others: Counter[TeamOutcome] = attrs.field(factory=Counter)
    _recent: Counter[str] = attrs.field(factory=Counter)
    _recent_calls: int = 0

    def record(self, team: str, outcome: TeamOutcome) -> None:
        """Count a call; ``team`` is empty for a call without one, which isn't."""
        if not team:
            return
        if team not in self._shown and len(self._shown) < SHOWN_TEAMS:
            self._show(team)
        self._shown.get(team, self._others)[outcome] += 1
        self._recent[team] += 1
        self._recent_calls += 1
        if self._recent_calls >= REVIEW_CALLS:
            self._review()

    def lines(self) -> list[str]:
        """Return the counters in the text format."""
        named = sorted(self._shown.items())
        return [
            f'{SERIES}{{team="{_escape(team)}",kind="{kind}"}} {count}'
            for team, counts in [*named, (OTHER, self._others)]
            for kind, count in sorted(counts.items())
        ]

    def _show(self, team: str) -> None:
        """Give a team series of its own, unless its name is that of the others."""
        if team != OTHER:
            self._shown[team] = Counter()

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


def _escape(text: str) -> str:
    """Return a label's value as the text format writes it."""
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
