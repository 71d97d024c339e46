"""What this node saw of each backend server, grouped by data centre."""

import random

import attrs

from .limiter import Limiter
from .messages import Endpoint, EndpointKey, Outcome, OutcomeKind

SMOOTHING = 0.1
MINIMUM_WEIGHT = 0.02
GOOD_SUCCESS = 0.95
FORGETTING = 0.05
NOTICEABLE_LATENCY_RATIO = 1.5
LIMIT_KINDS = frozenset({OutcomeKind.SUCCESS, OutcomeKind.TIMEOUT, OutcomeKind.SHED})


@attrs.define(eq=False)
class EndpointState:
    """Running record of one backend server.

    Attributes
    ----------
    endpoint : Endpoint
        Directory entry.
    limiter : Limiter
        Concurrency limit of this node at the backend server.
    outstanding : int
        Attempts in flight from this node.
    success : float
        Smoothed share of attempts that succeeded, 0 to 1.
    latency_ms : float
        Smoothed latency of attempts that were answered.
    samples : int
        Attempts since the record began or the last return.
    failures : int
        Failures in a row.
    ramp_start_ms : float
        When its present cold-start ramp began.
    ramp : float
        Progress of the ramp, 0 to 1.
    hint : float
        Weight from its own reports, bounded so that it only shifts load.
    ejected_until_ms : float
        End of the present ejection; negative infinity when there is none.
    ejections : int
        Ejections in the recent past; each doubles the next duration.
    position : int
        Index in the pool's list of available ones; -1 when not available.
    """

    endpoint: Endpoint
    limiter: Limiter
    outstanding: int = 0
    success: float = 1.0
    latency_ms: float = 0.0
    samples: int = 0
    failures: int = 0
    ramp_start_ms: float = float("-inf")
    ramp: float = 1.0
    hint: float = 1.0
    ejected_until_ms: float = float("-inf")
    ejections: int = 0
    position: int = -1
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
    def fit(self) -> bool:
        """Whether it may get new requests at all."""
        return not self.endpoint.leaving and self.ejected_until_ms == float("-inf")

    def update_weight(self) -> None:
        """Recompute the weight from slots, ramp, success and hint."""
        success = 1.0 if self.success >= GOOD_SUCCESS else self.success
        share = self.ramp * success * success * self.hint
        self.weight = self.endpoint.slots * max(MINIMUM_WEIGHT, share)

    def observe(self, outcome: Outcome, now_ms: float) -> None:
        """Take the outcome of one attempt into account."""
        kind = outcome.kind
        if kind is OutcomeKind.CANCELLED:
            return
        self.samples += 1
        succeeded = kind is OutcomeKind.SUCCESS
        self.failures = 0 if succeeded else self.failures + 1
        self.success += SMOOTHING * (succeeded - self.success)
        if succeeded or kind is OutcomeKind.TIMEOUT:
            self._observe_latency(outcome.latency_ms)
        if kind in LIMIT_KINDS:
            self.limiter.sample(outcome, self.outstanding, now_ms)
        self.update_weight()

    def _observe_latency(self, latency_ms: float) -> None:
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
            return
        self.latency_ms += SMOOTHING * (latency_ms - self.latency_ms)

    def recover(self, usual_latency_ms: float) -> None:
        """Let an old record fade, once per review.

        A backend server that gets no requests could never clear it.
        """
        self.success += FORGETTING * (1.0 - self.success)
        if self.latency_ms > usual_latency_ms > 0.0:
            self.latency_ms += FORGETTING * (usual_latency_ms - self.latency_ms)

    def forget(self) -> None:
        """Drop what was observed, to judge the backend server anew."""
        self.success = 1.0
        self.latency_ms = 0.0
        self.samples = 0
        self.failures = 0


@attrs.define(eq=False)
class Pool:
    """Backend servers of a service in one data centre.

    Attributes
    ----------
    data_centre : str
        Where they run.
    members : list of EndpointState
        All of them.
    available : list of EndpointState
        Those that are fit and have a free slot, in no order.
    in_flight : int
        Attempts in flight at fit members.
    capacity : float
        Sum of the limits of the fit members.
    """

    data_centre: str
    members: list[EndpointState] = attrs.field(factory=list)
    available: list[EndpointState] = attrs.field(factory=list)
    in_flight: int = 0
    capacity: float = 0.0

    def rebuild(self) -> None:
        """Recompute what depends on which members are fit."""
        for state in self.members:
            state.position = -1
        self.available = []
        fit = [state for state in self.members if state.fit]
        self.in_flight = sum(state.outstanding for state in fit)
        self.capacity = sum(state.limiter.limit for state in fit)
        for state in fit:
            self.refresh(state)

    def refresh(self, state: EndpointState) -> None:
        """Add the member to the available ones, or take it away."""
        free = state.outstanding + 1 <= state.limiter.limit and state.fit
        if free == (state.position >= 0):
            return
        if free:
            state.position = len(self.available)
            self.available.append(state)
            return
        last = self.available.pop()
        if last is not state:
            self.available[state.position] = last
            last.position = state.position
        state.position = -1

    def utilisation(self) -> float:
        """Return the share of the capacity in use."""
        if self.capacity == 0.0:
            return float("inf")
        return self.in_flight / self.capacity

    def pick(
        self, source: random.Random, avoid: tuple[EndpointKey, ...]
    ) -> EndpointState | None:
        """Return the less loaded of two random available members."""
        available = self.available
        count = len(available)
        if count == 0:
            return None
        if avoid:
            return self._pick_other(source, avoid)
        if count == 1:
            return available[0]
        return _pick_of_two(available, source)

    def _pick_other(
        self, source: random.Random, avoid: tuple[EndpointKey, ...]
    ) -> EndpointState | None:
        others = [state for state in self.available if state.key not in avoid]
        if not others:
            return None
        if len(others) == 1:
            return others[0]
        return _pick_of_two(others, source)


def _pick_of_two(states: list[EndpointState], source: random.Random) -> EndpointState:
    count = len(states)
    first = int(source.random() * count)
    second = int(source.random() * (count - 1))
    if second >= first:
        second += 1
    one = states[first]
    other = states[second]
    one_score = (one.outstanding + 1) * other.weight
    other_score = (other.outstanding + 1) * one.weight
    if one_score == other_score:
        return _clearly_quicker(one, other)
    return one if one_score < other_score else other


def _clearly_quicker(one: EndpointState, other: EndpointState) -> EndpointState:
    if one.latency_ms > NOTICEABLE_LATENCY_RATIO * other.latency_ms > 0.0:
        return other
    return one
