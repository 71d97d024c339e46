"""Protocols between a run, the receiver of its outcome and the inbound path."""

from typing import Protocol

from ...http.client import ClientConnection
from ...platform.headers import ServerNotice
from ..decisions.admission import Admission, Ticket
from ..decisions.transfers import BodyTransfers
from ..incarnation import Incarnation
from ..messages import Answer, Failure, Reason, Refusal, Request
from ..runtime import Runtime
from .connections import BackendConnections
from .crashes import CrashTracker
from .load import LoadSummary
from .state import LocalBackend


class AnswerReceiver(Protocol):
    """Receives the outcome of one request."""

    def on_answer(self, answer: Answer) -> None:
        """Handle the answer, or its head and first bytes."""

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Handle a part of the body; ``whole``: the body ends with it."""

    def on_refusal(self, refusal: Refusal) -> None:
        """Handle a refusal: the request has not run and will not."""

    def on_failure(self, failure: Failure) -> None:
        """Handle a failure: no complete answer comes."""

    def on_credit(self, size: int) -> None:
        """Handle the consumption of ``size`` bytes of the request's body."""

    def on_slot_ready(self) -> None:
        """Confirm or cancel a request, which now has a slot."""

    def is_wanted(self) -> bool:
        """Whether the caller still waits for the outcome."""


class RunHost(Protocol):
    """The shared state of all runs at the local backend server."""

    runtime: Runtime
    backend: LocalBackend
    admission: Admission
    connections: BackendConnections
    transfers: BodyTransfers
    crashes: CrashTracker
    load: LoadSummary
    shutting_down: bool

    @property
    def late_reason(self) -> Reason:
        """Reason for the refusal of requests that can't end in time."""

    def now_ms(self) -> float:
        """Return the monotonic time."""

    def team_weight(self, team: str) -> float:
        """Return the weight of a team's requests in the queue; 1 if it isn't known."""

    def release_late(self, ticket: Ticket) -> None:
        """Remove a run once the backend server has noticed that it was cancelled."""

    def release(self, ticket: Ticket) -> None:
        """Remove a run; calls no receiver."""

    def record_body(self, run: object, size_bytes: int, whole: bool) -> None:
        """Record a piece of a body that was held back; calls no receiver."""

    def apply_notice(self, incarnation: Incarnation, notice: ServerNotice) -> None:
        """Apply what an incarnation said about itself in an answer."""

    def apply_work_ratio(self, incarnation: Incarnation, ratio: float | None) -> None:
        """Apply how long work takes at an incarnation by its answer."""

    def record_trial_run(self, route: str, failed: bool, run_ms: float) -> None:
        """Count a run, if two versions of the service are being compared."""

    def record_run(self, failed: bool) -> None:
        """Count a run that ended in the failure ratio."""

    def record_connection_loss(
        self, request: Request, connection: ClientConnection, sent_ms: float
    ) -> None:
        """Record that a connection ended during a request, before any answer."""

    def handle_replaced_instance(self, request: Request, instance_id: str) -> None:
        """Handle an answer of another incarnation."""
