"""What a node knows of the backend server beside it.

The node is the only one that sends requests to this backend server, so what it
decides here holds for the whole fleet: a server that leaves gets nothing more.
"""

import attrs

from ...platform.announcement import Heartbeat, LeavingNotice
from ..incarnation import NO_INCARNATION, START_UNKNOWN, Incarnation
from ..messages import Reason, Request

DRAIN_SHARE = 0.5
"""Share of the drain bound in which requests on their way still get in."""
UNKNOWN_SINCE_MS = float("-inf")
"""Begin of the leaving of an incarnation that this process never saw serving: the
process before it may have acknowledged the leaving long ago."""


@attrs.define(slots=True)
class History:
    """What is known of the newest incarnation under one id.

    Attributes
    ----------
    started_ms : int or None
        Its start; None until it told it.
    heartbeat : Heartbeat or None
        The newest one.
    leaving_since_ms : float or None
        When it first said that it leaves.
    ended : bool
        Whether another one was found at its address.
    """

    started_ms: int | None
    heartbeat: Heartbeat | None = None
    leaving_since_ms: float | None = None
    ended: bool = False

    def is_followed_by(self, started_ms: int | None) -> bool:
        """Whether an incarnation with that start is a later one.

        One that ended before it told its start may have been an earlier one too.
        """
        if started_ms is None:
            return False
        if self.started_ms is None:
            return self.ended
        return started_ms > self.started_ms

    def is_after(self, started_ms: int | None) -> bool:
        """Whether an incarnation with that start is an earlier one."""
        return (
            started_ms is not None
            and self.started_ms is not None
            and started_ms < self.started_ms
        )


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
        Id of the incarnation that gets the requests.
    conflicting_id : str
        An incarnation that announced itself at the same address while another
        one is known; a health probe decides which of them runs.
    """

    drain_ms: float
    service: str = ""
    instance_id: str = ""
    slots: int = 1
    conflicting_id: str = ""
    _cold_until_ms: float = 0.0
    _histories: dict[str, History] = attrs.field(factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """The one that gets the requests."""
        if not self.instance_id:
            return NO_INCARNATION
        history = self._histories.get(self.instance_id)
        started_ms = history.started_ms if history is not None else None
        name = self.instance_id.encode("latin-1", "replace")
        return Incarnation(name, started_ms or START_UNKNOWN)

    def apply_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take a heartbeat in; a late or overtaken one changes nothing."""
        name = heartbeat.instance_id
        history = self._history(name, heartbeat.started_ms)
        if history is None:
            return
        if heartbeat.leaving:
            self._begin_leaving(name, history, now_ms)
        newest = history.heartbeat
        if newest is not None and heartbeat.sequence <= newest.sequence:
            return
        if history.ended:
            return
        history.heartbeat = heartbeat
        if name == self.instance_id:
            self._adopt(heartbeat, now_ms)
        elif not self.instance_id:
            self._replace(heartbeat, now_ms)
        elif not heartbeat.leaving:
            self.conflicting_id = name

    def apply_leaving(self, notice: LeavingNotice, now_ms: float) -> None:
        """Take a leaving notice in."""
        history = self._history(notice.instance_id, notice.started_ms)
        if history is not None:
            self._begin_leaving(notice.instance_id, history, now_ms)

    def announced_service(self, instance_id: str) -> str:
        """Return the service that was announced under an id; empty for none."""
        history = self._histories.get(instance_id)
        if history is None or history.heartbeat is None:
            return ""
        return history.heartbeat.service

    def discover(self, instance_id: str, service: str, slots: int) -> bool:
        """Take in what a health probe found where nothing was announced.

        Returns
        -------
        bool
            Whether this is the incarnation that gets the requests now.
        """
        history = self._histories.get(instance_id)
        gone = history is not None and (
            history.ended or history.leaving_since_ms is not None
        )
        if self.instance_id or gone:
            return False
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        return True

    def confirm_instance(self, instance_id: str, now_ms: float) -> None:
        """Learn from an answer which incarnation runs at the address."""
        history = self._histories.get(instance_id)
        if not instance_id or (history is not None and history.ended):
            return
        if instance_id == self.instance_id:
            self.conflicting_id = ""
            return
        if self.instance_id:
            self._note_end(self.instance_id)
        self.instance_id = ""
        self.conflicting_id = ""
        if history is not None and history.heartbeat is not None:
            self._replace(history.heartbeat, now_ms)

    def mark_gone(self, incarnation: Incarnation) -> None:
        """Note that an incarnation does not run at the address any more.

        A later one under the same id is not concerned.
        """
        name = incarnation.instance_id.decode("latin-1")
        history = self._histories.get(name)
        if history is not None and history.is_after(incarnation.started_ms or None):
            return
        self._note_end(name)
        if name == self.instance_id:
            self.instance_id = ""

    def is_leaving(self) -> bool:
        """Whether the incarnation that gets requests said that it leaves."""
        return self._leaving_since_ms() is not None

    def is_open(self) -> bool:
        """Whether other nodes may choose this backend server."""
        return bool(self.instance_id) and not self.is_leaving()

    def admits(self, now_ms: float) -> bool:
        """Whether a request that arrives now may be sent to it."""
        if not self.instance_id:
            return False
        since_ms = self._leaving_since_ms()
        return since_ms is None or now_ms - since_ms < self.drain_ms * DRAIN_SHARE

    def obstacle(self, request: Request, now_ms: float) -> Reason | None:
        """Return why a request may not be sent to it; None if it may."""
        if not self.instance_id or self.service != request.service:
            return Reason.NO_BACKEND
        if not self.incarnation.matches(request.incarnation):
            return Reason.OTHER_INSTANCE
        return None if self.admits(now_ms) else Reason.LEAVING

    def cold_remaining_ms(self, now_ms: float) -> float:
        """Return how much longer the backend server is slow after its start."""
        return max(0.0, self._cold_until_ms - now_ms)

    def _history(self, name: str, started_ms: int | None) -> History | None:
        """Return the history that news of an incarnation belong to.

        None if they are late news of a start before the newest one. A later start
        begins anew: its heartbeats count from one again, and what the earlier one
        said of leaving does not hold.
        """
        history = self._histories.get(name)
        if history is None or history.is_followed_by(started_ms):
            history = self._histories[name] = History(started_ms)
        if history.is_after(started_ms):
            return None
        if history.started_ms is None:
            history.started_ms = started_ms
        return history

    def _note_end(self, name: str) -> None:
        self._histories.setdefault(name, History(None)).ended = True

    def _leaving_since_ms(self) -> float | None:
        history = self._histories.get(self.instance_id)
        return None if history is None else history.leaving_since_ms

    def _begin_leaving(self, name: str, history: History, now_ms: float) -> None:
        if history.leaving_since_ms is None:
            known = name == self.instance_id or history.heartbeat is not None
            history.leaving_since_ms = now_ms if known else UNKNOWN_SINCE_MS

    def _replace(self, heartbeat: Heartbeat, now_ms: float) -> None:
        self.instance_id = heartbeat.instance_id
        self.conflicting_id = ""
        self._adopt(heartbeat, now_ms)

    def _adopt(self, heartbeat: Heartbeat, now_ms: float) -> None:
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        self._cold_until_ms = now_ms + heartbeat.cold_remaining_ms
