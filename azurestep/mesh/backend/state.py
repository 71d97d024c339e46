"""State of the local backend server.

All requests to the backend server pass the local node, so its decisions hold for the
whole fleet: a leaving server gets no more requests.
"""

import attrs

from ...platform.announcement import Heartbeat, LeavingNotice
from ...platform.headers import NO_RATE_LIMIT, ServerNotice
from ..incarnation import NO_INCARNATION, START_UNKNOWN, Incarnation
from ..messages import Reason, Request

DRAIN_ADMIT_RATIO = 0.5
"""Fraction of the drain time in which requests in transit are still admitted."""
TRIAL_RATE_PER_S = 1.0
"""Rate at which a server is tried whose health probes name no limit any more.

The answer to a request decides; probes may be answered without the limit.
"""
LEAVING_SINCE_UNKNOWN_MS = float("-inf")
"""Leaving time assumed for an incarnation that was leaving when first seen.

Its drain time may be over, so it admits no requests.
"""


@attrs.define(slots=True, eq=False, repr=False)
class IncarnationRecord:
    """The newest known incarnation under one id.

    Attributes
    ----------
    started_ms : int or None
        Its start; None until announced.
    heartbeat : Heartbeat or None
        Its latest heartbeat.
    leaving_since_ms : float or None
        When it first announced that it leaves.
    ended : bool
        Whether another incarnation was found at its address.
    rate_limit_per_s : float
        Requests per second that it takes, by its latest answer; infinite for no limit.
    malformed_notice, unknown_notice : bool
        Whether an answer of it had a notice that can't be read, or one that this
        program doesn't know.
    answered : bool
        Whether it answered this process of the node.
    has_notice : bool
        Whether it ever named a limit or said that it leaves.
    """

    started_ms: int | None
    heartbeat: Heartbeat | None = None
    leaving_since_ms: float | None = None
    ended: bool = False
    rate_limit_per_s: float = NO_RATE_LIMIT
    malformed_notice: bool = False
    unknown_notice: bool = False
    answered: bool = False
    has_notice: bool = False

    def is_superseded_by(self, started_ms: int | None) -> bool:
        """Whether an incarnation with that start is a later one.

        If this one never announced its start, any start after its end counts as later.
        """
        if started_ms is None:
            return False
        if self.started_ms is None:
            return self.ended
        return started_ms > self.started_ms

    def is_newer_than(self, started_ms: int | None) -> bool:
        """Whether an incarnation with that start is an earlier one."""
        return (
            started_ms is not None
            and self.started_ms is not None
            and started_ms < self.started_ms
        )


@attrs.define(slots=True, eq=False, repr=False)
class LocalBackend:
    """The backend server of the same instance, as it announced itself.

    Attributes
    ----------
    drain_ms : float
        Longest time between a leaving notice and the last request.
    service, slots : str, int
        As announced; the service is empty until the first heartbeat.
    instance_id : str
        Id of the incarnation that receives requests.
    conflicting_id : str
        Another incarnation that announced the same address; a health probe finds out
        which of them runs.
    version : str
        Software version of that incarnation; empty until announced.
    """

    drain_ms: float
    service: str = ""
    instance_id: str = ""
    slots: int = 1
    conflicting_id: str = ""
    version: str = ""
    _cold_until_ms: float = 0.0
    _records: dict[str, IncarnationRecord] = attrs.field(factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that receives requests."""
        if not self.instance_id:
            return NO_INCARNATION
        record = self._records.get(self.instance_id)
        started_ms = record.started_ms if record is not None else None
        instance_id = self.instance_id.encode("latin-1", "replace")
        return Incarnation(instance_id, started_ms or START_UNKNOWN)

    def apply_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Apply a heartbeat; an outdated one can only announce leaving."""
        instance_id = heartbeat.instance_id
        record = self._find_record(instance_id, heartbeat.started_ms)
        if record is None:
            return
        if heartbeat.leaving:
            self._record_leaving(instance_id, record, now_ms)
        newest = record.heartbeat
        if newest is not None and heartbeat.sequence <= newest.sequence:
            return
        if record.ended:
            return
        record.heartbeat = heartbeat
        if instance_id == self.instance_id:
            self._adopt(heartbeat, now_ms)
        elif not self.instance_id:
            self._switch_to(heartbeat, now_ms)
        elif not heartbeat.leaving:
            self.conflicting_id = instance_id

    def apply_leaving(self, notice: LeavingNotice, now_ms: float) -> None:
        """Apply a leaving notice."""
        record = self._find_record(notice.instance_id, notice.started_ms)
        if record is not None:
            self._record_leaving(notice.instance_id, record, now_ms)

    def apply_notice(
        self, incarnation: Incarnation, notice: ServerNotice, now_ms: float
    ) -> None:
        """Apply what an incarnation said about itself in an answer."""
        instance_id = incarnation.instance_id.decode("latin-1")
        record = self._find_record(instance_id, incarnation.started_ms or None)
        if record is None:
            return
        record.answered = True
        record.malformed_notice |= bool(notice.malformed)
        record.unknown_notice |= bool(notice.unknown)
        if notice.rate_limit_per_s is not None:
            record.rate_limit_per_s = notice.rate_limit_per_s
            record.has_notice |= notice.rate_limit_per_s != NO_RATE_LIMIT
        if notice.leaving:
            self._record_leaving(instance_id, record, now_ms)

    def apply_probed_notice(
        self, incarnation: Incarnation, notice: ServerNotice, now_ms: float
    ) -> None:
        """Apply what an incarnation said about itself in the answer to a probe."""
        if notice.leaving or notice.rate_limit_per_s != NO_RATE_LIMIT:
            self.apply_notice(incarnation, notice, now_ms)
            return
        record = self._records.get(incarnation.instance_id.decode("latin-1"))
        if record is not None:
            record.rate_limit_per_s = max(record.rate_limit_per_s, TRIAL_RATE_PER_S)

    def recall_notice(
        self, incarnation: Incarnation, rate_limit_per_s: float, leaving: bool
    ) -> None:
        """Apply what an incarnation had said to a former process of this node.

        Its own answers replace the limit; until then, the lowest one that was told
        holds. When a server began to leave is not known, so its drain time counts as
        over.
        """
        instance_id = incarnation.instance_id.decode("latin-1")
        record = self._find_record(instance_id, incarnation.started_ms or None)
        if record is None:
            return
        if leaving:
            record.has_notice = True
            record.leaving_since_ms = LEAVING_SINCE_UNKNOWN_MS
        if not record.answered:
            record.has_notice = True
            record.rate_limit_per_s = min(record.rate_limit_per_s, rate_limit_per_s)

    def announced_service(self, instance_id: str) -> str:
        """Return the service announced under an id; empty for none."""
        record = self._records.get(instance_id)
        if record is None or record.heartbeat is None:
            return ""
        return record.heartbeat.service

    def discover(self, instance_id: str, service: str, slots: int) -> bool:
        """Use the incarnation that a health probe found, if none was announced.

        Returns
        -------
        bool
            Whether it receives the requests now.
        """
        record = self._records.get(instance_id)
        unavailable = record is not None and (
            record.ended or record.leaving_since_ms is not None
        )
        if self.instance_id or unavailable:
            return False
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        self.version = ""
        return True

    def confirm_instance(self, instance_id: str, now_ms: float) -> None:
        """Set the current incarnation to the one that sent an answer.

        Requests are refused until its heartbeat has arrived.
        """
        record = self._records.get(instance_id)
        if not instance_id or (record is not None and record.ended):
            return
        if instance_id == self.instance_id:
            self.conflicting_id = ""
            return
        if self.instance_id:
            self._end_record(self.instance_id)
        self.instance_id = ""
        self.conflicting_id = ""
        if record is not None and record.heartbeat is not None:
            self._switch_to(record.heartbeat, now_ms)

    def mark_ended(self, incarnation: Incarnation) -> None:
        """Record that an incarnation doesn't run at the address any more.

        A later one under the same id is not affected.
        """
        instance_id = incarnation.instance_id.decode("latin-1")
        record = self._records.get(instance_id)
        if record is not None and record.is_newer_than(incarnation.started_ms or None):
            return
        self._end_record(instance_id)
        if instance_id == self.instance_id:
            self.instance_id = ""

    @property
    def rate_limit_per_s(self) -> float:
        """Requests per second that the backend server takes; infinite for no limit."""
        record = self._records.get(self.instance_id)
        return NO_RATE_LIMIT if record is None else record.rate_limit_per_s

    @property
    def has_notice(self) -> bool:
        """Whether the backend server ever named a limit or said that it leaves."""
        record = self._records.get(self.instance_id)
        return record is not None and record.has_notice

    @property
    def malformed_notice(self) -> bool:
        """Whether the backend server sent a notice that can't be read."""
        record = self._records.get(self.instance_id)
        return record is not None and record.malformed_notice

    @property
    def unknown_notice(self) -> bool:
        """Whether the backend server sent a notice that this program doesn't know."""
        record = self._records.get(self.instance_id)
        return record is not None and record.unknown_notice

    def is_leaving(self) -> bool:
        """Whether the incarnation that receives requests is leaving."""
        return self._leaving_since_ms() is not None

    def is_open(self) -> bool:
        """Whether other nodes may choose this backend server."""
        return bool(self.instance_id) and not self.is_leaving()

    def admits(self, now_ms: float) -> bool:
        """Whether a request that arrives now may be sent to it."""
        if not self.instance_id:
            return False
        since_ms = self._leaving_since_ms()
        return since_ms is None or now_ms - since_ms < self.drain_ms * DRAIN_ADMIT_RATIO

    def refusal_reason(self, request: Request, now_ms: float) -> Reason | None:
        """Return why a request may not be sent to it; None if it may."""
        if not self.instance_id or self.service != request.service:
            return Reason.NO_BACKEND
        if not self.incarnation.matches(request.incarnation):
            return Reason.OTHER_INSTANCE
        return None if self.admits(now_ms) else Reason.LEAVING

    def cold_remaining_ms(self, now_ms: float) -> float:
        """Return the remaining time of its cold start."""
        return max(0.0, self._cold_until_ms - now_ms)

    def _find_record(
        self, instance_id: str, started_ms: int | None
    ) -> IncarnationRecord | None:
        """Return the record of an incarnation; None if a newer one is known.

        A later start gets a new record: its heartbeats are numbered from one again, and
        an earlier leaving doesn't apply to it.
        """
        record = self._records.get(instance_id)
        if record is None or record.is_superseded_by(started_ms):
            record = self._records[instance_id] = IncarnationRecord(started_ms)
        if record.is_newer_than(started_ms):
            return None
        if record.started_ms is None:
            record.started_ms = started_ms
        return record

    def _end_record(self, instance_id: str) -> None:
        self._records.setdefault(instance_id, IncarnationRecord(None)).ended = True

    def _leaving_since_ms(self) -> float | None:
        record = self._records.get(self.instance_id)
        return None if record is None else record.leaving_since_ms

    def _record_leaving(
        self, instance_id: str, record: IncarnationRecord, now_ms: float
    ) -> None:
        record.has_notice = True
        if record.leaving_since_ms is None:
            known = instance_id == self.instance_id or record.heartbeat is not None
            record.leaving_since_ms = now_ms if known else LEAVING_SINCE_UNKNOWN_MS

    def _switch_to(self, heartbeat: Heartbeat, now_ms: float) -> None:
        self.instance_id = heartbeat.instance_id
        self.conflicting_id = ""
        self._adopt(heartbeat, now_ms)

    def _adopt(self, heartbeat: Heartbeat, now_ms: float) -> None:
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        self.version = heartbeat.version
        self._cold_until_ms = now_ms + heartbeat.cold_remaining_ms
