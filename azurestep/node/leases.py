"""Leases of the backend servers beside a node.

A pure decision. A backend server renews its lease by announcing itself again;
leaving is sticky for one incarnation.
"""

import attrs

from ..control.updates import ServerState, ServerStatus

LEASE_MS = 3000
LEAVE_SETTLE_MS = 2000
LEAVE_SHOWN_MS = 20_000
LEAVES_REMEMBERED = 256


@attrs.frozen
class Announcement:
    """What a backend server says about itself.

    Attributes
    ----------
    service : str
        Service that it belongs to.
    host, port : str, int
        Where it takes requests.
    incarnation : str
        Unique name of this run of its process.
    slots, connections : int
        Requests and connections that it takes at once.
    ready : bool
        Whether it takes requests now.
    """

    service: str
    host: str
    port: int
    incarnation: str
    slots: int = 12
    connections: int = 130
    ready: bool = True


@attrs.define
class Lease:
    """A backend server that announced itself.

    Attributes
    ----------
    announcement : Announcement
        Its latest announcement.
    expires_ms : float
        Monotonic time at which it counts as gone.
    """

    announcement: Announcement
    expires_ms: float


class Leases:
    """Backend servers by incarnation."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._left_ms: dict[str, float] = {}

    def announce(self, announcement: Announcement, now_ms: float) -> bool:
        """Take an announcement; return whether the servers changed."""
        before = self.servers()
        held = self._leases.get(announcement.incarnation)
        if held is None:
            self._drop_predecessor(announcement)
            held = Lease(announcement, 0.0)
            self._leases[announcement.incarnation] = held
        held.announcement = announcement
        held.expires_ms = now_ms + LEASE_MS
        return self.servers() != before

    def _drop_predecessor(self, announcement: Announcement) -> None:
        # A new run at the same address proves that the old one is gone.
        place = (announcement.host, announcement.port)
        for incarnation, lease in list(self._leases.items()):
            if (lease.announcement.host, lease.announcement.port) == place:
                del self._leases[incarnation]

    def leave(self, incarnation: str, now_ms: float) -> bool:
        """Mark a backend server as leaving; return whether that is news.

        An incarnation that isn't held is remembered too: the other nodes may
        know it from before a restart of this node.
        """
        if incarnation in self._left_ms:
            return False
        self._left_ms[incarnation] = now_ms
        if len(self._left_ms) > LEAVES_REMEMBERED:
            del self._left_ms[next(iter(self._left_ms))]
        return True

    def leave_all(self, now_ms: float) -> None:
        """Mark every backend server as leaving."""
        for incarnation in self._leases:
            self.leave(incarnation, now_ms)

    def expire(self, now_ms: float) -> list[Announcement]:
        """Drop and return the backend servers whose lease lapsed.

        One that leaves stops renewing and is shown for a while longer, so that
        its end isn't taken for a failure; it isn't among those returned.
        """
        lapsed = []
        for incarnation, lease in list(self._leases.items()):
            left_ms = self._left_ms.get(incarnation)
            shown_ms = 0.0 if left_ms is None else left_ms + LEAVE_SHOWN_MS
            if now_ms < max(lease.expires_ms, shown_ms):
                continue
            del self._leases[incarnation]
            if left_ms is None:
                lapsed.append(lease.announcement)
        return lapsed

    def is_safe(self, incarnation: str, now_ms: float) -> bool:
        """Tell whether a leaving backend server gets no more new requests."""
        left_ms = self._left_ms.get(incarnation)
        if left_ms is None:
            return incarnation not in self._leases
        return now_ms - left_ms >= LEAVE_SETTLE_MS

    def servers(self) -> list[ServerState]:
        """Return what the node announces to its peers."""
        found = []
        for incarnation, lease in self._leases.items():
            said = lease.announcement
            is_leaving = incarnation in self._left_ms or not said.ready
            status = ServerStatus.LEAVING if is_leaving else ServerStatus.READY
            found.append(
                ServerState(
                    said.service,
                    said.host,
                    said.port,
                    said.incarnation,
                    said.slots,
                    int(status),
                )
            )
        return found
