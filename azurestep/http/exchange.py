"""A request on a caller's connection and its answer."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol, runtime_checkable

import attrs

from .memory_budget import REQUEST_BYTES, body_cost, head_cost

Headers = list[tuple[bytes, bytes]]
REASON_PHRASES = {int(status): status.phrase.encode() for status in HTTPStatus}


class Connection(Protocol):
    """Interface between an exchange and its connection."""

    def flush(self) -> None:
        """Write available answers in the order of their requests."""

    def abort(self) -> None:
        """Reset the connection."""

    def pause_reading(self) -> None:
        """Stop reading from the caller."""

    def resume_reading(self) -> None:
        """Continue to read from the caller."""

    def is_writable(self, exchange: "Exchange") -> bool:
        """Whether an answer is first in line and the write buffer has room."""

    def closes_after(self, exchange: "Exchange") -> bool:
        """Whether the connection closes after the answer to a request."""

    def has_hung_up(self) -> bool:
        """Whether the caller has closed the connection, read or not."""


class BodySink(Protocol):
    """Receiver of one request's body and of events on its connection."""

    def on_body(self, data: bytes) -> None:
        """Process a chunk of the body."""

    def on_end(self) -> None:
        """Handle the end of the body."""

    def on_disconnect(self) -> None:
        """Handle that the caller closed the connection."""

    def on_writable(self) -> None:
        """Handle that the write buffer has room again."""

    def on_fault(self) -> None:
        """Stop after an internal error in one of the methods above.

        If no answer was sent, the connection sends one.
        """


@runtime_checkable
class RefusableSink(Protocol):
    """A sink that can tell whether its request was passed on."""

    def refuse(self) -> bool:
        """Answer that the request has not run; return False if it may have."""


@attrs.define(slots=True, eq=False, repr=False)
class Exchange:
    """A request on a connection and its answer.

    Attributes
    ----------
    keep_alive : bool
        Whether the caller keeps the connection open after the answer.
    received : bool
        Whether the complete request was read.
    started, finished : bool
        Whether the answer was begun, and whether it is complete.
    failed : bool
        Whether an internal error occurred while the request was handled.
    parts : list of bytes
        Bytes of the answer that the connection has yet to write.
    body_bytes : int
        Bytes of the body that were read.
    """

    connection: Connection
    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool
    chunked: bool
    length: int
    sink: BodySink | None = None
    received: bool = False
    finished: bool = False
    started: bool = False
    failed: bool = False
    parts: list[bytes] = attrs.field(factory=list)
    body_bytes: int = 0
    _head_cost: int = -1

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        if self.finished:
            return
        answer = self._head(status, headers, b"%d" % len(body)) + body
        self.finished = True
        self.headers = []
        self.started = True
        self.parts.append(answer)
        self.connection.flush()

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of a streamed answer; a length of None means chunked."""
        content_length = None if length is None else b"%d" % length
        head = self._head(status, headers, content_length)
        self.started = True
        self.parts.append(head)
        self.connection.flush()

    def write(self, data: bytes) -> None:
        """Send bytes of the body, already framed if chunked."""
        self.parts.append(data)
        self.connection.flush()

    def finish(self) -> None:
        """Complete a streamed answer."""
        self.finished = True
        self.headers = []
        self.connection.flush()

    def reset(self) -> None:
        """Reset the connection, so that a truncated answer doesn't look complete."""
        self.connection.abort()

    @property
    def held_bytes(self) -> int:
        """Memory that the request and the unwritten part of its answer hold."""
        held_bytes = REQUEST_BYTES + sum(map(len, self.parts))
        if self.finished:
            return held_bytes
        if self._head_cost < 0:
            self._head_cost = head_cost(self.headers)
        return held_bytes + self._head_cost + body_cost(self.body_bytes)

    def refuse(self) -> bool:
        """Answer that the request has not run; return False if it may have."""
        if self.started or self.received:
            return False
        return isinstance(self.sink, RefusableSink) and self.sink.refuse()

    @property
    def is_abandoned(self) -> bool:
        """Whether the caller has left without waiting for the answer."""
        return not self.finished and self.connection.has_hung_up()

    @property
    def writable(self) -> bool:
        """Whether the connection can write this answer now."""
        return self.connection.is_writable(self)

    def _head(self, status: int, headers: Headers, length: bytes | None) -> bytes:
        lines = [
            b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))
        ]
        lines += [b"%b: %b\r\n" % field for field in headers]
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            lines.append(b"Content-Length: %b\r\n" % length)
        if self.connection.closes_after(self):
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)


Handler = Callable[[Exchange], None]


def answer_error(exchange: Exchange) -> None:
    """Answer 500 after an internal error."""
    exchange.answer(HTTPStatus.INTERNAL_SERVER_ERROR, [], b"")
