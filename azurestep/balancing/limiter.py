"""Adaptive concurrency limits of one backend server as seen from one node."""

import math
from enum import StrEnum
from typing import Protocol

import attrs

WINDOW_SAMPLES = 8
LATENCY_TOLERANCE = 2.0
BASELINE_DRIFT = 1.003
BASELINE_FALL = 0.5
DECREASE = 0.8
GRADIENT_MINIMUM = 0.5
GRADIENT_SMOOTHING = 0.3
BUSY_RATIO = 0.5


class LimiterKind(StrEnum):
    """Ways to adapt a concurrency limit."""

    FIXED = "fixed"
    AIMD = "aimd"
    GRADIENT = "gradient"


class Limiter(Protocol):
    """A concurrency limit that follows samples."""

    limit: float

    def sample(self, latency_ms: float, in_flight: int, overloaded: bool) -> None:
        """Take one finished attempt into account."""
        ...


@attrs.define
class FixedLimiter:
    """The limit stays as configured."""

    limit: float

    def sample(self, latency_ms: float, in_flight: int, overloaded: bool) -> None:
        """Ignore the sample."""


@attrs.define
class LatencyWindow:
    """Mean latency over a few samples against a slowly drifting baseline.

    The baseline falls quickly and rises slowly, so that a lasting overload
    isn't taken for the normal state; yet it does rise, so that a service that
    became slower for good gets its limit back.
    """

    baseline_ms: float = math.inf
    total_ms: float = 0.0
    samples: int = 0
    overloads: int = 0
    peak_in_flight: int = 0

    def add(self, latency_ms: float, in_flight: int, overloaded: bool) -> bool:
        """Add a sample; return whether the window is full."""
        self.samples += 1
        self.total_ms += latency_ms
        self.overloads += overloaded
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        return self.samples >= WINDOW_SAMPLES

    def mean_ms(self) -> float:
        """Return the mean latency of the window."""
        return self.total_ms / self.samples

    def restart(self) -> None:
        """Move the baseline and begin the next window."""
        mean_ms = self.mean_ms()
        if mean_ms >= self.baseline_ms:
            self.baseline_ms = min(mean_ms, self.baseline_ms * BASELINE_DRIFT)
        elif self.baseline_ms == math.inf:
            self.baseline_ms = mean_ms
        else:
            self.baseline_ms += BASELINE_FALL * (mean_ms - self.baseline_ms)
        self.total_ms = 0.0
        self.samples = 0
        self.overloads = 0
        self.peak_in_flight = 0


@attrs.define
class AimdLimiter:
    """Additive increase while the window is quick, multiplicative decrease else."""

    limit: float
    maximum: float
    window: LatencyWindow = attrs.field(factory=LatencyWindow)

    def sample(self, latency_ms: float, in_flight: int, overloaded: bool) -> None:
        """Take one finished attempt into account."""
        window = self.window
        if not window.add(latency_ms, in_flight, overloaded):
            return
        slow = window.mean_ms() > LATENCY_TOLERANCE * window.baseline_ms
        if slow or window.overloads:
            self.limit = max(1.0, self.limit * DECREASE)
        elif window.peak_in_flight >= BUSY_RATIO * self.limit:
            self.limit = min(self.maximum, self.limit + 1.0)
        window.restart()


@attrs.define
class GradientLimiter:
    """The limit follows the ratio of the baseline to the present latency."""

    limit: float
    maximum: float
    window: LatencyWindow = attrs.field(factory=LatencyWindow)

    def sample(self, latency_ms: float, in_flight: int, overloaded: bool) -> None:
        """Take one finished attempt into account."""
        window = self.window
        if not window.add(latency_ms, in_flight, overloaded):
            return
        idle = window.peak_in_flight < BUSY_RATIO * self.limit
        if not idle or window.overloads:
            self.limit = self._next_limit()
        window.restart()

    def _next_limit(self) -> float:
        window = self.window
        if window.overloads:
            return max(1.0, self.limit * DECREASE)
        ratio = LATENCY_TOLERANCE * window.baseline_ms / max(window.mean_ms(), 0.001)
        gradient = max(GRADIENT_MINIMUM, min(1.0, ratio))
        target = self.limit * gradient + math.sqrt(self.limit)
        limit = self.limit + GRADIENT_SMOOTHING * (target - self.limit)
        return max(1.0, min(self.maximum, limit))


def make_limiter(kind: LimiterKind, slots: int) -> Limiter:
    """Return a limiter that starts at, and never exceeds, the slots."""
    if kind is LimiterKind.AIMD:
        return AimdLimiter(float(slots), float(slots))
    if kind is LimiterKind.GRADIENT:
        return GradientLimiter(float(slots), float(slots))
    return FixedLimiter(float(slots))
