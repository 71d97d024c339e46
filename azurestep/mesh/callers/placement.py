"""Which backend server has an attempt, and which ones it was at before."""

import attrs

from ..decisions.choice import Endpoint, SelectionCriteria, choose_endpoint
from .context import CallContext

FAILED_MS = 400.0
"""Time for which a backend server that failed is chosen only without another."""


@attrs.define(slots=True, eq=False)
class Placement:
    """The backend server that was chosen for one attempt.

    Attributes
    ----------
    endpoint : Endpoint or None
        The one that is asked now.
    """

    context: CallContext
    service: str
    endpoint: Endpoint | None = None
    _excluded: set[object] = attrs.field(factory=set)

    def choose(self, criteria: SelectionCriteria, now_ms: float) -> Endpoint | None:
        """Return a backend server that was not asked yet; None if there is none."""
        return choose_endpoint(
            self.context.members.endpoints(self.service),
            criteria,
            self._excluded,
            now_ms,
            self.context.runtime.random,
        )

    def take(self, endpoint: Endpoint) -> None:
        """Ask a backend server."""
        self.endpoint = endpoint
        endpoint.own_in_flight += 1

    def leave(self) -> Endpoint | None:
        """Ask it no longer; return it, if one was asked."""
        endpoint, self.endpoint = self.endpoint, None
        if endpoint is not None:
            endpoint.own_in_flight -= 1
        return endpoint

    def exclude(self, endpoint: Endpoint) -> None:
        """Don't ask a backend server again for this attempt."""
        self._excluded.add(endpoint.key)

    def avoid(self, endpoint: Endpoint) -> None:
        """Ask a backend server that failed only without another, for any attempt."""
        self.exclude(endpoint)
        endpoint.failed_until_ms = self.context.runtime.now_ms() + FAILED_MS

    def has_other(self) -> bool:
        """Whether a backend server is left that is open and not in doubt."""
        return any(
            other.open and not other.unresponsive and other.key not in self._excluded
            for other in self.context.members.endpoints(self.service)
            if other is not self.endpoint
        )
