"""Receiver of a request that runs at the local backend server."""

from collections.abc import Callable
from typing import Any

import attrs

from ..messages import Answer, Failure, Refusal
from ..runtime import Runtime
from .interfaces import CallReceiver


@attrs.define(slots=True, eq=False, repr=False)
class GuardedReceiver:
    """Contains errors of a receiver, which is called from within the queue.

    An error that propagated into the queue would leak slots and leave other requests
    unanswered.
    """

    runtime: Runtime
    receiver: CallReceiver
    request_id: bytes

    def on_answer(self, answer: Answer) -> None:
        """Pass on the answer, or its head and first bytes."""
        self._notify(self.receiver.on_answer, answer)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Pass on more of the answer."""
        self._notify(self.receiver.on_answer_data, data, whole)

    def on_refusal(self, refusal: Refusal) -> None:
        """Pass on that the request has not run."""
        self._notify(self.receiver.on_refusal, refusal)

    def on_failure(self, failure: Failure) -> None:
        """Pass on that the request failed and may have run."""
        self._notify(self.receiver.on_failure, failure)

    def on_credit(self, size: int) -> None:
        """Pass on the credit for more of the body."""
        self._notify(self.receiver.on_credit, size)

    def on_slot_ready(self) -> None:
        """Pass on that the request has a slot."""
        self._notify(self.receiver.on_slot_ready)

    def is_wanted(self) -> bool:
        """Whether the caller still waits for the outcome."""
        return self.receiver.is_wanted()

    def _notify(self, notify: Callable[..., None], *arguments: Any) -> None:
        try:
            notify(*arguments)
        except Exception as error:
            self.runtime.report_fault("call", error, id=self.request_id)
            self.runtime.run_guarded("call", self.receiver.on_fault)
