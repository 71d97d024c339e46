"""Bodies are sent at the pace of the sender's link, in their order."""

from random import Random

import attrs
import pytest

from azurestep.mesh.decisions.body_pacing import BODY_SHARE, BodyPacer
from azurestep.mesh.decisions.transfers import PIECE_BYTES, WINDOW_MS
from azurestep.mesh.links.body_sender import BodySender

from .fixtures_inbound import ManualLoop, ManualRuntime

RATE_BYTES_PER_MS = 437.5


@attrs.define(eq=False)
class RecordingStream:
    """A request that records when pieces of its body were written."""

    loop: ManualLoop
    pieces: list[tuple[float, bytes, bool]] = attrs.field(factory=list)
    is_open: bool = True

    def write_body(self, data: bytes, whole: bool) -> None:
        self.pieces.append((self.loop.now_ms, data, whole))

    @property
    def body(self) -> bytes:
        return b"".join(data for _, data, _ in self.pieces)


@pytest.fixture
def loop() -> ManualLoop:
    return ManualLoop()


@pytest.fixture
def sender(loop: ManualLoop) -> BodySender:
    """Return the sender of a node behind a link of 3.5 Mbit/s."""
    return BodySender(ManualRuntime(loop), BodyPacer(RATE_BYTES_PER_MS))  # type: ignore[arg-type]


def pass_time(loop: ManualLoop, duration_ms: float) -> None:
    end_ms = loop.now_ms + duration_ms
    while loop.now_ms < end_ms:
        loop.now_ms += 1.0
        loop.fire_timers()
        loop.run_due()


@pytest.mark.parametrize("seed", range(20))
def test_bodies_arrive_whole_and_never_fill_the_link(
    loop: ManualLoop, sender: BodySender, seed: int
) -> None:
    random = Random(seed)
    streams, sent = [], []
    for _ in range(random.randint(1, 12)):
        stream = RecordingStream(loop)
        data = random.randbytes(random.choice([0, 1, PIECE_BYTES, 60_000, 300_000]))
        sender.send(stream, data, True)
        streams.append(stream)
        sent.append(data)
        pass_time(loop, random.choice([0.0, 5.0, 80.0]))
    pass_time(loop, 12_000.0)
    assert [stream.body for stream in streams] == sent
    assert all([whole for _, _, whole in one.pieces][-1] for one in streams)
    assert all(sum(whole for _, _, whole in one.pieces) == 1 for one in streams)
    written = sorted(
        (at_ms, len(data)) for one in streams for at_ms, data, _ in one.pieces
    )
    window_bytes = RATE_BYTES_PER_MS * WINDOW_MS + PIECE_BYTES
    for first, (begin_ms, _) in enumerate(written):
        size_bytes = 0
        for at_ms, piece_bytes in written[first:]:
            size_bytes += piece_bytes
            carried_bytes = (at_ms - begin_ms) * RATE_BYTES_PER_MS * BODY_SHARE
            assert size_bytes <= window_bytes + carried_bytes + RATE_BYTES_PER_MS


def test_pieces_of_a_request_that_ended_are_not_sent(
    loop: ManualLoop, sender: BodySender
) -> None:
    ended, other = RecordingStream(loop), RecordingStream(loop)
    sender.send(ended, bytes(400_000), True)
    sender.send(other, b"body", True)
    ended.is_open = False
    written = len(ended.pieces)
    pass_time(loop, 30.0)
    assert len(ended.pieces) == written
    assert other.body == b"body"


def test_a_link_without_a_known_rate_gets_bodies_at_once(loop: ManualLoop) -> None:
    sender = BodySender(ManualRuntime(loop))  # type: ignore[arg-type]
    stream = RecordingStream(loop)
    sender.send(stream, bytes(4_000_000), True)
    assert [(len(data), whole) for _, data, whole in stream.pieces] == [
        (4_000_000, True)
    ]
