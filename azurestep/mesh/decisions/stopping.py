"""When a stopping node takes its last request, answers its last one and ends.

Pure: the time of the signal and the grace time go in, times come out.
"""

import attrs

LINGER_MS = 2300.0
"""Time from SIGTERM until new requests are refused: callers go elsewhere after two
answers of the readiness endpoint, one second apart, that say so. What was taken
before has the rest of the grace time; without this, callers who find no other node
kept a stopping one busy until it was killed, and their requests were cut."""
END_MARGIN_MS = 400.0
"""Time kept between the end of a stopping node and SIGKILL."""
ANSWER_MARGIN_MS = 300.0
"""Time kept between a node's last answer of its own and its end: 50 ms to hear whether
the request ran, one tick of 100 ms, and the rest for the answers' way out."""
RUN_SHARE = 5 / 6
"""Share of the grace time in which no run at work is given up. Operators take the rest
as the time in which a request that is too long for a planned stop may fail."""


@attrs.frozen
class ShutdownPlan:
    """The times of one orderly stop.

    Attributes
    ----------
    since_ms : float
        When the signal came.
    grace_ms : float
        Time between SIGTERM and SIGKILL.

    Examples
    --------
    >>> plan = ShutdownPlan(1000.0, 6000.0)
    >>> plan.refuse_from_ms, plan.drain_deadline_ms, plan.exit_deadline_ms
    (3300.0, 6300.0, 6600.0)
    """

    since_ms: float
    grace_ms: float

    @property
    def refuse_from_ms(self) -> float:
        """When new requests begin to be refused."""
        return min(self.since_ms + LINGER_MS, self.drain_deadline_ms)

    @property
    def drain_deadline_ms(self) -> float:
        """When what is still unanswered gets an answer of the node's own."""
        latest_ms = self.exit_deadline_ms - ANSWER_MARGIN_MS
        run_until_ms = self.since_ms + self.grace_ms * RUN_SHARE
        return min(max(latest_ms, run_until_ms), self.exit_deadline_ms)

    @property
    def exit_deadline_ms(self) -> float:
        """When the node ends at the latest."""
        return self.since_ms + max(0.0, self.grace_ms - END_MARGIN_MS)
