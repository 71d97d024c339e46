"""Links that other nodes opened: their requests in, answers and state out."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from ...quarantine import QuarantineUpdate
from .. import events
from ..backend.crashes import encode_updates
from ..backend.inbound import Inbound
from ..backend.run import Run
from ..decisions.cadence import LOCAL_REPORTS_PER_S, REMOTE_REPORTS_PER_S, ReportPacer
from ..link_messages import (
    Body,
    Cancel,
    ConfigurationQuery,
    Credit,
    Ping,
    Proceed,
    Withdraw,
)
from ..messages import (
    Hello,
    Kind,
    Reason,
    Request,
    State,
    compress,
    encode,
    fields_of,
)
from ..runtime import Runtime
from .decoding import NO_STREAM, OF_CALLING_NODES, Decoder, Message
from .outcome_forwarder import OutcomeForwarder

PONG = encode(Kind.PONG)
LATE_AFTER_MS = 100.0
"""Delay beyond a link's usual one from which on a request counts as held up, so
that it isn't run for longer than its caller waits."""
URGENT_FAILURE_RATIO = 0.3
"""Failing share from which on nodes are told at once."""
MIN_DELAY_GROWTH = 0.01
"""How fast the known least delay of a link rises again, so that a clock that
stood still at one end doesn't make all later requests look late."""


@attrs.define(eq=False)
class IncomingLinks:
    """What all links that other nodes opened share.

    Attributes
    ----------
    hello, state : Callable
        Return what this node says of itself now.
    on_peer : Callable
        Called with the greeting of a node that opened a link.
    configuration : Callable
        Returns version and content of the configuration in force.
    store_version : Callable
        Returns the newest version that this node read from the store itself.
    """

    runtime: Runtime
    inbound: Inbound
    hello: Callable[[], Hello]
    state: Callable[[], State]
    on_peer: Callable[[Hello], None]
    configuration: Callable[[], tuple[int, bytes]]
    store_version: Callable[[], int]
    data_centre: str
    links: "set[IncomingLink]" = attrs.field(factory=set)
    _urgent: tuple[object, ...] = ()
    _local_pacer: ReportPacer = attrs.field(
        factory=lambda: ReportPacer(LOCAL_REPORTS_PER_S)
    )
    _remote_pacer: ReportPacer = attrs.field(
        factory=lambda: ReportPacer(REMOTE_REPORTS_PER_S)
    )

    @property
    def has_unsent_outcomes(self) -> bool:
        """Whether an outcome for another node has not left.

        A process that ends drops what its send buffers hold: 24 of 40 answers behind a
        slow link came out as failures at the node that had asked.
        """
        return any(link.has_unsent_outcome for link in self.links)

    def broadcast_state(self) -> None:
        """Tell all nodes the state of this one: what matters at once, load in turn."""
        state = self.state()
        data = encode(Kind.STATE, *fields_of(state))
        now_ms = self.runtime.now_ms()
        urgent = (self.store_version(), *_urgent_fields(state))
        if urgent != self._urgent:
            self._urgent = urgent
            self._local_pacer.mark_sent(data, now_ms)
            self._remote_pacer.mark_sent(data, now_ms)
            self._write(self.links, data)
            return
        local = {link for link in self.links if self._is_local(link)}
        remote = self.links - local
        if self._local_pacer.is_due(data, len(local), now_ms):
            self._write(local, data)
        if self._remote_pacer.is_due(data, len(remote), now_ms):
            self._write(remote, data)

    def push_configuration(self) -> None:
        """Send the configuration in force to the nodes of this data centre.

        Done by the node that read it. Passed on by each of 24 nodes to all others, one
        version of 20 KB kept links of 10 Mbit/s busy for 0.4 s.
        """
        version, content = self.configuration()
        data = encode(Kind.CONFIGURATION, version, compress(content))
        self._write({link for link in self.links if self._is_local(link)}, data)

    def _is_local(self, link: "IncomingLink") -> bool:
        peer = link.peer
        return peer is not None and peer.data_centre == self.data_centre

    def _write(self, links: "set[IncomingLink]", data: bytes) -> None:
        for link in links:
            link.write(data)

    def broadcast_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Tell all nodes which requests were under way as a backend server died."""
        self._write(self.links, encode(Kind.CRASHES, service, encode_updates(updates)))


def _urgent_fields(state: State) -> tuple[object, ...]:
    """Return what other nodes must not act on a moment longer once it changed.

    A version is news when it was read from the store. If all nodes told it at once,
    each of 74 would get 73 messages in the moment in which it reads the document.
    """
    return (
        state.service,
        state.instance_id,
        state.server_started_ms,
        state.open,
        state.slots,
        state.store_reachable,
        state.stopping,
        state.failure_ratio >= URGENT_FAILURE_RATIO,
    )


class IncomingLink(asyncio.Protocol):
    """One link that another node opened."""

    def __init__(self, incoming_links: IncomingLinks) -> None:
        self.incoming_links = incoming_links
        self.peer: Hello | None = None
        self._decoder = Decoder(OF_CALLING_NODES)
        self._transport: asyncio.Transport | None = None
        self._has_written_outcome = False
        self._runs: dict[int, Run] = {}
        self._min_delay_ms: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the other node and tell it this one's state."""
        self._transport = transport  # type: ignore[assignment]
        incoming_links = self.incoming_links
        incoming_links.links.add(self)
        self.send(Kind.HELLO, *fields_of(incoming_links.hello()))
        self.send(Kind.STATE, *fields_of(incoming_links.state()))
        crashes = incoming_links.inbound.crashes
        for service, updates in crashes.export(incoming_links.runtime.now_ms()):
            self.send(Kind.CRASHES, service, encode_updates(updates))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what nobody waits for any more."""
        self.incoming_links.links.discard(self)
        runs, self._runs = self._runs, {}
        for run in runs.values():
            self._cancel_run(run)

    def _cancel_run(self, run: Run) -> None:
        try:
            run.cancel()
        except Exception as error:
            name = run.request.request_id
            self.incoming_links.runtime.report_fault("link_in", error, id=name)

    def data_received(self, data: bytes) -> None:
        """Take messages."""
        for stream_id, message in self._decoder.feed(data):
            try:
                HANDLERS[type(message)](self, stream_id, message)
            except Exception as error:
                self._contain(stream_id, message, error)
        if self._decoder.fault:
            events.log(events.PEER_MALFORMED, cause=self._decoder.fault)
            self.abort()

    def _contain(self, stream_id: int, message: Message, error: Exception) -> None:
        """Fail the request that met a fault of this program; the others go on.

        The run is cancelled, not failed: a failed one speaks against its backend
        server. Its sender is told in any case; where it was told before, it passes
        this by.
        """
        runtime = self.incoming_links.runtime
        run = self._runs.pop(stream_id, None)
        request = message if run is None else run.request
        name = request.request_id if isinstance(request, Request) else b""
        runtime.report_fault("link_in", error, id=name)
        if run is not None:
            runtime.run_guarded("run", run.cancel)
        if stream_id != NO_STREAM:
            in_flight = self.incoming_links.inbound.admission.in_flight
            self.send(Kind.FAILURE, stream_id, int(Reason.FAULT), in_flight)

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""
        self.write(encode(kind, *fields))

    def write(self, data: bytes) -> None:
        """Send an encoded message."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    @property
    def has_unsent_outcome(self) -> bool:
        """Whether bytes have not left since the last outcome; news alone don't count.

        News for a node that is gone would keep a stopping one for its grace time.
        """
        transport = self._transport
        if transport is None or not transport.get_write_buffer_size():
            self._has_written_outcome = False
        return self._has_written_outcome

    def end_stream(self, stream_id: int) -> None:
        """Forget a request that ended; its outcome is written."""
        self._has_written_outcome = True
        self._runs.pop(stream_id, None)

    def abort(self) -> None:
        """Reset the link."""
        if self._transport is not None:
            self._transport.abort()

    def _on_request(self, stream_id: int, request: Request) -> None:
        late_ms = self._update_delay_ms(request.sent_ms)
        if late_ms > LATE_AFTER_MS:
            request = attrs.evolve(
                request,
                remaining_ms=request.remaining_ms - late_ms,
                objective_ms=request.objective_ms - late_ms,
            )
        receiver = OutcomeForwarder(self, stream_id)
        run = self.incoming_links.inbound.submit(request, receiver)
        if not run.done:
            self._runs[stream_id] = run

    def _on_ping(self, _: int, ping: Ping) -> None:
        self._update_delay_ms(ping.sent_ms)
        self.write(PONG)

    def _on_hello(self, _: int, hello: Hello) -> None:
        self.peer = hello
        self.incoming_links.on_peer(hello)

    def _on_configuration_query(self, _: int, wanted: ConfigurationQuery) -> None:
        version, content = self.incoming_links.configuration()
        self.send(Kind.CONFIGURATION, version, compress(content))

    def _on_proceed(self, stream_id: int, _: Proceed) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.proceed()

    def _on_cancel(self, stream_id: int, _: Cancel) -> None:
        run = self._runs.pop(stream_id, None)
        if run is not None:
            run.cancel()

    def _on_withdraw(self, stream_id: int, _: Withdraw) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.withdraw()

    def _on_credit(self, stream_id: int, credit: Credit) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.grant(credit.size)

    def _on_body(self, stream_id: int, body: Body) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.body(body.data, body.whole)

    def _update_delay_ms(self, sent_ms: float) -> float:
        delay_ms = self.incoming_links.runtime.now_ms() - sent_ms
        min_delay_ms = self._min_delay_ms
        if min_delay_ms is None or delay_ms < min_delay_ms:
            self._min_delay_ms = delay_ms
            return 0.0
        late_ms = delay_ms - min_delay_ms
        self._min_delay_ms = min_delay_ms + late_ms * MIN_DELAY_GROWTH
        return late_ms


HANDLERS: dict[type, Callable[[IncomingLink, int, Any], None]] = {
    Request: IncomingLink._on_request,
    Ping: IncomingLink._on_ping,
    Body: IncomingLink._on_body,
    Cancel: IncomingLink._on_cancel,
    Withdraw: IncomingLink._on_withdraw,
    Proceed: IncomingLink._on_proceed,
    Credit: IncomingLink._on_credit,
    Hello: IncomingLink._on_hello,
    ConfigurationQuery: IncomingLink._on_configuration_query,
}
"""What is done with a message, by its type: a table costs less than ``singledispatch``,
and each request passes here several times."""
