"""Hedged requests: a second copy on a new connection to the same server."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from aiohttp.http_exceptions import HttpProcessingError

from .connection import BackendConnection, Head
from .connection_pool import ConnectFailedError

MS_PER_S = 1000


class SupersededError(Exception):
    """The new connection answered before the pooled one."""


@attrs.frozen
class ExchangeResult:
    """Head of an answer, its connection and the time at which the request was sent."""

    head: Head
    connection: BackendConnection
    sent_ms: float
    is_hedged: bool = False


class Hedge:
    """Sends a request on a new connection if a pooled one is unresponsive.

    Parameters
    ----------
    pooled : BackendConnection
        The pooled connection.
    delay_ms : float
        Time without a first byte after which the request is hedged.
    may_hedge : callable
        Returns whether a hedge is allowed; called after each delay until it is.
    exchange : callable
        Sends the request on a new connection.
    """

    def __init__(
        self,
        pooled: BackendConnection,
        delay_ms: float,
        may_hedge: Callable[[], bool],
        exchange: Callable[[], Awaitable[ExchangeResult]],
    ) -> None:
        self._result: ExchangeResult | None = None
        self._pooled = pooled
        self._delay_s = delay_ms / MS_PER_S
        self._may_hedge = may_hedge
        self._exchange = exchange
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(self._delay_s, self._start)
        self._task: asyncio.Task[None] | None = None

    def _start(self) -> None:
        if not self._may_hedge():
            self._timer = self._loop.call_later(self._delay_s, self._start)
            return
        self._task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        try:
            self._result = await self._exchange()
        except (ConnectFailedError, aiohttp.ClientError, HttpProcessingError, OSError):
            return
        self._pooled.set_exception(SupersededError())

    async def result_after_failure(self) -> ExchangeResult | None:
        """Return the answer of the new connection after the pooled one failed."""
        if self._task is not None:
            await self._task
        result = self._result
        self._result = None
        return result

    async def end(self) -> None:
        """Cancel the timer and any second request in flight."""
        self._timer.cancel()
        task = self._task
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if self._result is not None:
            self._result.connection.abort()
