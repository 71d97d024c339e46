"""A second try of a request on a new connection to the same backend server."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from aiohttp.http_exceptions import HttpProcessingError

from .connection import BackendConnection, Head
from .connection_pool import ConnectFailedError

MS_PER_S = 1000


class SupersededError(Exception):
    """The answer came on the new connection first."""


@attrs.frozen
class Exchanged:
    """Head of an answer, and the connection and time of its request."""

    head: Head
    connection: BackendConnection
    sent_ms: float
    is_hedged: bool = False


class Hedge:
    """Watches a pooled connection and asks again on a new one when it is silent.

    It costs a timer only until the bound passes.

    Parameters
    ----------
    doubted : BackendConnection
        The pooled connection.
    bound_ms : float
        Time without a first byte after which it is doubted.
    may_hedge : callable
        Asks the budget; a denied hedge is asked for again after the bound.
    exchange : callable
        Sends the request on a new connection.
    """

    def __init__(
        self,
        doubted: BackendConnection,
        bound_ms: float,
        may_hedge: Callable[[], bool],
        exchange: Callable[[], Awaitable[Exchanged]],
    ) -> None:
        self._result: Exchanged | None = None
        self._doubted = doubted
        self._bound_s = bound_ms / MS_PER_S
        self._may_hedge = may_hedge
        self._exchange = exchange
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(self._bound_s, self._begin)
        self._task: asyncio.Task[None] | None = None

    def _begin(self) -> None:
        if not self._may_hedge():
            self._timer = self._loop.call_later(self._bound_s, self._begin)
            return
        self._task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        try:
            self._result = await self._exchange()
        except (ConnectFailedError, aiohttp.ClientError, HttpProcessingError, OSError):
            return
        self._doubted.set_exception(SupersededError())

    async def result_after_failure(self) -> Exchanged | None:
        """Return the new connection's answer once the pooled one has failed."""
        if self._task is not None:
            await self._task
        result = self._result
        self._result = None
        return result

    async def end(self) -> None:
        """Stop watching; a second request still on its way is broken off."""
        self._timer.cancel()
        task = self._task
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if self._result is not None:
            self._result.connection.abort()
