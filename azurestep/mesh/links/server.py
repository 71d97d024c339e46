"""Links that other nodes opened: their requests in, answers and state out."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import msgpack

from ...quarantine import QuarantineUpdate
from .. import events
from ..backend.crashes import encode_updates
from ..backend.inbound import Inbound
from ..backend.run import Run
from ..decisions.cadence import FAR_REPORTS_PER_S, NEAR_REPORTS_PER_S, ReportPace
from ..messages import (
    FORMAT,
    Answer,
    Decoder,
    Failure,
    Hello,
    Kind,
    Refusal,
    Request,
    State,
    compress,
    encode,
    fields_of,
)
from ..runtime import Runtime

PONG = encode(Kind.PONG)
STALE_MS = 100.0
"""Delay beyond a link's usual one from which on a request counts as held up, so
that it isn't run for longer than its caller waits."""
FAILING_NEWS = 0.3
"""Failing share from which on nodes are told at once."""
OFFSET_RISE = 0.01
"""How fast the known least delay of a link rises again, so that a clock that
stood still at one end doesn't make all later requests look late."""


@attrs.define(eq=False)
class RemoteReceiver:
    """Sends the outcome of one request back over the link."""

    server: "PeerServer"
    stream: int

    def on_answer(self, answer: Answer) -> None:
        """Send the answer, or its beginning."""
        self.server.send(Kind.ANSWER, self.stream, *fields_of(answer))
        if answer.whole:
            self.server.forget(self.stream)

    def on_answer_data(self, data: bytes, whole: bool) -> None:
        """Send more of the answer."""
        self.server.send(Kind.ANSWER_DATA, self.stream, data, whole)
        if whole:
            self.server.forget(self.stream)

    def on_refusal(self, refusal: Refusal) -> None:
        """Send a refusal."""
        self.server.send(Kind.REFUSAL, self.stream, *fields_of(refusal))
        self.server.forget(self.stream)

    def on_failure(self, failure: Failure) -> None:
        """Send a failure."""
        self.server.send(Kind.FAILURE, self.stream, *fields_of(failure))
        self.server.forget(self.stream)

    def on_credit(self, size: int) -> None:
        """Let the sender send more of the body."""
        self.server.send(Kind.CREDIT, self.stream, size)

    def on_ready(self) -> None:
        """Ask the sender whether the request still stands."""
        self.server.send(Kind.READY, self.stream)


@attrs.define(eq=False)
class PeerListener:
    """What all links that other nodes opened share.

    Attributes
    ----------
    hello, state : Callable
        Return what this node says of itself now.
    on_peer : Callable
        Called with the greeting of a node that opened a link.
    configuration : Callable
        Returns version and content of the configuration in force.
    version_read : Callable
        Returns the newest version that this node read from the store itself.
    """

    runtime: Runtime
    inbound: Inbound
    hello: Callable[[], Hello]
    state: Callable[[], State]
    on_peer: Callable[[Hello], None]
    configuration: Callable[[], tuple[int, bytes]]
    version_read: Callable[[], int]
    data_centre: str
    servers: "set[PeerServer]" = attrs.field(factory=set)
    _urgent: tuple[object, ...] = ()
    _near: ReportPace = attrs.field(factory=lambda: ReportPace(NEAR_REPORTS_PER_S))
    _far: ReportPace = attrs.field(factory=lambda: ReportPace(FAR_REPORTS_PER_S))

    @property
    def busy(self) -> bool:
        """Whether bytes for another node have not left.

        A process that ends drops what its send buffers hold: 24 of 40 answers behind a
        slow link came out as failures at the node that had asked.
        """
        return any(server.unsent_bytes > 0 for server in self.servers)

    def broadcast_state(self) -> None:
        """Tell all nodes the state of this one: what matters at once, load in turn."""
        state = self.state()
        data = encode(Kind.STATE, *fields_of(state))
        now_ms = self.runtime.now_ms()
        urgent = (self.version_read(), *_urgent(state))
        if urgent != self._urgent:
            self._urgent = urgent
            self._near.sent(data, now_ms)
            self._far.sent(data, now_ms)
            self._write(self.servers, data)
            return
        near = {server for server in self.servers if self._is_near(server)}
        far = self.servers - near
        if self._near.is_due(data, len(near), now_ms):
            self._write(near, data)
        if self._far.is_due(data, len(far), now_ms):
            self._write(far, data)

    def push_configuration(self) -> None:
        """Send the configuration in force to the nodes of this data centre.

        Done by the node that read it. Passed on by each of 24 nodes to all others, one
        version of 20 KB kept links of 10 Mbit/s busy for 0.4 s.
        """
        version, content = self.configuration()
        data = encode(Kind.CONFIGURATION, version, compress(content))
        self._write({one for one in self.servers if self._is_near(one)}, data)

    def _is_near(self, server: "PeerServer") -> bool:
        peer = server.peer
        return peer is not None and peer.data_centre == self.data_centre

    def _write(self, servers: "set[PeerServer]", data: bytes) -> None:
        for server in servers:
            server.write(data)

    def tell_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Tell all nodes which requests were under way as a backend server died."""
        self._write(
            self.servers, encode(Kind.CRASHES, service, encode_updates(updates))
        )


def _urgent(state: State) -> tuple[object, ...]:
    """Return what other nodes must not act on a moment longer once it changed.

    A version is news when it was read from the store. If all nodes told it at once,
    each of 74 would get 73 messages in the moment in which it reads the document.
    """
    return (
        state.service,
        state.instance_id,
        state.born_ms,
        state.open,
        state.slots,
        state.store_ok,
        state.stopping,
        state.failing >= FAILING_NEWS,
    )


class PeerServer(asyncio.Protocol):
    """One link that another node opened."""

    def __init__(self, listener: PeerListener) -> None:
        self.listener = listener
        self.peer: Hello | None = None
        self._decoder = Decoder()
        self._transport: asyncio.Transport | None = None
        self._runs: dict[int, Run] = {}
        self._least_delay_ms: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the other node and tell it this one's state."""
        self._transport = transport  # type: ignore[assignment]
        listener = self.listener
        listener.servers.add(self)
        self.send(Kind.HELLO, *fields_of(listener.hello()))
        self.send(Kind.STATE, *fields_of(listener.state()))
        crashes = listener.inbound.crashes
        for service, updates in crashes.export(listener.runtime.now_ms()):
            self.send(Kind.CRASHES, service, encode_updates(updates))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what nobody waits for any more."""
        self.listener.servers.discard(self)
        runs, self._runs = self._runs, {}
        for run in runs.values():
            run.cancel()

    def data_received(self, data: bytes) -> None:
        """Take messages."""
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
            if self._transport is not None:
                self._transport.abort()

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""
        self.write(encode(kind, *fields))

    def write(self, data: bytes) -> None:
        """Send an encoded message."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and have not left."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def forget(self, stream: int) -> None:
        """Forget a request that ended."""
        self._runs.pop(stream, None)

    def abort(self) -> None:
        """Reset the link."""
        if self._transport is not None:
            self._transport.abort()

    def _take(self, message: tuple[Any, ...]) -> None:
        kind = message[0]
        if kind == Kind.REQUEST:
            self._request(message[1], message[2:])
        elif kind == Kind.PING:
            self._delay_ms(message[1])
            self.write(PONG)
        elif kind == Kind.BODY:
            self._body(message[1], message[2], message[3])
        elif kind == Kind.CANCEL:
            self._cancel(message[1])
        elif kind == Kind.WITHDRAW:
            self._withdraw(message[1])
        elif kind == Kind.GO:
            self._go(message[1])
        elif kind == Kind.CREDIT:
            self._grant(message[1], message[2])
        elif kind == Kind.HELLO:
            self._greet(Hello(*message[1:6]))
        elif kind == Kind.CONFIGURATION_WANTED:
            version, content = self.listener.configuration()
            self.send(Kind.CONFIGURATION, version, compress(content))

    def _request(self, stream: int, fields: tuple[Any, ...]) -> None:
        request = Request(*fields)
        late_ms = self._delay_ms(request.sent_ms)
        if late_ms > STALE_MS:
            request = attrs.evolve(
                request,
                budget_ms=request.budget_ms - late_ms,
                objective_ms=request.objective_ms - late_ms,
            )
        receiver = RemoteReceiver(self, stream)
        run = self.listener.inbound.submit(request, receiver)
        if not run.done:
            self._runs[stream] = run

    def _greet(self, hello: Hello) -> None:
        if hello.format != FORMAT:
            raise ValueError(f"protocol format {hello.format}")
        self.peer = hello
        self.listener.on_peer(hello)

    def _go(self, stream: int) -> None:
        run = self._runs.get(stream)
        if run is not None:
            run.go()

    def _cancel(self, stream: int) -> None:
        run = self._runs.pop(stream, None)
        if run is not None:
            run.cancel()

    def _withdraw(self, stream: int) -> None:
        run = self._runs.get(stream)
        if run is not None:
            run.withdraw()

    def _grant(self, stream: int, size: int) -> None:
        run = self._runs.get(stream)
        if run is not None:
            run.grant(size)

    def _body(self, stream: int, data: bytes, whole: bool) -> None:
        run = self._runs.get(stream)
        if run is not None:
            run.body(data, whole)

    def _delay_ms(self, sent_ms: float) -> float:
        delay_ms = self.listener.runtime.now_ms() - sent_ms
        least_ms = self._least_delay_ms
        if least_ms is None or delay_ms < least_ms:
            self._least_delay_ms = delay_ms
            return 0.0
        late_ms = delay_ms - least_ms
        self._least_delay_ms = least_ms + late_ms * OFFSET_RISE
        return late_ms
