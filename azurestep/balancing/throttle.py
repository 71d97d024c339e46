"""Probabilistic load shedding for an overloaded service.

A concurrency limit can't fall below one request. If many nodes call a service
with about one request in flight each, only shedding a share of the requests
reduces the load.
"""

import math

import attrs

from ..config.model import Priority
from .limiter import MIN_DECREASE_FACTOR, LatencyWindow
from .messages import AttemptOutcome

MIN_ADMITTED_RATIO = 0.05
THROTTLE_LATENCY_TOLERANCE = 3.0
MAX_WINDOW_AGE_MS = 1000.0
INCREASE_TIME_CONSTANT_MS = 3000.0
MAX_INCREASE_FACTOR = 2.0
MIN_OVERLOADED_WINDOWS = 2
MAX_DECREASE_FACTOR = 0.9
COUNT_TIME_CONSTANT_MS = 5000.0


@attrs.define
class ArrivalCounts:
    """Exponentially decayed number of arrivals of each class."""

    interactive: float = 0.0
    payment: float = 0.0
    bulk: float = 0.0
    updated_ms: float = 0.0

    def add(self, priority: Priority, now_ms: float) -> None:
        """Count one arrival."""
        decay = math.exp((self.updated_ms - now_ms) / COUNT_TIME_CONSTANT_MS)
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
    """Admits a fraction of all arrivals; bulk requests are shed first, payments last.

    The admitted ratio falls from the second consecutive overloaded window on and rises
    after any other window. It doesn't fall while the concurrency limits reduce the
    load.

    Attributes
    ----------
    admitted_ratio : float
        Fraction of all arrivals admitted, 0 to 1.
    overloaded_windows : int
        Consecutive overloaded windows.
    window : LatencyWindow
        Latencies since the last change.
    counts : ArrivalCounts
        Recent arrivals by class.
    """

    admitted_ratio: float = 1.0
    overloaded_windows: int = 0
    window: LatencyWindow = attrs.field(
        factory=lambda: LatencyWindow(THROTTLE_LATENCY_TOLERANCE, MAX_WINDOW_AGE_MS)
    )
    counts: ArrivalCounts = attrs.field(factory=ArrivalCounts)

    def admits(self, priority: Priority, now_ms: float, random_value: float) -> bool:
        """Return whether an arrival is admitted.

        Parameters
        ----------
        priority : Priority
            Priority class of the request.
        now_ms : float
            Current time.
        random_value : float
            Random number from 0 to 1.
        """
        self.counts.add(priority, now_ms)
        return self.admitted_ratio >= 1.0 or random_value < self.class_ratio(priority)

    def class_ratio(self, priority: Priority) -> float:
        """Return the admitted fraction of a class."""
        counts = self.counts
        remaining = self.admitted_ratio * (
            counts.interactive + counts.payment + counts.bulk
        )
        if priority is Priority.PAYMENT:
            return max(MIN_ADMITTED_RATIO, remaining / max(counts.payment, 1.0))
        remaining -= counts.payment
        if priority is Priority.INTERACTIVE:
            return max(MIN_ADMITTED_RATIO, remaining / max(counts.interactive, 1.0))
        remaining -= counts.interactive
        return max(MIN_ADMITTED_RATIO, remaining / max(counts.bulk, 1.0))

    def record(self, outcome: AttemptOutcome, now_ms: float) -> bool:
        """Record a finished attempt; return whether the window is full.

        Parameters
        ----------
        outcome : AttemptOutcome
            A success, timeout or refusal by the backend server.
        now_ms : float
            Current time.
        """
        return self.window.add(outcome, 0, now_ms)

    def update_ratio(self, limits_are_effective: bool, now_ms: float) -> None:
        """Update the admitted ratio by the full window and start the next one.

        Parameters
        ----------
        limits_are_effective : bool
            Whether the concurrency limits already reduce the load.
        now_ms : float
            Current time.
        """
        if limits_are_effective or not self.window.is_overloaded():
            self.overloaded_windows = 0
            self.admitted_ratio = min(
                1.0, self.admitted_ratio * self._increase_factor(now_ms)
            )
        else:
            self._record_overload()
        self.window.restart(now_ms)

    def _record_overload(self) -> None:
        self.overloaded_windows += 1
        if self.overloaded_windows >= MIN_OVERLOADED_WINDOWS:
            self.admitted_ratio = max(
                MIN_ADMITTED_RATIO, self.admitted_ratio * self._decrease_factor()
            )

    def _increase_factor(self, now_ms: float) -> float:
        age_ms = min(INCREASE_TIME_CONSTANT_MS, now_ms - self.window.started_ms)
        return min(MAX_INCREASE_FACTOR, math.exp(age_ms / INCREASE_TIME_CONSTANT_MS))

    def _decrease_factor(self) -> float:
        window = self.window
        if 2 * (window.refusals + window.timeouts) >= window.samples:
            return MIN_DECREASE_FACTOR
        return window.decrease_factor(MAX_DECREASE_FACTOR)
