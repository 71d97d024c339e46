"""Bytes and time of the request that is being read on a connection.

Each limit of callers counts its own bytes and its own time. Load pattern: uploads
whose heads arrive in pieces, the last one with the body; pipelined requests that share
a read; heads that trickle in; a node that reads late, since it is overloaded or has
paused the connection.
"""

from http import HTTPStatus

import attrs

from ..routing.model import Limits

UNCOUNTED_HEAD_BYTES = 64
"""Method, version and line ends, which the size of a head by its fields leaves out."""
FIELD_SEPARATOR_BYTES = 4
"""Colon, space and line end of a header."""
EMPTY_LINE_BYTES = 2
"""Some clients send one empty line after a body; it begins no head."""


FRAMING_BYTES_PER_PIECE = 32
"""Size line and line ends of a chunk without extensions, sizes padded with zeros."""


class ParsingStoppedError(Exception):
    """Stops the parsing of a read, the rest of which is dropped."""


class RequestRejectedError(ParsingStoppedError):
    """Stops the parsing of a read within a request that can't be handled.

    Attributes
    ----------
    status : HTTPStatus
        Status of the answer.
    """

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


class LimitExceededError(RequestRejectedError):
    """Stops the parsing of a read at the first byte that exceeds a limit."""


@attrs.define(slots=True, eq=False, repr=False)
class RequestMeter:
    """Measures the requests of one connection, one after the other.

    Attributes
    ----------
    requests : int
        Requests whose first byte was read.
    in_head : bool
        Whether a head has begun and is incomplete.
    head_bytes : int
        Bytes that certainly belong to the head. Of a read that also holds other
        requests, only complete fields count.
    body_bytes : int
        Decoded bytes of the body.
    framing_bytes : int
        Bytes after the head and since the last byte of the body: trailers and what else
        a chunked body has between its chunks.
    all_framing_bytes : int
        Bytes after the head that are no body, since its end.
    empty_bytes : int
        Bytes since the last request that begin none: empty lines.

    Examples
    --------
    >>> meter = RequestMeter()
    >>> meter.begin_read()
    >>> meter.begin_request(now_s=7.0)
    >>> meter.end_read(100, now_s=7.0)
    >>> meter.head_bytes, meter.head_age_ms(7.5)
    (100, 500.0)
    """

    requests: int = 0
    in_head: bool = False
    head_bytes: int = 0
    body_bytes: int = 0
    framing_bytes: int = 0
    all_framing_bytes: int = 0
    empty_bytes: int = 0
    _pieces: int = 0
    _read_body_bytes: int = 0
    _head_since_s: float = 0.0
    _field_bytes: int = 0
    _in_request: bool = False
    _read_is_shared: bool = False
    """Whether the current read also holds bytes of a head's end or another request."""
    _began_in_read: bool = False

    def begin_read(self) -> None:
        """Note that bytes are parsed now; ``end_read`` tells how many."""
        self._read_is_shared = False
        self._began_in_read = False
        self._read_body_bytes = 0

    def begin_request(self, now_s: float) -> None:
        """Begin a request with its first byte."""
        self.requests += 1
        self.in_head = self._in_request = True
        self.head_bytes = self.body_bytes = self.framing_bytes = self._field_bytes = 0
        self.empty_bytes = self.all_framing_bytes = self._pieces = 0
        self._head_since_s = now_s
        if self._began_in_read:
            self._read_is_shared = True
        self._began_in_read = True

    def add_target(self, size_bytes: int, limits: Limits) -> None:
        """Count bytes of the request target.

        Raises
        ------
        LimitExceededError
            If the head exceeds its limit with them.
        """
        self._add_field_bytes(size_bytes, limits)

    def add_field(self, name: bytes, value: bytes, limits: Limits) -> None:
        """Count a header or trailer.

        Raises
        ------
        LimitExceededError
            If the head, or all trailers, exceed their limit with it.
        """
        size_bytes = len(name) + len(value) + FIELD_SEPARATOR_BYTES
        self._add_field_bytes(size_bytes, limits)

    def _add_field_bytes(self, size_bytes: int, limits: Limits) -> None:
        self._field_bytes += size_bytes
        if self._field_bytes > limits.header_bytes:
            if self.in_head:
                self.head_bytes = self._field_bytes
            raise LimitExceededError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def end_head(self) -> None:
        """End the head; fields that follow are trailers."""
        self.in_head = False
        self._read_is_shared = True
        self.head_bytes = self._field_bytes
        self._field_bytes = 0

    def add_body(self, size_bytes: int, limits: Limits) -> None:
        """Count decoded bytes of the body.

        Raises
        ------
        LimitExceededError
            If the body exceeds its limit with them.
        """
        self.body_bytes += size_bytes
        self.framing_bytes = 0
        self._read_body_bytes += size_bytes
        self._pieces += 1
        if self.body_bytes > limits.body_bytes:
            raise LimitExceededError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def end_request(self) -> None:
        """End the request with its last byte."""
        self._in_request = False
        self._read_is_shared = True

    @property
    def read_is_empty(self) -> bool:
        """Whether the current read holds no part of a request so far."""
        return not (self._in_request or self._read_is_shared)

    @property
    def awaits_head(self) -> bool:
        """Whether a head is due: one has begun, or empty lines before it."""
        return self.in_head or self.empty_bytes > EMPTY_LINE_BYTES

    def end_read(self, size_bytes: int, now_s: float) -> None:
        """Count the bytes that were parsed since ``begin_read``."""
        if self.in_head:
            if not self._read_is_shared:
                self.head_bytes += size_bytes
            self.head_bytes = max(self.head_bytes, self._field_bytes)
        elif self._in_request and not self._read_is_shared:
            if not self._read_body_bytes:
                self.framing_bytes += size_bytes
            self.all_framing_bytes += size_bytes - self._read_body_bytes
        elif self.read_is_empty:
            if not self.empty_bytes:
                self._head_since_s = now_s
            self.empty_bytes += size_bytes

    def exceeded(self, limits: Limits) -> HTTPStatus | None:
        """Return the status for a limit that the request exceeds so far, or None."""
        if self.in_head:
            if self.head_bytes > limits.header_bytes + UNCOUNTED_HEAD_BYTES:
                return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        elif max(self.framing_bytes, self.empty_bytes) > limits.header_bytes:
            return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        elif self.all_framing_bytes > self._max_framing_bytes(limits):
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return None

    def _max_framing_bytes(self, limits: Limits) -> int:
        """Return how much framing a body may have so far, trailers included.

        As much as the body itself, beyond the framing of plain chunks.
        """
        plain_bytes = UNCOUNTED_HEAD_BYTES + self._pieces * FRAMING_BYTES_PER_PIECE
        return limits.header_bytes + plain_bytes + self.body_bytes

    def head_age_ms(self, now_s: float) -> float:
        """Return for how long a head has been awaited, without times of no reading."""
        return (now_s - self._head_since_s) * 1000

    def exclude(self, pause_s: float) -> None:
        """Exclude a time in which the node did not read."""
        self._head_since_s += pause_s
