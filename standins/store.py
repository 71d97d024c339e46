"""Stand-in of the platform's store: topics, long polls, conditions, faults."""

import asyncio
import base64
import contextlib
import copy
import math
import struct
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum

import attrs
import orjson
from aiohttp import web

LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
KEYED_PREFIX = "keyed."
SILENCE_CHECK_S = 0.02
PACE_S = 0.02
"""Time between two pieces of an answer to a caller with a narrow link."""
DEFAULT_READ_KIB = 1024
ANSWERS_KEPT = 5
"""Appends of a producer whose repeats get their first answer."""
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Trouble(StrEnum):
    """How the store misbehaves towards all callers."""

    NONE = "none"
    BUSY = "busy"
    THROTTLED = "throttled"
    RESET = "reset"
    SILENT = "silent"
    ANSWER_LOST = "answer lost"
    LATE = "late"


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
        self.append_raw(record)

    def append_raw(self, record: bytes) -> None:
        """Add a record as it is, as another writer may."""
        self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()

    def truncate(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first_offset = self.end_offset
        self.records = []


@attrs.define
class Written:
    """What a producer wrote last, and the answers to its last appends."""

    epoch: int
    sequence: int
    answers: OrderedDict[int, dict[str, int]] = attrs.field(factory=OrderedDict)


@attrs.define
class StoreCopy:
    """What the store held at one moment."""

    topics: "dict[str, Topic]"
    producers: dict[tuple[str, str], Written]


@attrs.define
class StoreStandIn:
    """The store's calls that azurestep uses, over real HTTP.

    Attributes
    ----------
    trouble : Trouble
        How it misbehaves now.
    refused_hosts : set of str
        Callers that are turned away while others are served.
    late_s : float
        Delay of an append that is carried out after its call broke off.
    page_items : int
        Most keys of one page.
    link_bytes_per_s : float
        Rate at which each answer reaches its caller; infinite for no limit.
    sent_bytes : int
        Bodies of all answers so far.
    raw_items : list
        Items of another writer that stand on each page of newest records.
    calls : list of str
        Paths of all calls, for tests that count them.
    era : int or None
        Rises each time that it returns from a copy; None if answers don't name it.
    """

    trouble: Trouble = Trouble.NONE
    refused_hosts: set[str] = attrs.field(factory=set)
    late_s: float = 0.5
    page_items: int = 500
    link_bytes_per_s: float = math.inf
    sent_bytes: int = 0
    raw_items: list[object] = attrs.field(factory=list)
    calls: list[str] = attrs.field(factory=list)
    era: int | None = None
    topics: dict[str, Topic] = attrs.field(factory=dict)
    _producers: dict[tuple[str, str], Written] = attrs.field(factory=dict)
    _late: set[asyncio.Task[web.Response]] = attrs.field(factory=set)

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a key, as the operators do."""
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + value, keyed=True)

    def take_copy(self) -> StoreCopy:
        """Return a copy of all topics."""
        topics = {}
        for name, topic in self.topics.items():
            kept = list(topic.records), topic.first_offset, dict(topic.newest)
            topics[name] = Topic(*kept)
        return StoreCopy(topics, copy.deepcopy(self._producers))

    def return_from(self, saved: StoreCopy) -> None:
        """Continue from a copy: what was written since is lost, offsets go back."""
        readers = [topic.grown for topic in self.topics.values()]
        self.topics, self._producers = saved.topics, saved.producers
        if self.era is not None:
            self.era += 1
        for grown in readers:
            grown.set()

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
        if self.trouble is Trouble.BUSY or request.remote in self.refused_hosts:
            return self._with_era(web.json_response({}, status=503))
        if self.trouble is Trouble.THROTTLED:
            return self._with_era(web.json_response({}, status=429))
        if self.trouble is Trouble.SILENT:
            await self._fall_silent()
        if self.trouble is Trouble.RESET:
            _abort(request)
        answer = self._with_era(await handler(request))
        if self.trouble is Trouble.ANSWER_LOST:
            _abort(request)
        return await self._paced(request, answer)

    async def _paced(
        self, request: web.Request, answer: web.StreamResponse
    ) -> web.StreamResponse:
        """Send an answer at the rate of the caller's link."""
        if not isinstance(answer, web.Response):
            return answer
        body = answer.body if isinstance(answer.body, bytes) else b""
        self.sent_bytes += len(body)
        if math.isinf(self.link_bytes_per_s):
            return answer
        paced = web.StreamResponse(status=answer.status, headers=answer.headers)
        paced.content_length = len(body)
        await paced.prepare(request)
        step = max(1, int(self.link_bytes_per_s * PACE_S))
        with contextlib.suppress(ConnectionResetError):
            for start in range(0, len(body), step):
                await asyncio.sleep(PACE_S)
                await paced.write(body[start : start + step])
        return paced

    def _with_era(self, answer: web.StreamResponse) -> web.StreamResponse:
        if self.era is not None:
            answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _fall_silent(self) -> None:
        while self.trouble is Trouble.SILENT:
            await asyncio.sleep(SILENCE_CHECK_S)

    async def _append(self, request: web.Request) -> web.Response:
        name = request.query["topic"]
        body = await request.read()
        if self.trouble is Trouble.LATE:
            task = asyncio.create_task(self._append_late(name, request.query, body))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            _abort(request)
        return self._append_now(name, request.query, body)

    async def _append_late(
        self, name: str, query: Mapping[str, str], body: bytes
    ) -> web.Response:
        await asyncio.sleep(self.late_s)
        return self._append_now(name, query, body)

    def _append_now(
        self, name: str, query: Mapping[str, str], body: bytes
    ) -> web.Response:
        topic = self.topic(name)
        if int(query.get("at", topic.end_offset)) != topic.end_offset:
            return web.json_response({"end_offset": topic.end_offset}, status=412)
        answer = self._repeated(name, query)
        if answer is not None:
            return answer
        fields = {"offset": topic.end_offset}
        while body:
            (size,) = LENGTH.unpack_from(body)
            topic.append(body[4 : 4 + size], name.startswith(KEYED_PREFIX))
            body = body[4 + size :]
        fields["end_offset"] = topic.end_offset
        self._remember(name, query, fields)
        return web.json_response(fields)

    def _repeated(self, topic: str, query: Mapping[str, str]) -> web.Response | None:
        written = self._producers.get((topic, query.get("producer", "")))
        if written is None:
            return None
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < written.epoch:
            return web.json_response({"why": "fenced"}, status=409)
        if epoch > written.epoch or sequence == written.sequence + 1:
            return None
        if sequence in written.answers:
            return web.json_response(written.answers[sequence])
        expected = {"why": "seq", "sequence": written.sequence + 1}
        return web.json_response(expected, status=409)

    def _remember(
        self, topic: str, query: Mapping[str, str], fields: dict[str, int]
    ) -> None:
        producer = query.get("producer")
        if producer is None:
            return
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        written = self._producers.get((topic, producer))
        if written is None or epoch > written.epoch:
            written = Written(epoch, sequence)
            self._producers[topic, producer] = written
        written.sequence = sequence
        written.answers[sequence] = fields
        while len(written.answers) > ANSWERS_KEPT:
            written.answers.popitem(last=False)

    async def _read(self, request: web.Request) -> web.Response:
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        if not topic.first_offset <= start <= topic.end_offset:
            return web.json_response({"first_offset": topic.first_offset}, status=410)
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if start >= topic.end_offset and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.grown.wait(), wait_s)
            topic = self.topic(request.query["topic"])
            if start > topic.end_offset:
                return web.json_response({}, status=410)
        records = _up_to(
            topic.records[max(0, start - topic.first_offset) :],
            int(request.query.get("max_kilobytes", DEFAULT_READ_KIB)) * 1024,
        )
        body = ENDS.pack(topic.end_offset, topic.first_offset)
        body += b"".join(LENGTH.pack(len(item)) + item for item in records)
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        topic = self.topic(request.query["topic"])
        after = request.query.get("after", "")
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(topic.newest.items())
            if key > after
        ]
        page = items[: self.page_items]
        fields = {
            "items": [*self.raw_items, *page],
            "has_more": len(page) < len(items),
            "end_offset": topic.end_offset,
        }
        return web.Response(body=orjson.dumps(fields), content_type="application/json")


def _up_to(records: list[bytes], size_bytes: int) -> list[bytes]:
    """Return the first records up to a size, one at least."""
    total = 0
    for index, record in enumerate(records):
        total += LENGTH.size + len(record)
        if total > size_bytes:
            return records[: max(1, index)]
    return records


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
