"""One attempt of a caller: choice of a backend server, retries and the answer."""

from ...http.exchange import Exchange
from ...platform.headers import CallerFields
from ..backend.crashes import QUARANTINE_RETRY_AFTER_MS
from ..decisions.admission import MIN_RETRY_AFTER_MS
from ..decisions.choice import Endpoint
from ..decisions.returning import Attempt, can_complete
from ..links.interfaces import Stream
from ..messages import Answer, Failure, Reason, Refusal
from .answer_writer import AnswerWriter
from .body import MAX_BUFFERED_BODY_BYTES, BodyPieces, RequestBody
from .context import CallContext, Target
from .deadline import Deadline
from .ending import GATEWAY_TIMEOUT, OutcomeReporter
from .former_run import EarlierRun
from .outgoing import RequestBuilder
from .own_answers import NO_BACKEND_RETRY_AFTER_MS
from .placement import EndpointSelector
from .record import FIRST_NON_SUCCESS_STATUS, CallRecord

MAX_NODES_TRIED = 4
"""Maximum number of nodes that one request is sent to."""
WITHDRAWAL_TIMEOUT_MS = 50.0
"""Time after the deadline for a peer to report whether the request has run.

More than ten times the round trip between data centres, 3 ms.
"""
SERVER_ERROR = 500


class Call:
    """One attempt of a caller, from its head to its answer."""

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
            caller.request_id,
            route,
            target.service,
            target.version,
            attempt,
            now_ms,
            team=target.team,
            has_teams=target.has_teams,
        )
        remaining_ms = min(caller.remaining_ms or route.timeout_ms, route.timeout_ms)
        self.done = False
        self._body = RequestBody()
        self._pieces: BodyPieces | None = None
        self._request_builder = RequestBuilder(
            context, exchange, caller, self.record, self._body, target.priority
        )
        self._selector = EndpointSelector(context, target.service)
        self._stream: Stream | None = None
        self._earlier_run: EarlierRun | None = None
        self._fallback_answer: Answer | None = None
        self._possible_runs = 0
        self._holds_retry_token = False
        self._withdrawn = False
        self._may_wait = True
        self._refusal: Refusal | None = None
        self._writer = AnswerWriter(exchange)
        self._outcome = OutcomeReporter(context, exchange, self.record, self._writer)
        self._deadline = Deadline(
            context.runtime,
            now_ms + remaining_ms,
            context.drain_deadline_ms,
            self._on_timer,
        )
        context.calls_in_flight.add(self)

    # Events of the caller's connection.

    def on_body(self, data: bytes) -> None:
        """Buffer the body, or stream it if it is long."""
        if self.done:
            return
        if self._body.streamed:
            self._send_body(data, False)
            return
        self._body.append(data)
        if (
            self._body.size_bytes > MAX_BUFFERED_BODY_BYTES
            and not self.exchange.started
        ):
            self._body.streamed = True
            self._dispatch()

    def on_end(self) -> None:
        """Send the buffered request, or the end of a streamed body."""
        if self.done:
            return
        self._body.whole = True
        if self._body.streamed:
            self._send_body(b"", True)
        else:
            self._dispatch()

    def refuse(self) -> bool:
        """Refuse a request that was not sent anywhere; return False if it was."""
        if self.done or self._body.streamed or self.record.nodes_tried:
            return False
        self._refuse(Reason.OVERLOADED, MIN_RETRY_AFTER_MS)
        return True

    def on_disconnect(self) -> None:
        """Cancel the request, since its caller has disconnected."""
        if self.done:
            return
        self._return_unused_tokens()
        self._close(cancel=True)
        self._outcome.report_disconnect()

    def is_wanted(self) -> bool:
        """Whether the caller still waits, as far as its socket tells."""
        return not (self.done or self.exchange.is_abandoned)

    def on_writable(self) -> None:
        """Grant the sender of the answer more bytes."""
        self._grant_credit()

    # Dispatch to a backend server.

    def _dispatch(self) -> None:
        if not self.is_wanted():
            self.on_disconnect()
            return
        context = self.context
        now_ms = context.runtime.now_ms()
        mean_run_ms = context.mean_run_times.get_or_zero(self.route.name)
        if not can_complete(self.record.left_ms(now_ms), mean_run_ms):
            self._refuse(Reason.TOO_LATE, MIN_RETRY_AFTER_MS)
            return
        endpoint = self._selector.choose(
            self._request_builder.selection_criteria(now_ms), now_ms
        )
        if endpoint is None:
            self._refuse_without_endpoint()
            return
        self._may_wait = self._body.streamed or self._selector.may_wait
        request = self._request_builder.build_request(
            now_ms, self._deadline.deadline_ms, endpoint, self._may_wait
        )
        if context.crashes.is_quarantined(request, now_ms):
            self._refuse(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER_MS)
            return
        self.record.instance = endpoint.incarnation.instance_id
        self._pieces = None
        self.record.nodes_tried += 1
        nodes_tried = self.record.nodes_tried
        self._selector.assign(endpoint, self._request_builder.deferred_kib(endpoint))
        stream = context.members.send(endpoint, request, self)
        if stream is None:
            self._selector.release()
            self._selector.record_no_arrival()
            self._selector.exclude(endpoint)
            self._dispatch()
        elif not self.done and self._waits_at(endpoint, nodes_tried):
            self._stream = stream

    def _waits_at(self, endpoint: Endpoint, nodes_tried: int) -> bool:
        """Whether a request that was just sent still waits for that outcome.

        Not if the local node refused it at once: it was then sent again, or an earlier
        run is waited for.
        """
        is_current = self._selector.endpoint is endpoint
        return is_current and self.record.nodes_tried == nodes_tried

    def _send_body(self, data: bytes, whole: bool) -> None:
        if self._stream is None:
            return
        if self._body.record_sent(data):
            self.exchange.connection.pause_reading()
        self._stream.add_body(data, whole)

    # Events of the node beside the backend server.

    def on_credit(self, size: int) -> None:
        """Send the next piece of the body, or resume reading it from the caller."""
        if self._pieces is not None:
            data, whole = self._pieces.take(size)
            if data and self._stream is not None:
                self._stream.add_body(data, whole)
        elif self._body.record_acknowledged(size):
            self.exchange.connection.resume_reading()

    def on_slot_ready(self) -> None:
        """Send a body that was held back until the request had a slot, once only."""
        endpoint = self._selector.endpoint
        if self._stream is None or endpoint is None:
            return
        if not self._request_builder.defers_body(endpoint):
            return
        if self._stream.takes_pieces:
            self._pieces = self._pieces or BodyPieces(self._body.content())
        else:
            self._stream.add_body(self._body.content(), True)

    def on_unresponsive(self, confirmed: bool) -> None:
        """Retry elsewhere, if that is safe and another backend server is available."""
        endpoint = self._selector.endpoint
        if self.done or self._writer.started or self._body.streamed or endpoint is None:
            return
        if self._withdrawn or not self._selector.has_alternative():
            return
        if confirmed and not self._try_reserve_parallel_run():
            return
        stream, self._stream = self._stream, None
        self._selector.release()
        self._selector.exclude(endpoint)
        if stream is not None and confirmed:
            self._earlier_run = EarlierRun(self, stream, endpoint)
            stream.replace_receiver(self._earlier_run)
        elif stream is not None:
            stream.cancel()
        self._log_retry(Reason.LINK_LOST)
        self._dispatch()

    def _try_reserve_parallel_run(self) -> bool:
        """Count the run at an unresponsive peer; return whether another may start."""
        if self._earlier_run is not None or not self._request_builder.is_reroutable():
            return False
        self.record.runs += 1
        if self._try_spend_retry():
            self._possible_runs += 1
            return True
        self.record.runs -= 1
        return False

    def on_earlier_answer(self, earlier: EarlierRun, answer: Answer) -> None:
        """Use the answer of the earlier run, unless another one was already chosen."""
        if self.done or earlier is not self._earlier_run:
            earlier.cancel()
            return
        if self._is_retriable_error(answer):
            self._cancel_earlier_run()
            if answer.whole:
                self._fallback_answer = self._fallback_answer or answer
            return
        if self._stream is not None:
            self._stream.cancel()
        self._selector.release()
        self._resume_earlier_run()
        self.on_answer(answer)

    def on_earlier_lost(self, earlier: EarlierRun, may_have_run: bool) -> None:
        """Wait for the later run only."""
        if earlier is not self._earlier_run:
            return
        self._earlier_run = None
        if not may_have_run:
            self._uncount_possible_run()
            if self.record.team:
                self.context.quotas.give_back(self.record.team)

    def _uncount_possible_run(self) -> None:
        """Subtract a run that was counted when its peer became unresponsive."""
        self.record.runs -= 1
        self._possible_runs -= 1

    def _resume_earlier_run(self) -> bool:
        """Wait for the earlier run only, if it is still active."""
        earlier, self._earlier_run = self._earlier_run, None
        if earlier is None:
            return False
        self._uncount_possible_run()
        self._stream = earlier.stream
        earlier.stream.replace_receiver(self)
        self._selector.assign(earlier.endpoint)
        self.record.instance = earlier.endpoint.incarnation.instance_id
        return True

    def _cancel_earlier_run(self) -> None:
        earlier, self._earlier_run = self._earlier_run, None
        if earlier is not None:
            earlier.cancel()

    def on_refusal(self, refusal: Refusal) -> None:
        """Retry elsewhere; the request has not run."""
        if self.done:
            return
        if self._withdrawn:
            self._refuse_at_deadline()
            return
        endpoint = self._selector.release()
        reason = Reason(refusal.reason)
        self._refusal = refusal
        if endpoint is not None:
            endpoint.record_refusal(
                refusal.in_flight, refusal.retry_after_ms, self._now_ms()
            )
            if reason is Reason.OVERLOADED and not self._may_wait:
                self._selector.mark_busy(endpoint)
            elif reason is Reason.OVERLOADED:
                self._selector.exclude(endpoint)
            else:
                self._selector.avoid(endpoint)
        if refusal.reached_backend:
            self.record.runs += 1
            self._selector.record_arrival()
        else:
            self._selector.record_no_arrival()
        may_retry = (
            not self._body.streamed and self.record.nodes_tried < MAX_NODES_TRIED
        )
        if refusal.reached_backend and may_retry:
            may_retry = self._try_spend_retry(runs_again=False)
        if may_retry:
            self._log_retry(reason)
            self._dispatch()
        else:
            self._refuse(reason, refusal.retry_after_ms)

    def on_failure(self, failure: Failure) -> None:
        """Retry an idempotent request elsewhere; fail any other, as it may have run."""
        if self.done:
            return
        if self._withdrawn:
            self._time_out()
            return
        endpoint = self._selector.release()
        reason = Reason(failure.reason)
        self.record.runs += 1
        self._possible_runs += 1
        self._holds_retry_token = False
        self._selector.record_arrival()
        if endpoint is not None:
            self._selector.avoid(endpoint)
        if self._writer.started:
            self._close(cancel=False)
            self._outcome.report_failed(reason)
        elif (
            self.route.idempotent
            and not self._body.streamed
            and self._try_spend_retry()
        ):
            self._log_retry(reason)
            self._dispatch()
        else:
            self._fail(reason)

    def on_answer(self, answer: Answer) -> None:
        """Answer the caller, or retry an idempotent request that got an error."""
        if self.done:
            return
        endpoint = self._selector.endpoint
        self._holds_retry_token = False
        self.record.record_times(answer)
        self._selector.record_arrival()
        if endpoint is not None:
            endpoint.mean_run_ms[self.route.name] = answer.mean_run_ms
        if endpoint is not None and not self._selector.on_trial:
            self.context.mean_run_times.record_run(self.route.name, answer.mean_run_ms)
        if self._is_retriable_error(answer) and not self._body.streamed:
            self.record.runs += 1
            self._possible_runs += 1
            if self._replace_error(answer, endpoint):
                return
        self._selector.release()
        if endpoint is not None:
            endpoint.update_load(answer.in_flight, self._now_ms())
        self._send_answer(answer)

    def _replace_error(self, answer: Answer, endpoint: Endpoint | None) -> bool:
        """Wait for another run instead of passing an error on, if one is possible."""
        retries = self._try_spend_retry()
        if not retries and self._earlier_run is None:
            return False
        self._keep_fallback_answer(answer)
        self._selector.release()
        if endpoint is not None:
            self._selector.avoid(endpoint)
        if not retries:
            return self._resume_earlier_run()
        self._log_retry(Reason.MALFORMED, answer.status)
        self._dispatch()
        return True

    def _keep_fallback_answer(self, answer: Answer) -> None:
        """Keep a complete error answer for the case that all retries fail.

        A streamed one is cancelled, so that its remainder can't mix with the next
        answer.
        """
        if answer.whole:
            self._fallback_answer = self._fallback_answer or answer
        elif self._stream is not None:
            stream, self._stream = self._stream, None
            stream.cancel()

    def _is_retriable_error(self, answer: Answer) -> bool:
        """Whether an answer is an error that justifies a retry."""
        failed = answer.status >= SERVER_ERROR and answer.status != GATEWAY_TIMEOUT
        return failed and self.route.idempotent

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Pass on more of a streamed answer."""
        if self.done:
            return
        self._writer.write_data(data)
        self._grant_credit()
        if whole:
            self._close(cancel=False)
            self._outcome.report_completed()
            self._writer.finish()

    def _send_answer(self, answer: Answer) -> None:
        self._cancel_earlier_run()
        if answer.status < FIRST_NON_SUCCESS_STATUS:
            size_bytes = max(answer.length, len(answer.body))
            self.context.answer_sizes.record_size(self.route.name, size_bytes)
        if answer.whole:
            self._close(cancel=False)
            self._outcome.report_answered(answer.status)
            self._writer.write_whole(answer)
            return
        self._outcome.report_started(answer.status)
        self._writer.start(answer)
        self._grant_credit()

    def _grant_credit(self) -> None:
        if self._stream is None:
            return
        credit = self._writer.take_credit()
        if credit:
            self._stream.add_credit(credit)

    # Completion.

    def _try_spend_retry(self, runs_again: bool = True) -> bool:
        """Spend a retry of the budget; return False if no further run is allowed.

        ``runs_again``: the request may have run before, so that another run counts in
        its team's quota too.
        """
        now_ms = self._now_ms()
        if (
            self.record.runs >= self.route.max_attempts
            or now_ms >= self._deadline.deadline_ms
            or not self.is_wanted()
        ):
            return False
        if self.record.nodes_tried >= MAX_NODES_TRIED:
            return False
        quotas, team = self.context.quotas, self.record.team
        takes_token = runs_again and bool(team)
        if takes_token and not quotas.admit_again(team):
            return False
        called = self.context.called_services.get(self.service, ())
        spent = self.context.retry_budget.try_spend(self.service, now_ms, called)
        if takes_token and not spent:
            quotas.give_back(team)
        self._holds_retry_token = self._holds_retry_token or (takes_token and spent)
        return spent

    def _return_retry_token(self) -> None:
        """Return the quota's token of a further run that has not begun."""
        if self._holds_retry_token:
            self._holds_retry_token = False
            self.context.quotas.give_back(self.record.team)

    def _return_unused_tokens(self) -> None:
        """Return the quota's tokens of runs that have not begun and never will."""
        if self._stream is not None and self._stream.may_have_run:
            return
        if self._possible_runs:
            self._return_retry_token()
        elif self.record.team:
            self.context.quotas.give_back(self.record.team)

    def _refuse_without_endpoint(self) -> None:
        refusal = self._refusal
        if refusal is None:
            self._refuse(Reason.NO_BACKEND, NO_BACKEND_RETRY_AFTER_MS)
        else:
            self._refuse(Reason(refusal.reason), refusal.retry_after_ms)

    def _refuse(self, reason: Reason, retry_after_ms: float) -> None:
        if self._possible_runs:
            self._return_retry_token()
            self._fail(reason)
            return
        self._close(cancel=True)
        self._outcome.report_refused(reason, retry_after_ms)

    def _fail(self, reason: Reason) -> None:
        if self._resume_earlier_run():
            return
        if self._fallback_answer is not None:
            answer, self._fallback_answer = self._fallback_answer, None
            self._send_answer(answer)
            return
        self._close(cancel=True)
        self._outcome.report_failed(reason)

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Shorten the deadline, since the node is shutting down."""
        if not self._withdrawn:
            self._deadline.limit_deadline(drain_deadline_ms)

    def _on_timer(self) -> None:
        try:
            self._on_timeout()
        except Exception as error:
            request_id = self.caller.request_id
            self.context.runtime.report_fault("timer", error, id=request_id)
            self.on_fault()

    def _on_timeout(self) -> None:
        """Answer at the deadline: 503 if the request has not run, 504 if it may have.

        A peer that the request was sent to is asked first to withdraw it. An answer
        that arrives meanwhile is delivered.
        """
        if self.done:
            return
        if self._writer.started and self._deadline.extend_to_caller_deadline():
            return
        stream = self._stream
        if stream is not None and stream.may_have_run and not self._skips_withdrawal():
            self._withdrawn = True
            self._deadline.extend(WITHDRAWAL_TIMEOUT_MS)
            stream.withdraw()
        elif self._writer.started or (stream is not None and stream.may_have_run):
            self._time_out()
        else:
            self._refuse_at_deadline()

    def _skips_withdrawal(self) -> bool:
        return self._withdrawn or self._writer.started

    def _refuse_at_deadline(self) -> None:
        """Refuse the request at its deadline, or time out if it may have run."""
        if self._possible_runs:
            self._time_out()
        else:
            self._refuse(self._deadline_reason(Reason.TOO_LATE), MIN_RETRY_AFTER_MS)

    def _deadline_reason(self, reason: Reason) -> Reason:
        """Return the reason, or STOPPING if the node's shutdown set the deadline."""
        return Reason.STOPPING if self._deadline.set_by_shutdown else reason

    def _time_out(self) -> None:
        self._close(cancel=True)
        self._outcome.report_failed(
            self._deadline_reason(Reason.TIMEOUT), GATEWAY_TIMEOUT
        )

    def log_aborted(self) -> None:
        """Log that the node exits before the request is answered."""
        self._outcome.log_aborted()

    def on_fault(self) -> None:
        """Answer 502 after an internal error; the request may have run."""
        if self.exchange.finished:
            return
        self.context.runtime.run_guarded("call", self._close, True)
        self.done = True
        self._outcome.report_fault()

    def _close(self, cancel: bool) -> None:
        self.done = True
        self.context.calls_in_flight.discard(self)
        self._deadline.cancel()
        self._selector.release()
        self._cancel_earlier_run()
        stream, self._stream = self._stream, None
        if cancel and stream is not None:
            stream.cancel()
        self._body.clear()
        self.exchange.connection.resume_reading()
        self.exchange.sink = None

    def _now_ms(self) -> float:
        return self.context.runtime.now_ms()

    def _log_retry(self, reason: Reason, status: int = 0) -> None:
        self.record.log_retried(status, reason, self._now_ms())
