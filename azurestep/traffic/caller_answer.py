"""Answers of backend servers in the form sent to callers."""

from collections.abc import Callable, Iterable

from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from . import headers
from .backend_answer import BackendAnswer
from .request_head import connection_options

WrittenCallback = Callable[[], None]


class BufferedAnswer(web.Response):
    """An answer with a buffered body; it calls ``on_written`` once written."""

    on_written: WrittenCallback | None = None

    async def write_eof(self, data: bytes = b"") -> None:
        """Write head and body, then call ``on_written``."""
        await super().write_eof(data)
        if self.on_written is not None:
            self.on_written()
            self.on_written = None


class CloseDelimitedAnswer(web.StreamResponse):
    """An answer whose body is delimited by the close of the connection.

    The node can't distinguish this end from a truncation, so it also closes the
    caller's connection instead of sending a last chunk.
    """

    _length_check = False


def make_streamed_answer(
    answer: BackendAnswer, forbids_retry: bool
) -> web.StreamResponse:
    """Return an answer whose body is streamed."""
    fields = end_to_end_headers(answer.headers)
    if forbids_retry:
        fields[headers.RETRIED] = headers.RETRIED_FINAL
    if answer.ends_with_connection:
        fields["Connection"] = "close"
        response: web.StreamResponse = CloseDelimitedAnswer(
            status=answer.status, reason=answer.reason, headers=fields
        )
        response.force_close()
        return response
    response = web.StreamResponse(
        status=answer.status, reason=answer.reason, headers=fields
    )
    if answer.length is None:
        response.enable_chunked_encoding()
    return response


def make_buffered_answer(
    answer: BackendAnswer, body: bytes, forbids_retry: bool
) -> BufferedAnswer:
    """Return an answer with a buffered body."""
    dropped = ("content-length",) if answer.has_body else ()
    fields = end_to_end_headers(answer.headers, dropped)
    if forbids_retry:
        fields[headers.RETRIED] = headers.RETRIED_FINAL
    return BufferedAnswer(
        status=answer.status, reason=answer.reason, body=body, headers=fields
    )


def end_to_end_headers(
    fields: "CIMultiDictProxy[str] | CIMultiDict[str]", dropped: Iterable[str] = ()
) -> "CIMultiDict[str]":
    """Return the headers without the hop-by-hop ones (RFC 9110, section 7.6.1)."""
    skipped = headers.HOP_BY_HOP.union(dropped)
    if "Connection" in fields:
        skipped = skipped | connection_options(fields.getall("Connection"))
    return CIMultiDict(
        (name, value) for name, value in fields.items() if name.lower() not in skipped
    )
