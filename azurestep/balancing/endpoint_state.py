"""Statistics of each backend server, grouped by data centre."""

import random

import attrs

from .limiter import Limiter
from .messages import AttemptOutcome, Endpoint, EndpointKey, OutcomeKind

SMOOTHING_GAIN = 0.1
MIN_WEIGHT = 0.02
GOOD_SUCCESS_RATIO = 0.95
PENALTY_DECAY = 0.05
TIE_LATENCY_RATIO = 1.5
LIMITER_OUTCOMES = frozenset(
    {OutcomeKind.SUCCESS, OutcomeKind.TIMEOUT, OutcomeKind.SHED}
)


@attrs.define(eq=False)
class EndpointState:
    """Statistics and state of one backend server.

    Attributes
    ----------
    endpoint : Endpoint
        Directory entry.
    limiter : Limiter
        Concurrency limit of this node at the backend server.
    in_flight : int
        Attempts in flight from this node.
    success_ratio : float
        Smoothed share of attempts that succeeded, 0 to 1.
    latency_ms : float
        Smoothed latency of successes and timeouts.
    samples : int
        Attempts since the first one or since the end of the last ejection.
    consecutive_failures : int
        Failures since the last success.
    ramp_start_ms : float
        Start of the slow-start ramp.
    ramp : float
        Progress of the ramp, 0 to 1.
    report_weight : float
        Weight from its load reports; never 0, so that a report alone can't exclude
        the backend server.
    ejected_until_ms : float
        End of the ejection; negative infinity if it isn't ejected.
    ejections : int
        Recent ejections; each doubles the next duration.
    available_index : int
        Index in the pool's list of available ones; -1 if not available.
    weight : float
        Share of the load that it should get, relative to the others.
    """

    endpoint: Endpoint
    limiter: Limiter
    in_flight: int = 0
    success_ratio: float = 1.0
    latency_ms: float = 0.0
    samples: int = 0
    consecutive_failures: int = 0
    ramp_start_ms: float = float("-inf")
    ramp: float = 1.0
    report_weight: float = 1.0
    ejected_until_ms: float = float("-inf")
    ejections: int = 0
    available_index: int = -1
    weight: float = 1.0

    @property
    def key(self) -> EndpointKey:
        """Identity of the backend server."""
        return self.endpoint.key

    @property
    def ejected(self) -> bool:
        """Whether it is ejected now."""
        return self.ejected_until_ms != float("-inf")

    @property
    def eligible(self) -> bool:
        """Whether it may get new requests: neither leaving nor ejected."""
        return not self.endpoint.leaving and self.ejected_until_ms == float("-inf")

    def update_weight(self) -> None:
        """Recompute the weight from slots, ramp, success ratio and load report."""
        success = (
            1.0 if self.success_ratio >= GOOD_SUCCESS_RATIO else self.success_ratio
        )
        share = self.ramp * success * success * self.report_weight
        self.weight = self.endpoint.slots * max(MIN_WEIGHT, share)

    def record_outcome(self, outcome: AttemptOutcome, now_ms: float) -> None:
        """Update the statistics with the outcome of one attempt."""
        kind = outcome.kind
        if kind is OutcomeKind.CANCELLED:
            return
        self.samples += 1
        succeeded = kind is OutcomeKind.SUCCESS
        self.consecutive_failures = 0 if succeeded else self.consecutive_failures + 1
        self.success_ratio += SMOOTHING_GAIN * (succeeded - self.success_ratio)
        if succeeded or kind is OutcomeKind.TIMEOUT:
            self._record_latency(outcome.latency_ms)
        if kind in LIMITER_OUTCOMES:
            self.limiter.record(outcome, self.in_flight, now_ms)
        self.update_weight()

    def _record_latency(self, latency_ms: float) -> None:
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
            return
        self.latency_ms += SMOOTHING_GAIN * (latency_ms - self.latency_ms)

    def recover_statistics(self, peer_latency_ms: float) -> None:
        """Move success ratio and latency towards normal, once per health check.

        Otherwise a backend server without requests would keep bad statistics.
        """
        self.success_ratio += PENALTY_DECAY * (1.0 - self.success_ratio)
        if self.latency_ms > peer_latency_ms > 0.0:
            self.latency_ms += PENALTY_DECAY * (peer_latency_ms - self.latency_ms)

    def clear(self) -> None:
        """Clear the statistics."""
        self.success_ratio = 1.0
        self.latency_ms = 0.0
        self.samples = 0
        self.consecutive_failures = 0


@attrs.define(eq=False)
class DataCentrePool:
    """Backend servers of a service in one data centre.

    Attributes
    ----------
    data_centre : str
        Name of the data centre.
    members : list of EndpointState
        All backend servers.
    available : list of EndpointState
        Members that are eligible and have a free slot, in no order.
    total_in_flight : int
        Attempts in flight at eligible members.
    capacity : float
        Sum of the limits of the eligible members.
    """

    data_centre: str
    members: list[EndpointState] = attrs.field(factory=list)
    available: list[EndpointState] = attrs.field(factory=list)
    total_in_flight: int = 0
    capacity: float = 0.0

    def rebuild(self) -> None:
        """Recompute totals and available members."""
        for state in self.members:
            state.available_index = -1
        self.available = []
        eligible = [state for state in self.members if state.eligible]
        self.total_in_flight = sum(state.in_flight for state in eligible)
        self.capacity = sum(state.limiter.limit for state in eligible)
        for state in eligible:
            self.update_availability(state)

    def update_availability(self, state: EndpointState) -> None:
        """Add a member to the available ones or remove it."""
        free = state.in_flight + 1 <= state.limiter.limit and state.eligible
        if free == (state.available_index >= 0):
            return
        if free:
            state.available_index = len(self.available)
            self.available.append(state)
            return
        last = self.available.pop()
        if last is not state:
            self.available[state.available_index] = last
            last.available_index = state.available_index
        state.available_index = -1

    def utilisation(self) -> float:
        """Return the share of the capacity in use."""
        if self.capacity == 0.0:
            return float("inf")
        return self.total_in_flight / self.capacity

    def pick(
        self, rng: random.Random, avoid: tuple[EndpointKey, ...]
    ) -> EndpointState | None:
        """Return the less loaded of two random available members."""
        available = self.available
        count = len(available)
        if count == 0:
            return None
        if avoid:
            return self._pick_other(rng, avoid)
        if count == 1:
            return available[0]
        return _pick_of_two(available, rng)

    def _pick_other(
        self, rng: random.Random, avoid: tuple[EndpointKey, ...]
    ) -> EndpointState | None:
        others = [state for state in self.available if state.key not in avoid]
        if not others:
            return None
        if len(others) == 1:
            return others[0]
        return _pick_of_two(others, rng)


def _pick_of_two(states: list[EndpointState], rng: random.Random) -> EndpointState:
    count = len(states)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    one = states[first]
    other = states[second]
    one_score = (one.in_flight + 1) * other.weight
    other_score = (other.in_flight + 1) * one.weight
    if one_score == other_score:
        return _break_tie(one, other)
    return one if one_score < other_score else other


def _break_tie(one: EndpointState, other: EndpointState) -> EndpointState:
    """Return the second only if the first is clearly slower."""
    if one.latency_ms > TIE_LATENCY_RATIO * other.latency_ms > 0.0:
        return other
    return one
