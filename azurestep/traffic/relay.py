"""Relay of an answer's body from a backend server to the caller."""

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from ..balancing import is_whole
from .call import passed_on

SMALL_BODY_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024


class BodyCutError(Exception):
    """The body ended before its declared end."""


def declared_length(response: aiohttp.ClientResponse) -> int | None:
    """Return the declared length of a body; None for a chunked one."""
    return response.content_length


async def relay(
    request: web.BaseRequest, response: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Pass an answer on; a body cut short breaks the caller's connection.

    Raises
    ------
    BodyCutError
        If the body was cut before any byte reached the caller.
    """
    fields = passed_on(response.headers)
    length = declared_length(response)
    if request.method == "HEAD" or (length is not None and length <= SMALL_BODY_BYTES):
        return await _relay_small(response, fields, length)
    return await _relay_stream(request, response, fields, length)


async def _relay_small(
    response: aiohttp.ClientResponse,
    fields: "CIMultiDict[str]",
    length: int | None,
) -> web.Response:
    try:
        body = await response.read()
    except aiohttp.ClientError as error:
        raise BodyCutError from error
    if response.method != "HEAD":
        if not is_whole(length, len(body), ended_cleanly=True):
            raise BodyCutError
        fields.pop("Content-Length", None)
    return web.Response(status=response.status, body=body, headers=fields)


async def _relay_stream(
    request: web.BaseRequest,
    response: aiohttp.ClientResponse,
    fields: "CIMultiDict[str]",
    length: int | None,
) -> web.StreamResponse:
    answer = web.StreamResponse(status=response.status, headers=fields)
    if length is None:
        answer.enable_chunked_encoding()
    await answer.prepare(request)
    try:
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            await answer.write(chunk)
    except (aiohttp.ClientError, OSError):
        break_connection(request)
        return answer
    await answer.write_eof()
    return answer


def break_connection(request: web.BaseRequest) -> None:
    """Break the connection, so that the caller sees that the body is cut."""
    if request.transport is not None:
        request.transport.abort()
