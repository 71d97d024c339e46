"""Requests for the backend server beside this node: admit, run, answer.

The only way to the backend server. It knows what runs and waits there, so a
refusal is true: the request has not reached the backend server and never will.
"""

import asyncio
from collections.abc import Callable

import attrs

from ...http.client import ClientConnection, IdlePool
from .. import events
from ..decisions.admission import Admission, Refused, Ticket
from ..decisions.health import Health
from ..decisions.pressure import CallerDetector
from ..incarnation import NO_INCARNATION, Incarnation
from ..messages import Reason, Request
from ..runtime import Runtime
from ..settings import Address
from .contained import run_guarded
from .crashes import CrashTracker
from .load import LoadSummary, tick_load
from .run import AnswerReceiver, Run
from .state import Backend
from .transfers import BodyTransfer, BodyTransfers

CONNECT_TIMEOUT_S = 1.0
"""A backend server on the same instance accepts within about 1 ms; this is the
time after which a silent one counts as unreachable."""
IDLE_MS = 8000.0
"""Idle time after which a connection is closed here; backend servers close theirs
after about 10 s and say so where the time is another."""
FORGOTTEN_MS = 30.0
"""Time from a request on an idle connection within which its end means that the
backend server had forgotten the connection; the round trip takes about 1 ms and
the shortest runs that were measured take 30 ms."""
DOWN_RETRY_MS = 300.0
"""Time between attempts to reach a backend server that refuses connections."""


@attrs.define(eq=False)
class Inbound:
    """The way to the backend server beside this node.

    Attributes
    ----------
    on_change : Callable
        Called when other nodes should hear of a new state.
    """

    runtime: Runtime
    address: Address
    backend: Backend
    on_change: Callable[[], None]
    crashes: CrashTracker
    admission: Admission = attrs.field(factory=Admission)
    idle: IdlePool = attrs.field(factory=lambda: IdlePool(IDLE_MS))
    transfers: BodyTransfers = attrs.field(factory=BodyTransfers)
    load: LoadSummary = attrs.field(factory=LoadSummary)
    health: Health = attrs.field(factory=Health)
    caller_detector: CallerDetector = attrs.field(factory=CallerDetector)
    unreachable: bool = False
    stopping: bool = False
    _runs: dict[Ticket, Run] = attrs.field(factory=dict)
    _next_try_ms: float = 0.0
    _judged: Incarnation = NO_INCARNATION
    _look_due: bool = False

    def now_ms(self) -> float:
        """Return the monotonic time."""
        return self.runtime.now_ms()

    @property
    def open(self) -> bool:
        """Whether other nodes may choose the backend server."""
        return self.backend.is_open() and not self.unreachable and not self.stopping

    @property
    def busy(self) -> bool:
        """Whether a request runs or waits."""
        return bool(self._runs)

    @property
    def late_reason(self) -> Reason:
        """Why what can't end in time is refused."""
        return Reason.STOPPING if self.stopping else Reason.TOO_LATE

    def stop(self, drain_deadline_ms: float) -> None:
        """Serve what can end by then; other nodes are told to choose others."""
        self.stopping = True
        self.admission.drain_deadline_ms = drain_deadline_ms
        self._look_soon()

    def submit(self, request: Request, receiver: AnswerReceiver) -> Run:
        """Take a request; the receiver hears of its outcome.

        A fault on the way ends it, and is raised in place of an outcome. Left on the
        books, the request held its slot and its turn until its deadline.
        """
        run = Run(self, request, receiver)
        self._runs[run.ticket] = run
        try:
            self._admit(run)
        except Exception:
            self.runtime.run_guarded("run", run.cancel)
            raise
        return run

    def _admit(self, run: Run) -> None:
        request = run.request
        reason = self._obstacle(request)
        if reason is not None:
            run.refuse(reason)
            return
        self.admission.slots = self.backend.slots
        if request.mean_run_ms:
            self.admission.expect(request.route, request.mean_run_ms)
        self.caller_detector.record_request(
            request.route, request.priority, request.calling_service
        )
        decision = self.admission.offer(run.ticket, self.now_ms())
        if isinstance(decision, Refused):
            run.refuse(Reason.STOPPING if self.stopping else Reason.OVERLOADED)
        elif decision:
            run.start()

    def _obstacle(self, request: Request) -> Reason | None:
        obstacle = self.backend.obstacle(request, self.now_ms())
        if obstacle is not None:
            return obstacle
        if self.unreachable:
            return Reason.UNREACHABLE
        if request.remaining_ms <= 0:
            return Reason.TOO_LATE
        return None

    def release(self, ticket: Ticket) -> None:
        """Take a run off the books; the queue is looked at once its receiver knows.

        The queue forgets it first. Looked at before that, it gave a late ticket back
        that no run belonged to any more; the fault reset the link of the caller who had
        left, and with it every other run of that link.
        """
        self.admission.leave(ticket)
        self._runs.pop(ticket, None)
        if self._runs:
            self._look_soon()

    def fetched(self, transfer: BodyTransfer) -> None:
        """Pass the turn to fetch a body on."""
        self.transfers.end(transfer)
        self._look_soon()

    def _look_soon(self) -> None:
        """Have the queue looked at from the event loop.

        Looked at from within the end of a request, a queue of a few hundred that a
        leaving server refused exceeded the depth of recursion, and the end of each
        request of a lost link started the next one only to cancel it.
        """
        if not self._look_due:
            self._look_due = True
            self.runtime.call_soon(self._look)

    def _look(self) -> None:
        """Refuse what can't be answered in time any more, give free slots and turns.

        Looked at every 0.1 s only, requests with run times below that reached their
        callers' deadline in the queue: 1,650 of 83,000 attempts of a day of high load
        were answered 504 though they had not run.
        """
        self._look_due = False
        now_ms = self.now_ms()
        self._refuse(self.admission.late(now_ms), self.late_reason)
        if not self.backend.admits(now_ms):
            self._refuse(self.admission.waiting, Reason.LEAVING)
        for waiting in self.transfers.waiting:
            run_guarded(waiting, waiting.refuse_if_late, now_ms)
        while (ticket := self.admission.start_next(now_ms)) is not None:
            run = self._runs[ticket]
            run_guarded(run, run.start)
        while (transfer := self.transfers.start_next()) is not None:
            run_guarded(transfer, transfer.ask_for_body)

    def _refuse(self, tickets: list[Ticket], reason: Reason) -> None:
        """Refuse waiting requests; each waits until its turn to be refused comes.

        One may end meanwhile, by what the receiver of another does.
        """
        for ticket in tickets:
            run = self._runs.get(ticket)
            if run is not None:
                run_guarded(run, run.refuse, reason)

    async def connect(self) -> ClientConnection | None:
        """Open a connection to the backend server; None if it takes none."""
        loop = self.runtime.loop
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    ClientConnection, *self.address
                )
        except OSError as error:
            self._set_unreachable(True, type(error).__name__)
            backend = self.backend
            self.crashes.record_death(
                backend.service, backend.incarnation, self.now_ms()
            )
            return None
        self.runtime.metrics.count("connections_opened")
        self.crashes.record_alive(self.backend.service, self.backend.incarnation)
        self._set_unreachable(False, "")
        return connection

    def keep(self, connection: ClientConnection) -> None:
        """Keep an idle connection."""
        if connection.usable:
            self.idle.put(connection, self.runtime.loop.time())

    def other_instance(self, request: Request, instance_id: str) -> None:
        """Learn that another incarnation answered."""
        events.log(
            events.BACKEND_REPLACED,
            id=request.request_id,
            expected=request.instance_id,
            found=instance_id,
        )
        self.backend.mark_gone(request.incarnation)
        self.backend.confirm_instance(instance_id, self.now_ms())
        self.on_change()

    def ran(self, failed: bool) -> None:
        """Count a run that ended, and tell all nodes at once of a failing server."""
        before = self.health.failure_ratio
        self.health.record(failed)
        if failed and self.health.failure_ratio > before:
            self.on_change()

    def broke_off(
        self, request: Request, connection: ClientConnection, sent_ms: float
    ) -> None:
        """Learn that a connection ended under a request, before any answer.

        A backend server that dies ends all its connections; the last one of them
        has it looked at whether it still listens. If it does, no request is blamed.
        """
        self._next_try_ms = 0.0
        self.crashes.record_lost(request, self.now_ms())
        if len(self._runs) == 1:
            self.runtime.spawn(self._try_again())
        if connection.used > 1 and self.now_ms() - sent_ms < FORGOTTEN_MS:
            self._reduce_reuse_limit(connection.idle_ms)

    def _reduce_reuse_limit(self, idle_ms: float) -> None:
        self.idle.reduce_reuse_limit(idle_ms, self.runtime.loop.time())
        events.log(
            events.IDLE_CONNECTION_LOST,
            instance=self.backend.instance_id,
            rested_ms=round(idle_ms),
            trusted_ms=round(self.idle.reuse_limit_ms),
        )

    def changed(self) -> None:
        """Apply a change of what the backend server announced."""
        self.unreachable = False
        self.on_change()

    def tick(self) -> None:
        """Have the queue looked at, break off overtime, retry the address."""
        now_ms = self.now_ms()
        self._tick_health()
        self.load = tick_load(self.load, self.admission, self.backend)
        self._look_soon()
        for run in list(self._runs.values()):
            run_guarded(run, run.check_age, now_ms)
        self.idle.sweep(self.runtime.loop.time())
        if self.unreachable and now_ms > self._next_try_ms and self.backend.is_open():
            self._next_try_ms = now_ms + DOWN_RETRY_MS
            self.runtime.spawn(self._try_again())

    async def _try_again(self) -> None:
        connection = await self.connect()
        if connection is not None:
            self.keep(connection)

    def _tick_health(self) -> None:
        incarnation = self.backend.incarnation
        if not incarnation.matches(self._judged):
            self.health.clear()
            self.idle.reset_reuse_limit()
            self.admission.forget()
        self._judged = incarnation
        self.health.tick()

    def _set_unreachable(self, unreachable: bool, cause: str) -> None:
        if unreachable == self.unreachable:
            return
        self.unreachable = unreachable
        event = events.BACKEND_LOST if unreachable else events.BACKEND_REACHED
        events.log(event, instance=self.backend.instance_id, cause=cause)
        self.on_change()
