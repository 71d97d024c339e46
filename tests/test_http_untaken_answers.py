"""A caller that takes no answers: what its connection holds stays bounded."""

from collections.abc import Iterator

import pytest

from azurestep.http.memory_budget import CONNECTION_BYTES
from azurestep.http.server import MAX_PIPELINED_REQUESTS, ServerConnection
from azurestep.http.taking import EndedConnection, EndReason
from azurestep.http.unparsed import REQUEST_COST_BYTES, SLICE_BYTES, TURN_BYTES

from .test_http_request_limits import (
    ClockLoop,
    Listener,
    RecordingTransport,
    head_of,
    run_with_clock,
)

READ = head_of([], first="GET /r HTTP/1.1")
IN_A_SLICE = SLICE_BYTES // len(READ) + 1


@pytest.fixture
def listener() -> Iterator[Listener]:
    yield from run_with_clock(ClockLoop())


@pytest.fixture
def ended(listener: Listener) -> list[EndedConnection]:
    found: list[EndedConnection] = []
    listener.state.on_end = found.append
    return found


def run_iterations(listener: Listener) -> None:
    """Let the event loop call what was scheduled, often."""
    for _ in range(1000):
        listener.state.turns.begin_iteration()


def test_answers_wait_while_the_write_buffer_is_full(listener: Listener) -> None:
    """Guards against answers that count as done once they are in a write buffer."""
    listener.answers = False
    listener.receive(READ * 3)
    for number, exchange in enumerate(listener.exchanges):
        exchange.answer(200, [], b"answer-%d" % number)
        listener.connection.pause_writing()
    assert b"answer-0" in listener.transport.written
    assert b"answer-1" not in listener.transport.written
    assert len(listener.connection.exchanges) == 2
    listener.connection.resume_writing()
    assert listener.transport.written.endswith(b"answer-2")
    assert not listener.connection.exchanges


def test_requests_wait_while_the_write_buffer_is_full(listener: Listener) -> None:
    """Guards against requests that are read though no answer is taken."""
    listener.receive(READ)
    listener.connection.pause_writing()
    listener.receive(READ * 10)
    assert len(listener.bodies) == 1
    assert not listener.transport.reads
    listener.connection.resume_writing()
    run_iterations(listener)
    assert len(listener.bodies) == 11
    assert listener.transport.reads


@pytest.mark.parametrize("requests", [200, 4000])
def test_one_read_does_not_exceed_the_pipeline(
    listener: Listener, requests: int
) -> None:
    """Guards against a read that is parsed whole, whatever is pending."""
    listener.answers = False
    listener.receive(READ * requests)
    run_iterations(listener)
    pending = listener.connection.exchanges
    assert len(pending) < MAX_PIPELINED_REQUESTS + IN_A_SLICE
    answered = 0
    while pending:
        pending[0].answer(200, [], b"")
        answered += 1
        run_iterations(listener)
    assert answered == requests


def test_many_requests_of_one_read_let_another_caller_pass(
    listener: Listener,
) -> None:
    """Guards against one iteration of the event loop that parses a crowd's reads."""
    listener.receive(READ * 4000)
    assert len(listener.bodies) < TURN_BYTES // REQUEST_COST_BYTES + IN_A_SLICE
    other = ServerConnection(listener.state)
    transport = RecordingTransport()
    other.connection_made(transport)
    other.data_received(READ)
    assert transport.written.startswith(b"HTTP/1.1 200 ")
    run_iterations(listener)
    assert len(listener.bodies) == 4001
    assert listener.transport.reads


def test_large_heads_of_one_read_share_an_iteration(listener: Listener) -> None:
    """Guards against iterations so long that connections wait to be accepted."""
    large = head_of(["a: b"] * 250, first="GET /r HTTP/1.1")
    listener.receive(large * 100)
    assert len(listener.bodies) * len(large) < TURN_BYTES + SLICE_BYTES
    run_iterations(listener)
    assert len(listener.bodies) == 100


def test_bytes_that_wait_go_with_their_caller(listener: Listener) -> None:
    """Guards against requests that begin after their caller has left."""
    listener.answers = False
    listener.receive(READ * 4000)
    seen = len(listener.exchanges)
    listener.connection.connection_lost(None)
    run_iterations(listener)
    assert len(listener.exchanges) == seen
    assert listener.connection.held_bytes < CONNECTION_BYTES + 1000
    assert not listener.state.budget.total_bytes


@pytest.mark.parametrize("closing", [False, True])
def test_a_caller_that_takes_nothing_is_reset(
    listener: Listener, ended: list[EndedConnection], closing: bool
) -> None:
    """Guards against unread answers without a bound in time."""
    listener.receive(READ)
    if closing:
        listener.connection.eof_received()
    listener.transport.unsent_bytes = 1_000_000
    listener.wait(14.5)
    assert not ended
    listener.wait(1.5)
    assert ended[0].reason is EndReason.UNTAKEN
    assert ended[0].held_bytes == CONNECTION_BYTES + 1_000_000
    assert listener.transport.closed
