"""Links that peers opened: their requests in, outcomes and state out."""

import asyncio
from collections.abc import Callable, Collection, Container
from typing import Any

import attrs

from ...http.hangup import has_hung_up
from ...quarantine import QuarantineUpdate
from .. import events
from ..backend.cancelled import log_cancelled
from ..backend.crashes import encode_updates
from ..backend.inbound import Inbound
from ..backend.run import Run
from ..decisions.cadence import LOCAL_REPORTS_PER_S, REMOTE_REPORTS_PER_S, ReportPacer
from ..decisions.speed import WorkSpeed
from ..link_messages import (
    Body,
    BodyBacklog,
    CalledRoutes,
    Cancel,
    ConfigurationQuery,
    Credit,
    Ping,
    Proceed,
    QuotaGrant,
    QuotaHandover,
    QuotaUsage,
    RolloutUpdate,
    ServerCondition,
    ServerSpeed,
    ServerVersion,
    TrialCounts,
    Withdraw,
)
from ..messages import (
    ANSWER_PARTS_FEATURE_LEVEL,
    CONFIRM_AGAIN_FEATURE_LEVEL,
    TEAM_FEATURE_LEVEL,
    Hello,
    Kind,
    Reason,
    Request,
    State,
    encode,
    fields_of,
)
from ..runtime import Runtime
from ..settings import Address
from .body_sender import BodySender
from .decoding import INCOMING_LINK_SCHEMAS, NO_STREAM, PONG, Decoder, Message
from .remote_receiver import OutcomeForwarder

LATE_AFTER_MS = 100.0
"""Tolerated delay in excess of the link's minimum. A larger excess is subtracted from a
request's remaining time, so that no request runs for longer than its caller waits."""
BACKLOG_STEP_MS = 100.0
"""Resolution of the reported time that bodies wait for the link."""
BACKLOG_INTERVAL_MS = 300.0
"""Shortest time between two such reports."""
URGENT_FAILURE_RATIO = 0.3
"""Failure ratio that is reported to peers at once when it is crossed."""
MAX_FIRST_MESSAGE_BYTES = 65_536
"""Bytes that a link may send before its first message, its hello, is complete."""
HELLO_TIMEOUT_MS = 5000.0
"""Time from the opening of a link until its hello, which is sent at once."""
MIN_DELAY_GROWTH = 0.01
"""Fraction of the excess that each message adds to the link's minimum delay, so that
clock drift doesn't make all later requests look late."""


@attrs.define(eq=False, repr=False)
class IncomingLinks:
    """State that all links opened by peers share.

    Attributes
    ----------
    hello, state : Callable
        Return this node's current hello and state.
    on_peer : Callable
        Called with the hello of a peer that opened a link.
    store_era : Callable
        Returns the latest era of the store; 0 if unknown.
    on_query : Callable
        Called with a link and the question for a newer configuration on it.
    on_usage : Callable
        Called with a peer's address and its report of requests of teams.
    on_handover : Callable
        Called with accounts of quotas that a peer hands over.
    condition : Callable
        Returns what the backend server said about itself; None if nothing.
    body_sender : BodySender
        Sender of long bodies, which all links of the node share.
    local_links : set of IncomingLink
        Those of ``links`` whose peers are in the local data centre.
    """

    runtime: Runtime
    inbound: Inbound
    hello: Callable[[], Hello]
    state: Callable[[], State]
    on_peer: Callable[[Hello], None]
    store_era: Callable[[], int]
    condition: Callable[[], ServerCondition | None]
    data_centre: str
    body_sender: BodySender = attrs.Factory(
        lambda self: BodySender(self.runtime), takes_self=True
    )
    on_query: "Callable[[IncomingLink, ConfigurationQuery], None]" = (
        lambda link, query: None
    )
    on_usage: Callable[[Address, QuotaUsage], None] = lambda peer, usage: None
    on_handover: Callable[[QuotaHandover], None] = lambda handover: None
    links: "set[IncomingLink]" = attrs.field(factory=set)
    local_links: "set[IncomingLink]" = attrs.field(factory=set)
    _by_address: "dict[Address, IncomingLink]" = attrs.field(factory=dict)
    _urgent: tuple[object, ...] = ()
    _sent_condition: ServerCondition | None = None
    _sent_version: ServerVersion | None = None
    _sent_backlog: BodyBacklog = BodyBacklog(0.0, 0.0)
    _next_backlog_ms: float = 0.0
    _sent_called_routes: CalledRoutes = CalledRoutes(())
    _sent_speed: WorkSpeed = attrs.field(factory=WorkSpeed)
    _local_pacer: ReportPacer = attrs.field(
        factory=lambda: ReportPacer(LOCAL_REPORTS_PER_S)
    )
    _remote_pacer: ReportPacer = attrs.field(
        factory=lambda: ReportPacer(REMOTE_REPORTS_PER_S)
    )

    @property
    def has_unsent_outcomes(self) -> bool:
        """Whether send buffers hold outcomes, which an exit would drop."""
        return any(link.has_unsent_outcome for link in self.links)

    def broadcast_state(self) -> None:
        """Send this node's state to all peers; rate-limited unless it is urgent."""
        self._broadcast_condition()
        self.broadcast_version()
        self._broadcast_backlog()
        self._broadcast_called_routes()
        state = self.state()
        data = encode(Kind.STATE, *fields_of(state))
        now_ms = self.runtime.now_ms()
        urgent = _urgent_fields(state)
        if urgent != self._urgent:
            self._urgent = urgent
            self._local_pacer.mark_sent(data, now_ms)
            self._remote_pacer.mark_sent(data, now_ms)
            self._write(self.links, data)
            self._send_speed(now_ms)
            return
        local_count = len(self.local_links)
        remote_count = len(self.links) - local_count
        report = data + b"speed" if self._is_speed_news(now_ms) else data
        if self._local_pacer.mark_sent_if_due(report, local_count, now_ms):
            self._local_pacer.mark_sent(data, now_ms)
            self._write(self.local_links, data)
            self._send_speed(now_ms)
        if self._remote_pacer.mark_sent_if_due(data, remote_count, now_ms):
            self._write(self.links - self.local_links, data)

    def _is_speed_news(self, now_ms: float) -> bool:
        """Whether nearby peers must learn how long work takes.

        Compared with what they make of the last message by now, so that a lasting ratio
        is sent again once it has lost its weight there.
        """
        speed = self.inbound.admission.speed
        if not speed.known:
            # Peers drop the ratio of a server that was replaced with its state.
            self._sent_speed = WorkSpeed()
            return False
        return speed.differs_much(self._sent_speed, now_ms)

    def _send_speed(self, now_ms: float) -> None:
        """Tell nearby peers how long work takes, if they must learn it.

        Remote peers get their load reports too late for it, and bytes to them are
        charged.
        """
        if self._is_speed_news(now_ms):
            speed = self.inbound.admission.speed
            self._sent_speed = attrs.evolve(speed)
            events.log_routine(
                events.BACKEND_SPEED,
                instance=self.inbound.backend.instance_id,
                work_ratio=round(speed.stated, 2),
                age_ms=round(speed.age_ms(now_ms)),
            )
            for link in self.local_links:
                link.send_speed(now_ms)

    def _broadcast_condition(self) -> None:
        """Tell all peers what the backend server said, if it differs much."""
        condition = self.condition()
        if condition is not None and condition.differs_much(self._sent_condition):
            self._sent_condition = condition
            data = encode(Kind.SERVER_CONDITION, *fields_of(condition))
            self._write(self.links, data)

    def broadcast_store_era(self) -> None:
        """Tell all peers the era of the store."""
        self._write(self.links, encode(Kind.STORE_ERA, self.store_era()))

    def broadcast_store_contact(self, version: int) -> None:
        """Tell all peers that the store has no later version than this node's."""
        data = encode(Kind.STORE_CONTACT, version)
        for link in self.links:
            if link.feature_level >= TEAM_FEATURE_LEVEL:
                link.write(data)

    def broadcast_version(self) -> None:
        """Tell all peers the version of the backend server, if it has changed."""
        version = self.version()
        if version != self._sent_version:
            self._sent_version = version
            self._write(self.links, encode(Kind.SERVER_VERSION, *fields_of(version)))

    def version(self) -> ServerVersion:
        """Return the version of the backend server."""
        backend = self.inbound.backend
        return ServerVersion(backend.service, backend.version)

    def _broadcast_called_routes(self) -> None:
        """Tell all peers the routes on which services call the backend server."""
        routes = self.called_routes()
        if routes != self._sent_called_routes:
            self._sent_called_routes = routes
            self._write(self.links, encode(Kind.CALLED_ROUTES, *fields_of(routes)))

    def called_routes(self) -> CalledRoutes:
        """Return the routes on which services call the backend server."""
        return CalledRoutes(self.inbound.caller_detector.called_routes())

    def _broadcast_backlog(self) -> None:
        """Tell all peers how long a large body would wait, if that has changed."""
        transfers, now_ms = self.inbound.transfers, self.runtime.now_ms()
        backlog = BodyBacklog(
            round(transfers.wait_ms() / BACKLOG_STEP_MS) * BACKLOG_STEP_MS,
            transfers.transfer_ms(1024),
        )
        known = self._sent_backlog.wait_ms
        if backlog.wait_ms == known or now_ms < self._next_backlog_ms:
            return
        self._sent_backlog = backlog
        self._next_backlog_ms = now_ms + BACKLOG_INTERVAL_MS
        self._write(self.links, encode(Kind.BODY_BACKLOG, *fields_of(backlog)))

    def broadcast_rollout(self, update: RolloutUpdate) -> None:
        """Tell all peers the progress of a roll-out."""
        self._write(self.links, encode(Kind.ROLLOUT, *fields_of(update)))

    def send_trial_counts(self, counts: TrialCounts, peers: set[Address]) -> None:
        """Send the runs of the backend server during a roll-out to some peers."""
        data = encode(Kind.TRIAL_COUNTS, *fields_of(counts))
        for link in self.links_of(peers):
            link.write(data)

    def send_grants(self, peers: Collection[Address], grant: QuotaGrant) -> None:
        """Send what peers may admit of teams."""
        data = encode(Kind.QUOTA_GRANT, *fields_of(grant))
        for address in peers:
            link = self._by_address.get(address)
            if link is not None:
                link.write(data)

    def links_of(self, addresses: Container[Address]) -> "list[IncomingLink]":
        """Return the links that the nodes at some addresses opened."""
        return [
            link
            for link in self.links
            if link.peer is not None and tuple(link.peer.peer_address) in addresses
        ]

    def record_version_sent(self, version: int, size_bytes: int) -> None:
        """Log and count a version that was sent to a peer."""
        self.runtime.metrics.count("configuration_sent_bytes", amount=size_bytes)
        events.log_routine(
            events.VERSION_SENT,
            version=version,
            size_bytes=size_bytes,
            unsent_bytes=self.unsent_bytes(),
        )

    def unsent_bytes(self) -> int:
        """Return how many bytes wait in the send buffers of all links."""
        return sum(link.unsent_bytes for link in self.links)

    def _is_local(self, link: "IncomingLink") -> bool:
        return link in self.local_links

    def identify(self, link: "IncomingLink", peer: Hello) -> None:
        """Record which peer opened a link."""
        if link in self.links:
            self._by_address[link.peer_address] = link
        if link in self.links and peer.data_centre == self.data_centre:
            self.local_links.add(link)
            now_ms = self.runtime.now_ms()
            if self.inbound.admission.speed.differs_much(WorkSpeed(), now_ms):
                link.send_speed(now_ms)
        self.on_peer(peer)

    def remove(self, link: "IncomingLink") -> None:
        """Remove a link that was closed."""
        self.links.discard(link)
        self.local_links.discard(link)
        if self._by_address.get(link.peer_address) is link:
            del self._by_address[link.peer_address]

    def is_linked(self, address: Address) -> bool:
        """Return whether the node at an address has opened a link."""
        return address in self._by_address

    def _write(self, links: "set[IncomingLink]", data: bytes) -> None:
        for link in links:
            link.write(data)

    def broadcast_crashes(self, service: str, updates: list[QuarantineUpdate]) -> None:
        """Send all peers a report of requests in flight at a backend server's crash."""
        self._write(self.links, encode(Kind.CRASHES, service, encode_updates(updates)))


def _urgent_fields(state: State) -> tuple[object, ...]:
    """Return the part of a state whose changes are sent to peers at once.

    The configuration version is left out: it changes at all nodes at about the same
    time, and links would be flooded.
    """
    return (
        state.service,
        state.instance_id,
        state.server_started_ms,
        state.open,
        state.slots,
        state.store_reachable,
        state.stopping,
        state.owns_quotas,
        state.failure_ratio >= URGENT_FAILURE_RATIO,
    )


class IncomingLink(asyncio.Protocol):
    """One link that a peer opened."""

    def __init__(self, incoming_links: IncomingLinks) -> None:
        self.incoming_links = incoming_links
        self.peer: Hello | None = None
        self._decoder = Decoder(INCOMING_LINK_SCHEMAS)
        self._bytes_before_first: int | None = 0
        self._hello_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._has_written_outcome = False
        self._runs: dict[int, Run] = {}
        self._min_delay_ms: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a hello, this node's state, and what it knows of the fleet.

        Roll-outs and the version precede the state, which makes the backend server
        usable.
        """
        self._transport = transport  # type: ignore[assignment]
        incoming_links = self.incoming_links
        incoming_links.links.add(self)
        self._await_hello(self._await_hello_again)
        self.send(Kind.HELLO, *fields_of(incoming_links.hello()))
        now_ms = incoming_links.runtime.now_ms()
        for rollout in incoming_links.inbound.rollouts:
            self.send(Kind.ROLLOUT, *fields_of(rollout.to_update(now_ms)))
        self.send(Kind.SERVER_VERSION, *fields_of(incoming_links.version()))
        self.send(Kind.STATE, *fields_of(incoming_links.state()))
        self.send(Kind.CALLED_ROUTES, *fields_of(incoming_links.called_routes()))
        if incoming_links.store_era():
            self.send(Kind.STORE_ERA, incoming_links.store_era())
        condition = incoming_links.condition()
        if condition is not None:
            self.send(Kind.SERVER_CONDITION, *fields_of(condition))
        crashes = incoming_links.inbound.crashes
        for service, updates in crashes.export(incoming_links.runtime.now_ms()):
            self.send(Kind.CRASHES, service, encode_updates(updates))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the peer's requests."""
        self._cancel_hello_timer()
        self._decoder.close()
        self.incoming_links.remove(self)
        for stream_id in list(self._runs):
            self._cancel_run(stream_id)

    def _cancel_run(self, stream_id: int, late_ms: float = 0.0) -> None:
        """Cancel a request, unless it has ended.

        ``late_ms``: how long the cancel was delayed.
        """
        run = self._runs.pop(stream_id, None)
        if run is not None:
            try:
                run.cancel(late_ms)
            except Exception as error:
                runtime = self.incoming_links.runtime
                runtime.report_fault("link_in", error, id=run.request.request_id)

    def data_received(self, data: bytes) -> None:
        """Handle messages, except those of requests cancelled in the same read."""
        messages = self._decoder.feed(data)
        self._limit_first_message(data, bool(messages))
        cancelled = {
            stream_id for stream_id, message in messages if isinstance(message, Cancel)
        }
        for stream_id, message in messages:
            if stream_id in cancelled and not isinstance(message, Cancel):
                self._skip(message)
                continue
            try:
                HANDLERS[type(message)](self, stream_id, message)
            except Exception as error:
                self._handle_fault(stream_id, message, error)
        if self._decoder.fault:
            events.log(events.PEER_MALFORMED, cause=self._decoder.fault)
            self.abort()

    def _limit_first_message(self, data: bytes, has_messages: bool) -> None:
        """Reset a link that sends too much before its first message is complete."""
        if self._bytes_before_first is None:
            return
        if has_messages:
            self._bytes_before_first = None
            return
        self._bytes_before_first += len(data)
        if self._bytes_before_first > MAX_FIRST_MESSAGE_BYTES:
            self._end_unidentified("the first message is too long")

    def _await_hello(self, on_timeout: Callable[[], None]) -> None:
        runtime = self.incoming_links.runtime
        self._hello_timer = runtime.call_later(HELLO_TIMEOUT_MS, on_timeout)

    def _await_hello_again(self) -> None:
        """Wait once more: after a pause, the hello may not be read yet."""
        self._await_hello(lambda: self._end_unidentified("no hello came in time"))

    def _end_unidentified(self, cause: str) -> None:
        self._decoder.close()
        events.log(events.PEER_MALFORMED, cause=cause)
        self.abort()

    def _cancel_hello_timer(self) -> None:
        if self._hello_timer is not None:
            self._hello_timer.cancel()

    def _skip(self, message: Message) -> None:
        """Log a request whose sender has cancelled it before it was read."""
        if isinstance(message, Request):
            late_ms = self._record_delay(message.sent_ms)
            log_cancelled(self.incoming_links.runtime, message, late_ms)

    def _handle_fault(self, stream_id: int, message: Message, error: Exception) -> None:
        """Fail the request whose handling failed; the others continue.

        The run is cancelled rather than failed, so that the internal error doesn't
        count against the backend server. A sender that has an outcome ignores this one.
        """
        run = self._runs.get(stream_id)
        request = message if run is None else run.request
        request_id = request.request_id if isinstance(request, Request) else b""
        self.incoming_links.runtime.report_fault("link_in", error, id=request_id)
        self._cancel_run(stream_id)
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

    def send_speed(self, now_ms: float) -> None:
        """Tell how long work takes at the backend server, if the peer knows that."""
        if self.feature_level >= TEAM_FEATURE_LEVEL:
            speed = self.incoming_links.inbound.admission.speed
            message = ServerSpeed(speed.stated, speed.age_ms(now_ms))
            self.send(Kind.SERVER_SPEED, *fields_of(message))

    def has_hung_up(self) -> bool:
        """Whether the peer has closed the link, read or not."""
        return has_hung_up(self._transport)

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self not in self.incoming_links.links

    @property
    def feature_level(self) -> int:
        """Feature level of the peer; 0 until its hello."""
        return 0 if self.peer is None else self.peer.feature_level

    @property
    def peer_address(self) -> Address:
        """Address at which the peer accepts links; empty until its hello."""
        if self.peer is None:
            return "", 0
        host, port = self.peer.peer_address
        return host, port

    @property
    def body_sender(self) -> BodySender:
        """Sender of long bodies, which all links of the node share."""
        return self.incoming_links.body_sender

    @property
    def takes_answer_parts(self) -> bool:
        """Whether the peer takes parts of a body ahead of their answer."""
        return self.feature_level >= ANSWER_PARTS_FEATURE_LEVEL

    def is_awaited(self, stream_id: int) -> bool:
        """Whether the peer still waits for the outcome of a request."""
        return stream_id in self._runs

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in the send buffer."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def has_unsent_outcome(self) -> bool:
        """Whether an outcome waits for the link, or in the send buffer.

        That is, whether the buffer has not been empty since the last outcome. State
        messages alone don't count: for an unreachable peer they would delay the
        shutdown.
        """
        if any(run.done for run in self._runs.values()):
            return True
        transport = self._transport
        if transport is None or not transport.get_write_buffer_size():
            self._has_written_outcome = False
        return self._has_written_outcome

    def end_stream(self, stream_id: int) -> None:
        """Remove a request whose outcome was written."""
        self._has_written_outcome = True
        self._runs.pop(stream_id, None)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _on_request(self, stream_id: int, request: Request) -> None:
        late_ms = self._record_delay(request.sent_ms)
        if late_ms > LATE_AFTER_MS:
            request = attrs.evolve(
                request,
                remaining_ms=request.remaining_ms - late_ms,
                objective_ms=request.objective_ms - late_ms,
            )
        receiver = OutcomeForwarder(self, stream_id)
        run = self.incoming_links.inbound.submit(
            request,
            receiver,
            late_ms,
            self.feature_level >= CONFIRM_AGAIN_FEATURE_LEVEL,
        )
        if not run.done:
            self._runs[stream_id] = run

    def _on_ping(self, _: int, ping: Ping) -> None:
        self._record_delay(ping.sent_ms)
        self.write(PONG)

    def _on_hello(self, _: int, hello: Hello) -> None:
        self._cancel_hello_timer()
        self.peer = hello
        self.incoming_links.identify(self, hello)

    def _on_configuration_query(self, _: int, query: ConfigurationQuery) -> None:
        self.incoming_links.on_query(self, query)

    def _on_condition(self, _: int, condition: ServerCondition) -> None:
        self.incoming_links.inbound.apply_peer_condition(condition)

    def _on_usage(self, _: int, usage: QuotaUsage) -> None:
        self.incoming_links.on_usage(self.peer_address, usage)

    def _on_handover(self, _: int, handover: QuotaHandover) -> None:
        self.incoming_links.on_handover(handover)

    def _on_proceed(self, stream_id: int, _: Proceed) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.proceed()

    def _on_cancel(self, stream_id: int, cancel: Cancel) -> None:
        late_ms = self._record_delay(cancel.sent_ms) if cancel.sent_ms else 0.0
        self._cancel_run(stream_id, late_ms)

    def _on_withdraw(self, stream_id: int, _: Withdraw) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.withdraw()

    def _on_credit(self, stream_id: int, credit: Credit) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.add_credit(credit.size)

    def _on_body(self, stream_id: int, body: Body) -> None:
        run = self._runs.get(stream_id)
        if run is not None:
            run.add_body(body.data, body.whole)

    def _record_delay(self, sent_ms: float) -> float:
        """Record a message's delay; return its excess over the link's minimum."""
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
    ServerCondition: IncomingLink._on_condition,
    QuotaUsage: IncomingLink._on_usage,
    QuotaHandover: IncomingLink._on_handover,
}
"""Handlers by message type."""
