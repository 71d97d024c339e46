"""A run at an unresponsive peer that continues while its request is retried elsewhere.

Its answer still counts if it arrives first: the peer may merely be slow, and the other
backend servers may have no capacity.
"""

from typing import Protocol

import attrs

from ..decisions.choice import Endpoint
from ..links.interfaces import Stream
from ..messages import Answer, Failure, Refusal


class EarlierRunOwner(Protocol):
    """The call that the run belongs to."""

    def on_earlier_answer(self, run: "EarlierRun", answer: Answer) -> None:
        """Handle the answer, or its head and first bytes."""

    def on_earlier_lost(self, run: "EarlierRun", may_have_run: bool) -> None:
        """Handle the end of the run without an answer."""

    def is_wanted(self) -> bool:
        """Whether the caller still waits for the outcome."""


@attrs.define(eq=False, repr=False)
class EarlierRun:
    """Receives the outcome of a run that competes with a later one.

    Attributes
    ----------
    stream : Stream
        Handle of the run.
    endpoint : Endpoint
        Backend server that it was sent to.
    """

    owner: EarlierRunOwner
    stream: Stream
    endpoint: Endpoint

    def cancel(self) -> None:
        """Cancel the run; its answer isn't needed any more."""
        self.stream.cancel()

    def on_answer(self, answer: Answer) -> None:
        """Pass the answer to the call."""
        self.owner.on_earlier_answer(self, answer)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Ignore; after the head, the call itself is the receiver."""

    def on_refusal(self, refusal: Refusal) -> None:
        """Report that the run was refused."""
        self.owner.on_earlier_lost(self, may_have_run=refusal.reached_backend)

    def on_failure(self, failure: Failure) -> None:
        """Report that the run failed."""
        self.owner.on_earlier_lost(self, may_have_run=True)

    def on_credit(self, size: int) -> None:
        """Ignore; the body was sent with the request."""

    def on_slot_ready(self) -> None:
        """Ignore; the request was confirmed before."""

    def is_wanted(self) -> bool:
        """Whether the caller still waits for the outcome."""
        return self.owner.is_wanted()

    def on_unresponsive(self, confirmed: bool) -> None:
        """Ignore; the request was retried already."""

    def on_fault(self) -> None:
        """Report that an internal error ended the run."""
        self.owner.on_earlier_lost(self, may_have_run=True)
