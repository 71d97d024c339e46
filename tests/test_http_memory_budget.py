"""What all callers' connections hold together, replayed without a network."""

from collections.abc import Iterator

import attrs
import pytest

from azurestep.http.exchange import Exchange
from azurestep.http.memory_budget import (
    CONNECTION_BYTES,
    MAX_BODY_BYTES,
    MemoryBudget,
    body_cost,
)
from azurestep.http.server import ServerConnection
from azurestep.http.taking import EndedConnection, EndReason

from .test_http_request_limits import (
    ClockLoop,
    Collector,
    Listener,
    RecordingTransport,
    head_of,
    run_with_clock,
)

CROWD = 150
PIPELINED = 64
BUDGET_BYTES = 10_000_000
ORDINARY = head_of([], first="GET /r HTTP/1.1")
LARGE_HEAD = head_of(["a: b"] * 300, first="GET /r HTTP/1.1")
UPLOAD = head_of(["Content-Length: 200000"]) + b"b" * 199_999


@attrs.define(eq=False)
class Pending(Collector):
    """Leaves its request unanswered; it may be refused unless it was passed on."""

    passed_on: bool = False

    def on_end(self) -> None:
        """Wait."""

    def refuse(self) -> bool:
        if not self.passed_on:
            self.exchange.answer(503, [(b"Retry-After", b"1")], b"")
        return not self.passed_on


@attrs.define(eq=False)
class Node:
    """Connections that share a budget."""

    listener: Listener
    passes_on: bool = False
    ended: list[EndedConnection] = attrs.field(factory=list)
    peak_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        state = self.listener.state
        state.on_end = self.ended.append
        state.budget.limit_bytes = BUDGET_BYTES
        state.handler = self.handle

    def handle(self, exchange: Exchange) -> None:
        exchange.sink = Pending(self.listener, exchange, passed_on=self.passes_on)

    def connect(self) -> tuple[ServerConnection, RecordingTransport]:
        connection, transport = ServerConnection(self.listener.state), ResetTransport()
        transport.connection = connection
        connection.connection_made(transport)
        return connection, transport

    def iterate(self, iterations: int = 20) -> None:
        """Let the event loop call what was scheduled."""
        state = self.listener.state
        for _ in range(iterations):
            self.peak_bytes = max(self.peak_bytes, state.budget.total_bytes)
            state.relieve()
            state.turns.begin_iteration()

    @property
    def total_bytes(self) -> int:
        return self.listener.state.budget.total_bytes


class ResetTransport(RecordingTransport):
    """Reports the end of its connection when it is reset."""

    connection: ServerConnection

    def abort(self) -> None:
        super().abort()
        self.connection.connection_lost(None)


@pytest.fixture
def node() -> Iterator[Node]:
    for listener in run_with_clock(ClockLoop()):
        yield Node(listener)


@pytest.mark.parametrize("content", [LARGE_HEAD * PIPELINED, LARGE_HEAD[:-2], UPLOAD])
@pytest.mark.parametrize("passes_on", [False, True])
def test_a_crowd_inside_all_limits_stays_within_the_budget(
    node: Node, content: bytes, passes_on: bool
) -> None:
    """Guards against limits of one connection whose sum has no bound."""
    node.passes_on = passes_on
    ordinary, transport = node.connect()
    ordinary.data_received(ORDINARY)
    for _ in range(CROWD):
        connection, _ = node.connect()
        connection.data_received(content)
        node.iterate(1)
    node.iterate()
    assert node.peak_bytes < 1.2 * BUDGET_BYTES
    assert node.total_bytes <= BUDGET_BYTES
    assert {one.reason for one in node.ended} == {EndReason.MEMORY}
    assert not transport.closed
    assert len(ordinary.exchanges) == 1


def test_a_request_that_was_not_passed_on_is_refused(node: Node) -> None:
    """Guards against resets of requests that can be said not to have run."""
    found = [node.connect() for _ in range(CROWD)]
    for connection, _ in found:
        connection.data_received(UPLOAD)
    node.iterate()
    refused = [one for _, one in found if one.written]
    assert refused
    assert len(refused) == len(node.ended)
    for transport in refused:
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in transport.written
        assert transport.closed


def test_a_request_that_was_passed_on_is_reset(node: Node) -> None:
    """Guards against a refusal of a request that may have run."""
    node.passes_on = True
    found = [node.connect() for _ in range(CROWD)]
    for connection, _ in found:
        connection.data_received(UPLOAD)
    node.iterate()
    assert node.ended
    assert not any(transport.written for _, transport in found)


def test_a_crowded_node_reads_one_request_of_each_connection(node: Node) -> None:
    """Guards against connections that are ended where waiting is enough."""
    node.passes_on = True
    filling, _ = node.connect()
    node.listener.state.budget.update(filling, int(0.6 * BUDGET_BYTES))
    connection, transport = node.connect()
    connection.data_received(ORDINARY * 40)
    assert len(connection.exchanges) < PIPELINED // 2
    assert not transport.reads
    node.listener.state.budget.update(filling, 0)
    answered = 0
    while connection.exchanges:
        connection.exchanges[0].answer(200, [], b"")
        answered += 1
        node.iterate(1)
    assert answered == 40
    assert transport.reads
    assert not node.ended


def test_a_connection_gives_back_what_it_held(node: Node) -> None:
    """Guards against a sum that grows with connections that have left."""
    connection, _ = node.connect()
    connection.data_received(UPLOAD)
    assert node.total_bytes > body_cost(199_999)
    connection.data_received(b"b")
    connection.exchanges[0].answer(200, [], b"")
    assert node.total_bytes == CONNECTION_BYTES
    connection.connection_lost(None)
    assert node.total_bytes == 0


def test_a_streamed_body_counts_what_is_held_at_most() -> None:
    """Guards against long uploads that end though they hold little."""
    assert body_cost(60_000_000) == body_cost(MAX_BODY_BYTES)


def test_those_that_hold_most_give_way() -> None:
    """Guards against ordinary callers that give way to a crowd."""
    budget: MemoryBudget[int] = MemoryBudget(limit_bytes=1_000_000)
    for caller in range(500):
        budget.update(caller, 100 if caller % 2 else 10_000)
    chosen = budget.choose()
    assert chosen
    assert all(caller % 2 == 0 for caller in chosen)
    for caller in chosen:
        budget.remove(caller)
    assert budget.total_bytes <= 700_000
    assert not budget.choose()
