"""One request of a caller's connection and its answer."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import attrs

Headers = list[tuple[bytes, bytes]]
REASON_PHRASES = {int(status): status.phrase.encode() for status in HTTPStatus}


class Connection(Protocol):
    """The connection of a caller, as its exchanges need it."""

    def flush(self) -> None:
        """Write what is ready, in the order of the requests."""

    def abort(self) -> None:
        """Reset the connection."""

    def pause_reading(self) -> None:
        """Take no more bytes from the caller."""

    def resume_reading(self) -> None:
        """Take bytes from the caller again."""

    def is_writable(self, exchange: "Exchange") -> bool:
        """Whether an answer's bytes leave now, with room in the send buffer."""

    def closes_after(self, exchange: "Exchange") -> bool:
        """Whether the connection ends after the answer to a request."""


class BodySink(Protocol):
    """What takes the body of one request and hears when its caller is gone."""

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""

    def on_end(self) -> None:
        """Learn that the body is whole."""

    def on_disconnect(self) -> None:
        """Learn that the caller closed the connection."""

    def on_writable(self) -> None:
        """Learn that the caller takes more bytes of the answer."""

    def on_fault(self) -> None:
        """Stop: a fault of this program came in one of the methods above.

        What is not answered then is answered by the connection.
        """


@attrs.define(slots=True, eq=False)
class Exchange:
    """One request of a connection and its answer.

    Attributes
    ----------
    keep_alive : bool
        Whether the caller keeps the connection open after the answer.
    received : bool
        Whether the request was read whole.
    failed : bool
        Whether a fault of this program came while it was handled.
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

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        if self.finished:
            return
        answer = self._head(status, headers, b"%d" % len(body)) + body
        self.finished = True
        self.started = True
        self.parts.append(answer)
        self.connection.flush()

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of an answer whose body follows; None means chunked."""
        content_length = None if length is None else b"%d" % length
        head = self._head(status, headers, content_length)
        self.started = True
        self.parts.append(head)
        self.connection.flush()

    def write(self, data: bytes) -> None:
        """Send a piece of the body, framed by the caller of this method."""
        self.parts.append(data)
        self.connection.flush()

    def finish(self) -> None:
        """End an answer that ``begin`` started."""
        self.finished = True
        self.connection.flush()

    def reset(self) -> None:
        """Reset the connection, so that a cut answer doesn't look complete."""
        self.connection.abort()

    @property
    def writable(self) -> bool:
        """Whether bytes written now leave for the caller soon."""
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
    """Answer that this program failed."""
    exchange.answer(HTTPStatus.INTERNAL_SERVER_ERROR, [], b"")
