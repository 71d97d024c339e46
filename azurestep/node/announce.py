"""The announce task: takes announcements of the local backend servers."""

import asyncio

import aiomisc
import attrs
import cattrs
import orjson
from aiohttp import web

from .. import events
from ..environment import Environment
from ..settings import Settings
from .http import json_response, listen
from .leases import LEASE_MS, Announcement, Leases
from .messages import ControlInput, ServersChanged

EXPIRY_CHECK_S = 0.25
BODY_MAXIMUM_BYTES = 16 * 1024
PATH = "/v1/backend-servers"
CONVERTER = cattrs.Converter()


class AnnounceService(aiomisc.Service):
    """Keeps the leases and tells the control task of changes."""

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        control: "asyncio.Queue[ControlInput]",
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.control = control
        self.leases = Leases()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen and expire leases until stopped."""
        app = web.Application(client_max_size=BODY_MAXIMUM_BYTES)
        app.router.add_post(PATH, self._announce)
        app.router.add_post(PATH + "/{incarnation}/leave", self._leave)
        app.router.add_get(PATH + "/{incarnation}", self._state)
        self._runner = web.AppRunner(app, access_log=None)
        await listen(
            self._runner,
            self.settings.host,
            self.settings.announce_port,
            "announce_port",
        )
        self.start_event.set()
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            self._expire()

    def _now_ms(self) -> float:
        return self.environment.clock.monotonic_ms()

    def _expire(self) -> None:
        before = self.leases.servers()
        for lapsed in self.leases.expire(self._now_ms()):
            events.emit(events.BACKEND_SERVER_EXPIRED, **attrs.asdict(lapsed))
        if self.leases.servers() != before:
            self._tell()

    def leave_all(self) -> None:
        """Mark every backend server as leaving and tell the control task."""
        self.leases.leave_all(self._now_ms())
        self._tell()

    def _tell(self) -> None:
        self.control.put_nowait(ServersChanged(self.leases.servers()))

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            plain = orjson.loads(await request.read())
            announcement = CONVERTER.structure(plain, Announcement)
        except (orjson.JSONDecodeError, cattrs.BaseValidationError) as error:
            return json_response({"error": str(error)}, status=400)
        if self.leases.announce(announcement, self._now_ms()):
            events.emit(events.BACKEND_SERVER_ANNOUNCED, **attrs.asdict(announcement))
            self._tell()
        return json_response({"lease_ms": LEASE_MS})

    async def _leave(self, request: web.Request) -> web.Response:
        incarnation = request.match_info["incarnation"]
        if self.leases.leave(incarnation, self._now_ms()):
            events.emit(events.BACKEND_SERVER_LEAVING, incarnation=incarnation)
            self._tell()
        return self._state_of(incarnation)

    async def _state(self, request: web.Request) -> web.Response:
        return self._state_of(request.match_info["incarnation"])

    def _state_of(self, incarnation: str) -> web.Response:
        return json_response({"safe": self.leases.is_safe(incarnation, self._now_ms())})

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
