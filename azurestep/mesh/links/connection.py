"""One connection of a link: requests and probes out, outcomes and state in."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from .. import events
from ..link_messages import (
    AnswerData,
    ConfigurationUpdate,
    CrashReport,
    Credit,
    Pong,
    SlotReady,
)
from ..messages import (
    Answer,
    Failure,
    Hello,
    Kind,
    Reason,
    Refusal,
    Request,
    State,
    encode,
    fields_of,
)
from ..runtime import Runtime
from .decoding import OF_CALLED_NODES, WHOLE_LINK, Decoder
from .interfaces import CallReceiver, PeerNews

BUSY_PING_MS = 90.0
"""Time between probes of a link with requests under way."""


class ConnectionOwner(Protocol):
    """The link that a connection belongs to."""

    runtime: Runtime
    connection: "PeerConnection | None"

    @property
    def fleet(self) -> PeerNews:
        """What hears of news that concern the whole fleet."""

    def on_hello(self, connection: "PeerConnection", hello: Hello) -> None:
        """Take the other node's greeting."""

    def on_state(self, connection: "PeerConnection", state: State) -> None:
        """Take the other node's state."""

    def on_connection_lost(self, connection: "PeerConnection") -> None:
        """Learn that the connection ended."""


@attrs.define(eq=False)
class RemoteStream:
    """One request on a link.

    Attributes
    ----------
    movable : bool
        Whether it may go elsewhere when the link falls silent, though it may have run.
    confirmed : bool
        Whether the other node may have sent it to its backend server.
    """

    connection: "PeerConnection"
    number: int
    receiver: CallReceiver
    movable: bool
    confirmed: bool
    request_id: bytes = b""

    def body(self, data: bytes, whole: bool) -> None:
        """Send more of the body."""
        self.connection.send(Kind.BODY, self.number, data, whole)

    def cancel(self) -> None:
        """Stop the request."""
        if self.connection.streams.pop(self.number, None) is not None:
            self.connection.send(Kind.CANCEL, self.number)
            self.connection.close_if_done()

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, or may run yet."""
        return self.confirmed

    def withdraw(self) -> None:
        """Stop the request and have the other node say whether it had not run."""
        self.connection.send(Kind.WITHDRAW, self.number)

    def grant(self, size: int) -> None:
        """Take more of the answer."""
        self.connection.send(Kind.CREDIT, self.number, size)

    def replace_receiver(self, receiver: CallReceiver) -> None:
        """Have another receiver hear of the outcome."""
        self.receiver = receiver


class PeerConnection(asyncio.Protocol):
    """One TCP connection of a link."""

    def __init__(self, link: ConnectionOwner) -> None:
        self.link = link
        self.streams: dict[int, RemoteStream] = {}
        self.received_ms = link.runtime.now_ms()
        self.pinged_ms = self.received_ms
        self._decoder = Decoder(OF_CALLED_NODES)
        self._transport: asyncio.Transport | None = None
        self._next = 0
        self._retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the other node."""
        self._transport = transport  # type: ignore[assignment]
        self.link.connection = self
        self.send(Kind.HELLO, *fields_of(self.link.fleet.hello()))
        self.ping()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is unanswered; it may have run."""
        self.link.runtime.run_guarded("link_out", self.link.on_connection_lost, self)
        self._fail_streams()

    def data_received(self, data: bytes) -> None:
        """Take messages."""
        self.received_ms = self.link.runtime.now_ms()
        for number, message in self._decoder.feed(data):
            stream = None
            if number != WHOLE_LINK:
                stream = self.streams.get(number)
                if stream is None:
                    continue
            try:
                HANDLERS[type(message)](self, stream, message)
            except Exception as error:
                self._contain(stream, error)
        self.close_if_done()
        if self._decoder.fault:
            events.log(events.PEER_MALFORMED, cause=self._decoder.fault)
            self.abort()

    def _contain(self, stream: RemoteStream | None, error: Exception) -> None:
        """End the request that met a fault of this program; the others go on."""
        runtime = self.link.runtime
        name = b"" if stream is None else stream.request_id
        runtime.report_fault("link_out", error, id=name)
        if stream is not None:
            stream.cancel()
            runtime.run_guarded("call", stream.receiver.on_fault)

    def open(self, request: Request, receiver: CallReceiver) -> RemoteStream:
        """Send a request."""
        self._next += 1
        stream = RemoteStream(
            self,
            self._next,
            receiver,
            movable=request.idempotent and not request.needs_confirmation,
            confirmed=not request.needs_confirmation,
            request_id=request.request_id,
        )
        self.streams[self._next] = stream
        self.send(Kind.REQUEST, self._next, *fields_of(request))
        self._probe_rested()
        return stream

    def _probe_rested(self) -> None:
        """Probe along with a request if the link rested: it may have died meanwhile."""
        age_ms = self.link.runtime.now_ms() - self.received_ms
        if self.answered and age_ms > BUSY_PING_MS:
            self.ping()

    @property
    def answered(self) -> bool:
        """Whether something came since the last probe."""
        return self.received_ms >= self.pinged_ms

    def mark_unresponsive(self) -> None:
        """Let the senders of all requests look for another way."""
        for stream in list(self.streams.values()):
            self._doubt(stream)

    def _doubt(self, stream: RemoteStream) -> None:
        self._tell(stream, stream.receiver.on_unresponsive, stream.confirmed)

    def _tell(
        self, stream: RemoteStream, hear: Callable[[Any], None], news: object
    ) -> None:
        """Tell one sender; a fault there keeps no other from being told."""
        try:
            hear(news)
        except Exception as error:
            self._contain(stream, error)

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode(kind, *fields))

    def ping(self) -> None:
        """Ask for a sign of life."""
        self.pinged_ms = self.link.runtime.now_ms()
        self.send(Kind.PING, self.pinged_ms)

    def abort(self) -> None:
        """Reset the connection, so that bytes held up on the way are lost."""
        if self._transport is not None:
            self._transport.abort()

    def retire(self) -> None:
        """Take back what has not run; let the rest wait here unless it can move.

        The node may be alive behind a full link, with the runs that were let go still
        at work. Given up without another way, such a request failed though its answer
        was on the way; on a stopping node that cuts a caller's request.
        """
        for number, stream in list(self.streams.items()):
            if stream.confirmed and stream.movable:
                self._doubt(stream)
            elif not stream.confirmed:
                self.send(Kind.CANCEL, number)
                self._fail(number, stream)
        self._retired = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close a connection that fell silent, once nothing waits on it.

        Another one is open by then; nothing else would ever close this one.
        """
        if self._retired and not self.streams:
            self.abort()

    def _fail_streams(self) -> None:
        for number, stream in list(self.streams.items()):
            self._fail(number, stream)

    def _fail(self, number: int, stream: RemoteStream) -> None:
        if self.streams.pop(number, None) is None:
            return
        receiver, reason = stream.receiver, int(Reason.LINK_LOST)
        if stream.confirmed:
            self._tell(stream, receiver.on_failure, Failure(reason, 0))
        else:
            self._tell(stream, receiver.on_refusal, Refusal(reason, 0, 0.0))

    def _tell_state(self, _: None, state: State) -> None:
        self.link.on_state(self, state)

    def _greet(self, _: None, hello: Hello) -> None:
        self.link.on_hello(self, hello)

    def _pong(self, _: None, pong: Pong) -> None:
        """Any message is a sign of life."""

    def _configuration(self, _: None, news: ConfigurationUpdate) -> None:
        self.link.fleet.on_configuration(news.version, news.content)

    def _crashes(self, _: None, news: CrashReport) -> None:
        self.link.fleet.on_crashes(news.service, news.updates)

    def _answer(self, stream: RemoteStream, answer: Answer) -> None:
        if answer.whole:
            self.streams.pop(stream.number, None)
        stream.receiver.on_answer(answer)

    def _answer_data(self, stream: RemoteStream, more: AnswerData) -> None:
        if more.whole:
            self.streams.pop(stream.number, None)
        stream.receiver.on_answer_data(more.data, more.whole)

    def _refusal(self, stream: RemoteStream, refusal: Refusal) -> None:
        self.streams.pop(stream.number, None)
        stream.receiver.on_refusal(refusal)

    def _failure(self, stream: RemoteStream, failure: Failure) -> None:
        self.streams.pop(stream.number, None)
        stream.receiver.on_failure(failure)

    def _ready(self, stream: RemoteStream, _: SlotReady) -> None:
        stream.confirmed = True
        self.send(Kind.PROCEED, stream.number)
        stream.receiver.on_slot_ready()

    def _credit(self, stream: RemoteStream, credit: Credit) -> None:
        stream.receiver.on_credit(credit.size)


HANDLERS: dict[type, Callable[[PeerConnection, Any, Any], None]] = {
    State: PeerConnection._tell_state,
    Hello: PeerConnection._greet,
    Pong: PeerConnection._pong,
    ConfigurationUpdate: PeerConnection._configuration,
    CrashReport: PeerConnection._crashes,
    Answer: PeerConnection._answer,
    AnswerData: PeerConnection._answer_data,
    Refusal: PeerConnection._refusal,
    Failure: PeerConnection._failure,
    SlotReady: PeerConnection._ready,
    Credit: PeerConnection._credit,
}
"""What is done with a message, by its type: a table costs less than ``singledispatch``,
and each request passes here several times."""
