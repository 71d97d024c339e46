"""Runs of the queueing model: scenarios, policies and their figures."""

import random

import attrs

from azurestep.balancing import (
    Discipline,
    Endpoint,
    EndpointKey,
    LimiterKind,
    LoadReport,
)
from azurestep.config.model import LimitRule, Priority, Service

from .queueing_model import CallerRequest, FakeBackendServer, Timeline
from .queueing_nodes import BaselineNode, Node, decision_node

SLOTS = 12
CONNECTIONS = 130
SERVICE_MS = 50.0
SERVER_COUNT = 6
DATA_CENTRES = 3
REPORT_INTERVAL_MS = 1000.0
USUAL_LOAD = 0.5
TIMEOUTS_MS = {
    Priority.INTERACTIVE: 400.0,
    Priority.PAYMENT: 1000.0,
    Priority.BULK: 2000.0,
}
MIX = ((0.7, Priority.INTERACTIVE), (0.8, Priority.PAYMENT), (1.0, Priority.BULK))


@attrs.frozen
class Scenario:
    """What happens during a run.

    Attributes
    ----------
    name : str
        Name in the tables.
    load : float
        Arrivals as a multiple of the capacity of all backend servers.
    slowness : float
        Factor on the service times of the first backend server.
    error_ratio : float
        Share of fast errors of the first backend server.
    reports : str
        ``none``, ``true``, ``frozen`` or ``false``.
    usual_ms : float
        Time at the usual load, and without a fault, before it; not counted.
    duration_ms : float
        Modelled time that counts.
    node_count : int
        Nodes whose callers ask for the service; the first ones stand beside
        its backend servers.
    """

    name: str
    load: float
    slowness: float = 1.0
    error_ratio: float = 0.0
    reports: str = "none"
    usual_ms: float = 5000.0
    duration_ms: float = 10_000.0
    node_count: int = SERVER_COUNT


@attrs.frozen
class Policy:
    """How the nodes decide.

    Attributes
    ----------
    name : str
        Name in the tables.
    rule : str
        ``decisions`` or the rule of a baseline.
    retries : int
        Blind retries of a baseline.
    limiter : LimiterKind or None
        Limits of the decision code; None takes its default.
    discipline : Discipline
        Queue order of the decision code.
    throttled : bool
        Whether the decision code may throttle.
    """

    name: str
    rule: str
    retries: int = 0
    limiter: LimiterKind | None = None
    discipline: Discipline = Discipline.CONTROLLED_DELAY
    throttled: bool = True


@attrs.frozen
class Figures:
    """Figures of one run.

    Attributes
    ----------
    good_ratio : float
        Good answers within the deadline per request.
    capacity_ratio : float
        Good answers as a share of what the backend servers can serve.
    good_by_class : dict
        Share of good answers by class.
    p50_ms, p99_ms : float
        Latency of good answers at the caller's node.
    refusal_p99_ms : float
        Time until a refusal.
    late_ratio, error_ratio, refused_ratio : float
        Other results per request.
    attempts_ratio : float
        Attempts per request.
    """

    scenario: str
    policy: str
    load: float
    requests: int
    good_ratio: float
    capacity_ratio: float
    good_by_class: dict[str, float]
    p50_ms: float
    p99_ms: float
    refusal_p99_ms: float
    late_ratio: float
    error_ratio: float
    refused_ratio: float
    attempts_ratio: float


def make_servers(timeline: Timeline, scenario: Scenario, source: random.Random):
    """Return the backend servers, two in each data centre."""
    servers = []
    for number in range(SERVER_COUNT):
        key = EndpointKey("127.0.0.1", 9000 + number, 1)
        place = f"dc{number % DATA_CENTRES}"
        endpoint = Endpoint(key, "catalogue", f"i{number}", place, SLOTS)
        server = FakeBackendServer(
            timeline, endpoint, source, SERVICE_MS, CONNECTIONS - SLOTS
        )
        servers.append(server)
    timeline.at(scenario.usual_ms, begin_fault, servers[0], scenario)
    return servers


def begin_fault(server: FakeBackendServer, scenario: Scenario) -> None:
    """Make a backend server slow or faulty."""
    server.slowness = scenario.slowness
    server.error_ratio = scenario.error_ratio


def make_nodes(
    timeline, servers, scenario: Scenario, policy: Policy, source: random.Random
):
    """Return the nodes, spread evenly over the data centres."""
    service = Service("catalogue", limits=LimitRule(slots=SLOTS))
    nodes: list[Node] = []
    for number in range(scenario.node_count):
        place = f"dc{number % DATA_CENTRES}"
        node = BaselineNode(
            timeline, place, servers, source, policy.rule, policy.retries
        )
        if policy.rule == "decisions":
            options = {
                "limiter": policy.limiter,
                "discipline": policy.discipline,
                "allow_throttle": policy.throttled,
            }
            node = decision_node(node, f"i{number}", service, **options)
        nodes.append(node)
    return nodes


def run(scenario: Scenario, policy: Policy, seed: int = 1) -> Figures:
    """Run one scenario under one policy."""
    timeline = Timeline()
    servers = make_servers(timeline, scenario, random.Random(seed))
    nodes = make_nodes(timeline, servers, scenario, policy, random.Random(seed + 1))
    requests = schedule_requests(timeline, nodes, scenario, random.Random(seed + 2))
    schedule_reports(timeline, servers, nodes, scenario)
    timeline.run(
        scenario.usual_ms + scenario.duration_ms + max(TIMEOUTS_MS.values()) + 10
    )
    counted = [r for r in requests if r.arrived_ms >= scenario.usual_ms]
    return summarise(scenario, policy, counted)


def schedule_requests(timeline, nodes, scenario: Scenario, source: random.Random):
    """Schedule Poisson arrivals spread evenly over the nodes."""
    requests = []
    now_ms = 0.0
    end_ms = scenario.usual_ms + scenario.duration_ms
    while True:
        usual = now_ms < scenario.usual_ms
        load = USUAL_LOAD if usual else scenario.load
        now_ms += source.expovariate(load * SERVER_COUNT * SLOTS / SERVICE_MS)
        if now_ms >= end_ms:
            return requests
        drawn = source.random()
        priority = next(kind for bound, kind in MIX if drawn < bound)
        deadline_ms = now_ms + TIMEOUTS_MS[priority]
        idempotent = priority is not Priority.PAYMENT
        request = CallerRequest(now_ms, deadline_ms, priority, idempotent)
        requests.append(request)
        timeline.at(now_ms, source.choice(nodes).arrive, request)


def schedule_reports(timeline, servers, nodes, scenario: Scenario) -> None:
    """Schedule the load reports of the scenario, truthful or not."""
    if scenario.reports == "none":
        return

    def tell() -> None:
        for server in servers:
            report = _report(server, server is servers[0], scenario.reports)
            for node in nodes:
                node.report(report)
        if scenario.reports != "frozen":
            timeline.at(timeline.now_ms + REPORT_INTERVAL_MS, tell)

    timeline.at(1.0, tell)


def _report(server, first: bool, kind: str) -> LoadReport:
    key = server.endpoint.key
    if kind == "true":
        return LoadReport(key, server.load)
    if kind == "all_unhealthy":
        return LoadReport(key, 1.0, healthy=False)
    return LoadReport(key, 0.0 if first else 0.9)


def summarise(scenario: Scenario, policy: Policy, requests) -> Figures:
    """Return the figures of a finished run."""
    open_ones = [request for request in requests if not request.result]
    if open_ones:
        raise AssertionError(f"{len(open_ones)} requests were never answered")
    total = len(requests)
    by_result = {name: 0 for name in ("good", "late", "error", "refused")}
    for request in requests:
        by_result[request.result] += 1
    good = [r.ended_ms - r.arrived_ms for r in requests if r.result == "good"]
    refused = [r.ended_ms - r.arrived_ms for r in requests if r.result == "refused"]
    good_ratio = by_result["good"] / total
    return Figures(
        scenario=scenario.name,
        policy=policy.name,
        load=scenario.load,
        requests=total,
        good_ratio=good_ratio,
        capacity_ratio=good_ratio * scenario.load,
        good_by_class=_good_by_class(requests),
        p50_ms=percentile(good, 0.5),
        p99_ms=percentile(good, 0.99),
        refusal_p99_ms=percentile(refused, 0.99),
        late_ratio=by_result["late"] / total,
        error_ratio=by_result["error"] / total,
        refused_ratio=by_result["refused"] / total,
        attempts_ratio=sum(r.attempts for r in requests) / total,
    )


def _good_by_class(requests) -> dict[str, float]:
    shares = {}
    for priority in Priority:
        results = [r.result for r in requests if r.priority is priority]
        shares[priority.value] = results.count("good") / max(1, len(results))
    return shares


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by nearest rank; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
