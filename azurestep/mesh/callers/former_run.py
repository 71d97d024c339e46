"""A run that goes on behind a doubtful link while its request is sent elsewhere.

Cancelled on the doubt, such a run was lost also where its node was alive and merely
slow: a read that had run for 204 ms ended as 502, since the other servers had no room.
"""

from typing import Protocol

import attrs

from ..decisions.choice import Endpoint
from ..links.interfaces import Stream
from ..messages import Answer, Failure, Refusal


class FormerRunOwner(Protocol):
    """The attempt that the run belongs to."""

    def on_former_answer(self, former: "FormerRun", answer: Answer) -> None:
        """Take the answer, or its head and first bytes."""

    def on_former_lost(self, former: "FormerRun", may_have_run: bool) -> None:
        """Learn that no answer comes of it, and whether it may have run."""


@attrs.define(eq=False)
class FormerRun:
    """Hears of the outcome of a run that its attempt does not wait for alone.

    Attributes
    ----------
    stream : Stream
        The hold on the run.
    endpoint : Endpoint
        The backend server that it is at.
    """

    owner: FormerRunOwner
    stream: Stream
    endpoint: Endpoint

    def cancel(self) -> None:
        """Stop the run; another answer was there first, or the caller left."""
        self.stream.cancel()

    def on_answer(self, answer: Answer) -> None:
        """Offer the answer."""
        self.owner.on_former_answer(self, answer)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Ignore; what follows the head goes to the attempt itself."""

    def on_refusal(self, refusal: Refusal) -> None:
        """Tell that it did not run after all."""
        self.owner.on_former_lost(self, may_have_run=refusal.reached_backend)

    def on_failure(self, failure: Failure) -> None:
        """Tell that it failed."""
        self.owner.on_former_lost(self, may_have_run=True)

    def on_credit(self, size: int) -> None:
        """Ignore; its body was whole when it was sent."""

    def on_slot_ready(self) -> None:
        """Ignore; it was let go long ago."""

    def on_unresponsive(self, confirmed: bool) -> None:
        """Ignore; its request has moved already."""

    def on_fault(self) -> None:
        """Tell that a fault of this program ended it."""
        self.owner.on_former_lost(self, may_have_run=True)
