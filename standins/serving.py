"""HTTP listener shared by the stand-ins."""

import asyncio
from typing import cast

import attrs
from aiohttp import web

DEFAULT_HOST = "127.0.0.1"
DEFAULT_SHUTDOWN_TIMEOUT_S = 0.2
LISTEN_BACKLOG = 1024


@attrs.frozen
class Address:
    """IP address and port of a listener.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port; 0 asks the operating system for a free one.
    """

    host: str
    port: int

    @property
    def url(self) -> str:
        """Return the base URL, without a slash at its end."""
        return f"http://{self.host}:{self.port}"


class Gate(asyncio.Protocol):
    """First protocol of a connection, which admits it or closes it.

    Connections are counted as they open: several can be accepted before the
    first of them opens.

    Parameters
    ----------
    server : aiohttp.web.Server
        Gets the connections admitted.
    connections : int
        Open connections that the server may have.
    """

    def __init__(self, server: web.Server, connections: int) -> None:
        self._server = server
        self._connections = connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection to the server, or abort it."""
        opened = cast(asyncio.Transport, transport)
        if len(self._server.connections) >= self._connections:
            opened.abort()
            return
        handler = self._server()
        opened.set_protocol(handler)
        handler.connection_made(opened)


class HttpServer:
    """An aiohttp application that listens on one address.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to serve.
    address : Address
        Address to listen on.
    connections : int, optional
        Open connections accepted; further ones are closed at once.
    shutdown_timeout_s : float
        Time that running requests get to finish in `close`.
    """

    def __init__(
        self,
        app: web.Application,
        address: Address,
        connections: int | None = None,
        shutdown_timeout_s: float = DEFAULT_SHUTDOWN_TIMEOUT_S,
    ) -> None:
        self.address = address
        self.connections = connections
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=shutdown_timeout_s,
        )
        self._listener: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen, and return the address with the port in use."""
        await self._runner.setup()
        self._listener = await asyncio.get_running_loop().create_server(
            self._new_connection,
            self.address.host,
            self.address.port,
            backlog=LISTEN_BACKLOG,
        )
        port = self._listener.sockets[0].getsockname()[1]
        self.address = attrs.evolve(self.address, port=port)
        return self.address

    def stop_listening(self) -> None:
        """Accept no further connection; open ones stay."""
        if self._listener is None:
            return
        self._listener.close()
        self._listener = None

    def abort_connections(self) -> None:
        """Reset every open connection."""
        server = self._runner.server
        if server is None:
            return
        for connection in list(server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def close(self) -> None:
        """Stop listening, let running requests finish, close the connections."""
        self.stop_listening()
        await self._runner.cleanup()

    def _new_connection(self) -> asyncio.Protocol:
        server = self._runner.server
        assert server is not None
        if self.connections is None:
            return server()
        return Gate(server, self.connections)
