"""Body of a caller's request: buffered for retries, or streamed."""

from collections.abc import AsyncIterator

from aiohttp import web

from .answers import ErrorAnswer, not_run
from .call import MAX_BUFFERED_BODY_BYTES, Call


async def buffer_body(request: web.BaseRequest, call: Call) -> ErrorAnswer | None:
    """Buffer the body for retries.

    A body over ``MAX_BUFFERED_BODY_BYTES`` is streamed if the request is idempotent,
    and refused otherwise.
    """
    body = bytearray()
    while chunk := await request.content.readany():
        body += chunk
        if len(body) <= MAX_BUFFERED_BODY_BYTES:
            continue
        if not call.match.idempotent:
            return not_run(413, "body_too_large", None)
        call.stream = _stream(bytes(body), request)
        return None
    call.body = bytes(body)
    return None


async def _stream(buffered: bytes, request: web.BaseRequest) -> AsyncIterator[bytes]:
    yield buffered
    while chunk := await request.content.readany():
        yield chunk
