"""How long keys may be used while this node can't learn of their removal.

Answers the load of callers with removed keys at nodes that are cut off, or that the
store turns away.
"""

import math

import attrs

SPREADING_MS = 500.0
"""Longest time until a peer's contact with the store is known here."""


@attrs.define(slots=True, eq=False, repr=False)
class KeyFreshness:
    """When the store last had no later configuration than this node.

    Attributes
    ----------
    bound_ms : float
        Longest time for which a removed key may be used; infinite for no limit.
    confirmed_ms : float
        When this node or a peer with the same version learned so.

    Examples
    --------
    >>> freshness = KeyFreshness(bound_ms=5000.0, confirmed_ms=0.0)
    >>> freshness.is_expired(4500.0), freshness.is_expired(4501.0)
    (False, True)
    """

    bound_ms: float = math.inf
    confirmed_ms: float = 0.0

    def is_expired(self, now_ms: float) -> bool:
        """Whether a key that is known here may have been removed too long ago."""
        return now_ms - self.confirmed_ms > max(0.0, self.bound_ms - SPREADING_MS)
