"""Writing of a backend server's answer to the caller."""

from ...http.exchange import Exchange
from ..messages import Answer

LAST_CHUNK = b"0\r\n\r\n"


class AnswerWriter:
    """Writes one answer to a caller's connection, complete or streamed.

    Attributes
    ----------
    started : bool
        Whether a part of the answer was sent, so that it can't be replaced.
    """

    def __init__(self, exchange: Exchange) -> None:
        self.started = False
        self._exchange = exchange
        self._chunked = False
        self._pending_credit = 0

    def write_whole(self, answer: Answer) -> None:
        """Write a complete answer."""
        self._exchange.answer(answer.status, answer.headers, answer.body)

    def start(self, answer: Answer) -> None:
        """Write the head and the first bytes of a streamed answer."""
        self.started = True
        self._chunked = answer.length < 0
        length = None if self._chunked else answer.length
        self._exchange.begin(answer.status, answer.headers, length)
        self.write_data(answer.body)

    def write_data(self, data: bytes) -> None:
        """Write more of a streamed answer."""
        if data:
            self._pending_credit += len(data)
            self._exchange.write(self._encode_chunk(data))

    def finish(self) -> None:
        """End a streamed answer."""
        if self._chunked:
            self._exchange.write(LAST_CHUNK)
        self._exchange.finish()

    def reset(self) -> None:
        """Reset the connection, so that a partial answer can't look complete."""
        self._exchange.reset()

    def take_credit(self) -> int:
        """Return the credit for the sender: the bytes written since the last call."""
        if not self._exchange.writable:
            return 0
        credit, self._pending_credit = self._pending_credit, 0
        return credit

    def _encode_chunk(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data
