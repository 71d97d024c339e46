"""Choice of the backend servers that a call is sent to, one after the other."""

import attrs

from ..decisions.choice import (
    MAX_UNSAMPLED,
    Endpoint,
    SelectionCriteria,
    choose_from_group,
)
from .context import CallContext

TRIES_WITHOUT_WAIT = 2
"""Backend servers that are asked for a free slot before a request may wait at one.

Only where they are too many to know the load of each: what is known of the others is
old, and one of them mostly has a slot.
"""
AVOID_AFTER_FAILURE_MS = 400.0
"""Time for which a failed backend server is chosen only if there is no other."""


@attrs.define(slots=True, eq=False)
class EndpointSelector:
    """Selects backend servers for one call, and counts the call as in flight there.

    Attributes
    ----------
    endpoint : Endpoint or None
        Backend server where the call is counted now, or None.
    may_wait : bool
        Whether the request may wait at the one that was chosen last.
    """

    context: CallContext
    service: str
    endpoint: Endpoint | None = None
    may_wait: bool = True
    _excluded: set[object] = attrs.field(factory=set)
    _busy: list[Endpoint] = attrs.field(factory=list)

    def choose(self, criteria: SelectionCriteria, now_ms: float) -> Endpoint | None:
        """Return the best backend server that isn't excluded, or None.

        While the request may not wait, those without a free slot are left out.
        """
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

    def mark_busy(self, endpoint: Endpoint) -> None:
        """Record that a backend server had no free slot for a request."""
        self._busy.append(endpoint)

    def assign(self, endpoint: Endpoint) -> None:
        """Make a backend server the current one and count the call there."""
        self.endpoint = endpoint
        endpoint.own_in_flight += 1

    def release(self) -> Endpoint | None:
        """Clear the current backend server, if any, and return it."""
        endpoint, self.endpoint = self.endpoint, None
        if endpoint is not None:
            endpoint.own_in_flight -= 1
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
