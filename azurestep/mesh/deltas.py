"""Compression of a configuration against one that the receiver has."""

import zstandard

from .messages import MAX_MESSAGE_BYTES

COMPRESSION_LEVEL = 3
"""Fastest level that finds what two documents of several 100 KB have in common."""
MIN_WINDOW_LOG = 10
MAX_WINDOW_LOG = 27
"""Largest window that a receiver accepts by default; both documents lie in it."""


def encode_delta(base: bytes, content: bytes) -> bytes:
    """Return a configuration compressed against another one, which may be empty.

    Examples
    --------
    >>> base = bytes(range(256)) * 40
    >>> delta = encode_delta(base, base + b"!")
    >>> len(delta) < 50, decode_delta(base, delta) == base + b"!"
    (True, True)
    """
    size_bits = (len(base) + len(content)).bit_length()
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        window_log=min(max(size_bits, MIN_WINDOW_LOG), MAX_WINDOW_LOG),
        write_checksum=True,
    )
    return zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_dictionary(base)
    ).compress(content)


def decode_delta(base: bytes, data: bytes) -> bytes:
    """Return the configuration that ``encode_delta`` compressed against ``base``.

    Raises
    ------
    ValueError
        If the data are malformed or too long, or the base is another document.
    """
    try:
        size_bytes = zstandard.frame_content_size(data)
        if not 0 <= size_bytes <= MAX_MESSAGE_BYTES:
            raise ValueError("the configuration is too long or of unknown length")
        return zstandard.ZstdDecompressor(dict_data=_dictionary(base)).decompress(data)
    except zstandard.ZstdError as error:
        raise ValueError("the configuration can't be decompressed") from error


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
