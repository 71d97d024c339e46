"""Choice of a backend server for one request."""

import random
from collections.abc import Iterable

from ..config.model import Service
from .ejection import OutlierDetector
from .endpoint_state import EndpointState, Pool
from .limiter import LimiterKind, make_limiter
from .messages import Endpoint, EndpointKey, LoadReport, Outcome

REVIEW_INTERVAL_MS = 250.0
IDLE_RATIO = 0.25
BUSY_RATIO = 0.5
LIMITS_PER_MEMBER = 2.0
OWN_LATENCY_RATIO = 1.5
REPORTED_LOAD_WEIGHT = 0.3
UNHEALTHY_WEIGHT = 0.5


class Balancer:
    """Chooses among the backend servers of one service.

    The choice takes constant time: two random members of a list of those that
    are fit and have a free slot. What needs all members is done by ``review``,
    at most every ``REVIEW_INTERVAL_MS``.

    Parameters
    ----------
    service : Service
        Rules of the service.
    data_centre, instance : str
        Where this node runs.
    source : random.Random
        Source of the random choices.
    limiter : LimiterKind or None
        How limits adapt; None follows the service's rule.
    """

    def __init__(
        self,
        service: Service,
        data_centre: str,
        instance: str,
        source: random.Random,
        limiter: LimiterKind | None = None,
    ) -> None:
        self._service = service
        self._data_centre = data_centre
        self._instance = instance
        self._source = source
        adaptive = LimiterKind.AIMD if service.limits.adaptive else None
        self._limiter = limiter or adaptive or LimiterKind.FIXED
        self._detector = OutlierDetector(service.selection)
        self._states: dict[EndpointKey, EndpointState] = {}
        self._pools: dict[str, Pool] = {}
        self._local = Pool(data_centre)
        self._remote: list[Pool] = []
        self._own: EndpointState | None = None
        self._next_review_ms = float("-inf")

    @property
    def capacity(self) -> float:
        """Requests that this node may have in flight at the service."""
        return self._local.capacity + sum(pool.capacity for pool in self._remote)

    @property
    def pools(self) -> list[Pool]:
        """Backend servers by data centre, the node's own one first."""
        return [self._local, *self._remote]

    def limits_bite(self) -> bool:
        """Return whether this node's limits are in use and can still fall."""
        capacity = self.capacity
        in_flight = sum(pool.in_flight for pool in self.pools)
        falling = capacity >= LIMITS_PER_MEMBER * len(self._states)
        return falling and in_flight >= BUSY_RATIO * capacity

    def knows_any(self) -> bool:
        """Return whether any backend server may get new requests."""
        return any(not s.endpoint.leaving for s in self._states.values())

    def configure(self, service: Service, now_ms: float) -> None:
        """Take over changed rules; what was observed is kept."""
        self._service = service
        self._detector.rule = service.selection
        self.replace([state.endpoint for state in self._states.values()], now_ms)

    def replace(self, endpoints: Iterable[Endpoint], now_ms: float) -> None:
        """Take over the directory's present list; records of those kept stay."""
        known = self._states
        self._states = {}
        for endpoint in endpoints:
            state = known.get(endpoint.key)
            if state is None or state.endpoint.slots != endpoint.slots:
                state = self._make_state(endpoint, state)
            state.endpoint = endpoint
            self._states[endpoint.key] = state
        self._regroup()
        self._next_review_ms = float("-inf")
        self.review(now_ms)

    def _make_state(
        self, endpoint: Endpoint, former: EndpointState | None
    ) -> EndpointState:
        slots = max(1, min(endpoint.slots, self._service.limits.slots))
        limiter = make_limiter(self._limiter, slots)
        state = EndpointState(endpoint, limiter, ramp_start_ms=endpoint.announced_ms)
        if former is not None:
            state.outstanding = former.outstanding
        return state

    def _regroup(self) -> None:
        pools: dict[str, Pool] = {}
        self._own = None
        for state in self._states.values():
            place = state.endpoint.data_centre
            pools.setdefault(place, Pool(place)).members.append(state)
            if state.endpoint.instance == self._instance:
                self._own = state
        self._local = pools.pop(self._data_centre, Pool(self._data_centre))
        self._remote = list(pools.values())
        self._pools = {pool.data_centre: pool for pool in self.pools}

    def report(self, report: LoadReport) -> None:
        """Take a backend server's own word as a hint that shifts some load."""
        state = self._states.get(report.key)
        if state is None:
            return
        load = max(0.0, min(1.0, report.load))
        state.hint = 1.0 - REPORTED_LOAD_WEIGHT * load
        if not report.healthy:
            state.hint *= UNHEALTHY_WEIGHT
        state.update_weight()

    def review(self, now_ms: float) -> None:
        """Eject and restore backend servers and move their ramps, when due."""
        if now_ms < self._next_review_ms:
            return
        self._next_review_ms = now_ms + REVIEW_INTERVAL_MS
        states = list(self._states.values())
        self._detector.restore(states, now_ms)
        for state in self._detector.outliers(states):
            self._detector.eject(state, states, now_ms)
        for state in states:
            self._detector.forgive(state, now_ms)
            state.recover(self._detector.peer_latency_ms)
            self._ramp(state, now_ms)
        for pool in self.pools:
            pool.rebuild()

    def _ramp(self, state: EndpointState, now_ms: float) -> None:
        duration_ms = self._service.selection.ramp_up_ms
        if duration_ms <= 0:
            state.ramp = 1.0
        else:
            progress = (now_ms - state.ramp_start_ms) / duration_ms
            state.ramp = max(0.0, min(1.0, progress))
        state.update_weight()

    def choose(self, avoid: tuple[EndpointKey, ...] = ()) -> EndpointState | None:
        """Return a fit backend server with a free slot, or None.

        Parameters
        ----------
        avoid : tuple of EndpointKey
            Those that were tried; ignored when the service has no other.
        """
        if avoid and not self._has_other(avoid):
            avoid = ()
        own = self._own
        if own is not None and self._prefers(own) and own.key not in avoid:
            return own
        local = self._local.pick(self._source, avoid)
        if not self._remote:
            return local
        used = self._local.utilisation()
        if local is not None and used < self._service.selection.spill_over_ratio:
            return local
        return self._spill_over(local, used, avoid)

    def _has_other(self, avoid: tuple[EndpointKey, ...]) -> bool:
        return any(s.fit and k not in avoid for k, s in self._states.items())

    def _prefers(self, own: EndpointState) -> bool:
        if own.position < 0 or own.ramp < 1.0:
            return False
        if own.outstanding >= IDLE_RATIO * own.limiter.limit:
            return False
        peers = self._local.available
        peer = peers[int(self._source.random() * len(peers))]
        return own.latency_ms <= OWN_LATENCY_RATIO * peer.latency_ms or (
            peer.latency_ms == 0.0
        )

    def _spill_over(
        self, local: EndpointState | None, used: float, avoid: tuple[EndpointKey, ...]
    ) -> EndpointState | None:
        if local is None:
            used = float("inf")
        for pool in sorted(self._remote, key=Pool.utilisation):
            if pool.utilisation() >= used:
                return local
            remote = pool.pick(self._source, avoid)
            if remote is not None:
                return remote
        return local

    def start(self, state: EndpointState) -> None:
        """Count an attempt that is about to be sent."""
        state.outstanding += 1
        pool = self._pools[state.endpoint.data_centre]
        if state.fit:
            pool.in_flight += 1
        pool.refresh(state)

    def finish(self, endpoint: Endpoint, outcome: Outcome, now_ms: float) -> None:
        """Count the end of an attempt and learn from it."""
        state = self._states.get(endpoint.key)
        if state is None:
            return
        pool = self._pools[state.endpoint.data_centre]
        limit = state.limiter.limit
        state.observe(outcome, now_ms)
        state.outstanding = max(0, state.outstanding - 1)
        if state.fit:
            pool.in_flight -= 1
            pool.capacity += state.limiter.limit - limit
        if state.fit and self._detector.failing(state):
            self._eject(state, now_ms)
        pool.refresh(state)

    def _eject(self, state: EndpointState, now_ms: float) -> None:
        states = list(self._states.values())
        if self._detector.eject(state, states, now_ms):
            self._pools[state.endpoint.data_centre].rebuild()
