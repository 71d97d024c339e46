"""Backend servers that one crashing request takes down, with and without quarantine.

The decision code runs unchanged at several nodes that tell each other its
updates after a delay. Innocent requests run beside the crashing one and are
sent again by their callers when they fail.
"""

import random

import attrs

from azurestep.balancing import EndpointKey, Quarantine, QuarantineStatus

from .queueing_model import Timeline

POISON = 1
INNOCENTS = 300
NODES = 3
CRASH_MS = 5.0
RESTART_MS = 3000.0
GOSSIP_MS = 500.0
RESEND_MS = 1000.0
ARRIVAL_MS = 4.0
SERVICE_MS = 100.0
POISON_FROM_MS = 2000.0
HERD_FROM_MS = 15_000.0
HERD_SPREAD_MS = 300.0


@attrs.frozen
class QuarantinePolicy:
    """How the quarantine is set; ``crashes_to_refuse`` 0 means none."""

    name: str
    crashes_to_refuse: int
    check_coincidence: bool = True
    isolate: bool = True


@attrs.frozen
class QuarantineScenario:
    """What kills backend servers.

    Attributes
    ----------
    poison : bool
        Whether a caller sends a crashing request again and again.
    herd : int
        Backend servers that die of another cause at about the same time.
    servers : int
        Backend servers of the service.
    """

    name: str
    poison: bool
    herd: int
    servers: int = 6
    duration_ms: float = 30_000.0


@attrs.frozen
class QuarantineFigures:
    """Figures of one run."""

    scenario: str
    policy: str
    taken_down: int
    poison_refused: int
    false_positives: int
    innocent_sent: int
    innocent_failed_ratio: float


@attrs.define(eq=False)
class Run:
    """One attempt in flight."""

    fingerprint: int
    node: int
    done: bool = False


@attrs.define(eq=False)
class CrashingServer:
    """Backend server that a crashing request ends."""

    number: int
    incarnation: int = 1
    alive: bool = True
    running: list[Run] = attrs.field(factory=list)

    @property
    def key(self) -> EndpointKey:
        """Identity of the present life."""
        return EndpointKey("127.0.0.1", 9000 + self.number, self.incarnation)


class Trial:
    """One run of a scenario under a policy."""

    def __init__(
        self, scenario: QuarantineScenario, policy: QuarantinePolicy, seed: int
    ) -> None:
        self.scenario = scenario
        self.policy = policy
        self.timeline = Timeline()
        self.source = random.Random(seed)
        self.servers = [CrashingServer(number) for number in range(scenario.servers)]
        crashes_to_refuse = max(policy.crashes_to_refuse, 1)
        self.quarantines = [
            Quarantine(crashes_to_refuse, check_coincidence=policy.check_coincidence)
            for _ in range(NODES)
        ]
        self.taken_down = 0
        self.poison_refused = 0
        self.sent = 0
        self.failed = 0
        self.refused_innocents: set[int] = set()

    def run(self) -> QuarantineFigures:
        """Run to the end and return the figures."""
        timeline = self.timeline
        timeline.at(0.0, self._arrive)
        if self.scenario.poison:
            timeline.at(POISON_FROM_MS, self._send_poison)
        for number in range(self.scenario.herd):
            spread_ms = HERD_SPREAD_MS * self.source.random()
            timeline.at(HERD_FROM_MS + spread_ms, self._die, self.servers[number], True)
        timeline.run(self.scenario.duration_ms)
        return QuarantineFigures(
            self.scenario.name,
            self.policy.name,
            self.taken_down,
            self.poison_refused,
            len(self.refused_innocents),
            self.sent,
            self.failed / max(1, self.sent),
        )

    def _arrive(self) -> None:
        delay_ms = self.source.expovariate(1 / ARRIVAL_MS)
        self.timeline.at(self.timeline.now_ms + delay_ms, self._arrive)
        self._send(100 + self.source.randrange(INNOCENTS))

    def _send_poison(self) -> None:
        self.timeline.at(self.timeline.now_ms + RESEND_MS, self._send_poison)
        self._send(POISON)

    def _send(self, fingerprint: int) -> None:
        now_ms = self.timeline.now_ms
        node = self.source.randrange(NODES)
        self.sent += fingerprint != POISON
        quarantine = self.quarantines[node]
        avoid: tuple[EndpointKey, ...] = ()
        if self.policy.crashes_to_refuse and quarantine.active:
            standing = quarantine.status_of(fingerprint, now_ms)
            if standing is QuarantineStatus.REFUSED:
                self._refuse(fingerprint)
                return
            if standing is QuarantineStatus.SUSPECT and self.policy.isolate:
                avoid = quarantine.servers_with_suspects(now_ms)
        alive = [s for s in self.servers if s.alive and s.key not in avoid]
        if not alive:
            self._fail(fingerprint)
            return
        self._start(self.source.choice(alive), Run(fingerprint, node))

    def _refuse(self, fingerprint: int) -> None:
        if fingerprint == POISON:
            self.poison_refused += 1
            return
        self.refused_innocents.add(fingerprint)
        self.failed += 1

    def _fail(self, fingerprint: int) -> None:
        if fingerprint == POISON:
            return
        self.failed += 1
        again_ms = self.timeline.now_ms + RESEND_MS * self.source.random()
        self.timeline.at(again_ms, self._send, fingerprint)

    def _start(self, server: CrashingServer, run: Run) -> None:
        now_ms = self.timeline.now_ms
        server.running.append(run)
        self.quarantines[run.node].record_start(run.fingerprint, server.key, now_ms)
        if run.fingerprint == POISON:
            self.timeline.at(now_ms + CRASH_MS, self._crash, server, server.key)
            return
        duration_ms = self.source.expovariate(1 / SERVICE_MS)
        self.timeline.at(now_ms + duration_ms, self._answer, server, server.key, run)

    def _answer(self, server: CrashingServer, key: EndpointKey, run: Run) -> None:
        if run.done:
            return
        run.done = True
        server.running.remove(run)
        now_ms = self.timeline.now_ms
        self.quarantines[run.node].record_answer(run.fingerprint, key, now_ms)

    def _crash(self, server: CrashingServer, key: EndpointKey) -> None:
        if server.alive and server.key == key:
            self.taken_down += 1
            self._die(server, False)

    def _die(self, server: CrashingServer, of_other_cause: bool) -> None:
        if not server.alive:
            return
        now_ms = self.timeline.now_ms
        server.alive = False
        lost, server.running = server.running, []
        for run in lost:
            run.done = True
            self.quarantines[run.node].record_loss(run.fingerprint, server.key, now_ms)
            self._fail(run.fingerprint)
        self._confirm(server.key)
        self.timeline.at(now_ms + RESTART_MS, self._restart, server)

    def _confirm(self, key: EndpointKey) -> None:
        now_ms = self.timeline.now_ms
        for node, quarantine in enumerate(self.quarantines):
            news = quarantine.record_crash(key, now_ms, self.scenario.servers)
            if news:
                self.timeline.at(now_ms + GOSSIP_MS, self._gossip, node, news)

    def _gossip(self, sender: int, news) -> None:
        for node, quarantine in enumerate(self.quarantines):
            if node != sender:
                quarantine.merge(news, self.timeline.now_ms, self.scenario.servers)

    def _restart(self, server: CrashingServer) -> None:
        server.incarnation += 1
        server.alive = True


POLICIES = [
    QuarantinePolicy("none", 0),
    QuarantinePolicy("K=1, no chance weighed", 1, check_coincidence=False),
    QuarantinePolicy("K=2, plain", 2, check_coincidence=False, isolate=False),
    QuarantinePolicy("K=2, chance weighed", 2, isolate=False),
    QuarantinePolicy("K=2, chance and isolation", 2),
    QuarantinePolicy("K=3, chance and isolation", 3),
]
SCENARIOS = [
    QuarantineScenario("one crashing request", poison=True, herd=0),
    QuarantineScenario("half of the servers die", poison=False, herd=3),
    QuarantineScenario("both", poison=True, herd=3),
]


def table(seeds: int = 5) -> list[QuarantineFigures]:
    """Measure all policies; counts are sums over the seeds."""
    rows = []
    for scenario in SCENARIOS:
        for policy in POLICIES:
            runs = [Trial(scenario, policy, seed).run() for seed in range(seeds)]
            rows.append(_sum(runs))
    return rows


def _sum(runs: list[QuarantineFigures]) -> QuarantineFigures:
    sent = sum(run.innocent_sent for run in runs)
    failed = sum(run.innocent_failed_ratio * run.innocent_sent for run in runs)
    return attrs.evolve(
        runs[0],
        taken_down=sum(run.taken_down for run in runs),
        poison_refused=sum(run.poison_refused for run in runs),
        false_positives=sum(run.false_positives for run in runs),
        innocent_sent=sent,
        innocent_failed_ratio=failed / max(1, sent),
    )
