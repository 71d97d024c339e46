"""Pool of connections to the backend servers."""

import asyncio
import contextlib
import socket

import attrs

from ..environment import Clock
from ..settings import Address
from .connection import BackendConnection

IDLE_MAXIMUM_MS = 5000.0
# A backend server takes about 130 connections, and many nodes share them.
IDLE_PER_ADDRESS = 4
UNACKNOWLEDGED_MAXIMUM_MS = 5000
MS_PER_S = 1000


class ConnectFailedError(Exception):
    """No connection could be opened; no byte of a request was sent."""


@attrs.define
class AddressPool:
    """Connections to one address.

    Attributes
    ----------
    idle : list of BackendConnection
        Those that carry no request, the one used last at the end.
    valid_from_ms : float
        Connections opened before this time are not used again.
    """

    idle: list[BackendConnection] = attrs.field(factory=list)
    valid_from_ms: float = float("-inf")


class ConnectionPool:
    """Opens connections and keeps the idle ones, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools: dict[Address, AddressPool] = {}

    def _pool(self, address: Address) -> AddressPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = AddressPool()
        return pool

    def take(self, address: Address) -> BackendConnection | None:
        """Return an idle connection, the one used last; None if there is none."""
        idle = self._pool(address).idle
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.abort()
        return None

    async def open(self, address: Address, timeout_ms: float) -> BackendConnection:
        """Open a new connection.

        Raises
        ------
        ConnectFailedError
            If the address refuses or doesn't answer in time.
        """
        loop = asyncio.get_running_loop()
        opened_ms = self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                transport, connection = await loop.create_connection(
                    lambda: BackendConnection(loop, opened_ms),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(str(error)) from error
        limit_unacknowledged(transport)
        return connection

    def give_back(self, address: Address, connection: BackendConnection) -> None:
        """Keep a connection whose answer is read for the next request."""
        pool = self._pool(address)
        is_valid = connection.opened_ms >= pool.valid_from_ms
        if not is_valid or not connection.is_usable:
            connection.abort()
            return
        connection.used_ms = self._clock.monotonic_ms()
        pool.idle.append(connection)
        if len(pool.idle) > IDLE_PER_ADDRESS:
            pool.idle.pop(0).close()

    def retire(self, address: Address, before_ms: float) -> int:
        """Stop using connections opened before a time; return the idle ones' count."""
        pool = self._pool(address)
        pool.valid_from_ms = max(pool.valid_from_ms, before_ms)
        retired = [c for c in pool.idle if c.opened_ms < before_ms]
        pool.idle = [c for c in pool.idle if c.opened_ms >= before_ms]
        for connection in retired:
            connection.abort()
        return len(retired)

    def valid_from_ms(self, address: Address) -> float:
        """Return the time before which connections to an address are retired."""
        return self._pool(address).valid_from_ms

    def close_idle(self) -> None:
        """Close connections that were idle for long."""
        oldest_ms = self._clock.monotonic_ms() - IDLE_MAXIMUM_MS
        for address, pool in list(self._pools.items()):
            idle = pool.idle
            pool.idle = [c for c in idle if c.used_ms >= oldest_ms and c.is_usable]
            for connection in idle:
                if connection not in pool.idle:
                    connection.close()
            if not pool.idle and pool.valid_from_ms < oldest_ms:
                del self._pools[address]

    def close(self) -> None:
        """Close every idle connection."""
        for pool in self._pools.values():
            for connection in pool.idle:
                connection.close()
        self._pools.clear()


def limit_unacknowledged(transport: asyncio.BaseTransport) -> None:
    """Let the kernel break a connection whose bytes stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAXIMUM_MS
        )
