"""Encoding of log lines, which never fails and is bounded in size."""

import orjson

MAX_LINE_BYTES = 16_384
MAX_REDUCED_CHARACTERS = 500
"""Characters of each field of a line that can't be written as it is."""


def encode_line(line: dict[str, object]) -> bytes:
    r"""Return a line as JSON.

    If a field can't be encoded, or the line is longer than ``MAX_LINE_BYTES``, its
    fields are reduced to short texts.

    Examples
    --------
    >>> encode_line({"event": 9010, "status": 1 << 64})
    b'{"event":9010,"status":"18446744073709551616"}\n'
    """
    try:
        encoded = orjson.dumps(line, default=str) + b"\n"
    except Exception:
        encoded = b""
    if not 0 < len(encoded) <= MAX_LINE_BYTES:
        reduced = {name: _reduce(value) for name, value in line.items()}
        encoded = orjson.dumps(reduced) + b"\n"
    return encoded


def _reduce(value: object) -> object:
    if isinstance(value, float | bool) or value is None:
        return value
    if isinstance(value, int) and value.bit_length() < 64:
        return value
    try:
        text = value if isinstance(value, str) else repr(value)
    except Exception:
        text = f"<{type(value).__name__}>"
    # Lone surrogates can't be encoded.
    short = text[:MAX_REDUCED_CHARACTERS].encode("utf-8", "backslashreplace")
    return short.decode()
