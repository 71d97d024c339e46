"""One request at the backend server beside this node."""

from collections.abc import Callable

from ...http.client import FAULT, ClientConnection, Headers
from ...platform.headers import AnswerFields
from .. import events
from ..decisions.admission import Ticket
from ..messages import Answer, Failure, Reason, Refusal, Request
from .answer_parts import MISDIRECTED, AnswerParts
from .interfaces import AnswerReceiver, RunHost
from .request_bytes import first_bytes, framed

BUFFER_BYTES = 262_144
"""Answers up to this size are read whole before they are passed on, so that one
that is cut short can be tried elsewhere; longer ones are streamed."""
FLOW_WINDOW_BYTES = 262_144
"""Bytes of a streamed body that may be on their way between two nodes."""
FRESH_MS = 2000.0
"""Most idle time of a connection that carries a request that must not run twice:
backend servers close idle connections after seconds, and a request that crosses
the close may have run."""
OVERTIME_MS = 150.0
"""Time past the deadline after which a run is broken off here; the backend server
stops by itself at the deadline."""
WAY_MS = 100.0
"""Longest delay of a request on its way here that isn't taken off its time; its
caller's deadline may come by so much before the one that is reckoned here."""
HELD_MS = 400.0
"""Longest time that a held request keeps a slot; its sender answers within some 3 ms
and gives a silent link up after 250 ms."""
FETCH_MS = 450.0
"""Longest turn to be sent a body. One of 512 KB, the longest, takes 420 ms on a link of
10 Mbit/s. With a longer turn, two senders that had fallen silent kept all other uploads
beside a server from their bodies until their own deadlines."""
FIRST_FAILURE_STATUS = 300
BAD_REQUEST = 400
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


class Run:
    """One request on its way through this node to the backend server."""

    def __init__(
        self, inbound: RunHost, request: Request, receiver: AnswerReceiver
    ) -> None:
        now_ms = inbound.now_ms()
        self._submitted_ms = now_ms
        self.inbound = inbound
        self.request = request
        self.receiver = receiver
        self.deadline_ms = now_ms + request.remaining_ms
        self.ticket = Ticket(
            request.route,
            request.priority,
            now_ms,
            now_ms + request.objective_ms,
            self.deadline_ms,
        )
        self.done = False
        self._connection: ClientConnection | None = None
        self._early: list[bytes] = []
        self._whole = request.whole
        self._parts = AnswerParts()
        self._streaming = False
        self._unacknowledged = 0
        self._ungranted = 0
        self._sent_ms = 0.0
        self._held = request.needs_confirmation
        self._ready_ms = 0.0
        self._awaits_body = False
        self._hopeful: bool | None = None

    # From the sender of the request.

    def body(self, data: bytes, whole: bool) -> None:
        """Take more of the request's body."""
        if self.done:
            return
        self._whole = whole
        if self._connection is None:
            self._early.append(data)
            if whole and self._awaits_body:
                self._awaits_body = False
                self.inbound.fetched(self)
                self.start()
            return
        self._connection.send_more(framed(self.request, data, whole), whole)
        self._grant(len(data))

    def proceed(self) -> None:
        """Send a held request on."""
        if self._held:
            self._held = False
            if self.done or not self._ready_ms:
                return
            if self._awaits_body:
                return
            self.start()

    def cancel(self) -> None:
        """Stop the request; nobody waits for its answer."""
        if self.done:
            return
        if self._sent_ms:
            events.log(
                events.RUN_CANCELLED,
                id=self.request.request_id,
                instance=self.request.instance_id,
                run_ms=round(self.inbound.now_ms() - self._sent_ms),
                answer_bytes=self._parts.size_bytes,
            )
        self._learn_slowness()
        self._end()

    @property
    def may_have_run(self) -> bool:
        """Whether the request was sent to the backend server."""
        return self._sent_ms > 0

    def withdraw(self) -> None:
        """Stop the request and tell the receiver whether it had not run.

        Before its caller's deadline it is withdrawn by a node that stops. Counted as
        failures, four long runs made a sound server's failing share 0.6 at all nodes.
        """
        if self.may_have_run:
            overdue = self.inbound.now_ms() >= self.deadline_ms - WAY_MS
            self.fail(Reason.TIMEOUT, blame=overdue)
        else:
            self.refuse(Reason.TOO_LATE)

    def grant(self, size: int) -> None:
        """Learn that the receiver took bytes of the answer."""
        self._unacknowledged -= size
        if self._unacknowledged < FLOW_WINDOW_BYTES and self._connection is not None:
            self._connection.resume_reading()

    def replace_receiver(self, receiver: AnswerReceiver) -> None:
        """Have another receiver hear of the outcome."""
        self.receiver = receiver

    # From the queue.

    def start(self) -> None:
        """Send the request to the backend server; it holds a slot."""
        inbound = self.inbound
        if not inbound.backend.admits(inbound.now_ms()):
            self.refuse(Reason.LEAVING)
            return
        if self._is_too_late():
            self.refuse(inbound.late_reason)
            return
        if self._held:
            self._ask_sender()
            return
        max_idle_ms = None if self.request.idempotent else FRESH_MS
        connection = inbound.idle.take(inbound.runtime.loop.time(), max_idle_ms)
        if connection is not None:
            self._send(connection)
            return
        inbound.runtime.spawn(self._connect())

    def _is_too_late(self) -> bool:
        """Whether what could end in time as it got its slot can't any more.

        One that could not even then is tried, unless this node is stopping: the mean
        run time that speaks against it is corrected by runs alone.
        """
        inbound = self.inbound
        in_time = inbound.admission.ends_in_time(self.ticket, inbound.now_ms())
        if self._hopeful is None:
            self._hopeful = in_time
        return not in_time and (self._hopeful or inbound.stopping)

    def _ask_sender(self) -> None:
        self._awaits_body = not self._whole
        if self._awaits_body and not self.inbound.transfers.begin(self):
            return
        self.ask_for_body()

    def ask_for_body(self) -> None:
        """Ask the sender to let the request go, and for its body if that is long."""
        self._ready_ms = self.inbound.now_ms()
        self.receiver.on_slot_ready()

    async def _connect(self) -> None:
        try:
            self._connected(await self.inbound.connect())
        except Exception as error:
            self.on_fault(error)

    def _connected(self, connection: ClientConnection | None) -> None:
        if self.done:
            if connection is not None:
                self.inbound.keep(connection)
            return
        if connection is None:
            self.refuse(Reason.UNREACHABLE)
        elif not self.inbound.backend.admits(self.inbound.now_ms()):
            self.inbound.keep(connection)
            self.refuse(Reason.LEAVING)
        elif self._is_too_late():
            self.inbound.keep(connection)
            self.refuse(self.inbound.late_reason)
        else:
            self._send(connection)

    def _send(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._sent_ms = self.inbound.now_ms()
        content = b"".join([self.request.body, *self._early])
        remaining_ms = self.inbound.admission.due_ms(self.ticket) - self._sent_ms
        data = first_bytes(self.request, content, self._whole, remaining_ms)
        connection.send(data, self, self._whole)
        self._grant(sum(len(part) for part in self._early))
        self._early = []

    def _grant(self, size: int) -> None:
        self._ungranted += size
        connection = self._connection
        if self._ungranted and connection is not None and connection.writable:
            size, self._ungranted = self._ungranted, 0
            self.receiver.on_credit(size)

    # From the connection to the backend server.

    def on_writable(self) -> None:
        """Grant the sender more bytes."""
        self._grant(0)

    def on_head(self, status: int, headers: Headers) -> bool:
        """Take the head of an answer; an extra one names another request."""
        return self._parts.take_head(status, headers, self.request.request_id)

    def on_data(self, data: bytes) -> None:
        """Take a piece of the answer's body."""
        if self._streaming:
            self._pass_on(data, False)
            return
        parts = self._parts
        parts.add(data)
        if parts.size_bytes > BUFFER_BYTES and parts.is_good:
            self._streaming = True
            body = parts.take_body()
            self._unacknowledged = len(body)
            self.receiver.on_answer(self._answer(body, whole=False))

    def _pass_on(self, data: bytes, whole: bool) -> None:
        self._unacknowledged += len(data)
        if self._unacknowledged > FLOW_WINDOW_BYTES and self._connection is not None:
            self._connection.pause_reading()
        self.receiver.on_answer_data(data, whole)

    def on_complete(self, reusable: bool) -> None:
        """Pass the whole answer on, or say why it can't be."""
        connection, self._connection = self._connection, None
        fields = self._parts.fields
        if connection is not None and reusable and fields is not None:
            if fields.keep_alive_ms is not None:
                connection.idle_limit_ms = max(0.0, fields.keep_alive_ms - 1000) * 0.9
            self.inbound.keep(connection)
        if self._streaming:
            self._finish_run()
            self.receiver.on_answer_data(b"", True)
            return
        self._judge(fields)

    def _judge(self, fields: AnswerFields | None) -> None:
        inbound, parts = self.inbound, self._parts
        if fields is None:
            self.fail(Reason.MALFORMED)
        elif parts.status == MISDIRECTED and not fields.signed:
            inbound.other_instance(self.request, fields.instance_id.decode("latin-1"))
            self.refuse(Reason.OTHER_INSTANCE)
        elif fields.not_run and parts.status != BAD_REQUEST:
            inbound.ran(failed=True)
            self.refuse(Reason.BACKEND_REFUSED, reached_backend=True)
        elif parts.is_good or parts.status >= FIRST_FAILURE_STATUS:
            self._finish_run()
            self.receiver.on_answer(self._answer(parts.take_body(), whole=True))
        else:
            self.fail(Reason.UNSIGNED)

    def _answer(self, body: bytes, whole: bool) -> Answer:
        parts, fields = self._parts, self._parts.fields
        assert fields is not None
        inbound = self.inbound
        return Answer(
            parts.status,
            fields.forwarded,
            fields.signed,
            len(body) if whole else parts.length_bytes,
            whole,
            body,
            inbound.admission.in_flight,
            inbound.admission.run_ms(self.request.route),
            self._sent_ms - self._submitted_ms,
            inbound.now_ms() - self._sent_ms,
        )

    def _finish_run(self) -> None:
        inbound = self.inbound
        inbound.load.answered += 1
        run_ms = inbound.now_ms() - self._sent_ms
        if self._parts.status < FIRST_FAILURE_STATUS:
            inbound.admission.learn(self.request.route, run_ms)
            inbound.backend.confirm_instance(
                self.request.instance_id.decode("latin-1"), inbound.now_ms()
            )
        inbound.runtime.metrics.run_ms.record(run_ms)
        inbound.crashes.record_answered(self.request, inbound.now_ms())
        inbound.ran(
            self._parts.status >= SERVER_ERROR and self._parts.status != GATEWAY_TIMEOUT
        )
        self._end()

    def on_failed(self, reason: str) -> None:
        """Learn that the backend server broke off, or that a fault was met."""
        if reason == FAULT:
            self.fault()
            return
        if self.done:
            return
        kinds = {"closed": Reason.CLOSED, "reset": Reason.RESET}
        kind = kinds.get(reason, Reason.MALFORMED)
        connection = self._connection
        if self._parts.fields is None and connection is not None:
            self.inbound.broke_off(self.request, connection, self._sent_ms)
        self.fail(Reason.TRUNCATED if self._parts.fields is not None else kind)

    def check_age(self, now_ms: float) -> None:
        """Give up what nobody lets go or sends, and what runs past its deadline."""
        asked_ms = now_ms - self._ready_ms if self._ready_ms else 0.0
        if self._held and asked_ms > HELD_MS:
            self.refuse(Reason.TOO_LATE)
        elif self._awaits_body and asked_ms > FETCH_MS:
            self.inbound.fetched(self)
            self.refuse_if_late(now_ms)
        elif now_ms > self.deadline_ms + OVERTIME_MS:
            self.withdraw()

    def refuse_if_late(self, now_ms: float) -> None:
        """Refuse a request that was not sent on and can't be answered in time."""
        in_time = self.inbound.admission.ends_in_time(self.ticket, now_ms)
        if not (self.may_have_run or in_time):
            self.refuse(self.inbound.late_reason)

    # Ends.

    def refuse(self, reason: Reason, reached_backend: bool = False) -> None:
        """Say that the request has not run."""
        if self.done:
            return
        self._end()
        self._contain(self._log_refused, reason)
        admission = self.inbound.admission
        self.receiver.on_refusal(
            Refusal(
                int(reason),
                admission.in_flight,
                admission.retry_after_ms(),
                reached_backend,
            )
        )

    def _log_refused(self, reason: Reason) -> None:
        admission = self.inbound.admission
        events.log(
            events.RUN_REFUSED,
            id=self.request.request_id,
            reason=reason.name,
            instance=self.request.instance_id,
            running=len(admission.running),
            busy=admission.in_flight,
            slots=admission.slots,
        )
        self.inbound.load.refused += 1
        self.inbound.runtime.metrics.count("refused_here", reason.name)

    def fail(self, reason: Reason, blame: bool = True) -> None:
        """Say that the request may have run; blame the server if that counts."""
        if self.done:
            return
        self._contain(self._learn_slowness)
        if blame:
            self._contain(self.inbound.ran, True)
        self._end()
        self._contain(self._log_failed, reason)
        self.receiver.on_failure(Failure(int(reason), self.inbound.admission.in_flight))

    def on_fault(self, error: Exception) -> None:
        """End after a fault in a step of this run that nobody waits for."""
        runtime = self.inbound.runtime
        runtime.report_fault("run", error, id=self.request.request_id)
        if not self.done:
            runtime.run_guarded("run", self.fault)

    def fault(self) -> None:
        """End after a fault of this program, which says nothing of the server.

        Its receiver hears of it also where the run had ended: a fault in telling it of
        the answer left its caller waiting until the deadline.
        """
        self._end()
        self._contain(self._log_failed, Reason.FAULT)
        in_flight = self.inbound.admission.in_flight
        self.receiver.on_failure(Failure(int(Reason.FAULT), in_flight))

    def _log_failed(self, reason: Reason) -> None:
        events.log(
            events.RUN_FAILED,
            id=self.request.request_id,
            reason=reason.name,
            instance=self.request.instance_id,
            run_ms=round(self.inbound.now_ms() - self._sent_ms),
        )
        self.inbound.load.failed += 1
        self.inbound.runtime.metrics.count("failed_here", reason.name)

    def _learn_slowness(self) -> None:
        """Count a run without an answer, if it was longer than usual."""
        admission, route = self.inbound.admission, self.request.route
        run_ms = self.inbound.now_ms() - self._sent_ms
        if self._sent_ms and run_ms > admission.run_ms(route):
            admission.learn(route, run_ms)

    def _end(self) -> None:
        """Leave the books and the connection.

        Each step is contained: an error of one left the sender without any word.
        """
        self.done = True
        self._contain(self.inbound.transfers.end, self)
        self._contain(self.inbound.release, self.ticket)
        self._contain(self._drop_connection)

    def _contain(self, step: Callable[..., None], *arguments: object) -> None:
        self.inbound.runtime.run_guarded("run", step, *arguments)

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
