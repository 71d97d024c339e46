"""Passive health checks: ejection of backend servers by the outcomes of requests."""

import statistics

import attrs

from ..config.model import SelectionRule
from .endpoint_state import EndpointState

EJECT_AFTER_FAILURES = 5
EJECT_AFTER_PROBATION_FAILURES = 2
PROBATION_SAMPLES = 10
MIN_SAMPLES = 10
MAX_SUCCESS_GAP = 0.3
MIN_PEER_SUCCESS_RATIO = 0.5
MAX_LATENCY_RATIO = 3.0
LATENCY_MARGIN_MS = 10.0
MAX_DOUBLINGS = 6
NOT_EJECTED_MS = float("-inf")


@attrs.define
class OutlierDetector:
    """Ejects the outliers among the backend servers of one service.

    An outlier is compared with the other backend servers only: if most of them
    fail, ejecting one would just move its load to the others.

    Attributes
    ----------
    rule : SelectionRule
        Maximum share ejected and duration of a first ejection.
    peer_success_ratio : float
        Median success ratio of the eligible backend servers at the last health check.
    peer_latency_ms : float
        Their median latency; 0 while fewer than two have enough samples.
    """

    rule: SelectionRule
    peer_success_ratio: float = 1.0
    peer_latency_ms: float = 0.0

    def should_eject(self, state: EndpointState) -> bool:
        """Return whether a backend server has too many consecutive failures."""
        on_probation = state.ejections > 0 and state.samples < PROBATION_SAMPLES
        threshold = (
            EJECT_AFTER_PROBATION_FAILURES if on_probation else EJECT_AFTER_FAILURES
        )
        return (
            state.consecutive_failures >= threshold
            and self.peer_success_ratio > MIN_PEER_SUCCESS_RATIO
        )

    def find_outliers(self, states: list[EndpointState]) -> list[EndpointState]:
        """Return the eligible servers far worse than the median, worst first."""
        sampled = [s for s in states if s.eligible and s.samples >= MIN_SAMPLES]
        if len(sampled) < 2:
            self.peer_success_ratio = 1.0
            self.peer_latency_ms = 0.0
            return []
        self.peer_success_ratio = statistics.median_high(
            s.success_ratio for s in sampled
        )
        self.peer_latency_ms = statistics.median_low(s.latency_ms for s in sampled)
        max_latency_ms = MAX_LATENCY_RATIO * self.peer_latency_ms + LATENCY_MARGIN_MS
        min_success_ratio = self.peer_success_ratio - MAX_SUCCESS_GAP
        outliers = [
            s
            for s in sampled
            if s.success_ratio < min_success_ratio or s.latency_ms > max_latency_ms
        ]
        return sorted(outliers, key=lambda s: (s.success_ratio, -s.latency_ms))

    def max_ejected(self, states: list[EndpointState]) -> int:
        """Return how many backend servers may be ejected at the same time."""
        count = sum(not state.endpoint.leaving for state in states)
        if count < 2 or self.rule.ejection_ratio <= 0:
            return 0
        return min(count - 1, max(1, int(self.rule.ejection_ratio * count)))

    def eject(
        self, state: EndpointState, states: list[EndpointState], now_ms: float
    ) -> bool:
        """Eject a backend server unless the maximum is reached."""
        ejected = sum(s.ejected for s in states if not s.endpoint.leaving)
        if not state.eligible or ejected >= self.max_ejected(states):
            return False
        doublings = min(state.ejections, MAX_DOUBLINGS)
        state.ejected_until_ms = now_ms + self.rule.ejection_ms * 2**doublings
        state.ejections += 1
        return True

    def restore(self, states: list[EndpointState], now_ms: float) -> bool:
        """Restore backend servers whose ejection expired or exceeds the maximum."""
        ejected = [s for s in states if s.ejected and not s.endpoint.leaving]
        ejected.sort(key=lambda s: s.ejected_until_ms)
        excess = max(0, len(ejected) - self.max_ejected(states))
        restored = False
        for index, state in enumerate(ejected):
            if index >= excess and state.ejected_until_ms > now_ms:
                continue
            state.ejected_until_ms = NOT_EJECTED_MS
            state.ramp_start_ms = now_ms
            state.clear()
            restored = True
        return restored

    def decay_ejections(self, state: EndpointState, now_ms: float) -> None:
        """Halve the count of ejections after two healthy ejection periods."""
        healthy = state.samples >= 10 * PROBATION_SAMPLES and state.success_ratio > 0.9
        if state.ejections == 0 or state.ejected or not healthy:
            return
        if now_ms - state.ramp_start_ms > 2 * self.rule.ejection_ms:
            state.ejections //= 2
            # Restarts the healthy period with the ramp already complete.
            state.ramp_start_ms = now_ms - self.rule.ramp_up_ms
