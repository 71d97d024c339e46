"""Links that this node opens to others, over one connection after the other."""

import asyncio
from typing import Protocol

import attrs

from ..decisions.cadence import MIN_IDLE_PROBE_INTERVAL_MS
from ..decisions.choice import Endpoint
from ..incarnation import NO_INCARNATION, Incarnation
from ..messages import Hello, Kind, Request, State
from ..runtime import Runtime
from ..settings import Address
from .connection import BUSY_PROBE_INTERVAL_MS, PeerConnection
from .interfaces import CallReceiver, FleetListener, Stream

UNRESPONSIVE_AFTER_MS = 200.0
"""Time without an answer to a probe after which a node gets no new requests. An
answer takes some 3 ms; a node that gets its processor in tenths of a second may
take 100 ms."""
LOST_AFTER_MS = 650.0
"""Time without an answer to a probe after which a node counts as lost, with room for
one that runs several times slower for a moment."""
DIAL_TIMEOUT_S = 1.0
REDIAL_PAUSES_MS = (50.0, 200.0, 500.0, 1000.0)
"""Pauses before the next attempts to reach a node; the last one repeats, so that a
node that restarts while the store is away is found within about a second."""


class LinkListener(FleetListener, Protocol):
    """What hears of the nodes at the other ends of links."""

    def on_link_up(self, link: "PeerLink", hello: Hello) -> None:
        """Learn that a node answers."""

    def on_link_down(self, link: "PeerLink", cause: str) -> None:
        """Learn that a node does not answer."""

    def on_state(self, link: "PeerLink", state: State) -> None:
        """Learn a node's state."""


@attrs.define(eq=False)
class PeerLink:
    """The way to one other node, over one connection after the other.

    Attributes
    ----------
    up : bool
        Whether the node answers.
    endpoint : Endpoint
        The backend server beside that node.
    idle_probe_interval_ms : float
        Time between probes while no request is under way.
    """

    runtime: Runtime
    address: Address
    listener: LinkListener
    endpoint: Endpoint = attrs.field(init=False)
    connection: PeerConnection | None = None
    up: bool = False
    state: State | None = None
    peer: Hello | None = None
    lost_since_ms: float = 0.0
    idle_probe_interval_ms: float = MIN_IDLE_PROBE_INTERVAL_MS
    _dialing: bool = False
    _attempts: int = 0
    _next_dial_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.endpoint = Endpoint(self.address, "", NO_INCARNATION, "", open=False)
        self.lost_since_ms = self.runtime.now_ms()

    @property
    def fleet_listener(self) -> FleetListener:
        """What hears of news that concern the whole fleet."""
        return self.listener

    def send(self, request: Request, receiver: CallReceiver) -> Stream | None:
        """Send a request; None if the node can't be reached."""
        if self.connection is None or not self.up:
            return None
        return self.connection.open_stream(request, receiver)

    def tick(self, now_ms: float) -> None:
        """Probe the link, replace a silent connection, dial again."""
        connection = self.connection
        if connection is None:
            if not self._dialing and now_ms >= self._next_dial_ms:
                self._dialing = True
                self.runtime.spawn(self._dial())
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
        elif answered:
            pause_ms = (
                BUSY_PROBE_INTERVAL_MS
                if connection.streams
                else self.idle_probe_interval_ms
            )
            if waited_ms >= pause_ms:
                connection.ping()

    def discount_pause(self, pause_ms: float) -> None:
        """Leave out a pause of this node's own from the silence of the other."""
        if self.connection is not None:
            self.connection.last_received_ms += pause_ms
            self.connection.last_probe_ms += pause_ms

    def request_configuration(self) -> None:
        """Ask the node for the configuration that it holds."""
        if self.connection is not None:
            self.connection.send(Kind.CONFIGURATION_QUERY)

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
            self.listener.on_link_up(self, hello)

    def on_state(self, connection: PeerConnection, state: State) -> None:
        """Take the other node's state."""
        if connection is not self.connection:
            return
        previous, self.state = self.state, state
        endpoint = self.endpoint
        incarnation = Incarnation(state.instance_id, state.server_started_ms)
        if not endpoint.incarnation.matches(incarnation):
            endpoint.mean_run_ms.clear()
            endpoint.failed_until_ms = 0.0
        endpoint.service = state.service
        endpoint.incarnation = incarnation
        endpoint.open = state.open
        endpoint.slots = state.slots
        endpoint.failure_ratio = state.failure_ratio
        endpoint.cold_until_ms = self.runtime.now_ms() + state.cold_remaining_ms
        endpoint.update_load(state.in_flight)
        if previous is None or _reader_criteria(previous) != _reader_criteria(state):
            self.listener.on_state(self, state)

    def on_connection_lost(self, connection: PeerConnection) -> None:
        """Dial again after a lost connection."""
        if connection is self.connection:
            self._mark_lost(connection, "closed")

    def _mark_lost(self, connection: PeerConnection, cause: str) -> None:
        self.connection = None
        self.endpoint.open = False
        self._next_dial_ms = self.runtime.now_ms() + REDIAL_PAUSES_MS[0]
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
        except OSError:
            pause = min(self._attempts, len(REDIAL_PAUSES_MS) - 1)
            self._attempts += 1
            jitter = 0.75 + self.runtime.random.random() / 2
            self._next_dial_ms = (
                self.runtime.now_ms() + REDIAL_PAUSES_MS[pause] * jitter
            )
        finally:
            self._dialing = False


def _reader_criteria(state: State) -> tuple[bool, bool]:
    """Return what decides who reads the configuration."""
    return state.store_reachable, state.stopping
