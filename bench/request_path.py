"""Cost of the request path: paired calls with and without the node.

Usage:
  request_path [--requests N] [--rounds N] [--per-second RATE] [--profile FILE]
               [--against CHECKOUT] [--plain-collector] [--others N]
  request_path serve BACKEND_PORT TRAFFIC_PORT [--profile FILE]
               [--plain-collector] [--others N]

Options:
  --requests N        Calls of each way in one round. [default: 1500]
  --rounds N          Rounds; the ways take turns call by call. [default: 4]
  --per-second RATE   Calls a second, both ways together. [default: 300]
  --profile FILE      Write a cProfile of the node's process there.
  --against CHECKOUT  Compare with a node that runs the code of that checkout.
  --plain-collector   Leave Python's collector as it is; with --against, only
                      in the node compared with.
  --others N          Other backend servers in the nodes' directory. [default: 0]
"""

import asyncio
import cProfile
import gc
import signal
import sys
import time

import aiohttp
import attrs
import cattrs
import docopt
import orjson
import uvloop

from azurestep.balancing import Endpoint, EndpointKey
from azurestep.config.model import Configuration, Preset, Route, Service
from azurestep.environment import Environment
from azurestep.node.messages import DirectoryReady, TableReady
from azurestep.node.traffic import TrafficService
from azurestep.settings import Settings
from azurestep.traffic.directory import Directory
from azurestep.traffic.latency import LatencySummary
from azurestep.traffic.table import RoutingTable

from .fleet import HOST, Fleet, free_ports, wait_for_port
from .results import Machine, at_end, machine_facts, percentile, write_result

SERVICE = "catalogue"
OTHER_SERVICE = "search"
PATH = "/songs"
WARM_UP = 300
TARGET_MS = 0.76


@attrs.frozen
class Way:
    """Latency of the calls of one way, in ms."""

    p50_ms: float
    p90_ms: float
    p99_ms: float


@attrs.frozen
class NodeCost:
    """What one node spent.

    Attributes
    ----------
    added : LatencySummary
        Time added inside the node, by its own histogram.
    processor_us : float
        Processor time of the node's process for one call.
    """

    added: LatencySummary
    processor_us: float


@attrs.frozen
class RequestPath:
    """Result of the paired run.

    Attributes
    ----------
    direct, through : Way
        Calls to the backend server, and calls through the node.
    compared : Way or None
        Calls through the node compared with, in the same turns.
    direct_again : Way
        A second way without the node: how much two equal ways differ.
    added : LatencySummary
        Time added inside the node, by its own histogram.
    node_processor_us : float
        Processor time of the node's process for one call.
    node_compared : NodeCost or None
        What the node compared with told.
    target_ms : float
        Target for 99 in 100.
    """

    requests: int
    per_second: float
    direct: Way
    direct_again: Way
    through: Way
    added: LatencySummary
    node_processor_us: float
    target_ms: float
    machine: Machine
    compared: Way | None = None
    node_compared: NodeCost | None = None


def way_of(times_ms: list[float]) -> Way:
    """Return the percentiles of one way."""
    return Way(*(percentile(times_ms, share) for share in (0.5, 0.9, 0.99)))


def other_endpoints(count: int) -> tuple[Endpoint, ...]:
    """Return backend servers that no call goes to."""
    return tuple(
        Endpoint(
            EndpointKey(HOST, 1, number), OTHER_SERVICE, f"other-{number}", "dc-1", 12
        )
        for number in range(count)
    )


def tune_collector() -> None:
    """Keep what lives as long as the process out of the collector's passes.

    A trial that brought nothing in three runs; kept to be measured again.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(10_000, 10, 20)


async def serve(
    backend_port: int,
    traffic_port: int,
    others: int,
    profile: str | None,
    is_tuned: bool,
) -> None:
    """Run a node's traffic task until SIGTERM; print what it added."""
    _, *ports = free_ports(4)
    settings = Settings(
        "node-1", "dc-1", HOST, traffic_port, *ports, platform_url="http://127.0.0.1:1"
    )
    traffic = TrafficService(settings, Environment(), asyncio.Queue())
    traffic.set_loop(asyncio.get_running_loop())
    configuration = Configuration(
        1, "ordinary", [Service(SERVICE)], [Route("all", SERVICE)], [Preset("ordinary")]
    )
    endpoint = Endpoint(
        EndpointKey(HOST, backend_port, 1), SERVICE, "node-1", "dc-1", 12
    )
    traffic.inputs.put_nowait(TableReady(RoutingTable(1, configuration)))
    directory = Directory(
        {SERVICE: (endpoint,), OTHER_SERVICE: other_endpoints(others)},
        frozenset({SERVICE}),
    )
    traffic.inputs.put_nowait(DirectoryReady(directory))
    started_s = time.process_time()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    task = loop.create_task(traffic.start())
    if is_tuned:
        tune_collector()
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    await stop.wait()
    if profile:
        profiler.disable()
        profiler.dump_stats(profile)
    added = attrs.asdict(traffic.proxy.latency_summary())
    processor_s = time.process_time() - started_s
    print(orjson.dumps({"added": added, "processor_s": processor_s}).decode())
    await traffic.stop()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def call(session: aiohttp.ClientSession, url: str) -> float:
    """Send one call; return its time in ms."""
    started = time.perf_counter()
    async with session.get(url) as response:
        await response.read()
        response.raise_for_status()
    return (time.perf_counter() - started) * 1000


async def take_turns(
    urls: list[str], requests: int, per_second: float
) -> list[list[float]]:
    """Call each address in turn at a steady rate, on a connection of its own."""
    times: list[list[float]] = [[] for _ in urls]
    sessions = [aiohttp.ClientSession() for _ in urls]
    loop = asyncio.get_running_loop()
    pause_s = 1 / per_second
    due_s = loop.time()
    try:
        for number in range(requests * len(urls)):
            index = number % len(urls)
            due_s = max(due_s + pause_s, loop.time() - pause_s)
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            times[index].append(await call(sessions[index], urls[index]))
    finally:
        for session in sessions:
            await session.close()
    return times


@attrs.define
class Node:
    """A node's process and its traffic port."""

    process: asyncio.subprocess.Process
    port: int

    @property
    def url(self) -> str:
        """Address of the measured path through the node."""
        return f"http://{HOST}:{self.port}{PATH}"

    async def stop(self) -> NodeCost:
        """End the process; return what it told."""
        self.process.send_signal(signal.SIGTERM)
        output, _ = await self.process.communicate()
        said = orjson.loads(output.splitlines()[-1])
        added = cattrs.structure(said["added"], LatencySummary)
        return NodeCost(added, said["processor_s"] / added.count * 1_000_000)


async def start_node(
    backend_port: int, options: list[str], checkout: str | None = None
) -> Node:
    """Start a node with the code of a checkout, by default the present one."""
    (port,) = free_ports(1)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "bench.request_path", "serve"),
        *(str(backend_port), str(port), *options),
        stdout=asyncio.subprocess.PIPE,
        cwd=checkout,
    )
    await wait_for_port(port)
    return Node(process, port)


@attrs.frozen
class Load:
    """Calls of each way in a round, rounds, and calls a second of all ways."""

    requests: int
    rounds: int
    per_second: float


async def measure(
    load: Load,
    others: int,
    options: list[str],
    against: str | None,
) -> RequestPath:
    """Run the pairs; the options are those of the node, or the one compared with."""
    machine = machine_facts()
    async with Fleet() as fleet:
        (backend_port,) = free_ports(1)
        await fleet.start_lone_backend_server(SERVICE, "--port", str(backend_port))
        await wait_for_port(backend_port)
        shared = ["--others", str(others)]
        own = shared if against else [*shared, *options]
        nodes = [await start_node(backend_port, own)]
        if against is not None:
            nodes.append(await start_node(backend_port, [*shared, *options], against))
        direct = f"http://{HOST}:{backend_port}{PATH}"
        urls = [direct, direct, *(node.url for node in nodes)]
        await take_turns(urls, WARM_UP, load.per_second)
        times: list[list[float]] = [[] for _ in urls]
        for _ in range(load.rounds):
            for held, found in zip(
                times,
                await take_turns(urls, load.requests, load.per_second),
                strict=True,
            ):
                held.extend(found)
        costs = [await node.stop() for node in nodes]
    return RequestPath(
        load.requests * load.rounds,
        load.per_second,
        way_of(times[0]),
        way_of(times[1]),
        way_of(times[2]),
        costs[0].added,
        costs[0].processor_us,
        TARGET_MS,
        at_end(machine),
        way_of(times[3]) if against else None,
        costs[1] if against else None,
    )


def main() -> None:
    """Run the measurement, or the node's side of it, from the command line."""
    options = docopt.docopt(__doc__ or "")
    profile = options["--profile"]
    is_plain = bool(options["--plain-collector"])
    if options["serve"]:
        ports = int(options["BACKEND_PORT"]), int(options["TRAFFIC_PORT"])
        others = int(options["--others"])
        uvloop.run(serve(*ports, others, profile, not is_plain))
        return
    passed = ["--profile", profile] if profile else []
    passed += ["--plain-collector"] if is_plain else []
    against = options["--against"]
    load = Load(
        int(options["--requests"]),
        int(options["--rounds"]),
        float(options["--per-second"]),
    )
    result = uvloop.run(
        measure(
            load,
            int(options["--others"]),
            passed,
            against,
        )
    )
    if not passed and against is None and options["--others"] == "0":
        write_result("request_path", result)
    print(result)


if __name__ == "__main__":
    main()
