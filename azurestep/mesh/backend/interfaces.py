"""What a run at the backend server needs of its surroundings."""

from typing import Protocol

from ...http.client import ClientConnection, IdlePool
from ..decisions.admission import Admission, Ticket
from ..messages import Answer, Failure, Reason, Refusal, Request
from ..runtime import Runtime
from .crashes import CrashTracker
from .load import LoadSummary
from .state import Backend
from .transfers import BodyTransfer, BodyTransfers


class AnswerReceiver(Protocol):
    """What hears of the outcome of one request."""

    def on_answer(self, answer: Answer) -> None:
        """Take the answer, or its head and first bytes."""

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Take more of the answer."""

    def on_refusal(self, refusal: Refusal) -> None:
        """Learn that the request has not run and will not."""

    def on_failure(self, failure: Failure) -> None:
        """Learn that no whole answer comes."""

    def on_credit(self, size: int) -> None:
        """Learn that so many bytes of the body were taken."""

    def on_slot_ready(self) -> None:
        """Learn that a held request has a slot and waits to be let go."""


class RunHost(Protocol):
    """The way to the backend server that runs share."""

    runtime: Runtime
    backend: Backend
    admission: Admission
    idle: IdlePool
    transfers: BodyTransfers
    crashes: CrashTracker
    load: LoadSummary
    stopping: bool

    @property
    def late_reason(self) -> Reason:
        """Why what can't end in time is refused."""

    def now_ms(self) -> float:
        """Return the monotonic time."""

    async def connect(self) -> ClientConnection | None:
        """Open a connection to the backend server; None if it takes none."""

    def keep(self, connection: ClientConnection) -> None:
        """Keep an idle connection."""

    def release(self, ticket: Ticket) -> None:
        """Take a run off the books; nobody is called from within."""

    def fetched(self, transfer: BodyTransfer) -> None:
        """Pass the turn to fetch a body on; nobody is called from within."""

    def ran(self, failed: bool) -> None:
        """Count a run that ended."""

    def broke_off(
        self, request: Request, connection: ClientConnection, sent_ms: float
    ) -> None:
        """Learn that a connection ended under a request, before any answer."""

    def other_instance(self, request: Request, instance_id: str) -> None:
        """Learn that another incarnation answered."""
