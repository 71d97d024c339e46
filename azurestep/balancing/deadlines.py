"""Propagation of deadlines from hop to hop."""

import attrs

HOP_ALLOWANCE_MS = 2.0
MAX_DEPTH = 32


@attrs.frozen
class DeadlineBudget:
    """Time that a request has left at a hop.

    Attributes
    ----------
    remaining_ms : float
        Time until the caller's deadline.
    depth : int
        Number of proxy hops that the request already passed; 0 at the first.
    """

    remaining_ms: float
    depth: int = 0

    @property
    def expired(self) -> bool:
        """Whether no time is left."""
        return self.remaining_ms <= 0.0

    @property
    def too_deep(self) -> bool:
        """Whether the depth suggests a request loop."""
        return self.depth > MAX_DEPTH


def budget_on_arrival(
    remaining_ms: float | None, depth: int, timeout_ms: float
) -> DeadlineBudget:
    """Return the budget of a request at its arrival.

    Parameters
    ----------
    remaining_ms : float or None
        Remaining time by the caller's header; None without one.
    depth : int
        Depth by the caller's header; 0 without one.
    timeout_ms : float
        Timeout of the route or service, an upper bound.

    Examples
    --------
    >>> budget_on_arrival(None, 0, 2000.0)
    DeadlineBudget(remaining_ms=2000.0, depth=0)
    >>> budget_on_arrival(300.0, 2, 2000.0)
    DeadlineBudget(remaining_ms=300.0, depth=2)
    """
    if remaining_ms is None:
        return DeadlineBudget(timeout_ms, depth)
    return DeadlineBudget(min(remaining_ms, timeout_ms), depth)


def budget_for_next_hop(
    budget: DeadlineBudget, spent_ms: float, allowance_ms: float = HOP_ALLOWANCE_MS
) -> DeadlineBudget:
    """Return the budget of the call to the next hop.

    The allowance is time for the answer's return, so that the next hop times out
    before this one.

    Examples
    --------
    >>> budget_for_next_hop(DeadlineBudget(300.0, 2), 48.0)
    DeadlineBudget(remaining_ms=250.0, depth=3)
    """
    remaining_ms = budget.remaining_ms - spent_ms - allowance_ms
    return DeadlineBudget(remaining_ms, budget.depth + 1)
