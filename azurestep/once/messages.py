"""Messages into and out of the decision, and between nodes.

Messages between nodes are flat enough for positional arrays; new fields go to
the end, with a default.
"""

from enum import StrEnum

import attrs

from ..events import Event
from .fold import LogEntry
from .records import NodeId, OwnershipRecord


@attrs.frozen
class Moment:
    """The time of an input.

    Attributes
    ----------
    wall_ms : int
        Wall-clock time in milliseconds since the epoch; only compared with the
        times of keys, and never trusted.
    monotonic_ms : float
        Time that never goes back; drives every timeout.
    """

    wall_ms: int
    monotonic_ms: float


class Outcome(StrEnum):
    """What an answer says of a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"
    KEY_REUSED = "key_reused"


class Reason(StrEnum):
    """Why an answer is what it is."""

    RAN = "ran"
    KEY_INVALID = "key_invalid"
    KEY_REUSED = "key_reused"
    KEY_TOO_OLD = "key_too_old"
    NO_OWNER = "no_owner"
    NEVER_OWNED = "never_owned"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_SILENT = "owner_silent"
    NOT_OWNER = "not_owner"
    HANDOVER = "handover"
    TABLE_FULL = "table_full"
    IN_PROGRESS = "in_progress"
    DEADLINE_PASSED = "deadline_passed"
    DISPATCH_REFUSED = "dispatch_refused"
    DISPATCH_LOST = "dispatch_lost"


REMEDIES: dict[Reason, str] = {
    Reason.RAN: "Nothing to do",
    Reason.KEY_INVALID: "Send a UUID of version 7 as Idempotency-Key",
    Reason.KEY_REUSED: "Send a new key for a new request",
    Reason.KEY_TOO_OLD: "Ask the service for the outcome before using a new key",
    Reason.NO_OWNER: "Send the same request again, or use a key of an open slot",
    Reason.NEVER_OWNED: "Use a new key, created now",
    Reason.OWNER_UNREACHABLE: "Send again with the same key, or ask the service",
    Reason.OWNER_SILENT: "Send again with the same key, or ask the service",
    Reason.NOT_OWNER: "Send again with the same key",
    Reason.HANDOVER: "Send again with the same key after the delay",
    Reason.TABLE_FULL: "Send again with the same key after the delay",
    Reason.IN_PROGRESS: "Send again with the same key after the delay",
    Reason.DEADLINE_PASSED: "Send again with the same key and a later deadline",
    Reason.DISPATCH_REFUSED: "Send again with the same key after the delay",
    Reason.DISPATCH_LOST: "Ask the service for the outcome",
}


@attrs.frozen
class Header:
    """A header of a kept answer."""

    name: str
    value: str


@attrs.frozen
class KeptAnswer:
    """An answer of a backend server, kept for callers that send again.

    Attributes
    ----------
    trimmed : bool
        Whether headers and body were left out because they were too large.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    trimmed: bool = False

    @property
    def size_bytes(self) -> int:
        """Size of headers and body."""
        names = sum(len(header.name) + len(header.value) for header in self.headers)
        return names + len(self.body)


# Between nodes


@attrs.frozen
class ForwardedRequest:
    """A request on its way from the accepting node to the owner.

    Attributes
    ----------
    request_id : str
        Unique in the fleet and for all time.
    remaining_ms : int
        Time left until the caller's deadline.
    """

    request_id: str
    service: str
    key: str
    fingerprint: str
    remaining_ms: int


@attrs.frozen
class OwnerAnswer:
    """The owner's answer to a forwarded request.

    Attributes
    ----------
    replayed : bool
        Whether the answer is the kept one of an earlier attempt.
    """

    request_id: str
    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    answer: KeptAnswer | None = None
    replayed: bool = False


class KeyState(StrEnum):
    """What a table knows of a key."""

    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class TableEntry:
    """One key of a table that is handed over."""

    service: str
    slot: int
    key: str
    time_ms: int
    fingerprint: str
    state: KeyState
    answer: KeptAnswer | None = None


@attrs.frozen
class TrustedSlot:
    """From which key time on a table holds every key of a slot."""

    slot: int
    trusted_from_ms: int


@attrs.frozen
class TableTransfer:
    """All keys of some slots, from an owner to its successor."""

    transfer_id: str
    service: str
    slots: tuple[TrustedSlot, ...]
    entries: tuple[TableEntry, ...]
    digest: str


@attrs.frozen
class TableReceipt:
    """The successor holds a transferred table."""

    transfer_id: str


PeerMessage = ForwardedRequest | OwnerAnswer | TableTransfer | TableReceipt


# Inputs


@attrs.frozen
class RequestArrived:
    """A caller's request that must not repeat.

    Attributes
    ----------
    request_id : str
        Unique in the fleet and for all time.
    service : str
        Service of the route before any preset, so that a key keeps its owner.
    key : str
        Value of ``Idempotency-Key``; empty if absent.
    fingerprint : str
        Digest of method, target and body.
    attempt : int
        Value of ``Azurestep-Attempt``; 0 if absent. A caller that sends 1
        promises that every earlier copy was answered "not run", and that it
        sends no other before it has the answer or has closed the connection.
    remaining_ms : int
        Time left until the caller's deadline.
    """

    request_id: str
    service: str
    key: str
    fingerprint: str
    attempt: int
    remaining_ms: int


@attrs.frozen
class PeerSent:
    """A message from another node."""

    sender: NodeId
    message: PeerMessage


@attrs.frozen
class ForwardFailed:
    """A request did not reach the owner.

    Attributes
    ----------
    bytes_sent : bool
        Whether any part may have left this node, or still may.
    """

    request_id: str
    bytes_sent: bool


@attrs.frozen
class DispatchFailed:
    """A run ended without an answer from a backend server.

    Attributes
    ----------
    bytes_sent : bool
        Whether a backend server may have run the request; false if no byte
        left, or if the backend server said that it refused.
    """

    run_id: str
    bytes_sent: bool


@attrs.frozen
class BackendServerAnswered:
    """A run ended with a whole answer."""

    run_id: str
    answer: KeptAnswer


@attrs.frozen
class LogRecordsRead:
    """Records of the ownership stream, in order.

    Attributes
    ----------
    from_offset : int
        First offset that the read covers; above the offset asked for if
        retention dropped records.
    next_offset : int
        Offset after the last one covered.
    """

    from_offset: int
    entries: tuple[LogEntry, ...]
    next_offset: int


@attrs.frozen
class LogRegressed:
    """The platform's log holds fewer records than were already read."""


@attrs.frozen
class AppendDone:
    """An append took effect; the fold still waits to read it back."""

    append_id: str
    offset: int


@attrs.frozen
class AppendFailed:
    """An append failed, or its answer was lost.

    Attributes
    ----------
    may_have_taken_effect : bool
        Whether the record may be on the log, or still may get there.
    """

    append_id: str
    may_have_taken_effect: bool


@attrs.frozen
class MembersChanged:
    """Live nodes of a service, over all data centres that this node reaches."""

    service: str
    live: tuple[NodeId, ...]


@attrs.frozen
class Tick:
    """Time passed; send one every 100 to 1000 ms."""


@attrs.frozen
class StopRequested:
    """The node stops gracefully; wait for ``Stopped``."""


Input = (
    RequestArrived
    | PeerSent
    | ForwardFailed
    | DispatchFailed
    | BackendServerAnswered
    | LogRecordsRead
    | LogRegressed
    | AppendDone
    | AppendFailed
    | MembersChanged
    | Tick
    | StopRequested
)


# Outputs


@attrs.frozen
class RunHere:
    """Send a request to a backend server, once.

    Report ``DispatchFailed`` or ``BackendServerAnswered`` with the run's id.

    Attributes
    ----------
    request_id : str
        Request whose body is sent.
    sender : NodeId or None
        Node that forwarded the request; None for a caller of this node.
    """

    run_id: str
    request_id: str
    sender: NodeId | None
    service: str
    key: str
    remaining_ms: int


@attrs.frozen
class SendToPeer:
    """Send a message to a node process.

    The body of the request goes with a ``ForwardedRequest``.
    """

    receiver: NodeId
    message: PeerMessage


@attrs.frozen
class AnswerCaller:
    """Answer a caller of this node.

    Attributes
    ----------
    key : str
        Key of the request, minted if the caller sent none.
    final : bool
        Whether no request with this key ever runs. Otherwise "not run" speaks
        of this copy of the request alone: the same key is always safe to send
        again, a new one only once every copy sent was answered "not run".
    open_slots : tuple of int
        Slots whose owners this node reaches, for ``Azurestep-Open-Slots``.
    slot_count : int
        Number of slots of the service.
    """

    request_id: str
    key: str
    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    final: bool = False
    answer: KeptAnswer | None = None
    replayed: bool = False
    open_slots: tuple[int, ...] = ()
    slot_count: int = 0

    @property
    def remedy(self) -> str:
        """What the caller can do."""
        return REMEDIES[self.reason]


@attrs.frozen
class AppendRecord:
    """Append a record to the ownership stream, at most one attempt.

    Report ``AppendDone`` or ``AppendFailed`` with the append's id.
    """

    append_id: str
    record: OwnershipRecord


@attrs.frozen
class Emit:
    """Log an event."""

    event: Event
    detail: str


@attrs.frozen
class Stopped:
    """The graceful stop is complete.

    Attributes
    ----------
    slots_left : int
        Slots that no successor took; their keys stay "may have run".
    """

    slots_left: int


Output = RunHere | SendToPeer | AnswerCaller | AppendRecord | Emit | Stopped
