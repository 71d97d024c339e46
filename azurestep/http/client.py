"""Connections to backend servers and to the platform's store.

One request at a time on a connection. An answer that belongs to another request
is skipped, and a connection with bytes that belong to no request is closed.
"""

import asyncio
from typing import Protocol

import attrs
import httptools

Headers = list[tuple[bytes, bytes]]
FIRST_FINAL_STATUS = 200
WITHOUT_BODY = frozenset({204, 304})
REUSE_LIMIT_RATIO = 0.6
"""Part of the idle time at which a connection was found forgotten up to which the
others are trusted: the true limit is below that time, by an unknown amount."""
MIN_REUSE_LIMIT_MS = 50.0
"""Idle time that is always trusted; with less, most requests would need a new
connection, each of which takes the backend server about 1 ms."""
REUSE_LIMIT_RESET_S = 10.0
"""Time after which longer idle times are tried again."""


FAULT = "fault"
"""Reason of a failure for which this program is to blame, not the other end."""


class AnswerSink(Protocol):
    """What takes the answer to one request."""

    def on_head(self, status: int, headers: Headers) -> bool:
        """Take the head; False if the answer belongs to another request."""

    def on_data(self, data: bytes) -> None:
        """Take a piece of the body."""

    def on_complete(self, reusable: bool) -> None:
        """Learn that the answer is whole."""

    def on_failed(self, reason: str) -> None:
        """Learn that no whole answer comes."""

    def on_writable(self) -> None:
        """Learn that the other end takes bytes again."""


class ClientConnection(asyncio.Protocol):
    """One connection; a sink is attached while a request is unanswered."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._sink: AnswerSink | None = None
        self._headers: Headers = []
        self._skipping = False
        self._until_close = False
        self._informational = False
        self._dirty = False
        self._paused_writing = False
        self._paused_reading = False
        self._sent_whole = True
        self._parser = httptools.HttpResponseParser(self)
        self.lost = False
        self.used = 0
        self.idle_since_s = 0.0
        self.idle_ms = 0.0
        self.idle_limit_ms: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not (self.lost or self._dirty or self._sink is not None)

    @property
    def writable(self) -> bool:
        """Whether the other end takes bytes."""
        return not self._paused_writing

    def send(self, data: bytes, sink: AnswerSink, whole: bool) -> None:
        """Send a request, or its beginning, and attach the sink."""
        self._sink = sink
        self._skipping = False
        self._sent_whole = whole
        self.used += 1
        if self._transport is not None:
            self._transport.write(data)

    def send_more(self, data: bytes, whole: bool) -> None:
        """Send more of the request's body."""
        self._sent_whole = whole
        if self._transport is not None and not self.lost:
            self._transport.write(data)

    def abort(self) -> None:
        """Reset the connection; the sink hears nothing more."""
        self._sink = None
        self.lost = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection."""
        self._dirty = True
        if self._transport is not None:
            self._transport.close()

    def pause_reading(self) -> None:
        """Take no more bytes of the answer."""
        if self._transport is not None and not (self.lost or self._paused_reading):
            self._paused_reading = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Take bytes of the answer again."""
        if self._transport is not None and self._paused_reading and not self.lost:
            self._paused_reading = False
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Note that the other end takes no bytes."""
        self._paused_writing = True

    def resume_writing(self) -> None:
        """Pass on that the other end takes bytes again."""
        self._paused_writing = False
        if self._sink is not None:
            self._sink.on_writable()

    def data_received(self, data: bytes) -> None:
        """Parse an answer."""
        if self._sink is None:
            self.close()
            return
        sink = self._sink
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._fault(sink)
            raise (error.__context__ or error) from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._dirty = True
            self._fail("malformed")
            self.close()

    def _fault(self, sink: AnswerSink) -> None:
        """End a request whose sink raised; the event loop's handler tells the fault.

        The sink may have been let go before it raised, and hears of its end all the
        same: taken for a malformed answer, the request was left without any.
        """
        self._sink = None
        self._dirty = True
        try:
            sink.on_failed(FAULT)
        finally:
            self.close()

    def eof_received(self) -> bool:
        """End an answer whose length is that of its connection."""
        if self._sink is not None and self._until_close and not self._skipping:
            self._dirty = True
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that is unanswered."""
        self.lost = True
        self._fail("closed" if exc is None else "reset")

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []
        if self._sink is None:
            self._dirty = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Offer the head to the sink."""
        status = self._parser.get_status_code()
        self._informational = status < FIRST_FINAL_STATUS
        if self._informational or self._sink is None:
            return
        framed = status in WITHOUT_BODY or any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._until_close = not framed
        if not self._parser.should_keep_alive():
            self._dirty = True
        self._skipping = not self._sink.on_head(status, self._headers)

    def on_body(self, data: bytes) -> None:
        """Pass on a piece of the body."""
        if self._sink is not None and not self._skipping:
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """End the answer, unless it belongs to another request."""
        if self._informational or self._sink is None:
            return
        if self._skipping:
            self._skipping = False
            return
        self._finish()

    def _finish(self) -> None:
        """End the answer.

        Its last bytes may have filled the receiver's window. A connection that was kept
        with its reading paused lost the answer to the next request, which then timed
        out: three to six times a day of 35,000 requests.
        """
        self.resume_reading()
        sink, self._sink = self._sink, None
        if not self._sent_whole:
            self._dirty = True
        if sink is not None:
            sink.on_complete(not self._dirty)
        if self._dirty and self._sink is None:
            self.close()

    def _fail(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_failed(reason)


@attrs.define
class IdlePool:
    """Idle connections to one address, the last used first.

    Attributes
    ----------
    idle_limit_ms : float
        Longest time that a connection is kept without a request.
    """

    idle_limit_ms: float
    _connections: list[ClientConnection] = attrs.field(factory=list)
    _reduced_limit_ms: float = float("inf")
    _reduced_at_s: float = 0.0

    @property
    def reuse_limit_ms(self) -> float:
        """Idle time up to which the other end is known to keep a connection."""
        return min(self.idle_limit_ms, self._reduced_limit_ms)

    def reduce_reuse_limit(self, idle_ms: float, now_s: float) -> None:
        """Learn that the other end forgot a connection that rested so long."""
        new_limit_ms = max(MIN_REUSE_LIMIT_MS, idle_ms * REUSE_LIMIT_RATIO)
        self._reduced_limit_ms = min(self.reuse_limit_ms, new_limit_ms)
        self._reduced_at_s = now_s

    def reset_reuse_limit(self) -> None:
        """Forget what was learned of the other end."""
        self._reduced_limit_ms = float("inf")

    def take(
        self, now_s: float, max_idle_ms: float | None = None
    ) -> ClientConnection | None:
        """Return a usable connection, or None.

        Parameters
        ----------
        now_s : float
            Time of the event loop.
        max_idle_ms : float, optional
            Most time since the last answer on it.
        """
        while self._connections:
            connection = self._connections.pop()
            limit_ms = self.reuse_limit_ms
            if connection.idle_limit_ms is not None:
                limit_ms = min(limit_ms, connection.idle_limit_ms)
            if max_idle_ms is not None:
                limit_ms = min(limit_ms, max_idle_ms)
            idle_ms = (now_s - connection.idle_since_s) * 1000
            if connection.usable and idle_ms < limit_ms:
                connection.idle_ms = idle_ms
                return connection
            connection.close()
        return None

    def put(self, connection: ClientConnection, now_s: float) -> None:
        """Keep a connection for a later request."""
        connection.idle_since_s = now_s
        self._connections.append(connection)

    def sweep(self, now_s: float) -> None:
        """Close connections that were idle for too long."""
        if now_s - self._reduced_at_s > REUSE_LIMIT_RESET_S:
            self.reset_reuse_limit()
        kept = []
        for connection in self._connections:
            idle_ms = (now_s - connection.idle_since_s) * 1000
            limit_ms = min(self.reuse_limit_ms, connection.idle_limit_ms or 1e9)
            if connection.usable and idle_ms < limit_ms:
                kept.append(connection)
            else:
                connection.close()
        self._connections = kept

    def close_all(self) -> None:
        """Close all idle connections."""
        for connection in self._connections:
            connection.close()
        self._connections = []

    def __len__(self) -> int:
        """Return how many connections are idle."""
        return len(self._connections)
