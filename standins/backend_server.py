"""Stand-in of a backend server instance."""

import asyncio
import os
import random
import time
import uuid
from collections import Counter

import attrs
from aiohttp import web
from docopt import docopt

from .announcing import Announcement, Announcer
from .backend_control import add_control_routes
from .backend_settings import (
    BackendServerSettings,
    Counts,
    Faults,
    Health,
    Load,
    ResourceAnswer,
    RunAnswer,
    cold_delay_ms,
)
from .json_http import json_response, query_int, retry_after_headers
from .process import run
from .protocol_headers import CRASH, DEADLINE_MS, IDEMPOTENCY_KEY, NOT_RUN
from .sending import BodySender
from .serving import Address, HttpServer

USAGE = """Serve the stand-in of a backend server.

Usage:
  standins.backend_server --service NAME [options]

Options:
  --service NAME       Name of the service.
  --host IP            Address to listen on [default: 127.0.0.1].
  --port PORT          Port; 0 takes a free one [default: 0].
  --announce URL       Announce endpoint of the node; none when left out.
  --slots N            Requests run at once [default: 12].
  --connections N      Connections accepted [default: 130].
  --delay-ms MS        Time that a request takes [default: 0].
  --cold-start-ms MS   Time after the start with slower requests [default: 0].
  --seed N             Seed of the random faults [default: 0].
"""

REFUSED_RETRY_MS = 50
DRAIN_BOUND_S = 30.0
CRASH_EXIT_CODE = 70
MAX_BODY_BYTES = 64 * 1024 * 1024
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class BackendServer:
    """Backend server instance over HTTP.

    Parameters
    ----------
    settings : BackendServerSettings
        Service, address and limits.

    Attributes
    ----------
    incarnation : str
        New with each instance of this class.
    runs : collections.Counter
        Runs per idempotency key; requests without one count under "".
    counts : Counts
        What the instance did so far.
    finished : asyncio.Event
        Set when the instance has left.
    """

    def __init__(self, settings: BackendServerSettings) -> None:
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.runs: Counter[str] = Counter()
        self.faults = Faults()
        self.finished = asyncio.Event()
        self._counts = Counts()
        self._random = random.Random(settings.seed)
        self._sender = BodySender(settings.service)
        self._in_flight = 0
        self._frozen_in_flight = 0
        self._started_s = 0.0
        self._announcer: Announcer | None = None
        self._leaving: asyncio.Task[None] | None = None
        self._server = HttpServer(
            self._application(),
            Address(settings.host, settings.port),
            connections=settings.connections,
            shutdown_timeout_s=DRAIN_BOUND_S,
        )

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._server.address

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.address.url

    @property
    def instance(self) -> str:
        """Return the name of the instance: its address."""
        return f"{self.address.host}:{self.address.port}"

    @property
    def counts(self) -> Counts:
        """Return what the instance did so far."""
        return attrs.evolve(self._counts, bodies_cut=self._sender.bodies_cut)

    async def start(self) -> Address:
        """Listen, begin to announce, and return the address in use."""
        address = await self._server.start()
        self._started_s = time.monotonic()
        if self.settings.announce_url is not None:
            self._announcer = Announcer(
                self.settings.announce_url, self._announcement(), self._random
            )
            await self._announcer.start()
        return address

    async def close(self) -> None:
        """Close at once, without leaving: running requests are cut."""
        if self._leaving is not None:
            self._leaving.cancel()
        if self._announcer is not None:
            await self._announcer.close()
        self._server.stop_listening()
        self._server.abort_connections()
        await self._server.close()

    def request_stop(self) -> None:
        """Begin to leave; `finished` is set once all requests are answered."""
        if self._leaving is None:
            self._leaving = asyncio.create_task(self._leave())

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""
        if faults.frozen_load and not self.faults.frozen_load:
            self._frozen_in_flight = self._in_flight
        self.faults = faults

    def load(self) -> Load:
        """Return what the load endpoint claims."""
        if self.faults.false_load is not None:
            return Load(self.faults.false_load, self.settings.slots)
        if self.faults.frozen_load:
            return Load(self._frozen_in_flight, self.settings.slots)
        return Load(self._in_flight, self.settings.slots)

    def health(self) -> Health:
        """Return what the health endpoint claims."""
        load = self.load()
        claimed = self.faults.false_health
        return Health(
            healthy=claimed if claimed is not None else True,
            in_flight=load.in_flight,
            slots=load.slots,
        )

    def _announcement(self) -> Announcement:
        return Announcement(
            service=self.settings.service,
            host=self.address.host,
            port=self.address.port,
            incarnation=self.incarnation,
            slots=self.settings.slots,
            connections=self.settings.connections,
        )

    async def _leave(self) -> None:
        if self._announcer is not None:
            await self._announcer.leave()
        await self._server.close()
        self.finished.set()

    def _application(self) -> web.Application:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        add_control_routes(app, self)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._counts.requests += 1
        if self._random.random() < self.faults.fast_error_ratio:
            self._counts.fast_errors += 1
            return web.Response(status=500)
        if self._in_flight >= self.settings.slots:
            return self._refuse()
        self._in_flight += 1
        self._counts.started += 1
        peak = max(self._counts.peak_in_flight, self._in_flight)
        self._counts.peak_in_flight = peak
        try:
            return await self._run_within_deadline(request)
        except asyncio.CancelledError:
            self._counts.cancelled += 1
            raise
        finally:
            self._in_flight -= 1

    def _refuse(self) -> web.Response:
        self._counts.refused += 1
        headers = retry_after_headers(REFUSED_RETRY_MS)
        headers[NOT_RUN] = "1"
        return web.Response(status=503, headers=headers)

    async def _run_within_deadline(self, request: web.Request) -> web.StreamResponse:
        deadline_ms = request.headers.get(DEADLINE_MS)
        left_s = float(deadline_ms) / 1000 if deadline_ms is not None else None
        try:
            async with asyncio.timeout(left_s):
                response = await self._run(request)
        except TimeoutError:
            self._counts.deadlines_passed += 1
            return web.Response(status=504)
        self._counts.completed += 1
        return response

    async def _run(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        key = request.headers.get(IDEMPOTENCY_KEY, "")
        repeatable = request.method in SAFE_METHODS
        if not repeatable:
            self.runs[key] += 1
        await asyncio.sleep(self._delay_s(request) / 2)
        if request.headers.get(CRASH) == "1":
            self.crash()
        await asyncio.sleep(self._delay_s(request) / 2)
        if "bytes" in request.query:
            return await self._sender.send(request, query_int(request, "status", 200))
        if repeatable:
            return self._answer_resource(request)
        return self._answer_run(request, key)

    def _answer_resource(self, request: web.Request) -> web.Response:
        answer = ResourceAnswer(
            service=self.settings.service,
            instance=self.instance,
            path=request.path,
            method=request.method,
            run=self._counts.started,
        )
        return json_response(answer, query_int(request, "status", 200))

    def _answer_run(self, request: web.Request, key: str) -> web.Response:
        answer = RunAnswer(
            service=self.settings.service,
            instance=self.instance,
            key=key,
            runs=self.runs[key],
        )
        return json_response(answer, query_int(request, "status", 200))

    def crash(self) -> None:
        """Die at once: end the process, or cut all connections and stop."""
        if self.settings.exit_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self._server.stop_listening()
        self._server.abort_connections()
        if self._announcer is not None:
            self._announcer.stop_renewing()

    def _delay_s(self, request: web.Request) -> float:
        asked_ms = query_int(request, "delay_ms", 0)
        age_ms = (time.monotonic() - self._started_s) * 1000
        cold_ms = cold_delay_ms(age_ms, self.settings.cold_start_ms)
        base_ms = self.settings.delay_ms + asked_ms + cold_ms
        return base_ms * self.faults.slow_factor / 1000


def main() -> None:
    """Run a backend server from the command line."""
    arguments = docopt(USAGE)
    settings = BackendServerSettings(
        service=arguments["--service"],
        host=arguments["--host"],
        port=int(arguments["--port"]),
        announce_url=arguments["--announce"],
        slots=int(arguments["--slots"]),
        connections=int(arguments["--connections"]),
        delay_ms=float(arguments["--delay-ms"]),
        cold_start_ms=float(arguments["--cold-start-ms"]),
        seed=int(arguments["--seed"]),
        exit_on_crash=True,
    )
    run(BackendServer(settings))


if __name__ == "__main__":
    main()
