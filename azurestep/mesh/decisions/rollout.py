"""One roll-out: its phases, and the requests that each version gets in them."""

from enum import Enum, IntEnum

import attrs

from ..link_messages import RolloutUpdate


class Phase(IntEnum):
    """Progress of a roll-out; nodes that disagree adopt the higher one.

    Attributes
    ----------
    PENDING
        An order was found whose progress is not known yet.
    CANARY
        The new version gets a small share of the requests.
    SHIFTING
        The new version gets a large share.
    NEW_ONLY
        The new version gets all requests; the old one ends its runs.
    STOPPED
        The new version gets no requests; the store doesn't hold this verdict yet.
    ROLLED_BACK, COMPLETED
        Verdicts that stand in the store.
    """

    PENDING = 0
    CANARY = 1
    SHIFTING = 2
    NEW_ONLY = 3
    STOPPED = 4
    ROLLED_BACK = 5
    COMPLETED = 6


FINAL_PHASES = frozenset({Phase.ROLLED_BACK, Phase.COMPLETED})
TRIAL_PHASES = frozenset({Phase.CANARY, Phase.SHIFTING, Phase.NEW_ONLY})
"""Phases in which the runs of both versions are compared."""


class VersionRole(Enum):
    """Which requests the servers of a version get."""

    CURRENT = "current"
    CANARY = "canary"
    WITHHELD = "withheld"


@attrs.define(slots=True, eq=False, repr=False)
class Rollout:
    """One roll-out of a service.

    Attributes
    ----------
    era, offset : int
        Era of the store and offset of the order.
    deadline_ms : float
        Local time at which the duration of the order is over.
    phase_since_ms : float
        When this node learned of the phase.
    replaced : set of str
        Other versions seen before the end, which get no requests once it is completed.
    """

    service: str
    new_version: str
    era: int
    offset: int
    duration_ms: float
    deadline_ms: float
    phase: Phase
    phase_since_ms: float
    replaced: set[str] = attrs.field(factory=set)

    @property
    def started_ms(self) -> float:
        """Local time at which the order was given."""
        return self.deadline_ms - self.duration_ms

    @property
    def in_trial(self) -> bool:
        """Whether the runs of both versions are compared."""
        return self.phase in TRIAL_PHASES

    @property
    def is_final(self) -> bool:
        """Whether the store holds a verdict."""
        return self.phase in FINAL_PHASES

    def is_same_order(self, update: RolloutUpdate) -> bool:
        """Whether an update is about this order.

        In a later era of the store, orders are written again at other offsets.
        """
        if update.new_version != self.new_version:
            return False
        return update.offset == self.offset or update.era != self.era

    def role_of(self, version: str) -> VersionRole | None:
        """Return the role of a version; None if this roll-out doesn't decide it."""
        if version == self.new_version:
            return self._role_of_new_version()
        if self.phase is Phase.COMPLETED:
            return VersionRole.WITHHELD if version in self.replaced else None
        if self.phase is Phase.ROLLED_BACK:
            return None
        if not version:
            return VersionRole.WITHHELD  # may be a new server that restarts
        self.replaced.add(version)
        if self.phase is Phase.NEW_ONLY:
            return VersionRole.WITHHELD
        return VersionRole.CURRENT

    def _role_of_new_version(self) -> VersionRole:
        if self.phase in (Phase.CANARY, Phase.SHIFTING):
            return VersionRole.CANARY
        if self.phase in (Phase.NEW_ONLY, Phase.COMPLETED):
            return VersionRole.CURRENT
        return VersionRole.WITHHELD

    def to_update(self, now_ms: float) -> RolloutUpdate:
        """Return the message that tells other nodes of this roll-out."""
        return RolloutUpdate(
            self.service,
            self.new_version,
            self.era,
            self.offset,
            int(self.phase),
            self.duration_ms,
            self.deadline_ms - now_ms,
        )
