"""The traffic task: listens for callers and drives the proxy."""

import asyncio
from functools import singledispatchmethod

import aiomisc
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from .. import events
from ..environment import Environment
from ..errors import PortInUseError
from ..listening import close_listener
from ..settings import Settings
from ..traffic.attempt import AttemptSender
from ..traffic.caller_connection import has_pipelined_request, has_unsent_bytes
from ..traffic.connection_pool import ConnectionPool
from ..traffic.proxy import Proxy
from .messages import DirectoryReady, QuarantineLearned, TableReady, TrafficInput

TICK_S = 0.05
BACKLOG = 128
KEEP_ALIVE_S = 75.0
SWEEP_S = 1.0
READY_CHECK_S = 0.02
DIRECTORY_WAIT_S = 3.0
DIRECTORY_SETTLE_S = 0.3
FINISH_CHECK_S = 0.05
LAST_ANSWERS_S = 1.0
"""Time for the answers to requests that were given up to reach their callers."""
LATE_REQUESTS_S = 30.0
"""Time for requests that come over open connections after the end of the drain."""
CLOSE_S = 0.5
"""Time for connections to close, all of whose requests are answered."""


class TrafficService(aiomisc.Service):
    """Serves callers on the traffic address."""

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        inputs: "asyncio.Queue[TrafficInput]",
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.inputs = inputs
        self._connections = ConnectionPool(environment.clock)
        sender = AttemptSender(self._connections, environment.clock)
        self.proxy = Proxy(settings, sender, environment.clock, environment.random)
        self._runner: web.ServerRunner | None = None
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and take tables and directories until stopped."""
        await self._listen()
        self.start_event.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._take_inputs())
            group.create_task(self._tick())
            group.create_task(self._sweep())
            group.create_task(self._wait_for_directory())

    async def _wait_for_directory(self) -> None:
        """Let requests go on once there is a table and the directory had time.

        Until then they wait: a node that just started would have to say "not
        run" to what another node can serve.
        """
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + DIRECTORY_WAIT_S
        while not self.proxy.has_directory and loop.time() < latest_s:
            await asyncio.sleep(READY_CHECK_S)
        settled_s = loop.time() + DIRECTORY_SETTLE_S
        while self.proxy.table is None:
            await asyncio.sleep(READY_CHECK_S)
        while not self.proxy.has_all_endpoints() and loop.time() < settled_s:
            await asyncio.sleep(READY_CHECK_S)
        self.proxy.ready.set()

    async def _listen(self) -> None:
        server = web.Server(
            self.proxy.handle,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_S,
            auto_decompress=False,
        )
        self._server = server
        self._runner = web.ServerRunner(server, shutdown_timeout=CLOSE_S)
        await self._runner.setup()
        host, port = self.settings.host, self.settings.traffic_port
        loop = asyncio.get_running_loop()
        try:
            self._listener = await loop.create_server(
                server, host, port, reuse_address=True, backlog=BACKLOG
            )
        except OSError as error:
            await self._runner.cleanup()
            raise PortInUseError(
                f"traffic_port {host}:{port} can't be used: {error.strerror or error}",
                "Free the port or set another traffic_port",
            ) from error

    async def _take_inputs(self) -> None:
        while True:
            self._take(await self.inputs.get())

    @singledispatchmethod
    def _take(self, message: TrafficInput) -> None:
        raise TypeError(f"{type(message).__name__} is no input")

    @_take.register
    def _(self, message: TableReady) -> None:
        self.proxy.replace_table(message.table)

    @_take.register
    def _(self, message: DirectoryReady) -> None:
        self.proxy.replace_directory(message.directory)

    @_take.register
    def _(self, message: QuarantineLearned) -> None:
        self.proxy.merge_quarantine(message.report)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.proxy.tick()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._connections.close_idle()

    async def stop_listening(self) -> None:
        """Accept no further connection; open ones stay."""
        listener, self._listener = self._listener, None
        if listener is not None and self._server is not None:
            await close_listener(listener, self._server)

    async def finish(self, timeout_s: float) -> int:
        """Wait until every request is answered and its caller has the answer.

        Returns
        -------
        int
            Requests that were not done in time. Each gets an answer that says
            whether it may have run, and those that come later are refused.
        """
        if await self._wait_until_done(timeout_s):
            return 0
        cut = self.proxy.end_requests()
        await self._wait_until_done(LAST_ANSWERS_S)
        cut += sum(has_unsent_bytes(caller) for caller in self._callers())
        events.emit(events.REQUESTS_CUT, requests=cut)
        return cut

    async def _wait_until_done(self, timeout_s: float) -> bool:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while not self._is_done():
            if loop.time() >= deadline_s:
                return False
            await asyncio.sleep(FINISH_CHECK_S)
        return True

    def _is_done(self) -> bool:
        if self.proxy.in_flight:
            return False
        callers = self._callers()
        return not any(
            has_pipelined_request(caller) or has_unsent_bytes(caller)
            for caller in callers
        )

    def _callers(self) -> list[RequestHandler]:
        return self._server.connections if self._server is not None else []

    async def stop(self, exception: Exception | None = None) -> None:
        """Answer what is in flight and close."""
        if self._runner is not None:
            await self.stop_listening()
            self.proxy.close()
            await self.finish(LATE_REQUESTS_S)
            await self._runner.cleanup()
        self._connections.close()
