"""JSON bodies and headers shared by the HTTP stand-ins."""

import math
from typing import Any, TypeVar

import attrs
import cattrs
import orjson
from aiohttp import web

T = TypeVar("T")

RETRY_AFTER = "Retry-After"
RETRY_AFTER_MS = "Retry-After-Ms"

_converter = cattrs.Converter(forbid_extra_keys=True)


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a JSON answer.

    Parameters
    ----------
    value : Any
        An attrs instance, or anything that orjson encodes.
    status : int
        HTTP status.
    headers : dict of str to str, optional
        Further headers.
    """
    plain = attrs.asdict(value) if attrs.has(type(value)) else value
    return web.Response(
        body=orjson.dumps(plain),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def retry_after_headers(delay_ms: float) -> dict[str, str]:
    """Return the headers that tell a caller when to try again."""
    whole_ms = max(1, math.ceil(delay_ms))
    return {
        RETRY_AFTER: str(math.ceil(whole_ms / 1000)),
        RETRY_AFTER_MS: str(whole_ms),
    }


async def read_json(request: web.Request) -> Any:
    """Return the JSON body of a request.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If the body isn't JSON.
    aiohttp.web.HTTPRequestEntityTooLarge
        If the body is over the application's limit.
    """
    body = await request.read()
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise web.HTTPBadRequest(text=f"send a JSON body: {error}") from error


async def read_attrs(request: web.Request, kind: type[T]) -> T:
    """Return the JSON body of a request as an attrs instance.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If the body doesn't fit `kind`; the text names the fields it takes.
    """
    value = await read_json(request)
    try:
        return structure_json(value, kind)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        fields = ", ".join(field.name for field in attrs.fields(kind))  # type: ignore
        raise web.HTTPBadRequest(
            text=f"send a JSON object with fields among: {fields} ({error})"
        ) from error


def structure_json(value: Any, kind: type[T]) -> T:
    """Build an attrs instance from a decoded JSON value.

    Raises
    ------
    cattrs.BaseValidationError
        If the value doesn't fit `kind`.
    """
    return _converter.structure(value, kind)


def query_int(request: web.Request, name: str, default: int) -> int:
    """Return an integer of the query string that isn't negative.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If the value isn't such an integer.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f"give {name} as a whole number of 0 or more")
    return int(text)
