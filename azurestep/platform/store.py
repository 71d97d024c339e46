"""Client of the platform's store: a log with keyed topics.

Every outcome is a typed value. A call without an answer may have been carried
out, and may be later, so callers repeat only what is harmless twice.
"""

import asyncio
import base64
import struct
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import attrs
import orjson

from ..mesh.http_client import ClientConnection, Headers

CALL_TIMEOUT_MS = 1000.0
"""Longest wait for an answer; the store takes some 4 ms, or 60 times that when it
is slow."""
CONNECT_TIMEOUT_S = 1.0
OK = 200
GONE = 410
CONFLICT = 409
PRECONDITION_FAILED = 412
THROTTLED = 429
FENCED = "fenced"
LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")


@attrs.frozen(slots=True)
class Appended:
    """Records stand on the log from this offset on."""

    offset: int
    end_offset: int


@attrs.frozen(slots=True)
class KeyedRecord:
    """The newest value of a key; empty if the key was dropped."""

    key: str
    value: bytes
    offset: int


@attrs.frozen(slots=True)
class Records:
    """Records read, and the offset of the next read."""

    values: list[bytes]
    next_offset: int


@attrs.frozen(slots=True)
class Newest:
    """The newest record of each key, and where to read on."""

    items: list[KeyedRecord]
    end_offset: int


@attrs.frozen(slots=True)
class Forgotten:
    """The records asked for are deleted; the log begins at this offset."""

    first_offset: int


@attrs.frozen(slots=True)
class Conflict:
    """The condition of an append did not hold."""

    end_offset: int


@attrs.frozen(slots=True)
class Fenced:
    """A process with a higher epoch has written as the same producer."""


@attrs.frozen(slots=True)
class OutOfSequence:
    """An append of the producer before this one is missing.

    Attributes
    ----------
    expected : int or None
        Number that the store waits for, where it tells it.
    """

    expected: int | None


@attrs.frozen(slots=True)
class Producer:
    """Who appends, so that a repeated or late append is told from a new one.

    Attributes
    ----------
    name : str
        Identity that outlives a process.
    epoch : int
        Number of the process; appends of an earlier one are refused.
    sequence : int
        Number of the append within the epoch; a repeat gets its first answer.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen(slots=True)
class Refused:
    """The store did nothing.

    Attributes
    ----------
    status : int
        Its status: 429 above the rate, 503 while it is away.
    """

    status: int


@attrs.frozen(slots=True)
class Unanswered:
    """No answer came; the call may have been carried out."""

    cause: str


Failed = Refused | Unanswered
AppendOutcome = Appended | Conflict | Fenced | OutOfSequence | Failed


class Reply:
    """Collects the answer to one call."""

    def __init__(self, future: "asyncio.Future[tuple[int, bytes]]") -> None:
        self._future = future
        self._status = 0
        self._parts: list[bytes] = []

    def on_head(self, status: int, headers: Headers) -> bool:
        """Take the status."""
        self._status = status
        return True

    def on_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._parts.append(data)

    def on_complete(self, reusable: bool) -> None:
        """Hand the answer over."""
        if not self._future.done():
            self._future.set_result((self._status, b"".join(self._parts)))

    def on_failed(self, reason: str) -> None:
        """Hand the failure over."""
        if not self._future.done():
            self._future.set_exception(ConnectionError(reason))

    def on_writable(self) -> None:
        """Ignore; calls are short."""


@attrs.define(eq=False)
class StoreClient:
    """Calls to the store, one at a time on one connection.

    Attributes
    ----------
    on_call : Callable
        Called with the kind of each call, to count it.
    """

    loop: asyncio.AbstractEventLoop
    address: tuple[str, int]
    on_call: Callable[[str], None]
    _connection: ClientConnection | None = None
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def append(
        self,
        topic: str,
        records: list[bytes],
        at: int | None = None,
        producer: Producer | None = None,
    ) -> AppendOutcome:
        """Append records to the only partition of a topic.

        Parameters
        ----------
        topic : str
            Name of the topic; it is created on first use.
        records : list of bytes
            Appended all or none.
        at : int, optional
            Offset at which the log must end.
        producer : Producer, optional
            Who appends, if a repeat or a late append must do no harm.
        """
        path = f"/v1/log-append?topic={quote(topic)}&part=0"
        if at is not None:
            path += f"&at={at}"
        if producer is not None:
            path += f"&producer={quote(producer.name)}"
            path += f"&epoch={producer.epoch}&sequence={producer.sequence}"
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        answer = await self._call("append", b"POST", path, body, CALL_TIMEOUT_MS)
        if isinstance(answer, Unanswered):
            return answer
        status, content = answer
        if status not in (OK, CONFLICT, PRECONDITION_FAILED):
            return Refused(status)
        return self._decoded(content, lambda fields: _append_outcome(status, fields))

    async def put(
        self, topic: str, key: str, value: bytes, producer: Producer | None = None
    ) -> AppendOutcome:
        """Set the value of a key of a keyed topic; an empty one drops the key."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        return await self.append(topic, [record], producer=producer)

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> Records | Forgotten | Failed:
        """Read the records from an offset on, waiting for one to come."""
        path = f"/v1/log-read?topic={quote(topic)}&part=0&from={from_offset}"
        if wait_ms:
            path += f"&wait_ms={wait_ms}"
        answer = await self._call(
            "read", b"GET", path, b"", wait_ms + CALL_TIMEOUT_MS / 2
        )
        if isinstance(answer, Unanswered):
            return answer
        status, content = answer
        if status == GONE:
            return self._decoded(content, lambda f: Forgotten(int(f["first_offset"])))
        if status != OK:
            return Refused(status)
        return _split_records(content, from_offset)

    async def newest(self, topic: str) -> Newest | Failed:
        """Return the newest record of each key of a keyed topic."""
        items: list[KeyedRecord] = []
        after = ""
        while True:
            path = f"/v1/log-newest?topic={quote(topic)}&part=0"
            if after:
                path += f"&after={quote(after)}"
            answer = await self._call("newest", b"GET", path, b"", CALL_TIMEOUT_MS)
            if isinstance(answer, Unanswered):
                return answer
            status, content = answer
            if status != OK:
                return Refused(status)
            page = self._decoded(content, _newest_page)
            if isinstance(page, Unanswered):
                return page
            items += page[0].items
            if not page[1] or not page[0].items:
                return Newest(items, page[0].end_offset)
            after = page[0].items[-1].key

    def close(self) -> None:
        """Close the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    async def _call(
        self, kind: str, method: bytes, path: str, body: bytes, timeout_ms: float
    ) -> tuple[int, bytes] | Unanswered:
        async with self._lock:
            self.on_call(kind)
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await self._exchange(method, path, body)
            except (OSError, TimeoutError) as error:
                self.close()
                return Unanswered(f"{type(error).__name__} {error}".strip())

    async def _exchange(
        self, method: bytes, path: str, body: bytes
    ) -> tuple[int, bytes]:
        connection = self._connection
        if connection is None or not connection.usable:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    ClientConnection, *self.address
                )
            self._connection = connection
        future: asyncio.Future[tuple[int, bytes]] = self.loop.create_future()
        host, port = self.address
        head = (
            f"{method.decode()} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection.send(head.encode() + body, Reply(future), True)
        return await future

    def _decoded(self, content: bytes, read: Callable[[Any], Any]) -> Any:
        try:
            return read(orjson.loads(content))
        except (KeyError, TypeError, ValueError) as error:
            self.close()
            return Unanswered(f"malformed answer: {error!r}")


def _append_outcome(status: int, fields: dict[str, Any]) -> AppendOutcome:
    if status == OK:
        return Appended(int(fields["offset"]), int(fields["end_offset"]))
    if status == PRECONDITION_FAILED:
        return Conflict(int(fields["end_offset"]))
    if fields.get("why") == FENCED:
        return Fenced()
    expected = fields.get("sequence")
    return OutOfSequence(None if expected is None else int(expected))


def _newest_page(fields: dict[str, Any]) -> tuple[Newest, bool]:
    items = [
        KeyedRecord(
            str(item["key"]),
            base64.b64decode(item.get("value") or ""),
            int(item["offset"]),
        )
        for item in fields["items"]
    ]
    return Newest(items, int(fields["end_offset"])), bool(fields.get("has_more"))


def _split_records(content: bytes, from_offset: int) -> Records | Unanswered:
    if len(content) < ENDS.size:
        return Unanswered("malformed answer: too short")
    values = []
    at = ENDS.size
    while at + LENGTH.size <= len(content):
        (size,) = LENGTH.unpack_from(content, at)
        at += LENGTH.size
        if at + size > len(content):
            break
        values.append(content[at : at + size])
        at += size
    return Records(values, from_offset + len(values))


def split_keyed(record: bytes) -> tuple[str, bytes]:
    r"""Return key and value of a record of a keyed topic.

    Examples
    --------
    >>> split_keyed(b"\x02abvalue")
    ('ab', b'value')
    """
    size = record[0]
    return record[1 : 1 + size].decode(), record[1 + size :]
