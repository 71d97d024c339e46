"""Bytes that were read from callers before they may be parsed, and turns at parsing.

One read has up to 256 KB, which is thousands of small requests. A connection parses in
slices, and keeps the rest while its requests or answers wait. Load pattern: hundreds of
connections of pipelined requests whose answers are not taken.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

SLICE_BYTES = 1024
"""Bytes that are parsed at once outside a body of known length, so that the number of
requests in them is small."""
CHUNKED_SLICE_BYTES = 4096
"""The same within a chunked body."""
REQUEST_COST_BYTES = 512
"""Bytes of heads that take as long to parse as the handling of a request."""
TURN_BYTES = 65_536
"""Bytes of heads, and of requests by their cost, that are parsed in one iteration of
the event loop, beside the first slice of each read. Long iterations delay new callers,
as each accepts few connections."""


@attrs.define(slots=True, eq=False, repr=False)
class UnparsedBytes:
    """Bytes of one connection that were read and not parsed.

    Examples
    --------
    >>> unparsed = UnparsedBytes()
    >>> unparsed.append(b"abcde")
    >>> unparsed.take(3), unparsed.size_bytes, unparsed.take(3), unparsed.size_bytes
    (b'abc', 2, b'de', 0)
    """

    _data: bytes = b""
    _position: int = 0

    @property
    def size_bytes(self) -> int:
        """Bytes that are kept."""
        return len(self._data) - self._position

    def append(self, data: bytes) -> None:
        """Add bytes behind those that are kept."""
        self._data = self._data[self._position :] + data if self._data else data
        self._position = 0

    def take(self, size_bytes: int) -> bytes:
        """Remove and return the first bytes."""
        if not self._position and size_bytes >= len(self._data):
            data, self._data = self._data, b""
            return data
        data = self._data[self._position : self._position + size_bytes]
        self._position += len(data)
        if self._position >= len(self._data):
            self.clear()
        return data

    def clear(self) -> None:
        """Drop all bytes."""
        self._data = b""
        self._position = 0


@attrs.define(slots=True, eq=False, repr=False)
class ParsingTurns:
    """Shares the parsing of one iteration of the event loop between connections.

    Attributes
    ----------
    left : int
        Bytes that may still be parsed in this iteration.
    """

    left: int = TURN_BYTES
    _waiting: "deque[Callable[[], None]]" = attrs.field(factory=deque)
    _scheduled: bool = False

    def spend(self, requests: int, head_bytes: int) -> None:
        """Count requests and bytes of heads that were parsed."""
        if requests or head_bytes:
            self.left -= requests * REQUEST_COST_BYTES + head_bytes
            self._schedule()

    def wait(self, parse: Callable[[], None]) -> None:
        """Call a function in one of the next iterations, after those that wait."""
        self._waiting.append(parse)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self.begin_iteration)

    def begin_iteration(self) -> None:
        """Let connections that wait continue, as many as have a turn."""
        self._scheduled = False
        self.left = TURN_BYTES
        for _ in range(len(self._waiting)):
            if self.left <= 0:
                break
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()
