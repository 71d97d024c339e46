"""Load balancing over the backend servers of a service."""

import random
from collections.abc import Iterable

from ..config.model import Service
from .ejection import OutlierDetector
from .endpoint_state import DataCentrePool, EndpointState
from .limiter import LimiterKind, make_limiter
from .messages import AttemptOutcome, Endpoint, EndpointKey, LoadReport

HEALTH_CHECK_INTERVAL_MS = 250.0
MAX_LOCAL_UTILISATION = 0.25
MIN_EFFECTIVE_UTILISATION = 0.5
# Mean limit per backend server above which the limits can still decrease.
MIN_MEAN_LIMIT = 2.0
MAX_LOCAL_LATENCY_RATIO = 1.5
REPORTED_LOAD_WEIGHT = 0.3
UNHEALTHY_WEIGHT = 0.5


class Balancer:
    """Chooses a backend server of one service for each request.

    The choice takes constant time: the better of two random backend servers that
    are eligible and have a free slot. ``run_health_checks`` ejects, restores and ramps
    all backend servers, at most every ``HEALTH_CHECK_INTERVAL_MS``.

    Parameters
    ----------
    service : Service
        Rules of the service.
    data_centre, instance : str
        Where this node runs.
    rng : random.Random
        Random number generator for the choices.
    limiter : LimiterKind or None
        How concurrency limits adapt; None follows the service's rule.
    """

    def __init__(
        self,
        service: Service,
        data_centre: str,
        instance: str,
        rng: random.Random,
        limiter: LimiterKind | None = None,
    ) -> None:
        self._service = service
        self._data_centre = data_centre
        self._instance = instance
        self._rng = rng
        adaptive = LimiterKind.AIMD if service.limits.adaptive else None
        self._limiter = limiter or adaptive or LimiterKind.FIXED
        self._detector = OutlierDetector(service.selection)
        self._states: dict[EndpointKey, EndpointState] = {}
        self._pools: dict[str, DataCentrePool] = {}
        self._local_pool = DataCentrePool(data_centre)
        self._remote_pools: list[DataCentrePool] = []
        self._local_server: EndpointState | None = None
        self._next_health_check_ms = float("-inf")

    @property
    def capacity(self) -> float:
        """Requests that this node may have in flight at the service."""
        return self._local_pool.capacity + sum(
            pool.capacity for pool in self._remote_pools
        )

    @property
    def pools(self) -> list[DataCentrePool]:
        """Backend servers by data centre, the local one first."""
        return [self._local_pool, *self._remote_pools]

    def limits_are_effective(self) -> bool:
        """Return whether the limits reduce load: half used and above the minimum."""
        capacity = self.capacity
        in_flight = sum(pool.total_in_flight for pool in self.pools)
        can_fall = capacity >= MIN_MEAN_LIMIT * len(self._states)
        return can_fall and in_flight >= MIN_EFFECTIVE_UTILISATION * capacity

    def has_endpoints(self) -> bool:
        """Return whether any backend server isn't leaving."""
        return any(not s.endpoint.leaving for s in self._states.values())

    def configure(self, service: Service, now_ms: float) -> None:
        """Apply changed rules; the statistics of the backend servers are kept."""
        self._service = service
        self._detector.rule = service.selection
        self.replace([state.endpoint for state in self._states.values()], now_ms)

    def replace(self, endpoints: Iterable[Endpoint], now_ms: float) -> None:
        """Replace the backend servers; those that remain keep their statistics."""
        previous_states = self._states
        self._states = {}
        for endpoint in endpoints:
            state = previous_states.get(endpoint.key)
            if state is None or state.endpoint.slots != endpoint.slots:
                state = self._make_state(endpoint, state)
            state.endpoint = endpoint
            self._states[endpoint.key] = state
        self._group_by_data_centre()
        self._next_health_check_ms = float("-inf")
        self.run_health_checks(now_ms)

    def _make_state(
        self, endpoint: Endpoint, previous: EndpointState | None
    ) -> EndpointState:
        slots = max(1, min(endpoint.slots, self._service.limits.slots))
        limiter = make_limiter(self._limiter, slots)
        state = EndpointState(endpoint, limiter, ramp_start_ms=endpoint.first_seen_ms)
        if previous is not None:
            state.in_flight = previous.in_flight
        return state

    def _group_by_data_centre(self) -> None:
        pools: dict[str, DataCentrePool] = {}
        self._local_server = None
        for state in self._states.values():
            data_centre = state.endpoint.data_centre
            pools.setdefault(data_centre, DataCentrePool(data_centre)).members.append(
                state
            )
            if state.endpoint.instance == self._instance:
                self._local_server = state
        self._local_pool = pools.pop(
            self._data_centre, DataCentrePool(self._data_centre)
        )
        self._remote_pools = list(pools.values())
        self._pools = {pool.data_centre: pool for pool in self.pools}

    def report(self, report: LoadReport) -> None:
        """Lower the weight of a backend server according to its load report.

        The effect is bounded, so that a wrong report shifts only some load.
        """
        state = self._states.get(report.key)
        if state is None:
            return
        load = max(0.0, min(1.0, report.load))
        state.report_weight = 1.0 - REPORTED_LOAD_WEIGHT * load
        if not report.healthy:
            state.report_weight *= UNHEALTHY_WEIGHT
        state.update_weight()

    def run_health_checks(self, now_ms: float) -> None:
        """Eject and restore backend servers and update their ramps, if due."""
        if now_ms < self._next_health_check_ms:
            return
        self._next_health_check_ms = now_ms + HEALTH_CHECK_INTERVAL_MS
        states = list(self._states.values())
        self._detector.restore(states, now_ms)
        for state in self._detector.find_outliers(states):
            self._detector.eject(state, states, now_ms)
        for state in states:
            self._detector.decay_ejections(state, now_ms)
            state.recover_statistics(self._detector.peer_latency_ms)
            self._ramp(state, now_ms)
        for pool in self.pools:
            pool.rebuild()

    def _ramp(self, state: EndpointState, now_ms: float) -> None:
        ramp_duration_ms = self._service.selection.ramp_up_ms
        if ramp_duration_ms <= 0:
            state.ramp = 1.0
        else:
            progress = (now_ms - state.ramp_start_ms) / ramp_duration_ms
            state.ramp = max(0.0, min(1.0, progress))
        state.update_weight()

    def choose(self, avoid: tuple[EndpointKey, ...] = ()) -> EndpointState | None:
        """Return an eligible backend server with a free slot, or None.

        Parameters
        ----------
        avoid : tuple of EndpointKey
            Backend servers to skip; ignored if no other one is eligible.
        """
        if avoid and not self._has_other(avoid):
            avoid = ()
        local_server = self._local_server
        if (
            local_server is not None
            and self._prefers_local_server(local_server)
            and local_server.key not in avoid
        ):
            return local_server
        local = self._local_pool.pick(self._rng, avoid)
        if not self._remote_pools:
            return local
        local_utilisation = self._local_pool.utilisation()
        if (
            local is not None
            and local_utilisation < self._service.selection.spill_over_ratio
        ):
            return local
        return self._spill_over(local, local_utilisation, avoid)

    def _has_other(self, avoid: tuple[EndpointKey, ...]) -> bool:
        return any(s.eligible and k not in avoid for k, s in self._states.items())

    def _prefers_local_server(self, local_server: EndpointState) -> bool:
        if local_server.available_index < 0 or local_server.ramp < 1.0:
            return False
        if local_server.in_flight >= MAX_LOCAL_UTILISATION * local_server.limiter.limit:
            return False
        peers = self._local_pool.available
        peer = peers[int(self._rng.random() * len(peers))]
        return local_server.latency_ms <= MAX_LOCAL_LATENCY_RATIO * peer.latency_ms or (
            peer.latency_ms == 0.0
        )

    def _spill_over(
        self,
        local: EndpointState | None,
        local_utilisation: float,
        avoid: tuple[EndpointKey, ...],
    ) -> EndpointState | None:
        if local is None:
            local_utilisation = float("inf")
        for pool in sorted(self._remote_pools, key=DataCentrePool.utilisation):
            if pool.utilisation() >= local_utilisation:
                return local
            remote = pool.pick(self._rng, avoid)
            if remote is not None:
                return remote
        return local

    def start(self, state: EndpointState) -> None:
        """Count an attempt as in flight."""
        state.in_flight += 1
        pool = self._pools[state.endpoint.data_centre]
        if state.eligible:
            pool.total_in_flight += 1
        pool.update_availability(state)

    def finish(
        self, endpoint: Endpoint, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Count an attempt as ended, record its outcome and eject if due."""
        state = self._states.get(endpoint.key)
        if state is None:
            return
        pool = self._pools[state.endpoint.data_centre]
        limit = state.limiter.limit
        state.record_outcome(outcome, now_ms)
        state.in_flight = max(0, state.in_flight - 1)
        if state.eligible:
            pool.total_in_flight -= 1
            pool.capacity += state.limiter.limit - limit
        if state.eligible and self._detector.should_eject(state):
            self._eject(state, now_ms)
        pool.update_availability(state)

    def _eject(self, state: EndpointState, now_ms: float) -> None:
        states = list(self._states.values())
        if self._detector.eject(state, states, now_ms):
            self._pools[state.endpoint.data_centre].rebuild()
