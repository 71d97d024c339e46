"""Members that exist only as messages, so that one real node has many peers.

One process stands for all other nodes: it tells the real node of as many
members and services as the target has, answers every probe, sends as many
probes as a node of such a fleet gets, and pushes versions.
"""

import asyncio
import random

import attrs

from azurestep.config.delta import make_delta, make_snapshot
from azurestep.config.document import Document
from azurestep.control.link import Links
from azurestep.control.messages import (
    Ack,
    Broadcast,
    Digest,
    Probe,
    Pull,
    PullReply,
    Push,
    Sender,
    SyncReply,
    SyncRequest,
)
from azurestep.control.updates import (
    DataCentreReport,
    MemberState,
    MemberStatus,
    ServerState,
    ServiceSummary,
    Update,
)
from azurestep.settings import Address, FleetKey

from .fleet import HOST
from .generator import service_name

OWN = "dc-1"
ABROAD = ("dc-2", "dc-3", "dc-4", "dc-5", "dc-6")
SERVICES = 73
PROBE_INTERVAL_S = 1.0
WARM_UP_INTERVAL_S = 0.01
CROWD_ROOT = "crowd"


@attrs.frozen
class Ports:
    """Control ports of the crowd and of the real node."""

    local: int
    abroad: int
    node: int


def crowd_server(name: str, index: int) -> ServerState:
    """Return a made-up backend server."""
    service = service_name(index % SERVICES)
    return ServerState(service, HOST, 1 + index, f"{name}-{index:026d}", 12)


class Crowd:
    """All members but one of a data centre, and five more data centres.

    Parameters
    ----------
    names : list of str
        Members of the data centre without the real node.
    ports : Ports
        Where everybody listens.
    key : FleetKey
        Key of the fleet.
    """

    def __init__(self, names: list[str], ports: Ports, key: FleetKey) -> None:
        self.names = names
        self.to = Address(HOST, ports.node)
        self.document = Document()
        self.version = 0
        self._ports = ports
        self.probe_interval_s = WARM_UP_INTERVAL_S
        self._sequence = 0
        self._digest = Digest(0, b"")
        self._table_hash = 0
        self._random = random.Random(1)
        self._stamps: dict[str, int] = {}
        self._local = Links(self._sender(OWN, ports.local), key)
        self._abroad = Links(self._sender(ABROAD[0], ports.abroad), key)
        self._tasks: list[asyncio.Task[None]] = []

    def _sender(self, data_centre: str, port: int) -> Sender:
        name = self.names[0] if data_centre == OWN else f"{data_centre}-bridge"
        return Sender(name, data_centre, 1, HOST, port)

    async def start(self) -> None:
        """Listen, answer and probe."""
        for links in (self._local, self._abroad):
            links.open()
            self._tasks.append(asyncio.create_task(self._answer(links)))
        self._tasks.append(asyncio.create_task(self._probe_forever()))

    async def close(self) -> None:
        """Close the sockets."""
        for task in self._tasks:
            task.cancel()
        await self._local.close()
        await self._abroad.close()

    # -- what the crowd believes ---------------------------------------------

    def updates(self) -> list[Update]:
        """Return the members, services and reports of the crowd."""
        members = [self._member(index) for index in range(len(self.names))]
        return [*members, *self._summaries(), *map(self._report, (OWN, *ABROAD))]

    def _member(self, index: int) -> MemberState:
        name = self.names[index]
        return MemberState(
            name,
            OWN,
            "region-1",
            1,
            self._stamps.get(name, 1),
            int(MemberStatus.ALIVE),
            HOST,
            self._ports.local,
            1,
            [attrs.evolve(crowd_server(name, index), slots=self._slots(name))],
        )

    def _slots(self, name: str) -> int:
        return 12 + self._stamps.get(name, 1) % 2

    def _summaries(self) -> list[ServiceSummary]:
        return [self._summary(dc, service) for dc in ABROAD for service in self._of(dc)]

    def _of(self, data_centre: str) -> list[int]:
        return list(range(min(SERVICES, len(self.names))))

    def _summary(self, data_centre: str, service: int) -> ServiceSummary:
        key = f"{data_centre}/{service}"
        indexes = range(service, len(self.names), SERVICES)
        servers = [crowd_server(data_centre, index) for index in indexes]
        stamp = self._stamps.get(key, 1)
        changed = [attrs.evolve(s, slots=12 + stamp % 2) for s in servers]
        return ServiceSummary(
            data_centre, service_name(service), stamp, data_centre, changed
        )

    def _report(self, data_centre: str) -> DataCentreReport:
        port = self._ports.local if data_centre == OWN else self._ports.abroad
        contacts = [Address(HOST, port)]
        count = len(self.names)
        return DataCentreReport(
            data_centre,
            self._stamps.get(data_centre, 1),
            data_centre,
            self.version,
            self.document.hash,
            count,
            count,
            [],
            0,
            0,
            contacts,
        )

    # -- what the crowd says -------------------------------------------------

    async def _answer(self, links: Links) -> None:
        while True:
            envelope = await links.receive()
            to = envelope.sender.address
            message = envelope.message
            if isinstance(message, Probe):
                self._digest = message.digest
                if links is self._local:
                    self._table_hash = message.table_hash
                links.send(
                    to, Ack(message.sequence, message.digest, message.table_hash)
                )
            elif isinstance(message, SyncRequest) and links is self._local:
                links.send(to, SyncReply(self.updates()))
            elif isinstance(message, Pull):
                links.send(to, PullReply(self._snapshot()))

    def _snapshot(self) -> object:
        return make_snapshot(self.document, self.version, self.version)

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.sleep(self.probe_interval_s * self._random.uniform(0.9, 1.1))
            self._sequence += 1
            digest = self._digest
            if self.version > digest.version:
                digest = Digest(self.version, self.document.hash)
            self._local.send(self.to, Probe(self._sequence, digest, self._table_hash))

    def push(self, document: Document, version: int, root: str) -> None:
        """Push a version as the root of the tree or one of its inner nodes."""
        delta = make_delta(self.document, document, version, version)
        self.document, self.version = document, version
        self._local.send(self.to, Push(root, delta))

    def change_member(self) -> None:
        """Broadcast that the backend server of a member changed."""
        index = self._random.randrange(len(self.names))
        name = self.names[index]
        self._stamps[name] = self._stamps.get(name, 1) + 1
        self._broadcast(self._member(index))

    def change_summary(self) -> None:
        """Broadcast that a service of another data centre changed."""
        data_centre = self._random.choice(ABROAD)
        service = self._random.choice(self._of(data_centre))
        key = f"{data_centre}/{service}"
        self._stamps[key] = self._stamps.get(key, 1) + 1
        self._broadcast(self._summary(data_centre, service))

    def change_report(self) -> None:
        """Broadcast that the report of another data centre changed."""
        data_centre = self._random.choice(ABROAD)
        self._stamps[data_centre] = self._stamps.get(data_centre, 1) + 1
        self._broadcast(self._report(data_centre))

    def _broadcast(self, update: Update) -> None:
        root = self._random.choice(self.names)
        self._local.send(self.to, Broadcast(root, [update]))
