"""The body of a caller's request: buffered while short, streamed when long."""

import attrs

from ..backend.run import FLOW_WINDOW_BYTES

MAX_BUFFERED_BODY_BYTES = 524_288
"""Bodies up to this size are buffered, so that a refused request can be sent to
another backend server; longer ones are streamed."""
LARGE_BODY_BYTES = 16_384
"""Bodies above this size are sent only once the request has a slot.

Uploads of 60 KB that were refused or abandoned were else sent again elsewhere, until
probes waited on links of 10 Mbit/s for over 650 ms and nodes lost one another.
"""


@attrs.define(slots=True, eq=False, repr=False)
class BodyPieces:
    """A body that is sent in the pieces that the other end asks for.

    Examples
    --------
    >>> pieces = BodyPieces(b"abcde")
    >>> pieces.take(3), pieces.take(3), pieces.take(3)
    ((b'abc', False), (b'de', True), (b'', True))
    """

    _content: bytes
    _sent_bytes: int = 0

    def take(self, size_bytes: int) -> tuple[bytes, bool]:
        """Return the next bytes, and whether the body ends with them."""
        end = self._sent_bytes + size_bytes
        data = self._content[self._sent_bytes : end]
        self._sent_bytes += len(data)
        return data, self._sent_bytes >= len(self._content)


@attrs.define(slots=True, eq=False, repr=False)
class RequestBody:
    """The part of a body that was read so far.

    Attributes
    ----------
    size_bytes : int
        Bytes that were buffered.
    whole : bool
        Whether the body was read to its end.
    streamed : bool
        Whether it is passed on as it is read, so that it can't be sent again.
    """

    size_bytes: int = 0
    whole: bool = False
    streamed: bool = False
    _parts: list[bytes] = attrs.field(factory=list)
    _unacknowledged_bytes: int = 0

    def append(self, data: bytes) -> None:
        """Buffer a piece of the body."""
        self._parts.append(data)
        self.size_bytes += len(data)

    def content(self) -> bytes:
        """Return the buffered bytes."""
        return b"".join(self._parts)

    def clear(self) -> None:
        """Free the buffer."""
        self._parts = []

    @property
    def is_deferred(self) -> bool:
        """Whether the body is sent only once the request has a slot."""
        return self.size_bytes > LARGE_BODY_BYTES and not self.streamed

    def record_sent(self, data: bytes) -> bool:
        """Count bytes that were sent; return whether the flow window is full."""
        self._unacknowledged_bytes += len(data)
        return self._unacknowledged_bytes > FLOW_WINDOW_BYTES

    def record_acknowledged(self, size_bytes: int) -> bool:
        """Count bytes that were received; return whether the window has room again."""
        self._unacknowledged_bytes -= size_bytes
        return self._unacknowledged_bytes <= FLOW_WINDOW_BYTES
