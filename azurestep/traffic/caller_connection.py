"""A caller's connection, as far as a stop must know it."""

from aiohttp.web_protocol import RequestHandler


def has_pipelined_request(connection: RequestHandler) -> bool:
    """Return whether a request was read behind the one that is being answered.

    An answer that closes the connection would drop it.
    """
    return bool(connection._messages)


def has_unsent_bytes(connection: RequestHandler) -> bool:
    """Return whether bytes of an answer wait for the caller to take them."""
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0
