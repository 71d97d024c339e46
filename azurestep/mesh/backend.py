"""What a node knows of the backend server beside it.

The node is the only one that sends requests to this backend server, so what it
decides here holds for the whole fleet: a server that leaves gets nothing more.
"""

import attrs

from ..platform.announcement import Heartbeat, Leaving

DRAIN_SHARE = 0.5
"""Share of the drain bound in which requests on their way still get in."""
UNKNOWN_SINCE_MS = float("-inf")
"""Begin of the leaving of an incarnation that this process never saw serving: the
process before it may have acknowledged the leaving long ago."""


@attrs.define(slots=True)
class Backend:
    """The backend server beside this node, as it announced itself.

    Attributes
    ----------
    drain_ms : float
        Bound of the time between a leaving notice and the last request.
    service, slots : str, int
        As announced; the service is empty until the first heartbeat.
    instance_id : str
        Incarnation that gets the requests.
    doubted_id : str
        An incarnation that announced itself at the same address while another
        one is known; a health probe decides which of them runs.
    """

    drain_ms: float
    service: str = ""
    instance_id: str = ""
    slots: int = 1
    doubted_id: str = ""
    _cold_until_ms: float = 0.0
    _sequences: dict[str, int] = attrs.field(factory=dict)
    _leaving_since_ms: dict[str, float] = attrs.field(factory=dict)
    _ended: set[str] = attrs.field(factory=set)
    _announced: dict[str, Heartbeat] = attrs.field(factory=dict)

    def announce(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take a heartbeat in; a late or overtaken one changes nothing."""
        name = heartbeat.instance_id
        if heartbeat.leaving:
            self._begin_leaving(name, now_ms)
        if heartbeat.sequence <= self._sequences.get(name, -1) or name in self._ended:
            return
        self._sequences[name] = heartbeat.sequence
        self._announced[name] = heartbeat
        if name == self.instance_id:
            self._adopt(heartbeat, now_ms)
        elif not self.instance_id:
            self._replace(heartbeat, now_ms)
        elif not heartbeat.leaving:
            self.doubted_id = name

    def leave(self, notice: Leaving, now_ms: float) -> None:
        """Take a leaving notice in."""
        self._begin_leaving(notice.instance_id, now_ms)

    def discover(self, instance_id: str, service: str, slots: int) -> bool:
        """Take in what a health probe found where nothing was announced.

        Returns
        -------
        bool
            Whether this is the incarnation that gets the requests now.
        """
        unknown = instance_id not in self._ended | self._leaving_since_ms.keys()
        if self.instance_id or not unknown:
            return False
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        return True

    def answered(self, instance_id: str, now_ms: float) -> None:
        """Learn from an answer which incarnation runs at the address."""
        if not instance_id or instance_id in self._ended:
            return
        if instance_id == self.instance_id:
            self.doubted_id = ""
            return
        if self.instance_id:
            self._ended.add(self.instance_id)
        heartbeat = self._announced.get(instance_id)
        self.instance_id = ""
        self.doubted_id = ""
        if heartbeat is not None:
            self._replace(heartbeat, now_ms)

    def mark_gone(self, instance_id: str) -> None:
        """Note that an incarnation does not run at the address any more."""
        self._ended.add(instance_id)
        if instance_id == self.instance_id:
            self.instance_id = ""

    def is_leaving(self) -> bool:
        """Whether the incarnation that gets requests said that it leaves."""
        return self.instance_id in self._leaving_since_ms

    def is_open(self) -> bool:
        """Whether other nodes may choose this backend server."""
        return bool(self.instance_id) and not self.is_leaving()

    def admits(self, now_ms: float) -> bool:
        """Whether a request that arrives now may be sent to it."""
        if not self.instance_id:
            return False
        since_ms = self._leaving_since_ms.get(self.instance_id)
        return since_ms is None or now_ms - since_ms < self.drain_ms * DRAIN_SHARE

    def cold_ms(self, now_ms: float) -> float:
        """Return how much longer the backend server is slow after its start."""
        return max(0.0, self._cold_until_ms - now_ms)

    def _begin_leaving(self, name: str, now_ms: float) -> None:
        known = name == self.instance_id or name in self._sequences
        since_ms = now_ms if known else UNKNOWN_SINCE_MS
        self._leaving_since_ms.setdefault(name, since_ms)

    def _replace(self, heartbeat: Heartbeat, now_ms: float) -> None:
        self.instance_id = heartbeat.instance_id
        self.doubted_id = ""
        self._adopt(heartbeat, now_ms)

    def _adopt(self, heartbeat: Heartbeat, now_ms: float) -> None:
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        self._cold_until_ms = now_ms + heartbeat.cold_ms
