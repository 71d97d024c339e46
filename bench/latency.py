"""Time that a node adds to a call, by paired runs with and without it."""

import asyncio
import time

import aiohttp
import attrs

from azurestep.operations.node_client import NodeClient

from .fleet import Fleet, NodeProcess, free_ports, wait_for_port
from .generator import HOST as MESH_HOST
from .generator import service_name
from .probes import process_use
from .publishing import Operator
from .results import Machine, at_end, machine_facts, percentile, write_result

RATES = (50.0, 132.0, 264.0, 528.0)
DURATION_S = 8.0
ROUNDS = 3
WARM_UP_S = 3.0
READY_S = 15.0


@attrs.frozen
class Pair:
    """Calls at one rate, straight to the backend server and through a node.

    Attributes
    ----------
    calls_per_s : float
        Rate at the node.
    calls, failed : int
        Calls sent in the rounds of each kind, and those not answered by 200.
    direct_p50_ms, direct_p99_ms, node_p50_ms, node_p99_ms : float
        Latency at the caller; the median over the rounds.
    added_p50_ms, added_p99_ms : float
        Median over the rounds of the difference between the percentiles.
    processor_ms_per_call : float
        Processor time of the node for one call, its idle use taken off.
    resident_mb : float
        Resident memory of the node at the end.
    """

    calls_per_s: float
    calls: int
    failed: int
    direct_p50_ms: float
    direct_p99_ms: float
    node_p50_ms: float
    node_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    processor_ms_per_call: float
    resident_mb: float


@attrs.frozen
class Latency:
    """All rates."""

    machine: Machine
    pairs: list[Pair]


class Caller:
    """Sends calls at a steady rate and keeps their latency."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.latencies_ms: list[float] = []
        self.failed = 0
        self._session = session
        self._url = f"{url}/{service_name(0)}/interactive"

    async def run(self, calls_per_s: float, duration_s: float) -> None:
        """Send calls for some seconds and wait for the answers."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for index in range(int(calls_per_s * duration_s)):
                pause_s = start_s + index / calls_per_s - loop.time()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                group.create_task(self._call())

    async def _call(self) -> None:
        started_s = time.perf_counter()
        try:
            async with self._session.get(
                self._url, headers={"Host": MESH_HOST}
            ) as response:
                await response.read()
                is_answered = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            is_answered = False
        if not is_answered:
            self.failed += 1
            return
        self.latencies_ms.append((time.perf_counter() - started_s) * 1000)


@attrs.frozen
class Stage:
    """Processes under measurement."""

    session: aiohttp.ClientSession
    node: NodeProcess
    server_url: str
    idle_ratio: float


async def measure(stage: Stage, calls_per_s: float) -> Pair:
    """Run rounds of direct calls and calls through the node in turn."""
    pid = stage.node.process.process.pid
    direct: list[Caller] = []
    through: list[Caller] = []
    used_s = 0.0
    for _ in range(ROUNDS):
        direct.append(Caller(stage.session, stage.server_url))
        await direct[-1].run(calls_per_s, DURATION_S)
        before = process_use(pid)
        through.append(Caller(stage.session, stage.node.traffic_url))
        await through[-1].run(calls_per_s, DURATION_S)
        used_s += process_use(pid).processor_s - before.processor_s
    calls = int(calls_per_s * DURATION_S) * ROUNDS
    used_s -= stage.idle_ratio * DURATION_S * ROUNDS
    return Pair(
        calls_per_s,
        calls,
        sum(caller.failed for caller in (*direct, *through)),
        *(_middle(_each(direct, share)) for share in (0.5, 0.99)),
        *(_middle(_each(through, share)) for share in (0.5, 0.99)),
        *(_middle(_added(direct, through, share)) for share in (0.5, 0.99)),
        used_s * 1000 / calls,
        process_use(pid).resident_mb,
    )


def _each(callers: list[Caller], share: float) -> list[float]:
    return [percentile(caller.latencies_ms, share) for caller in callers]


def _added(direct: list[Caller], through: list[Caller], share: float) -> list[float]:
    pairs = zip(_each(direct, share), _each(through, share), strict=True)
    return [with_node - without for without, with_node in pairs]


def _middle(values: list[float]) -> float:
    return percentile(values, 0.5)


async def _start(fleet: Fleet, session: aiohttp.ClientSession) -> Stage:
    await fleet.start_log()
    await Operator(session, fleet.log_url, 1).publish_first()
    node = await fleet.start_node("dc-1-000", "dc-1", [])
    (port,) = free_ports(1)
    await fleet.start_backend_server(
        "server", service_name(0), node, "--port", str(port), "--slots", "100"
    )
    await wait_for_port(port)
    client = NodeClient(session, node.operator_url)
    async with asyncio.timeout(READY_S):
        while not any(m.servers for m in (await client.status()).members):
            await asyncio.sleep(0.1)
    await asyncio.sleep(WARM_UP_S)
    pid = node.process.process.pid
    before = process_use(pid)
    await asyncio.sleep(DURATION_S)
    idle = (process_use(pid).processor_s - before.processor_s) / DURATION_S
    url = f"http://{node.settings.host}:{port}"
    return Stage(session, node, url, idle)


async def run() -> None:
    """Measure all rates and write the result."""
    machine = machine_facts()
    pairs: list[Pair] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with Fleet() as fleet, aiohttp.ClientSession(connector=connector) as session:
        stage = await _start(fleet, session)
        await Caller(session, stage.node.traffic_url).run(100, WARM_UP_S)
        for rate in RATES:
            pair = await measure(stage, rate)
            pairs.append(pair)
            print(
                f"  {rate:5.0f} calls/s: direct p50 {pair.direct_p50_ms:.2f} p99 "
                f"{pair.direct_p99_ms:.2f} ms, added p50 {pair.added_p50_ms:.2f} p99 "
                f"{pair.added_p99_ms:.2f} ms, {pair.processor_ms_per_call:.3f} ms of "
                f"processor a call, failed {pair.failed} of {2 * pair.calls}",
                flush=True,
            )
        write_result("latency", Latency(at_end(machine), pairs))
