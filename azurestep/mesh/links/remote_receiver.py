"""Forwarding of a request's outcome to the peer that sent it."""

from typing import Protocol

import attrs

from ..messages import Answer, Failure, Kind, Refusal, fields_of
from .body_sender import BodySender


class OutcomeLink(Protocol):
    """The link over which outcomes are sent."""

    @property
    def body_sender(self) -> BodySender:
        """Sender of long bodies."""

    @property
    def takes_answer_parts(self) -> bool:
        """Whether the peer takes parts of a body ahead of their answer."""

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""

    def is_awaited(self, stream_id: int) -> bool:
        """Whether the peer still waits for the outcome of a request."""

    def end_stream(self, stream_id: int) -> None:
        """Remove a request that ended."""

    def has_hung_up(self) -> bool:
        """Whether the peer has closed the link, read or not."""


@attrs.define(eq=False, repr=False)
class OutcomeForwarder:
    """Sends the outcome of one request to the peer that sent it.

    Long bodies leave at the pace of the link, so that they delay nothing else; what is
    still unsent when the peer cancels the request is dropped.
    """

    link: OutcomeLink
    stream_id: int

    def on_answer(self, answer: Answer) -> None:
        """Send the answer, or its head and first bytes."""
        sender = self.link.body_sender
        is_short = len(answer.body) <= sender.pacer.piece_bytes
        if is_short or not self.link.takes_answer_parts:
            self.write_answer(answer)
        else:
            sender.send(AnswerInParts(self, answer), answer.body, True)

    def write_answer(self, answer: Answer) -> None:
        """Write the answer to the link, with the last part of its body."""
        self.link.send(Kind.ANSWER, self.stream_id, *fields_of(answer))
        if answer.whole:
            self.link.end_stream(self.stream_id)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Send more of the answer."""
        self.link.body_sender.send(self, data, whole)

    def write_body(self, data: bytes, whole: bool) -> None:
        """Write more of the answer to the link."""
        self.link.send(Kind.ANSWER_DATA, self.stream_id, data, whole)
        if whole:
            self.link.end_stream(self.stream_id)

    @property
    def is_open(self) -> bool:
        """Whether the peer still waits for the answer."""
        return self.link.is_awaited(self.stream_id)

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


@attrs.frozen(slots=True, eq=False, repr=False)
class AnswerInParts:
    """An answer whose body is sent ahead of it, but for the last part."""

    forwarder: OutcomeForwarder
    answer: Answer

    @property
    def is_open(self) -> bool:
        """Whether the peer still waits for the answer."""
        return self.forwarder.is_open

    def write_body(self, data: bytes, whole: bool) -> None:
        """Write a part of the body, or with its last part the answer."""
        forwarder = self.forwarder
        if whole:
            forwarder.write_answer(attrs.evolve(self.answer, body=data))
        else:
            forwarder.link.send(Kind.ANSWER_PART, forwarder.stream_id, data)
