"""Compact form of log records on their way between nodes.

Ownership records are alike, so a batch of them shrinks to a fraction.
"""

import zlib
from collections.abc import Sequence

import msgpack

from ..errors import MessageMalformedError
from .messages import RelayedRecord

MAX_UNPACKED_BYTES = 16 * 1024 * 1024


def pack_records(records: Sequence[RelayedRecord]) -> bytes:
    """Return records in compressed form; empty for none."""
    if not records:
        return b""
    plain = [(record.offset, record.payload) for record in records]
    return zlib.compress(msgpack.packb(plain))


def unpack_records(packed: bytes) -> list[RelayedRecord]:
    """Return the records of a compressed form.

    Raises
    ------
    MessageMalformedError
        If it can't be unpacked within ``MAX_UNPACKED_BYTES``.

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
            raise ValueError("too large or cut")
        return [
            RelayedRecord(offset, payload) for offset, payload in msgpack.unpackb(raw)
        ]
    except Exception as error:
        raise MessageMalformedError(
            f"records from a peer can't be unpacked: {error}",
            "Check that all nodes run programs of neighbouring versions",
        ) from error
