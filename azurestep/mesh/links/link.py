"""Links that this node opens to its peers, with reconnects."""

import asyncio
import math
from typing import Protocol

import attrs

from ...platform.headers import NO_RATE_LIMIT
from ..decisions.cadence import MIN_IDLE_PROBE_INTERVAL_MS
from ..decisions.choice import Endpoint
from ..incarnation import NO_INCARNATION, Incarnation
from ..link_messages import (
    BodyBacklog,
    CalledRoutes,
    ConfigurationDelta,
    ConfigurationUpdate,
    QuotaGrant,
    QuotaHandover,
    QuotaUsage,
    ServerCondition,
    ServerSpeed,
    ServerVersion,
    TrialCounts,
    VersionNotice,
)
from ..messages import Hello, Request, State
from ..runtime import Runtime
from ..settings import Address
from .body_sender import BodySender
from .connection import (
    BUSY_PROBE_INTERVAL_MS,
    UNRESPONSIVE_AFTER_MS,
    PeerConnection,
)
from .interfaces import CallReceiver, FleetListener, Stream

LOST_AFTER_MS = 650.0
"""Time without an answer to a probe after which a peer is treated as lost.

Leaves room for a peer that runs several times slower for a moment.
"""
DIAL_TIMEOUT_S = 1.0
REDIAL_PAUSES_MS = (50.0, 200.0, 500.0, 1000.0)
"""Pauses before attempts to reconnect; the last one repeats.

A peer that restarts while the store is away is thus found within about a second.
"""


class LinkListener(FleetListener, Protocol):
    """Receiver of events of links."""

    def on_version(self, link: "PeerLink") -> None:
        """Handle a new software version of a peer's backend server."""

    def on_called_routes(self, routes: CalledRoutes) -> None:
        """Handle the routes on which services call a peer's backend server."""

    def on_trial_counts(self, link: "PeerLink", counts: TrialCounts) -> None:
        """Handle the runs of a peer's backend server during a roll-out."""

    def on_quota_grant(self, link: "PeerLink", grant: QuotaGrant) -> None:
        """Handle what a quota owner lets this node admit."""

    def on_notice(self, link: "PeerLink", notice: VersionNotice) -> None:
        """Handle the version that is in force at a peer."""

    def on_configuration(
        self, link: "PeerLink", update: ConfigurationUpdate | ConfigurationDelta
    ) -> None:
        """Handle a configuration that a peer sent."""

    def on_link_up(self, link: "PeerLink", hello: Hello) -> None:
        """Handle a peer that has begun to answer."""

    def on_link_down(self, link: "PeerLink", cause: str) -> None:
        """Handle the loss of a peer."""

    def on_state(self, link: "PeerLink", previous: State | None, state: State) -> None:
        """Handle a state of a peer; ``previous`` is None for its first one."""


@attrs.define(eq=False, repr=False)
class PeerLink:
    """The link to one peer, over successive connections.

    Attributes
    ----------
    body_sender : BodySender
        Sender of request bodies, which all links of the node share.
    up : bool
        Whether the peer answers.
    endpoint : Endpoint
        The backend server beside that peer.
    condition : ServerCondition or None
        What that backend server said about itself, as far as the peer told. Kept while
        the peer is away, since its next process may not know it.
    idle_probe_interval_ms : float
        Longest time without a message while no request is in flight; then the peer is
        probed.
    due_ms : float
        When the link needs its next tick; earlier ticks have no effect.
    """

    runtime: Runtime
    address: Address
    listener: LinkListener
    body_sender: BodySender
    endpoint: Endpoint = attrs.field(init=False)
    connection: PeerConnection | None = None
    up: bool = False
    state: State | None = None
    peer: Hello | None = None
    condition: ServerCondition | None = None
    lost_since_ms: float = 0.0
    idle_probe_interval_ms: float = MIN_IDLE_PROBE_INTERVAL_MS
    due_ms: float = 0.0
    _dialing: bool = False
    _attempts: int = 0
    _next_dial_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.endpoint = Endpoint(self.address, "", NO_INCARNATION, "", open=False)
        self.lost_since_ms = self.runtime.now_ms()

    @property
    def has_failed(self) -> bool:
        """Whether the last attempt to connect has failed."""
        return self._attempts > 0

    @property
    def fleet_listener(self) -> FleetListener:
        """Receiver of configurations and crash reports."""
        return self.listener

    def send(self, request: Request, receiver: CallReceiver) -> Stream | None:
        """Send a request; return None if the peer isn't connected."""
        if self.connection is None or not self.up:
            return None
        return self.connection.open_stream(request, receiver)

    def tick(self, now_ms: float) -> None:
        """Probe the peer, replace a connection that was lost, or reconnect."""
        connection = self.connection
        if connection is None:
            if not self._dialing and now_ms >= self._next_dial_ms:
                self._dialing = True
                self.runtime.spawn(self._dial())
            self.due_ms = math.inf if self._dialing else self._next_dial_ms
            return
        waited_ms = now_ms - connection.last_probe_ms
        answered = connection.probe_answered
        unresponsive = not answered and waited_ms > UNRESPONSIVE_AFTER_MS
        if unresponsive and not self.endpoint.unresponsive:
            self.endpoint.unresponsive = True
            connection.mark_unresponsive()
        self.endpoint.unresponsive = unresponsive
        if not answered and waited_ms > LOST_AFTER_MS:
            self._mark_lost(connection, "silent")
            connection.retire()
        elif not answered:
            bound_ms = LOST_AFTER_MS if unresponsive else UNRESPONSIVE_AFTER_MS
            self.due_ms = connection.last_probe_ms + bound_ms
        else:
            self.due_ms = connection.last_received_ms + (
                BUSY_PROBE_INTERVAL_MS
                if connection.streams
                else self.idle_probe_interval_ms
            )
            if now_ms >= self.due_ms:
                connection.ping()

    def discount_pause(self, pause_ms: float) -> None:
        """Exclude a pause of this node from the peer's time to answer a probe."""
        if self.connection is not None:
            self.connection.last_received_ms += pause_ms
            self.connection.last_probe_ms += pause_ms

    def request_configuration(self, known_version: int) -> None:
        """Ask the peer for a configuration that is newer than a version."""
        if self.connection is not None:
            self.connection.request_configuration(known_version)

    def send_usage(self, usage: QuotaUsage) -> None:
        """Report requests of teams to the peer, if it is connected."""
        if self.connection is not None and self.up:
            self.connection.send_usage(usage)

    def send_handover(self, handover: QuotaHandover) -> bool:
        """Hand accounts of quotas over; return whether the peer takes them."""
        connection = self.connection
        return self.up and connection is not None and connection.send_handover(handover)

    def dial_soon(self) -> None:
        """Reconnect at the next tick."""
        self._attempts = 0
        self._next_dial_ms = 0.0
        if not self._dialing:
            self.due_ms = 0.0

    def close(self) -> None:
        """Close the link."""
        if self.connection is not None:
            self.connection.abort()

    def on_hello(self, connection: PeerConnection, hello: Hello) -> None:
        """Mark the link as up."""
        if connection is not self.connection:
            return
        if self.peer is not None and self.peer.started_ms != hello.started_ms:
            self.state = None
        self.peer = hello
        self._attempts = 0
        if not self.up:
            self.up = True
            self.endpoint.data_centre = hello.data_centre
            self.listener.on_link_up(self, hello)

    def on_state(self, connection: PeerConnection, state: State) -> None:
        """Update the endpoint from the peer's state."""
        if connection is not self.connection:
            return
        previous, self.state = self.state, state
        endpoint = self.endpoint
        incarnation = Incarnation(state.instance_id, state.server_started_ms)
        if not endpoint.incarnation.matches(incarnation):
            endpoint.mean_run_ms.clear()
            endpoint.failed_until_ms = 0.0
            endpoint.limited_until_ms = 0.0
            endpoint.speed.clear()
        endpoint.service = state.service
        endpoint.incarnation = incarnation
        endpoint.open = state.open
        endpoint.slots = state.slots
        endpoint.failure_ratio = state.failure_ratio
        endpoint.cold_until_ms = self.runtime.now_ms() + state.cold_remaining_ms
        endpoint.update_load(state.in_flight, self.runtime.now_ms())
        self._apply_condition()
        self.listener.on_state(self, previous, state)

    def on_version(self, connection: PeerConnection, version: ServerVersion) -> None:
        """Update the version of the endpoint, which precedes its state."""
        endpoint = self.endpoint
        if connection is self.connection and endpoint.version != version.version:
            endpoint.version = version.version
            self.listener.on_version(self)

    def on_called_routes(
        self, connection: PeerConnection, routes: CalledRoutes
    ) -> None:
        """Pass on the routes on which services call the peer's backend server."""
        if connection is self.connection:
            self.listener.on_called_routes(routes)

    def on_backlog(self, connection: PeerConnection, backlog: BodyBacklog) -> None:
        """Update how long a body would wait for the peer's link."""
        if connection is self.connection:
            self.endpoint.bodies.update(backlog.wait_ms, backlog.ms_per_kib)

    def on_speed(self, connection: PeerConnection, speed: ServerSpeed) -> None:
        """Update how long work takes at the peer's backend server."""
        if connection is self.connection:
            stated_ms = self.runtime.now_ms() - speed.age_ms
            self.endpoint.speed.record(speed.work_ratio, stated_ms)

    def on_trial_counts(self, connection: PeerConnection, counts: TrialCounts) -> None:
        """Pass on the runs of the peer's backend server."""
        if connection is self.connection:
            self.listener.on_trial_counts(self, counts)

    def on_quota_grant(self, connection: PeerConnection, grant: QuotaGrant) -> None:
        """Pass on what the peer lets this node admit."""
        if connection is self.connection:
            self.listener.on_quota_grant(self, grant)

    def on_notice(self, connection: PeerConnection, notice: VersionNotice) -> None:
        """Pass on the version that is in force at the peer."""
        if connection is self.connection:
            self.listener.on_notice(self, notice)

    def on_configuration(
        self,
        connection: PeerConnection,
        update: ConfigurationUpdate | ConfigurationDelta,
    ) -> None:
        """Pass on a configuration of the peer, which any connection may bring."""
        self.listener.on_configuration(self, update)

    def on_condition(
        self, connection: PeerConnection, condition: ServerCondition
    ) -> None:
        """Update the endpoint from what its backend server said about itself."""
        if connection is self.connection:
            self.condition = condition
            self._apply_condition()

    def _apply_condition(self) -> None:
        """Apply the condition, unless another incarnation took the server's place."""
        endpoint, condition = self.endpoint, self.condition
        if condition is None:
            return
        if not endpoint.incarnation.matches(condition.incarnation):
            endpoint.rate_limit_per_s = NO_RATE_LIMIT
            return
        if condition.leaving:
            endpoint.open = False
        endpoint.rate_limit_per_s = condition.rate_limit_per_s
        if endpoint.rate_limit_per_s == NO_RATE_LIMIT:
            endpoint.limited_until_ms = 0.0

    def on_connection_lost(self, connection: PeerConnection) -> None:
        """Mark the link as down, unless a newer connection replaced this one."""
        if connection is self.connection:
            self._mark_lost(connection, "closed")

    def _mark_lost(self, connection: PeerConnection, cause: str) -> None:
        self.connection = None
        self.endpoint.open = False
        self._next_dial_ms = self.due_ms = self.runtime.now_ms() + REDIAL_PAUSES_MS[0]
        if self.up:
            self.up = False
            self.lost_since_ms = self.runtime.now_ms()
            self.listener.on_link_down(self, cause)

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await self.runtime.loop.create_connection(
                    lambda: PeerConnection(self), *self.address
                )
        except (OSError, UnicodeError):  # The latter for a host that is no name.
            pause = min(self._attempts, len(REDIAL_PAUSES_MS) - 1)
            self._attempts += 1
            jitter = 0.75 + self.runtime.random.random() / 2
            self._next_dial_ms = (
                self.runtime.now_ms() + REDIAL_PAUSES_MS[pause] * jitter
            )
        finally:
            self._dialing = False
            self.due_ms = 0.0
