"""The operators' task: status and configuration over HTTP."""

import asyncio

import aiomisc
import cattrs
from aiohttp import web

from ..config.records import entries_of
from ..control.updates import MemberState, MemberStatus
from ..settings import Settings
from ..traffic.proxy import Proxy
from .control import ControlService
from .http import json_response, listen
from .messages import MemberView, NodeStatus

CONVERTER = cattrs.Converter()
CONVERTER.register_unstructure_hook(bytes, lambda value: value.hex())


class OperatorService(aiomisc.Service):
    """Answers operators; it changes nothing by itself."""

    def __init__(
        self,
        settings: Settings,
        control: ControlService,
        proxy: Proxy,
        drain: asyncio.Event,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.control = control
        self.proxy = proxy
        self.drain = drain
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen until stopped."""
        app = web.Application()
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/configuration", self._configuration)
        app.router.add_get("/v1/counters", self._counters)
        app.router.add_post("/v1/drain", self._drain)
        self._runner = web.AppRunner(app, access_log=None)
        await listen(
            self._runner,
            self.settings.host,
            self.settings.operator_port,
            "operator_port",
        )

    async def _status(self, request: web.Request) -> web.Response:
        return json_response(CONVERTER.unstructure(self.status()))

    def status(self) -> NodeStatus:
        """Return the state of the node."""
        state = self.control.spread.fold.state
        configuration = state.configuration
        return NodeStatus(
            self.settings.instance,
            self.settings.data_centre,
            state.version,
            state.document.hash.hex(),
            state.as_of,
            configuration.active_preset if configuration else "",
            self.control.readers.is_reader(),
            self.control.membership.is_bridge(),
            self.proxy.in_flight,
            [_view_of(member) for member in self.control.membership.members()],
            self.control.membership.reports(),
        )

    async def _counters(self, request: web.Request) -> web.Response:
        return json_response(CONVERTER.unstructure(self.control.links.counters))

    async def _configuration(self, request: web.Request) -> web.Response:
        state = self.control.spread.fold.state
        return json_response(
            {
                "version": state.version,
                "as_of": state.as_of,
                "hash": state.document.hash.hex(),
                "entries": CONVERTER.unstructure(entries_of(state.document)),
            }
        )

    async def _drain(self, request: web.Request) -> web.Response:
        self.drain.set()
        return json_response({"draining": True}, status=202)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()


def _view_of(member: MemberState) -> MemberView:
    return MemberView(
        member.instance,
        MemberStatus(member.status).name.lower(),
        len(member.servers),
        member.log_reachable,
    )
