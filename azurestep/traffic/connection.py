"""HTTP/1.1 connections to backend servers.

Based on aiohttp's protocol and parser, without the session's cookies,
redirects, traces and header objects, which a proxy doesn't need.
"""

import asyncio
from collections.abc import AsyncIterable

import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

READ_BUFFER_BYTES = 64 * 1024
HEAD_METHOD = "HEAD"
MIN_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
LAST_CHUNK = b"0\r\n\r\n"


@attrs.frozen
class Head:
    """Head of an answer and the stream of its body."""

    message: RawResponseMessage
    payload: StreamReader


class BackendConnection(ResponseHandler):
    """A connection that carries one request at a time.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    opened_ms : float
        Monotonic time at which it was opened.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, opened_ms: float) -> None:
        super().__init__(loop)
        self.opened_ms = opened_ms
        self.used_ms = opened_ms
        self.requests = 0

    @property
    def is_usable(self) -> bool:
        """Whether it is open and received nothing unexpected."""
        return self.is_connected() and not self.should_close

    async def send(
        self, method: str, head: bytes, body: bytes | AsyncIterable[bytes]
    ) -> Head:
        """Send a request and wait for the head of its answer.

        Raises
        ------
        aiohttp.ClientError, OSError
            If the connection is lost or the answer is malformed.
        """
        self.requests += 1
        self.set_response_params(
            skip_payload=method == HEAD_METHOD,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        if isinstance(body, bytes):
            self._put(head + body)
            return await self._read_head()
        return await self._send_stream(head, body)

    async def _send_stream(self, head: bytes, body: AsyncIterable[bytes]) -> Head:
        self._put(head)
        sending = asyncio.create_task(self._send_chunks(body))
        try:
            answer = await self._read_head()
        finally:
            if not sending.done():
                # The server answered early; don't send the rest of the request.
                self.force_close()
                sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        return answer

    async def _send_chunks(self, body: AsyncIterable[bytes]) -> None:
        try:
            async for chunk in body:
                self._put(b"%x\r\n%b\r\n" % (len(chunk), chunk))
                await self._drain_helper()
            self._put(LAST_CHUNK)
        except Exception:
            self.abort()
            raise

    def _put(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        self.transport.write(data)

    async def _read_head(self) -> Head:
        while True:
            message, payload = await self.read()
            is_informational = message.code < MIN_FINAL_STATUS
            if not is_informational or message.code == SWITCHING_PROTOCOLS:
                return Head(message, payload)
