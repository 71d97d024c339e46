"""Fingerprints that identify repeated requests."""

import xxhash

BODY_PREFIX_BYTES = 4096
SEPARATOR = b"\0"


def fingerprint(method: str, route: str, target: str, body_prefix: bytes) -> int:
    """Return a 64-bit fingerprint of a request.

    Parameters
    ----------
    method : str
        HTTP method.
    route : str
        Name of the matched route.
    target : str
        Path and query.
    body_prefix : bytes
        Start of the body; bytes from ``BODY_PREFIX_BYTES`` on are ignored.

    Examples
    --------
    >>> one = fingerprint("GET", "songs", "/songs?q=a", b"")
    >>> one == fingerprint("GET", "songs", "/songs?q=b", b"")
    False
    """
    head = "\0".join((method, route, target)).encode("utf-8", "surrogateescape")
    return xxhash.xxh3_64_intdigest(head + SEPARATOR + body_prefix[:BODY_PREFIX_BYTES])
