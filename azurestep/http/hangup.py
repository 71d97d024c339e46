"""Whether the other end of a connection has closed it, even behind unread bytes.

An event loop reports a close only after the bytes before it, in a later iteration.
"""

import asyncio
import select

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
