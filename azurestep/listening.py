"""Opening a listener, and closing it without resetting what waits at it."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

BACKLOG = 1024
"""Connections that wait at a listener until they are accepted."""


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address and doesn't listen yet.

    An event loop that gets the address instead of a socket resolves it in a thread, and
    imports the tables of international host names that a numeric address doesn't need.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


async def close_listener(
    server: asyncio.Server, factory: Callable[[], asyncio.Protocol]
) -> None:
    """Close a listener, and serve the connections that the kernel took for it.

    Parameters
    ----------
    server : asyncio.Server
        The listener.
    factory : callable
        Makes the protocol of a connection, as for the listener.
    """
    waiting = take_waiting(server)
    loop = asyncio.get_running_loop()
    for connection in waiting:
        await loop.connect_accepted_socket(factory, connection)


def take_waiting(server: asyncio.Server) -> list[socket.socket]:
    """Close a listener; return the connections that nobody had accepted."""
    # Closing the last descriptor resets what waits, so copies outlive the server's.
    copies = [socket.socket(fileno=os.dup(one.fileno())) for one in server.sockets]
    server.close()
    waiting: list[socket.socket] = []
    for copy in copies:
        copy.setblocking(False)
        with copy, contextlib.suppress(OSError):
            while True:
                waiting.append(copy.accept()[0])
    for connection in waiting:
        connection.setblocking(False)
    return waiting
