"""Fixtures that run a fleet of nodes on loopback with stand-ins for the platform."""

import asyncio
import os
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import attrs
import orjson
import pytest
import pytest_asyncio
from aiohttp import ClientSession, web

from azurestep.mesh import events
from azurestep.mesh.node import Node
from azurestep.mesh.runtime import Runtime
from azurestep.mesh.settings import MeshSettings
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from standins.signing_server import SigningServer
from standins.store import StoreStandIn, Trouble

CALLER_PORT, PEER_PORT, READY_PORT, ANNOUNCE_PORT = 7101, 7102, 7103, 7104
METRICS_PORT, BACKEND_PORT, STORE_PORT = 7105, 7106, 7107
NETWORK = f"127.{16 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
"""Loopback network of this process, so that test processes can run in parallel."""
STORE_HOST = f"{NETWORK}.250"


def document(version: int, **changes: object) -> bytes:
    """Return a configuration document with a read route and a payment route."""
    common = {"host": "shop.example", "max_attempts": 2, "aim": "400ms"}
    routes = {
        "read": {
            **common,
            "path_prefix": "/read/",
            "route_kind": "safe",
            "timeout": "1200ms",
            "priority": 2,
            "service": "shop",
        },
        "pay": {
            **common,
            "path_prefix": "/pay/",
            "route_kind": "unsafe",
            "timeout": "1500ms",
            "priority": 1,
            "service": "shop",
        },
    }
    fields = {
        "version": version,
        "routes": routes,
        "services": {"shop": {"health_check_path": "/health", "connection_limit": 130}},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4_000_000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    fields.update(changes)
    return orjson.dumps(fields)


def large_document(version: int, size_bytes: int) -> bytes:
    """Return a valid document of about a size, whose routes have random names."""
    routes = {}
    size = 0
    while size < size_bytes:
        name = os.urandom(8).hex()
        routes[name] = {
            "host": "shop.example",
            "path_prefix": f"/{name}/",
            "route_kind": "safe",
            "timeout": "1200ms",
            "max_attempts": 2,
            "service": "shop",
        }
        size += len(name) + len(orjson.dumps(routes[name]))
    return document(version, routes=routes)


@attrs.define
class MeshInstance:
    """One instance with its node and backend server."""

    host: str
    node: Node
    server: SigningServer
    task: asyncio.Task[None] | None = None
    beats: int = 0
    version: str = "v1"
    service: str = "shop"

    def url(self, path: str) -> str:
        """Return the URL of a path for callers of this instance."""
        return f"http://{self.host}:{CALLER_PORT}{path}"

    async def beat(self, session: ClientSession, state: str = "ready") -> int:
        """Send a heartbeat of the backend server."""
        self.beats += 1
        body = {
            "address": f"{self.host}:{BACKEND_PORT}",
            "information": {
                "service": self.service,
                "version": self.version,
                "zone": "dc-0",
                "slots": 4,
            },
            "status": {
                "state": state,
                "sequence": self.beats,
                "cold_remaining": "0ms",
            },
        }
        name = self.server.instance_id
        address = f"http://{self.host}:{ANNOUNCE_PORT}/v1/instances/{name}/heartbeat"
        async with session.post(address, json=body) as answer:
            return answer.status


@attrs.define
class MeshFleet:
    """Several instances and a store."""

    store: StoreStandIn
    session: ClientSession
    path: pathlib.Path
    instances: list[MeshInstance] = attrs.field(factory=list)
    counts_former_runs: bool = False
    link_mbps: dict[int, float] = attrs.field(factory=dict)

    async def add(
        self, index: int, version: str = "v1", service: str = "shop"
    ) -> MeshInstance:
        """Start an instance whose backend server has a service and a version."""
        host = f"{NETWORK}.{index}"
        server = SigningServer(f"i-{index}")
        await server.start(host, BACKEND_PORT)
        node = self._node(host, index, service=service)
        instance = MeshInstance(host, node, server, version=version, service=service)
        self.start_node(instance)
        self.instances.append(instance)
        return instance

    def new_node(self, instance: MeshInstance) -> Node:
        """Return a new node for an instance, as after a crash."""
        index = int(instance.host.rpartition(".")[2])
        return self._node(
            instance.host, index, first_start=False, service=instance.service
        )

    def start_node(self, instance: MeshInstance) -> None:
        """Start the node of an instance."""
        instance.task = asyncio.create_task(instance.node.run())

    async def wait_until_connected(self) -> None:
        """Wait until all nodes know the configuration and all backend servers."""
        for instance in self.instances:
            await instance.node.listening.wait()
            await instance.beat(self.session)
        async with asyncio.timeout(10):
            while not all(self._knows_all(item.node) for item in self.instances):
                await asyncio.sleep(0.02)

    async def get(
        self,
        instance: MeshInstance,
        path: str,
        request_id: str,
        remaining_ms: int = 2000,
    ) -> tuple[int, bytes]:
        """Send a GET request as a caller."""
        async with self.session.get(
            instance.url(path), headers=caller_headers(request_id, remaining_ms)
        ) as answer:
            return answer.status, await answer.read()

    async def stop(self) -> None:
        """Stop all nodes and backend servers."""
        for instance in self.instances:
            if instance.task is not None:
                instance.task.cancel()
            instance.node.abort()
            await instance.server.stop()

    def _knows_all(self, node: Node) -> bool:
        endpoints = node.members.endpoints("shop")
        opened = sum(1 for endpoint in endpoints if endpoint.open)
        return bool(node.configuration.version) and opened == len(self.instances)

    def _node(
        self, host: str, index: int, first_start: bool = True, service: str = "shop"
    ) -> Node:
        settings = MeshSettings(
            instance=f"node-{index}",
            data_centre=f"dc-{index % 2}",
            service=service,
            first_start=first_start,
            caller_address=(host, CALLER_PORT),
            peer_address=(host, PEER_PORT),
            ready_address=(host, READY_PORT),
            announce_address=(host, ANNOUNCE_PORT),
            metrics_address=(host, METRICS_PORT),
            backend_address=(host, BACKEND_PORT),
            store_address=(STORE_HOST, STORE_PORT),
            counts_former_runs=self.counts_former_runs,
            link_mbps=self.link_mbps.get(index, 0.0),
        )
        return Node(settings, self.path, Runtime(asyncio.get_running_loop()))


def caller_headers(request_id: str, remaining_ms: int = 2000) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": "shop.example",
        "Attempt-Id": request_id,
        "Deadline-Milliseconds": str(remaining_ms),
    }


@pytest_asyncio.fixture
async def mesh_store() -> AsyncIterator[StoreStandIn]:
    """Run a stand-in for the store with an initial configuration."""
    store = StoreStandIn(era=1)
    store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(3))
    runner = web.AppRunner(store.application(), shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, STORE_HOST, STORE_PORT).start()
    yield store
    store.trouble = Trouble.NONE
    await runner.cleanup()


@pytest_asyncio.fixture
async def mesh(
    mesh_store: StoreStandIn, tmp_path: pathlib.Path
) -> AsyncIterator[MeshFleet]:
    """Run three connected instances."""
    async with ClientSession() as session:
        mesh = MeshFleet(mesh_store, session, tmp_path / "settings.json")
        for index in (1, 2, 3):
            await mesh.add(index)
        await mesh.wait_until_connected()
        yield mesh
        await mesh.stop()


class MeshLines:
    """Reads the log lines that nodes wrote since the last read."""

    def __init__(self, capfd: pytest.CaptureFixture[str]) -> None:
        self._capfd = capfd

    def of(self, *numbers: int) -> list[dict[str, Any]]:
        events.WRITER.flush()
        texts = self._capfd.readouterr().out.splitlines()
        lines = [orjson.loads(text) for text in texts if text.startswith("{")]
        return [line for line in lines if line["event"] in numbers]


@pytest.fixture
def mesh_lines(capfd: pytest.CaptureFixture[str]) -> MeshLines:
    """Return a reader of the log lines of the nodes."""
    return MeshLines(capfd)
