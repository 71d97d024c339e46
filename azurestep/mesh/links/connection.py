"""One connection of a link: requests and probes out, outcomes and state in."""

import asyncio
from typing import Any, Protocol

import attrs
import msgpack

from ...quarantine import QuarantineUpdate
from .. import events
from ..backend.crashes import decode_updates
from ..backend.run import AnswerReceiver
from ..messages import (
    Answer,
    Decoder,
    Failure,
    Hello,
    Kind,
    Reason,
    Refusal,
    Request,
    State,
    decompress,
    encode,
    fields_of,
)
from ..runtime import Runtime

BUSY_PING_MS = 90.0
"""Time between probes of a link with requests under way."""


class Stream(Protocol):
    """The sender's hold on one request."""

    def body(self, data: bytes, whole: bool) -> None:
        """Send more of the body."""

    @property
    def may_run(self) -> bool:
        """Whether the request may have run, or may run yet."""

    def cancel(self) -> None:
        """Stop the request; nobody waits for it."""

    def withdraw(self) -> None:
        """Stop the request; its receiver is told whether it had not run."""

    def grant(self, size: int) -> None:
        """Take more of the answer."""


class CallReceiver(AnswerReceiver, Protocol):
    """What sent a request over a link."""

    def on_doubt(self, let_go: bool) -> None:
        """Learn that the node owes a sign of life.

        Parameters
        ----------
        let_go : bool
            Whether the request may have run; False if it surely has not.
        """


class PeerNews(Protocol):
    """What hears of news that concern the whole fleet, whichever node tells them."""

    def on_configuration(self, version: int, content: bytes) -> None:
        """Take a configuration that a node sent."""

    def on_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Learn which requests were under way as backend servers died."""

    def hello(self) -> Hello:
        """Return this node's greeting."""


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
    let_go : bool
        Whether the other node may have sent it to its backend server.
    """

    connection: "PeerConnection"
    number: int
    receiver: CallReceiver
    movable: bool
    let_go: bool

    def body(self, data: bytes, whole: bool) -> None:
        """Send more of the body."""
        self.connection.send(Kind.BODY, self.number, data, whole)

    def cancel(self) -> None:
        """Stop the request."""
        if self.connection.streams.pop(self.number, None) is not None:
            self.connection.send(Kind.CANCEL, self.number)

    @property
    def may_run(self) -> bool:
        """Whether the request may have run, or may run yet."""
        return self.let_go

    def withdraw(self) -> None:
        """Stop the request and have the other node say whether it had not run."""
        self.connection.send(Kind.WITHDRAW, self.number)

    def grant(self, size: int) -> None:
        """Take more of the answer."""
        self.connection.send(Kind.CREDIT, self.number, size)


class PeerConnection(asyncio.Protocol):
    """One TCP connection of a link."""

    def __init__(self, link: ConnectionOwner) -> None:
        self.link = link
        self.streams: dict[int, RemoteStream] = {}
        self.received_ms = link.runtime.now_ms()
        self.pinged_ms = self.received_ms
        self._decoder = Decoder()
        self._transport: asyncio.Transport | None = None
        self._next = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the other node."""
        self._transport = transport  # type: ignore[assignment]
        self.link.connection = self
        self.send(Kind.HELLO, *fields_of(self.link.fleet.hello()))
        self.ping()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is unanswered; it may have run."""
        self.link.on_connection_lost(self)
        self._fail_streams()

    def data_received(self, data: bytes) -> None:
        """Take messages."""
        self.received_ms = self.link.runtime.now_ms()
        try:
            for message in self._decoder.feed(data):
                self._take(message)
        except (
            ValueError,
            TypeError,
            KeyError,
            IndexError,
            msgpack.UnpackException,
        ) as error:
            events.log(events.PEER_MALFORMED, cause=repr(error))
            self.abort()

    def open(self, request: Request, receiver: CallReceiver) -> RemoteStream:
        """Send a request."""
        self._next += 1
        stream = RemoteStream(
            self,
            self._next,
            receiver,
            movable=request.idempotent and not request.held,
            let_go=not request.held,
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

    def doubt(self) -> None:
        """Let the senders of all requests look for another way."""
        for stream in list(self.streams.values()):
            stream.receiver.on_doubt(stream.let_go)

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
            if stream.let_go and stream.movable:
                stream.receiver.on_doubt(True)
            elif not stream.let_go:
                self.send(Kind.CANCEL, number)
                self._fail(number, stream)
        if not self.streams:
            self.abort()

    def _fail_streams(self) -> None:
        for number, stream in list(self.streams.items()):
            self._fail(number, stream)

    def _fail(self, number: int, stream: RemoteStream) -> None:
        if self.streams.pop(number, None) is None:
            return
        if stream.let_go:
            stream.receiver.on_failure(Failure(int(Reason.LINK_LOST), 0))
        else:
            stream.receiver.on_refusal(Refusal(int(Reason.LINK_LOST), 0, 0.0))

    def _take(self, message: tuple[Any, ...]) -> None:
        kind = message[0]
        if kind == Kind.PONG:
            return
        if kind == Kind.STATE:
            self.link.on_state(self, State(*message[1:]))
        elif kind == Kind.HELLO:
            self.link.on_hello(self, Hello(*message[1:6]))
        elif kind == Kind.CONFIGURATION:
            self.link.fleet.on_configuration(message[1], decompress(message[2]))
        elif kind == Kind.CRASHES:
            self.link.fleet.on_crashes(message[1], decode_updates(message[2]))
        else:
            self._take_outcome(kind, message[1], message[2:])

    def _take_outcome(self, kind: int, number: int, fields: tuple[Any, ...]) -> None:
        stream = self.streams.get(number)
        if stream is None:
            return
        receiver = stream.receiver
        if kind == Kind.ANSWER:
            answer = Answer(*fields)
            if answer.whole:
                self.streams.pop(number, None)
            receiver.on_answer(answer)
        elif kind == Kind.ANSWER_DATA:
            if fields[1]:
                self.streams.pop(number, None)
            receiver.on_answer_data(fields[0], fields[1])
        elif kind == Kind.REFUSAL:
            self.streams.pop(number, None)
            receiver.on_refusal(Refusal(*fields))
        elif kind == Kind.FAILURE:
            self.streams.pop(number, None)
            receiver.on_failure(Failure(*fields))
        elif kind == Kind.READY:
            stream.let_go = True
            self.send(Kind.GO, number)
            receiver.on_ready()
        elif kind == Kind.CREDIT:
            receiver.on_credit(fields[0])
