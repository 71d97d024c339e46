"""Client of the platform's store (``/v1/log-*``), which ``azurestep.mesh`` uses.

The store is a log with keyed topics. Outcomes are typed values. A call that timed out
may still take effect, so only idempotent calls are repeated.
"""

import asyncio
import base64
import struct
from collections.abc import Callable
from typing import Annotated, TypeVar
from urllib.parse import quote

import attrs
import msgspec

from ..http.client import ClientConnection, Headers
from ..values import Value
from .outcomes import (
    Appended,
    AppendOutcome,
    Conflict,
    Failed,
    Fenced,
    KeyedRecord,
    LatestRecords,
    OutOfSequence,
    Producer,
    Records,
    Refused,
    Truncated,
    Unanswered,
)

CALL_TIMEOUT_MS = 1000.0
"""Time without a byte of the answer after which a call is given up."""
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 150_994_944
"""Longest answer that is read.

The largest document that nodes pass on to one another takes 134 MB of it in base64,
which leaves room for the records beside it.
"""
OK = 200
GONE = 410
CONFLICT = 409
PRECONDITION_FAILED = 412
THROTTLED = 429
FENCED = "fenced"
STORE_ERA = b"store-era"
MAX_ERA_DIGITS = 15
MAX_OFFSET = 2**63 - 1
"""Largest offset that messages between nodes can hold."""
RECORD_LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")


@attrs.frozen(slots=True, eq=False, repr=False)
class _AppendAnswer(Value):
    offset: int
    end_offset: int


@attrs.frozen(slots=True, eq=False, repr=False)
class _ConditionAnswer(Value):
    end_offset: int


@attrs.frozen(slots=True, eq=False, repr=False)
class _ConflictAnswer(Value):
    why: str = ""
    sequence: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class _TruncatedAnswer(Value):
    first_offset: int | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class _Item(Value):
    key: str
    offset: Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]
    value: str | None = None


@attrs.frozen(slots=True, eq=False, repr=False)
class _Page(Value):
    items: list[msgspec.Raw]
    end_offset: int
    has_more: bool = False


_ITEM_DECODER = msgspec.json.Decoder(_Item)
AnswerType = TypeVar("AnswerType")


@attrs.frozen(slots=True, eq=False, repr=False)
class StoreAnswer(Value):
    """An answer of the store."""

    status: int
    content: bytes
    era: int | None


def parse_era(headers: Headers) -> int | None:
    """Return the era in an answer's headers; None if there is none to be read.

    Examples
    --------
    >>> parse_era([(b"Store-Era", b"3")])
    3
    >>> [parse_era([(b"Store-Era", value)]) for value in (b"-1", b"", b"x", b"9" * 16)]
    [None, None, None, None]
    """
    for name, value in headers:
        if name.lower() == STORE_ERA:
            text = value.strip()
            readable = text.isdigit() and len(text) <= MAX_ERA_DIGITS
            return int(text) if readable else None
    return None


class AnswerCollector:
    """Collects the answer to a call and resolves its future.

    The time limit of the call starts anew with each piece of the answer, so that a
    long answer may take its time over a narrow link.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop of the call.
    timeout : Timeout
        Time limit of the call, which is running.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, timeout: asyncio.Timeout
    ) -> None:
        self.future: asyncio.Future[StoreAnswer] = loop.create_future()
        self.received_bytes = 0
        self.receiving_since_s: float | None = None
        self._loop = loop
        self._timeout = timeout
        self._status = 0
        self._era: int | None = None
        self._parts: list[bytes] = []

    def _record_progress(self) -> None:
        now_s = self._loop.time()
        if self.receiving_since_s is None:
            self.receiving_since_s = now_s
        if not self.future.done():
            self._timeout.reschedule(now_s + CALL_TIMEOUT_MS / 1000)

    def on_head(self, status: int, headers: Headers) -> bool:
        """Store the status and the era."""
        self._record_progress()
        self._status = status
        self._era = parse_era(headers)
        return True

    def on_data(self, data: bytes) -> None:
        """Add a chunk of the body; fail a call whose answer is too long."""
        if self.future.done():
            return
        self._record_progress()
        self._parts.append(data)
        self.received_bytes += len(data)
        if self.received_bytes > MAX_ANSWER_BYTES:
            self._parts = []
            self.on_failed(f"the answer has more than {MAX_ANSWER_BYTES} bytes")

    def on_complete(self, reusable: bool) -> None:
        """Resolve the future with the answer."""
        if not self.future.done():
            content = b"".join(self._parts)
            self.future.set_result(StoreAnswer(self._status, content, self._era))

    def on_failed(self, reason: str) -> None:
        """Resolve the future with an error."""
        if not self.future.done():
            self.future.set_exception(ConnectionError(reason))

    def on_writable(self) -> None:
        """Do nothing: a call is sent at once."""


@attrs.define(eq=False, repr=False)
class StoreClient:
    """Calls to the store, one at a time on one connection.

    Attributes
    ----------
    on_call : Callable
        Called with the kind of each call, for the metrics.
    """

    loop: asyncio.AbstractEventLoop
    address: tuple[str, int]
    on_call: Callable[[str], None]
    _connection: ClientConnection | None = None
    _collector: AnswerCollector | None = None
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def received_bytes(self) -> int:
        """How much of the answer to the current call has arrived."""
        return 0 if self._collector is None else self._collector.received_bytes

    @property
    def receiving_ms(self) -> float:
        """How long the answer to the current call has been arriving; 0 if it isn't."""
        collector = self._collector
        if collector is None or collector.receiving_since_s is None:
            return 0.0
        return (self.loop.time() - collector.receiving_since_s) * 1000

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
            Name of the topic, which is created on first use.
        records : list of bytes
            Records, which are appended atomically.
        at : int, optional
            Required end offset of the log; another one is a conflict.
        producer : Producer, optional
            Identity of the writer, if the append may be repeated or late.
        """
        path = f"/v1/log-append?topic={quote(topic)}&part=0"
        if at is not None:
            path += f"&at={at}"
        if producer is not None:
            path += f"&producer={quote(producer.name)}"
            path += f"&epoch={producer.epoch}&sequence={producer.sequence}"
        body = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)
        answer = await self._call("append", b"POST", path, body, CALL_TIMEOUT_MS)
        if isinstance(answer, Unanswered):
            return answer
        if answer.status not in (OK, CONFLICT, PRECONDITION_FAILED):
            return Refused(answer.status, answer.era)
        return self._append_outcome(answer)

    async def put(
        self,
        topic: str,
        key: str,
        value: bytes,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendOutcome:
        """Set the value of a key of a keyed topic; an empty value deletes the key.

        ``at``: required end offset of the topic; another one is a conflict.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + value
        return await self.append(topic, [record], at=at, producer=producer)

    async def read(
        self, topic: str, from_offset: int, wait_ms: int, max_kib: int | None = None
    ) -> Records | Truncated | Failed:
        """Read records from an offset, waiting up to ``wait_ms`` for the first one.

        ``max_kib``: size of the records up to which more of them are returned.
        """
        path = f"/v1/log-read?topic={quote(topic)}&part=0&from={from_offset}"
        if max_kib is not None:
            path += f"&max_kilobytes={max_kib}"
        if wait_ms:
            path += f"&wait_ms={wait_ms}"
        answer = await self._call(
            "read", b"GET", path, b"", wait_ms + CALL_TIMEOUT_MS / 2
        )
        if isinstance(answer, Unanswered):
            return answer
        if answer.status == GONE:
            return Truncated(_first_offset(answer.content), answer.era)
        if answer.status != OK:
            return Refused(answer.status, answer.era)
        return _parse_records(answer, from_offset)

    async def read_latest(self, topic: str, after: str = "") -> LatestRecords | Failed:
        """Return the latest record of each key of a keyed topic.

        Pages of different eras are no result.

        Parameters
        ----------
        topic : str
            Name of the topic.
        after : str, optional
            Only keys after this one are returned.
        """
        items: list[KeyedRecord] = []
        unreadable = 0
        eras: set[int | None] = set()
        while True:
            path = f"/v1/log-newest?topic={quote(topic)}&part=0"
            if after:
                path += f"&after={quote(after)}"
            answer = await self._call("newest", b"GET", path, b"", CALL_TIMEOUT_MS)
            if isinstance(answer, Unanswered):
                return answer
            if answer.status != OK:
                return Refused(answer.status, answer.era)
            eras.add(answer.era)
            if len(eras) > 1:
                return Unanswered("the store returned from a copy between two pages")
            page = self._decode(answer.content, _Page)
            if isinstance(page, Unanswered):
                return page
            readable = [item for item in map(_decode_item, page.items) if item]
            items += readable
            unreadable += len(page.items) - len(readable)
            if not page.has_more or not readable:
                return LatestRecords(items, page.end_offset, unreadable, answer.era)
            if readable[-1].key == after:
                return Unanswered("malformed answer: the page ends where it began")
            after = readable[-1].key

    def close(self) -> None:
        """Close the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    async def _call(
        self, kind: str, method: bytes, path: str, body: bytes, timeout_ms: float
    ) -> StoreAnswer | Unanswered:
        async with self._lock:
            self.on_call(kind)
            began_s = self.loop.time()
            collector = None
            try:
                async with asyncio.timeout(timeout_ms / 1000) as timeout:
                    collector = AnswerCollector(self.loop, timeout)
                    self._collector = collector
                    return await self._exchange(method, path, body, collector)
            except (OSError, TimeoutError) as error:
                self.close()
                return Unanswered(
                    f"{type(error).__name__} {error}".strip(),
                    waited_ms=(self.loop.time() - began_s) * 1000,
                    received_bytes=collector.received_bytes if collector else 0,
                )
            finally:
                self._collector = None

    async def _exchange(
        self, method: bytes, path: str, body: bytes, collector: AnswerCollector
    ) -> StoreAnswer:
        connection = self._connection
        if connection is None or not connection.usable:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    ClientConnection, *self.address
                )
            self._connection = connection
        host, port = self.address
        head = (
            f"{method.decode()} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection.send(head.encode() + body, collector, True)
        return await collector.future

    def _append_outcome(self, answer: StoreAnswer) -> AppendOutcome:
        content, era = answer.content, answer.era
        if answer.status == OK:
            appended = self._decode(content, _AppendAnswer)
            if isinstance(appended, Unanswered):
                return appended
            return Appended(appended.offset, appended.end_offset, era)
        if answer.status == PRECONDITION_FAILED:
            condition = self._decode(content, _ConditionAnswer)
            return (
                condition
                if isinstance(condition, Unanswered)
                else Conflict(condition.end_offset, era)
            )
        conflict = self._decode(content, _ConflictAnswer)
        if isinstance(conflict, Unanswered):
            return conflict
        if conflict.why == FENCED:
            return Fenced(era)
        return OutOfSequence(conflict.sequence, era)

    def _decode(
        self, content: bytes, answer_type: type[AnswerType]
    ) -> AnswerType | Unanswered:
        try:
            return msgspec.json.decode(content, type=answer_type)
        except (msgspec.DecodeError, RecursionError) as error:
            self.close()
            return Unanswered(f"malformed answer: {error}")


def _decode_item(raw: msgspec.Raw) -> KeyedRecord | None:
    """Return a record of a page, or None if it is malformed."""
    try:
        item = _ITEM_DECODER.decode(raw)
        value = base64.b64decode(item.value or "", validate=True)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    return KeyedRecord(item.key, value, item.offset)


def _first_offset(content: bytes) -> int | None:
    """Return the offset that a refused read names, if it names one."""
    try:
        return msgspec.json.decode(content, type=_TruncatedAnswer).first_offset
    except (msgspec.DecodeError, RecursionError):
        return None


def _parse_records(answer: StoreAnswer, from_offset: int) -> Records | Unanswered:
    content = answer.content
    if len(content) < OFFSETS.size:
        return Unanswered("malformed answer: too short")
    values = []
    end_offset, _ = OFFSETS.unpack_from(content)
    at = OFFSETS.size
    while at + RECORD_LENGTH.size <= len(content):
        (size,) = RECORD_LENGTH.unpack_from(content, at)
        at += RECORD_LENGTH.size
        if at + size > len(content):
            break
        values.append(content[at : at + size])
        at += size
    next_offset = from_offset + len(values)
    return Records(values, next_offset, max(next_offset, end_offset), answer.era)


@attrs.frozen(slots=True, eq=False, repr=False)
class KeyValue(Value):
    """Decoded append to a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


def parse_keyed_record(record: bytes) -> KeyValue | None:
    r"""Parse a record of a keyed topic; return None if it is malformed.

    Examples
    --------
    >>> parse_keyed_record(b"\x02abvalue")
    KeyValue(key='ab', value=b'value')
    >>> parse_keyed_record(b"\x09ab") is None
    True
    """
    if not record or len(record) <= record[0]:
        return None
    end = 1 + record[0]
    try:
        return KeyValue(record[1:end].decode(), record[end:])
    except UnicodeDecodeError:
        return None
