"""Pool of connections to the backend servers."""

import asyncio
import contextlib
import socket

import attrs

from ..environment import Clock
from ..settings import Address
from .connection import BackendConnection

MAX_IDLE_MS = 5000.0
# A backend server accepts few connections, and many nodes connect to it.
MAX_IDLE_PER_ADDRESS = 4
MAX_UNACKNOWLEDGED_MS = 5000
MS_PER_S = 1000


class ConnectFailedError(Exception):
    """The connection could not be opened; no byte of the request was sent."""


@attrs.define
class AddressPool:
    """Connections to one address.

    Attributes
    ----------
    idle : list of BackendConnection
        Connections without a request, the most recently used one last.
    valid_from_ms : float
        Connections opened before this time are not reused.
    """

    idle: list[BackendConnection] = attrs.field(factory=list)
    valid_from_ms: float = float("-inf")


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools: dict[Address, AddressPool] = {}

    def _pool(self, address: Address) -> AddressPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = AddressPool()
        return pool

    def take_idle(self, address: Address) -> BackendConnection | None:
        """Return the most recently used idle connection, or None."""
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
            If the connection is refused or times out.
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
        set_tcp_user_timeout(transport)
        return connection

    def put_back(self, address: Address, connection: BackendConnection) -> None:
        """Put a connection back for reuse after its answer was read."""
        pool = self._pool(address)
        is_valid = connection.opened_ms >= pool.valid_from_ms
        if not is_valid or not connection.is_usable:
            connection.abort()
            return
        connection.used_ms = self._clock.monotonic_ms()
        pool.idle.append(connection)
        if len(pool.idle) > MAX_IDLE_PER_ADDRESS:
            pool.idle.pop(0).close()

    def retire(self, address: Address, before_ms: float) -> int:
        """Abort idle connections opened before a time; return their number.

        Those in use are aborted when they are put back.
        """
        pool = self._pool(address)
        pool.valid_from_ms = max(pool.valid_from_ms, before_ms)
        retired = [c for c in pool.idle if c.opened_ms < before_ms]
        pool.idle = [c for c in pool.idle if c.opened_ms >= before_ms]
        for connection in retired:
            connection.abort()
        return len(retired)

    def valid_from_ms(self, address: Address) -> float:
        """Return the earliest opening time of connections that may be reused."""
        return self._pool(address).valid_from_ms

    def close_idle(self) -> None:
        """Close connections idle for more than ``MAX_IDLE_MS``."""
        oldest_ms = self._clock.monotonic_ms() - MAX_IDLE_MS
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


def set_tcp_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Make the kernel abort the connection if sent bytes stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS
        )
