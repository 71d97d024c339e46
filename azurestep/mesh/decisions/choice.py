"""Which backend server a request goes to. Pure."""

from collections.abc import Iterable
from random import Random

import attrs

from ..incarnation import Incarnation

RUN_FIRST_MS = 150.0
"""Run time assumed for a route while no answer was seen; near the mean of the
workloads that were measured."""
RUN_GAIN = 0.1
"""Weight of a new run time in the mean over all backend servers."""
SAMPLED_ABOVE = 8
"""Backend servers above which only some are weighed for one request: with 71 nodes,
load is told too seldom for a choice of the best of all."""
NEAR_SAMPLE = 4
FAR_SAMPLE = 2
"""Candidates in the own data centre and outside it: where load news is older, fewer."""
OBJECTIVE_STEEPNESS = 3
"""How fast the value of an answer falls as its time nears the objective."""
ABROAD_COST = 0.014
"""Value lost for each KiB that crosses data centres: a read of 1.7 KiB costs some
0.024 of its worth, an upload of 60 KiB some 0.84, where the operators pay 14,000
times a read's worth for a GB."""
BALANCE_WEIGHT = 0.1
"""Value lost at a full backend server, growing with the square of its load; it
spreads load where times are equal."""
COLD_FACTOR = 2.0
"""How much slower a backend server is while it is cold."""
FAILURE_COST = 1.0
"""Value lost at a backend server all of whose runs fail: all that an answer is
worth, since a failed run is lost or costs a retry and its time."""
TIE = 0.01
"""Random part that keeps nodes with the same news from choosing the same one."""


@attrs.define(slots=True, eq=False)
class Endpoint:
    """A backend server, as this node sees it.

    Attributes
    ----------
    open : bool
        Whether it takes new requests.
    in_flight : int
        Requests that ran or waited there when its node last told.
    own_in_flight, own_in_flight_at_report : int
        This node's requests there now, and when that was told.
    cold_until_ms : float
        Until when it is slow after its start.
    failed_until_ms : float
        Until when it is chosen only without another.
    failure_ratio : float
        Share of its runs that failed of late, from 0 to 1.
    unresponsive : bool
        Whether its node owes an answer to a probe; the same holds.
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

    @property
    def load(self) -> float:
        """Requests that are likely to run or wait there now."""
        return max(
            self.own_in_flight,
            self.in_flight - self.own_in_flight_at_report + self.own_in_flight,
        )

    def update_load(self, in_flight: int) -> None:
        """Take news of the requests there in."""
        self.in_flight = in_flight
        self.own_in_flight_at_report = self.own_in_flight


@attrs.frozen(slots=True)
class SelectionCriteria:
    """What is asked of a backend server.

    Attributes
    ----------
    objective_ms : float
        Time left until the answer loses value.
    mean_run_ms : float
        Run time of this route at backend servers that did not tell theirs.
    size_kib : float
        Bytes that would cross between data centres, in KiB.
    data_centre : str
        Where the caller is.
    """

    service: str
    route: str
    objective_ms: float
    mean_run_ms: float
    size_kib: float
    data_centre: str


@attrs.define(slots=True)
class MeanRunTimes:
    """Mean run time of each route over all backend servers, as far as answers tell.

    A backend server that was not asked yet counts as usual: with a fixed first guess
    below the true time, each node preferred all servers it had not tried, which on 37
    of them took it abroad for 37% of the reads of a quiet day.

    Examples
    --------
    >>> mean_run_times = MeanRunTimes()
    >>> mean_run_times.get("read")
    150.0
    >>> mean_run_times.learn("read", 400.0)
    >>> mean_run_times.get("read")
    400.0
    """

    _mean_ms: dict[str, float] = attrs.field(factory=dict)

    def get(self, route: str) -> float:
        """Return the mean of a route."""
        return self._mean_ms.get(route, RUN_FIRST_MS)

    def get_or_zero(self, route: str) -> float:
        """Return the mean of a route, or 0 before the first answer."""
        return self._mean_ms.get(route, 0.0)

    def learn(self, route: str, run_ms: float) -> None:
        """Take the run time that a backend server told in."""
        known = self._mean_ms.get(route, run_ms)
        self._mean_ms[route] = known + RUN_GAIN * (run_ms - known)


def choose_endpoint(
    endpoints: Iterable[Endpoint],
    criteria: SelectionCriteria,
    excluded: set[object],
    now_ms: float,
    random: Random,
) -> Endpoint | None:
    """Return the backend server with the highest expected value, or None."""
    best = None
    best_value = 0.0
    usable = [one for one in endpoints if one.open and one.key not in excluded]
    for endpoint in _sample(usable, criteria.data_centre, random):
        value = _value(endpoint, criteria, now_ms) + random.random() * TIE
        if best is None or value > best_value:
            best, best_value = endpoint, value
    return best


def _sample(
    endpoints: list[Endpoint], data_centre: str, random: Random
) -> list[Endpoint]:
    """Return the candidates: all of a few, some of many.

    Many nodes that choose the best of the same old news all choose the same one.
    """
    if len(endpoints) <= SAMPLED_ABOVE:
        return endpoints
    near = [one for one in endpoints if one.data_centre == data_centre]
    far = [one for one in endpoints if one.data_centre != data_centre]
    chosen = random.sample(near, min(NEAR_SAMPLE, len(near)))
    return chosen + random.sample(far, min(FAR_SAMPLE, len(far)))


def _value(endpoint: Endpoint, criteria: SelectionCriteria, now_ms: float) -> float:
    run_ms = endpoint.mean_run_ms.get(criteria.route, criteria.mean_run_ms)
    if now_ms < endpoint.cold_until_ms:
        run_ms *= COLD_FACTOR
    load = endpoint.load
    wait_ms = max(0.0, load + 1 - endpoint.slots) / endpoint.slots * run_ms
    objective_ms = max(criteria.objective_ms, 1.0)
    value = 1.0 / (1.0 + ((wait_ms + run_ms) / objective_ms) ** OBJECTIVE_STEEPNESS)
    value -= FAILURE_COST * endpoint.failure_ratio
    value -= BALANCE_WEIGHT * (load / endpoint.slots) ** 2
    if now_ms < endpoint.failed_until_ms or endpoint.unresponsive:
        value -= 1.0
    if endpoint.data_centre != criteria.data_centre:
        value -= ABROAD_COST * criteria.size_kib
    return value
