"""Frames that wait until the connection to their peer is up.

Performs no I/O. A frame that expires here was never sent.
"""

from collections import deque
from collections.abc import Callable, Iterator

import attrs

from ..settings import Address

FRAMES_PER_PEER = 64
MAX_WAIT_MS = 1000

OnDrop = Callable[[], None]


@attrs.frozen
class WaitingFrame:
    """A frame, when it was queued, and a callback for when it is dropped."""

    frame: bytes
    since_ms: float
    on_drop: OnDrop | None = None


class WaitingFrames:
    """Queued frames by peer, in order of arrival."""

    def __init__(self) -> None:
        self._frames: dict[Address, deque[WaitingFrame]] = {}

    def __len__(self) -> int:
        return sum(len(frames) for frames in self._frames.values())

    def has(self, to: Address) -> bool:
        """Whether frames for a peer wait; later ones must queue behind them."""
        return to in self._frames

    def add(
        self, to: Address, frame: bytes, now_ms: float, on_drop: OnDrop | None = None
    ) -> bool:
        """Queue a frame; return whether there was room."""
        frames = self._frames.setdefault(to, deque())
        if len(frames) >= FRAMES_PER_PEER:
            return False
        frames.append(WaitingFrame(frame, now_ms, on_drop))
        return True

    def flush(self, send: Callable[[Address, bytes], bool]) -> None:
        """Send the frames of each peer until ``send`` returns False."""
        for to, frames in list(self._frames.items()):
            while frames and send(to, frames[0].frame):
                frames.popleft()
            if not frames:
                del self._frames[to]

    def expire(self, now_ms: float) -> Iterator[WaitingFrame]:
        """Remove and yield the frames that waited for ``MAX_WAIT_MS`` or longer."""
        for to, frames in list(self._frames.items()):
            while frames and now_ms - frames[0].since_ms >= MAX_WAIT_MS:
                yield frames.popleft()
            if not frames:
                del self._frames[to]
