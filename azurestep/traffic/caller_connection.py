"""State of a caller's connection that a graceful shutdown depends on."""

from aiohttp.web_protocol import RequestHandler


def has_pipelined_request(connection: RequestHandler) -> bool:
    """Return whether another request follows the one that is being answered.

    If the answer closed the connection, that request would be lost.
    """
    return bool(connection._messages)


def has_unsent_bytes(connection: RequestHandler) -> bool:
    """Return whether bytes of an answer are still in the write buffer."""
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0
