import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, cast

import aiohttp
import attrs
import pytest
import pytest_asyncio
from aiohttp import web

from standins.backend_server import BackendServer
from standins.backend_settings import BackendServerSettings
from standins.log import LogStandIn
from standins.serving import Address, HttpServer
from standins.silent_proxy import SilentProxy


@pytest_asyncio.fixture
async def http() -> AsyncIterator[aiohttp.ClientSession]:
    timeout = aiohttp.ClientTimeout(total=30)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


@pytest_asyncio.fixture
async def log() -> AsyncIterator[LogStandIn]:
    stand_in = LogStandIn()
    await stand_in.start()
    yield stand_in
    await stand_in.close()


@attrs.define
class FakeNode:
    announcements: list[dict] = attrs.Factory(list)
    left: list[str] = attrs.Factory(list)
    safe: bool = False
    lease_ms: int = 60
    server: HttpServer | None = None

    @property
    def url(self) -> str:
        assert self.server is not None
        return self.server.address.url

    async def handle_announce(self, request: web.Request) -> web.Response:
        self.announcements.append(await request.json())
        return web.json_response({"lease_ms": self.lease_ms})

    async def handle_leave(self, request: web.Request) -> web.Response:
        self.left.append(request.match_info["incarnation"])
        return web.Response(status=202)

    async def handle_state(self, request: web.Request) -> web.Response:
        return web.json_response({"safe": self.safe})

    async def start(self, port: int = 0) -> None:
        app = web.Application()
        path = "/v1/backend-servers"
        app.router.add_post(path, self.handle_announce)
        app.router.add_post(path + "/{incarnation}/leave", self.handle_leave)
        app.router.add_get(path + "/{incarnation}", self.handle_state)
        self.server = HttpServer(app, Address("127.0.0.1", port))
        await self.server.start()


@pytest_asyncio.fixture
async def node() -> AsyncIterator[FakeNode]:
    fake = FakeNode()
    await fake.start()
    yield fake
    assert fake.server is not None
    await fake.server.close()


StartBackendServer = Callable[..., Awaitable[BackendServer]]


@pytest_asyncio.fixture
async def start_backend_server() -> AsyncIterator[StartBackendServer]:
    started: list[BackendServer] = []

    async def start(service: str = "catalogue", **settings: Any) -> BackendServer:
        server = BackendServer(BackendServerSettings(service=service, **settings))
        await server.start()
        started.append(server)
        return server

    yield start
    for server in started:
        await server.close()


async def _wait_until(condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def wait_until() -> Callable[..., Awaitable[None]]:
    return _wait_until


class EchoProtocol(asyncio.Protocol):
    def __init__(self, echo: "Echo") -> None:
        self.echo = echo

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.echo.open += 1

    def data_received(self, data: bytes) -> None:
        self.echo.received.extend(data)
        self.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.echo.open -= 1


class Echo:
    def __init__(self) -> None:
        self.received = bytearray()
        self.open = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: EchoProtocol(self), "127.0.0.1", 0
        )
        self.address = Address(*self.server.sockets[0].getsockname())


@pytest_asyncio.fixture
async def echo() -> AsyncIterator[Echo]:
    target = Echo()
    await target.start()
    yield target
    assert target.server is not None
    target.server.close()


@pytest_asyncio.fixture
async def proxy(echo: Echo) -> AsyncIterator[SilentProxy]:
    relay = SilentProxy(echo.address)
    await relay.start()
    yield relay
    await relay.close()


StartProcess = Callable[..., Awaitable[asyncio.subprocess.Process]]


@pytest_asyncio.fixture
async def start_process() -> AsyncIterator[StartProcess]:
    started: list[asyncio.subprocess.Process] = []

    async def start(module: str, *arguments: str) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", module),
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        started.append(process)
        return process

    yield start
    for process in started:
        if process.returncode is None:
            process.kill()
        await process.wait()
