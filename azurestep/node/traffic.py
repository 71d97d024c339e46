"""The traffic task: listens for callers and drives the proxy."""

import asyncio
from functools import singledispatchmethod

import aiomisc
from aiohttp import web

from ..environment import Environment
from ..settings import Settings
from ..traffic.attempt import AttemptSender
from ..traffic.connections import Connections
from ..traffic.proxy import Proxy
from .http import listen
from .messages import DirectoryReady, QuarantineLearned, TableReady, TrafficInput

TICK_S = 0.05
KEEP_ALIVE_S = 75.0
SWEEP_S = 1.0
READY_CHECK_S = 0.02
DIRECTORY_WAIT_S = 3.0
DIRECTORY_SETTLE_S = 0.3


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
        self._connections = Connections(environment.clock)
        sender = AttemptSender(self._connections, environment.clock)
        self.proxy = Proxy(settings, sender, environment.clock, environment.random)
        self._runner: web.ServerRunner | None = None

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
        while not self.proxy.knows_endpoints() and loop.time() < settled_s:
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
        self._runner = web.ServerRunner(server)
        await listen(
            self._runner, self.settings.host, self.settings.traffic_port, "traffic_port"
        )

    async def _take_inputs(self) -> None:
        while True:
            self._take(await self.inputs.get())

    @singledispatchmethod
    def _take(self, message: TrafficInput) -> None:
        raise TypeError(f"{type(message).__name__} is no input")

    @_take.register
    def _(self, message: TableReady) -> None:
        self.proxy.swap_table(message.table)

    @_take.register
    def _(self, message: DirectoryReady) -> None:
        self.proxy.swap_directory(message.directory)

    @_take.register
    def _(self, message: QuarantineLearned) -> None:
        self.proxy.learn_quarantine(message.news)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.proxy.tick()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._connections.sweep()

    async def stop_listening(self) -> None:
        """Accept no further connection; open ones stay."""
        if self._runner is not None:
            for site in list(self._runner.sites):
                await site.stop()

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish what is in flight and close."""
        if self._runner is not None:
            await self._runner.cleanup()
        self._connections.close()
