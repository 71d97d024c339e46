"""Deterministic bodies that every instance of a service serves alike."""

import functools
import random

import xxhash

BLOCK_BYTES = 65_521
CACHED_BLOCKS = 64


@functools.lru_cache(maxsize=CACHED_BLOCKS)
def _block(name: str) -> bytes:
    return random.Random(name).randbytes(BLOCK_BYTES)


def body_slice(name: str, start: int, stop: int) -> bytes:
    """Return bytes `start` to `stop` of the endless body of a name.

    The block that repeats has a prime length, so that a body resumed at a
    wrong place differs from the right one.

    Examples
    --------
    >>> whole = body_slice("songs", 0, 200_000)
    >>> whole[70_000:140_000] == body_slice("songs", 70_000, 140_000)
    True
    """
    block = _block(name)
    first = start // BLOCK_BYTES
    repeats = (stop - 1) // BLOCK_BYTES - first + 1
    skipped = first * BLOCK_BYTES
    return (block * max(0, repeats))[start - skipped : stop - skipped]


def entity_tag(name: str, size_bytes: int) -> str:
    """Return the strong entity tag of a body, with its quotes."""
    return f'"{xxhash.xxh64_hexdigest(f"{name}:{size_bytes}".encode())}"'
