"""How much each team asked for, as its callers saw it. Pure."""

from bisect import bisect_left
from collections.abc import Iterator

import attrs

from .records import Call, Observations

LOW_RATIO = 0.6
"""Part of its limit below which a team is never refused."""
MEMORY_S = 5.0
"""Time after a team asked for more in which it may be refused still: quotas hold in
each window of that length."""
ONSET_S = 0.5
"""Time in which a surge is known for one. An account that began after its owner was
lost or frozen has few tokens for its first requests, lest the bound is passed."""
NO_CONNECTION = -1


@attrs.define
class Demand:
    """Requests of one team, measured by a bucket of a part of its limit.

    Attributes
    ----------
    rate_per_s : float
        Rate up to which its demand is low; a burst of one second's requests is.
    """

    rate_per_s: float
    _left: float = attrs.field(
        default=attrs.Factory(lambda self: self.rate_per_s, takes_self=True)
    )
    _filled_s: float = 0.0
    _high_s: list[float] = attrs.field(factory=list)

    def record(self, at_s: float) -> None:
        """Count a request, served or not; later ones come after earlier ones."""
        added = (at_s - self._filled_s) * self.rate_per_s
        self._left = min(self.rate_per_s, self._left + added) - 1
        self._filled_s = at_s
        if self._left < 0:
            self._left = 0.0
            self._high_s.append(at_s)

    def was_low(self, from_s: float, to_s: float) -> bool:
        """Whether the team asked for little in a span of time, before it and after."""
        first = bisect_left(self._high_s, from_s - MEMORY_S)
        return first == len(self._high_s) or self._high_s[first] > to_s + ONSET_S


def calls_at_low_demand(seen: Observations) -> Iterator[Call]:
    """Yield the requests whose team had asked for little until they were answered."""
    teams = {span.key: span.team for span in seen.keys}
    rate_per_s = LOW_RATIO * seen.quota_per_s
    demands = {team: Demand(rate_per_s) for team in teams.values()}
    calls = [
        call
        for call in sorted(seen.calls, key=lambda call: call.sent_s)
        if call.key in teams and call.status != NO_CONNECTION
    ]
    asked = [(call.sent_s, call.key) for call in calls]
    asked += [(one.sent_s, one.key) for one in seen.departures if one.key in teams]
    for sent_s, key in sorted(asked, key=lambda one: one[0]):
        demands[teams[key or ""]].record(sent_s)
    for call in calls:
        if demands[teams[call.key or ""]].was_low(call.sent_s, call.ended_s):
            yield call
