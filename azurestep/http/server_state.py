"""State that all connections of a listener share, and what they report."""

import asyncio
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import attrs

from ..routing.model import Limits
from ..values import Value
from .connection_limit import choose_to_close
from .exchange import Handler, answer_error
from .memory_budget import MemoryBudget
from .taking import EndedConnection, EndReason
from .unparsed import ParsingTurns


class ListenerConnection(Protocol):
    """A connection as its listener sees it."""

    @property
    def busy(self) -> bool:
        """Whether an answer is pending or the write buffer has unsent bytes."""

    def check_timeouts(self, now_s: float) -> None:
        """Enforce the idle timeout and the timeout of request heads."""

    def abort_if_untaken(self, now_s: float) -> None:
        """Reset the connection if its caller has long taken nothing of its answers."""

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a time in which the node did not read."""

    def abort_if_abandoned(self) -> None:
        """Reset a connection from which nothing is read, if its caller has left."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is pending or being read."""

    def end(self, reason: EndReason) -> None:
        """Reset the connection, for the sake of the node."""

    def give_way(self) -> None:
        """Refuse a request that was not passed on, else reset the connection."""

    def abort(self) -> None:
        """Reset the connection."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Rejection(Value):
    """A request that was answered with an error while it was read.

    Attributes
    ----------
    status : HTTPStatus
        Status of the answer.
    head_bytes, body_bytes : int
        What was counted for the limits of heads and bodies.
    read_bytes : int
        Size of the last read of the connection.
    requests : int
        Requests whose first byte was read on the connection, including this one.
    pending : int
        Requests on the connection that are not answered yet, including this one.
    """

    status: HTTPStatus
    head_bytes: int
    body_bytes: int
    read_bytes: int
    requests: int
    pending: int


@attrs.define(eq=False, repr=False)
class ServerState:
    """Shared state of all connections of a listener.

    Attributes
    ----------
    handler : Handler
        Called after the head of a request was read; it sets the exchange's sink.
    limits : Limits
        Size limits and timeouts of requests.
    request_timeout_ms : float
        Time from the first byte of a request to its last; infinite where the handler
        has deadlines of its own.
    on_fault : Callable
        Called with an internal error and a flag: True if it affects one request, False
        if the connection is reset.
    answer_fault : Handler
        Answers a request after an internal error.
    draining : bool
        Whether connections close after their pending answers.
    on_reject : Callable
        Called with each request that is rejected while it is read.
    on_end : Callable
        Called with each connection that is reset for the sake of the node.
    paused : set of ListenerConnection
        Those of ``connections`` from which nothing is read for now, so that the event
        loop doesn't report a close.
    waiting : dict of ListenerConnection
        Those of ``connections`` without a pending request, as keys, the longest idle
        one first.
    max_connections : float
        Connections that may be open at once.
    budget : MemoryBudget
        What all connections hold.
    turns : ParsingTurns
        Shares the event loop between connections that have read many requests.
    """

    handler: Handler
    on_fault: Callable[[BaseException, bool], None]
    answer_fault: Handler = answer_error
    limits: Limits = Limits()
    request_timeout_ms: float = math.inf
    draining: bool = False
    on_reject: Callable[[Rejection], None] = lambda rejection: None
    on_end: Callable[[EndedConnection], None] = lambda ended: None
    connections: set[ListenerConnection] = attrs.field(factory=set)
    paused: set[ListenerConnection] = attrs.field(factory=set)
    waiting: dict[ListenerConnection, None] = attrs.field(factory=dict)
    max_connections: float = math.inf
    budget: MemoryBudget[ListenerConnection] = attrs.field(factory=MemoryBudget)
    _relief_is_due: bool = False
    turns: ParsingTurns = attrs.field(factory=ParsingTurns)

    def add(self, connection: ListenerConnection) -> None:
        """Register a connection; at the limit, it or an idle one is reset."""
        self.connections.add(connection)
        self.waiting[connection] = None
        if len(self.connections) > self.max_connections:
            closed = choose_to_close(self.waiting, connection)
            self.waiting.pop(closed)
            closed.end(EndReason.DESCRIPTORS)
            # Its descriptor is closed before its end is reported.
            self.connections.discard(closed)

    def remove(self, connection: ListenerConnection) -> None:
        """Remove a connection that was closed."""
        self.connections.discard(connection)
        self.paused.discard(connection)
        self.waiting.pop(connection, None)
        self.budget.remove(connection)

    def schedule_relief(self) -> None:
        """Let connections give way in the next iteration of the event loop."""
        if not self._relief_is_due:
            self._relief_is_due = True
            asyncio.get_running_loop().call_soon(self.relieve)

    def relieve(self) -> None:
        """Let those connections give way that hold most, if all hold too much."""
        self._relief_is_due = False
        for connection in self.budget.choose():
            self.budget.remove(connection)
            connection.give_way()

    def mark_idle(self, connection: ListenerConnection) -> None:
        """Record that a connection has no pending request from now on."""
        if connection in self.connections:
            self.waiting.pop(connection, None)
            self.waiting[connection] = None

    def sweep(self, now_s: float) -> None:
        """Enforce the timeouts of all connections."""
        for connection in list(self.connections):
            connection.check_timeouts(now_s)
            connection.abort_if_untaken(now_s)

    def abort_abandoned(self) -> None:
        """Reset connections from which nothing is read and whose callers have left."""
        for connection in list(self.paused):
            connection.abort_if_abandoned()

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this node from the timeouts of callers."""
        for connection in self.connections:
            connection.exclude_pause(pause_s)

    @property
    def busy(self) -> bool:
        """Whether any connection has a pending answer or unsent bytes."""
        return any(connection.busy for connection in self.connections)
