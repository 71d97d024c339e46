"""Forwarding of a request's outcome to the peer that sent it."""

from typing import Protocol

import attrs

from ..messages import Answer, Failure, Kind, Refusal, fields_of


class OutcomeLink(Protocol):
    """The link over which outcomes are sent."""

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""

    def end_stream(self, stream_id: int) -> None:
        """Remove a request that ended."""

    def has_hung_up(self) -> bool:
        """Whether the peer has closed the link, read or not."""


@attrs.define(eq=False, repr=False)
class OutcomeForwarder:
    """Sends the outcome of one request to the peer that sent it."""

    link: OutcomeLink
    stream_id: int

    def on_answer(self, answer: Answer) -> None:
        """Send the answer, or its head and first bytes."""
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
        """Send credit for more of the body."""
        self.link.send(Kind.CREDIT, self.stream_id, size)

    def on_slot_ready(self) -> None:
        """Ask the sender to confirm the request, which has a slot now."""
        self.link.send(Kind.SLOT_READY, self.stream_id)

    def is_wanted(self) -> bool:
        """Whether the peer may still pass an outcome on."""
        return not self.link.has_hung_up()
