"""The nodes that share the quotas, and the messages to them."""

from collections.abc import Callable, Collection

import attrs

from ..link_messages import QuotaGrant, QuotaHandover, QuotaUsage
from ..links.link import PeerLink
from ..links.members import Members
from ..links.server import IncomingLinks
from ..messages import TEAM_FEATURE_LEVEL
from ..settings import Address


@attrs.define(eq=False, repr=False)
class FleetPeers:
    """Peers over the links of a node.

    A data centre that can't be reached for long keeps its part of the quotas: its nodes
    count as known after their links have expired, until one of them is reached again.

    Attributes
    ----------
    settled : Callable
        Returns whether the node knows the teams, and has had the time to find all
        peers.
    """

    members: Members
    incoming_links: IncomingLinks
    settled: Callable[[], bool]
    _data_centres: dict[Address, str] = attrs.field(factory=dict)

    def reachable(self) -> Collection[Address]:
        """Return the peers that answer and know quotas."""
        return [
            link.address for link in self.members.live_links() if _knows_quotas(link)
        ]

    def stopping(self) -> Collection[Address]:
        """Return those of them that shut down, and still admit requests."""
        return [link.address for link in self.members.live_links() if _is_leaving(link)]

    def starting(self) -> Collection[Address]:
        """Return those of them that own no teams yet, as they have just started."""
        return [
            link.address for link in self.members.live_links() if _is_starting(link)
        ]

    def have_found(self) -> bool:
        """Return whether links both ways are open to all peers that answer."""
        return all(
            self.incoming_links.is_linked(link.address) if link.up else link.has_failed
            for link in self.members.links.values()
        )

    def announce(self) -> None:
        """Tell the peers that this node owns teams from now on."""
        self.incoming_links.broadcast_state()

    def known_count(self) -> int:
        """Return the number of nodes that share the quotas; 0 if not known yet."""
        if not self.settled():
            return 0
        links = self.members.links
        known = sum(1 for link in links.values() if not link.up or _knows_quotas(link))
        known -= sum(1 for link in links.values() if not link.up and _is_leaving(link))
        return 1 + known + self._count_expired()

    def _count_expired(self) -> int:
        """Return how many expired peers are in data centres that can't be reached."""
        seen = {self.members.data_centre}
        for link in self.members.live_links():
            seen.add(link.endpoint.data_centre)
            self._data_centres[link.address] = link.endpoint.data_centre
        expired = 0
        for address, data_centre in list(self._data_centres.items()):
            known = self.members.links.get(address)
            if known is not None and not _is_leaving(known):
                continue
            if known is not None or data_centre in seen:
                del self._data_centres[address]
            else:
                expired += 1
        return expired

    def send_usage(self, owner: Address, usage: QuotaUsage) -> None:
        """Report requests to a quota owner."""
        link = self.members.links.get(owner)
        if link is not None:
            link.send_usage(usage)

    def send_handover(self, owner: Address, handover: QuotaHandover) -> bool:
        """Hand accounts over to the next owner; return whether it takes them."""
        link = self.members.links.get(owner)
        return link is not None and link.send_handover(handover)

    def send_grants(self, peers: Collection[Address], grant: QuotaGrant) -> None:
        """Send grants to peers."""
        self.incoming_links.send_grants(peers, grant)


def _knows_quotas(link: PeerLink) -> bool:
    return link.peer is not None and link.peer.feature_level >= TEAM_FEATURE_LEVEL


def _is_starting(link: PeerLink) -> bool:
    return link.state is None or not link.state.owns_quotas


def _is_leaving(link: PeerLink) -> bool:
    return link.state is not None and link.state.stopping
