"""Messages between nodes, and their encoding.

A message is one msgpack array, its kind first; msgpack marks its own end, so a
stream of messages needs no further framing.
"""

import zlib
from enum import IntEnum
from typing import Any

import attrs
import msgpack

from .incarnation import START_UNKNOWN, Incarnation

Headers = list[tuple[bytes, bytes]]
PROTOCOL_VERSION = 2
BUFFER_BYTES = 96 * 1024 * 1024
"""Longest message that is taken."""
COMPRESSION_LEVEL = 1
"""Least effort: 200 KB take some 2 ms, and higher levels save little more."""


class Kind(IntEnum):
    """Kind of a message."""

    HELLO = 1
    STATE = 2
    PING = 3
    PONG = 4
    REQUEST = 5
    BODY = 6
    CANCEL = 7
    ANSWER = 8
    ANSWER_DATA = 9
    REFUSAL = 10
    FAILURE = 11
    CREDIT = 12
    CONFIGURATION = 13
    CONFIGURATION_QUERY = 14
    SLOT_READY = 15
    PROCEED = 16
    CRASHES = 17
    WITHDRAW = 18


class Reason(IntEnum):
    """Why a request was refused without having run, or failed."""

    NO_BACKEND = 1
    LEAVING = 2
    OTHER_INSTANCE = 3
    OVERLOADED = 4
    TOO_LATE = 5
    BACKEND_REFUSED = 6
    UNREACHABLE = 7
    CLOSED = 8
    RESET = 9
    MALFORMED = 10
    TRUNCATED = 11
    UNSIGNED = 12
    STOPPING = 13
    LINK_LOST = 14
    TIMEOUT = 15
    BUDGET = 16
    QUARANTINED = 17
    PRESSURE = 18
    FAULT = 19


@attrs.frozen(slots=True)
class Hello:
    """First message on a link, from both ends.

    Attributes
    ----------
    format : int
        Version of this protocol.
    peer_address : tuple
        Where the sender takes links.
    started_ms : int
        Start of the sender's process; a later one is another incarnation.
    configuration_version : int
        Configuration that the sender holds; 0 for none.
    """

    format: int
    peer_address: tuple[str, int]
    data_centre: str
    started_ms: int
    configuration_version: int


@attrs.frozen(slots=True)
class State:
    """What a node tells all others about its backend server and itself.

    Attributes
    ----------
    open : bool
        Whether the backend server takes new requests.
    in_flight : int
        Requests that run or wait there.
    server_started_ms : int
        Start of the backend server, which may have the id of an earlier one.
    cold_remaining_ms : float
        How much longer the backend server is slow.
    configuration_version : int
        Configuration that the node holds.
    store_reachable : bool
        Whether its last call to the platform's store was answered.
    failure_ratio : float
        Share of the backend server's runs that failed of late.
    callers, refusals : tuple
        What ``pressure.PressureReport`` holds.
    """

    service: str
    instance_id: bytes
    server_started_ms: int
    open: bool
    slots: int
    in_flight: int
    cold_remaining_ms: float
    configuration_version: int
    store_reachable: bool
    stopping: bool
    failure_ratio: float
    callers: tuple[tuple[str, int], ...] = ()
    refusals: tuple[tuple[str, int, float], ...] = ()


@attrs.frozen(slots=True)
class Request:
    """A request for the backend server beside the receiving node.

    Attributes
    ----------
    sent_ms : float
        The sender's clock when it sent the request.
    remaining_ms : float
        Time left to the caller's deadline and the route's timeout.
    objective_ms : float
        Time left until the answer loses value; it may be negative.
    whole : bool
        Whether the body is complete with this message.
    length : int
        Length of the body; -1 if it is not known yet.
    server_started_ms : int
        Start of the backend server that is meant.
    mean_run_ms : float
        Mean run time of the route at all backend servers that the sender knows; 0 if
        it knows none.
    needs_confirmation : bool
        Whether the receiver asks again, once there is a slot, before it sends the
        request on. Until it was told to, the sender knows that it has not run.
    """

    method: bytes
    target: bytes
    headers: Headers
    service: str
    instance_id: bytes
    route: str
    request_id: bytes
    calling_service: bytes
    idempotent: bool
    priority: int
    remaining_ms: float
    objective_ms: float
    sent_ms: float
    length: int
    whole: bool
    body: bytes
    server_started_ms: int = START_UNKNOWN
    mean_run_ms: float = 0.0
    needs_confirmation: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Backend server that is meant."""
        return Incarnation(self.instance_id, self.server_started_ms)


@attrs.frozen(slots=True)
class Answer:
    """The head of a backend server's answer, with its body's beginning.

    Attributes
    ----------
    length : int
        Length of the body; -1 if it ends with ``whole`` only.
    in_flight : int
        Requests that run or wait at the backend server now.
    mean_run_ms : float
        Mean time that the backend server takes for this route.
    waited_ms, ran_ms : float
        Time that this request waited beside the backend server, and ran there.
    """

    status: int
    headers: Headers
    signed: bool
    length: int
    whole: bool
    body: bytes
    in_flight: int
    mean_run_ms: float
    waited_ms: float = 0.0
    ran_ms: float = 0.0


@attrs.frozen(slots=True)
class Refusal:
    """The request has not run and will not run."""

    reason: int
    in_flight: int
    retry_after_ms: float
    reached_backend: bool = False


@attrs.frozen(slots=True)
class Failure:
    """The request may have run, and no whole answer comes."""

    reason: int
    in_flight: int


def encode(kind: Kind, *fields: object) -> bytes:
    """Return the bytes of a message."""
    return msgpack.packb([int(kind), *fields], use_bin_type=True)


def compress(content: bytes) -> bytes:
    """Return a configuration in the form in which nodes send it.

    A document of thousands of routes shrinks to a tenth; at its full size, one node
    needs seconds on a link of 10 Mbit/s to send it to the 24 others nearby.

    Examples
    --------
    >>> decompress(compress(b"{}"))
    b'{}'
    """
    return zlib.compress(content, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the configuration that a node sent.

    Raises
    ------
    ValueError
        If the bytes are none or far too many.
    """
    expander = zlib.decompressobj()
    try:
        content = expander.decompress(data, BUFFER_BYTES)
    except zlib.error as error:
        raise ValueError("a configuration can't be decompressed") from error
    if not expander.eof:
        raise ValueError("a configuration is cut or too long")
    return content


def fields_of(message: Any) -> list[object]:
    """Return a message's fields in order, for ``encode``.

    Examples
    --------
    >>> fields_of(Failure(3, 0))
    [3, 0]
    """
    return [
        getattr(message, name) for name in type(message).__slots__ if name[0] != "_"
    ]
