"""Sending of bodies to all peers, at the pace of this node's link."""

import asyncio
from collections import deque
from typing import Protocol

import attrs

from ..decisions.body_pacing import BodyPacer
from ..runtime import Runtime


class BodyStream(Protocol):
    """A request or an answer whose body is sent over a link."""

    @property
    def is_open(self) -> bool:
        """Whether the sender of the request still waits for its outcome."""

    def write_body(self, data: bytes, whole: bool) -> None:
        """Write a piece of the body to the link."""


@attrs.frozen(slots=True, eq=False, repr=False)
class Piece:
    """A piece of a body that waits for the link."""

    stream: BodyStream
    data: bytes
    whole: bool


@attrs.define(slots=True, eq=False, repr=False)
class BodySender:
    """Sends pieces of bodies in their order; those of ended requests are dropped.

    All other messages are sent at once, and overtake the pieces that wait here.
    """

    runtime: Runtime
    pacer: BodyPacer = attrs.field(factory=BodyPacer)
    _waiting: deque[Piece] = attrs.field(factory=deque)
    _timer: asyncio.TimerHandle | None = None

    def send(self, stream: BodyStream, data: bytes, whole: bool) -> None:
        """Send more of a body, as soon as the link has room for it."""
        if not self.pacer.paces:
            stream.write_body(data, whole)
            return
        piece_bytes = int(self.pacer.piece_bytes)
        for begin in range(0, max(1, len(data)), piece_bytes):
            end = begin + piece_bytes
            is_last = whole and end >= len(data)
            self._waiting.append(Piece(stream, data[begin:end], is_last))
        if self._timer is None:
            self._send_waiting()

    def _send_waiting(self) -> None:
        self._timer = None
        waiting, now_ms = self._waiting, self.runtime.now_ms()
        while waiting:
            piece = waiting[0]
            if not piece.stream.is_open:
                waiting.popleft()
            elif self.pacer.try_take(len(piece.data), now_ms):
                waiting.popleft()
                self.runtime.run_guarded(
                    "link_out", piece.stream.write_body, piece.data, piece.whole
                )
            else:
                delay_ms = self.pacer.next_ms(now_ms) - now_ms
                self._timer = self.runtime.call_later(delay_ms, self._send_waiting)
                return
