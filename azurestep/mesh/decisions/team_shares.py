"""Start-time fair queueing between the teams of callers at one backend server.

Answers the load of one team that sends several times its usual rate: within a priority,
each team gets a share of the run time by its weight, whatever the others send.

Each team has a virtual time, which advances by the run time that it used divided by its
weight. The team that is furthest behind goes first.
"""

import math
from collections.abc import Iterable

import attrs

NO_TEAM_TAG = -math.inf
"""Tag of requests without a team: calls between services go before a team's work."""
MAX_TEAMS = 512
"""Virtual times kept before those that no longer matter are dropped.

Seven priorities of 77 teams; some 60 KB.
"""


@attrs.define(slots=True, eq=False, repr=False)
class TeamShares:
    """Virtual times of the teams at one backend server, for each priority.

    Examples
    --------
    >>> shares = TeamShares()
    >>> shares.record_start(1, "riggers", weight=2.0, run_ms=100.0)
    >>> shares.start_tag(1, "riggers"), shares.start_tag(1, "divers")
    (50.0, 0.0)
    """

    _now: dict[int, float] = attrs.field(factory=dict)
    _next: dict[tuple[int, str], float] = attrs.field(factory=dict)

    def start_tag(self, priority: int, team: str) -> float:
        """Return the virtual time at which a team's next request starts.

        A team that was idle starts at the present virtual time of the priority, so
        that it can't claim the time in which it sent nothing.
        """
        if not team:
            return NO_TEAM_TAG
        now = self._now.get(priority, 0.0)
        return max(now, self._next.get((priority, team), 0.0))

    def record_start(
        self, priority: int, team: str, weight: float, run_ms: float
    ) -> None:
        """Charge a team for a run of the expected time, which starts now."""
        if not team:
            return
        tag = self.start_tag(priority, team)
        self._now[priority] = tag
        self._next[priority, team] = tag + run_ms / weight
        if len(self._next) > MAX_TEAMS:
            self._drop_idle()

    def correct(self, priority: int, team: str, weight: float, run_ms: float) -> None:
        """Add the difference between the time that a run took and its charge."""
        key = (priority, team)
        if key in self._next:
            self._next[key] += run_ms / weight

    def tags(self, requests: Iterable[tuple[int, str, float, float]]) -> list[float]:
        """Return the tags of requests in the order in which their teams send them.

        Parameters
        ----------
        requests : iterable of tuple
            Priority, team, weight and expected run time of each.
        """
        following: dict[tuple[int, str], float] = {}
        found = []
        for priority, team, weight, run_ms in requests:
            key = (priority, team)
            tag = following.get(key)
            if tag is None:
                tag = self.start_tag(priority, team)
            following[key] = tag + run_ms / weight
            found.append(tag)
        return found

    def _drop_idle(self) -> None:
        """Drop the teams that would start at the present virtual time anyway."""
        self._next = {
            key: tag for key, tag in self._next.items() if tag > self._now[key[0]]
        }
