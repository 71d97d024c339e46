"""HTTP/1.1 server that handles pipelined requests of a connection concurrently.

Answers are sent in the order of the requests.
"""

import asyncio
from collections import deque
from http import HTTPStatus

import httptools

from .exchange import Exchange, Headers
from .hangup import has_hung_up, reset
from .memory_budget import CONNECTION_BYTES, FIELD_BYTES
from .request_meter import (
    LimitExceededError,
    ParsingStoppedError,
    RequestMeter,
    RequestRejectedError,
)
from .server_state import Rejection, ServerState
from .taking import EndedConnection, EndReason, TakingMeter
from .unparsed import CHUNKED_SLICE_BYTES, SLICE_BYTES, UnparsedBytes

MAX_PIPELINED_REQUESTS = 64


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, state: ServerState) -> None:
        self.state = state
        self.exchanges: deque[Exchange] = deque()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reading: Exchange | None = None
        self._headers: Headers = []
        self._target = b""
        self._meter = RequestMeter()
        self._taking = TakingMeter()
        self._unparsed = UnparsedBytes()
        self._waits_for_turn = False
        self._read_bytes = 0
        self._dropped_bytes = 0
        self._closing = False
        self._paused_writing = False
        self._body_paused = False
        self._pipeline_full = False
        self._paused_since_s: float | None = None
        self._idle_since_s = 0.0
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = transport  # type: ignore[assignment]
        self._idle_since_s = self._loop.time()
        self.state.add(self)

    def eof_received(self) -> bool:
        """Notify all pending requests, though answers may still be unsent."""
        self._end_exchanges()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify all pending requests that the caller disconnected."""
        self.state.remove(self)
        self._end_exchanges()

    def _end_exchanges(self) -> None:
        self._closing = True
        self._unparsed.clear()
        exchanges, self.exchanges = self.exchanges, deque()
        for exchange in exchanges:
            exchange.finished = True
            self._notify_disconnect(exchange)

    def _notify_disconnect(self, exchange: Exchange) -> None:
        """Notify a request; an error in its sink doesn't affect other requests."""
        try:
            if exchange.sink is not None:
                exchange.sink.on_disconnect()
        except Exception as error:
            self.state.on_fault(error, True)

    def _end_on_fault(self, exchange: Exchange, error: Exception) -> None:
        """End a request after an internal error; other requests are unaffected.

        It is answered once it was read completely: an earlier answer would close the
        connection.
        """
        self.state.on_fault(error, True)
        exchange.failed = True
        sink, exchange.sink = exchange.sink, None
        if sink is not None:
            try:
                sink.on_fault()
            except Exception as second_error:
                self.state.on_fault(second_error, True)
        if exchange.received:
            self._answer_fault(exchange)

    def _answer_fault(self, exchange: Exchange) -> None:
        if exchange.finished:
            return
        if exchange.started:
            exchange.reset()
        else:
            self.state.answer_fault(exchange)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as the pending requests allow.

        On a connection that is closing they are dropped.
        """
        if self._closing:
            self._dropped_bytes += len(data)
            self._update_reading()
            return
        self._unparsed.append(data)
        if not self._waits_for_turn:
            self._parse()

    def _parse(self) -> None:
        """Parse at least one slice, and more while it is this connection's turn."""
        self._waits_for_turn = False
        turns, unparsed = self.state.turns, self._unparsed
        while unparsed.size_bytes and self._may_parse:
            before = self._meter.requests
            in_body = self._reading is not None
            data = unparsed.take(self._slice_bytes)
            self._feed(data)
            turns.spend(self._meter.requests - before, 0 if in_body else len(data))
            if self._meter.requests > before:
                self._account()
            if turns.left <= 0:
                break
        if self.exchanges:
            self.state.waiting.pop(self, None)
        if self._closing:
            unparsed.clear()
        elif unparsed.size_bytes and self._may_parse:
            self._waits_for_turn = True
            turns.wait(self._parse)
        self._account()
        self._update_reading()

    @property
    def _may_parse(self) -> bool:
        """Whether neither a body, nor requests or answers, are waited for."""
        return not (
            self._closing
            or self._body_paused
            or self._pipeline_full
            or self._paused_writing
        )

    @property
    def _slice_bytes(self) -> int:
        """Bytes to parse next; all that can't hold another request."""
        exchange = self._reading
        if exchange is None:
            return SLICE_BYTES
        if exchange.chunked:
            return CHUNKED_SLICE_BYTES
        return max(SLICE_BYTES, exchange.length - self._meter.body_bytes)

    def _feed(self, data: bytes) -> None:
        """Parse bytes."""
        now_s = self._loop.time()
        self._read_bytes = len(data)
        self._meter.begin_read()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserCallbackError as error:
            self._end_parsing(error.__context__ or error)
        except httptools.HttpParserError:
            self._reject(HTTPStatus.BAD_REQUEST)
        else:
            if not self._meter.read_is_empty:
                self._idle_since_s = now_s
            self._meter.end_read(len(data), now_s)
            status = self._meter.exceeded(self.state.limits)
            if status is not None:
                self._reject(status)

    def _end_parsing(self, cause: BaseException) -> None:
        """Reject a request whose parsing was stopped, or reset after a fault."""
        if isinstance(cause, RequestRejectedError):
            self._reject(cause.status)
        elif not isinstance(cause, ParsingStoppedError):
            self.state.on_fault(cause, False)
            self.abort()

    def pause_writing(self) -> None:
        """Record that the write buffer is full; further answers and requests wait."""
        self._paused_writing = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Write answers that waited, and continue with the requests."""
        self._paused_writing = False
        self.flush()
        if not self._paused_writing:
            self._notify_writable()
            self._continue()

    def _notify_writable(self) -> None:
        exchange = self.exchanges[0] if self.exchanges else None
        if exchange is not None and exchange.sink is not None:
            try:
                exchange.sink.on_writable()
            except Exception as error:
                self._end_on_fault(exchange, error)

    def on_message_begin(self) -> None:
        """Start a new request, unless the connection is closing."""
        if self._closing:
            raise ParsingStoppedError
        self._headers = []
        self._target = b""
        self._meter.begin_request(self._loop.time())

    def on_url(self, url: bytes) -> None:
        """Add a chunk of the request target."""
        self._meter.add_target(len(url), self.state.limits)
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are counted only."""
        self._meter.add_field(name, value, self.state.limits)
        if self._meter.in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the request to the handler unless it exceeds a limit."""
        if self._closing:
            return
        self._meter.end_head()
        chunked = expects = length = 0
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length":
                length = _read_length(value)
            elif lower == b"transfer-encoding":
                chunked = 1
            elif lower == b"expect" and value.lower() == b"100-continue":
                expects = 1
        if length > self.state.limits.body_bytes:
            raise LimitExceededError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if expects:
            self._send_continue()
        exchange = Exchange(
            self,
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.should_keep_alive(),
            bool(chunked),
            length,
        )
        self._headers = []
        self._reading = exchange
        self.exchanges.append(exchange)
        try:
            self.state.handler(exchange)
        except Exception as error:
            self._end_on_fault(exchange, error)

    def on_body(self, data: bytes) -> None:
        """Pass a chunk of the body to the sink."""
        exchange = self._reading
        if exchange is None or self._closing:
            return
        exchange.body_bytes += len(data)
        self._meter.add_body(len(data), self.state.limits)
        if exchange.sink is not None:
            try:
                exchange.sink.on_body(data)
            except Exception as error:
                self._end_on_fault(exchange, error)

    def on_message_complete(self) -> None:
        """Notify the sink of the end of the request."""
        exchange, self._reading = self._reading, None
        self._meter.end_request()
        if exchange is None or self._closing:
            return
        exchange.received = True
        if not exchange.keep_alive:
            self._closing = True
        if exchange.sink is not None:
            try:
                exchange.sink.on_end()
            except Exception as error:
                self._end_on_fault(exchange, error)
        elif exchange.failed:
            self._answer_fault(exchange)
        if len(self.exchanges) >= self._max_pending:
            self._pipeline_full = True
            self._update_reading()
        self.flush()

    def pause_reading(self) -> None:
        """Stop reading from the caller while a body is waited for elsewhere."""
        self._body_paused = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Continue to read from the caller, unless too many requests are pending."""
        self._body_paused = False
        self._continue()

    def _continue(self) -> None:
        """Parse what waits, apart from the current call stack, and read on."""
        if self._unparsed.size_bytes and self._may_parse and not self._waits_for_turn:
            self._waits_for_turn = True
            self.state.turns.wait(self._parse)
        self._update_reading()

    def _update_reading(self) -> None:
        transport, now_s = self._transport, self._loop.time()
        if transport is None or transport.is_closing():
            return
        waits = self._unparsed.size_bytes or not (self._closing or self._may_parse)
        if waits or self._drops_too_much:
            if self._paused_since_s is None:
                self._paused_since_s = now_s
                self.state.paused.add(self)
                transport.pause_reading()
        elif self._paused_since_s is not None:
            self._meter.exclude(now_s - self._paused_since_s)
            self._paused_since_s = None
            self.state.paused.discard(self)
            transport.resume_reading()

    @property
    def _drops_too_much(self) -> bool:
        """Whether a caller goes on sending on a closing connection.

        Short remains are read, since unread ones would reset the connection at its
        close, and the caller would lose its answer.
        """
        return self._dropped_bytes > self.state.limits.header_bytes

    def closes_after(self, exchange: Exchange) -> bool:
        """Whether the connection closes after the answer to a request."""
        if not exchange.keep_alive or not exchange.received:
            self._closing = True
            return True
        if self.state.draining and self.exchanges and exchange is self.exchanges[-1]:
            self._closing = True
            return True
        return self._closing and exchange is self.exchanges[-1]

    def has_hung_up(self) -> bool:
        """Whether the caller has closed the connection, read or not."""
        return has_hung_up(self._transport)

    @property
    def busy(self) -> bool:
        """Whether requests are pending or the write buffer has unsent bytes.

        Unsent bytes count because a process that exits discards them, which would
        truncate an answer to a slow caller.
        """
        if self.exchanges or self._unparsed.size_bytes:
            return True
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def is_writable(self, exchange: Exchange) -> bool:
        """Whether an answer is first in line and the write buffer has room."""
        first = bool(self.exchanges) and self.exchanges[0] is exchange
        return first and not self._paused_writing

    def flush(self) -> None:
        """Write available answers in the order of their requests."""
        self._write_answers()
        self._account()

    def _write_answers(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        while self.exchanges and not self._paused_writing:
            exchange = self.exchanges[0]
            if exchange.parts:
                data = b"".join(exchange.parts)
                exchange.parts.clear()
                self._taking.written_bytes += len(data)
                transport.write(data)
            if not exchange.finished:
                return
            closes = not exchange.received or (
                self._closing and len(self.exchanges) == 1
            )
            self.exchanges.popleft()
            if closes:
                transport.close()
                return
            self._advance_pipeline()
        if not self.exchanges:
            self._idle_since_s = self._loop.time()
            self.state.mark_idle(self)

    def _advance_pipeline(self) -> None:
        if self._pipeline_full and 2 * len(self.exchanges) < self._max_pending:
            self._pipeline_full = False
            self._continue()
        self._notify_writable()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def abort_if_abandoned(self) -> None:
        """Reset a connection from which nothing is read, if its caller has left."""
        if self.has_hung_up():
            self.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is pending or being read."""
        if (
            not self.exchanges
            and not self._unparsed.size_bytes
            and not self._meter.in_head
            and self._transport is not None
        ):
            self._closing = True
            self._transport.close()

    def check_timeouts(self, now_s: float) -> None:
        """Enforce the idle timeout and those of heads and requests."""
        limits = self.state.limits
        is_read = self._paused_since_s is None and not self._closing
        age_ms = self._meter.head_age_ms(now_s)
        if self._meter.awaits_head:
            if is_read and age_ms > limits.header_timeout_ms:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self._reading is not None and age_ms > self.state.request_timeout_ms:
            if is_read:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self.busy:
            self._idle_since_s = now_s
        elif (now_s - self._idle_since_s) * 1000 > limits.idle_timeout_ms:
            self.close_if_idle()

    def abort_if_untaken(self, now_s: float) -> None:
        """Reset the connection if its caller has long taken nothing of its answers."""
        transport = self._transport
        if transport is None:
            return
        unsent_bytes = transport.get_write_buffer_size()
        untaken_ms = self._taking.update(unsent_bytes, now_s)
        if untaken_ms > self.state.limits.idle_timeout_ms:
            self.end(EndReason.UNTAKEN)

    @property
    def _max_pending(self) -> int:
        """Pending requests above which nothing is read."""
        return 1 if self.state.budget.is_crowded else MAX_PIPELINED_REQUESTS

    def _account(self) -> None:
        if self in self.state.connections:
            self.state.budget.update(self, self.held_bytes)
            if self.state.budget.is_exceeded:
                self.state.schedule_relief()

    def give_way(self) -> None:
        """Refuse a request that was not passed on, else reset the connection."""
        if len(self.exchanges) == 1:
            held_bytes = self.held_bytes
            try:
                refused = self.exchanges[0].refuse()
            except Exception as error:
                self.state.on_fault(error, True)
                refused = False
            if refused:
                self._report_end(EndReason.MEMORY, held_bytes)
                return
        self.end(EndReason.MEMORY)

    def end(self, reason: EndReason) -> None:
        """Reset the connection, for the sake of the node."""
        self._report_end(reason, self.held_bytes)
        if self._transport is not None:
            reset(self._transport)

    def _report_end(self, reason: EndReason, held_bytes: int) -> None:
        self.state.on_end(
            EndedConnection(
                reason,
                held_bytes,
                len(self.exchanges),
                len(self.state.connections),
            )
        )

    @property
    def held_bytes(self) -> int:
        """Memory of the requests and answers that wait here."""
        transport = self._transport
        unsent_bytes = 0 if transport is None else transport.get_write_buffer_size()
        held_bytes = CONNECTION_BYTES + unsent_bytes + self._unparsed.size_bytes
        if self._meter.in_head:
            held_bytes += FIELD_BYTES * len(self._headers) + self._meter.head_bytes
        return held_bytes + sum(one.held_bytes for one in self.exchanges)

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a time in which the node did not read from the timeouts."""
        self._meter.exclude(pause_s)
        self._idle_since_s += pause_s
        self._taking.exclude(pause_s)

    def _send_continue(self) -> None:
        if self._transport is not None and not self.exchanges:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: HTTPStatus) -> None:
        """Send an error and close the connection after all earlier answers."""
        if self._closing:
            return
        exchange = self._reading
        if exchange is None:
            exchange = Exchange(self, b"", b"", [], False, False, 0)
            self.exchanges.append(exchange)
        else:
            self._notify_disconnect(exchange)
        meter = self._meter
        self.state.on_reject(
            Rejection(
                status,
                meter.head_bytes,
                meter.body_bytes,
                self._read_bytes,
                meter.requests,
                len(self.exchanges),
            )
        )
        self._reading = None
        self._free_input()
        meter.in_head = False
        meter.empty_bytes = 0
        self._closing = True
        exchange.received = False
        exchange.keep_alive = False
        exchange.answer(int(status), [], b"")

    def _free_input(self) -> None:
        """Free what was read of an incomplete request; nothing is parsed after it."""
        self._headers = []
        self._target = b""
        # The parser keeps the field that it was reading, and refers to this object.
        del self._parser


def _read_length(value: bytes) -> int:
    """Return the length in a Content-Length field, which blanks may follow.

    Raises
    ------
    RequestRejectedError
        If it can't be read, so that nothing passes on another length than was parsed.
    """
    digits = value.strip(b" \t")
    if not digits.isdigit():
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST)
    return int(digits)
