"""One attempt of a caller: choose, send, try elsewhere, answer."""

from ...http.server import Exchange
from ...platform.headers import CallerFields
from ..backend.crashes import RETRY_MS as CRASH_RETRY_MS
from ..decisions.admission import RETRY_LEAST_MS
from ..decisions.choice import Endpoint, Wish
from ..decisions.returning import Attempt
from ..links.connection import Stream
from ..messages import Answer, Failure, Reason, Refusal, Request
from .answer_writer import AnswerWriter
from .body import BUFFER_BYTES, BULK_BYTES, RequestBody
from .context import CallContext, Target
from .own_answers import RETRY_WITHOUT_BACKEND_MS, answer_refused, id_header
from .placement import Placement
from .record import GOOD_BELOW, CallRecord

ASKED_MOST = 4
"""Most nodes that are asked for one request before its caller is refused."""
NO_ROOM = frozenset({Reason.OVERLOADED, Reason.TOO_LATE})
WITHDRAWAL_MS = 50.0
"""Longest wait at the deadline for the word whether a request ran: ten times the round
trip between data centres that was measured (3 ms), and a fifth of the time by which an
answer past its timeout counts as held."""
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502
UNAVAILABLE = 503


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
        budget_ms = min(caller.budget_ms or route.timeout_ms, route.timeout_ms)
        self.ends_ms = now_ms + budget_ms
        self.done = False
        self._body = RequestBody()
        self._placement = Placement(context, target.service)
        self._stream: Stream | None = None
        self._fallback: Answer | None = None
        self._may_have_run = False
        self._withdrawn = False
        self._refusal: Refusal | None = None
        self._writer = AnswerWriter(exchange)
        self._timer = context.runtime.loop.call_later(
            budget_ms / 1000, self._on_timeout
        )
        context.under_way.add(self)

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

    def on_gone(self) -> None:
        """Stop the request; its caller left."""
        if self.done:
            return
        self.record.log_gone(self._now_ms())
        self.context.runtime.metrics.count("calls", "gone")
        self._close(cancel=True)

    def on_writable(self) -> None:
        """Grant the other end more bytes of the answer."""
        self._grant()

    # To a backend server.

    def _dispatch(self) -> None:
        context = self.context
        now_ms = context.runtime.now_ms()
        wish = Wish(
            self.service,
            self.route.name,
            self.record.objective_ms(now_ms),
            context.usual.get(self.route.name),
            self._size_kib(),
            context.members.data_centre,
        )
        endpoint = self._placement.choose(wish, now_ms)
        if endpoint is None:
            self._give_up()
            return
        request = self._request(now_ms, endpoint)
        if context.crashes.refuses(request, now_ms):
            self._refuse(Reason.QUARANTINED, CRASH_RETRY_MS)
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

    def _size_kib(self) -> float:
        """Return the size of the request's body and its likely answer."""
        body_bytes = max(self._body.size_bytes, self.exchange.length)
        return self.context.sizes.kib(self.route.name) + body_bytes / 1024

    def _request(self, now_ms: float, endpoint: Endpoint) -> Request:
        exchange, route = self.exchange, self.route
        bulk = self._sends_later(endpoint)
        return Request(
            exchange.method,
            exchange.target,
            self.caller.forwarded,
            self.service,
            endpoint.incarnation.instance_id,
            route.name,
            self.caller.request_id,
            self.context.calling_service.encode(),
            route.idempotent,
            route.priority,
            self.ends_ms - now_ms,
            self.record.objective_ms(now_ms),
            now_ms,
            -1 if exchange.chunked else exchange.length,
            self._body.whole and not bulk,
            b"" if bulk else self._body.content(),
            endpoint.incarnation.born_ms,
            self.context.usual.known(route.name),
            held=not self._body.streamed and (bulk or not self._is_movable()),
        )

    def _is_movable(self) -> bool:
        """Whether the request may go elsewhere on a mere doubt, once it was let go.

        Not if its answer is long: probes wait behind long answers on a narrow link, and
        a download that was sent again for that filled another link too. With 90 KB on
        links of 7.5 Mbit/s, a day of high load was worth 0.14 so, 0.36 with downloads
        that wait. They are run again after a failure that is certain.
        """
        answer_bytes = self.context.sizes.kib(self.route.name) * 1024
        return self.route.idempotent and answer_bytes <= BULK_BYTES

    def _sends_later(self, endpoint: Endpoint) -> bool:
        """Whether the body is sent only once the other node asks for it."""
        return self._body.is_bulk and not self.context.members.is_own(endpoint)

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

    def on_ready(self) -> None:
        """Send a long body, which was kept until there was a slot for it."""
        endpoint = self._placement.endpoint
        if self._stream is None or endpoint is None:
            return
        if self._sends_later(endpoint):
            self._stream.body(self._body.content(), True)

    def on_doubt(self, let_go: bool) -> None:
        """Go elsewhere, if that is safe and there is another way."""
        endpoint = self._placement.endpoint
        if self.done or self._writer.started or self._body.streamed or endpoint is None:
            return
        if self._withdrawn or not self._placement.has_other():
            return
        if let_go and not (self._is_movable() and self._doubt_allows_run()):
            return
        stream, self._stream = self._stream, None
        self._placement.leave()
        self._placement.exclude(endpoint)
        if stream is not None:
            stream.cancel()
        self._log_retry(Reason.LINK_LOST)
        self._dispatch()

    def _doubt_allows_run(self) -> bool:
        self.record.runs += 1
        if self._may_run_again():
            self._may_have_run = True
            return True
        self.record.runs -= 1
        return False

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
            endpoint.tell(refusal.busy)
            if reason is Reason.OVERLOADED:
                self._placement.exclude(endpoint)
            else:
                self._placement.avoid(endpoint)
        if refusal.arrived:
            self.record.runs += 1
        may_repeat = not self._body.streamed and self.record.asked < ASKED_MOST
        if refusal.arrived and may_repeat:
            may_repeat = self._may_run_again()
        if may_repeat:
            self._log_retry(reason)
            self._dispatch()
        else:
            self._refuse(reason, refusal.retry_ms)

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
        self._may_have_run = True
        if endpoint is not None:
            self._placement.avoid(endpoint)
        if self._writer.started:
            self.record.log_failed(0, reason, self._now_ms())
            self._close(cancel=False)
            self._writer.break_off()
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
            endpoint.run_ms[self.route.name] = answer.run_ms
            self.context.usual.learn(self.route.name, answer.run_ms)
        retryable = answer.status >= SERVER_ERROR and answer.status != GATEWAY_TIMEOUT
        if retryable and self.route.idempotent and not self._body.streamed:
            self.record.runs += 1
            self._may_have_run = True
            if self._may_run_again():
                self._fallback = answer
                self._placement.leave()
                if endpoint is not None:
                    self._placement.avoid(endpoint)
                self._log_retry(Reason.MALFORMED, answer.status)
                self._dispatch()
                return
        self._placement.leave()
        if endpoint is not None:
            endpoint.tell(answer.busy)
        self._pass_on(answer)

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
        if answer.status < GOOD_BELOW:
            size_bytes = max(answer.length, len(answer.body))
            self.context.sizes.learn(self.route.name, size_bytes)
        if answer.whole:
            self._ended(answer.status)
            self._writer.whole(answer)
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
        if self.record.runs >= self.route.max_attempts or now_ms >= self.ends_ms:
            return False
        if self.record.asked >= ASKED_MOST:
            return False
        return self.context.budget.spend(self.service, now_ms)

    def _give_up(self) -> None:
        refusal = self._refusal
        if refusal is None:
            self._refuse(Reason.NO_BACKEND, RETRY_WITHOUT_BACKEND_MS)
        else:
            self._refuse(Reason(refusal.reason), refusal.retry_ms)

    def _refuse(self, reason: Reason, retry_ms: float) -> None:
        if self._may_have_run:
            self._fail(reason)
            return
        self.record.log_refused(UNAVAILABLE, reason, self._now_ms())
        self.context.runtime.metrics.count("calls", "refused")
        if reason in NO_ROOM:
            self.context.refusals.refused(self.route.name)
        self.context.returning.remember(self.record.attempt)
        self._close(cancel=True)
        answer_refused(
            self.context.runtime, self.exchange, self.caller.request_id, retry_ms
        )

    def _fail(self, reason: Reason) -> None:
        if self._fallback is not None:
            answer, self._fallback = self._fallback, None
            self._pass_on(answer)
            return
        self.record.log_failed(BAD_GATEWAY, reason, self._now_ms())
        self.context.runtime.metrics.count("calls", "failed")
        self.context.returning.remember(self.record.attempt)
        self._close(cancel=True)
        self.exchange.answer(BAD_GATEWAY, self._id_header(), b"")

    def _on_timeout(self) -> None:
        """Answer at the deadline; where the request has not run, say so.

        The node that it was sent to is asked whether it ran. An answer that crosses
        the question is delivered.
        """
        if self.done:
            return
        stream = self._stream
        if stream is not None and stream.may_run and not self._asks_whether_it_ran():
            self._withdrawn = True
            self._timer = self.context.runtime.loop.call_later(
                WITHDRAWAL_MS / 1000, self._on_timeout
            )
            stream.withdraw()
        elif self._writer.started or (stream is not None and stream.may_run):
            self._time_out()
        else:
            self._refuse_late()

    def _asks_whether_it_ran(self) -> bool:
        return self._withdrawn or self._writer.started

    def _refuse_late(self) -> None:
        """Answer at the deadline that the request has not run, if it has not."""
        if self._may_have_run:
            self._time_out()
        else:
            self._refuse(Reason.TOO_LATE, RETRY_LEAST_MS)

    def _time_out(self) -> None:
        self.record.log_failed(GATEWAY_TIMEOUT, Reason.TIMEOUT, self._now_ms())
        self.context.runtime.metrics.count("calls", "timeout")
        self.context.returning.remember(self.record.attempt)
        self._close(cancel=True)
        if self._writer.started:
            self._writer.break_off()
        else:
            self.exchange.answer(GATEWAY_TIMEOUT, self._id_header(), b"")

    def log_cut(self) -> None:
        """Log that the node ends before the answer; its connection ends with it."""
        self.record.log_failed(0, Reason.STOPPING, self._now_ms())

    def _ended(self, status: int) -> None:
        runtime = self.context.runtime
        runtime.metrics.call_ms.record(runtime.now_ms() - self.record.arrived_ms)
        runtime.metrics.count("calls", "good" if status < GOOD_BELOW else "error")
        if status >= GOOD_BELOW:
            self.context.returning.remember(self.record.attempt)
        self.record.log_end(status, self._now_ms())
        self._close(cancel=False)

    def _close(self, cancel: bool) -> None:
        self.done = True
        self.context.under_way.discard(self)
        self._timer.cancel()
        self._placement.leave()
        stream, self._stream = self._stream, None
        if cancel and stream is not None:
            stream.cancel()
        self._body.drop()
        self.exchange.connection.resume_reading()
        self.exchange.sink = None

    def _now_ms(self) -> float:
        return self.context.runtime.now_ms()

    def _id_header(self) -> list[tuple[bytes, bytes]]:
        return id_header(self.caller.request_id)

    def _log_retry(self, reason: Reason, status: int = 0) -> None:
        self.record.log_retried(status, reason, self._now_ms())
