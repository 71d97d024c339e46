"""Records by which nodes find one another through the store."""

import ipaddress
from typing import Annotated

import attrs
import msgspec

from ..errors import MessageMalformedError

FORMAT = 1
"""Version of these records; those of another version name no node to this one."""
MAX_PORT = 65_535


@attrs.frozen(slots=True)
class _Member:
    format: int
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


_MEMBER = msgspec.json.Decoder(_Member)


def write_member(port: int) -> bytes:
    """Return the record of a node that takes links at a port.

    Examples
    --------
    >>> read_member("10.1.0.4", write_member(7102))
    ('10.1.0.4', 7102)
    """
    return msgspec.json.encode(_Member(FORMAT, port))


def read_member(host: str, content: bytes) -> tuple[str, int]:
    """Return the address of a node.

    Parameters
    ----------
    host : str
        Key of the record: the node's IP address.
    content : bytes
        The record.

    Raises
    ------
    MessageMalformedError
        If another writer made the record, or a node of another version.
    """
    try:
        ipaddress.ip_address(host)
        fields = _MEMBER.decode(content)
    except (ValueError, RecursionError) as error:
        raise MessageMalformedError(
            f"the record of node {host[:80]!r} can't be read: {error}",
            "Find out who wrote it; the other nodes are used",
        ) from error
    if fields.format != FORMAT:
        raise MessageMalformedError(
            f"the record of node {host!r} has format {fields.format}",
            "Run one version of the program",
        )
    return host, fields.port
