"""Records in the store by which nodes discover one another."""

import ipaddress
from typing import Annotated

import attrs
import msgspec

from ..errors import MessageMalformedError
from ..values import Value

FORMAT = 1
"""Version of the record format; records of other versions are rejected."""
MAX_PORT = 65_535


@attrs.frozen(slots=True, eq=False, repr=False)
class _Member(Value):
    format: int
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


_MEMBER_DECODER = msgspec.json.Decoder(_Member)


def write_member(port: int) -> bytes:
    """Return the record of a node that accepts links at a port.

    Examples
    --------
    >>> read_member("10.1.0.4", write_member(7102))
    ('10.1.0.4', 7102)
    """
    return msgspec.json.encode(_Member(FORMAT, port))


def read_member(host: str, content: bytes) -> tuple[str, int]:
    """Parse the record of a node and return its address.

    Parameters
    ----------
    host : str
        Key of the record, the node's IP address.
    content : bytes
        The record.

    Raises
    ------
    MessageMalformedError
        If the record is malformed or of another version.
    """
    try:
        ipaddress.ip_address(host)
        fields = _MEMBER_DECODER.decode(content)
    except (ValueError, RecursionError) as error:
        raise MessageMalformedError(
            f"the record of node {host[:80]!r} can't be read: {error}",
            "Find and fix the process that writes this record",
        ) from error
    if fields.format != FORMAT:
        raise MessageMalformedError(
            f"the record of node {host!r} has format {fields.format}",
            "Run the same version of the program on all nodes",
        )
    return host, fields.port
