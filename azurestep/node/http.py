"""Small HTTP servers of a node: listening, JSON in and out."""

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from aiohttp import web

from ..errors import PortInUseError

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
SHUTDOWN_TIMEOUT_S = 5.0


async def listen(runner: web.BaseRunner, host: str, port: int, name: str) -> None:
    """Start a runner on one address.

    Raises
    ------
    PortInUseError
        If the address is taken.
    """
    await runner.setup()
    site = web.TCPSite(runner, host, port, reuse_address=True)
    try:
        await site.start()
    except OSError as error:
        await runner.cleanup()
        raise PortInUseError(
            f"{name} {host}:{port} can't be used: {error.strerror or error}",
            f"Free the port or set another {name}",
        ) from error


def json_response(value: Any, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=orjson.dumps(value), status=status, content_type="application/json"
    )
