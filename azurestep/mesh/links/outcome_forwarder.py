"""The sender of one request, at the other end of a link."""

from typing import Protocol

import attrs

from ..messages import Answer, Failure, Kind, Refusal, fields_of


class OutcomeLink(Protocol):
    """The link over which outcomes go back."""

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""

    def end_stream(self, stream_id: int) -> None:
        """Forget a request that ended."""


@attrs.define(eq=False)
class OutcomeForwarder:
    """Sends the outcome of one request back over the link."""

    link: OutcomeLink
    stream_id: int

    def on_answer(self, answer: Answer) -> None:
        """Send the answer, or its beginning."""
        self.link.send(Kind.ANSWER, self.stream_id, *fields_of(answer))
        if answer.whole:
            self.link.end_stream(self.stream_id)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Send more of the answer."""
        self.link.send(Kind.ANSWER_DATA, self.stream_id, data, whole)
        if whole:
            self.link.end_stream(self.stream_id)

    def on_refusal(self, refusal: Refusal) -> None:
        """Send a refusal."""
        self.link.send(Kind.REFUSAL, self.stream_id, *fields_of(refusal))
        self.link.end_stream(self.stream_id)

    def on_failure(self, failure: Failure) -> None:
        """Send a failure."""
        self.link.send(Kind.FAILURE, self.stream_id, *fields_of(failure))
        self.link.end_stream(self.stream_id)

    def on_credit(self, size: int) -> None:
        """Let the sender send more of the body."""
        self.link.send(Kind.CREDIT, self.stream_id, size)

    def on_slot_ready(self) -> None:
        """Ask the sender whether the request still stands."""
        self.link.send(Kind.SLOT_READY, self.stream_id)
