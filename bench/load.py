"""Callers: a steady rate of calls over the nodes of a mesh."""

import asyncio
from collections import Counter

import aiohttp

from .fleet import free_ports, wait_for_port
from .generator import HOST as MESH_HOST
from .mesh import Mesh

BACKEND_SERVERS = 3
SLOTS = 100
CONNECTIONS = 4000


async def start_backend_servers(mesh: Mesh) -> None:
    """Start the backend servers that every announced endpoint stands for."""
    ports = free_ports(BACKEND_SERVERS)
    for index, port in enumerate(ports):
        await mesh.fleet.start_lone_backend_server(
            f"server-{index}",
            "--port",
            str(port),
            "--slots",
            str(SLOTS),
            "--connections",
            str(CONNECTIONS),
        )
        await wait_for_port(port)
    mesh.backend_ports = ports


class Load:
    """Calls at a steady rate from the process of the measurement.

    Parameters
    ----------
    mesh : Mesh
        Nodes to call.
    calls_per_s : float
        Rate over the whole fleet.
    """

    def __init__(self, mesh: Mesh, calls_per_s: float) -> None:
        self.outcomes: Counter[str] = Counter()
        self._mesh = mesh
        self._pause_s = 1 / calls_per_s
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self, duration_s: float) -> None:
        """Send calls for some seconds and wait for the answers."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        sent = 0
        while loop.time() < start_s + duration_s:
            due = int((loop.time() - start_s) / self._pause_s)
            while sent < due:
                sent += 1
                task = loop.create_task(self._call())
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
            await asyncio.sleep(self._pause_s)
        await asyncio.gather(*self._calls)

    async def _call(self) -> None:
        place = self._mesh.random.choice(self._mesh.places)
        node = self._mesh.random.choice(self._mesh.nodes)
        url = f"{node.traffic_url}/{place.service}/interactive"
        try:
            async with self._mesh.session.get(
                url, headers={"Host": MESH_HOST}
            ) as response:
                await response.read()
                self.outcomes[str(response.status)] += 1
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.outcomes[type(error).__name__] += 1
