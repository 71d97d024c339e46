"""A fleet of nodes under measurement: configuration, endpoints and readings."""

import asyncio
import random
import signal
import time
import uuid

import aiohttp
import attrs
import orjson

from azurestep import events
from azurestep.node.once import STREAM as OWNERSHIP_STREAM
from azurestep.once.records import Extend, NodeId, encode_record
from azurestep.operations.node_client import NodeClient
from azurestep.settings import Address, ControlSettings

from .fleet import HOST, Fleet, NodeProcess
from .generator import service_name
from .probes import SocketUse, process_use, socket_use
from .publishing import Operator

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
SEEDS = 3
SETTLE_S = 60.0
RENEWAL_S = 0.8
SLOTS = 12
OWNERSHIP_INTERVAL_MS = 600_000


@attrs.frozen
class Place:
    """Where a node runs and which service is beside it."""

    instance: str
    data_centre: str
    service: str


def places(count: int, data_centres: tuple[str, ...] = DATA_CENTRES) -> list[Place]:
    """Spread nodes over data centres and services in turn."""
    return [
        Place(
            f"{data_centres[index % len(data_centres)]}-{index:03d}",
            data_centres[index % len(data_centres)],
            service_name(index // len(data_centres) % 73),
        )
        for index in range(count)
    ]


@attrs.frozen
class Reading:
    """Counters of one node at one moment."""

    sent_bytes: int
    received_bytes: int
    sent_frames: int
    received_frames: int
    processor_s: float
    resident_mb: float


class Mesh:
    """Nodes on one log, with announced endpoints and one operator.

    Parameters
    ----------
    count : int
        Nodes.
    control : ControlSettings
        Settings of every node.
    seed : int
        Seed of the configuration and of the churn.
    """

    def __init__(
        self, count: int, control: ControlSettings | None = None, seed: int = 1
    ) -> None:
        self.places = places(count)
        self.fleet = Fleet(control)
        self.random = random.Random(seed)
        self._seed = seed
        self.incarnations: dict[str, str] = {}
        self.backend_ports: list[int] = []
        self._announcing: asyncio.Task[None] | None = None
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=10),
        )

    async def __aenter__(self) -> "Mesh":
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.fleet.start_log()
        self.operator = Operator(self.session, self.fleet.log_url, self._seed)
        await self._start_nodes()
        self._announcing = asyncio.create_task(self._announce_forever())
        await self.operator.publish_first()
        await self.settle()

    async def __aexit__(self, *_: object) -> None:
        if self._announcing is not None:
            self._announcing.cancel()
        await self.session.close()
        await self.fleet.stop(signal.SIGKILL)

    @property
    def nodes(self) -> list[NodeProcess]:
        """Nodes in the order of their places."""
        return self.fleet.nodes

    async def _start_nodes(self) -> None:
        seeds: list[Address] = []
        for place in self.places[:SEEDS]:
            node = await self.fleet.start_node(
                place.instance, place.data_centre, seeds[:]
            )
            seeds.append(Address(node.settings.host, node.settings.control_port))
        rest = [(p.instance, p.data_centre) for p in self.places[SEEDS:]]
        await self.fleet.start_nodes(rest, seeds)
        order = {place.instance: n for n, place in enumerate(self.places)}
        self.fleet.nodes.sort(key=lambda node: order[node.settings.instance])

    # -- endpoints -----------------------------------------------------------

    async def _announce_forever(self) -> None:
        while True:
            for place, node in zip(self.places, list(self.nodes), strict=False):
                await self._announce(place, node)
                await asyncio.sleep(RENEWAL_S / len(self.places))

    async def _announce(self, place: Place, node: NodeProcess) -> None:
        index = self.places.index(place)
        incarnation = self.incarnations.setdefault(place.instance, uuid.uuid4().hex)
        ports = self.backend_ports
        body = {
            "service": place.service,
            "host": HOST,
            "port": ports[index % len(ports)] if ports else 1,
            "incarnation": incarnation,
            "slots": SLOTS,
        }
        url = f"{node.announce_url}/v1/backend-servers"
        try:
            async with self.session.post(url, json=body) as response:
                await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def restart_endpoint(self) -> None:
        """Replace one backend server by a new run of it."""
        index = self.random.randrange(len(self.places))
        self.incarnations.pop(self.places[index].instance, None)
        await self._announce(self.places[index], self.nodes[index])

    async def restart_node(self) -> None:
        """Stop a node gracefully and start it again at its addresses."""
        index = self.random.randrange(SEEDS, len(self.places))
        node = self.nodes[index]
        await node.process.stop()
        self.fleet.nodes[index] = await self.fleet.restart_node(node.settings)

    async def append_ownership(self, index: int) -> None:
        """Append an extension like those of an owner with two slots."""
        record = Extend(
            uuid.uuid4().hex,
            NodeId("dc-1-stranger", uuid.uuid4().hex[:12]),
            service_name(0),
            (index % 32, (index + 1) % 32),
            time.time_ns() // 1_000_000 + OWNERSHIP_INTERVAL_MS,
        )
        url = f"{self.fleet.log_url}/streams/{OWNERSHIP_STREAM}/records"
        async with self.session.post(url, data=encode_record(record)) as response:
            await response.read()

    # -- readings ------------------------------------------------------------

    async def settle(self) -> None:
        """Wait until every node knows its data centre and holds the version.

        Raises
        ------
        TimeoutError
            If that takes longer than ``SETTLE_S``.
        """
        async with asyncio.timeout(SETTLE_S):
            while not await self._is_settled():
                await asyncio.sleep(0.5)

    async def _is_settled(self) -> bool:
        states = await asyncio.gather(*(self.client(n).status() for n in self.nodes))
        sizes: dict[str, int] = {}
        for place in self.places:
            sizes[place.data_centre] = sizes.get(place.data_centre, 0) + 1
        return all(
            state.version >= self.operator.version
            and len(state.members) == sizes[state.data_centre]
            and all(member.servers for member in state.members)
            and len(state.reports) == len(sizes)
            for state in states
        )

    def client(self, node: NodeProcess) -> NodeClient:
        """Return a client of a node's operator endpoint."""
        return NodeClient(self.session, node.operator_url)

    async def read(self) -> list[Reading]:
        """Read the counters of every node."""
        return list(await asyncio.gather(*(self._read(n) for n in self.nodes)))

    async def _read(self, node: NodeProcess) -> Reading:
        counters = await self.client(node).counters()
        use = process_use(node.process.process.pid)
        return Reading(
            counters.sent_bytes,
            counters.received_bytes,
            counters.sent_frames,
            counters.received_frames,
            use.processor_s,
            use.resident_mb,
        )

    async def read_sockets(self) -> dict[int, SocketUse]:
        """Read the kernel's counters of the control connections, by process."""
        return await socket_use({n.settings.control_port for n in self.nodes})

    async def read_log(self) -> dict:
        """Return the log stand-in's counts over all streams."""
        async with self.session.get(f"{self.fleet.log_url}/stats") as response:
            return orjson.loads(await response.read())["total"]

    def times_in_force(self) -> list[list[tuple[int, int]]]:
        """Return for each node the versions it applied and when, in ms."""
        found = []
        for node in self.nodes:
            records = node.process.records(events.VERSION_IN_FORCE.number)
            found.append([(r["version"], r["at_ms"]) for r in records])
        return found
