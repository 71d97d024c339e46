"""Execution of one request at the local backend server, from admission to outcome."""

from collections.abc import Callable

from ...http.client import ENDLESS, FAULT, ClientConnection, Headers
from ...platform.headers import AnswerFields
from .. import events
from ..decisions.admission import Ticket
from ..decisions.speed import NORMAL_RATIO, to_normal_ms
from ..decisions.transfers import Grant
from ..messages import Answer, Failure, Reason, Refusal, Request
from .answer_parts import MISDIRECTED, PartialAnswer
from .cancelled import log_cancelled
from .interfaces import AnswerReceiver, RunHost
from .request_bytes import encode_body_part, encode_request

MAX_BUFFERED_BYTES = 262_144
"""Answers up to this size are buffered before they are forwarded.

A truncated one can then be retried elsewhere. Longer ones are streamed.
"""
FLOW_WINDOW_BYTES = 262_144
"""Bytes of a streamed body that may be in transit between two nodes."""
MAX_IDLE_UNSAFE_MS = 2000.0
"""Idle time up to which a connection may carry a request that must not run twice.

Backend servers close connections that are idle for longer. If a request is sent while
the server closes the connection, it is unknown whether it ran.
"""
ABORT_DELAY_MS = 150.0
"""Time past the deadline after which a run is aborted.

The backend server stops by itself at the deadline.
"""
MAX_DEADLINE_SKEW_MS = 100.0
"""Longest time by which a sender's deadline may be earlier than the local one.

The difference is the transit time of the request.
"""
CONFIRMATION_TIMEOUT_MS = 400.0
"""Longest time that a request holds a slot without confirmation.

Exceeds the time after which a sender abandons an unresponsive link, 250 ms; a sender
answers within some 3 ms.
"""
CONFIRMED_FOR_MS = 400.0
"""Time in which a request may be begun after its sender is known to have wanted it.

Later, its caller may have left and the cancel may be unread or unsent, so its sender
is asked again. Below the half second after which nothing may be begun for a caller
that has left.
"""
FIRST_NON_SUCCESS_STATUS = 300
BAD_REQUEST = 400
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


class Run:
    """A request at the local backend server, from its admission to its outcome."""

    def __init__(
        self,
        inbound: RunHost,
        request: Request,
        receiver: AnswerReceiver,
        late_ms: float = 0.0,
        confirms_again: bool = False,
    ) -> None:
        now_ms = inbound.now_ms()
        self._late_ms = late_ms
        self._confirms_again = confirms_again
        self._submitted_ms = now_ms
        self._wanted_ms = now_ms - late_ms
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
            team=request.team,
            weight=inbound.team_weight(request.team),
        )
        self.done = False
        self._connection: ClientConnection | None = None
        self._buffered_body: list[bytes] = []
        self._whole = request.whole
        self._partial = PartialAnswer()
        self._streaming = False
        self._answer_bytes_in_transit = 0
        self._pending_credit_bytes = 0
        self._sent_ms = 0.0
        self._start_ratio = NORMAL_RATIO
        self._needs_confirmation = (
            request.needs_confirmation or late_ms > CONFIRMED_FOR_MS
        )
        self._confirmation_asked_ms = 0.0
        self._granted_ms = 0.0
        self.awaits_body = request.needs_confirmation and not request.whole
        self._could_end_in_time: bool | None = None

    # Called by the sender of the request.

    def add_body(self, data: bytes, whole: bool) -> None:
        """Handle more of the request's body."""
        if self.done:
            return
        self._record_wanted(self._granted_ms)
        self._whole = whole
        if self._connection is None:
            self._buffered_body.append(data)
            if self.awaits_body:
                if whole:
                    self.awaits_body = self._needs_confirmation = False
                self.inbound.record_body(self, len(data), whole)
            return
        self._connection.send_more(encode_body_part(self.request, data, whole), whole)
        self._send_credit(len(data))

    def proceed(self) -> None:
        """Handle the sender's confirmation: send the request once its body is here."""
        if self._needs_confirmation:
            self._needs_confirmation = False
            self._record_wanted(self._confirmation_asked_ms)
            if self.done or not self._confirmation_asked_ms:
                return
            if not self.awaits_body:
                self.start()

    def _record_wanted(self, asked_ms: float) -> None:
        """Record that the sender has answered what it was asked then.

        The answer may have lain unread since.
        """
        self._wanted_ms = max(self._wanted_ms, asked_ms)

    def cancel(self, cancel_late_ms: float = 0.0) -> None:
        """Abort the request without an outcome; the sender has dropped it.

        ``cancel_late_ms``: how long the cancel was delayed on its link.
        """
        if self.done:
            return
        now_ms = self.inbound.now_ms()
        log_cancelled(
            self.inbound.runtime,
            self.request,
            self._late_ms,
            cancel_late_ms=cancel_late_ms,
            waited_ms=(self._sent_ms or now_ms) - self._submitted_ms,
            run_ms=now_ms - self._sent_ms if self.may_have_run else None,
            answer_bytes=self._partial.size_bytes,
        )
        self._record_slow_run()
        self._finish()

    @property
    def takes_pieces(self) -> bool:
        """Whether a body is to be sent in pieces; not within one node."""
        return False

    @property
    def sent_ms(self) -> float:
        """When the request was sent to the backend server; 0 if it was not."""
        return self._sent_ms

    @property
    def may_have_run(self) -> bool:
        """Whether the request was sent to the backend server."""
        return self._sent_ms > 0

    def withdraw(self) -> None:
        """Abort the request and report whether it may have run.

        A sender that shuts down withdraws requests before their deadlines, which
        doesn't count as a failure of the backend server.
        """
        if self.may_have_run:
            overdue = self.inbound.now_ms() >= self.deadline_ms - MAX_DEADLINE_SKEW_MS
            self.fail(Reason.TIMEOUT, counts_as_failure=overdue)
        else:
            self.refuse(Reason.TOO_LATE)

    def add_credit(self, size: int) -> None:
        """Let the backend server send more after the receiver consumed bytes."""
        self._answer_bytes_in_transit -= size
        if (
            self._answer_bytes_in_transit < FLOW_WINDOW_BYTES
            and self._connection is not None
        ):
            self._connection.resume_reading()

    def replace_receiver(self, receiver: AnswerReceiver) -> None:
        """Report the outcome to another receiver."""
        self.receiver = receiver

    # Called when the request gets a slot.

    def start(self) -> None:
        """Send the request, which holds a slot, to the backend server."""
        inbound = self.inbound
        if not self._may_begin():
            return
        max_idle_ms = None if self.request.idempotent else MAX_IDLE_UNSAFE_MS
        connection = inbound.connections.idle.take(
            inbound.runtime.loop.time(), max_idle_ms
        )
        if connection is not None:
            self._send(connection)
            return
        inbound.runtime.spawn(self._connect())

    def _may_begin(self) -> bool:
        """Whether the request may be sent to the backend server now.

        Otherwise it is ended here, or its sender is asked to confirm it.
        """
        inbound = self.inbound
        if not inbound.backend.admits(inbound.now_ms()):
            self.refuse(Reason.LEAVING)
        elif self._is_too_late():
            self.refuse(inbound.late_reason)
        elif not self.receiver.is_wanted():
            self.cancel()
        elif self._needs_confirmation or self._is_doubtful():
            self._needs_confirmation = True
            self._request_confirmation()
        else:
            return True
        return False

    def _is_doubtful(self) -> bool:
        """Whether the sender may no longer want the request, and can be asked."""
        age_ms = self.inbound.now_ms() - self._wanted_ms
        return age_ms > CONFIRMED_FOR_MS and self._confirms_again

    def _is_too_late(self) -> bool:
        """Whether a request that could end in time can't any more.

        A request that couldn't at the first check runs anyway, unless the node is
        shutting down: without new samples an overestimated mean run time would never
        fall.
        """
        inbound = self.inbound
        in_time = inbound.admission.can_end_in_time(self.ticket, inbound.now_ms())
        if self._could_end_in_time is None:
            self._could_end_in_time = in_time
        return not in_time and (self._could_end_in_time or inbound.shutting_down)

    def request_body(self, grant: Grant) -> None:
        """Ask the sender for a piece of the body, and to confirm the request."""
        self._granted_ms = self.inbound.now_ms()
        if grant.is_first:
            self._request_confirmation()
        if self.request.body_in_pieces and not self.done:
            self.receiver.on_credit(grant.size_bytes)

    def _request_confirmation(self) -> None:
        self._confirmation_asked_ms = self.inbound.now_ms()
        self.receiver.on_slot_ready()

    async def _connect(self) -> None:
        try:
            self._connected(await self.inbound.connections.connect())
        except Exception as error:
            self.on_fault(error)

    def _connected(self, connection: ClientConnection | None) -> None:
        if self.done:
            if connection is not None:
                self.inbound.connections.put_back(connection)
            return
        if connection is None:
            self.refuse(Reason.UNREACHABLE)
        elif self._may_begin():
            self._send(connection)
        else:
            self.inbound.connections.put_back(connection)

    def _send(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._sent_ms = self.inbound.now_ms()
        self._start_ratio = self.inbound.admission.speed.ratio(self._sent_ms)
        self.ticket.sent = True
        self.inbound.load.sent += 1
        self.inbound.runtime.metrics.count("backend_requests")
        content = b"".join([self.request.body, *self._buffered_body])
        remaining_ms = (
            self.inbound.admission.run_deadline_ms(self.ticket) - self._sent_ms
        )
        data = encode_request(self.request, content, self._whole, remaining_ms)
        connection.send(data, self, self._whole)
        self._send_credit(sum(len(part) for part in self._buffered_body))
        self._buffered_body = []

    def _send_credit(self, size: int) -> None:
        self._pending_credit_bytes += size
        connection = self._connection
        if (
            self._pending_credit_bytes
            and connection is not None
            and connection.writable
        ):
            size, self._pending_credit_bytes = self._pending_credit_bytes, 0
            self.receiver.on_credit(size)

    # Called by the connection to the backend server.

    def on_writable(self) -> None:
        """Send pending credit to the sender."""
        self._send_credit(0)

    def on_head(self, status: int, headers: Headers) -> bool:
        """Handle the head of an answer; False if it belongs to another request."""
        if not self._partial.apply_head(status, headers, self.request.request_id):
            return False
        request = self.request
        notice = self._partial.trusted_notice(request.request_id, request.instance_id)
        if notice is not None:
            self.inbound.apply_notice(request.incarnation, notice)
            self.inbound.apply_work_ratio(request.incarnation, self._partial.work_ratio)
        return True

    def on_data(self, data: bytes) -> None:
        """Handle a part of the answer's body."""
        if self._streaming:
            self._forward(data, False)
            return
        parts = self._partial
        parts.add(data)
        if parts.size_bytes > MAX_BUFFERED_BYTES and parts.is_authentic:
            self._streaming = True
            body = parts.pop_body()
            self._answer_bytes_in_transit = len(body)
            self.receiver.on_answer(self._answer(body, whole=False))
        elif parts.size_bytes > MAX_BUFFERED_BYTES:
            self._log_endless()
            self.fail(Reason.UNSIGNED)

    def _forward(self, data: bytes, whole: bool) -> None:
        self._answer_bytes_in_transit += len(data)
        if (
            self._answer_bytes_in_transit > FLOW_WINDOW_BYTES
            and self._connection is not None
        ):
            self._connection.pause_reading()
        self.receiver.on_answer_data(data, whole)

    def on_complete(self, reusable: bool) -> None:
        """Report the complete answer, or why it can't be used."""
        connection, self._connection = self._connection, None
        fields = self._partial.fields
        if connection is not None and reusable and fields is not None:
            if fields.keep_alive_ms is not None:
                # Closes the connection before the backend server's timeout does.
                connection.idle_limit_ms = max(0.0, fields.keep_alive_ms - 1000) * 0.9
            self.inbound.connections.put_back(connection)
        if self._streaming:
            self._finish_run()
            self.receiver.on_answer_data(b"", True)
            return
        self._report_answer(fields)

    def _report_answer(self, fields: AnswerFields | None) -> None:
        inbound, parts = self.inbound, self._partial
        if fields is None:
            self.fail(Reason.MALFORMED)
        elif parts.status == MISDIRECTED and not fields.signed:
            inbound.handle_replaced_instance(
                self.request, fields.instance_id.decode("latin-1")
            )
            self.refuse(Reason.OTHER_INSTANCE)
        elif fields.not_run and parts.status != BAD_REQUEST:
            inbound.record_run(failed=True)
            self.refuse(Reason.BACKEND_REFUSED, reached_backend=True)
        elif parts.is_authentic or parts.status >= FIRST_NON_SUCCESS_STATUS:
            self._finish_run()
            self.receiver.on_answer(self._answer(parts.pop_body(), whole=True))
        else:
            self.fail(Reason.UNSIGNED)

    def _answer(self, body: bytes, whole: bool) -> Answer:
        parts, fields = self._partial, self._partial.fields
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
            inbound.admission.mean_run_ms(self.request.route),
            self._sent_ms - self._submitted_ms,
            inbound.now_ms() - self._sent_ms,
        )

    def _finish_run(self) -> None:
        inbound = self.inbound
        inbound.load.answered += 1
        run_ms = inbound.now_ms() - self._sent_ms
        if self._partial.status < FIRST_NON_SUCCESS_STATUS:
            self._record_run_time(run_ms)
            inbound.backend.confirm_instance(
                self.request.instance_id.decode("latin-1"), inbound.now_ms()
            )
        inbound.runtime.metrics.run_ms.record(run_ms)
        inbound.crashes.record_answered(self.request, inbound.now_ms())
        failed = (
            self._partial.status >= SERVER_ERROR
            and self._partial.status != GATEWAY_TIMEOUT
        )
        inbound.record_run(failed)
        inbound.record_trial_run(self.request.route, failed, run_ms)
        self._finish()

    def on_failed(self, reason: str) -> None:
        """Handle a broken connection, or a fault in a callback."""
        if reason == FAULT:
            self.fail_with_fault()
            return
        if self.done:
            return
        reasons = {"closed": Reason.CLOSED, "reset": Reason.RESET}
        failure_reason = reasons.get(reason, Reason.MALFORMED)
        if reason == ENDLESS:
            self._log_endless()
        connection = self._connection
        if self._partial.fields is None and connection is not None:
            self.inbound.record_connection_loss(self.request, connection, self._sent_ms)
        self.fail(
            Reason.TRUNCATED if self._partial.fields is not None else failure_reason
        )

    def _log_endless(self) -> None:
        events.log(
            events.ANSWER_ENDLESS,
            id=self.request.request_id,
            instance=self.request.instance_id,
            has_head=self._partial.fields is not None,
            body_bytes=self._partial.size_bytes,
        )

    def enforce_timeouts(self, now_ms: float) -> None:
        """End a request whose confirmation, body or answer is overdue."""
        waited_ms = (
            now_ms - self._confirmation_asked_ms if self._confirmation_asked_ms else 0.0
        )
        if self._needs_confirmation and waited_ms > CONFIRMATION_TIMEOUT_MS:
            self.refuse(Reason.TOO_LATE)
        elif self.awaits_body:
            self.refuse_if_late(now_ms)
        elif now_ms > self.deadline_ms + ABORT_DELAY_MS:
            self.withdraw()

    def refuse_if_late(self, now_ms: float) -> None:
        """Refuse a request that was not sent and can't end in time."""
        in_time = self.inbound.admission.can_end_in_time(self.ticket, now_ms)
        if not (self.may_have_run or in_time):
            self.refuse(self.inbound.late_reason)

    # Outcomes.

    def refuse(self, reason: Reason, reached_backend: bool = False) -> None:
        """Report that the request has not run."""
        if self.done:
            return
        self._finish()
        self._run_guarded(self._log_refused, reason)
        admission = self.inbound.admission
        retry_after_ms = admission.estimate_retry_after_ms(self.inbound.now_ms())
        if self.awaits_body:
            retry_after_ms += self.inbound.transfers.wait_ms()
        self.receiver.on_refusal(
            Refusal(int(reason), admission.in_flight, retry_after_ms, reached_backend)
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

    def fail(self, reason: Reason, counts_as_failure: bool = True) -> None:
        """Report that the request may have run.

        ``counts_as_failure`` adds it to the failure ratio of the backend server.
        """
        if self.done:
            return
        self._run_guarded(self._record_slow_run, counts_as_failure)
        if counts_as_failure:
            self._run_guarded(self.inbound.record_run, True)
            run_ms = self.inbound.now_ms() - self._sent_ms
            self._run_guarded(
                self.inbound.record_trial_run, self.request.route, True, run_ms
            )
        self._finish()
        self._run_guarded(self._log_failed, reason)
        self.receiver.on_failure(Failure(int(reason), self.inbound.admission.in_flight))

    def on_fault(self, error: Exception) -> None:
        """Log an error in a step that has no caller to raise to, and end."""
        runtime = self.inbound.runtime
        runtime.report_fault("run", error, id=self.request.request_id)
        if not self.done:
            runtime.run_guarded("run", self.fail_with_fault)

    def fail_with_fault(self) -> None:
        """End with an internal error, which doesn't count against the server.

        Reported even after the run ended: the error may have prevented its outcome.
        """
        self._finish()
        self._run_guarded(self._log_failed, Reason.FAULT)
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

    def _record_slow_run(self, failed: bool = False) -> None:
        """Count a run without an answer if it was longer than the mean."""
        admission, route = self.inbound.admission, self.request.route
        run_ms = self.inbound.now_ms() - self._sent_ms
        expected_ms = admission.expected_run_ms(route, self.inbound.now_ms())
        if self._sent_ms and run_ms > expected_ms:
            self._record_run_time(run_ms)
            if not failed:
                self.inbound.record_trial_run(route, False, run_ms)

    def _record_run_time(self, run_ms: float) -> None:
        """Add a run time to the mean, as it would be at normal speed."""
        admission = self.inbound.admission
        end_ratio = admission.speed.ratio(self.inbound.now_ms())
        normal_ms = to_normal_ms(run_ms, self._start_ratio, end_ratio)
        admission.record_run(self.request.route, normal_ms)

    def _finish(self) -> None:
        """Release the transfer, the slot and the connection.

        Each step is guarded, so that the outcome is reported in any case.
        """
        self.done = True
        self._run_guarded(self.inbound.transfers.remove, self)
        connection, inbound = self._connection, self.inbound
        is_cancelled = connection is not None and not connection.lost
        release = inbound.release_late if is_cancelled else inbound.release
        self._run_guarded(release, self.ticket)
        self._run_guarded(self._drop_connection)

    def _run_guarded(self, step: Callable[..., None], *arguments: object) -> None:
        self.inbound.runtime.run_guarded("run", step, *arguments)

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
