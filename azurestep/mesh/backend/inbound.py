"""Requests to the local backend server: admission, runs and answers.

All requests to the backend server pass here, so a refusal is final: the request has not
run and will not.
"""

import asyncio
from collections.abc import Callable
from functools import partial

import attrs

from ...http.client import ClientConnection
from ...platform.headers import NO_RATE_LIMIT, ServerNotice
from ...routing.table import RoutingTable
from .. import events
from ..decisions.admission import Admission, Refused, Ticket
from ..decisions.calling_services import CallerDetector
from ..decisions.health import Health
from ..decisions.rollout import VersionRole
from ..decisions.rollout_table import RolloutTable
from ..decisions.rollout_verdict import RunCounter, is_bad_run
from ..decisions.speed import UsualRatio
from ..decisions.transfers import BodyTransfers
from ..incarnation import NO_INCARNATION, Incarnation
from ..link_messages import ServerCondition
from ..messages import Reason, Request
from ..runtime import Runtime
from ..settings import Address
from .changes import log_backend_change
from .connections import BackendConnections
from .contained import run_guarded
from .crashes import CrashTracker
from .load import LoadSummary, tick_load
from .run import AnswerReceiver, Run
from .state import LocalBackend

NOTICE_TIMEOUT_MS = 1000.0
"""Time without an answer after which a limited backend server is asked by a probe."""
SETTLE_MS = 20.0
"""Time after which a backend server has read a request that was sent to it.

It is on the same instance and reads within about 1 ms.
"""
CLOSE_NOTICED_MS = 20.0
"""Time after which a backend server has noticed a closed connection, and dropped its
request. Until then the request holds its slot.
"""


@attrs.define(eq=False, repr=False)
class Inbound:
    """Admits requests to the local backend server and runs them.

    The counterpart of ``Outbound``, which accepts the requests of callers.

    Attributes
    ----------
    on_change : Callable
        Called when the state to be reported to other nodes has changed.
    table : Callable
        Returns the configuration in force, or None.
    """

    runtime: Runtime
    address: Address
    backend: LocalBackend
    on_change: Callable[[], None]
    crashes: CrashTracker
    admission: Admission = attrs.field(factory=Admission)
    transfers: BodyTransfers = attrs.field(factory=BodyTransfers)
    load: LoadSummary = attrs.field(factory=LoadSummary)
    health: Health = attrs.field(factory=Health)
    caller_detector: CallerDetector = attrs.field(factory=CallerDetector)
    rollouts: RolloutTable = attrs.field(factory=RolloutTable)
    trial_runs: RunCounter = attrs.field(factory=RunCounter)
    table: Callable[[], RoutingTable | None] = lambda: None
    usual_ratio: UsualRatio = attrs.field(factory=UsualRatio)
    shutting_down: bool = False
    connections: BackendConnections = attrs.field(init=False)
    _runs: dict[Ticket, Run] = attrs.field(factory=dict)
    _last_notice_ms: float = 0.0
    _last_incarnation: Incarnation = NO_INCARNATION
    _scan_scheduled: bool = False
    _scan_timer: asyncio.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        self.connections = BackendConnections(
            self.runtime, self.address, self.backend, self.crashes, self.on_change
        )

    def now_ms(self) -> float:
        """Return the monotonic time."""
        return self.runtime.now_ms()

    @property
    def open(self) -> bool:
        """Whether other nodes may choose the backend server."""
        return (
            self.backend.is_open()
            and not self.connections.unreachable
            and not self.shutting_down
        )

    @property
    def busy(self) -> bool:
        """Whether a request runs or waits."""
        return bool(self._runs)

    @property
    def late_reason(self) -> Reason:
        """Reason for the refusal of requests that can't end in time."""
        return Reason.STOPPING if self.shutting_down else Reason.TOO_LATE

    def team_weight(self, team: str) -> float:
        """Return the weight of a team's requests in the queue; 1 if it isn't known."""
        table = self.table() if team else None
        if table is None or table.teams is None:
            return 1.0
        found = table.teams.get(team)
        return found.requests_per_s if found and found.limited else 1.0

    def _may_be_call(self, request: Request) -> bool:
        """Whether a request may be a call between services by its own fields.

        Where the configuration has teams, calls belong to none, as they carry no key.
        """
        table = self.table()
        has_teams = table is not None and table.teams is not None
        own_service = self.backend.service.encode()
        return has_teams and not request.team and request.calling_service != own_service

    def begin_shutdown(self, drain_deadline_ms: float) -> None:
        """Stop taking new requests, and refuse what can't end by the deadline."""
        self.shutting_down = True
        self.admission.drain_deadline_ms = drain_deadline_ms
        self._schedule_scan()

    def submit(
        self,
        request: Request,
        receiver: AnswerReceiver,
        late_ms: float = 0.0,
        confirms_again: bool = False,
    ) -> Run:
        """Admit a request and report its outcome to the receiver.

        An error ends the run, so that its slot is released, and is raised.

        Parameters
        ----------
        late_ms : float
            How long the request lay unread on its link.
        confirms_again : bool
            Whether another node sent it, which can be asked whether it still wants it.
        """
        run = Run(self, request, receiver, late_ms, confirms_again)
        self._runs[run.ticket] = run
        try:
            self._admit(run)
        except Exception:
            self.runtime.run_guarded("run", run.cancel)
            raise
        return run

    def _admit(self, run: Run) -> None:
        request = run.request
        reason = self._find_refusal_reason(request)
        if reason is not None:
            run.refuse(reason)
            return
        self.admission.slots = self.backend.slots
        self._update_rate_limit()
        if request.fleet_mean_run_ms:
            self.admission.set_fleet_mean(request.route, request.fleet_mean_run_ms)
        presumed = self._may_be_call(request)
        self.caller_detector.record_request(
            request.route, request.priority, request.calling_service, presumed=presumed
        )
        run.ticket.is_call = self.caller_detector.is_called(
            request.route, self.backend.service, presumed=presumed
        )
        if run.awaits_body:
            self._admit_transfer(run)
            return
        decision = self.admission.admit(run.ticket, self.now_ms())
        if isinstance(decision, Refused):
            run.refuse(self._overload_reason)
        elif decision:
            run.start()
        elif self.backend.is_leaving():
            run.refuse(Reason.LEAVING)
        elif not request.may_wait:
            run.refuse(Reason.OVERLOADED)
        else:
            self._schedule_limited_start(self.now_ms())

    @property
    def _overload_reason(self) -> Reason:
        """Reason for the refusal of requests for which there is no capacity."""
        return Reason.STOPPING if self.shutting_down else Reason.OVERLOADED

    def _admit_transfer(self, run: Run) -> None:
        """Receive a large body before its request gets a slot, or refuse it at once.

        The body waits for the link only, so it doesn't keep a slot from others.
        """
        ticket, now_ms = run.ticket, self.now_ms()
        wait_ms = self.transfers.wait_ms()
        transfer_ms = self.transfers.transfer_ms(run.request.length)
        end_ms = self.admission.estimate_end_ms(ticket, now_ms + wait_ms + transfer_ms)
        latest_ms = self.admission.run_deadline_ms(ticket)
        if wait_ms and not ticket.is_call:
            latest_ms = min(latest_ms, ticket.objective_deadline_ms)
        if self.backend.is_leaving():
            run.refuse(Reason.LEAVING)
        elif end_ms > latest_ms:
            run.refuse(self._overload_reason)
        else:
            in_pieces = run.request.body_in_pieces
            self.transfers.add(run, run.request.length, in_pieces)
            self._schedule_scan()

    def record_body(self, run: object, size_bytes: int, whole: bool) -> None:
        """Record a piece of a body; a request whose body is whole may run."""
        if not isinstance(run, Run):
            return
        self.transfers.record_received(run, size_bytes, self.now_ms())
        if whole:
            self.transfers.remove(run)
            self._admit_received(run)
        self._schedule_scan()

    def _admit_received(self, run: Run) -> None:
        """Run a request whose body was received, or let it wait for a slot."""
        decision = self.admission.admit(run.ticket, self.now_ms(), committed=True)
        if isinstance(decision, Refused):
            run.refuse(self._overload_reason)
        elif decision:
            run.start()

    def _find_refusal_reason(self, request: Request) -> Reason | None:
        reason = self.backend.refusal_reason(request, self.now_ms())
        if reason is not None:
            return reason
        if self._is_withheld():
            return Reason.LEAVING
        if self.connections.unreachable:
            return Reason.UNREACHABLE
        if request.remaining_ms <= 0:
            return Reason.TOO_LATE
        return None

    def _is_withheld(self) -> bool:
        """Whether a roll-out gives this version of the backend server no requests."""
        role = self.rollouts.role_of(
            self.backend.service, self.backend.version, self.now_ms()
        )
        return role is VersionRole.WITHHELD

    def apply_rollout(self) -> None:
        """Hand back the waiting requests if the version of the server is withheld."""
        self._schedule_scan()

    def record_trial_run(self, route: str, failed: bool, run_ms: float) -> None:
        """Count a run, if two versions of the service are being compared."""
        if not self.rollouts.in_trial(self.backend.service):
            return
        cold = self.backend.cold_remaining_ms(self.now_ms()) > 0
        mean_ms = 0.0 if cold else self.admission.fleet_mean_run_ms(route)
        self.trial_runs.record(route, is_bad_run(failed, run_ms, mean_ms))

    def release(self, ticket: Ticket) -> None:
        """Remove a run and schedule a scan of the queue.

        The ticket is removed first, since the scan expects a run for each ticket.
        """
        self.admission.remove(ticket, self.now_ms())
        self._runs.pop(ticket, None)
        if self._runs:
            self._schedule_scan()

    def release_late(self, ticket: Ticket) -> None:
        """Remove a run once the backend server has noticed that it was cancelled."""
        self.runtime.call_later(CLOSE_NOTICED_MS, partial(self.release, ticket))

    def _schedule_scan(self) -> None:
        """Schedule a scan of the queue on the event loop.

        A scan while a request is being ended would recurse through a long queue and
        start requests that are about to be cancelled together.
        """
        if not self._scan_scheduled:
            self._scan_scheduled = True
            self.runtime.call_soon(self._scan_queue)

    def _scan_queue(self) -> None:
        """Refuse requests that can't end in time, then assign slots and the link.

        Also done between ticks, since the deadline of a short request may pass earlier.
        """
        self._scan_scheduled = False
        now_ms = self.now_ms()
        self._update_rate_limit()
        self._refuse(self.admission.find_expiring(now_ms), self._expiry_reason)
        if not self.backend.admits(now_ms) or self._is_withheld():
            self._refuse(self.admission.waiting, Reason.LEAVING)
            self._refuse(self._transferring(), Reason.LEAVING)
        for run in self._runs_in_transfer():
            run_guarded(run, run.refuse_if_late, now_ms)
        while (ticket := self.admission.start_next(now_ms)) is not None:
            run = self._runs[ticket]
            run_guarded(run, run.start)
        if self.backend.is_leaving():
            self._refuse(self.admission.waiting, Reason.LEAVING)
        for grant in self.transfers.grant(now_ms):
            if isinstance(grant.owner, Run):
                run_guarded(grant.owner, grant.owner.request_body, grant)
        self._schedule_limited_start(now_ms)

    def _runs_in_transfer(self) -> list[Run]:
        return [run for run in self.transfers if isinstance(run, Run)]

    def _transferring(self) -> list[Ticket]:
        return [run.ticket for run in self._runs_in_transfer()]

    def _schedule_limited_start(self, now_ms: float) -> None:
        """Schedule a scan for when the rate limit lets the next request start."""
        if self._scan_timer is not None:
            self._scan_timer.cancel()
            self._scan_timer = None
        start_ms = self.admission.next_start_ms(now_ms)
        if start_ms is not None:
            delay_ms = max(0.0, start_ms - now_ms)
            self._scan_timer = self.runtime.call_later(delay_ms, self._schedule_scan)

    def _update_rate_limit(self) -> None:
        self.admission.limiter.set_rate(self.backend.rate_limit_per_s, self.now_ms())

    @property
    def _expiry_reason(self) -> Reason:
        """Reason for the refusal of requests that would wait too long."""
        limited = self.admission.limiter.active and not self.shutting_down
        return Reason.OVERLOADED if limited else self.late_reason

    def _refuse(self, tickets: list[Ticket], reason: Reason) -> None:
        """Refuse waiting requests.

        Each is looked up again, since the receiver of a refusal may end other requests.
        """
        for ticket in tickets:
            run = self._runs.get(ticket)
            if run is not None:
                run_guarded(run, run.refuse, reason)

    def handle_replaced_instance(self, request: Request, instance_id: str) -> None:
        """Handle an answer of another incarnation."""
        events.log(
            events.BACKEND_REPLACED,
            id=request.request_id,
            expected=request.instance_id,
            found=instance_id,
        )
        self.backend.mark_ended(request.incarnation)
        self.backend.confirm_instance(instance_id, self.now_ms())
        self.on_change()

    def apply_notice(
        self, incarnation: Incarnation, notice: ServerNotice, probed: bool = False
    ) -> None:
        """Apply what an incarnation said about itself in an answer.

        ``probed``: the answer was to a health probe.
        """
        backend = self.backend
        self._last_notice_ms = self.now_ms()
        was_limited = backend.rate_limit_per_s != NO_RATE_LIMIT
        was_malformed = backend.malformed_notice
        was_unknown = backend.unknown_notice
        was_leaving = backend.is_leaving()
        if probed:
            backend.apply_probed_notice(incarnation, notice, self.now_ms())
        else:
            backend.apply_notice(incarnation, notice, self.now_ms())
        if backend.is_leaving() and not was_leaving:
            log_backend_change(backend)
            self._schedule_scan()
            self.on_change()
        if backend.rate_limit_per_s != self.admission.limiter.rate_per_s:
            self._schedule_scan()
        if (backend.rate_limit_per_s != NO_RATE_LIMIT) != was_limited:
            self.on_change()
            events.log(
                events.BACKEND_RATE_LIMIT,
                instance=backend.instance_id,
                limit_per_s=backend.rate_limit_per_s,
            )
        if backend.malformed_notice and not was_malformed:
            events.log(
                events.BACKEND_NOTICE_MALFORMED,
                instance=backend.instance_id,
                headers=[name.decode("latin-1") for name in notice.malformed],
            )
        if backend.unknown_notice and not was_unknown:
            events.log(
                events.BACKEND_NOTICE_UNKNOWN,
                instance=backend.instance_id,
                headers=[name.decode("latin-1") for name in notice.unknown],
            )

    def apply_work_ratio(self, incarnation: Incarnation, ratio: float | None) -> None:
        """Apply how long work takes at an incarnation by its answer.

        Taken relative to what it states mostly, which the mean run times hold.
        """
        if ratio is None or not self.backend.incarnation.matches(incarnation):
            return
        now_ms = self.now_ms()
        speed = self.admission.speed
        before = speed.ratio(now_ms)
        speed.record(self.usual_ratio.relate(ratio, now_ms), now_ms)
        if speed.stated > before and self.admission.waiting:
            self._schedule_scan()

    def limit_wait_for_probe(self) -> None:
        """Limit the time that requests wait for the first answer to a probe."""
        self.admission.former_runs.limit_wait(self.now_ms())

    def record_probe(self, occupancy: int | None, sent_ms: float) -> None:
        """Apply how many requests occupy the backend server by a probe's answer.

        Own runs count as included only if they were sent well before the probe: the
        backend server may read a later request first.
        """
        former_runs = self.admission.former_runs
        if not former_runs.uncertain:
            return
        settled_ms = sent_ms - SETTLE_MS
        own = sum(0 < run.sent_ms <= settled_ms for run in self._runs.values())
        former_runs.record_probe(occupancy, own, self.now_ms())
        self._on_former_runs()

    def _on_former_runs(self) -> None:
        events.log(
            events.FORMER_RUNS,
            instance=self.backend.instance_id,
            running=self.admission.former_runs.count,
        )
        self._schedule_scan()

    def awaits_notice(self) -> bool:
        """Whether a limited backend server gave no answer that could lift the limit."""
        limited = self.backend.rate_limit_per_s != NO_RATE_LIMIT
        return limited and self.now_ms() - self._last_notice_ms > NOTICE_TIMEOUT_MS

    def condition(self) -> ServerCondition | None:
        """Return what the backend server said about itself; None if nothing."""
        backend = self.backend
        if not backend.has_notice:
            return None
        incarnation = backend.incarnation
        return ServerCondition(
            incarnation.instance_id,
            incarnation.started_ms,
            backend.rate_limit_per_s,
            backend.is_leaving(),
        )

    def apply_peer_condition(self, condition: ServerCondition) -> None:
        """Apply what a former process of this node told a peer."""
        self.backend.recall_notice(
            condition.incarnation, condition.rate_limit_per_s, condition.leaving
        )
        self._schedule_scan()
        self.on_change()

    def record_run(self, failed: bool) -> None:
        """Count a run that ended, and report a rising failure ratio at once."""
        before = self.health.failure_ratio
        self.health.record(failed)
        if failed and self.health.failure_ratio > before:
            self.on_change()

    def record_connection_loss(
        self, request: Request, connection: ClientConnection, sent_ms: float
    ) -> None:
        """Record that a connection ended during a request, before any answer."""
        is_last = sum(not run.done for run in self._runs.values()) == 1
        self.connections.record_loss(request, connection, sent_ms, is_last=is_last)

    def apply_announcement(self) -> None:
        """Apply a new announcement of the backend server."""
        self.connections.unreachable = False
        self.on_change()

    def tick(self) -> None:
        """Scan the queue, enforce timeouts and retry an unreachable backend server."""
        now_ms = self.now_ms()
        self._tick_health()
        self.load = tick_load(self.load, self.admission, self.backend)
        if self.admission.former_runs.expire(now_ms):
            self._on_former_runs()
        self._schedule_scan()
        for run in list(self._runs.values()):
            run_guarded(run, run.enforce_timeouts, now_ms)
        self.connections.tick(now_ms)

    def _tick_health(self) -> None:
        incarnation = self.backend.incarnation
        if not incarnation.matches(self._last_incarnation):
            self.health.clear()
            self.connections.idle.reset_reuse_limit()
            self.admission.clear_run_times()
            self.usual_ratio = UsualRatio()
        self._last_incarnation = incarnation
        self.health.tick()
