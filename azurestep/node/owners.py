"""Which nodes can own keys, and where they listen."""

from collections import OrderedDict
from collections.abc import Iterable

from ..control.updates import ServerStatus
from ..once.messages import MembersChanged
from ..once.records import NodeId
from ..once.settings import KEY_SCOPE
from ..settings import Address
from ..traffic.directory import PlacedServer

SENDERS_MAXIMUM = 4096


class OwnerDirectory:
    """Runs of nodes by service, as their backend servers announce them.

    Keys of all services share one space of slots. A route that moves to another
    service would otherwise take its keys to another owner, and a payment that is
    sent again after the move could run twice.
    """

    def __init__(self) -> None:
        self._addresses: dict[str, dict[NodeId, Address]] = {}
        self._senders: OrderedDict[NodeId, Address] = OrderedDict()
        self._ready: dict[str, tuple[NodeId, ...]] = {}
        self._services: frozenset[str] = frozenset()
        self._live: tuple[NodeId, ...] = ()
        self._others: tuple[NodeId, ...] = ()

    def replace(self, service: str, placed: Iterable[PlacedServer]) -> None:
        """Take over the servers of a service."""
        addresses: dict[NodeId, Address] = {}
        ready = []
        for item in placed:
            server = item.server
            if not server.node_run:
                continue
            node = NodeId(server.instance, server.node_run)
            addresses[node] = Address(server.host, server.control_port)
            if server.status == ServerStatus.READY:
                ready.append(node)
        self._addresses[service] = addresses
        self._ready[service] = tuple(ready)

    def choose(self, services: frozenset[str]) -> None:
        """Name the services whose nodes own keys: those that take payments."""
        self._services = services

    def change(self) -> MembersChanged | None:
        """Return the nodes that can own keys, if they changed."""
        live = self._ready_of(self._services)
        others = self._ready_of(self._ready.keys() - self._services)
        if (live, others) == (self._live, self._others):
            return None
        self._live, self._others = live, others
        return MembersChanged(KEY_SCOPE, live, others)

    def _ready_of(self, services: Iterable[str]) -> tuple[NodeId, ...]:
        found = {node for service in services for node in self._ready.get(service, ())}
        return tuple(sorted(found))

    def note_sender(self, node: NodeId, address: Address) -> None:
        """Remember where a message came from.

        A node whose backend server has not announced itself yet is in no
        directory, but has to get the answers to what it forwarded.
        """
        self._senders[node] = address
        self._senders.move_to_end(node)
        if len(self._senders) > SENDERS_MAXIMUM:
            self._senders.popitem(last=False)

    def address(self, node: NodeId) -> Address | None:
        """Return the control address of a run of a node."""
        for addresses in self._addresses.values():
            if node in addresses:
                return addresses[node]
        return self._senders.get(node)
