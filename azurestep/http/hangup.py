"""Whether the other end of a connection has closed it, even behind unread bytes.

An event loop reports a close only after the bytes before it, in a later iteration.
"""

import select

HANGUP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_hung_up(descriptor: int) -> bool:
    """Return whether a socket was closed or reset by its other end.

    Examples
    --------
    >>> import socket
    >>> near, far = socket.socketpair()
    >>> has_hung_up(near.fileno())
    False
    >>> far.send(b"unread"), far.close()
    (6, None)
    >>> has_hung_up(near.fileno())
    True
    >>> near.close()
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return any(events & HANGUP for _, events in poller.poll(0))
