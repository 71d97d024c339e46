"""Pooled connections go silent under load: time until answers flow again.

Usage:
  silent_path
"""

import asyncio
import sys
import time

import aiohttp
import attrs
import docopt
import uvloop

from azurestep.balancing import Endpoint, EndpointKey
from azurestep.config.model import Configuration, Preset, Route, Service
from azurestep.environment import Environment
from azurestep.node.messages import DirectoryReady, TableReady
from azurestep.node.traffic import TrafficService
from azurestep.settings import Settings
from azurestep.traffic import hedge_policy
from azurestep.traffic.directory import Directory
from azurestep.traffic.table import RoutingTable
from standins.backend_server import BackendServer
from standins.backend_settings import BackendServerSettings
from standins.silent_proxy import Direction, Faults, SilentProxy

from .fleet import HOST, free_ports
from .results import Machine, at_end, machine_facts, write_result

SERVICE = Service("catalogue")
PER_SECOND = 100
BEFORE_S = 2.0
AFTER_S = 4.0
SLOW_MS = 500.0
NEVER_MS = 3_600_000.0


@attrs.frozen
class Recovery:
    """What callers saw after every pooled connection went silent.

    Attributes
    ----------
    requests, answered : int
        Requests sent after the fault, and those answered with 200.
    slowest_ms : float
        Longest time of an answered request.
    flowing_after_ms : float
        Time from the fault until the last request that took over 500 ms, or
        failed, was sent.
    payments_answered : int
        Payments answered, of ten sent after the fault.
    """

    requests: int
    answered: int
    slowest_ms: float
    flowing_after_ms: float
    payments_answered: int


@attrs.frozen
class SilentPath:
    """Result with hedging on a new connection, and without."""

    hedged: Recovery
    not_hedged: Recovery
    machine: Machine


@attrs.define
class Sample:
    """One request: when it was sent after the fault, and how it went."""

    sent_ms: float
    elapsed_ms: float
    status: int


async def start_traffic(port: int) -> tuple[TrafficService, "asyncio.Task[None]"]:
    """Start a node's traffic task in front of one backend server."""
    ports = free_ports(4)
    settings = Settings("node-1", "dc-1", HOST, *ports, platform_url="http://x:1")
    traffic = TrafficService(settings, Environment(), asyncio.Queue())
    traffic.set_loop(asyncio.get_running_loop())
    routes = [
        Route("all", SERVICE.name),
        Route("pay", SERVICE.name, path_prefix="/pay", idempotent=False),
    ]
    configuration = Configuration(1, "o", [SERVICE], routes, [Preset("o")])
    key = EndpointKey(HOST, port, 1)
    endpoints = (Endpoint(key, SERVICE.name, "node-1", "dc-1", 64),)
    directory = Directory({SERVICE.name: endpoints}, frozenset({SERVICE.name}))
    traffic.inputs.put_nowait(TableReady(RoutingTable(1, configuration)))
    traffic.inputs.put_nowait(DirectoryReady(directory))
    task = asyncio.create_task(traffic.start())
    await asyncio.wait_for(traffic.proxy.ready.wait(), 10)
    return traffic, task


async def call(
    session: aiohttp.ClientSession, method: str, url: str, zero_s: float
) -> Sample:
    """Send one request."""
    sent_s = time.perf_counter()
    status = 0
    try:
        async with session.request(method, url) as response:
            await response.read()
            status = response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        status = 0
    elapsed_ms = (time.perf_counter() - sent_s) * 1000
    return Sample((sent_s - zero_s) * 1000, elapsed_ms, status)


async def send_for(
    session: aiohttp.ClientSession, url: str, duration_s: float
) -> list[Sample]:
    """Send requests at a steady rate."""
    zero_s = time.perf_counter()
    tasks = []
    for number in range(int(duration_s * PER_SECOND)):
        await asyncio.sleep(max(0, zero_s + number / PER_SECOND - time.perf_counter()))
        tasks.append(asyncio.create_task(call(session, "GET", url, zero_s)))
    return list(await asyncio.gather(*tasks))


async def recover() -> Recovery:
    """Bring the fault about and watch the requests."""
    server = BackendServer(BackendServerSettings("catalogue", slots=64, delay_ms=40))
    await server.start()
    relay = SilentProxy(server.address)
    await relay.start()
    traffic, task = await start_traffic(relay.address.port)
    url = f"http://{HOST}:{traffic.settings.traffic_port}"
    async with aiohttp.ClientSession() as session:
        await send_for(session, f"{url}/songs", BEFORE_S)
        relay.set_faults(Faults(silent=Direction.BOTH))
        samples = await send_for(session, f"{url}/songs", AFTER_S)
        relay.set_faults(Faults(silent=Direction.BOTH))
        paid = [await call(session, "POST", f"{url}/pay", 0.0) for _ in range(10)]
    await traffic.stop()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await relay.close()
    await server.close()
    return recovery_of(samples, paid)


def recovery_of(samples: list[Sample], paid: list[Sample]) -> Recovery:
    """Sum up the requests after the fault."""
    answered = [s for s in samples if s.status == 200]
    slow = [s.sent_ms for s in samples if s.status != 200 or s.elapsed_ms > SLOW_MS]
    return Recovery(
        len(samples),
        len(answered),
        max((s.elapsed_ms for s in answered), default=0.0),
        max(slow, default=0.0),
        sum(s.status == 200 for s in paid),
    )


async def measure() -> SilentPath:
    """Measure with hedging, and without."""
    machine = machine_facts()
    hedged = await recover()
    bound_ms = hedge_policy.MIN_HEDGE_DELAY_MS
    hedge_policy.MIN_HEDGE_DELAY_MS = NEVER_MS
    try:
        not_hedged = await recover()
    finally:
        hedge_policy.MIN_HEDGE_DELAY_MS = bound_ms
    return SilentPath(hedged, not_hedged, at_end(machine))


def main() -> int:
    """Run the measurement from the command line."""
    docopt.docopt(__doc__ or "")
    result = uvloop.run(measure())
    write_result("silent_path", result)
    print(result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
