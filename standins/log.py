"""Stand-in of the platform's append-only log service."""

import asyncio
import contextlib
import random
import time

from aiohttp import web
from aiohttp.typedefs import Handler
from docopt import docopt

from .json_http import (
    json_response,
    query_int,
    read_attrs,
    read_json,
    retry_after_headers,
)
from .log_settings import Faults, LogSettings
from .log_stats import LogStats, Tally
from .log_store import Appended, Page, Retention, Stream, TokenBucket
from .process import run
from .serving import Address, HttpServer

USAGE = """Serve the stand-in of the platform's log.

Usage:
  standins.log [options]

Options:
  --host IP                 Address to listen on [default: 127.0.0.1].
  --port PORT               Port; 0 takes a free one [default: 0].
  --appends-per-second N    Appends accepted a second [default: 500].
  --burst N                 Appends accepted at once [default: 100].
  --retention-records N     Records kept per stream; all when left out.
  --retention-s SECONDS     Age at which a record is dropped; none when left out.
  --seed N                  Seed of the random faults [default: 0].
"""

MAX_BODY_BYTES = 1024 * 1024
DEFAULT_READ_LIMIT = 100
MAX_READ_LIMIT = 10_000
MAX_WAIT_MS = 60_000
OUTAGE_RETRY_MS = 1000


class LogStandIn:
    """Log service in memory, over HTTP.

    Parameters
    ----------
    settings : LogSettings
        Address, capacity and retention.

    Attributes
    ----------
    address : Address
        Address in use, once started.
    finished : asyncio.Event
        Set when the stand-in was asked to stop.
    """

    def __init__(self, settings: LogSettings | None = None) -> None:
        self.settings = settings or LogSettings()
        self.finished = asyncio.Event()
        self.faults = Faults()
        self._random = random.Random(self.settings.seed)
        self._streams: dict[str, Stream] = {}
        self._bucket = TokenBucket(
            self.settings.appends_per_second, self.settings.burst
        )
        self._total = Tally()
        self._tallies: dict[str, Tally] = {}
        self._changed: dict[str, asyncio.Event] = {}
        self._running = asyncio.Event()
        self._running.set()
        self._server = HttpServer(
            self._application(), Address(self.settings.host, self.settings.port)
        )

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._server.address

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.address.url

    async def start(self) -> Address:
        """Listen, and return the address in use."""
        return await self._server.start()

    async def close(self) -> None:
        """Close the listener and all connections."""
        self._server.stop_listening()
        self._server.abort_connections()
        await self._server.close()

    def request_stop(self) -> None:
        """Let the process end."""
        self.finished.set()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        if faults.seed is not None:
            self._random.seed(faults.seed)
        if faults.hang:
            self._running.clear()
        else:
            self._running.set()
        for name in self._streams:
            self._wake_readers(name)

    def restore(self, next_offset: int, stream: str | None = None) -> None:
        """Forget the records from an offset on, in one stream or in all."""
        names = [stream] if stream is not None else list(self._streams)
        for name in names:
            self.stream(name).forget_from(next_offset)

    def stream(self, name: str) -> Stream:
        """Return a stream; it comes into being with its first use."""
        if name not in self._streams:
            self._streams[name] = Stream(self.settings.retention)
            self._tallies[name] = Tally()
            self._changed[name] = asyncio.Event()
        return self._streams[name]

    def stats(self) -> LogStats:
        """Return the counts so far."""
        streams = {name: tally.stats for name, tally in self._tallies.items()}
        return LogStats(self._total.stats, streams)

    def _application(self) -> web.Application:
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._apply_faults]
        )
        app.router.add_post("/streams/{stream}/records", self._handle_append)
        app.router.add_get("/streams/{stream}/records", self._handle_read)
        app.router.add_put("/faults", self._handle_faults)
        app.router.add_get("/faults", self._handle_get_faults)
        app.router.add_post("/restore", self._handle_restore)
        app.router.add_get("/stats", self._handle_stats)
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        name = request.match_info.get("stream")
        if name is None:
            return await handler(request)
        if self.faults.delay_ms > 0:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        await self._running.wait()
        if self.faults.outage:
            return self._unavailable(name)
        return await handler(request)

    def _unavailable(self, name: str) -> web.Response:
        for tally in self._tallies_of(name):
            tally.stats.unavailable += 1
        return web.Response(status=503, headers=retry_after_headers(OUTAGE_RETRY_MS))

    async def _handle_append(self, request: web.Request) -> web.Response:
        name = request.match_info["stream"]
        value = await read_json(request)
        wait_ms = self._bucket.take(time.monotonic())
        if wait_ms > 0:
            return self._refuse(name, wait_ms)
        time_ms = now_ms()
        appended = self.stream(name).append(value, time_ms)
        self._wake_readers(name)
        for tally in self._tallies_of(name):
            tally.add_append(time_ms // 1000, len(await request.read()))
        if self._random.random() < self.faults.lose_answer_ratio:
            return self._lose_answer(request, name)
        return self._answer_append(name, appended)

    def _refuse(self, name: str, wait_ms: float) -> web.Response:
        for tally in self._tallies_of(name):
            tally.stats.refused += 1
        return web.Response(status=429, headers=retry_after_headers(wait_ms))

    def _lose_answer(self, request: web.Request, name: str) -> web.Response:
        for tally in self._tallies_of(name):
            tally.stats.answers_lost += 1
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    def _answer_append(self, name: str, appended: Appended) -> web.Response:
        response = json_response(appended)
        for tally in self._tallies_of(name):
            tally.stats.out_bytes += response.content_length or 0
        return response

    async def _handle_read(self, request: web.Request) -> web.Response:
        name = request.match_info["stream"]
        from_offset = query_int(request, "from", 1)
        limit = min(query_int(request, "limit", DEFAULT_READ_LIMIT), MAX_READ_LIMIT)
        wait_ms = min(query_int(request, "wait_ms", 0), MAX_WAIT_MS)
        page = await self._read(name, from_offset, limit, wait_ms)
        await self._running.wait()
        if self.faults.outage:
            return self._unavailable(name)
        response = json_response(page)
        for tally in self._tallies_of(name):
            tally.add_read(now_ms() // 1000, response.content_length or 0)
        return response

    async def _read(
        self, name: str, from_offset: int, limit: int, wait_ms: int
    ) -> Page:
        stream = self.stream(name)
        deadline_s = time.monotonic() + wait_ms / 1000
        while True:
            changed = self._changed[name]
            page = stream.read(from_offset, limit, now_ms())
            left_s = deadline_s - time.monotonic()
            if page.records or left_s <= 0 or self.faults.outage:
                return page
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _wake_readers(self, name: str) -> None:
        self._changed[name].set()
        self._changed[name] = asyncio.Event()

    def _tallies_of(self, name: str) -> tuple[Tally, Tally]:
        self.stream(name)
        return self._total, self._tallies[name]

    async def _handle_faults(self, request: web.Request) -> web.Response:
        self.set_faults(await read_attrs(request, Faults))
        return json_response(self.faults)

    async def _handle_get_faults(self, request: web.Request) -> web.Response:
        return json_response(self.faults)

    async def _handle_restore(self, request: web.Request) -> web.Response:
        next_offset = query_int(request, "next_offset", 1)
        self.restore(next_offset, request.query.get("stream"))
        return web.Response(status=204)

    async def _handle_stats(self, request: web.Request) -> web.Response:
        return json_response(self.stats())


def now_ms() -> int:
    """Return the wall clock in ms since the epoch."""
    return time.time_ns() // 1_000_000


def main() -> None:
    """Run the log stand-in from the command line."""
    arguments = docopt(USAGE)
    records = arguments["--retention-records"]
    age_s = arguments["--retention-s"]
    settings = LogSettings(
        host=arguments["--host"],
        port=int(arguments["--port"]),
        appends_per_second=float(arguments["--appends-per-second"]),
        burst=float(arguments["--burst"]),
        retention=Retention(
            records=int(records) if records else None,
            age_ms=int(float(age_s) * 1000) if age_s else None,
        ),
        seed=int(arguments["--seed"]),
    )
    run(LogStandIn(settings))


if __name__ == "__main__":
    main()
