"""Runs an example deployment end to end and says whether it kept its promises.

Usage:
  demo [--deployment NAME] [--scale RATIO]

Options:
  --deployment NAME  Example to run: riddim or mawga. [default: riddim]
  --scale RATIO      Share of the example's backend servers to start, at least
                     one of each service in a data centre. [default: 0.34]
"""

import asyncio
import sys

import aiohttp
import attrs
import docopt
import orjson
import uuid6
import uvloop
from multidict import CIMultiDict

from azurestep.config.document import Document, EntryKey, Section, canonical_json
from azurestep.environment import Environment
from azurestep.node.messages import NodeStatus
from azurestep.operations.node_client import NodeClient
from azurestep.operations.publisher import Publisher, Verdict
from azurestep.platform.client import LogClient
from azurestep.settings import Address

from .deployment import (
    Deployment,
    RequestKind,
    ServiceSize,
    load_configuration,
    load_deployment,
)
from .fleet import Fleet, NodeProcess

DEADLINE_MS = 20_000
SEEDS = 2


@attrs.define
class Demo:
    """One run of the demonstration."""

    deployment: Deployment
    fleet: Fleet
    session: aiohttp.ClientSession
    environment: Environment
    broken: list[str] = attrs.field(factory=list)

    def expect(self, holds: bool, promise: str) -> None:
        """Note a promise that did not hold."""
        if not holds:
            self.broken.append(promise)
            print(f"  BROKEN: {promise}")

    def clients(self) -> list[NodeClient]:
        """Return a client of each node."""
        return [NodeClient(self.session, n.operator_url) for n in self.fleet.nodes]

    def publisher(self, operator: str) -> Publisher:
        """Return a publisher that asks the first node."""
        log = LogClient(self.session, self.fleet.log_url, self.environment)
        return Publisher(log, self.clients()[0], self.environment, operator)

    def deadline_ms(self) -> float:
        """Return the time by which a step has to end."""
        return self.environment.clock.monotonic_ms() + DEADLINE_MS


@attrs.frozen
class Answer:
    """Final answer to a request of the demonstration."""

    status: int
    body: bytes
    elapsed_ms: float
    refusals: int


async def start_fleet(demo: Demo, scale: float) -> None:
    """Start the log, the nodes and their backend servers."""
    await demo.fleet.start_log()
    places = [
        (data_centre, size, index)
        for data_centre in demo.deployment.data_centres
        for size in demo.deployment.services
        for index in range(max(1, round(size.backend_servers * scale)))
    ]
    seeds: list[Address] = []
    for place in places[:SEEDS]:
        node = await start_instance(demo, place, seeds[:])
        seeds.append(Address(node.settings.host, node.settings.control_port))
    rest = places[SEEDS:]
    await asyncio.gather(*(start_instance(demo, place, seeds) for place in rest))
    print(
        f"started {len(places)} nodes in {len(demo.deployment.data_centres)} "
        f"data centres, each beside a backend server (scale {scale})"
    )


async def start_instance(
    demo: Demo, place: tuple[str, ServiceSize, int], seeds: list[Address]
) -> NodeProcess:
    """Start a node and the backend server beside it."""
    data_centre, size, index = place
    instance = f"{data_centre}-{size.name}-{index + 1}"
    node = await demo.fleet.start_node(instance, data_centre, seeds)
    await demo.fleet.start_backend_server(
        f"server-{instance}", size.name, node, "--slots", str(size.slots)
    )
    return node


async def wait_for_members(demo: Demo) -> None:
    """Wait until every node knows its data centre and the other ones."""
    expected = len(demo.deployment.data_centres)
    deadline_ms = demo.deadline_ms()
    while demo.environment.clock.monotonic_ms() < deadline_ms:
        states = [await client.status() for client in demo.clients()]
        if all(_knows_all(state, states, expected) for state in states):
            return
        await asyncio.sleep(0.1)
    demo.expect(False, "every node finds the others")


def _knows_all(state: NodeStatus, states: list[NodeStatus], expected: int) -> bool:
    own = [other for other in states if other.data_centre == state.data_centre]
    ready = [member for member in state.members if member.servers]
    return len(ready) == len(own) and len(state.reports) == expected


async def publish(demo: Demo, target: Document, label: str) -> Verdict | None:
    """Publish a document and wait until it is in force everywhere."""
    publisher = demo.publisher("demo")
    started_ms = demo.environment.clock.monotonic_ms()
    result = await publisher.publish_document(target, demo.deadline_ms())
    return await _follow(demo, publisher, result.unwrap(), label, started_ms)


async def _follow(
    demo: Demo, publisher: Publisher, verdict: Verdict, label: str, started_ms: float
) -> Verdict | None:
    demo.expect(verdict.is_accepted, f"{label} is accepted")
    if not verdict.is_accepted:
        return None
    version = verdict.event.version  # type: ignore[union-attr]
    accepted_ms = verdict.event.time_ms  # type: ignore[union-attr]
    behind = await publisher.wait_in_force(version, demo.deadline_ms())
    demo.expect(not behind, f"{label} is in force everywhere within seconds")
    status = await demo.clients()[0].status()
    last_ms = max(report.last_ms for report in status.reports)
    print(
        f"{label}: version {version} accepted, in force everywhere "
        f"{last_ms - accepted_ms} ms later"
    )
    return verdict


async def show_versions(demo: Demo) -> None:
    """Print which version is in force where."""
    states = [await client.status() for client in demo.clients()]
    for data_centre in demo.deployment.data_centres:
        own = [state for state in states if state.data_centre == data_centre]
        held = sorted({f"{s.version}/{s.hash[:8]}/{s.preset}" for s in own})
        print(f"  {data_centre}: {len(own)} nodes hold {', '.join(held)}")
    agreed = len({(state.version, state.hash) for state in states}) == 1
    demo.expect(agreed, "all nodes hold the same version and hash")


async def send_requests(demo: Demo) -> None:
    """Send every kind of request to a node of each data centre."""
    for kind in demo.deployment.kinds:
        for data_centre in demo.deployment.data_centres:
            node = next(
                n for n in demo.fleet.nodes if n.settings.data_centre == data_centre
            )
            await _send(demo, kind, node)


async def _send(demo: Demo, kind: RequestKind, node: NodeProcess) -> None:
    fields = CIMultiDict({"Host": demo.deployment.host})
    if kind.method == "POST":
        fields["Idempotency-Key"] = str(uuid6.uuid7())
        fields["Azurestep-Attempt"] = "1"
    query = f"?bytes={kind.bytes}" if kind.bytes else ""
    url = f"{node.traffic_url}{kind.path}{query}"
    answer = await _send_until_run(demo, kind.method, url, fields)
    whole = len(answer.body) == kind.bytes if kind.bytes else True
    print(
        f"  {kind.name:<18} at {node.settings.data_centre}: {answer.status}, "
        f"{len(answer.body)} bytes, {answer.elapsed_ms:.1f} ms, "
        f"{answer.refusals} refusals before"
    )
    demo.expect(answer.status == 200, f"{kind.name} is answered")
    demo.expect(whole, f"{kind.name} arrives whole")
    if kind.method == "POST":
        fields["Azurestep-Attempt"] = "2"
        await _send_again(demo, kind, node, fields, answer.body)


async def _send_until_run(
    demo: Demo, method: str, url: str, fields: "CIMultiDict[str]"
) -> Answer:
    """Send a request, coming back when a refusal says when."""
    deadline_ms = demo.deadline_ms()
    refusals = 0
    while True:
        started_ms = demo.environment.clock.monotonic_ms()
        async with demo.session.request(method, url, headers=fields) as response:
            body = await response.read()
            ended_ms = demo.environment.clock.monotonic_ms()
            answer = Answer(response.status, body, ended_ms - started_ms, refusals)
            retry_after_ms = float(response.headers.get("Retry-After-Ms", 0))
            is_refused = response.headers.get("Azurestep-Outcome") == "not_run"
        if not is_refused or not retry_after_ms or ended_ms > deadline_ms:
            return answer
        refusals += 1
        await asyncio.sleep(retry_after_ms / 1000)


async def _send_again(
    demo: Demo,
    kind: RequestKind,
    node: NodeProcess,
    fields: "CIMultiDict[str]",
    first: bytes,
) -> None:
    others = [n for n in demo.fleet.nodes if n is not node]
    other = demo.environment.random.choice(others)
    async with demo.session.request(
        kind.method, f"{other.traffic_url}{kind.path}", headers=fields
    ) as response:
        body = await response.read()
    runs = orjson.loads(body).get("runs") if response.status == 200 else None
    print(
        f"  {kind.name:<18} sent again at {other.settings.data_centre}: "
        f"{response.status}, runs {runs}"
    )
    demo.expect(body == first, f"{kind.name} runs at most once")


async def run(deployment_name: str, scale: float) -> int:
    """Run the demonstration and return the exit code."""
    deployment = load_deployment(deployment_name)
    async with Fleet() as fleet, aiohttp.ClientSession() as session:
        demo = Demo(deployment, fleet, session, Environment())
        await start_fleet(demo, scale)
        await wait_for_members(demo)
        document = load_configuration(deployment_name)
        await publish(demo, document, "first configuration")
        await show_versions(demo)
        await send_requests(demo)
        await publish(demo, _changed(document), "a change")
        started_ms = demo.environment.clock.monotonic_ms()
        publisher = demo.publisher("demo")
        result = await publisher.switch_preset("peak", demo.deadline_ms())
        verdict = result.unwrap()
        await _follow(demo, publisher, verdict, "preset peak", started_ms)
        await show_versions(demo)
        await send_requests(demo)
    if demo.broken:
        print(f"{len(demo.broken)} promises were broken")
        return 1
    print("every promise was kept")
    return 0


def _changed(document: Document) -> Document:
    key = next(key for key in document.entries if key.section is Section.SERVICES)
    service = orjson.loads(document.entries[key])
    service["timeout_ms"] = service["timeout_ms"] + 100
    name = EntryKey(key.section, key.name)
    return document.with_changes({name: canonical_json(service)}, [])


def main() -> int:
    """Run the demonstration from the command line."""
    options = docopt.docopt(__doc__ or "")
    return uvloop.run(run(options["--deployment"], float(options["--scale"])))


if __name__ == "__main__":
    sys.exit(main())
