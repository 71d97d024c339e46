import asyncio
import io
import pathlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import attrs
import orjson
import pytest
import pytest_asyncio
from aiohttp import web

from azurestep.config.fold import ConfigurationFold
from azurestep.config.records import STREAM, entries_of
from azurestep.control.updates import DataCentreReport
from azurestep.core import main
from azurestep.environment import Environment
from azurestep.node.messages import NodeStatus
from azurestep.output.writer import CONVERTER
from azurestep.platform.client import LogClient
from azurestep.status import ExitStatus
from standins.log import LogStandIn
from standins.serving import Address, HttpServer

EXAMPLE = pathlib.Path(__file__).parents[1] / "examples/riddim/configuration.json"


@attrs.frozen
class CommandResult:
    status: ExitStatus
    stdout: str
    stderr: str

    @property
    def json(self) -> Any:
        return orjson.loads(self.stdout)


RunCommand = Callable[..., CommandResult]


def _run_command(*arguments: object, **variables: str) -> CommandResult:
    environment = Environment(
        stdin=io.StringIO(),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        variables=variables,
    )
    status = main([str(argument) for argument in arguments], environment)
    return CommandResult(
        status,
        environment.stdout.getvalue(),  # type: ignore[attr-defined]
        environment.stderr.getvalue(),  # type: ignore[attr-defined]
    )


@pytest.fixture
def run_command() -> RunCommand:
    return _run_command


@attrs.define
class FakeFleet:
    log: LogStandIn
    client: LogClient
    fold: ConfigurationFold = attrs.field(factory=ConfigurationFold)
    missing: list[str] = attrs.field(factory=list)
    frozen: bool = False
    drained: bool = False
    server: HttpServer | None = None

    async def follow(self) -> None:
        page = (await self.client.read(STREAM, self.fold.next_offset)).unwrap()
        self.fold.apply_page(page)

    async def handle_status(self, request: web.Request) -> web.Response:
        if not self.frozen:
            await self.follow()
        state = self.fold.state
        digest = state.document.hash
        report = DataCentreReport(
            "kgn1",
            1,
            "a",
            state.version,
            digest,
            2,
            2 - len(self.missing),
            self.missing,
            1,
            2,
        )
        status = NodeStatus(
            "a",
            "kgn1",
            state.version,
            digest.hex(),
            state.as_of,
            "",
            True,
            True,
            0,
            [],
            [report],
        )
        return web.json_response(CONVERTER.unstructure(status))

    async def handle_configuration(self, request: web.Request) -> web.Response:
        if not self.frozen:
            await self.follow()
        state = self.fold.state
        return web.json_response(
            {
                "version": state.version,
                "as_of": state.as_of,
                "hash": state.document.hash.hex(),
                "entries": CONVERTER.unstructure(entries_of(state.document)),
            }
        )

    async def handle_drain(self, request: web.Request) -> web.Response:
        self.drained = True
        return web.json_response({"draining": True}, status=202)

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/v1/status", self.handle_status)
        app.router.add_get("/v1/configuration", self.handle_configuration)
        app.router.add_post("/v1/drain", self.handle_drain)
        self.server = HttpServer(app, Address("127.0.0.1", 0))
        await self.server.start()

    @property
    def variables(self) -> dict[str, str]:
        assert self.server is not None
        return {
            "AZURESTEP_NODE": self.server.address.url,
            "AZURESTEP_PLATFORM": self.log.url,
            "AZURESTEP_OPERATOR": "ana",
        }

    async def run(self, *arguments: object, **variables: str) -> CommandResult:
        return await asyncio.to_thread(
            _run_command, *arguments, **{**self.variables, **variables}
        )


@pytest_asyncio.fixture
async def fleet(
    log: LogStandIn, http: aiohttp.ClientSession
) -> AsyncIterator[FakeFleet]:
    fake = FakeFleet(log, LogClient(http, log.url, Environment()))
    await fake.start()
    yield fake
    assert fake.server is not None
    await fake.server.close()


WriteConfiguration = Callable[..., pathlib.Path]


@pytest.fixture
def write_configuration(tmp_path: pathlib.Path) -> WriteConfiguration:
    def write(**changes: Any) -> pathlib.Path:
        plain = orjson.loads(EXAMPLE.read_bytes())
        plain.update(changes)
        path = tmp_path / "configuration.json"
        path.write_bytes(orjson.dumps(plain))
        return path

    return write
