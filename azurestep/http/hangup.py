"""Closes of connections that don't wait behind unread bytes, as noticed and as sent.

An event loop reports a close only after the bytes before it, in a later iteration. A
close that is sent reaches the other end only after all bytes that it has yet to read.
"""

import asyncio
import contextlib
import select
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)
"""Lets a close drop the unsent bytes and reset the connection."""
HANGUP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_hung_up(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether a connection was closed or reset by its other end, or here."""
    if transport is None or transport.is_closing():
        return True
    return is_socket_closed(transport.get_extra_info("socket").fileno())


def is_socket_closed(descriptor: int) -> bool:
    """Return whether a socket was closed or reset by its other end.

    Examples
    --------
    >>> import socket
    >>> near, far = socket.socketpair()
    >>> is_socket_closed(near.fileno())
    False
    >>> far.send(b"unread"), far.close()
    (6, None)
    >>> is_socket_closed(near.fileno())
    True
    >>> near.close()
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return any(events & HANGUP for _, events in poller.poll(0))


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that its other end notices at once.

    Bytes that it has not read are lost.
    """
    if not transport.is_closing():
        with contextlib.suppress(OSError):
            connection = transport.get_extra_info("socket")
            if connection is not None:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
