"""HTTP client connections to backend servers and to the platform's store.

A connection carries one request at a time. An answer to another request is skipped,
and a connection that receives unexpected bytes is closed.
"""

import asyncio
from typing import Protocol

import attrs
import httptools

from .hangup import reset

Headers = list[tuple[bytes, bytes]]
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = frozenset({204, 304})
REUSE_LIMIT_RATIO = 0.6
"""Ratio of the new reuse limit to the idle time of a connection found closed."""
MIN_REUSE_LIMIT_MS = 50.0
"""Lower bound of the reuse limit."""
REUSE_LIMIT_RESET_S = 10.0
"""Time after which a reduced reuse limit is reset."""


MAX_FRAMING_BYTES = 65_536
"""Longest head of an answer, and longest framing between parts of its body."""
MAX_SKIPPED_BYTES = 16_777_216
"""Bytes of answers to other requests that are skipped while one is awaited."""
ENDLESS = "endless"
"""Reason of a failure because bytes kept coming that are no part of the answer."""
FAULT = "fault"
"""Reason of a failure caused by an internal error, not by the other end."""


class AnswerSink(Protocol):
    """Receiver of the answer to one request."""

    def on_head(self, status: int, headers: Headers) -> bool:
        """Process the head; return False if it belongs to another request."""

    def on_data(self, data: bytes) -> None:
        """Process a chunk of the body."""

    def on_complete(self, reusable: bool) -> None:
        """Handle the end of a complete answer."""

    def on_failed(self, reason: str) -> None:
        """Handle a failure before the answer was complete."""

    def on_writable(self) -> None:
        """Handle that the write buffer has room again."""


class ClientConnection(asyncio.Protocol):
    """One connection; a sink is attached while an answer is pending."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._sink: AnswerSink | None = None
        self._headers: Headers = []
        self._skipping = False
        self._until_close = False
        self._informational = False
        self._must_close = False
        self._paused_writing = False
        self._paused_reading = False
        self._sent_whole = True
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self.lost = False
        self.request_count = 0
        self.idle_since_s = 0.0
        self.idle_ms = 0.0
        self.idle_limit_ms: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    @property
    def usable(self) -> bool:
        """Whether the connection can carry another request."""
        return not (self.lost or self._must_close or self._sink is not None)

    @property
    def writable(self) -> bool:
        """Whether the write buffer has room."""
        return not self._paused_writing

    def send(self, data: bytes, sink: AnswerSink, whole: bool) -> None:
        """Send a request, or the start of it, and attach the sink."""
        self._sink = sink
        self._skipping = False
        self._sent_whole = whole
        self._framing_bytes = self._skipped_bytes = 0
        self.request_count += 1
        if self._transport is not None:
            self._transport.write(data)

    def send_more(self, data: bytes, whole: bool) -> None:
        """Send more of the request's body."""
        self._sent_whole = whole
        if self._transport is not None and not self.lost:
            self._transport.write(data)

    def abort(self) -> None:
        """Reset the connection without notifying the sink."""
        self._sink = None
        self.lost = True
        if self._transport is not None:
            reset(self._transport)

    def close(self) -> None:
        """Close the connection."""
        self._must_close = True
        if self._transport is not None:
            self._transport.close()

    def pause_reading(self) -> None:
        """Stop reading the answer."""
        if self._transport is not None and not (self.lost or self._paused_reading):
            self._paused_reading = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read the answer."""
        if self._transport is not None and self._paused_reading and not self.lost:
            self._paused_reading = False
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self._paused_writing = True

    def resume_writing(self) -> None:
        """Notify the sink that the write buffer has room again."""
        self._paused_writing = False
        if self._sink is not None:
            self._sink.on_writable()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of an answer."""
        if self._sink is None:
            self.close()
            return
        sink = self._sink
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._fault(sink)
            raise (error.__context__ or error) from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._must_close = True
            self._fail("malformed")
            self.close()
        else:
            self._enforce_limits()

    def _enforce_limits(self) -> None:
        """Reset the connection if bytes come without end that are no answer."""
        if (
            self._framing_bytes > MAX_FRAMING_BYTES
            or self._skipped_bytes > MAX_SKIPPED_BYTES
        ):
            self._headers = []
            sink = self._sink
            self.abort()
            if sink is not None:
                sink.on_failed(ENDLESS)

    def _fault(self, sink: AnswerSink) -> None:
        """Fail a request whose sink raised; the event loop reports the error.

        The sink is passed in, since it may have been detached before it raised and
        still has to be notified.
        """
        self._sink = None
        self._must_close = True
        try:
            sink.on_failed(FAULT)
        finally:
            self.close()

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        if self._sink is not None and self._until_close and not self._skipping:
            self._must_close = True
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self.lost = True
        self._fail("closed" if exc is None else "reset")

    def on_message_begin(self) -> None:
        """Start a new answer."""
        self._headers = []
        if self._sink is None:
            self._must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink."""
        status = self._parser.get_status_code()
        self._informational = status < FIRST_FINAL_STATUS
        if self._informational or self._sink is None:
            return
        framed = status in STATUSES_WITHOUT_BODY or any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._until_close = not framed
        if not self._parser.should_keep_alive():
            self._must_close = True
        self._skipping = not self._sink.on_head(status, self._headers)

    def on_body(self, data: bytes) -> None:
        """Pass a chunk of the body to the sink."""
        self._framing_bytes = 0
        if self._skipping:
            self._skipped_bytes += len(data)
        elif self._sink is not None:
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """Complete the answer unless it belongs to another request."""
        if self._informational or self._sink is None:
            return
        if self._skipping:
            self._skipping = False
            return
        self._framing_bytes = 0
        self._finish()

    def _finish(self) -> None:
        """Complete the answer.

        Reading is resumed first: the last bytes may have paused it, and a connection
        reused in that state would never read the next answer.
        """
        self.resume_reading()
        sink, self._sink = self._sink, None
        if not self._sent_whole:
            self._must_close = True
        if sink is not None:
            sink.on_complete(not self._must_close)
        if self._must_close and self._sink is None:
            self.close()

    def _fail(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_failed(reason)


@attrs.define(eq=False, repr=False)
class IdlePool:
    """Pool of idle connections to one address, most recently used first.

    Attributes
    ----------
    idle_limit_ms : float
        Longest time that a connection is kept idle.
    """

    idle_limit_ms: float
    _connections: list[ClientConnection] = attrs.field(factory=list)
    _reduced_limit_ms: float = float("inf")
    _reduced_at_s: float = 0.0

    @property
    def reuse_limit_ms(self) -> float:
        """Idle time up to which a connection is reused."""
        return min(self.idle_limit_ms, self._reduced_limit_ms)

    def reduce_reuse_limit(self, idle_ms: float, now_s: float) -> None:
        """Reduce the limit after the other end closed a connection idle so long."""
        new_limit_ms = max(MIN_REUSE_LIMIT_MS, idle_ms * REUSE_LIMIT_RATIO)
        self._reduced_limit_ms = min(self.reuse_limit_ms, new_limit_ms)
        self._reduced_at_s = now_s

    def reset_reuse_limit(self) -> None:
        """Reset the reuse limit to its configured value."""
        self._reduced_limit_ms = float("inf")

    def take(
        self, now_s: float, max_idle_ms: float | None = None
    ) -> ClientConnection | None:
        """Remove a usable connection from the pool and return it, or None.

        Parameters
        ----------
        now_s : float
            Time of the event loop.
        max_idle_ms : float, optional
            Maximum time since the last answer on the connection.
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
        """Add a connection to the pool."""
        connection.idle_since_s = now_s
        self._connections.append(connection)

    def sweep(self, now_s: float) -> None:
        """Close connections that were idle too long."""
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
        """Return the number of idle connections."""
        return len(self._connections)
