"""The sender of one request, at the other end of a link."""

from typing import Protocol

import attrs

from ..messages import Answer, Failure, Kind, Refusal, fields_of


class OutcomeSender(Protocol):
    """The link over which outcomes go back."""

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""

    def forget(self, stream: int) -> None:
        """Forget a request that ended."""


@attrs.define(eq=False)
class OutcomeForwarder:
    """Sends the outcome of one request back over the link."""

    server: OutcomeSender
    stream: int

    def on_answer(self, answer: Answer) -> None:
        """Send the answer, or its beginning."""
        self.server.send(Kind.ANSWER, self.stream, *fields_of(answer))
        if answer.whole:
            self.server.forget(self.stream)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Send more of the answer."""
        self.server.send(Kind.ANSWER_DATA, self.stream, data, whole)
        if whole:
            self.server.forget(self.stream)

    def on_refusal(self, refusal: Refusal) -> None:
        """Send a refusal."""
        self.server.send(Kind.REFUSAL, self.stream, *fields_of(refusal))
        self.server.forget(self.stream)

    def on_failure(self, failure: Failure) -> None:
        """Send a failure."""
        self.server.send(Kind.FAILURE, self.stream, *fields_of(failure))
        self.server.forget(self.stream)

    def on_credit(self, size: int) -> None:
        """Let the sender send more of the body."""
        self.server.send(Kind.CREDIT, self.stream, size)

    def on_slot_ready(self) -> None:
        """Ask the sender whether the request still stands."""
        self.server.send(Kind.SLOT_READY, self.stream)
