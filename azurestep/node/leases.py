"""Leases of the backend servers beside a node.

A pure decision. A backend server renews its lease by announcing itself again;
leaving is sticky for one incarnation.
"""

import attrs

from ..control.messages import ServerState, ServerStatus

LEASE_MS = 3000
LEAVE_SETTLE_MS = 2000


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
    leaving_ms : float or None
        Monotonic time at which it began to leave.
    """

    announcement: Announcement
    expires_ms: float
    leaving_ms: float | None = None


class Leases:
    """Backend servers by incarnation."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

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
        """Mark a backend server as leaving; return whether that is news."""
        lease = self._leases.get(incarnation)
        if lease is None or lease.leaving_ms is not None:
            return False
        lease.leaving_ms = now_ms
        return True

    def leave_all(self, now_ms: float) -> None:
        """Mark every backend server as leaving."""
        for incarnation in self._leases:
            self.leave(incarnation, now_ms)

    def expire(self, now_ms: float) -> list[Announcement]:
        """Drop and return the backend servers whose lease lapsed."""
        lapsed = [
            (incarnation, lease.announcement)
            for incarnation, lease in self._leases.items()
            if now_ms >= lease.expires_ms and lease.leaving_ms is None
        ]
        for incarnation, lease in list(self._leases.items()):
            if lease.leaving_ms is None:
                continue
            if now_ms >= lease.leaving_ms + 10 * LEAVE_SETTLE_MS:
                del self._leases[incarnation]
        for incarnation, _ in lapsed:
            del self._leases[incarnation]
        return [announcement for _, announcement in lapsed]

    def is_safe(self, incarnation: str, now_ms: float) -> bool:
        """Tell whether a leaving backend server gets no more new requests."""
        lease = self._leases.get(incarnation)
        if lease is None:
            return True
        if lease.leaving_ms is None:
            return False
        return now_ms - lease.leaving_ms >= LEAVE_SETTLE_MS

    def servers(self) -> list[ServerState]:
        """Return what the node announces to its peers."""
        found = []
        for lease in self._leases.values():
            said = lease.announcement
            is_leaving = lease.leaving_ms is not None or not said.ready
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
