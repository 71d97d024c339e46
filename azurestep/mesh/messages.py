"""Messages between nodes, and their encoding.

A message is one msgpack array, its kind first; msgpack marks its own end, so a
stream of messages needs no further framing.
"""

import zlib
from enum import IntEnum
from typing import Any

import attrs
import msgpack

from ..values import Value
from .incarnation import START_UNKNOWN, Incarnation

Headers = list[tuple[bytes, bytes]]
PROTOCOL_VERSION = 2
FEATURE_LEVEL = 6
"""Rises with each field that is added to a message. Nodes of level 0 reject messages
with fields that they don't know; later ones skip them."""
PIECES_FEATURE_LEVEL = 1
"""Nodes from this level on know requests whose body they ask for piece by piece."""
DELTA_FEATURE_LEVEL = 2
"""Nodes from this level on know notices of versions and configurations as deltas."""
TEAM_FEATURE_LEVEL = 3
"""Nodes from this level on know the teams of requests, and messages about quotas and
the speed of backend servers."""
HANDOVER_FEATURE_LEVEL = 4
"""Nodes from this level on take accounts of quotas over from other nodes."""
CONFIRM_AGAIN_FEATURE_LEVEL = 5
"""Nodes from this level on confirm any request that was sent to another node, as often
as they are asked."""
ANSWER_PARTS_FEATURE_LEVEL = 6
"""Nodes from this level on take parts of an answer's body ahead of the answer."""
REQUEST_FIELDS_AT_LEVEL_0 = 19
"""Fields of a request that nodes of level 0 read for sure."""
MAX_MESSAGE_BYTES = 96 * 1024 * 1024
COMPRESSION_LEVEL = 1
"""Fastest level of zlib."""


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
    SERVER_CONDITION = 19
    STORE_ERA = 20
    SERVER_VERSION = 21
    ROLLOUT = 22
    TRIAL_COUNTS = 23
    BODY_BACKLOG = 24
    CALLED_ROUTES = 25
    VERSION_NOTICE = 26
    CONFIGURATION_DELTA = 27
    QUOTA_USAGE = 28
    QUOTA_GRANT = 29
    SERVER_SPEED = 30
    STORE_CONTACT = 31
    QUOTA_HANDOVER = 32
    ANSWER_PART = 33


class Reason(IntEnum):
    """Why a request was refused without having run, or failed.

    Attributes
    ----------
    NO_BACKEND, LEAVING, OTHER_INSTANCE
        Refused: there is no backend server of the service, it is leaving, or another
        one has taken the place of the intended one.
    UNREACHABLE, BACKEND_REFUSED
        Refused: the backend server accepts no connections, or answered that it did not
        run the request.
    OVERLOADED, TOO_LATE
        Refused: the backend server has no capacity for the request, or can't end it
        before its deadline.
    QUARANTINED
        Refused: the request was in flight when backend servers crashed.
    PRESSURE
        Refused: shed by the node of the caller, since called services are overloaded.
    STOPPING, LINK_LOST
        Refused or failed: the node shuts down, or lost the connection to the other
        node.
    CLOSED, RESET
        Failed: the connection was closed or reset before the answer.
    MALFORMED, TRUNCATED, UNSIGNED
        Failed: the answer can't be parsed, is incomplete or carries no signature.
    TIMEOUT
        Failed: the deadline passed while the request ran.
    FAULT
        Failed: internal error of a node.
    BUDGET
        Not used.
    UNKNOWN_KEY
        Refused: no team holds the key of the caller.
    QUOTA
        Refused: the team of the caller has used up its quota.
    """

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
    UNKNOWN_KEY = 20
    QUOTA = 21


@attrs.frozen(slots=True, eq=False, repr=False)
class Hello(Value):
    """First message on a link, from both ends.

    Attributes
    ----------
    protocol_version : int
        ``PROTOCOL_VERSION`` of the sender.
    peer_address : tuple
        Address at which the sender accepts links.
    started_ms : int
        Start of the sender's process, which identifies its incarnation.
    configuration_version : int
        Configuration in force at the sender; 0 for none.
    feature_level : int
        ``FEATURE_LEVEL`` of the sender; 0 if it doesn't know such levels.
    """

    protocol_version: int
    peer_address: tuple[str, int]
    data_centre: str
    started_ms: int
    configuration_version: int
    feature_level: int = 0


@attrs.frozen(slots=True, eq=False, repr=False)
class State(Value):
    """State of a node and its backend server, broadcast to all peers.

    Attributes
    ----------
    open : bool
        Whether the backend server accepts new requests.
    in_flight : int
        Requests that run or wait at the backend server.
    server_started_ms : int
        Start of the backend server, which may reuse the id of an earlier one.
    cold_remaining_ms : float
        Time left of the cold start of the backend server.
    configuration_version : int
        Configuration in force at the node.
    store_reachable : bool
        Whether the platform's store answered the last call.
    failure_ratio : float
        Ratio of recent runs at the backend server that failed.
    callers : tuple
        Services that call the backend server, each with the priority of its calls.
    refusals : tuple
        Service, priority, and ratio of a route's requests that the node refused.
    owns_quotas : bool
        Whether the node is the quota owner of the teams that fall to it; not until its
        peers have found it after its start.
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
    owns_quotas: bool = True


@attrs.frozen(slots=True, eq=False, repr=False)
class Request(Value):
    """A request for the backend server beside the receiving node.

    Attributes
    ----------
    sent_ms : float
        The sender's clock when it sent the request.
    remaining_ms : float
        Time left until the caller's deadline or the route's timeout.
    objective_ms : float
        Time left until the route's latency objective is missed; negative afterwards.
    whole : bool
        Whether the body ends with this message.
    length : int
        Length of the body; -1 if unknown (chunked).
    server_started_ms : int
        Start of the intended backend server.
    fleet_mean_run_ms : float
        Mean run time of the route at the backend servers known to the sender; 0 if
        unknown.
    needs_confirmation : bool
        Whether the receiver asks for confirmation, once there is a free slot, before
        it runs the request. An unconfirmed request has not run.
    may_wait : bool
        Whether the request may wait for a slot. Otherwise it is refused if none is
        free, as the sender knows other backend servers.
    body_in_pieces : bool
        Whether the sender sends a body that was held back in the pieces for which it
        gets credit, instead of all at once.
    team : str
        Team of the caller; empty for none.
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
    fleet_mean_run_ms: float = 0.0
    needs_confirmation: bool = False
    may_wait: bool = True
    body_in_pieces: bool = False
    team: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Intended incarnation of the backend server."""
        return Incarnation(self.instance_id, self.server_started_ms)


@attrs.frozen(slots=True, eq=False, repr=False)
class Answer(Value):
    """The head of a backend server's answer and the start of its body.

    Attributes
    ----------
    length : int
        Length of the body; -1 if unknown (chunked).
    whole : bool
        Whether the body ends with this message.
    in_flight : int
        Requests that run or wait at the backend server.
    mean_run_ms : float
        Mean run time of this route at the backend server.
    waited_ms, ran_ms : float
        Time that this request waited for a slot, and its run time.
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


@attrs.frozen(slots=True, eq=False, repr=False)
class Refusal(Value):
    """The request has not run and will not run."""

    reason: int
    in_flight: int
    retry_after_ms: float
    reached_backend: bool = False


@attrs.frozen(slots=True, eq=False, repr=False)
class Failure(Value):
    """The request may have run, and its answer is missing or incomplete."""

    reason: int
    in_flight: int


def encode(kind: Kind, *fields: object) -> bytes:
    """Return the bytes of a message."""
    return msgpack.packb([int(kind), *fields], use_bin_type=True)


def compress(content: bytes) -> bytes:
    """Return a configuration compressed for sending to other nodes.

    Examples
    --------
    >>> decompress(compress(b"{}"))
    b'{}'
    """
    return zlib.compress(content, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return a configuration received from another node.

    Raises
    ------
    ValueError
        If the data can't be decompressed, is truncated or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError("the configuration can't be decompressed") from error
    if not decompressor.eof:
        raise ValueError("the configuration is truncated or too long")
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
