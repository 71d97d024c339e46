"""Which nodes can own keys of which service, and where they listen."""

from collections.abc import Iterable

from ..control.messages import ServerStatus
from ..once.messages import MembersChanged
from ..once.records import NodeId
from ..settings import Address
from ..traffic.directory import Placed


class OwnerDirectory:
    """Runs of nodes by service, as their backend servers announce them."""

    def __init__(self) -> None:
        self._addresses: dict[str, dict[NodeId, Address]] = {}
        self._live: dict[str, tuple[NodeId, ...]] = {}

    def replace(self, service: str, placed: Iterable[Placed]) -> list[MembersChanged]:
        """Take over the servers of a service; return the change, if any."""
        addresses: dict[NodeId, Address] = {}
        live = []
        for item in placed:
            server = item.server
            if not server.node_run:
                continue
            node = NodeId(server.instance, server.node_run)
            addresses[node] = Address(server.host, server.control_port)
            if server.status == ServerStatus.READY:
                live.append(node)
        self._addresses[service] = addresses
        nodes = tuple(sorted(live))
        if self._live.get(service) == nodes:
            return []
        self._live[service] = nodes
        return [MembersChanged(service, nodes)]

    def address(self, node: NodeId) -> Address | None:
        """Return the control address of a run of a node."""
        for addresses in self._addresses.values():
            if node in addresses:
                return addresses[node]
        return None
