import asyncio
import re
from collections.abc import Coroutine, Iterator
from typing import Any

import aiohttp
import attrs
import pytest
import uuid6
import uvloop

from azurestep.config.fold import Accepted, ConfigurationFold, Refused
from azurestep.config.records import STREAM
from azurestep.environment import Environment
from azurestep.node.messages import NodeStatus
from azurestep.operations.node_client import NodeClient
from azurestep.operations.publisher import Publisher, Verdict
from azurestep.platform.client import LogClient
from azurestep.settings import Address
from bench.deployment import load_configuration
from bench.fleet import Fleet, NodeProcess, Process, wait_for_port

EXAMPLE = "riddim"
HOST = "vault.riddim.example"
DEADLINE_MS = 30_000
READY_LINE = re.compile(r'"port":\s*(\d+)')


@attrs.frozen
class Answer:
    status: int
    outcome: str
    retry_after_ms: float
    body: bytes


@attrs.define
class ScenarioContext:
    runner: asyncio.Runner
    fleet: Fleet
    session: aiohttp.ClientSession
    environment: Environment = attrs.field(factory=Environment)
    servers: list[Process] = attrs.field(factory=list)
    verdicts: list[Verdict] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)
    answers: list[Answer] = attrs.field(factory=list)
    key: str = ""
    delay_ms: int = 0
    seen_versions: dict[str, list[int]] = attrs.field(factory=dict)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.runner.run(work)

    @property
    def nodes(self) -> list[NodeProcess]:
        return [n for n in self.fleet.nodes if n.process.process.returncode is None]

    def node_of(self, data_centre: int) -> NodeProcess:
        name = f"dc-{data_centre}"
        return next(n for n in self.nodes if n.settings.data_centre == name)

    def clients(self) -> list[NodeClient]:
        return [NodeClient(self.session, node.operator_url) for node in self.nodes]

    def publisher(self, operator: str) -> Publisher:
        log = LogClient(self.session, self.fleet.log_url, self.environment)
        return Publisher(log, self.clients()[0], self.environment, operator)

    def deadline_ms(self) -> float:
        return self.environment.clock.monotonic_ms() + DEADLINE_MS

    async def statuses(self) -> list[NodeStatus]:
        return [await client.status() for client in self.clients()]

    async def start(self, services: list[str]) -> None:
        await self.fleet.start_log()
        seeds: list[Address] = []
        for number, service in enumerate(services, start=1):
            node = await self.fleet.start_node(f"i-{number}", f"dc-{number}", seeds[:])
            seeds.append(Address(node.settings.host, node.settings.control_port))
            server = await self.fleet.start_backend_server(
                f"server-{number}", service, node
            )
            self.servers.append(server)
        await self.wait_until(lambda states: all(_is_joined(s, states) for s in states))

    async def wait_until(self, holds: Any) -> None:
        deadline_ms = self.deadline_ms()
        while not holds(await self.statuses()):
            assert self.environment.clock.monotonic_ms() < deadline_ms
            await asyncio.sleep(0.05)

    async def publish_example(self, operator: str) -> None:
        target = load_configuration(EXAMPLE)
        result = await self.publisher(operator).publish_document(
            target, self.deadline_ms()
        )
        self.verdicts.append(result.unwrap())

    async def wait_in_force(self) -> None:
        accepted = [v.event for v in self.verdicts if v.is_accepted]
        version = accepted[-1].version
        await self.wait_until(lambda states: all(s.version == version for s in states))
        for node in self.nodes:
            await wait_for_port(node.settings.traffic_port)

    async def send(
        self,
        data_centre: int,
        method: str,
        path: str,
        key: str = "",
        attempt: int = 0,
    ) -> Answer:
        fields = {"Host": HOST}
        if key:
            fields["Idempotency-Key"] = key
        if attempt:
            fields["Azurestep-Attempt"] = str(attempt)
        query = f"?delay_ms={self.delay_ms}" if self.delay_ms else ""
        url = self.node_of(data_centre).traffic_url + path + query
        async with self.session.request(method, url, headers=fields) as response:
            body = await response.read()
            return Answer(
                response.status,
                response.headers.get("Azurestep-Outcome", ""),
                float(response.headers.get("Retry-After-Ms", 0)),
                body,
            )

    async def pay(self, data_centre: int) -> Answer:
        self.key = str(uuid6.uuid7())
        return await self.send(data_centre, "POST", "/licences", self.key, 1)

    def port_of(self, server: Process) -> int:
        found = READY_LINE.search(server.log.read_text())
        assert found is not None
        return int(found.group(1))

    async def runs(self) -> list[int]:
        counts = []
        for server in self.servers:
            url = f"http://127.0.0.1:{self.port_of(server)}/_standin/runs"
            async with self.session.get(url) as response:
                plain = await response.json()
            counts.append(plain.get("runs", plain).get(self.key, 0))
        return counts

    async def watch_versions(self) -> None:
        while True:
            for state in await self.statuses():
                self.seen_versions.setdefault(state.instance, []).append(state.version)
            await asyncio.sleep(0.05)

    async def fold_whole_log(self) -> tuple[ConfigurationFold, dict[str, str]]:
        log = LogClient(self.session, self.fleet.log_url, self.environment)
        fold = ConfigurationFold()
        outcomes: dict[str, str] = {}
        while True:
            page = (await log.read(STREAM, fold.next_offset)).unwrap()
            if not page.records:
                return fold, outcomes
            for event in fold.apply_page(page):
                if isinstance(event, Accepted | Refused):
                    outcomes.setdefault(event.id, type(event).__name__)

    async def set_log_faults(self, faults: dict[str, Any]) -> None:
        url = f"{self.fleet.log_url}/faults"
        async with self.session.put(url, json=faults) as response:
            assert response.status < 300, await response.text()


def _is_joined(state: NodeStatus, states: list[NodeStatus]) -> bool:
    if len(state.reports) != len({other.data_centre for other in states}):
        return False
    return any(member.servers for member in state.members)


@pytest.fixture
def world() -> Iterator[ScenarioContext]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        fleet = Fleet()

        async def open_session() -> aiohttp.ClientSession:
            return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=30))

        session = runner.run(open_session())
        try:
            yield ScenarioContext(runner, fleet, session)
        finally:
            runner.run(session.close())
            runner.run(fleet.stop())
