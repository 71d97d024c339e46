"""Adaptive concurrency limits of one node at one backend server."""

import math
from enum import StrEnum
from typing import Protocol

import attrs

from .messages import AttemptOutcome, OutcomeKind

WINDOW_SAMPLES = 8
MIN_WINDOW_MS = 100.0
LATENCY_TOLERANCE = 2.0
BASELINE_DRIFT_FACTOR = 1.003
BASELINE_FALL_GAIN = 0.1
BASELINE_RISE_GAIN = 0.02
# Multiples of the mean absolute deviation, divided by the root of the sample count.
SLOW_STANDARD_ERRORS = 3.0
OVERLOAD_RATIO = 0.25
MIN_OVERLOAD_EVENTS = 2
MIN_WINDOW_SAMPLES = 2
MIN_BASELINE_SAMPLES = 64
DECREASE_FACTOR = 0.8
MIN_DECREASE_FACTOR = 0.5
MIN_GRADIENT = 0.5
GRADIENT_GAIN = 0.3
MIN_BUSY_RATIO = 0.5


class LimiterKind(StrEnum):
    """Ways to adapt a concurrency limit."""

    FIXED = "fixed"
    AIMD = "aimd"
    GRADIENT = "gradient"


class Limiter(Protocol):
    """A concurrency limit that adapts to the outcomes of attempts."""

    limit: float

    def record(self, outcome: AttemptOutcome, in_flight: int, now_ms: float) -> None:
        """Record one finished attempt."""
        ...


@attrs.define
class FixedLimiter:
    """A limit that never changes."""

    limit: float

    def record(self, outcome: AttemptOutcome, in_flight: int, now_ms: float) -> None:
        """Ignore the attempt."""


@attrs.define
class LatencyWindow:
    """Mean latency over a window of samples, compared with a moving baseline.

    The baseline falls fast and rises slowly, so that an overload doesn't become the
    baseline. A window is slow if its mean exceeds the tolerance and the usual
    variation of a mean. Refusals by the backend server count as overload; their
    latency is ignored.

    Attempts sent before the window started are ignored: they reflect the previous
    limit, which would then change twice for one cause.

    Attributes
    ----------
    tolerance : float
        Multiple of the baseline above which a mean is slow.
    max_age_ms : float
        Age at which a window counts as full with ``MIN_WINDOW_SAMPLES`` only.
    baseline_ms, deviation_ms : float
        Usual latency and its mean absolute deviation.
    baseline_samples : int
        Answers in the initial baseline; no mean counts as slow before there are
        ``MIN_BASELINE_SAMPLES``.
    slow_windows : int
        Consecutive slow windows; from the second one on the baseline rises by
        ``BASELINE_DRIFT_FACTOR`` at most.
    total_ms, total_deviation_ms : float
        Sum of the latencies and of their distances from the baseline.
    samples, refusals, timeouts : int
        Attempts in the window, and those that were refused or timed out.
    peak_in_flight : int
        Maximum of attempts in flight.
    started_ms : float
        Start of the window; NaN before the first sample.
    """

    tolerance: float = LATENCY_TOLERANCE
    max_age_ms: float = math.inf
    baseline_ms: float = 0.0
    deviation_ms: float = 0.0
    baseline_samples: int = 0
    slow_windows: int = 0
    total_ms: float = 0.0
    total_deviation_ms: float = 0.0
    samples: int = 0
    refusals: int = 0
    timeouts: int = 0
    peak_in_flight: int = 0
    started_ms: float = math.nan

    def add(self, outcome: AttemptOutcome, in_flight: int, now_ms: float) -> bool:
        """Add a sample; return whether the window is full."""
        sent_ms = now_ms - outcome.latency_ms
        if sent_ms < self.started_ms:
            return False
        if math.isnan(self.started_ms):
            self.started_ms = sent_ms
        self.samples += 1
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        if outcome.kind is OutcomeKind.SHED:
            self.refusals += 1
        else:
            self.total_ms += outcome.latency_ms
            self.total_deviation_ms += abs(outcome.latency_ms - self.baseline_ms)
            self.timeouts += outcome.kind is OutcomeKind.TIMEOUT
        return self._is_full(now_ms - self.started_ms)

    def _is_full(self, age_ms: float) -> bool:
        if self.samples < WINDOW_SAMPLES:
            enough = self.samples >= MIN_WINDOW_SAMPLES
            return enough and age_ms >= self.max_age_ms
        return age_ms >= MIN_WINDOW_MS

    def is_overloaded(self) -> bool:
        """Return whether the window shows an overload of the backend server."""
        return self.has_many_refusals() or self._is_slow()

    def has_many_refusals(self) -> bool:
        """Return whether refusals and timeouts alone indicate an overload."""
        overload_events = self.refusals + self.timeouts
        return overload_events >= max(
            MIN_OVERLOAD_EVENTS, OVERLOAD_RATIO * self.samples
        )

    def mean_ms(self) -> float:
        """Return the mean latency; 0 when every sample was a refusal."""
        answered = self.samples - self.refusals
        return self.total_ms / answered if answered else 0.0

    def decrease_factor(self, max_factor: float) -> float:
        """Return the factor by which to decrease a limit, by extent of the overload."""
        mean_ms = max(self.mean_ms(), 0.001)
        ratio = self.tolerance * self.baseline_ms / mean_ms
        return max(MIN_DECREASE_FACTOR, min(max_factor, ratio))

    def _is_slow(self) -> bool:
        answered = self.samples - self.refusals
        if answered == 0 or self.baseline_samples < MIN_BASELINE_SAMPLES:
            return False
        error_ms = self.deviation_ms / math.sqrt(answered)
        slow_ms = self.tolerance * self.baseline_ms + SLOW_STANDARD_ERRORS * error_ms
        return self.mean_ms() > slow_ms

    def restart(self, now_ms: float) -> None:
        """Update the baseline and start the next window."""
        answered = self.samples - self.refusals
        if answered and self.baseline_samples < MIN_BASELINE_SAMPLES:
            self._initialise_baseline(answered)
        elif answered:
            self._update_baseline(answered)
        self.started_ms = now_ms
        self.total_ms = 0.0
        self.total_deviation_ms = 0.0
        self.samples = 0
        self.refusals = 0
        self.timeouts = 0
        self.peak_in_flight = 0

    def _initialise_baseline(self, answered: int) -> None:
        self.baseline_samples += answered
        weight = answered / self.baseline_samples
        self.baseline_ms += weight * (self.mean_ms() - self.baseline_ms)
        spread_ms = self.total_deviation_ms / answered
        self.deviation_ms += weight * (spread_ms - self.deviation_ms)

    def _update_baseline(self, answered: int) -> None:
        mean_ms = self.mean_ms()
        self.slow_windows = self.slow_windows + 1 if self._is_slow() else 0
        if self.slow_windows > 1:
            self.baseline_ms = min(mean_ms, self.baseline_ms * BASELINE_DRIFT_FACTOR)
            return
        weight = min(1.0, answered / WINDOW_SAMPLES)
        spread_ms = self.total_deviation_ms / answered - self.deviation_ms
        self.deviation_ms += BASELINE_FALL_GAIN * weight * spread_ms
        change_ms = mean_ms - self.baseline_ms
        gain = BASELINE_RISE_GAIN if change_ms > 0 else BASELINE_FALL_GAIN
        self.baseline_ms += gain * weight * change_ms


@attrs.define
class AimdLimiter:
    """Additive increase, multiplicative decrease after an overloaded window."""

    limit: float
    max_limit: float
    window: LatencyWindow = attrs.field(factory=LatencyWindow)

    def record(self, outcome: AttemptOutcome, in_flight: int, now_ms: float) -> None:
        """Record one finished attempt; a full window adjusts the limit."""
        window = self.window
        if not window.add(outcome, in_flight, now_ms):
            return
        if window.is_overloaded():
            self.limit = max(1.0, self.limit * window.decrease_factor(DECREASE_FACTOR))
        elif window.peak_in_flight >= MIN_BUSY_RATIO * self.limit:
            self.limit = min(self.max_limit, self.limit + 1.0)
        window.restart(now_ms)


@attrs.define
class GradientLimiter:
    """A limit that follows the ratio of the baseline to the current latency."""

    limit: float
    max_limit: float
    window: LatencyWindow = attrs.field(factory=LatencyWindow)

    def record(self, outcome: AttemptOutcome, in_flight: int, now_ms: float) -> None:
        """Record one finished attempt; a full window adjusts the limit."""
        window = self.window
        if not window.add(outcome, in_flight, now_ms):
            return
        idle = window.peak_in_flight < MIN_BUSY_RATIO * self.limit
        if not idle or window.is_overloaded():
            self.limit = self._next_limit()
        window.restart(now_ms)

    def _next_limit(self) -> float:
        window = self.window
        if window.has_many_refusals():
            return max(1.0, self.limit * DECREASE_FACTOR)
        ratio = LATENCY_TOLERANCE * window.baseline_ms / max(window.mean_ms(), 0.001)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        target = self.limit * gradient + math.sqrt(self.limit)
        limit = self.limit + GRADIENT_GAIN * (target - self.limit)
        return max(1.0, min(self.max_limit, limit))


def make_limiter(kind: LimiterKind, slots: int) -> Limiter:
    """Return a limiter that starts at the number of slots and never exceeds it."""
    if kind is LimiterKind.AIMD:
        return AimdLimiter(float(slots), float(slots))
    if kind is LimiterKind.GRADIENT:
        return GradientLimiter(float(slots), float(slots))
    return FixedLimiter(float(slots))
