"""Log lines about one call."""

import math

import attrs

from ...routing.model import Route
from .. import events
from ..decisions.returning import Attempt
from ..messages import Answer, Reason

FIRST_NON_SUCCESS_STATUS = 300


@attrs.define(slots=True, eq=False, repr=False)
class CallRecord:
    """One call, as its log lines show it.

    Attributes
    ----------
    nodes_tried : int
        Nodes that the request was sent to.
    runs : int
        Backend servers where the request may have run.
    instance : bytes
        Backend server that the request was sent to last.
    waited_ms, ran_ms : float
        Time in the queue before that server, and at the server.
    team : str
        Team of the caller; empty for none.
    has_teams : bool
        Whether the configuration has teams.
    """

    request_id: bytes
    route: Route
    service: str
    version: int
    attempt: Attempt
    arrived_ms: float
    nodes_tried: int = 0
    runs: int = 0
    instance: bytes = b""
    waited_ms: float = 0.0
    ran_ms: float = 0.0
    team: str = ""
    has_teams: bool = False

    def left_ms(self, now_ms: float) -> float:
        """Return the time for which the caller waits; infinite if it isn't known.

        Known only where the configuration has teams, as the waits that refused
        callers are told depend on it.
        """
        known = self.has_teams and self.attempt.deadline_ms > now_ms
        return self.attempt.deadline_ms - now_ms if known else math.inf

    def objective_ms(self, now_ms: float) -> float:
        """Return the time left to the objective; negative once it is missed."""
        return self.route.objective_ms - (now_ms - self.attempt.first_attempt_ms)

    def record_times(self, answer: Answer) -> None:
        """Record the times that an answer reports."""
        self.waited_ms, self.ran_ms = answer.waited_ms, answer.ran_ms

    def log_answered(self, status: int, now_ms: float) -> None:
        """Log that a backend server's answer was passed on."""
        in_time = status < FIRST_NON_SUCCESS_STATUS and self.objective_ms(now_ms) >= 0
        log = events.log_routine if in_time else events.log
        log(events.CALL_ENDED, **self._fields(status, "", now_ms))

    def log_refused(self, status: int, reason: Reason, now_ms: float) -> None:
        """Log that the request was refused and has not run."""
        events.log(events.CALL_REFUSED, **self._fields(status, reason.name, now_ms))

    def log_failed(self, status: int, reason: Reason, now_ms: float) -> None:
        """Log that the request failed and may have run."""
        events.log(events.CALL_FAILED, **self._fields(status, reason.name, now_ms))

    def log_retried(self, status: int, reason: Reason, now_ms: float) -> None:
        """Log that the request is retried at another backend server."""
        events.log(events.CALL_RETRIED, **self._fields(status, reason.name, now_ms))

    def log_disconnected(self, now_ms: float) -> None:
        """Log that the caller disconnected."""
        events.log(
            events.CALLER_DISCONNECTED,
            id=self.request_id,
            route=self.route.name,
            instance=self.instance,
            asked=self.nodes_tried,
            runs=self.runs,
            after_ms=round(now_ms - self.arrived_ms),
        )

    def _fields(self, status: int, reason: str, now_ms: float) -> dict[str, object]:
        fields: dict[str, object] = {
            "id": self.request_id,
            "route": self.route.name,
            "service": self.service,
            "version": self.version,
            "instance": self.instance,
            "status": status,
            "reason": reason,
            "asked": self.nodes_tried,
            "runs": self.runs,
            "after_ms": round(now_ms - self.arrived_ms),
            "left_ms": round(self.objective_ms(now_ms)),
            "returned": self.attempt.is_retry,
            "waited_ms": round(self.waited_ms),
            "ran_ms": round(self.ran_ms),
        }
        if self.team:
            fields["team"] = self.team
        return fields
