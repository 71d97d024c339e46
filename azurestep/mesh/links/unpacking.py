"""Unpacking of received bytes into rows, with unpackers that links share.

An unpacker takes 40 KB, most of it for nested values. One for each link would be most
of the memory that a link costs, and hardly ever hold a byte between two reads.
"""

from collections.abc import Iterator
from typing import Any

import attrs
import msgpack

from ..messages import MAX_MESSAGE_BYTES

INITIAL_BUFFER_BYTES = 8192
"""Initial size of an unpacker's buffer; the library's default is 1 MiB."""
MAX_SPARE_BUFFER_BYTES = 65_536
"""An unpacker that held more bytes than this is not reused, as its buffer never
shrinks."""
MAX_ARRAY_ITEMS = 1_000_000
"""Longest array that is decoded. The library allocates an array as soon as its
length is read: at its own limit, five bytes claim 800 MB."""

MAX_HELD_BYTES = MAX_MESSAGE_BYTES + 16 * 1024 * 1024
"""Bytes of incomplete rows that all links may hold together: one of the largest rows,
and many usual ones. Beyond it, links that hold more than ``SHORT_ROW_BYTES`` fail."""
SHORT_ROW_BYTES = 262_144

UNLIMITED = 0
"""The library's limit is one of all bytes that it holds, also those of further rows;
``RowReader`` limits each row."""


@attrs.define(eq=False, repr=False)
class UnpackerPool:
    """Lends unpackers, and keeps one that was returned.

    Attributes
    ----------
    max_message_bytes : int
        Size of the largest row that is unpacked.
    held_bytes : int
        Bytes of incomplete rows that all links hold.

    Examples
    --------
    >>> pool = UnpackerPool()
    >>> unpacker = pool.borrow()
    >>> pool.give_back(unpacker)
    >>> pool.borrow() is unpacker
    True
    """

    max_message_bytes: int = MAX_MESSAGE_BYTES
    held_bytes: int = 0
    _spare: msgpack.Unpacker | None = None

    def borrow(self) -> msgpack.Unpacker:
        """Return an unpacker that holds no bytes."""
        unpacker, self._spare = self._spare, None
        if unpacker is not None:
            return unpacker
        return msgpack.Unpacker(
            raw=False,
            use_list=False,
            read_size=INITIAL_BUFFER_BYTES,
            max_buffer_size=UNLIMITED,
            max_str_len=self.max_message_bytes,
            max_bin_len=self.max_message_bytes,
            max_array_len=MAX_ARRAY_ITEMS,
        )

    def give_back(self, unpacker: msgpack.Unpacker) -> None:
        """Keep an unpacker that holds no bytes for the next borrower."""
        self._spare = unpacker


POOL = UnpackerPool()
"""Unpackers of all links of the process."""


@attrs.define(eq=False, repr=False)
class RowReader:
    r"""Splits received bytes into rows; holds an unpacker only within a row.

    Attributes
    ----------
    pool : UnpackerPool
        Where the unpacker comes from.
    holds_unpacker : bool
        Whether the bytes of an incomplete row are held.

    Examples
    --------
    >>> reader = RowReader()
    >>> list(reader.feed(b"\x91")), reader.holds_unpacker
    ([], True)
    >>> list(reader.feed(b"\x07\x90")), reader.holds_unpacker
    ([(7,), ()], False)
    """

    pool: UnpackerPool = POOL
    _unpacker: msgpack.Unpacker | None = None
    _row_began: int = 0
    """Position in the unpacker's stream of the first row that is not complete."""
    _received: int = 0
    """Position behind all bytes that were received."""
    _held_bytes: int = 0
    _incomplete_bytes: int = 0

    @property
    def holds_unpacker(self) -> bool:
        """Whether the bytes of an incomplete row are held."""
        return self._unpacker is not None

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the rows that these bytes complete.

        Raises
        ------
        ValueError, msgpack.UnpackException
            If the bytes can't be unpacked. The rows before them were yielded; nothing
            may be fed afterwards.
        """
        unpacker, self._unpacker = self._unpacker, None
        if unpacker is None:
            unpacker = self.pool.borrow()
            self._row_began = self._received = unpacker.tell()
            self._held_bytes = 0
        self._received += len(data)
        self._held_bytes += len(data)
        unpacker.feed(data)
        for row in unpacker:
            end = unpacker.tell()
            self._check_size(end)
            self._row_began = end
            yield row
        self._record_incomplete(self._received - self._row_began)
        if self._incomplete_bytes:
            self._check_size(self._received)
            self._check_sum()
            self._unpacker = unpacker
        elif self._held_bytes <= MAX_SPARE_BUFFER_BYTES:
            self.pool.give_back(unpacker)

    def close(self) -> None:
        """Drop the bytes of an incomplete row."""
        self._unpacker = None
        self._record_incomplete(0)

    def _record_incomplete(self, size_bytes: int) -> None:
        self.pool.held_bytes += size_bytes - self._incomplete_bytes
        self._incomplete_bytes = size_bytes

    def _check_sum(self) -> None:
        """Raise ValueError if all links hold too much, and this one not little."""
        is_long = self._incomplete_bytes > SHORT_ROW_BYTES
        if is_long and self.pool.held_bytes > MAX_HELD_BYTES:
            raise ValueError(f"links hold more than {MAX_HELD_BYTES} bytes of messages")

    def _check_size(self, end: int) -> None:
        """Raise ValueError if a row that reaches to a position is too large."""
        limit_bytes = self.pool.max_message_bytes
        if end - self._row_began > limit_bytes:
            raise ValueError(f"a message has more than {limit_bytes} bytes")
