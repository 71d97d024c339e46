"""Deadlines of a graceful shutdown."""

import attrs

from ...values import Value

REFUSE_DELAY_MS = 2300.0
"""Time from SIGTERM until new requests are refused.

Long enough for callers to see two failed readiness checks, one second apart. Later
requests are refused, since callers without another node would keep this one busy until
SIGKILL.
"""
EXIT_MARGIN_MS = 400.0
"""Time between the exit of the node and SIGKILL."""
DRAIN_MARGIN_MS = 300.0
"""Time between the drain deadline and the exit.

50 ms to ask the serving node whether a request ran, one tick of 100 ms, and the rest to
send the answers.
"""
UNINTERRUPTED_RATIO = 5 / 6
"""Fraction of the grace time in which no run is aborted.

Operators expect that requests too long for a planned stop may fail in the rest.
"""


@attrs.frozen(eq=False, repr=False)
class ShutdownPlan(Value):
    """Deadlines of one graceful shutdown.

    Attributes
    ----------
    signalled_ms : float
        When SIGTERM came.
    grace_ms : float
        Time between SIGTERM and SIGKILL.

    Examples
    --------
    >>> plan = ShutdownPlan(1000.0, 6000.0)
    >>> plan.refuse_from_ms, plan.drain_deadline_ms, plan.exit_deadline_ms
    (3300.0, 6300.0, 6600.0)
    """

    signalled_ms: float
    grace_ms: float

    @property
    def refuse_from_ms(self) -> float:
        """When new requests begin to be refused."""
        return min(self.signalled_ms + REFUSE_DELAY_MS, self.drain_deadline_ms)

    @property
    def drain_deadline_ms(self) -> float:
        """When the node itself answers the requests that are still open."""
        latest_ms = self.exit_deadline_ms - DRAIN_MARGIN_MS
        runs_until_ms = self.signalled_ms + self.grace_ms * UNINTERRUPTED_RATIO
        return min(max(latest_ms, runs_until_ms), self.exit_deadline_ms)

    @property
    def exit_deadline_ms(self) -> float:
        """When the node exits at the latest."""
        return self.signalled_ms + max(0.0, self.grace_ms - EXIT_MARGIN_MS)
