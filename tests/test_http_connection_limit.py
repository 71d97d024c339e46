"""Connections of callers up to their limit: the longest idle one gives way."""

from collections.abc import Iterator

import attrs
import pytest

from azurestep.http.server import ServerConnection
from azurestep.http.taking import EndReason

from .test_http_request_limits import (
    ClockLoop,
    Listener,
    RecordingTransport,
    head_of,
    run_with_clock,
)

READ = head_of([], first="GET /r HTTP/1.1")
LIMIT = 4


@attrs.define(eq=False)
class Crowd:
    """Callers of one listener that is asked by no other."""

    listener: Listener
    reasons: list[EndReason] = attrs.field(factory=list)
    callers: list[tuple[ServerConnection, RecordingTransport]] = attrs.field(
        factory=list
    )

    def __attrs_post_init__(self) -> None:
        state = self.listener.state
        state.on_end = lambda ended: self.reasons.append(ended.reason)
        state.max_connections = LIMIT
        state.remove(self.listener.connection)

    def connect(self, callers: int = 1) -> None:
        for _ in range(callers):
            self.listener.loop.now_s += 1.0
            connection = ServerConnection(self.listener.state)
            transport = RecordingTransport()
            connection.connection_made(transport)
            self.callers.append((connection, transport))

    def send(self, caller: int, data: bytes = READ) -> None:
        self.callers[caller][0].data_received(data)

    @property
    def closed(self) -> list[int]:
        """Numbers of the callers whose connections were closed."""
        return [
            number
            for number, (_, transport) in enumerate(self.callers)
            if transport.closed
        ]


@pytest.fixture
def crowd() -> Iterator[Crowd]:
    for listener in run_with_clock(ClockLoop()):
        yield Crowd(listener)


def test_the_longest_idle_connection_gives_way(crowd: Crowd) -> None:
    """Guards against idle callers that keep others out."""
    crowd.connect(LIMIT)
    crowd.send(0)
    assert not crowd.closed
    crowd.connect()
    assert crowd.closed == [1]
    crowd.send(2)
    crowd.connect(3)
    assert crowd.closed == [0, 1, 3, 4]
    assert set(crowd.reasons) == {EndReason.DESCRIPTORS}
    assert len(crowd.listener.state.connections) == LIMIT


def test_a_connection_with_a_pending_request_does_not_give_way(crowd: Crowd) -> None:
    """Guards against requests that are lost to new connections."""
    crowd.listener.answers = False
    crowd.connect(LIMIT)
    for caller in range(LIMIT):
        crowd.send(caller)
    crowd.connect()
    assert crowd.closed == [LIMIT]
    crowd.listener.exchanges[2].answer(200, [], b"")
    crowd.connect()
    assert crowd.closed == [2, LIMIT]


def test_a_connection_with_an_unsent_answer_does_not_give_way(crowd: Crowd) -> None:
    """Guards against answers that are cut since their caller takes them slowly."""
    crowd.connect(LIMIT)
    crowd.send(0)
    crowd.callers[1][1].unsent_bytes = 1000
    crowd.connect()
    assert crowd.closed == [2]


def test_a_closed_connection_makes_room(crowd: Crowd) -> None:
    """Guards against a count of connections that closed long ago."""
    crowd.connect(LIMIT)
    crowd.callers[3][0].connection_lost(None)
    crowd.connect()
    assert not crowd.closed
