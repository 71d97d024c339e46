"""Endpoints that tests use to look into a backend server and to set its faults."""

from collections import Counter
from typing import Protocol

from aiohttp import web

from .backend_settings import Counts, Faults, Health, Load
from .json_http import json_response, read_attrs


class Controlled(Protocol):
    """What the endpoints need of a backend server."""

    runs: Counter[str]

    @property
    def counts(self) -> Counts:
        """Return what the instance did so far."""

    def load(self) -> Load:
        """Return what the load endpoint claims."""

    def health(self) -> Health:
        """Return what the health endpoint claims."""

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""

    def request_stop(self) -> None:
        """Begin to leave."""


def add_control_routes(app: web.Application, server: Controlled) -> None:
    """Add the endpoints under ``/_standin/`` to an application.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application of the backend server.
    server : Controlled
        The backend server.
    """

    async def get_runs(request: web.Request) -> web.Response:
        return json_response(dict(server.runs))

    async def get_counts(request: web.Request) -> web.Response:
        return json_response(server.counts)

    async def get_health(request: web.Request) -> web.Response:
        return json_response(server.health())

    async def get_load(request: web.Request) -> web.Response:
        return json_response(server.load())

    async def put_faults(request: web.Request) -> web.Response:
        faults = await read_attrs(request, Faults)
        server.set_faults(faults)
        return json_response(faults)

    async def post_leave(request: web.Request) -> web.Response:
        server.request_stop()
        return web.Response(status=202)

    app.router.add_get("/_standin/runs", get_runs)
    app.router.add_get("/_standin/counts", get_counts)
    app.router.add_get("/_standin/health", get_health)
    app.router.add_get("/_standin/load", get_load)
    app.router.add_put("/_standin/faults", put_faults)
    app.router.add_post("/_standin/leave", post_leave)
