"""Stand-in of the platform's store: topics, long polls, conditions, faults."""

import asyncio
import base64
import contextlib
import struct
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs
import orjson
from aiohttp import web

LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
KEYED_PREFIX = "keyed."
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Trouble(StrEnum):
    """How the store misbehaves towards all callers."""

    NONE = "none"
    BUSY = "busy"
    THROTTLED = "throttled"
    RESET = "reset"
    SILENT = "silent"
    ANSWER_LOST = "answer lost"


@attrs.define
class Topic:
    """One partition: records from the first retained offset on."""

    records: list[bytes] = attrs.field(factory=list)
    first_offset: int = 0
    newest: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes, keyed: bool) -> None:
        """Add a record and wake the readers."""
        if keyed:
            size = record[0]
            key = record[1 : 1 + size].decode()
            value = record[1 + size :]
            if value:
                self.newest[key] = (self.end_offset, value)
            else:
                self.newest.pop(key, None)
        self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()

    def forget(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first_offset = self.end_offset
        self.records = []


@attrs.define
class StoreStandIn:
    """The store's calls that azurestep uses, over real HTTP.

    Attributes
    ----------
    trouble : Trouble
        How it misbehaves now.
    calls : list of str
        Paths of all calls, for tests that count them.
    """

    trouble: Trouble = Trouble.NONE
    calls: list[str] = attrs.field(factory=list)
    topics: dict[str, Topic] = attrs.field(factory=dict)

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a key, as the operators do."""
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + value, keyed=True)

    def application(self) -> web.Application:
        """Return the application that serves the calls."""
        application = web.Application(middlewares=[self._misbehave])
        application.router.add_post("/v1/log-append", self._append)
        application.router.add_get("/v1/log-read", self._read)
        application.router.add_get("/v1/log-newest", self._newest)
        return application

    @web.middleware
    async def _misbehave(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.trouble is Trouble.BUSY:
            return web.json_response({}, status=503)
        if self.trouble is Trouble.THROTTLED:
            return web.json_response({}, status=429)
        if self.trouble is Trouble.SILENT:
            await asyncio.sleep(3600)
        if self.trouble is Trouble.RESET:
            _abort(request)
        answer = await handler(request)
        if self.trouble is Trouble.ANSWER_LOST:
            _abort(request)
        return answer

    async def _append(self, request: web.Request) -> web.Response:
        name = request.query["topic"]
        topic = self.topic(name)
        at = request.query.get("at")
        if at is not None and int(at) != topic.end_offset:
            return web.json_response({"end_offset": topic.end_offset}, status=412)
        offset = topic.end_offset
        body = await request.read()
        while body:
            (size,) = LENGTH.unpack_from(body)
            topic.append(body[4 : 4 + size], name.startswith(KEYED_PREFIX))
            body = body[4 + size :]
        return web.json_response({"offset": offset, "end_offset": topic.end_offset})

    async def _read(self, request: web.Request) -> web.Response:
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        if start < topic.first_offset:
            return web.json_response({"first_offset": topic.first_offset}, status=410)
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if start >= topic.end_offset and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.grown.wait(), wait_s)
        records = topic.records[max(0, start - topic.first_offset) :]
        body = ENDS.pack(topic.end_offset, topic.first_offset)
        body += b"".join(LENGTH.pack(len(item)) + item for item in records)
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        topic = self.topic(request.query["topic"])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        fields = {"items": items, "has_more": False, "end_offset": topic.end_offset}
        return web.Response(body=orjson.dumps(fields), content_type="application/json")


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
