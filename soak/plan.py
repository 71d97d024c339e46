"""Which faults strike when: drawn from a seed. Pure."""

from random import Random

import attrs

SETTLE_S = 1.5
"""Time before the first fault: all nodes know one another after some 0.5 s."""
CALM_S = 5.0
"""Time after the last fault: stability of 3 s, then what recovery is judged by."""
LONGEST_S = 2.5
SHORTEST_S = 0.3
DRAIN_S = 2.0
"""Time for which a stopping process still takes requests."""
STOP_LASTS_S = 6.0
"""Time that a stopping process has before it is killed."""
RETURN_LASTS_S = 4.0
"""Time from the start of a process until it owns quotas again, with room for one more
start."""
QUIET_S = 6.0
"""Time from the last fault to the stop at the end. What is sent in its last second
is excused by no fault; stops among other faults mostly are."""
LIMIT_LASTS_S = 8.0
"""Longer than the window over which arrivals at a limited server are counted."""
LIMIT_SCALE_PER_S = 8.0
"""Limits are up to 2.5 times this, below the usual load of a server."""
LEAVING_LASTS_S = 5.0
APART_BEFORE_S = 1.2
"""Time between the refusal and the version: longer than a long poll, which a version
ends also for a refused node."""
APART_AFTER_S = 4.0
"""Longer than a version may take, so that a node that lacks it is found."""
GAP_S = 1.2
"""Mean pause between two faults; with durations up to 2.5 s, many overlap."""


@attrs.frozen
class Fault:
    """Something that happens to one part of the fleet.

    Attributes
    ----------
    at_s, for_s : float
        Begin, from the start of the traffic, and duration.
    target : int
        Index of the instance it strikes.
    """

    at_s: float
    for_s: float
    target: int

    @property
    def end_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s


class Kill(Fault):
    """SIGKILL; the process starts again after ``for_s``."""


class Pause(Fault):
    """SIGSTOP, and SIGCONT after ``for_s``."""


class Stop(Fault):
    """SIGTERM; the process starts again once it has ended."""

    @property
    def end_s(self) -> float:
        """When the process has ended at the latest."""
        return self.at_s + STOP_LASTS_S


class Silence(Fault):
    """Open links to the node swallow all bytes; new ones work."""


class Hold(Fault):
    """Bytes to the node wait and are delivered late."""


class CutOneWay(Fault):
    """Bytes from the node to those that opened links wait; the others pass."""


class Reset(Fault):
    """Links to the node are reset, and new ones refused."""


class StoreBusy(Fault):
    """The store refuses all calls."""


class StoreSilent(Fault):
    """The store does not answer."""


class StoreLosesAnswers(Fault):
    """The store carries calls out and breaks off."""


class StoreRefusesNode(Fault):
    """The store turns one node away."""


class StoreForgets(Fault):
    """The store drops its history."""


class ServerReplaced(Fault):
    """The backend server drains and another incarnation takes its place."""


class ServerCrash(Fault):
    """The backend server ends at once and is back after ``for_s``."""


class ServerForgets(Fault):
    """The backend server forgets its idle connections."""


class Publish(Fault):
    """The operators publish a version with one more route."""


class ServerLimited(Fault):
    """The backend server names a request rate limit in its answers."""

    @property
    def limit_per_s(self) -> float:
        """The limit, which follows from the drawn duration."""
        return round(LIMIT_SCALE_PER_S * self.for_s, 1)

    @property
    def end_s(self) -> float:
        """When the limit is lifted."""
        return self.at_s + LIMIT_LASTS_S


class ServerSaysLeaving(Fault):
    """The backend server says only in its answers that it leaves, and is replaced."""

    @property
    def end_s(self) -> float:
        """When another incarnation has taken its place at the latest."""
        return self.at_s + LEAVING_LASTS_S


class StoreReturns(Fault):
    """The store comes back from a copy that was taken ``for_s`` before."""


class KeyAdded(Fault):
    """A version adds a key to a team."""


class KeyRemoved(Fault):
    """A version removes a team's oldest key."""


class KeyRemovedApart(Fault):
    """A version removes a team's oldest key while the store refuses two nodes.

    These are to learn it from the others, so they are not excused.
    """

    @property
    def end_s(self) -> float:
        """When the store serves all nodes again."""
        return self.at_s + APART_BEFORE_S + APART_AFTER_S


class WrongKeys(Fault):
    """Half of the requests have a key that no version holds, or none."""


class TeamSurge(Fault):
    """A team sends several times its usual."""


class TakeoverFault(Fault):
    """Another node takes over from one that stops while a team sends too much."""

    @property
    def end_s(self) -> float:
        """When all processes have ended at the latest."""
        return self.at_s + STOP_LASTS_S + 1.0


class StopInSurge(TakeoverFault):
    """SIGTERM for one node."""


class StopsInSurge(TakeoverFault):
    """SIGTERM for two nodes, one soon after the other."""


class StopOfFrozenInSurge(TakeoverFault):
    """SIGSTOP, SIGTERM meanwhile, and SIGCONT after ``for_s``."""


class KilledStopInSurge(TakeoverFault):
    """SIGTERM, and SIGKILL while the node still takes requests."""


class ReturnFault(Fault):
    """A quota's owner returns after a restart, while a team sends too much."""

    @property
    def end_s(self) -> float:
        """When the returned node owns the quota at the latest."""
        return self.at_s + STOP_LASTS_S + RETURN_LASTS_S


class ReturnInSurge(ReturnFault):
    """SIGTERM for the owner, which starts again."""


class KilledReturnInSurge(ReturnFault):
    """SIGTERM for the owner, and SIGKILL for its next process after ``for_s``."""


class SuccessorKilledInSurge(ReturnFault):
    """SIGTERM for the owner; SIGKILL for its successor ``for_s`` after it returned."""


class ReturnApartInSurge(ReturnFault):
    """SIGTERM for the owner, whose next process the store refuses for ``for_s``."""


class ServerSlowed(Fault):
    """Work takes longer at the backend server, which tells it in its answers."""


class ReloadFault(Fault):
    """Signals in series, which no process may end by."""

    @property
    def end_s(self) -> float:
        """When a next process listens at the latest."""
        return self.at_s + STOP_LASTS_S + RETURN_LASTS_S


class SettingsRewritten(ReloadFault):
    """The settings file is written in two pieces, again and again, with SIGHUPs."""


class ReloadsInStop(ReloadFault):
    """SIGHUPs from SIGTERM on until the next process listens."""


class SignalsInStop(ReloadFault):
    """SIGTERM, then SIGHUPs and SIGTERMs by turns until the process has ended."""


KINDS: tuple[type[Fault], ...] = (
    Kill,
    Pause,
    Stop,
    Silence,
    Hold,
    CutOneWay,
    Reset,
    StoreBusy,
    StoreSilent,
    StoreLosesAnswers,
    StoreRefusesNode,
    StoreForgets,
    ServerReplaced,
    ServerCrash,
    ServerForgets,
    Publish,
    Publish,
)
"""All kinds; publications come twice as often, as they meet every other fault."""


NOTICE_KINDS: tuple[type[Fault], ...] = (ServerLimited, ServerSaysLeaving, StoreReturns)
"""Kinds drawn beside the others, so that these stay the same for a seed."""

TEAM_KINDS: tuple[type[Fault], ...] = (
    KeyAdded,
    KeyRemoved,
    KeyRemoved,
    WrongKeys,
    TeamSurge,
    ServerSlowed,
)
"""Kinds drawn beside the others for a configuration with teams."""


APART_KINDS: tuple[type[Fault], ...] = (KeyRemovedApart,)
"""Kinds drawn beside the others for nodes that the store refuses; they need teams."""

TAKEOVER_KINDS: tuple[type[Fault], ...] = (
    StopInSurge,
    StopsInSurge,
    StopOfFrozenInSurge,
    KilledStopInSurge,
)
"""Kinds drawn beside the others for nodes that others take over from; they need teams,
and show a quota broken only where the teams have one."""


RETURN_KINDS: tuple[type[Fault], ...] = (
    ReturnInSurge,
    KilledReturnInSurge,
    SuccessorKilledInSurge,
    ReturnApartInSurge,
)
"""Kinds drawn beside the others for nodes that take over again; as those above."""


RELOAD_KINDS: tuple[type[Fault], ...] = (
    SettingsRewritten,
    ReloadsInStop,
    SignalsInStop,
)
"""Kinds drawn beside the others for settings that change."""


@attrs.frozen
class Plan:
    """What happens in one run.

    Attributes
    ----------
    teams : bool
        Whether the configuration has teams and callers send keys.
    quota_per_s : float
        Rate and burst of each team; 0 for no limit.
    drain_s : float
        How long a node that stops still takes requests.
    """

    seed: int
    instances: int
    faults: tuple[Fault, ...]
    teams: bool = False
    quota_per_s: float = 0.0
    drain_s: float = DRAIN_S

    @property
    def duration_s(self) -> float:
        """Length of the traffic."""
        return max((fault.end_s for fault in self.faults), default=0.0) + CALM_S


def draw(
    seed: int,
    instances: int,
    faults: int,
    notices: int = 0,
    *,
    teams: int = 0,
    apart: int = 0,
    takeovers: int = 0,
    returns: int = 0,
    reloads: int = 0,
    quota_per_s: float = 0.0,
) -> Plan:
    """Draw a plan: faults, and when they are over, the stop of one node.

    ``notices`` is the number of faults of ``NOTICE_KINDS``, at any time among the
    others, ``teams`` that of ``TEAM_KINDS``, ``apart`` that of ``APART_KINDS``,
    ``takeovers`` that of ``TAKEOVER_KINDS`` and ``returns`` that of ``RETURN_KINDS``;
    with these four 0 the configuration has no teams. ``reloads`` is the number of
    faults of ``RELOAD_KINDS``.

    Examples
    --------
    >>> plan = draw(seed=7, instances=4, faults=3)
    >>> plan == draw(seed=7, instances=4, faults=3)
    True
    >>> len(plan.faults)
    4
    """
    random = Random(seed)
    at_s = SETTLE_S
    drawn = []
    for _ in range(faults):
        kind = random.choice(KINDS)
        for_s = random.uniform(SHORTEST_S, LONGEST_S)
        drawn.append(kind(at_s, for_s, random.randrange(instances)))
        at_s += random.expovariate(1 / GAP_S)
    last_s = at_s
    notice_random = Random(f"notices of {seed}")
    for _ in range(notices):
        drawn.append(_draw_among(notice_random, NOTICE_KINDS, last_s, instances))
    team_random = Random(f"teams of {seed}")
    for _ in range(teams):
        drawn.append(_draw_among(team_random, TEAM_KINDS, last_s, instances))
    apart_random = Random(f"apart of {seed}")
    for _ in range(apart):
        drawn.append(_draw_among(apart_random, APART_KINDS, last_s, instances))
    takeover_random = Random(f"takeovers of {seed}")
    for _ in range(takeovers):
        drawn.append(_draw_among(takeover_random, TAKEOVER_KINDS, last_s, instances))
    return_random = Random(f"returns of {seed}")
    for _ in range(returns):
        drawn.append(_draw_among(return_random, RETURN_KINDS, last_s, instances))
    reload_random = Random(f"reloads of {seed}")
    for _ in range(reloads):
        drawn.append(_draw_among(reload_random, RELOAD_KINDS, last_s, instances))
    over_s = max((fault.end_s for fault in drawn), default=0.0) + QUIET_S
    drawn.append(Stop(over_s, SHORTEST_S, random.randrange(instances)))
    has_teams = teams + apart + takeovers + returns > 0
    return Plan(seed, instances, tuple(drawn), has_teams, quota_per_s)


def _draw_among(
    random: Random, kinds: tuple[type[Fault], ...], last_s: float, instances: int
) -> Fault:
    """Return a fault that begins at any time up to that of the last one."""
    kind = random.choice(kinds)
    begin_s = random.uniform(SETTLE_S, last_s)
    for_s = random.uniform(SHORTEST_S, LONGEST_S)
    return kind(begin_s, for_s, random.randrange(instances))
