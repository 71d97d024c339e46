"""Links that this node opens to others: requests out, answers and state in."""

import asyncio
from typing import Any, Protocol

import attrs
import msgpack

from ..quarantine import QuarantineUpdate
from . import events
from .backend_run import AnswerReceiver
from .cadence import IDLE_PROBE_LEAST_MS
from .choice import Endpoint
from .crashes import decode_updates
from .messages import (
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
from .runtime import Runtime
from .settings import Address

BUSY_PING_MS = 90.0
"""Time between probes of a link with requests under way."""
DOUBT_MS = 200.0
"""Time without an answer to a probe after which a node gets no new requests. An
answer takes some 3 ms; a node that gets its processor in tenths of a second may
take 100 ms."""
LOST_MS = 650.0
"""Time without an answer to a probe after which a node counts as lost, with room for
one that runs several times slower for a moment."""
DIAL_TIMEOUT_S = 1.0
REDIAL_MS = (50.0, 200.0, 500.0, 1000.0)
"""Pauses before the next attempts to reach a node; the last one repeats, so that a
node that restarts while the store is away is found within about a second."""


class Stream(Protocol):
    """The sender's hold on one request."""

    def body(self, data: bytes, whole: bool) -> None:
        """Send more of the body."""

    def cancel(self) -> None:
        """Stop the request; nobody waits for it."""

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


class LinkEvents(Protocol):
    """What hears of news from other nodes."""

    def on_link_up(self, link: "PeerLink", hello: Hello) -> None:
        """Learn that a node answers."""

    def on_link_down(self, link: "PeerLink", cause: str) -> None:
        """Learn that a node does not answer."""

    def on_state(self, link: "PeerLink", state: State) -> None:
        """Learn a node's state."""

    def on_configuration(self, version: int, content: bytes) -> None:
        """Take a configuration that a node sent."""

    def on_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Learn which requests were under way as backend servers died."""

    def hello(self) -> Hello:
        """Return this node's greeting."""


@attrs.define(eq=False)
class RemoteStream:
    """One request on a link."""

    connection: "PeerConnection"
    number: int
    receiver: CallReceiver
    idempotent: bool
    let_go: bool

    def body(self, data: bytes, whole: bool) -> None:
        """Send more of the body."""
        self.connection.send(Kind.BODY, self.number, data, whole)

    def cancel(self) -> None:
        """Stop the request."""
        if self.connection.streams.pop(self.number, None) is not None:
            self.connection.send(Kind.CANCEL, self.number)

    def grant(self, size: int) -> None:
        """Take more of the answer."""
        self.connection.send(Kind.CREDIT, self.number, size)


class PeerConnection(asyncio.Protocol):
    """One TCP connection of a link."""

    def __init__(self, link: "PeerLink") -> None:
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
        self.send(Kind.HELLO, *fields_of(self.link.news.hello()))
        self.ping()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is unanswered; it may have run."""
        self.link.on_connection_lost(self)
        self._fail_streams(only_idempotent=False)

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
            self, self._next, receiver, request.idempotent, not request.held
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
        """Give up on what may be repeated; let the rest wait for its answer."""
        self._fail_streams(only_idempotent=True)
        if not self.streams:
            self.abort()

    def _fail_streams(self, only_idempotent: bool) -> None:
        for number, stream in list(self.streams.items()):
            if only_idempotent and not stream.idempotent and stream.let_go:
                continue
            if self.streams.pop(number, None) is None:
                continue
            if only_idempotent:
                self.send(Kind.CANCEL, number)
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
            self.link.news.on_configuration(message[1], decompress(message[2]))
        elif kind == Kind.CRASHES:
            self.link.news.on_crashes(message[1], decode_updates(message[2]))
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


@attrs.define(eq=False)
class PeerLink:
    """The way to one other node, over one connection after the other.

    Attributes
    ----------
    up : bool
        Whether the node answers.
    endpoint : Endpoint
        The backend server beside that node.
    idle_probe_ms : float
        Time between probes while no request is under way.
    """

    runtime: Runtime
    address: Address
    news: LinkEvents
    endpoint: Endpoint = attrs.field(init=False)
    connection: PeerConnection | None = None
    up: bool = False
    state: State | None = None
    peer: Hello | None = None
    lost_since_ms: float = 0.0
    idle_probe_ms: float = IDLE_PROBE_LEAST_MS
    _dialing: bool = False
    _attempts: int = 0
    _next_dial_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.endpoint = Endpoint(self.address, "", b"", "", open=False)
        self.lost_since_ms = self.runtime.now_ms()

    def send(self, request: Request, receiver: CallReceiver) -> Stream | None:
        """Send a request; None if the node can't be reached."""
        if self.connection is None or not self.up:
            return None
        return self.connection.open(request, receiver)

    def tick(self, now_ms: float) -> None:
        """Probe the link, replace a silent connection, dial again."""
        connection = self.connection
        if connection is None:
            if not self._dialing and now_ms >= self._next_dial_ms:
                self._dialing = True
                self.runtime.spawn(self._dial())
            return
        waited_ms = now_ms - connection.pinged_ms
        answered = connection.answered
        doubted = not answered and waited_ms > DOUBT_MS
        if doubted and not self.endpoint.doubted:
            self.endpoint.doubted = True
            connection.doubt()
        self.endpoint.doubted = doubted
        if not answered and waited_ms > LOST_MS:
            self._lose(connection, "silent")
            connection.retire()
        elif answered:
            pause_ms = BUSY_PING_MS if connection.streams else self.idle_probe_ms
            if waited_ms >= pause_ms:
                connection.ping()

    def excuse(self, pause_ms: float) -> None:
        """Leave out a pause of this node's own from the silence of the other."""
        if self.connection is not None:
            self.connection.received_ms += pause_ms
            self.connection.pinged_ms += pause_ms

    def ask_configuration(self) -> None:
        """Ask the node for the configuration that it holds."""
        if self.connection is not None:
            self.connection.send(Kind.CONFIGURATION_WANTED)

    def dial_soon(self) -> None:
        """Try to reach the node at the next tick."""
        self._attempts = 0
        self._next_dial_ms = 0.0

    def close(self) -> None:
        """Close the link."""
        if self.connection is not None:
            self.connection.abort()

    def on_hello(self, connection: PeerConnection, hello: Hello) -> None:
        """Take the other node's greeting."""
        if connection is not self.connection:
            return
        self.peer = hello
        self._attempts = 0
        if not self.up:
            self.up = True
            self.endpoint.data_centre = hello.data_centre
            self.news.on_link_up(self, hello)

    def on_state(self, connection: PeerConnection, state: State) -> None:
        """Take the other node's state."""
        if connection is not self.connection:
            return
        former, self.state = self.state, state
        endpoint = self.endpoint
        if endpoint.instance_id != state.instance_id:
            endpoint.run_ms.clear()
            endpoint.failed_until_ms = 0.0
        endpoint.service = state.service
        endpoint.instance_id = state.instance_id
        endpoint.open = state.open
        endpoint.slots = state.slots
        endpoint.failing = state.failing
        endpoint.cold_until_ms = self.runtime.now_ms() + state.cold_ms
        endpoint.tell(state.busy)
        if former is None or _matters(former) != _matters(state):
            self.news.on_state(self, state)

    def on_connection_lost(self, connection: PeerConnection) -> None:
        """Dial again after a lost connection."""
        if connection is self.connection:
            self._lose(connection, "closed")

    def _lose(self, connection: PeerConnection, cause: str) -> None:
        self.connection = None
        self.endpoint.open = False
        self._next_dial_ms = self.runtime.now_ms() + REDIAL_MS[0]
        if self.up:
            self.up = False
            self.lost_since_ms = self.runtime.now_ms()
            self.news.on_link_down(self, cause)

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await self.runtime.loop.create_connection(
                    lambda: PeerConnection(self), *self.address
                )
        except OSError:
            pause = min(self._attempts, len(REDIAL_MS) - 1)
            self._attempts += 1
            jitter = 0.75 + self.runtime.random.random() / 2
            self._next_dial_ms = self.runtime.now_ms() + REDIAL_MS[pause] * jitter
        finally:
            self._dialing = False


def _matters(state: State) -> tuple[bool, bool]:
    """Return what decides who reads the configuration."""
    return state.store_ok, state.stopping
