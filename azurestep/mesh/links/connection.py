"""One connection that this node opened to a peer: requests out, outcomes in."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from ...http.hangup import reset
from .. import events
from ..link_messages import (
    AnswerData,
    AnswerPart,
    BodyBacklog,
    CalledRoutes,
    ConfigurationDelta,
    ConfigurationUpdate,
    CrashReport,
    Credit,
    Pong,
    QuotaGrant,
    QuotaHandover,
    QuotaUsage,
    RolloutUpdate,
    ServerCondition,
    ServerSpeed,
    ServerVersion,
    SlotReady,
    StoreContact,
    StoreEraUpdate,
    TrialCounts,
    VersionNotice,
)
from ..messages import (
    DELTA_FEATURE_LEVEL,
    HANDOVER_FEATURE_LEVEL,
    PIECES_FEATURE_LEVEL,
    REQUEST_FIELDS_AT_LEVEL_0,
    TEAM_FEATURE_LEVEL,
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
from .body_sender import BodySender
from .decoding import NO_STREAM, PEER_CONNECTION_SCHEMAS, Decoder
from .interfaces import CallReceiver, FleetListener

BUSY_PROBE_INTERVAL_MS = 90.0
"""Longest time without a message on a link with requests in flight; then the peer is
probed."""
UNRESPONSIVE_AFTER_MS = 200.0
"""Time without an answer to a probe after which a peer gets no new requests.

An answer takes some 3 ms; a node that gets its processor in tenths of a second may take
100 ms.
"""


class ConnectionOwner(Protocol):
    """The link that a connection belongs to."""

    runtime: Runtime
    body_sender: BodySender
    connection: "PeerConnection | None"
    condition: ServerCondition | None
    due_ms: float

    @property
    def fleet_listener(self) -> FleetListener:
        """Receiver of configurations and crash reports."""

    def on_hello(self, connection: "PeerConnection", hello: Hello) -> None:
        """Handle the peer's hello."""

    def on_state(self, connection: "PeerConnection", state: State) -> None:
        """Handle the peer's state."""

    def on_version(self, connection: "PeerConnection", version: ServerVersion) -> None:
        """Handle the software version of the peer's backend server."""

    def on_called_routes(
        self, connection: "PeerConnection", routes: CalledRoutes
    ) -> None:
        """Handle the routes on which services call the peer's backend server."""

    def on_backlog(self, connection: "PeerConnection", backlog: BodyBacklog) -> None:
        """Handle how long a body would wait for the peer's link."""

    def on_speed(self, connection: "PeerConnection", speed: ServerSpeed) -> None:
        """Handle how long work takes at the peer's backend server."""

    def on_trial_counts(
        self, connection: "PeerConnection", counts: TrialCounts
    ) -> None:
        """Handle the runs of the peer's backend server during a roll-out."""

    def on_condition(
        self, connection: "PeerConnection", condition: ServerCondition
    ) -> None:
        """Handle what the peer's backend server said about itself."""

    def on_quota_grant(self, connection: "PeerConnection", grant: QuotaGrant) -> None:
        """Handle what the peer, as a quota owner, lets this node admit."""

    def on_notice(self, connection: "PeerConnection", notice: VersionNotice) -> None:
        """Handle the version that is in force at the peer."""

    def on_configuration(
        self,
        connection: "PeerConnection",
        update: ConfigurationUpdate | ConfigurationDelta,
    ) -> None:
        """Handle a configuration of the peer."""

    def on_connection_lost(self, connection: "PeerConnection") -> None:
        """Handle the end of the connection."""


@attrs.define(eq=False, repr=False)
class RemoteStream:
    """One request on a link, identified by its stream id.

    Attributes
    ----------
    reroutable : bool
        Whether it may be retried when the peer is unresponsive, though it may have run.
    confirmed : bool
        Whether the peer may run it: it needs no confirmation or was confirmed.
    answer_parts : list of bytes
        Parts of the answer's body that came ahead of it.
    """

    connection: "PeerConnection"
    stream_id: int
    receiver: CallReceiver
    reroutable: bool
    confirmed: bool
    request_id: bytes = b""
    answer_parts: list[bytes] = attrs.field(factory=list)

    def add_body(self, data: bytes, whole: bool) -> None:
        """Send more of the body, at the pace of the link."""
        self.connection.link.body_sender.send(self, data, whole)

    def write_body(self, data: bytes, whole: bool) -> None:
        """Write a piece of the body to the link."""
        self.connection.send(Kind.BODY, self.stream_id, data, whole)

    @property
    def is_open(self) -> bool:
        """Whether the request still waits for its outcome."""
        return self.stream_id in self.connection.streams

    def cancel(self) -> None:
        """Cancel the request."""
        if self.connection.streams.pop(self.stream_id, None) is not None:
            self.connection.send_cancel(self.stream_id)
            self.connection.close_if_done()

    @property
    def takes_pieces(self) -> bool:
        """Whether the peer asks for a body piece by piece."""
        return self.connection.feature_level >= PIECES_FEATURE_LEVEL

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, or may still run."""
        return self.confirmed

    def withdraw(self) -> None:
        """Cancel the request; the peer reports whether it may have run."""
        self.connection.send(Kind.WITHDRAW, self.stream_id)

    def add_credit(self, size: int) -> None:
        """Allow the peer to send more of the answer."""
        self.connection.send(Kind.CREDIT, self.stream_id, size)

    def replace_receiver(self, receiver: CallReceiver) -> None:
        """Send the outcome to another receiver."""
        self.receiver = receiver


class PeerConnection(asyncio.Protocol):
    """One TCP connection of a link."""

    def __init__(self, link: ConnectionOwner) -> None:
        self.link = link
        self.streams: dict[int, RemoteStream] = {}
        self.last_received_ms = link.runtime.now_ms()
        self.last_probe_ms = self.last_received_ms
        self.feature_level = 0
        self._decoder = Decoder(PEER_CONNECTION_SCHEMAS)
        self._transport: asyncio.Transport | None = None
        self._last_stream_id = 0
        self._unresponsive = False
        self._retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a hello, what is known of the peer's backend server, and a probe."""
        self._transport = transport  # type: ignore[assignment]
        self.link.connection = self
        self.send(Kind.HELLO, *fields_of(self.link.fleet_listener.hello()))
        if self.link.condition is not None:
            self.send(Kind.SERVER_CONDITION, *fields_of(self.link.condition))
        self.ping()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the requests in flight; those that were confirmed may have run."""
        self._decoder.close()
        self.link.runtime.run_guarded("link_out", self.link.on_connection_lost, self)
        self._fail_streams()

    def data_received(self, data: bytes) -> None:
        """Decode messages and handle them."""
        self.last_received_ms = self.link.runtime.now_ms()
        if self._unresponsive:
            self._unresponsive = False
            self.link.due_ms = 0.0
        for stream_id, message in self._decoder.feed(data):
            stream = None
            if stream_id != NO_STREAM:
                stream = self.streams.get(stream_id)
                if stream is None:
                    continue
            try:
                HANDLERS[type(message)](self, stream, message)
            except Exception as error:
                self._handle_fault(stream, error)
        self.close_if_done()
        if self._decoder.fault:
            events.log(events.PEER_MALFORMED, cause=self._decoder.fault)
            self.abort()

    def _handle_fault(self, stream: RemoteStream | None, error: Exception) -> None:
        """Cancel the request whose handling failed; the others continue."""
        runtime = self.link.runtime
        request_id = b"" if stream is None else stream.request_id
        runtime.report_fault("link_out", error, id=request_id)
        if stream is not None:
            stream.cancel()
            runtime.run_guarded("call", stream.receiver.on_fault)

    def open_stream(self, request: Request, receiver: CallReceiver) -> RemoteStream:
        """Send a request."""
        self._last_stream_id += 1
        stream = RemoteStream(
            self,
            self._last_stream_id,
            receiver,
            reroutable=request.idempotent and not request.needs_confirmation,
            confirmed=not request.needs_confirmation,
            request_id=request.request_id,
        )
        self.streams[self._last_stream_id] = stream
        fields = fields_of(request)
        if self.feature_level < PIECES_FEATURE_LEVEL:
            fields = fields[:REQUEST_FIELDS_AT_LEVEL_0]
        elif not request.team or self.feature_level < TEAM_FEATURE_LEVEL:
            fields.pop()
        self.send(Kind.REQUEST, self._last_stream_id, *fields)
        self._probe_if_idle()
        self._limit_due(self.last_received_ms + BUSY_PROBE_INTERVAL_MS)
        return stream

    def request_configuration(self, known_version: int) -> None:
        """Ask for a configuration that is newer than a version."""
        if self.feature_level < DELTA_FEATURE_LEVEL:
            self.send(Kind.CONFIGURATION_QUERY)
        else:
            self.send(Kind.CONFIGURATION_QUERY, known_version)
        self._probe_if_idle()

    def send_usage(self, usage: QuotaUsage) -> None:
        """Report requests of teams; the peer answers, so this is also a probe."""
        self.send(Kind.QUOTA_USAGE, *fields_of(usage))
        if self.probe_answered:
            self.last_probe_ms = self.link.runtime.now_ms()
            self._limit_due(self.last_probe_ms + UNRESPONSIVE_AFTER_MS)

    def send_handover(self, handover: QuotaHandover) -> bool:
        """Hand accounts of quotas over, if the peer takes them; return whether."""
        takes_over = self.feature_level >= HANDOVER_FEATURE_LEVEL
        if takes_over:
            self.send(Kind.QUOTA_HANDOVER, *fields_of(handover))
        return takes_over

    def _probe_if_idle(self) -> None:
        """Probe along with a request if the link was idle, as it may be broken."""
        age_ms = self.link.runtime.now_ms() - self.last_received_ms
        if self.probe_answered and age_ms > BUSY_PROBE_INTERVAL_MS:
            self.ping()

    @property
    def probe_answered(self) -> bool:
        """Whether anything was received since the last probe."""
        return self.last_received_ms >= self.last_probe_ms

    def mark_unresponsive(self) -> None:
        """Let all requests in flight be retried elsewhere."""
        self._unresponsive = True
        for stream in list(self.streams.values()):
            self._notify_unresponsive(stream)

    def _notify_unresponsive(self, stream: RemoteStream) -> None:
        self._notify(stream, stream.receiver.on_unresponsive, stream.confirmed)

    def _notify(
        self, stream: RemoteStream, notify: Callable[[Any], None], event: object
    ) -> None:
        """Notify one receiver; an error there doesn't affect the others."""
        try:
            notify(event)
        except Exception as error:
            self._handle_fault(stream, error)

    def send(self, kind: Kind, *fields: object) -> None:
        """Send a message."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode(kind, *fields))

    def send_cancel(self, stream_id: int) -> None:
        """Cancel a request, and tell when, if the peer knows that."""
        if self.feature_level < PIECES_FEATURE_LEVEL:
            self.send(Kind.CANCEL, stream_id)
        else:
            self.send(Kind.CANCEL, stream_id, self.link.runtime.now_ms())

    def ping(self) -> None:
        """Send a probe."""
        self.last_probe_ms = self.link.runtime.now_ms()
        self.send(Kind.PING, self.last_probe_ms)
        self._limit_due(self.last_probe_ms + UNRESPONSIVE_AFTER_MS)

    def _limit_due(self, due_ms: float) -> None:
        """Let the link tick at a time at the latest."""
        self.link.due_ms = min(self.link.due_ms, due_ms)

    def abort(self) -> None:
        """Reset the connection, so that unsent bytes are dropped."""
        if self._transport is not None:
            reset(self._transport)

    def retire(self) -> None:
        """Take the connection out of use; close it once nothing waits for an answer.

        Requests that have not run are refused. The others keep waiting unless they can
        be retried elsewhere: the peer may be alive behind a congested link.
        """
        for stream_id, stream in list(self.streams.items()):
            if stream.confirmed and stream.reroutable:
                self._notify_unresponsive(stream)
            elif not stream.confirmed:
                self.send_cancel(stream_id)
                self._fail(stream_id, stream)
        self._retired = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close a retired connection once no request waits on it."""
        if self._retired and not self.streams:
            self.abort()

    def _fail_streams(self) -> None:
        for stream_id, stream in list(self.streams.items()):
            self._fail(stream_id, stream)

    def _fail(self, stream_id: int, stream: RemoteStream) -> None:
        if self.streams.pop(stream_id, None) is None:
            return
        receiver, reason = stream.receiver, int(Reason.LINK_LOST)
        if stream.confirmed:
            self._notify(stream, receiver.on_failure, Failure(reason, 0))
        else:
            self._notify(stream, receiver.on_refusal, Refusal(reason, 0, 0.0))

    def _on_state(self, _: None, state: State) -> None:
        self.link.on_state(self, state)

    def _on_condition(self, _: None, condition: ServerCondition) -> None:
        self.link.on_condition(self, condition)

    def _on_hello(self, _: None, hello: Hello) -> None:
        self.feature_level = hello.feature_level
        self.link.on_hello(self, hello)

    def _on_pong(self, _: None, pong: Pong) -> None:
        """Ignore; any received message answers the probe."""

    def _on_configuration(
        self, _: None, update: ConfigurationUpdate | ConfigurationDelta
    ) -> None:
        self.link.on_configuration(self, update)

    def _on_notice(self, _: None, notice: VersionNotice) -> None:
        self.link.on_notice(self, notice)

    def _on_store_era(self, _: None, update: StoreEraUpdate) -> None:
        self.link.fleet_listener.on_store_era(update.era)

    def _on_store_contact(self, _: None, contact: StoreContact) -> None:
        self.link.fleet_listener.on_store_contact(contact.version)

    def _on_version(self, _: None, version: ServerVersion) -> None:
        self.link.on_version(self, version)

    def _on_rollout(self, _: None, update: RolloutUpdate) -> None:
        self.link.fleet_listener.on_rollout(update)

    def _on_called_routes(self, _: None, routes: CalledRoutes) -> None:
        self.link.on_called_routes(self, routes)

    def _on_backlog(self, _: None, backlog: BodyBacklog) -> None:
        self.link.on_backlog(self, backlog)

    def _on_speed(self, _: None, speed: ServerSpeed) -> None:
        self.link.on_speed(self, speed)

    def _on_trial_counts(self, _: None, counts: TrialCounts) -> None:
        self.link.on_trial_counts(self, counts)

    def _on_quota_grant(self, _: None, grant: QuotaGrant) -> None:
        self.link.on_quota_grant(self, grant)

    def _on_crashes(self, _: None, report: CrashReport) -> None:
        self.link.fleet_listener.on_crashes(report.service, report.updates)

    def _on_answer_part(self, stream: RemoteStream, part: AnswerPart) -> None:
        stream.answer_parts.append(part.data)

    def _on_answer(self, stream: RemoteStream, answer: Answer) -> None:
        if stream.answer_parts:
            body = b"".join([*stream.answer_parts, answer.body])
            stream.answer_parts.clear()
            answer = attrs.evolve(answer, body=body)
        if answer.whole:
            self.streams.pop(stream.stream_id, None)
        stream.receiver.on_answer(answer)

    def _on_answer_data(self, stream: RemoteStream, message: AnswerData) -> None:
        if message.whole:
            self.streams.pop(stream.stream_id, None)
        stream.receiver.on_answer_data(message.data, message.whole)

    def _on_refusal(self, stream: RemoteStream, refusal: Refusal) -> None:
        self.streams.pop(stream.stream_id, None)
        stream.receiver.on_refusal(refusal)

    def _on_failure(self, stream: RemoteStream, failure: Failure) -> None:
        self.streams.pop(stream.stream_id, None)
        stream.receiver.on_failure(failure)

    def _on_slot_ready(self, stream: RemoteStream, _: SlotReady) -> None:
        if not stream.receiver.is_wanted():
            stream.cancel()
            return
        stream.confirmed = True
        self.send(Kind.PROCEED, stream.stream_id)
        stream.receiver.on_slot_ready()

    def _on_credit(self, stream: RemoteStream, credit: Credit) -> None:
        stream.receiver.on_credit(credit.size)


HANDLERS: dict[type, Callable[[PeerConnection, Any, Any], None]] = {
    State: PeerConnection._on_state,
    Hello: PeerConnection._on_hello,
    Pong: PeerConnection._on_pong,
    ConfigurationUpdate: PeerConnection._on_configuration,
    ConfigurationDelta: PeerConnection._on_configuration,
    VersionNotice: PeerConnection._on_notice,
    CrashReport: PeerConnection._on_crashes,
    Answer: PeerConnection._on_answer,
    AnswerData: PeerConnection._on_answer_data,
    AnswerPart: PeerConnection._on_answer_part,
    Refusal: PeerConnection._on_refusal,
    Failure: PeerConnection._on_failure,
    SlotReady: PeerConnection._on_slot_ready,
    Credit: PeerConnection._on_credit,
    ServerCondition: PeerConnection._on_condition,
    StoreEraUpdate: PeerConnection._on_store_era,
    StoreContact: PeerConnection._on_store_contact,
    ServerVersion: PeerConnection._on_version,
    RolloutUpdate: PeerConnection._on_rollout,
    TrialCounts: PeerConnection._on_trial_counts,
    BodyBacklog: PeerConnection._on_backlog,
    CalledRoutes: PeerConnection._on_called_routes,
    QuotaGrant: PeerConnection._on_quota_grant,
    ServerSpeed: PeerConnection._on_speed,
}
"""Handlers by message type."""
