"""Listening sockets of a node, opened before the rest of the program is imported.

Importing it takes most of a start. Whoever connects meanwhile waits in the kernel's
queue instead of being refused.
"""

import socket

from ..errors import PortInUseError
from .settings import Address, MeshSettings

BACKLOG = 1024

Listeners = dict[Address, socket.socket]


def open_listeners(settings: MeshSettings) -> Listeners:
    """Open the sockets of callers, nodes, readiness checks and announcements.

    Raises
    ------
    PortInUseError
        If an address is already in use.
    """
    addresses = (
        settings.caller_address,
        settings.peer_listen_address or settings.peer_address,
        settings.ready_address,
        settings.announce_address,
    )
    return {address: open_listener(address) for address in addresses}


def open_listener(address: Address) -> socket.socket:
    """Open a socket that takes connections, which nobody accepts yet.

    Raises
    ------
    PortInUseError
        If the address is already in use.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise PortInUseError(
            f"{address[0]}:{address[1]} can't be bound: {error.strerror}",
            "Stop the process that uses the address, or change the settings",
        ) from error
    return listener
