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


@attrs.define(eq=False, repr=False)
class UnpackerPool:
    """Lends unpackers, and keeps one that was returned.

    Examples
    --------
    >>> pool = UnpackerPool()
    >>> unpacker = pool.borrow()
    >>> pool.give_back(unpacker)
    >>> pool.borrow() is unpacker
    True
    """

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
            max_buffer_size=MAX_MESSAGE_BYTES,
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
    _received: int = 0
    """Position in the unpacker's stream behind all bytes that were received."""
    _held_bytes: int = 0

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
        read = -1
        if unpacker is None:
            unpacker = self.pool.borrow()
            read = self._received = unpacker.tell()
            self._held_bytes = 0
        self._received += len(data)
        self._held_bytes += len(data)
        unpacker.feed(data)
        for row in unpacker:
            read = unpacker.tell()
            yield row
        if read < self._received:
            self._unpacker = unpacker
        elif self._held_bytes <= MAX_SPARE_BUFFER_BYTES:
            self.pool.give_back(unpacker)
