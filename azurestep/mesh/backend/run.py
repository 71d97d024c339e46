"""One request at the backend server beside this node."""

from ...http.client import FAULT, ClientConnection, Headers
from ...platform.headers import AnswerFields, read_answer, to_backend
from .. import events
from ..decisions.admission import Ticket
from ..messages import Answer, Failure, Reason, Refusal, Request
from .interfaces import AnswerReceiver, RunHost

BUFFER_BYTES = 262_144
"""Answers up to this size are read whole before they are passed on, so that one
that is cut short can be tried elsewhere; longer ones are streamed."""
WINDOW_BYTES = 262_144
"""Bytes of a streamed body that may be on their way between two nodes."""
FRESH_MS = 2000.0
"""Most idle time of a connection that carries a request that must not run twice:
backend servers close idle connections after seconds, and a request that crosses
the close may have run."""
OVERTIME_MS = 150.0
"""Time past the deadline after which a run is broken off here; the backend server
stops by itself at the deadline."""
HELD_MS = 400.0
"""Longest time that a held request keeps a slot; its sender answers within some 3 ms
and gives a silent link up after 250 ms."""
FETCH_MS = 450.0
"""Longest turn to be sent a body. One of 512 KB, the longest, takes 420 ms on a link of
10 Mbit/s. With a longer turn, two senders that had fallen silent kept all other uploads
beside a server from their bodies until their own deadlines."""
MISDIRECTED = 421
FIRST_FAILURE_STATUS = 300
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
        self.deadline_ms = now_ms + request.budget_ms
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
        self._status = 0
        self._fields: AnswerFields | None = None
        self._length = -1
        self._body: list[bytes] = []
        self._size = 0
        self._streaming = False
        self._unacknowledged = 0
        self._ungranted = 0
        self._sent_ms = 0.0
        self._held = request.held
        self._ready_ms = 0.0
        self._awaits_body = False

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
        self._connection.send_more(self._framed(data, whole), whole)
        self._grant(len(data))

    def go(self) -> None:
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
                answer_bytes=self._size,
            )
        self._learn_slowness()
        self._end()
        self._drop_connection()

    @property
    def may_run(self) -> bool:
        """Whether the request was sent to the backend server."""
        return self._sent_ms > 0

    def withdraw(self) -> None:
        """Stop the request and tell the receiver whether it had not run."""
        if self.may_run:
            self.fail(Reason.TIMEOUT)
        else:
            self.refuse(Reason.TOO_LATE)

    def grant(self, size: int) -> None:
        """Learn that the receiver took bytes of the answer."""
        self._unacknowledged -= size
        if self._unacknowledged < WINDOW_BYTES and self._connection is not None:
            self._connection.resume_reading()

    def hand_over(self, receiver: AnswerReceiver) -> None:
        """Have another receiver hear of the outcome."""
        self.receiver = receiver

    # From the queue.

    def start(self) -> None:
        """Send the request to the backend server; it holds a slot."""
        inbound = self.inbound
        if not inbound.backend.admits(inbound.now_ms()):
            self.refuse(Reason.LEAVING)
            return
        if self._held:
            self._ask_sender()
            return
        fresh_ms = None if self.request.idempotent else FRESH_MS
        connection = inbound.idle.take(inbound.runtime.loop.time(), fresh_ms)
        if connection is not None:
            self._send(connection)
            return
        inbound.runtime.spawn(self._connect())

    def _ask_sender(self) -> None:
        self._awaits_body = not self._whole
        if self._awaits_body and not self.inbound.transfers.begin(self):
            return
        self.ask_for_body()

    def ask_for_body(self) -> None:
        """Ask the sender to let the request go, and for its body if that is long."""
        self._ready_ms = self.inbound.now_ms()
        self.receiver.on_ready()

    async def _connect(self) -> None:
        connection = await self.inbound.connect()
        if self.done:
            if connection is not None:
                self.inbound.keep(connection)
            return
        if connection is None:
            self.refuse(Reason.UNREACHABLE)
        elif not self.inbound.backend.admits(self.inbound.now_ms()):
            self.inbound.keep(connection)
            self.refuse(Reason.LEAVING)
        else:
            self._send(connection)

    def _send(self, connection: ClientConnection) -> None:
        request = self.request
        self._connection = connection
        self._sent_ms = self.inbound.now_ms()
        data = [request.body, *self._early]
        lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
        lines += to_backend(
            request.headers,
            min(self.deadline_ms, self.inbound.admission.closes_ms) - self._sent_ms,
            request.instance_id,
            request.calling_service,
        )
        body = b"".join(data)
        if self._whole:
            if body or request.length > 0 or request.method not in (b"GET", b"HEAD"):
                lines.append(b"Content-Length: %d\r\n" % len(body))
        elif request.length >= 0:
            lines.append(b"Content-Length: %d\r\n" % request.length)
        else:
            lines.append(b"Transfer-Encoding: chunked\r\n")
            body = self._framed(body, False)
        lines.append(b"\r\n")
        lines.append(body)
        connection.send(b"".join(lines), self, self._whole)
        self._grant(sum(len(part) for part in self._early))
        self._early = []

    def _framed(self, data: bytes, whole: bool) -> bytes:
        if self.request.length >= 0:
            return data
        framed = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return framed + (b"0\r\n\r\n" if whole else b"")

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
        fields = read_answer(headers)
        if fields.request_id != self.request.request_id:
            unnamed = not fields.request_id
            if not (unnamed and (fields.not_run or status == MISDIRECTED)):
                events.log(
                    events.EXTRA_ANSWER,
                    id=self.request.request_id,
                    named=fields.request_id,
                    status=status,
                )
                return False
        self._status = status
        self._fields = fields
        for name, value in headers:
            if name.lower() == b"content-length" and value.isdigit():
                self._length = int(value)
        return True

    def on_data(self, data: bytes) -> None:
        """Take a piece of the answer's body."""
        if self._streaming:
            self._pass_on(data, False)
            return
        self._body.append(data)
        self._size += len(data)
        if self._size > BUFFER_BYTES and self._is_good():
            self._streaming = True
            body = b"".join(self._body)
            self._body = []
            self._unacknowledged = len(body)
            self.receiver.on_answer(self._answer(body, whole=False))

    def _pass_on(self, data: bytes, whole: bool) -> None:
        self._unacknowledged += len(data)
        if self._unacknowledged > WINDOW_BYTES and self._connection is not None:
            self._connection.pause_reading()
        self.receiver.on_answer_data(data, whole)

    def on_complete(self, reusable: bool) -> None:
        """Pass the whole answer on, or say why it can't be."""
        connection, self._connection = self._connection, None
        fields = self._fields
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
        inbound = self.inbound
        if fields is None:
            self.fail(Reason.MALFORMED)
        elif self._status == MISDIRECTED and not fields.signed:
            inbound.other_instance(self.request, fields.instance_id.decode("latin-1"))
            self.refuse(Reason.OTHER_INSTANCE)
        elif fields.not_run and self._status != 400:
            inbound.ran(failed=True)
            self.refuse(Reason.BACKEND_REFUSED, arrived=True)
        elif self._is_good() or self._status >= FIRST_FAILURE_STATUS:
            self._finish_run()
            self.receiver.on_answer(self._answer(b"".join(self._body), whole=True))
        else:
            self.fail(Reason.UNSIGNED)

    def _is_good(self) -> bool:
        fields = self._fields
        return fields is not None and fields.signed and not fields.encoded

    def _answer(self, body: bytes, whole: bool) -> Answer:
        assert self._fields is not None
        inbound = self.inbound
        return Answer(
            self._status,
            self._fields.forwarded,
            self._fields.signed,
            len(body) if whole else self._length,
            whole,
            body,
            inbound.admission.busy,
            inbound.admission.run_ms(self.request.route),
            self._sent_ms - self._submitted_ms,
            inbound.now_ms() - self._sent_ms,
        )

    def _finish_run(self) -> None:
        inbound = self.inbound
        inbound.load.answered += 1
        run_ms = inbound.now_ms() - self._sent_ms
        if self._status < FIRST_FAILURE_STATUS:
            inbound.admission.learn(self.request.route, run_ms)
            inbound.backend.answered(
                self.request.instance_id.decode("latin-1"), inbound.now_ms()
            )
        inbound.runtime.metrics.run_ms.record(run_ms)
        inbound.crashes.answered(self.request, inbound.now_ms())
        inbound.ran(self._status >= SERVER_ERROR and self._status != GATEWAY_TIMEOUT)
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
        if self._fields is None and connection is not None:
            self.inbound.broke_off(self.request, connection, self._sent_ms)
        self.fail(Reason.TRUNCATED if self._fields is not None else kind)

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
        run_ms = self.inbound.admission.run_ms(self.request.route)
        if not self.may_run and now_ms + run_ms > self.deadline_ms:
            self.refuse(Reason.TOO_LATE)

    # Ends.

    def refuse(self, reason: Reason, arrived: bool = False) -> None:
        """Say that the request has not run."""
        if self.done:
            return
        self._end()
        self._drop_connection()
        admission = self.inbound.admission
        events.log(
            events.RUN_REFUSED,
            id=self.request.request_id,
            reason=reason.name,
            instance=self.request.instance_id,
            running=len(admission.running),
            busy=admission.busy,
            slots=admission.slots,
        )
        self.inbound.load.refused += 1
        self.inbound.runtime.metrics.count("refused_here", reason.name)
        self.receiver.on_refusal(
            Refusal(int(reason), admission.busy, admission.retry_ms(), arrived)
        )

    def fail(self, reason: Reason) -> None:
        """Say that the request may have run."""
        if self.done:
            return
        self._learn_slowness()
        self.inbound.ran(failed=True)
        self._end()
        self._drop_connection()
        self._log_failed(reason)
        self.receiver.on_failure(Failure(int(reason), self.inbound.admission.busy))

    def fault(self) -> None:
        """End after a fault of this program, which says nothing of the server.

        Its receiver hears of it also where the run had ended: a fault in telling it of
        the answer left its caller waiting until the deadline.
        """
        inbound = self.inbound
        if not self.done:
            self.done = True
            inbound.runtime.contain("run", self._end)
        self._drop_connection()
        self._log_failed(Reason.FAULT)
        self.receiver.on_failure(Failure(int(Reason.FAULT), inbound.admission.busy))

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
        self.done = True
        self.inbound.transfers.end(self)
        self.inbound.release(self.ticket)

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
