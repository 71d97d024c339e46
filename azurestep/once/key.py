"""Idempotency keys: UUIDs of version 7.

The 48-bit timestamp of a key selects its ownership interval, and its last byte
selects its slot.
"""

import random
import uuid

import attrs
from returns.result import Failure, Result, Success

KEY_VERSION = 7
LAST_BYTE_VALUES = 256
TIME_SHIFT_BITS = 80
TIME_MASK = (1 << 48) - 1
VERSION_BITS = KEY_VERSION << 76
VARIANT_BITS = 0b10 << 62
RANDOM_A_BITS = 12
RANDOM_B_BITS = 54


@attrs.frozen
class IdempotencyKey:
    """A parsed key.

    Attributes
    ----------
    text : str
        Canonical text of the UUID.
    time_ms : int
        Creation time in milliseconds since the epoch, by the caller's clock.
    last_byte : int
        Last byte of the UUID, 0 to 255.
    """

    text: str
    time_ms: int
    last_byte: int

    def slot(self, slot_count: int) -> int:
        """Return the slot of the key; ``slot_count`` is a power of two."""
        return self.last_byte & (slot_count - 1)


def parse_key(text: str) -> Result[IdempotencyKey, str]:
    """Parse the value of an ``Idempotency-Key`` header.

    Returns
    -------
    Result
        The key, or the problem as text.

    Examples
    --------
    >>> parse_key("0190163D-8694-739B-AEA5-966C26F8AD91").unwrap().time_ms
    1718360049300
    >>> parse_key("order-17").failure()
    'the key is not a UUID'
    """
    try:
        value = uuid.UUID(text.strip().strip('"'))
    except ValueError:
        return Failure("the key is not a UUID")
    if value.variant != uuid.RFC_4122 or value.version != KEY_VERSION:
        return Failure("the key is not a UUID of version 7")
    return Success(_key_of(value))


def generate_key(now_ms: int, last_byte: int, source: random.Random) -> IdempotencyKey:
    """Generate a key with a given time and last byte, random otherwise."""
    value = (now_ms & TIME_MASK) << TIME_SHIFT_BITS
    value |= VERSION_BITS | VARIANT_BITS
    value |= source.getrandbits(RANDOM_A_BITS) << 64
    value |= source.getrandbits(RANDOM_B_BITS) << 8
    value |= last_byte
    return _key_of(uuid.UUID(int=value))


def is_slot_count(slot_count: int) -> bool:
    """Return whether a number of slots is valid: a power of two up to 256."""
    in_range = 0 < slot_count <= LAST_BYTE_VALUES
    return in_range and slot_count & (slot_count - 1) == 0


def _key_of(value: uuid.UUID) -> IdempotencyKey:
    return IdempotencyKey(
        text=str(value),
        time_ms=value.int >> TIME_SHIFT_BITS,
        last_byte=value.int & (LAST_BYTE_VALUES - 1),
    )
