"""How an attempt ends: what is logged and counted, and answers of the node's own."""

import attrs

from ...http.server import Exchange
from ..messages import Reason
from .answer_writer import AnswerWriter
from .context import CallContext
from .own_answers import BAD_GATEWAY, answer_refused, id_header
from .record import GOOD_BELOW, CallRecord

NO_ROOM = frozenset({Reason.OVERLOADED, Reason.TOO_LATE})
"""Refusals for want of room, of which other nodes are told."""
CUT = 0
"""In place of a status: the connection ends without a whole answer."""
GATEWAY_TIMEOUT = 504
UNAVAILABLE = 503


@attrs.define(slots=True, eq=False)
class Ending:
    """Tells callers, logs and metrics how one attempt ended; each once."""

    context: CallContext
    exchange: Exchange
    record: CallRecord
    writer: AnswerWriter

    def answered(self, status: int) -> None:
        """Count a backend server's answer that came whole."""
        runtime, record = self.context.runtime, self.record
        now_ms = runtime.now_ms()
        runtime.metrics.call_ms.record(now_ms - record.arrived_ms)
        runtime.metrics.count("calls", "good" if status < GOOD_BELOW else "error")
        if status >= GOOD_BELOW:
            self.context.returning_callers.add(record.attempt)
        record.log_end(status, now_ms)

    def refused(self, reason: Reason, retry_after_ms: float) -> None:
        """Answer that the request has not run, and when to come back."""
        runtime, record = self.context.runtime, self.record
        record.log_refused(UNAVAILABLE, reason, runtime.now_ms())
        runtime.metrics.count("calls", "refused")
        if reason in NO_ROOM:
            self.context.refusals.record_refused(record.route.name)
        self.context.returning_callers.add(record.attempt)
        answer_refused(runtime, self.exchange, record.request_id, retry_after_ms)

    def failed(self, reason: Reason, status: int = BAD_GATEWAY) -> None:
        """Answer that the request may have run, or break its answer off."""
        self._count_failed(reason, status)
        if self.writer.started:
            self.writer.reset()
        else:
            self.exchange.answer(status, id_header(self.record.request_id), b"")

    def fault(self) -> None:
        """Answer after a fault of this program: the request may have run."""
        runtime = self.context.runtime
        runtime.run_guarded("call", self._count_failed, Reason.FAULT, BAD_GATEWAY)
        if self.exchange.started:
            self.exchange.reset()
        else:
            headers = id_header(self.record.request_id)
            self.exchange.answer(BAD_GATEWAY, headers, b"")

    def gone(self) -> None:
        """Note that the caller left."""
        self.record.log_gone(self.context.runtime.now_ms())
        self.context.runtime.metrics.count("calls", "gone")

    def cut(self) -> None:
        """Note that the node ends before the answer; the connection ends with it."""
        now_ms = self.context.runtime.now_ms()
        self.record.log_failed(CUT, Reason.STOPPING, now_ms)

    def _count_failed(self, reason: Reason, status: int) -> None:
        runtime = self.context.runtime
        shown = CUT if self.writer.started else status
        self.record.log_failed(shown, reason, runtime.now_ms())
        timed_out = status == GATEWAY_TIMEOUT
        runtime.metrics.count("calls", "timeout" if timed_out else "failed")
        self.context.returning_callers.add(self.record.attempt)
