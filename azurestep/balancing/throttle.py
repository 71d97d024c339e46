"""Share of requests that a node lets through to an overloaded service.

A limit in requests can't fall below one. Where very many nodes call a service,
each with hardly one request in flight, only a share below one holds the
overload back.
"""

import math

import attrs

from ..config.model import Priority
from .limiter import STRONGEST_DECREASE, LatencyWindow
from .messages import Outcome

MINIMUM_SHARE = 0.05
TOLERANCE = 3.0
PATIENCE_MS = 1000.0
RECOVERY_MS = 3000.0
LARGEST_INCREASE = 2.0
WINDOWS_TO_DECREASE = 2
WEAKEST_DECREASE = 0.9
MIX_CONSTANT_MS = 5000.0


@attrs.define
class ArrivalMix:
    """Recent arrivals of each class, exponentially decayed."""

    interactive: float = 0.0
    payment: float = 0.0
    bulk: float = 0.0
    updated_ms: float = 0.0

    def add(self, priority: Priority, now_ms: float) -> None:
        """Count one arrival."""
        decay = math.exp((self.updated_ms - now_ms) / MIX_CONSTANT_MS)
        self.interactive *= decay
        self.payment *= decay
        self.bulk *= decay
        self.updated_ms = now_ms
        if priority is Priority.INTERACTIVE:
            self.interactive += 1.0
        elif priority is Priority.PAYMENT:
            self.payment += 1.0
        else:
            self.bulk += 1.0


@attrs.define
class Throttle:
    """Lets a share of all arrivals through, payment first and bulk last.

    The share falls from the second window in a row whose answers are slow or
    refused, since a single one may be chance, and rises with each other one. It
    leaves the work to the concurrency limits where these bite.

    Attributes
    ----------
    share : float
        Share of all arrivals let through, 0 to 1.
    overloads : int
        Overloaded windows in a row.
    """

    share: float = 1.0
    overloads: int = 0
    window: LatencyWindow = attrs.field(
        factory=lambda: LatencyWindow(TOLERANCE, PATIENCE_MS)
    )
    mix: ArrivalMix = attrs.field(factory=ArrivalMix)

    def passes(self, priority: Priority, now_ms: float, drawn: float) -> bool:
        """Return whether an arrival is let through.

        Parameters
        ----------
        priority : Priority
            Its class.
        now_ms : float
            Present time.
        drawn : float
            Random number from 0 to 1.
        """
        self.mix.add(priority, now_ms)
        return self.share >= 1.0 or drawn < self.share_of(priority)

    def share_of(self, priority: Priority) -> float:
        """Return the share of a class that is let through."""
        mix = self.mix
        left = self.share * (mix.interactive + mix.payment + mix.bulk)
        if priority is Priority.PAYMENT:
            return max(MINIMUM_SHARE, left / max(mix.payment, 1.0))
        left -= mix.payment
        if priority is Priority.INTERACTIVE:
            return max(MINIMUM_SHARE, left / max(mix.interactive, 1.0))
        left -= mix.interactive
        return max(MINIMUM_SHARE, left / max(mix.bulk, 1.0))

    def collect(self, outcome: Outcome, now_ms: float) -> bool:
        """Take a finished attempt into account; return whether to ``judge``.

        Parameters
        ----------
        outcome : Outcome
            A success, timeout or refusal by the server.
        now_ms : float
            Present time.
        """
        return self.window.add(outcome, 0, now_ms)

    def judge(self, limited: bool, now_ms: float) -> None:
        """Move the share by the full window and begin the next.

        Parameters
        ----------
        limited : bool
            Whether the node's concurrency limits hold the overload back.
        now_ms : float
            Present time.
        """
        if limited or not self.window.overloaded():
            self.overloads = 0
            self.share = min(1.0, self.share * self._increase(now_ms))
        else:
            self._count_overload()
        self.window.restart(now_ms)

    def _count_overload(self) -> None:
        self.overloads += 1
        if self.overloads >= WINDOWS_TO_DECREASE:
            self.share = max(MINIMUM_SHARE, self.share * self._decrease())

    def _increase(self, now_ms: float) -> float:
        age_ms = min(RECOVERY_MS, now_ms - self.window.begun_ms)
        return min(LARGEST_INCREASE, math.exp(age_ms / RECOVERY_MS))

    def _decrease(self) -> float:
        window = self.window
        if 2 * (window.refusals + window.timeouts) >= window.samples:
            return STRONGEST_DECREASE
        return window.decrease(WEAKEST_DECREASE)
