"""The body of a caller's request: kept while it is short, passed on when it is long."""

import attrs

from ..backend.run import FLOW_WINDOW_BYTES

BUFFER_BYTES = 524_288
"""Bodies up to this size are read whole before they are sent, so that a request
that was refused can be sent to another backend server; longer ones are streamed."""
LARGE_BODY_BYTES = 16_384
"""Bodies above this size wait for a slot beside the backend server before they are
sent. Sent along with the request, uploads of 60 KB that were refused or doubted were
sent again elsewhere until links of 10 Mbit/s kept probes waiting for over 650 ms and
nodes lost sight of one another."""


@attrs.define(slots=True, eq=False)
class RequestBody:
    """What was read of a body so far.

    Attributes
    ----------
    size_bytes : int
        What was read while it was kept.
    whole : bool
        Whether all of it was read.
    streamed : bool
        Whether it is passed on piece by piece, so that it can't be sent twice.
    """

    size_bytes: int = 0
    whole: bool = False
    streamed: bool = False
    _parts: list[bytes] = attrs.field(factory=list)
    _unacknowledged_bytes: int = 0

    def keep(self, data: bytes) -> None:
        """Keep a piece."""
        self._parts.append(data)
        self.size_bytes += len(data)

    def content(self) -> bytes:
        """Return what was kept."""
        return b"".join(self._parts)

    def drop(self) -> None:
        """Free what was kept."""
        self._parts = []

    @property
    def is_bulk(self) -> bool:
        """Whether it is sent only once there is a slot for the request."""
        return self.size_bytes > LARGE_BODY_BYTES and not self.streamed

    def sent(self, data: bytes) -> bool:
        """Count a piece that was passed on; return whether the window is full."""
        self._unacknowledged_bytes += len(data)
        return self._unacknowledged_bytes > FLOW_WINDOW_BYTES

    def acknowledged(self, size_bytes: int) -> bool:
        """Take in that bytes arrived; return whether the window has room again."""
        self._unacknowledged_bytes -= size_bytes
        return self._unacknowledged_bytes <= FLOW_WINDOW_BYTES
