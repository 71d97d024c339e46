"""Answer of a backend server with an unread body."""

import aiohttp
import attrs
from multidict import CIMultiDictProxy

from ..balancing import is_whole
from ..settings import Address
from .connection import BackendConnection, Head
from .connection_pool import ConnectionPool

NO_CONTENT = 204
NOT_MODIFIED = 304
CONTENT_RANGE_UNIT = "bytes "


class BodyTruncatedError(Exception):
    """The body ended before its declared end."""


@attrs.frozen
class ContentRange:
    """First and last byte of a partial answer, both inclusive."""

    first: int
    last: int


@attrs.define
class BackendAnswer:
    """Head of an answer and the connection that its body is read from.

    Attributes
    ----------
    head : Head
        Status, headers and body stream.
    connection : BackendConnection
        Connection to the backend server.
    address : Address
        Address of the backend server.
    connections : ConnectionPool
        Pool that the connection returns to after the body was read.
    has_body : bool
        Whether a body may follow the head.
    first_byte_ms : float
        Monotonic time at which the head was received.
    """

    head: Head
    connection: BackendConnection
    address: Address
    connections: ConnectionPool
    has_body: bool
    first_byte_ms: float
    _is_released: bool = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.message.code

    @property
    def reason(self) -> str:
        """Reason phrase."""
        return self.head.message.reason

    @property
    def headers(self) -> "CIMultiDictProxy[str]":
        """Headers of the answer."""
        return self.head.message.headers

    @property
    def length(self) -> int | None:
        """Declared length of the body in bytes; None if not declared."""
        if not self.has_body:
            return 0
        text = self.headers.get("Content-Length")
        if text is None or self.head.message.chunked:
            return None
        return int(text)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body is delimited by the close of the connection."""
        return self.length is None and not self.head.message.chunked

    @property
    def is_received(self) -> bool:
        """Whether the whole body was received."""
        payload = self.head.payload
        return payload.is_eof() and payload.exception() is None

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyTruncatedError
            If the body ends before its declared end.
        """
        if not self.has_body:
            return b""
        try:
            if self.is_received:
                body = self.head.payload.read_nowait(-1)
            else:
                body = await self.head.payload.read()
        except (aiohttp.ClientError, OSError) as error:
            raise BodyTruncatedError from error
        if not is_whole(self.length, len(body), ended_cleanly=True):
            raise BodyTruncatedError
        return body

    async def read_up_to(self, maximum_bytes: int) -> bytes | None:
        """Return the whole body, or None if it exceeds a maximum size.

        Raises
        ------
        BodyTruncatedError
            If the body ends before its declared end.
        """
        body = bytearray()
        while chunk := await self.read_some():
            body += chunk
            if len(body) > maximum_bytes:
                return None
        if not is_whole(self.length, len(body), ended_cleanly=True):
            raise BodyTruncatedError
        return bytes(body)

    async def read_some(self) -> bytes:
        """Return the next received bytes; empty at the end of the body.

        Raises
        ------
        BodyTruncatedError
            If the connection is lost.
        """
        try:
            return await self.head.payload.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise BodyTruncatedError from error

    def content_range(self) -> ContentRange | None:
        """Return the ``Content-Range`` of a partial answer, or None if unusable."""
        text = self.headers.get("Content-Range", "")
        if not text.startswith(CONTENT_RANGE_UNIT):
            return None
        span = text[len(CONTENT_RANGE_UNIT) :].partition("/")[0]
        first, _, last = span.partition("-")
        if not first.isdecimal() or not last.isdecimal():
            return None
        return ContentRange(int(first), int(last))

    def release(self) -> None:
        """Put the connection back if the body was read, abort it otherwise."""
        if self._is_released:
            return
        self._is_released = True
        if self.head.payload.is_eof():
            self.connections.put_back(self.address, self.connection)
        else:
            self.connection.abort()


def has_body(method: str, status: int) -> bool:
    """Return whether an answer may have a body (RFC 9110, section 6.4.1)."""
    return method != "HEAD" and status not in (NO_CONTENT, NOT_MODIFIED)
