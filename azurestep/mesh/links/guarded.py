"""The sender of a request that runs beside this node."""

from collections.abc import Callable
from typing import Any

import attrs

from ..messages import Answer, Failure, Refusal
from ..runtime import Runtime
from .interfaces import CallReceiver


@attrs.define(slots=True, eq=False)
class GuardedReceiver:
    """Keeps a fault of one sender from the queue and the other runs.

    An outcome is told from within the queue beside the backend server. A fault that
    went back through it left slots taken and other requests unanswered.
    """

    runtime: Runtime
    receiver: CallReceiver
    request_id: bytes

    def on_answer(self, answer: Answer) -> None:
        """Pass the answer on, or its beginning."""
        self._notify(self.receiver.on_answer, answer)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Pass more of the answer on."""
        self._notify(self.receiver.on_answer_data, data, whole)

    def on_refusal(self, refusal: Refusal) -> None:
        """Pass on that the request has not run."""
        self._notify(self.receiver.on_refusal, refusal)

    def on_failure(self, failure: Failure) -> None:
        """Pass on that no whole answer comes."""
        self._notify(self.receiver.on_failure, failure)

    def on_credit(self, size: int) -> None:
        """Pass on that bytes of the body were taken."""
        self._notify(self.receiver.on_credit, size)

    def on_slot_ready(self) -> None:
        """Pass on that there is a slot."""
        self._notify(self.receiver.on_slot_ready)

    def _notify(self, notify: Callable[..., None], *arguments: Any) -> None:
        try:
            notify(*arguments)
        except Exception as error:
            self.runtime.report_fault("call", error, id=self.request_id)
            self.runtime.run_guarded("call", self.receiver.on_fault)
