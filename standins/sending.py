"""Sending of generated bodies: ranges, cut bodies, chunked encoding."""

import attrs
from aiohttp import web

from .bodies import body_slice, entity_tag
from .json_http import query_int

WRITE_BYTES = 64 * 1024


@attrs.frozen
class Span:
    """Part of a body: bytes `start` to `stop` out of `size_bytes`."""

    start: int
    stop: int
    size_bytes: int

    @property
    def is_whole(self) -> bool:
        """Return whether the part is the whole."""
        return self.start == 0 and self.stop == self.size_bytes


@attrs.frozen
class Cut:
    """Where to close the connection within a body.

    Attributes
    ----------
    at_bytes : int
        Bytes sent before the connection is closed.
    """

    at_bytes: int


def requested_span(request: web.Request, size_bytes: int, tag: str) -> Span:
    """Return the part of a body that a request asks for.

    A ``Range`` counts only if ``If-Range`` is missing or names this tag.

    Raises
    ------
    aiohttp.web.HTTPRequestRangeNotSatisfiable
        If the range lies outside the body.
    """
    whole = Span(0, size_bytes, size_bytes)
    if "Range" not in request.headers:
        return whole
    if request.headers.get("If-Range", tag) != tag:
        return whole
    try:
        asked = request.http_range
    except ValueError:
        return whole
    start, stop, _ = asked.indices(size_bytes)
    if start >= stop:
        raise web.HTTPRequestRangeNotSatisfiable(
            headers={"Content-Range": f"bytes */{size_bytes}"}
        )
    return Span(start, stop, size_bytes)


class BodySender:
    """Sends the generated bodies of one service.

    Parameters
    ----------
    service : str
        Name of the service; its instances serve the same bodies.

    Attributes
    ----------
    bodies_cut : int
        Bodies cut short so far.
    """

    def __init__(self, service: str) -> None:
        self.bodies_cut = 0
        self._service = service
        self._cut_before: set[str] = set()

    async def send(self, request: web.Request, status: int) -> web.StreamResponse:
        """Send the body that the query string asks for.

        ``bytes`` gives its size, ``cut_at`` closes the connection after that
        many bytes, ``chunked=1`` leaves the length out. A cut is made for
        requests without ``Range`` only, and once per ``request`` identifier if
        the query string has one; ``cut_always=1`` cuts every time.
        """
        size_bytes = query_int(request, "bytes", 0)
        name = f"{self._service}{request.path}"
        tag = entity_tag(name, size_bytes)
        span = requested_span(request, size_bytes, tag)
        cut = self._cut_for(request, tag)
        response = web.StreamResponse(
            status=status if span.is_whole else 206, headers=headers_of(span, tag)
        )
        if request.query.get("chunked") == "1":
            response.enable_chunked_encoding()
        else:
            response.content_length = span.stop - span.start
        await response.prepare(request)
        if request.method == "HEAD":
            return response
        await self._write(request, response, name, span, cut)
        return response

    async def _write(
        self,
        request: web.Request,
        response: web.StreamResponse,
        name: str,
        span: Span,
        cut: Cut | None,
    ) -> None:
        stop = span.stop
        if cut is not None:
            stop = min(stop, span.start + cut.at_bytes)
        for start in range(span.start, stop, WRITE_BYTES):
            await response.write(
                body_slice(name, start, min(stop, start + WRITE_BYTES))
            )
        if cut is None:
            await response.write_eof()
            return
        self.bodies_cut += 1
        if request.transport is not None:
            request.transport.close()

    def _cut_for(self, request: web.Request, tag: str) -> Cut | None:
        if "cut_at" not in request.query:
            return None
        cut = Cut(query_int(request, "cut_at", 0))
        if request.query.get("cut_always") == "1":
            return cut
        if "Range" in request.headers:
            return None
        identifier = request.query.get("request")
        if identifier is None:
            return cut
        seen = f"{tag} {identifier}"
        if seen in self._cut_before:
            return None
        self._cut_before.add(seen)
        return cut


def headers_of(span: Span, tag: str) -> dict[str, str]:
    """Return the headers of an answer that carries a part of a body."""
    headers = {
        "ETag": tag,
        "Accept-Ranges": "bytes",
        "Content-Type": "application/octet-stream",
    }
    if not span.is_whole:
        last = span.stop - 1
        headers["Content-Range"] = f"bytes {span.start}-{last}/{span.size_bytes}"
    return headers
