"""Selection of the backend server for a request.

The value of an answer is 1 well before its objective and falls towards 0 after it;
penalties are in the same unit.
"""

import itertools
import math
from collections.abc import Iterable, Iterator
from random import Random

import attrs

from ...values import Value
from ..incarnation import Incarnation
from .data_centre_loads import DataCentreLoads
from .speed import WorkSpeed

INITIAL_RUN_MS = 150.0
"""Run time assumed for a route before its first answer."""
RUN_MEAN_WEIGHT = 0.1
"""Weight of a new sample in the mean over all backend servers."""
MAX_UNSAMPLED = 8
"""With more backend servers than this, a random sample is compared.

Load reports are rarer in larger fleets; nodes that compared all servers by the same old
reports would all choose the same one.
"""
LOCAL_SAMPLE = 4
REMOTE_SAMPLE = 2
"""Candidates in the local data centre and in remote ones, above ``MAX_UNSAMPLED``.

Fewer remote ones, as their load reports are older.
"""
MAX_LISTED = 32
"""With more backend servers than this, candidates are drawn without listing all."""
DRAWS_PER_CANDIDATE = 4
"""Draws for each candidate before all usable backend servers are listed after all."""
OBJECTIVE_STEEPNESS = 3
"""How fast the value of an answer falls as its time nears the objective."""
REMOTE_PENALTY_PER_KIB = 0.014
"""Value lost for each KiB between data centres, where traffic is charged.

A read of 1.7 KiB loses some 0.024 of its value, an upload of 60 KiB some 0.84.
"""
LOAD_PENALTY = 0.1
"""Value lost at a full backend server, proportional to the square of its load.

It spreads the load where run times are equal.
"""
COLD_RUN_FACTOR = 2.0
"""How much slower a backend server is during its cold start."""
FAILURE_PENALTY = 1.0
"""Value lost at a failure ratio of 1: all that an answer is worth.

A failed run is lost, or costs a retry and its time.
"""
MAX_SOUND_FAILURE_RATIO = 0.05
"""Failure ratio above which a backend server's load says little about its room.

One that fails all runs at once has the lowest load.
"""
MAX_TIE_BREAK = 0.01
"""Random part of a value, so that nodes with the same reports choose differently."""


@attrs.define(slots=True, eq=False, repr=False)
class BodyQueue:
    """Large bodies on the way to a backend server over the link of its node.

    Attributes
    ----------
    own_kib, own_kib_at_report : float
        What this node is sending there, now and at the last report.

    Examples
    --------
    >>> queue = BodyQueue()
    >>> queue.update(wait_ms=300.0, ms_per_kib=2.5)
    >>> queue.own_kib = 60.0
    >>> queue.wait_ms(40.0)
    550.0
    """

    own_kib: float = 0.0
    own_kib_at_report: float = 0.0
    _reported_ms: float = 0.0
    _ms_per_kib: float = 0.0

    def update(self, wait_ms: float, ms_per_kib: float) -> None:
        """Apply a report."""
        self._reported_ms, self._ms_per_kib = wait_ms, ms_per_kib
        self.own_kib_at_report = self.own_kib

    def wait_ms(self, size_kib: float) -> float:
        """Return the time until a further body has arrived."""
        own_ms = self.own_kib * self._ms_per_kib
        since_ms = (self.own_kib - self.own_kib_at_report) * self._ms_per_kib
        return max(own_ms, self._reported_ms + since_ms) + size_kib * self._ms_per_kib


@attrs.define(slots=True, eq=False, repr=False)
class Endpoint:
    """A backend server as known to this node.

    Attributes
    ----------
    open : bool
        Whether it takes new requests.
    in_flight : int
        Requests that ran or waited there at the last report of its node.
    own_in_flight, own_in_flight_at_report : int
        Requests that this node has in flight there, now and at that report.
    mean_run_ms : dict
        Mean run time there by route at normal speed, as reported with answers.
    cold_until_ms : float
        When its cold start ends.
    failed_until_ms : float
        After a failure: until this time, it is chosen only if no other is available.
    failure_ratio : float
        Ratio of its recent runs that failed, from 0 to 1.
    unresponsive : bool
        Whether a probe of its node is overdue; it is then chosen only if no other is
        available.
    rate_limit_per_s : float
        Requests per second that it takes from all nodes together; infinite for no
        limit.
    limited_until_ms : float
        After a refusal under a rate limit: until this time, it is chosen only if no
        other is available.
    version : str
        Its software version, as announced; empty if unknown.
    bodies : BodyQueue
        Large bodies on their way to it.
    speed : WorkSpeed
        How long work takes there now, relative to the mean run times.
    reported_ms : float
        When ``in_flight`` was reported.
    """

    key: object
    service: str
    incarnation: Incarnation
    data_centre: str
    open: bool = True
    slots: int = 1
    in_flight: int = 0
    own_in_flight: int = 0
    own_in_flight_at_report: int = 0
    cold_until_ms: float = 0.0
    mean_run_ms: dict[str, float] = attrs.field(factory=dict)
    failed_until_ms: float = 0.0
    failure_ratio: float = 0.0
    unresponsive: bool = False
    rate_limit_per_s: float = math.inf
    limited_until_ms: float = 0.0
    version: str = ""
    bodies: BodyQueue = attrs.field(factory=BodyQueue)
    speed: WorkSpeed = attrs.field(factory=WorkSpeed)
    reported_ms: float = 0.0

    @property
    def usable(self) -> bool:
        """Whether it takes new requests, at whatever rate."""
        return self.open and self.rate_limit_per_s > 0

    def is_sound(self, now_ms: float) -> bool:
        """Whether its load tells how much room it has."""
        return not (
            self.unresponsive
            or self.failure_ratio > MAX_SOUND_FAILURE_RATIO
            or self.rate_limit_per_s != math.inf
            or now_ms < self.failed_until_ms
        )

    @property
    def load(self) -> float:
        """Estimate of the requests that run or wait there now."""
        return max(
            self.own_in_flight,
            self.in_flight - self.own_in_flight_at_report + self.own_in_flight,
        )

    def start_interval_ms(self, run_ms: float) -> float:
        """Return the time between two starts while all its slots are in use."""
        return max(run_ms / self.slots, 1000 / self.rate_limit_per_s)

    def usable_slots(self, run_ms: float) -> float:
        """Return how many requests the rate limit keeps running.

        The longest run time of any route counts, since the load doesn't tell routes
        apart: long runs alone would look like a queue.
        """
        if self.rate_limit_per_s == math.inf:
            return self.slots
        longest_ms = max(run_ms, *self.mean_run_ms.values(), 0.0)
        return min(self.slots, max(1.0, self.rate_limit_per_s * longest_ms / 1000))

    def record_refusal(
        self, in_flight: int, retry_after_ms: float, now_ms: float
    ) -> None:
        """Apply the load and the remaining wait that a refusal reports."""
        self.update_load(in_flight, now_ms)
        if self.rate_limit_per_s != math.inf:
            self.limited_until_ms = now_ms + retry_after_ms

    def update_load(self, in_flight: int, now_ms: float = 0.0) -> None:
        """Apply a report of the requests in flight there, made at a time."""
        self.in_flight = in_flight
        self.reported_ms = now_ms
        self.own_in_flight_at_report = self.own_in_flight


@attrs.frozen(slots=True, eq=False, repr=False)
class SelectionCriteria(Value):
    """Criteria for selecting the backend server of a request.

    Attributes
    ----------
    objective_ms : float
        Time left until the answer loses value.
    fleet_mean_run_ms : float
        Run time assumed for this route at backend servers that reported none.
    size_kib : float
        Bytes that would cross between data centres, in KiB.
    data_centre : str
        Where the caller is.
    body_kib : float
        Size of a large body, which waits for the link of the node beside the backend
        server; 0 for a short one.
    """

    service: str
    route: str
    objective_ms: float
    fleet_mean_run_ms: float
    size_kib: float
    data_centre: str
    body_kib: float = 0.0


@attrs.define(slots=True, eq=False, repr=False)
class EndpointGroup:
    """The reachable backend servers of one service.

    Attributes
    ----------
    local, remote : list of Endpoint
        Those in the data centre of this node, and all others.
    loads : DataCentreLoads or None
        Mean loads to which old reports give way, and by which other data centres have
        candidates; None if reports keep their weight and all have candidates.
    """

    local: list[Endpoint] = attrs.field(factory=list)
    remote: list[Endpoint] = attrs.field(factory=list)
    loads: "DataCentreLoads[Endpoint] | None" = None

    def __iter__(self) -> Iterator[Endpoint]:
        """Iterate over all of them."""
        return itertools.chain(self.local, self.remote)

    def __len__(self) -> int:
        """Return their number."""
        return len(self.local) + len(self.remote)


@attrs.define(slots=True, eq=False, repr=False)
class MeanRunTimes:
    """Mean run time of each route over all backend servers.

    Assumed for backend servers without answers so far. A guess below the true time
    would make nodes prefer such servers, even in remote data centres.

    Examples
    --------
    >>> mean_run_times = MeanRunTimes()
    >>> mean_run_times.get("read")
    150.0
    >>> mean_run_times.record_run("read", 400.0)
    >>> mean_run_times.get("read")
    400.0
    """

    _mean_ms: dict[str, float] = attrs.field(factory=dict)

    def get(self, route: str) -> float:
        """Return the mean of a route, or a default before the first answer."""
        return self._mean_ms.get(route, INITIAL_RUN_MS)

    def get_or_zero(self, route: str) -> float:
        """Return the mean of a route, or 0 before the first answer.

        Sent with requests, where 0 stands for an unknown mean.
        """
        return self._mean_ms.get(route, 0.0)

    def record_run(self, route: str, run_ms: float) -> None:
        """Add the run time that was reported with an answer."""
        known = self._mean_ms.get(route, run_ms)
        self._mean_ms[route] = known + RUN_MEAN_WEIGHT * (run_ms - known)


def choose_endpoint(
    endpoints: Iterable[Endpoint],
    criteria: SelectionCriteria,
    excluded: set[object],
    now_ms: float,
    random: Random,
) -> Endpoint | None:
    """Return the backend server with the highest expected value, or None."""
    usable = [one for one in endpoints if _is_candidate(one, excluded)]
    candidates = _sample_candidates(usable, criteria.data_centre, random)
    return _best_of(candidates, criteria, now_ms, random)


def choose_from_group(
    group: EndpointGroup,
    criteria: SelectionCriteria,
    excluded: set[object],
    now_ms: float,
    random: Random,
    *,
    asked: Iterable[Endpoint] = (),
) -> Endpoint | None:
    """Return the same as ``choose_endpoint``, in a time that doesn't grow with them.

    Parameters
    ----------
    asked : iterable of Endpoint
        Backend servers whose load was just told; they are candidates in any case.
    """
    loads = None
    if len(group) > MAX_UNSAMPLED and not criteria.body_kib:
        loads = group.loads
    candidates: list[Endpoint] = []
    if loads is not None:
        loads.refresh(group, now_ms)
        candidates = _draw_by_load(
            group, loads, criteria, excluded, now_ms, random=random
        )
    candidates = candidates or _draw_candidates(
        group, criteria.data_centre, excluded, random
    )
    candidates += [
        one for one in asked if _is_candidate(one, excluded) and one not in candidates
    ]
    return _best_of(candidates, criteria, now_ms, random, loads)


def _draw_candidates(
    group: EndpointGroup, data_centre: str, excluded: set[object], random: Random
) -> list[Endpoint]:
    local = remote = None
    if len(group) > MAX_LISTED:
        local = _draw(group.local, LOCAL_SAMPLE, excluded, random)
        remote = _draw(group.remote, REMOTE_SAMPLE, excluded, random)
    if local is not None and remote is not None:
        return local + remote
    usable = [one for one in group if _is_candidate(one, excluded)]
    return _sample_candidates(usable, data_centre, random)


def _draw_by_load(
    group: EndpointGroup,
    loads: DataCentreLoads[Endpoint],
    criteria: SelectionCriteria,
    excluded: set[object],
    now_ms: float,
    *,
    random: Random,
) -> list[Endpoint]:
    """Return local candidates, and others only where a data centre has more room.

    Empty if the loads of the local ones don't tell whether there is room.
    """
    local = _draw_or_list(group.local, LOCAL_SAMPLE, excluded, random)
    if not any(one.is_sound(now_ms) for one in local):
        return []
    remote = loads.emptiest(criteria.data_centre)
    return local + _draw_or_list(remote, REMOTE_SAMPLE, excluded, random)


def _draw_or_list(
    endpoints: list[Endpoint], count: int, excluded: set[object], random: Random
) -> list[Endpoint]:
    """Return a random sample of the usable ones."""
    drawn = _draw(endpoints, count, excluded, random)
    if drawn is not None:
        return drawn
    usable = [one for one in endpoints if _is_candidate(one, excluded)]
    return random.sample(usable, min(count, len(usable)))


def _is_candidate(endpoint: Endpoint, excluded: set[object]) -> bool:
    return endpoint.usable and endpoint.key not in excluded


def _draw(
    endpoints: list[Endpoint], count: int, excluded: set[object], random: Random
) -> list[Endpoint] | None:
    """Return a random sample of the usable ones; None if most are not usable."""
    drawn: list[Endpoint] = []
    if len(endpoints) <= count:
        return None
    for _ in range(count * DRAWS_PER_CANDIDATE):
        one = endpoints[int(random.random() * len(endpoints))]
        if _is_candidate(one, excluded) and one not in drawn:
            drawn.append(one)
            if len(drawn) == count:
                return drawn
    return None


def _best_of(
    candidates: list[Endpoint],
    criteria: SelectionCriteria,
    now_ms: float,
    random: Random,
    loads: DataCentreLoads[Endpoint] | None = None,
) -> Endpoint | None:
    best = None
    best_value = 0.0
    for endpoint in candidates:
        value = (
            _expected_value(endpoint, criteria, now_ms, loads)
            + random.random() * MAX_TIE_BREAK
        )
        if best is None or value > best_value:
            best, best_value = endpoint, value
    return best


def _sample_candidates(
    endpoints: list[Endpoint], data_centre: str, random: Random
) -> list[Endpoint]:
    """Return all endpoints if they are few, or a random sample of them."""
    if len(endpoints) <= MAX_UNSAMPLED:
        return endpoints
    local = [one for one in endpoints if one.data_centre == data_centre]
    remote = [one for one in endpoints if one.data_centre != data_centre]
    chosen = random.sample(local, min(LOCAL_SAMPLE, len(local)))
    return chosen + random.sample(remote, min(REMOTE_SAMPLE, len(remote)))


def _expected_value(
    endpoint: Endpoint,
    criteria: SelectionCriteria,
    now_ms: float,
    loads: DataCentreLoads[Endpoint] | None,
) -> float:
    """Return the value of an answer at its expected time, less the penalties.

    The ratio counts for the run only: a slow phase is mostly over before a queue is,
    and nodes that shun the queues of slow servers crowd the others.
    """
    usual_ms = endpoint.mean_run_ms.get(criteria.route, criteria.fleet_mean_run_ms)
    if now_ms < endpoint.cold_until_ms:
        usual_ms *= COLD_RUN_FACTOR
    run_ms = usual_ms * endpoint.speed.ratio(now_ms)
    load = endpoint.load if loads is None else loads.estimate(endpoint, now_ms)
    slots = endpoint.usable_slots(usual_ms)
    wait_ms = max(0.0, load + 1 - slots) * endpoint.start_interval_ms(usual_ms)
    if criteria.body_kib:
        wait_ms = max(wait_ms, endpoint.bodies.wait_ms(criteria.body_kib))
    objective_ms = max(criteria.objective_ms, 1.0)
    value = 1.0 / (1.0 + ((wait_ms + run_ms) / objective_ms) ** OBJECTIVE_STEEPNESS)
    value -= FAILURE_PENALTY * endpoint.failure_ratio
    value -= LOAD_PENALTY * (load / slots) ** 2
    avoided_until_ms = max(endpoint.failed_until_ms, endpoint.limited_until_ms)
    if now_ms < avoided_until_ms or endpoint.unresponsive:
        value -= 1.0  # as much as the highest value of an answer
    if endpoint.data_centre != criteria.data_centre:
        value -= REMOTE_PENALTY_PER_KIB * criteria.size_kib
    return value
