"""A fleet whose backend servers all take payments, and what its processes say."""

import asyncio
from collections import Counter

import attrs
import orjson

from azurestep.config.document import Document, EntryKey, Section, canonical_json
from azurestep.once.fold import LogEntry, OwnershipFold, SlotId
from azurestep.once.messages import Outcome
from azurestep.once.settings import KEY_SCOPE
from azurestep.platform.client import LogClient
from azurestep.platform.records import FIRST_OFFSET
from azurestep.settings import Address

from .demo import Demo, publish, wait_for_members
from .deployment import load_configuration, load_deployment
from .fleet import NodeProcess
from .once_live import PATH, SLOTS, PayingCaller, now_ms

SERVICE = "licensing"
BACKEND_SLOTS = 24
NODES_A_DATA_CENTRE = 2
DELAY_MS = 3
STREAM = "ownership"
OPEN_BOUND_S = 20.0
PROBED_SLOTS = range(0, SLOTS, 8)


@attrs.define
class PayingFleet:
    """Nodes that own keys, each beside a backend server.

    Attributes
    ----------
    servers : set of str
        Backend servers that answered, as host and port.
    """

    demo: Demo
    caller: PayingCaller
    servers: set[str] = attrs.field(factory=set)

    @property
    def nodes(self) -> list[NodeProcess]:
        """Return the nodes."""
        return self.demo.fleet.nodes

    @property
    def urls(self) -> list[str]:
        """Return where callers pay."""
        return [node.traffic_url for node in self.nodes]

    async def start(self) -> None:
        """Start all processes and wait until payments are open."""
        await self.demo.fleet.start_log()
        places = [
            (f"{place}-{number + 1}", place)
            for number in range(NODES_A_DATA_CENTRE)
            for place in self.demo.deployment.data_centres
        ]
        first = await self._start_node(*places[0], [])
        seed = Address(first.settings.host, first.settings.control_port)
        await asyncio.gather(
            *(self._start_node(*place, [seed]) for place in places[1:])
        )
        await wait_for_members(self.demo)
        await publish(self.demo, configuration(), "configuration")
        await self._wait_until_owned()

    async def _start_node(
        self, instance: str, data_centre: str, seeds: list[Address]
    ) -> NodeProcess:
        node = await self.demo.fleet.start_node(instance, data_centre, seeds)
        words = ("--slots", str(BACKEND_SLOTS), "--delay-ms", str(DELAY_MS))
        await self.demo.fleet.start_backend_server(
            f"server-{instance}", SERVICE, node, *words
        )
        return node

    async def owners(self) -> dict[int, str]:
        """Return the instance that owns each slot, by the platform's log."""
        log = LogClient(
            self.demo.session, self.demo.fleet.log_url, self.demo.environment
        )
        page = (await log.read(STREAM, FIRST_OFFSET)).unwrap()
        entries = tuple(
            LogEntry(record.offset, orjson.dumps(record.value))
            for record in page.records
        )
        fold = OwnershipFold()
        fold.next_offset = FIRST_OFFSET
        fold.apply_entries(FIRST_OFFSET, entries, page.next_offset)
        found = {
            slot: fold.state(SlotId(KEY_SCOPE, slot)).covering(now_ms())
            for slot in range(SLOTS)
        }
        return {
            slot: interval.node.instance
            for slot, interval in found.items()
            if interval is not None
        }

    async def _wait_until_owned(self) -> None:
        """Wait until every slot has an owner that answers at every node."""
        async with asyncio.timeout(OPEN_BOUND_S):
            while len(await self.owners()) < SLOTS:
                await asyncio.sleep(0.2)
            for url in self.urls:
                await asyncio.gather(
                    *(self._wait_until_open(url, slot) for slot in PROBED_SLOTS)
                )

    async def _wait_until_open(self, url: str, slot: int) -> None:
        while True:
            copy = self.caller.new_copy((slot,))
            answer = await self.caller.send(url, copy)
            if answer.outcome == Outcome.RAN:
                return
            await asyncio.sleep(0.1)

    async def appends(self) -> Counter[str]:
        """Return the appends at the platform by stream."""
        url = f"{self.demo.fleet.log_url}/stats"
        async with self.demo.session.get(url) as response:
            streams = (await response.json())["streams"]
        return Counter({name: found["appends"] for name, found in streams.items()})

    async def set_outage(self, is_out: bool) -> None:
        """Take the platform away, or give it back."""
        url = f"{self.demo.fleet.log_url}/faults"
        async with self.demo.session.put(url, json={"outage": is_out}) as response:
            response.raise_for_status()

    async def runs(self) -> Counter[str]:
        """Return the runs of each key over all backend servers."""
        found: Counter[str] = Counter()
        for server in sorted(self.servers):
            url = f"http://{server}/_standin/runs"
            async with self.demo.session.get(url) as response:
                found.update(await response.json())
        return found


def configuration() -> Document:
    """Return the example's configuration with an idempotent call to licensing."""
    name = "licence-list"
    route = {
        "name": name,
        "host": load_deployment("riddim").host,
        "path_prefix": PATH,
        "methods": ["GET"],
        "service": SERVICE,
        "priority": "payment",
        "timeout_ms": 5000,
    }
    key = EntryKey(Section.ROUTES, name)
    return load_configuration("riddim").with_changes({key: canonical_json(route)}, [])
