"""Compression of batches of ownership stream records that nodes exchange."""

import zlib
from collections.abc import Sequence

import msgpack

from ..errors import MessageMalformedError
from .messages import RelayedRecord

MAX_UNPACKED_BYTES = 16 * 1024 * 1024


def pack_records(records: Sequence[RelayedRecord]) -> bytes:
    """Compress records; return empty bytes if there are none."""
    if not records:
        return b""
    plain = [(record.offset, record.payload) for record in records]
    return zlib.compress(msgpack.packb(plain))


def unpack_records(packed: bytes) -> list[RelayedRecord]:
    """Decompress records.

    Raises
    ------
    MessageMalformedError
        If the data is invalid or exceeds ``MAX_UNPACKED_BYTES``.

    Examples
    --------
    >>> unpack_records(pack_records([RelayedRecord(7, b"{}")]))
    [RelayedRecord(offset=7, payload=b'{}')]
    """
    if not packed:
        return []
    try:
        stream = zlib.decompressobj()
        raw = stream.decompress(packed, MAX_UNPACKED_BYTES)
        if not stream.eof:
            raise ValueError("truncated or too large")
        return [
            RelayedRecord(offset, payload) for offset, payload in msgpack.unpackb(raw)
        ]
    except Exception as error:
        raise MessageMalformedError(
            f"cannot unpack records from a peer: {error}",
            "Check that all nodes run the same or adjacent versions",
        ) from error
