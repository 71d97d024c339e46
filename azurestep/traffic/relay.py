"""Relay of an answer's body from a backend server to the caller."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs
from aiohttp import web

from ..balancing import (
    CutAnswer,
    Resume,
    ResumedAnswer,
    continues,
    decide_cut,
    is_whole,
)
from .backend_answer import BackendAnswer, BodyCutError
from .call import Call
from .caller_answer import WrittenCallback, stream_answer, whole_answer
from .caller_connection import has_pipelined_request

SMALL_BODY_BYTES = 64 * 1024
STALL_RESUMABLE_S = 2.0
STALL_S = 60.0
CALLER_STALL_S = 30.0
PARTIAL_CONTENT = 206
MS_PER_S = 1000

NextAnswer = Callable[[Resume], Awaitable[BackendAnswer | None]]


class RelayEnd(StrEnum):
    """How a relay ended."""

    WHOLE = "whole"
    CUT = "cut"
    CALLER_GONE = "caller_gone"


class CallerGoneError(Exception):
    """The caller's connection is lost or takes no bytes."""


@attrs.define
class Relay:
    """Passes one answer on.

    Attributes
    ----------
    call : Call
        The request.
    answer : BackendAnswer
        The answer; a resumption replaces it.
    resume : callable
        Asks for the rest of a cut body.
    now_ms : callable
        Monotonic time in milliseconds.
    on_written : callable
        Told once, when the head or the whole answer was written.
    is_final : bool
        Whether the answer tells the hops above not to retry.
    delivered_bytes : int
        Bytes of the present answer that the caller has.
    resumptions : int
        Resumptions so far.
    end : RelayEnd
        How it ended.
    """

    call: Call
    answer: BackendAnswer
    resume: NextAnswer
    now_ms: Callable[[], float]
    on_written: WrittenCallback
    is_final: bool = False
    delivered_bytes: int = 0
    resumptions: int = 0
    end: RelayEnd = RelayEnd.WHOLE

    async def run(self, request: web.BaseRequest | None) -> web.StreamResponse:
        """Pass the answer on; a body cut for good breaks the caller's connection.

        Parameters
        ----------
        request : web.BaseRequest or None
            Where the answer goes; None returns it whole.

        Raises
        ------
        BodyCutError
            If the body was cut before any byte reached the caller.
        """
        answer = self.answer
        length = answer.length
        is_small = length is not None and length <= SMALL_BODY_BYTES
        if is_small or answer.is_received or request is None:
            response = whole_answer(answer, await self._read_whole(), self.is_final)
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
            raise BodyCutError from error

    async def _relay_stream(self, request: web.BaseRequest) -> web.StreamResponse:
        response = stream_answer(self.answer, self.is_final)
        if self.call.is_draining and not has_pipelined_request(request.protocol):
            response.force_close()
        await response.prepare(request)
        self.on_written()
        try:
            is_complete = await self._copy_all(response)
        except CallerGoneError:
            self.end = RelayEnd.CALLER_GONE
            break_connection(request)
            return response
        except asyncio.CancelledError:
            # A last answer written behind half a body would pass for its rest.
            break_connection(request)
            raise
        if not is_complete:
            self.end = RelayEnd.CUT
            break_connection(request)
            return response
        await response.write_eof()
        return response

    async def _copy_all(self, response: web.StreamResponse) -> bool:
        """Copy the body, resuming it where possible; return whether it is whole."""
        while True:
            try:
                await self._copy(response)
                return True
            except (BodyCutError, TimeoutError):
                if not await self._continue():
                    return False

    async def _copy(self, response: web.StreamResponse) -> None:
        is_resumable = isinstance(decide_cut(self._cut()), Resume)
        stall_s = STALL_RESUMABLE_S if is_resumable else STALL_S
        while True:
            async with asyncio.timeout(stall_s):
                chunk = await self.answer.read_some()
            if not chunk:
                break
            await _write(response, chunk)
            self.delivered_bytes += len(chunk)
        if not is_whole(self.answer.length, self.delivered_bytes, ended_cleanly=True):
            raise BodyCutError

    def _cut(self) -> CutAnswer:
        answer = self.answer
        span = answer.content_range()
        is_partial = answer.status == PARTIAL_CONTENT
        # A partial answer in several parts has no one range to go on from.
        tag = "" if is_partial and span is None else answer.headers.get("ETag", "")
        return CutAnswer(
            self.call.method == "GET" and self.call.match.idempotent,
            answer.length,
            self.delivered_bytes,
            head_delivered=True,
            entity_tag=tag,
            accepts_ranges=answer.headers.get("Accept-Ranges", "") == "bytes",
            first_byte=span.first if is_partial and span is not None else 0,
            resumptions=self.resumptions,
        )

    async def _continue(self) -> bool:
        """Replace a cut answer by one that continues it; return whether one did."""
        wanted = decide_cut(self._cut())
        if not isinstance(wanted, Resume):
            return False
        self.resumptions += 1
        answer = await self.resume(wanted)
        if answer is None or not continues(wanted, _resumed(answer)):
            return False
        self.answer = answer
        self.delivered_bytes = 0
        return True


async def _write(response: web.StreamResponse, chunk: bytes) -> None:
    try:
        async with asyncio.timeout(CALLER_STALL_S):
            await response.write(chunk)
    except (OSError, TimeoutError) as error:
        raise CallerGoneError("the caller takes no bytes") from error


def _resumed(answer: BackendAnswer) -> ResumedAnswer:
    span = answer.content_range()
    return ResumedAnswer(
        answer.status,
        answer.headers.get("ETag", ""),
        span.first if span else None,
        span.last if span else None,
    )


def break_connection(request: web.BaseRequest) -> None:
    """Break the connection, so that the caller sees that the body is cut."""
    if request.transport is not None:
        request.transport.abort()
