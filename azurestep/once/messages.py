"""Inputs and outputs of ``OnceDecision``."""

import attrs

from ..events import Event
from .answers import REMEDIES, Header, KeptAnswer, Outcome, Reason
from .fold import LogEntry
from .peers import (
    ForwardedRequest,
    KeyState,
    OwnerAnswer,
    PeerMessage,
    TableEntry,
    TableReceipt,
    TableTransfer,
    TrustedSlot,
)
from .records import NodeId, OwnershipRecord

__all__ = [
    "ForwardedRequest",
    "Header",
    "KeptAnswer",
    "KeyState",
    "Outcome",
    "OwnerAnswer",
    "PeerMessage",
    "Reason",
    "TableEntry",
    "TableReceipt",
    "TableTransfer",
    "TrustedSlot",
]


@attrs.frozen
class Moment:
    """The time of an input.

    Attributes
    ----------
    wall_ms : int
        Wall-clock time in milliseconds since the epoch; only compared with the
        times of keys.
    monotonic_ms : float
        Monotonic time, used for every timeout.
    """

    wall_ms: int
    monotonic_ms: float


# Inputs


@attrs.frozen
class RequestArrived:
    """A caller's non-idempotent request.

    Attributes
    ----------
    request_id : str
        Globally unique id, never reused.
    service : str
        Service of the route before presets are applied, so that a key has the
        same owner under every preset.
    key : str
        Value of ``Idempotency-Key``; empty if absent.
    fingerprint : str
        Digest of method, target and body.
    attempt : int
        Value of ``Azurestep-Attempt``; 0 if absent. With 1 the caller declares
        that every earlier copy was answered "not run", and that it sends no
        other copy before it has the answer or has closed the connection.
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
    """A request could not be forwarded to the owner.

    Attributes
    ----------
    bytes_sent : bool
        Whether the owner may have received the request, or may still receive it.
    """

    request_id: str
    bytes_sent: bool


@attrs.frozen
class DispatchFailed:
    """A run ended without an answer from a backend server.

    Attributes
    ----------
    bytes_sent : bool
        Whether a backend server may have run the request; false if no byte was
        sent or the backend server refused the request.
    """

    run_id: str
    bytes_sent: bool


@attrs.frozen
class BackendServerAnswered:
    """A run ended with a complete answer."""

    run_id: str
    answer: KeptAnswer


@attrs.frozen
class LogRecordsRead:
    """Records of the ownership stream, in order.

    Attributes
    ----------
    from_offset : int
        First offset of the read; above the requested offset if retention
        dropped records.
    next_offset : int
        Offset after the last one of the read.
    """

    from_offset: int
    entries: tuple[LogEntry, ...]
    next_offset: int


@attrs.frozen
class LogRegressed:
    """The platform's log ends before records that were already read."""


@attrs.frozen
class AppendDone:
    """An append was acknowledged; the record still has to be read back."""

    append_id: str
    offset: int


@attrs.frozen
class AppendFailed:
    """An append failed, or its answer was lost.

    Attributes
    ----------
    may_have_taken_effect : bool
        Whether the record may be on the log now or later.
    """

    append_id: str
    may_have_taken_effect: bool


@attrs.frozen
class MembersChanged:
    """Live nodes of a service in all reachable data centres.

    Attributes
    ----------
    live : tuple of NodeId
        Nodes that may claim slots.
    others : tuple of NodeId
        Other live nodes, which may still own slots that they claimed earlier.
    """

    service: str
    live: tuple[NodeId, ...]
    others: tuple[NodeId, ...] = ()


@attrs.frozen
class LogHealth:
    """Whether the platform's log is reachable, according to the membership."""

    is_reachable: bool


@attrs.frozen
class Tick:
    """Advances the timers; sent every 100 to 1000 ms."""


@attrs.frozen
class StopRequested:
    """Starts a graceful shutdown, which ends with ``Stopped``."""


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
    | LogHealth
    | Tick
    | StopRequested
)


# Outputs


@attrs.frozen
class RunHere:
    """Run a request at a backend server once.

    The result is reported as ``DispatchFailed`` or ``BackendServerAnswered``.

    Attributes
    ----------
    request_id : str
        Request to send.
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

    A ``ForwardedRequest`` is sent together with the body of the request.
    """

    receiver: NodeId
    message: PeerMessage


@attrs.frozen
class AnswerCaller:
    """Answer a caller of this node.

    Attributes
    ----------
    key : str
        Key of the request, generated if the caller sent none.
    final : bool
        Whether no request with this key will ever run. If false, "not run"
        applies to this copy only. It is always safe to resend with the same key.
        A new key is safe once every copy was answered "not run".
    open_slots : tuple of int
        Slots that accept a key created now, for ``Azurestep-Open-Slots``.
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
    """Append a record to the ownership stream, without retries.

    The result is reported as ``AppendDone`` or ``AppendFailed``.
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
    """The graceful shutdown is complete.

    Attributes
    ----------
    slots_left : int
        Slots without a successor; retries of their keys get "may have run".
    """

    slots_left: int


Output = RunHere | SendToPeer | AnswerCaller | AppendRecord | Emit | Stopped
