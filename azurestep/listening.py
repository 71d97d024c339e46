"""Closing a listener without resetting the connections that wait at it."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable


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
