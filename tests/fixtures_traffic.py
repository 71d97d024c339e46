import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest
import pytest_asyncio

from azurestep.balancing import Endpoint, EndpointKey
from azurestep.config.model import (
    Configuration,
    LimitRule,
    Preset,
    RetryRule,
    Route,
    SelectionRule,
    Service,
)
from azurestep.environment import Environment
from azurestep.node.messages import DirectoryReady, TableReady
from azurestep.node.traffic import TrafficService
from azurestep.settings import Settings
from azurestep.traffic.directory import Directory
from azurestep.traffic.table import RoutingTable
from bench.fleet import free_ports

SERVICE = Service(
    "catalogue",
    timeout_ms=10_000,
    retry=RetryRule(max_attempts=3, budget_ratio=0.1),
    limits=LimitRule(slots=12),
    selection=SelectionRule(ramp_up_ms=0, ejection_ratio=0.0),
)
ROUTES = [
    Route("all", "catalogue"),
    Route("pay", "catalogue", path_prefix="/pay", idempotent=False),
]


@attrs.define
class TrafficRig:
    """A node's traffic service with given backend servers."""

    traffic: TrafficService
    endpoints: list[Endpoint] = attrs.Factory(list)

    @property
    def url(self) -> str:
        settings = self.traffic.settings
        return f"http://{settings.host}:{settings.traffic_port}"

    @property
    def port(self) -> int:
        return self.traffic.settings.traffic_port

    def put_table(self, service: Service = SERVICE, version: int = 1) -> None:
        configuration = Configuration(
            1, "ordinary", [service], ROUTES, [Preset("ordinary")]
        )
        table = RoutingTable(version, configuration)
        self.traffic.inputs.put_nowait(TableReady(table))

    def put_ports(self, *ports: int, instance: str = "other") -> None:
        """Set the service's backend servers to these ports."""
        self.endpoints = [
            Endpoint(
                EndpointKey("127.0.0.1", port, 1), "catalogue", instance, "dc1", 12
            )
            for port in ports
        ]
        self.put_endpoints()

    def put_endpoints(self) -> None:
        directory = Directory(
            {"catalogue": tuple(self.endpoints)}, frozenset({"catalogue"})
        )
        self.traffic.inputs.put_nowait(DirectoryReady(directory))


StartTraffic = Callable[..., Awaitable[TrafficRig]]


@pytest_asyncio.fixture
async def start_traffic() -> AsyncIterator[StartTraffic]:
    started: list[tuple[TrafficService, asyncio.Task[None]]] = []

    async def start(*ports: int, service: Service = SERVICE) -> TrafficRig:
        settings = Settings(
            "node-1",
            "dc1",
            "127.0.0.1",
            *free_ports(4),
            platform_url="http://127.0.0.1:1",
        )
        traffic = TrafficService(settings, Environment(), asyncio.Queue())
        traffic.set_loop(asyncio.get_running_loop())
        task = asyncio.create_task(traffic.start())
        started.append((traffic, task))
        await asyncio.wait_for(traffic.start_event.wait(), 10)
        rig = TrafficRig(traffic)
        if ports:
            rig.put_table(service)
            rig.put_ports(*ports)
            await asyncio.wait_for(traffic.proxy.ready.wait(), 10)
        return rig

    yield start
    for traffic, task in started:
        await traffic.stop()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@attrs.define
class RawServer:
    """A backend server that answers with scripted bytes.

    Each connection runs the next script; ``None`` closes the connection, a
    ``float`` waits that many seconds.
    """

    scripts: list[list[bytes | float | None]]
    requests: list[bytes] = attrs.Factory(list)
    connections: int = 0
    disconnects: int = 0
    server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        assert self.server is not None
        return self.server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        script = self.scripts.pop(0) if self.scripts else []
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            for step in script:
                if isinstance(step, bytes):
                    writer.write(step)
                    await writer.drain()
                elif step is None:
                    return
                else:
                    await asyncio.sleep(step)
            await reader.read()
            self.disconnects += 1
        except (OSError, asyncio.IncompleteReadError):
            self.disconnects += 1
        finally:
            writer.close()

    async def close(self) -> None:
        assert self.server is not None
        self.server.close()


StartRawServer = Callable[..., Awaitable[RawServer]]


@pytest_asyncio.fixture
async def start_raw_server() -> AsyncIterator[StartRawServer]:
    started: list[RawServer] = []

    async def start(*scripts: list[bytes | float | None]) -> RawServer:
        server = RawServer(list(scripts))
        await server.start()
        started.append(server)
        return server

    yield start
    for server in started:
        await server.close()


RawCall = Callable[[int, bytes], Awaitable[bytes]]


@pytest.fixture
def raw_call() -> RawCall:
    """Send bytes on a new connection; return everything received."""

    async def call(port: int, request: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        try:
            return await asyncio.wait_for(reader.read(), 20)
        finally:
            writer.close()

    return call
