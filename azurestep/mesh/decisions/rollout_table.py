"""Which versions of a service get requests while a new one is rolled out.

Load pattern: many nodes send requests at once, some servers run a version of unknown
quality, and news of its verdict reaches the nodes at different times. Each node keeps
the canary's share by itself, so that the share holds whatever the others know.
"""

import math
from collections.abc import Callable, Iterator

import attrs

from ..link_messages import RolloutUpdate
from .rollout import Phase, Rollout, VersionRole

USED_EXPOSURE = 0.5
"""Fraction of the allowed exposure that the canary uses.

The rest is left for the time in which the traffic is shifted.
"""
SHIFTING_SHARE = 0.5
"""Share of the new version between the canary and the complete change."""
MAX_CREDIT = 2.0
"""Limit of saved canary requests, so that none are sent in bursts."""
FIRST_VERSIONS_MS = 2000.0
"""Versions that are announced within this time of a service's first one are known."""
UNEXPLAINED_HOLD_MS = 3000.0
"""Time for which a later version without an order gets no requests.

Exceeds the time in which an order reaches all nodes.
"""
ESTABLISHED_MS = 10_000.0
"""Time for which the first version of a service must be known to count as the one in
service when it is ordered."""
RECHECK_MS = 1000.0
"""Time after which a version that is held back for want of the store is looked at."""


@attrs.define(slots=True, eq=False, repr=False)
class ExposureMeter:
    """Canary requests that one node may send: a share of those that reached servers.

    Examples
    --------
    >>> meter = ExposureMeter()
    >>> [meter.try_spend() for _ in range(2)]
    [False, False]
    >>> for _ in range(20):
    ...     meter.earn(0.05)
    >>> [meter.try_spend() for _ in range(2)]
    [True, False]
    """

    credit: float = 0.0

    def earn(self, share: float) -> None:
        """Add the credit for one request that reached a server."""
        self.credit = min(MAX_CREDIT, self.credit + share)

    def try_spend(self) -> bool:
        """Spend the credit for one canary request; return whether there was enough."""
        if self.credit < 1.0 - 1e-9:
            return False
        self.credit -= 1.0
        return True

    def give_back(self) -> None:
        """Return the credit of a canary request that reached no server."""
        self.credit += 1.0


@attrs.define(slots=True, eq=False, repr=False)
class VersionLedger:
    """When each version of each service was first announced."""

    _first_seen_ms: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def hold_until_ms(self, service: str, version: str, now_ms: float) -> float:
        """Return until when a version without an order gets no requests.

        An order precedes its servers, but may reach this node after them.
        """
        seen = self._first_seen_ms.setdefault(service, {})
        seen_ms = seen.setdefault(version, now_ms)
        if seen_ms - min(seen.values()) <= FIRST_VERSIONS_MS:
            return -math.inf
        return seen_ms + UNEXPLAINED_HOLD_MS

    def is_established(self, service: str, version: str, now_ms: float) -> bool:
        """Whether a service has run this version for long, and none before it."""
        seen = self._first_seen_ms.get(service, {})
        seen_ms = seen.get(version, math.inf)
        return seen_ms == min(seen.values(), default=0.0) <= now_ms - ESTABLISHED_MS


@attrs.define(slots=True, eq=False, repr=False)
class RolloutTable:
    """The roll-outs that a node knows.

    Attributes
    ----------
    exposure_share, exposure_extra : float
        Requests of a service that may reach a bad version: a share of all, and a
        number for the whole fleet.
    store_reachable : Callable
        Whether any node reads the orders.
    revision : int
        Rises with each change of a role.
    next_change_ms : float
        When a version that is held back may become usable.
    """

    exposure_share: float = 0.1
    exposure_extra: float = 0.0
    store_reachable: Callable[[], bool] = lambda: True
    revision: int = 0
    next_change_ms: float = math.inf
    _rollouts: dict[str, Rollout] = attrs.field(factory=dict)
    _meters: dict[str, ExposureMeter] = attrs.field(factory=dict)
    _abandoned: dict[str, set[str]] = attrs.field(factory=dict)
    _ledger: VersionLedger = attrs.field(factory=VersionLedger)

    @property
    def canary_share(self) -> float:
        """Share of a service's requests that try a new version."""
        return self.exposure_share * USED_EXPOSURE

    def __iter__(self) -> Iterator[Rollout]:
        """Iterate over all roll-outs."""
        return iter(list(self._rollouts.values()))

    def get(self, service: str) -> Rollout | None:
        """Return the roll-out of a service."""
        return self._rollouts.get(service)

    def in_trial(self, service: str) -> bool:
        """Whether two versions of a service are being compared."""
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.in_trial

    def apply(self, update: RolloutUpdate, now_ms: float, members: int = 1) -> bool:
        """Adopt an order or a later phase; return whether it was news.

        A verdict of the store is never replaced by another one on the same order.
        """
        known = self._rollouts.get(update.service)
        if known is not None and known.is_same_order(update):
            if update.era > known.era:
                known.era, known.offset = update.era, update.offset
            return self.advance(known, Phase(update.phase), now_ms)
        if known is not None:
            if (update.era, update.offset) < (known.era, known.offset):
                return False
            if known.phase is not Phase.COMPLETED:
                abandoned = self._abandoned.setdefault(update.service, set())
                abandoned.add(known.new_version)
        self._abandoned.get(update.service, set()).discard(update.new_version)
        phase = Phase(update.phase)
        if phase is Phase.CANARY and self._ledger.is_established(
            update.service, update.new_version, now_ms
        ):
            phase = Phase.NEW_ONLY  # the order returns to the version in service
        self._rollouts[update.service] = Rollout(
            update.service,
            update.new_version,
            update.era,
            update.offset,
            update.duration_ms,
            now_ms + update.remaining_ms,
            phase,
            now_ms,
        )
        extra = self.exposure_extra * USED_EXPOSURE / max(1, members)
        self._meters[update.service] = ExposureMeter(min(MAX_CREDIT, extra))
        self.revision += 1
        return True

    def advance(self, rollout: Rollout, phase: Phase, now_ms: float) -> bool:
        """Move a roll-out to a later phase; return whether it changed."""
        if rollout.is_final or phase <= rollout.phase:
            return False
        rollout.phase = phase
        rollout.phase_since_ms = now_ms
        self.revision += 1
        return True

    def role_of(self, service: str, version: str, now_ms: float) -> VersionRole:
        """Return which requests the servers of a version get now."""
        rollout = self._rollouts.get(service)
        role = None if rollout is None else rollout.role_of(version)
        if version in self._abandoned.get(service, ()):
            return VersionRole.WITHHELD
        if role is not None:
            return role
        held_until_ms = self._ledger.hold_until_ms(service, version, now_ms)
        if not version or held_until_ms == -math.inf:
            return VersionRole.CURRENT
        if now_ms >= held_until_ms and self.store_reachable():
            return VersionRole.CURRENT
        next_ms = max(held_until_ms, now_ms + RECHECK_MS)
        self.next_change_ms = min(self.next_change_ms, next_ms)
        return VersionRole.WITHHELD

    def has_due_change(self, now_ms: float) -> bool:
        """Whether a version that was held back may be usable now; then reset this."""
        if now_ms < self.next_change_ms:
            return False
        self.next_change_ms = math.inf
        return True

    def record_arrival(self, service: str) -> None:
        """Count a request that reached a backend server of a service."""
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.in_trial:
            self._meters[service].earn(self._share(rollout))

    def try_canary(self, service: str) -> bool:
        """Return whether the next request is a canary, and count it if so."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.phase not in (Phase.CANARY, Phase.SHIFTING):
            return False
        return self._meters[service].try_spend()

    def give_back_canary(self, service: str) -> None:
        """Return a canary request that reached no backend server."""
        meter = self._meters.get(service)
        if meter is not None:
            meter.give_back()

    def _share(self, rollout: Rollout) -> float:
        if rollout.phase is Phase.CANARY:
            return self.canary_share
        return SHIFTING_SHARE
