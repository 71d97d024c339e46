"""One attempt of a caller: choose, send, try elsewhere, answer."""

from ...http.server import Exchange
from ...platform.headers import CallerFields
from ..backend.crashes import QUARANTINE_RETRY_AFTER_MS
from ..decisions.admission import MIN_RETRY_AFTER_MS
from ..decisions.choice import Endpoint
from ..decisions.returning import Attempt
from ..links.interfaces import Stream
from ..messages import Answer, Failure, Reason, Refusal
from .answer_writer import AnswerWriter
from .body import BUFFER_BYTES, RequestBody
from .context import CallContext, Target
from .deadline import Deadline
from .ending import GATEWAY_TIMEOUT, Ending
from .former_run import FormerRun
from .outgoing import Outgoing
from .own_answers import RETRY_WITHOUT_BACKEND_MS
from .placement import Placement
from .record import GOOD_BELOW, CallRecord

ASKED_MOST = 4
"""Most nodes that are asked for one request before its caller is refused."""
WITHDRAWAL_MS = 50.0
"""Longest wait at the deadline for the word whether a request ran: ten times the round
trip between data centres that was measured (3 ms), and a fifth of the time by which an
answer past its timeout counts as held."""
SERVER_ERROR = 500


class Call:
    """One attempt of a caller, until it is answered."""

    def __init__(
        self,
        context: CallContext,
        exchange: Exchange,
        caller: CallerFields,
        target: Target,
        attempt: Attempt,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.caller = caller
        self.route = route = target.route
        self.service = target.service
        now_ms = context.runtime.now_ms()
        self.record = CallRecord(
            caller.request_id, route, target.service, target.version, attempt, now_ms
        )
        remaining_ms = min(caller.remaining_ms or route.timeout_ms, route.timeout_ms)
        self.done = False
        self._body = RequestBody()
        self._outgoing = Outgoing(context, exchange, caller, self.record, self._body)
        self._placement = Placement(context, target.service)
        self._stream: Stream | None = None
        self._former: FormerRun | None = None
        self._fallback: Answer | None = None
        self._unsure_runs = 0
        self._withdrawn = False
        self._refusal: Refusal | None = None
        self._writer = AnswerWriter(exchange)
        self._ending = Ending(context, exchange, self.record, self._writer)
        self._deadline = Deadline(
            context.runtime,
            now_ms + remaining_ms,
            context.drain_deadline_ms,
            self._on_timer,
        )
        context.calls_in_flight.add(self)

    # From the caller's connection.

    def on_body(self, data: bytes) -> None:
        """Keep the body, or pass it on if it is long."""
        if self.done:
            return
        if self._body.streamed:
            self._send_body(data, False)
            return
        self._body.keep(data)
        if self._body.size_bytes > BUFFER_BYTES and not self.exchange.started:
            self._body.streamed = True
            self._dispatch()

    def on_end(self) -> None:
        """Send the request, or the end of its body."""
        if self.done:
            return
        self._body.whole = True
        if self._body.streamed:
            self._send_body(b"", True)
        else:
            self._dispatch()

    def on_disconnect(self) -> None:
        """Stop the request; its caller left."""
        if self.done:
            return
        self._close(cancel=True)
        self._ending.gone()

    def on_writable(self) -> None:
        """Grant the other end more bytes of the answer."""
        self._grant()

    # To a backend server.

    def _dispatch(self) -> None:
        context = self.context
        now_ms = context.runtime.now_ms()
        endpoint = self._placement.choose(
            self._outgoing.selection_criteria(now_ms), now_ms
        )
        if endpoint is None:
            self._give_up()
            return
        request = self._outgoing.request(now_ms, self._deadline.deadline_ms, endpoint)
        if context.crashes.is_quarantined(request, now_ms):
            self._refuse(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER_MS)
            return
        self.record.instance = endpoint.incarnation.instance_id
        self.record.asked += 1
        self._placement.take(endpoint)
        stream = context.members.send(endpoint, request, self)
        if stream is None:
            self._placement.leave()
            self._placement.exclude(endpoint)
            self._dispatch()
        elif not self.done and self._placement.endpoint is endpoint:
            self._stream = stream

    def _send_body(self, data: bytes, whole: bool) -> None:
        if self._stream is None:
            return
        if self._body.sent(data):
            self.exchange.connection.pause_reading()
        self._stream.body(data, whole)

    # From the node beside the backend server.

    def on_credit(self, size: int) -> None:
        """Take more of the caller's body."""
        if self._body.acknowledged(size):
            self.exchange.connection.resume_reading()

    def on_slot_ready(self) -> None:
        """Send a long body, which was kept until there was a slot for it."""
        endpoint = self._placement.endpoint
        if self._stream is None or endpoint is None:
            return
        if self._outgoing.sends_later(endpoint):
            self._stream.body(self._body.content(), True)

    def on_unresponsive(self, confirmed: bool) -> None:
        """Go elsewhere, if that is safe and there is another way."""
        endpoint = self._placement.endpoint
        if self.done or self._writer.started or self._body.streamed or endpoint is None:
            return
        if self._withdrawn or not self._placement.has_other():
            return
        if confirmed and not self._doubt_allows_run():
            return
        stream, self._stream = self._stream, None
        self._placement.leave()
        self._placement.exclude(endpoint)
        if stream is not None and confirmed:
            self._former = FormerRun(self, stream, endpoint)
            stream.replace_receiver(self._former)
        elif stream is not None:
            stream.cancel()
        self._log_retry(Reason.LINK_LOST)
        self._dispatch()

    def _doubt_allows_run(self) -> bool:
        if self._former is not None or not self._outgoing.is_movable():
            return False
        self.record.runs += 1
        if self._may_run_again():
            self._unsure_runs += 1
            return True
        self.record.runs -= 1
        return False

    def on_former_answer(self, former: FormerRun, answer: Answer) -> None:
        """Take the answer of the first run, unless another one is on its way out."""
        if self.done or former is not self._former:
            former.cancel()
            return
        if self._is_error(answer):
            self._drop_former()
            if answer.whole:
                self._fallback = self._fallback or answer
            return
        if self._stream is not None:
            self._stream.cancel()
        self._placement.leave()
        self._return_to_former()
        self.on_answer(answer)

    def on_former_lost(self, former: FormerRun, may_have_run: bool) -> None:
        """Wait for the second run alone."""
        if former is not self._former:
            return
        self._former = None
        if not may_have_run:
            self._forget_unsure_run()

    def _forget_unsure_run(self) -> None:
        """Count a run no longer that was counted on a doubt: it is known, or waited."""
        self.record.runs -= 1
        self._unsure_runs -= 1

    def _return_to_former(self) -> bool:
        """Wait for the first run alone, if it goes on behind its link."""
        former, self._former = self._former, None
        if former is None:
            return False
        self._forget_unsure_run()
        self._stream = former.stream
        former.stream.replace_receiver(self)
        self._placement.take(former.endpoint)
        self.record.instance = former.endpoint.incarnation.instance_id
        return True

    def _drop_former(self) -> None:
        former, self._former = self._former, None
        if former is not None:
            former.cancel()

    def on_refusal(self, refusal: Refusal) -> None:
        """Ask another node: the request has not run."""
        if self.done:
            return
        if self._withdrawn:
            self._refuse_late()
            return
        endpoint = self._placement.leave()
        reason = Reason(refusal.reason)
        self._refusal = refusal
        if endpoint is not None:
            endpoint.update_load(refusal.in_flight)
            if reason is Reason.OVERLOADED:
                self._placement.exclude(endpoint)
            else:
                self._placement.avoid(endpoint)
        if refusal.reached_backend:
            self.record.runs += 1
        may_repeat = not self._body.streamed and self.record.asked < ASKED_MOST
        if refusal.reached_backend and may_repeat:
            may_repeat = self._may_run_again()
        if may_repeat:
            self._log_retry(reason)
            self._dispatch()
        else:
            self._refuse(reason, refusal.retry_after_ms)

    def on_failure(self, failure: Failure) -> None:
        """Run an idempotent request elsewhere; fail another one: it may have run."""
        if self.done:
            return
        if self._withdrawn:
            self._time_out()
            return
        endpoint = self._placement.leave()
        reason = Reason(failure.reason)
        self.record.runs += 1
        self._unsure_runs += 1
        if endpoint is not None:
            self._placement.avoid(endpoint)
        if self._writer.started:
            self._close(cancel=False)
            self._ending.failed(reason)
        elif (
            self.route.idempotent and not self._body.streamed and self._may_run_again()
        ):
            self._log_retry(reason)
            self._dispatch()
        else:
            self._fail(reason)

    def on_answer(self, answer: Answer) -> None:
        """Answer the caller, or run an idempotent request elsewhere."""
        if self.done:
            return
        endpoint = self._placement.endpoint
        self.record.answered(answer)
        if endpoint is not None:
            endpoint.mean_run_ms[self.route.name] = answer.mean_run_ms
            self.context.mean_run_times.learn(self.route.name, answer.mean_run_ms)
        if self._is_error(answer) and not self._body.streamed:
            self.record.runs += 1
            self._unsure_runs += 1
            if self._is_bettered(answer, endpoint):
                return
        self._placement.leave()
        if endpoint is not None:
            endpoint.update_load(answer.in_flight)
        self._pass_on(answer)

    def _is_bettered(self, answer: Answer, endpoint: Endpoint | None) -> bool:
        """Whether another run may answer in place of an error, and is waited for."""
        runs_again = self._may_run_again()
        if not runs_again and self._former is None:
            return False
        self._keep_fallback(answer)
        self._placement.leave()
        if endpoint is not None:
            self._placement.avoid(endpoint)
        if not runs_again:
            return self._return_to_former()
        self._log_retry(Reason.MALFORMED, answer.status)
        self._dispatch()
        return True

    def _keep_fallback(self, answer: Answer) -> None:
        """Keep an error for the case that nothing better comes, if it is short.

        The rest of a long one is not wanted. It was passed on where the head of the
        next server's answer was due.
        """
        if answer.whole:
            self._fallback = self._fallback or answer
        elif self._stream is not None:
            stream, self._stream = self._stream, None
            stream.cancel()

    def _is_error(self, answer: Answer) -> bool:
        """Whether an answer is one that another backend server may better."""
        failed = answer.status >= SERVER_ERROR and answer.status != GATEWAY_TIMEOUT
        return failed and self.route.idempotent

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Pass on more of a long answer."""
        if self.done:
            return
        self._writer.more(data)
        self._grant()
        if whole:
            self._close(cancel=False)
            self._writer.end()

    def _pass_on(self, answer: Answer) -> None:
        self._drop_former()
        if answer.status < GOOD_BELOW:
            size_bytes = max(answer.length, len(answer.body))
            self.context.answer_sizes.learn(self.route.name, size_bytes)
        if answer.whole:
            self._close(cancel=False)
            self._ending.answered(answer.status)
            self._writer.write_whole(answer)
            return
        self.record.log_end(answer.status, self._now_ms())
        self._writer.begin(answer)
        self._grant()

    def _grant(self) -> None:
        if self._stream is None:
            return
        credit = self._writer.take_credit()
        if credit:
            self._stream.grant(credit)

    # Ends.

    def _may_run_again(self) -> bool:
        now_ms = self._now_ms()
        if (
            self.record.runs >= self.route.max_attempts
            or now_ms >= self._deadline.deadline_ms
        ):
            return False
        if self.record.asked >= ASKED_MOST:
            return False
        return self.context.retry_budget.spend(self.service, now_ms)

    def _give_up(self) -> None:
        refusal = self._refusal
        if refusal is None:
            self._refuse(Reason.NO_BACKEND, RETRY_WITHOUT_BACKEND_MS)
        else:
            self._refuse(Reason(refusal.reason), refusal.retry_after_ms)

    def _refuse(self, reason: Reason, retry_after_ms: float) -> None:
        if self._unsure_runs:
            self._fail(reason)
            return
        self._close(cancel=True)
        self._ending.refused(reason, retry_after_ms)

    def _fail(self, reason: Reason) -> None:
        if self._return_to_former():
            return
        if self._fallback is not None:
            answer, self._fallback = self._fallback, None
            self._pass_on(answer)
            return
        self._close(cancel=True)
        self._ending.failed(reason)

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Answer by then: this node is stopping."""
        if not self._withdrawn:
            self._deadline.limit_deadline(drain_deadline_ms)

    def _on_timer(self) -> None:
        try:
            self._on_timeout()
        except Exception as error:
            name = self.caller.request_id
            self.context.runtime.report_fault("timer", error, id=name)
            self.on_fault()

    def _on_timeout(self) -> None:
        """Answer at the deadline; where the request has not run, say so.

        The node that it was sent to is asked whether it ran. An answer that crosses
        the question is delivered.
        """
        if self.done:
            return
        if self._writer.started and self._deadline.wait_for_caller():
            return
        stream = self._stream
        if (
            stream is not None
            and stream.may_have_run
            and not self._asks_whether_it_ran()
        ):
            self._withdrawn = True
            self._deadline.extend(WITHDRAWAL_MS)
            stream.withdraw()
        elif self._writer.started or (stream is not None and stream.may_have_run):
            self._time_out()
        else:
            self._refuse_late()

    def _asks_whether_it_ran(self) -> bool:
        return self._withdrawn or self._writer.started

    def _refuse_late(self) -> None:
        """Answer at the deadline that the request has not run, if it has not."""
        if self._unsure_runs:
            self._time_out()
        else:
            self._refuse(self._late_reason(Reason.TOO_LATE), MIN_RETRY_AFTER_MS)

    def _late_reason(self, reason: Reason) -> Reason:
        """Return the reason at the deadline, or that this node's stop set it."""
        return Reason.STOPPING if self._deadline.set_by_stop else reason

    def _time_out(self) -> None:
        self._close(cancel=True)
        self._ending.failed(self._late_reason(Reason.TIMEOUT), GATEWAY_TIMEOUT)

    def log_aborted(self) -> None:
        """Log that the node ends before the answer; its connection ends with it."""
        self._ending.cut()

    def on_fault(self) -> None:
        """Answer 502 after a fault of this program: the request may have run."""
        if self.exchange.finished:
            return
        self.context.runtime.run_guarded("call", self._close, True)
        self.done = True
        self._ending.fault()

    def _close(self, cancel: bool) -> None:
        self.done = True
        self.context.calls_in_flight.discard(self)
        self._deadline.cancel()
        self._placement.leave()
        self._drop_former()
        stream, self._stream = self._stream, None
        if cancel and stream is not None:
            stream.cancel()
        self._body.drop()
        self.exchange.connection.resume_reading()
        self.exchange.sink = None

    def _now_ms(self) -> float:
        return self.context.runtime.now_ms()

    def _log_retry(self, reason: Reason, status: int = 0) -> None:
        self.record.log_retried(status, reason, self._now_ms())
