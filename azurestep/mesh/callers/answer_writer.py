"""Passing a backend server's answer on to the caller."""

from ...http.server import Exchange
from ..messages import Answer

LAST_CHUNK = b"0\r\n\r\n"


class AnswerWriter:
    """Writes one answer to a caller's connection, whole or in pieces.

    Attributes
    ----------
    started : bool
        Whether the caller got a part of the answer, so that no other can follow.
    """

    def __init__(self, exchange: Exchange) -> None:
        self.started = False
        self._exchange = exchange
        self._chunked = False
        self._untaken = 0

    def write_whole(self, answer: Answer) -> None:
        """Write an answer that came whole."""
        self._exchange.answer(answer.status, answer.headers, answer.body)

    def begin(self, answer: Answer) -> None:
        """Write the head and the first bytes of a long answer."""
        self.started = True
        self._chunked = answer.length < 0
        length = None if self._chunked else answer.length
        self._exchange.begin(answer.status, answer.headers, length)
        self.more(answer.body)

    def more(self, data: bytes) -> None:
        """Write more of a long answer."""
        if data:
            self._untaken += len(data)
            self._exchange.write(self._framed(data))

    def end(self) -> None:
        """End a long answer."""
        if self._chunked:
            self._exchange.write(LAST_CHUNK)
        self._exchange.finish()

    def reset(self) -> None:
        """End a long answer so that it can't look complete."""
        self._exchange.reset()

    def take_credit(self) -> int:
        """Return how many more bytes the sender may send, once for each of them."""
        if not self._exchange.writable:
            return 0
        credit, self._untaken = self._untaken, 0
        return credit

    def _framed(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data
