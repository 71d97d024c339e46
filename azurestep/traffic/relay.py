"""Relay of an answer's body from a backend server to the caller."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs
from aiohttp import web

from ..balancing import (
    Resume,
    ResumedAnswer,
    TruncatedAnswer,
    decide_resumption,
    is_continuation,
    is_whole,
)
from .backend_answer import BackendAnswer, BodyTruncatedError
from .call import Call
from .caller_answer import WrittenCallback, make_buffered_answer, make_streamed_answer
from .caller_connection import has_pipelined_request

MAX_SMALL_BODY_BYTES = 64 * 1024
RESUMABLE_STALL_TIMEOUT_S = 2.0
BODY_STALL_TIMEOUT_S = 60.0
CALLER_STALL_TIMEOUT_S = 30.0
PARTIAL_CONTENT = 206
MS_PER_S = 1000

ResumeCallback = Callable[[Resume], Awaitable[BackendAnswer | None]]


class RelayEnd(StrEnum):
    """How a relay ended."""

    WHOLE = "whole"
    TRUNCATED = "truncated"
    CALLER_DISCONNECTED = "caller_disconnected"


class CallerDisconnectedError(Exception):
    """The caller's connection is lost or accepts no bytes."""


@attrs.define
class Relay:
    """Relays one answer to the caller.

    Attributes
    ----------
    call : Call
        The request.
    answer : BackendAnswer
        The answer; a resumption replaces it.
    resume : callable
        Requests the rest of a truncated body.
    now_ms : callable
        Monotonic time in milliseconds.
    on_written : callable
        Called once, after the head or the whole answer was written.
    forbids_retry : bool
        Whether downstream hops must not retry.
    delivered_bytes : int
        Bytes of the current answer sent to the caller.
    resumptions : int
        Resumptions so far.
    end : RelayEnd
        How the relay ended.
    """

    call: Call
    answer: BackendAnswer
    resume: ResumeCallback
    now_ms: Callable[[], float]
    on_written: WrittenCallback
    forbids_retry: bool = False
    delivered_bytes: int = 0
    resumptions: int = 0
    end: RelayEnd = RelayEnd.WHOLE

    async def run(self, request: web.BaseRequest | None) -> web.StreamResponse:
        """Relay the answer; abort the caller's connection if it stays truncated.

        Parameters
        ----------
        request : web.BaseRequest or None
            Request that the answer is streamed to; None returns the whole answer.

        Raises
        ------
        BodyTruncatedError
            If the body was truncated before any byte was sent to the caller.
        """
        answer = self.answer
        length = answer.length
        is_small = length is not None and length <= MAX_SMALL_BODY_BYTES
        if is_small or answer.is_received or request is None:
            response = make_buffered_answer(
                answer, await self._read_whole(), self.forbids_retry
            )
            response.on_written = self.on_written
            return response
        return await self._relay_stream(request)

    async def _read_whole(self) -> bytes:
        if self.answer.is_received:
            return await self.answer.read()
        remaining_ms = self.call.remaining_ms(self.now_ms())
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / MS_PER_S):
                return await self.answer.read()
        except TimeoutError as error:
            raise BodyTruncatedError from error

    async def _relay_stream(self, request: web.BaseRequest) -> web.StreamResponse:
        response = make_streamed_answer(self.answer, self.forbids_retry)
        if self.call.closes_connection and not has_pipelined_request(request.protocol):
            response.force_close()
        await response.prepare(request)
        self.on_written()
        try:
            is_complete = await self._copy_all(response)
        except CallerDisconnectedError:
            self.end = RelayEnd.CALLER_DISCONNECTED
            abort_connection(request)
            return response
        except asyncio.CancelledError:
            # The caller would read an error answer as the rest of this body.
            abort_connection(request)
            raise
        if not is_complete:
            self.end = RelayEnd.TRUNCATED
            abort_connection(request)
            return response
        await response.write_eof()
        return response

    async def _copy_all(self, response: web.StreamResponse) -> bool:
        """Copy the body, resuming it if possible; return whether it is whole."""
        while True:
            try:
                await self._copy(response)
                return True
            except (BodyTruncatedError, TimeoutError):
                if not await self._try_resume():
                    return False

    async def _copy(self, response: web.StreamResponse) -> None:
        is_resumable = isinstance(decide_resumption(self._describe_truncated()), Resume)
        stall_s = RESUMABLE_STALL_TIMEOUT_S if is_resumable else BODY_STALL_TIMEOUT_S
        while True:
            async with asyncio.timeout(stall_s):
                chunk = await self.answer.read_some()
            if not chunk:
                break
            await _write(response, chunk)
            self.delivered_bytes += len(chunk)
        if not is_whole(self.answer.length, self.delivered_bytes, ended_cleanly=True):
            raise BodyTruncatedError

    def _describe_truncated(self) -> TruncatedAnswer:
        answer = self.answer
        span = answer.content_range()
        is_partial = answer.status == PARTIAL_CONTENT
        # A multipart partial answer has no single range to resume.
        tag = "" if is_partial and span is None else answer.headers.get("ETag", "")
        return TruncatedAnswer(
            self.call.method == "GET" and self.call.match.idempotent,
            answer.length,
            self.delivered_bytes,
            head_delivered=True,
            entity_tag=tag,
            accepts_ranges=answer.headers.get("Accept-Ranges", "") == "bytes",
            first_byte=span.first if is_partial and span is not None else 0,
            resumptions=self.resumptions,
        )

    async def _try_resume(self) -> bool:
        """Replace a truncated answer by one with the rest; return whether it worked."""
        requested = decide_resumption(self._describe_truncated())
        if not isinstance(requested, Resume):
            return False
        self.resumptions += 1
        answer = await self.resume(requested)
        if answer is None or not is_continuation(
            requested, _parse_resumed_answer(answer)
        ):
            return False
        self.answer = answer
        self.delivered_bytes = 0
        return True


async def _write(response: web.StreamResponse, chunk: bytes) -> None:
    try:
        async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
            await response.write(chunk)
    except (OSError, TimeoutError) as error:
        raise CallerDisconnectedError("the caller accepts no bytes") from error


def _parse_resumed_answer(answer: BackendAnswer) -> ResumedAnswer:
    span = answer.content_range()
    return ResumedAnswer(
        answer.status,
        answer.headers.get("ETag", ""),
        span.first if span else None,
        span.last if span else None,
    )


def abort_connection(request: web.BaseRequest) -> None:
    """Abort the connection, so that the caller detects the truncated body."""
    if request.transport is not None:
        request.transport.abort()
