"""Stand-in of a backend server as the users' platform runs them.

It signs its answers, echoes the id of a request, checks which incarnation a
request is meant for, counts runs, and misbehaves where a test asks for it.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

Handler = Callable[["Received"], bytes | None]
HEALTH_PATH = "/health"
POLL_S = 0.005
"""Time between checks whether a slot is free, or a connection was closed."""


@attrs.frozen
class Received:
    """One request as the backend server got it, and when, by the event loop."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = 0.0


@attrs.define
class SigningServer:
    """A backend server on a real socket.

    Attributes
    ----------
    instance_id : str
        Its incarnation.
    work_s : float
        Time that a request takes; one whose target ends with ``ms=N`` takes that.
    rate_limit : str or None
        Rate limit that its answers name; None for none.
    leaving : str or None
        Value of the header that says that it leaves; None for no header.
    tells_probes : bool
        Whether its answers to health probes say both too.
    work_percent : int or None
        How long work takes on its machine, 100 being normal. All its answers name it as
        the fourth load figure; None names three figures, in health answers only.
    queue_length : int or None
        Requests that may wait for one of its slots. One beyond it does not run, and
        neither it nor any later one on its connection is ever answered. None runs all
        requests at once, whatever the slots.
    answers_when_full : bool
        Whether a request beyond the queue is answered 503 instead.
    keeps_runs : bool
        Whether a request runs on after its connection has ended.
    answer_override : Callable or None
        Returns the bytes of the answer in place of the usual ones, or None to
        close the connection without an answer.
    runs : Counter
        How often each request ran, by its id.
    arrivals : list of tuple
        Id, incarnation and time of each request that ran.
    arrived_headers : list of dict
        Headers of the same requests, in the same order.
    work_ends : list of tuple
        Id, incarnation and time of each end of work, with an answer or without.
    unqueued : int
        Requests that were left unanswered since the queue was full.
    """

    instance_id: str
    work_s: float = 0.0
    slots: int = 4
    healthy: bool = True
    rate_limit: str | None = None
    leaving: str | None = None
    tells_probes: bool = True
    work_percent: int | None = None
    queue_length: int | None = None
    answers_when_full: bool = False
    keeps_runs: bool = False
    answer_override: Handler | None = None
    runs: Counter[str] = attrs.field(factory=Counter)
    received: list[Received] = attrs.field(factory=list)
    arrivals: list[tuple[str, str, float]] = attrs.field(factory=list)
    arrived_headers: list[dict[str, str]] = attrs.field(factory=list)
    work_ends: list[tuple[str, str, float]] = attrs.field(factory=list)
    unqueued: int = 0
    connections: int = 0
    running: int = 0
    most_running: int = 0
    cancelled: int = 0
    answered: int = 0
    _server: asyncio.Server | None = None
    _queue: list[Received] = attrs.field(factory=list)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _forgotten: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Close everything at once, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def forget_connections(self) -> None:
        """Reset each open connection once something is sent on it."""
        self._forgotten |= self._writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                received = await _read_request(reader)
                if received is None:
                    return
                if writer in self._forgotten:
                    writer.transport.abort()
                    return
                if not (self._has_room(received) or self.answers_when_full):
                    while received is not None:
                        self.unqueued += 1
                        received = await _read_request(reader)
                    return
                answer = await self._answer(received, reader)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            self._forgotten.discard(writer)
            writer.close()

    async def _answer(
        self, received: Received, reader: asyncio.StreamReader
    ) -> bytes | None:
        if received.target == HEALTH_PATH:
            status = 200 if self.healthy else 503
            headers = [f"Instance-Id: {self.instance_id}", self._load()]
            if self.tells_probes:
                headers += self._notice()
            return _text(status, list(dict.fromkeys(headers)), b"")
        if received.headers.get("expected-instance") != self.instance_id:
            return _text(421, [f"Instance-Id: {self.instance_id}"], b"")
        if not self._has_room(received):
            return signed(received, b"", 503, ["Not-Executed: 1"])
        await self._wait_for_slot(received, reader)
        self.received.append(received)
        name = received.headers.get("attempt-id", "")
        self.runs[name] += 1
        self.arrivals.append((name, self.instance_id, received.at_s))
        self.arrived_headers.append(received.headers)
        if self.answer_override is not None:
            return self.answer_override(received)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            work_s = _work_s(received.target, self.work_s)
            await self._work(reader, work_s * (self.work_percent or 100) / 100)
        finally:
            self.running -= 1
            ended_s = asyncio.get_running_loop().time()
            self.work_ends.append((name, self.instance_id, ended_s))
        self.answered += 1
        return signed(received, received.body or b"hello", headers=self._notice())

    def _notice(self) -> list[str]:
        """Return the headers in which it tells of itself."""
        fields = {"Server-Limit": self.rate_limit, "Server-Leaving": self.leaving}
        told = [
            f"{name}: {value}" for name, value in fields.items() if value is not None
        ]
        return told if self.work_percent is None else [*told, self._load()]

    def _load(self) -> str:
        """Return the header with its three or four load figures."""
        figures = [self.running, len(self._queue), self.slots]
        if self.work_percent is not None:
            figures.append(self.work_percent)
        return f"Server-Load: {','.join(map(str, figures))}"

    def _has_room(self, received: Received) -> bool:
        """Whether a request may run or wait; health probes always may."""
        if self.queue_length is None or received.target == HEALTH_PATH:
            return True
        taken = self.running + len(self._queue)
        return taken < self.slots + self.queue_length

    async def _wait_for_slot(
        self, received: Received, reader: asyncio.StreamReader
    ) -> None:
        """Wait until a slot is free and no earlier request waits for it."""
        if self.queue_length is None:
            return
        self._queue.append(received)
        try:
            while self.running >= self.slots or self._queue[0] is not received:
                await asyncio.sleep(POLL_S)
                if _is_closed(reader):
                    self.cancelled += 1
                    raise ConnectionError
        finally:
            self._queue.remove(received)

    async def _work(self, reader: asyncio.StreamReader, work_s: float) -> None:
        end = asyncio.get_running_loop().time() + work_s
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(POLL_S)
            if _is_closed(reader) and not self.keeps_runs:
                self.cancelled += 1
                raise ConnectionError


def _is_closed(reader: asyncio.StreamReader) -> bool:
    """Whether the other end has closed or reset the connection."""
    return reader.at_eof() or reader.exception() is not None


def _work_s(target: str, usual_s: float) -> float:
    asked_ms = target.rpartition("ms=")[2] if "ms=" in target else ""
    return int(asked_ms) / 1000 if asked_ms else usual_s


def signed(
    received: Received, body: bytes, status: int = 200, headers: Iterable[str] = ()
) -> bytes:
    """Return a whole signed answer to a request."""
    name = received.headers.get("attempt-id", "")
    own = [f"Attempt-Id: {name}", "Response-Signature: s1"]
    return _text(status, [*own, *headers], body)


def _text(status: int, headers: list[str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def _read_request(reader: asyncio.StreamReader) -> Received | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    method, target, _ = first.split(" ")
    if headers.get("transfer-encoding") == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    at_s = asyncio.get_running_loop().time()
    return Received(method, target, headers, body, at_s)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body
