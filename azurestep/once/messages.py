"""Messages into and out of the decision."""

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
        times of keys, and never trusted.
    monotonic_ms : float
        Time that never goes back; drives every timeout.
    """

    wall_ms: int
    monotonic_ms: float


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
    """Live nodes of a service, over all data centres that this node reaches.

    Attributes
    ----------
    live : tuple of NodeId
        Nodes that may claim slots.
    others : tuple of NodeId
        Further live nodes, which may still own slots from before.
    """

    service: str
    live: tuple[NodeId, ...]
    others: tuple[NodeId, ...] = ()


@attrs.frozen
class LogHealth:
    """Whether the platform's log answers, as far as the membership knows."""

    is_reachable: bool


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
    | LogHealth
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
