"""What the log lines of one attempt tell."""

import attrs

from ...routing.model import Route
from .. import events
from ..decisions.returning import Attempt
from ..messages import Answer, Reason

GOOD_BELOW = 300


@attrs.define(slots=True, eq=False)
class CallRecord:
    """One attempt of a caller, as its lines show it.

    Attributes
    ----------
    asked : int
        Nodes that were asked.
    runs : int
        Backend servers that the request may have reached.
    instance : bytes
        Backend server that was asked last.
    waited_ms, ran_ms : float
        Time beside that server and at it, as its answer told.
    """

    request_id: bytes
    route: Route
    service: str
    version: int
    attempt: Attempt
    arrived_ms: float
    asked: int = 0
    runs: int = 0
    instance: bytes = b""
    waited_ms: float = 0.0
    ran_ms: float = 0.0

    def objective_ms(self, now_ms: float) -> float:
        """Return the time until the answer loses value, negative once it has."""
        return self.route.objective_ms - (now_ms - self.attempt.first_attempt_ms)

    def answered(self, answer: Answer) -> None:
        """Take in what an answer tells of its way."""
        self.waited_ms, self.ran_ms = answer.waited_ms, answer.ran_ms

    def log_end(self, status: int, now_ms: float) -> None:
        """Log that the caller got a backend server's answer."""
        in_time = status < GOOD_BELOW and self.objective_ms(now_ms) >= 0
        log = events.log_routine if in_time else events.log
        log(events.CALL_ENDED, **self._fields(status, "", now_ms))

    def log_refused(self, status: int, reason: Reason, now_ms: float) -> None:
        """Log that the request is refused and has not run."""
        events.log(events.CALL_REFUSED, **self._fields(status, reason.name, now_ms))

    def log_failed(self, status: int, reason: Reason, now_ms: float) -> None:
        """Log that the request failed and may have run."""
        events.log(events.CALL_FAILED, **self._fields(status, reason.name, now_ms))

    def log_retried(self, status: int, reason: Reason, now_ms: float) -> None:
        """Log that another backend server is asked."""
        events.log(events.CALL_RETRIED, **self._fields(status, reason.name, now_ms))

    def log_gone(self, now_ms: float) -> None:
        """Log that the caller left."""
        events.log(
            events.CALLER_DISCONNECTED,
            id=self.request_id,
            route=self.route.name,
            instance=self.instance,
            after_ms=round(now_ms - self.arrived_ms),
        )

    def _fields(self, status: int, reason: str, now_ms: float) -> dict[str, object]:
        return {
            "id": self.request_id,
            "route": self.route.name,
            "service": self.service,
            "version": self.version,
            "instance": self.instance,
            "status": status,
            "reason": reason,
            "asked": self.asked,
            "runs": self.runs,
            "after_ms": round(now_ms - self.arrived_ms),
            "left_ms": round(self.objective_ms(now_ms)),
            "returned": self.attempt.is_retry,
            "waited_ms": round(self.waited_ms),
            "ran_ms": round(self.ran_ms),
        }
