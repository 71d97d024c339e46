"""Choice of the backend servers that a call is sent to, one after the other."""

import attrs

from ..decisions.choice import (
    MAX_UNSAMPLED,
    Endpoint,
    SelectionCriteria,
    choose_from_group,
)
from ..links.members import FOCUS_SHARE, CanaryGroups
from .context import CallContext

TRIES_WITHOUT_WAIT = 2
"""Backend servers that are asked for a free slot before a request may wait at one.

Only where they are too many to know the load of each: what is known of the others is
old, and one of them mostly has a slot.
"""
AVOID_AFTER_FAILURE_MS = 400.0
"""Time for which a failed backend server is chosen only if there is no other."""


@attrs.define(slots=True, eq=False, repr=False)
class EndpointSelector:
    """Selects backend servers for one call, and counts the call as in flight there.

    Attributes
    ----------
    endpoint : Endpoint or None
        Backend server where the call is counted now, or None.
    may_wait : bool
        Whether the request may wait at the one that was chosen last.
    on_trial : bool
        Whether that one has a version that is being tried.
    """

    context: CallContext
    service: str
    endpoint: Endpoint | None = None
    may_wait: bool = True
    on_trial: bool = False
    _dispatched: bool = False
    _body_kib: float = 0.0
    _excluded: set[object] = attrs.field(factory=set)
    _busy: list[Endpoint] = attrs.field(factory=list)

    def choose(self, criteria: SelectionCriteria, now_ms: float) -> Endpoint | None:
        """Return the best backend server that isn't excluded, or None.

        While the request may not wait, those without a free slot are left out. Only
        the first one may have a version that is being tried.
        """
        self.on_trial = False
        if not self._dispatched:
            self._dispatched = True
            found = self._choose_canary(criteria, now_ms)
            if found is not None:
                return found
        group = self.context.members.endpoint_group(self.service)
        random = self.context.runtime.random
        self.may_wait = (
            len(group) <= MAX_UNSAMPLED or len(self._busy) >= TRIES_WITHOUT_WAIT
        )
        if not self.may_wait:
            excluded = self._excluded.union(one.key for one in self._busy)
            found = choose_from_group(group, criteria, excluded, now_ms, random)
            if found is not None:
                return found
            self.may_wait = True
        return choose_from_group(
            group, criteria, self._excluded, now_ms, random, asked=self._busy
        )

    def _choose_canary(
        self, criteria: SelectionCriteria, now_ms: float
    ) -> Endpoint | None:
        """Return a backend server of a version on trial, if this request tries it."""
        rollouts = self.context.rollouts
        if not rollouts.try_canary(self.service):
            return None
        groups = self.context.members.canary_groups(self.service) or CanaryGroups()
        random = self.context.runtime.random
        focus = random.random() < FOCUS_SHARE
        for group in (groups.focus, groups.all) if focus else (groups.all,):
            found = choose_from_group(group, criteria, self._excluded, now_ms, random)
            if found is not None:
                self.on_trial = self.may_wait = True
                return found
        rollouts.give_back_canary(self.service)
        return None

    def record_arrival(self) -> None:
        """Count that the request reached a backend server."""
        self.context.rollouts.record_arrival(self.service)

    def record_no_arrival(self) -> None:
        """Count that the request didn't reach the backend server it was sent to."""
        if self.on_trial:
            self.on_trial = False
            self.context.rollouts.give_back_canary(self.service)

    def mark_busy(self, endpoint: Endpoint) -> None:
        """Record that a backend server had no free slot for a request."""
        self._busy.append(endpoint)

    def assign(self, endpoint: Endpoint, body_kib: float = 0.0) -> None:
        """Make a backend server the current one and count the call there."""
        self.endpoint = endpoint
        self._body_kib = body_kib
        endpoint.own_in_flight += 1
        endpoint.bodies.own_kib += body_kib

    def release(self) -> Endpoint | None:
        """Clear the current backend server, if any, and return it."""
        endpoint, self.endpoint = self.endpoint, None
        if endpoint is not None:
            endpoint.own_in_flight -= 1
            endpoint.bodies.own_kib -= self._body_kib
        return endpoint

    def exclude(self, endpoint: Endpoint) -> None:
        """Exclude a backend server for the rest of this call."""
        self._excluded.add(endpoint.key)

    def avoid(self, endpoint: Endpoint) -> None:
        """Exclude a failed backend server, and avoid it for other calls for a while."""
        self.exclude(endpoint)
        endpoint.failed_until_ms = (
            self.context.runtime.now_ms() + AVOID_AFTER_FAILURE_MS
        )

    def has_alternative(self) -> bool:
        """Whether another backend server is open, responsive and not excluded."""
        return any(
            other.usable and not other.unresponsive and other.key not in self._excluded
            for other in self.context.members.endpoint_group(self.service)
            if other is not self.endpoint
        )
