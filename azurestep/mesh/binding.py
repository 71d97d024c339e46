"""Opening all listeners of a node, when another process may still hold an address."""

import asyncio
import contextlib
import errno
import socket
import time
from collections.abc import Callable, Iterator, Sequence

from ..errors import PortInUseError
from ..listening import BACKLOG, bind_listener
from . import events
from .settings import Address

MARGIN_MS = 1000.0
"""Time after its grace time until a former process has surely released its ports."""
ATTEMPT_INTERVAL_S = 0.05
PASSING_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


class _BindError(Exception):
    def __init__(self, address: Address, error: OSError) -> None:
        super().__init__(error)
        self.address = f"{address[0]}:{address[1]}"
        self.error = error


async def await_listeners(
    addresses: Sequence[Address], grace_ms: float, is_stopping: Callable[[], bool]
) -> list[socket.socket]:
    """Return listeners at all addresses, or none if the node is asked to stop.

    Either all addresses are listened on or none: callers would otherwise wait at a node
    that doesn't serve yet, instead of being refused and asking another one.

    Parameters
    ----------
    addresses : sequence of Address
        Addresses to listen on.
    grace_ms : float
        Longest time for which a former process may hold an address.
    is_stopping : callable
        Whether the node has been asked to stop.

    Raises
    ------
    PortInUseError
        If an address can't be bound, or not in time.
    """
    deadline_s = time.monotonic() + (grace_ms + MARGIN_MS) / 1000
    logged = False
    while not is_stopping():
        try:
            return _open_all(addresses)
        except _BindError as failed:
            may_pass = failed.error.errno in PASSING_ERRORS
            if not may_pass or time.monotonic() >= deadline_s:
                raise PortInUseError(
                    f"{failed.address} can't be bound: {failed.error.strerror}",
                    "Stop the process that uses the address, or change the settings",
                ) from failed.error
            if not logged:
                _log_wait(failed, grace_ms + MARGIN_MS)
                logged = True
        await asyncio.sleep(ATTEMPT_INTERVAL_S)
    return []


def _open_all(addresses: Sequence[Address]) -> list[socket.socket]:
    """Bind all addresses, and listen only then."""
    listeners: list[socket.socket] = []
    try:
        for address in addresses:
            with _naming(address):
                listeners.append(bind_listener(*address))
        for address, listener in zip(addresses, listeners, strict=True):
            with _naming(address):
                listener.listen(BACKLOG)
    except _BindError:
        for listener in listeners:
            listener.close()
        raise
    return listeners


@contextlib.contextmanager
def _naming(address: Address) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise _BindError(address, error) from error


def _log_wait(failed: _BindError, wait_ms: float) -> None:
    events.log(
        events.ADDRESS_AWAITED,
        address=failed.address,
        cause=failed.error.strerror,
        wait_ms=wait_ms,
    )
    events.WRITER.flush()
