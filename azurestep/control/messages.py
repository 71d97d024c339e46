"""Typed messages between nodes.

Messages are encoded as positional arrays (see :mod:`azurestep.control.codec`).
New fields must be appended and have a default, so that nodes of adjacent
versions stay compatible during a rolling upgrade.
"""

import attrs

from ..config.delta import Delta
from ..once.messages import Header, PeerMessage
from ..settings import Address
from .updates import Update


@attrs.frozen
class Digest:
    """Version and hash of the configuration that a node holds."""

    version: int
    hash: bytes


@attrs.frozen
class Sender:
    """Identity of the sending node and the address for answers."""

    instance: str
    data_centre: str
    incarnation: int
    host: str
    control_port: int

    @property
    def address(self) -> Address:
        """Control address of the sender."""
        return Address(self.host, self.control_port)


@attrs.frozen
class Probe:
    """Heartbeat that requests an ``Ack``; carries updates and digests."""

    sequence: int
    digest: Digest
    table_hash: int
    updates: list[Update] = attrs.field(factory=list)


@attrs.frozen
class Ack:
    """Answer to a ``Probe``; carries updates and digests."""

    sequence: int
    digest: Digest
    table_hash: int
    updates: list[Update] = attrs.field(factory=list)


@attrs.frozen
class ProbeRequest:
    """Asks a peer to probe another member on the sender's behalf."""

    sequence: int
    target: Address


@attrs.frozen
class IndirectAck:
    """Reports that the target of a ``ProbeRequest`` answered."""

    sequence: int


@attrs.frozen
class Broadcast:
    """Urgent updates, forwarded once along the broadcast tree of ``root``."""

    root: str
    updates: list[Update]


@attrs.frozen
class ItemStamp:
    """Hashed key of an update and its version stamp."""

    key_hash: int
    stamp: list[int]


@attrs.frozen
class SyncRequest:
    """Requests every update newer than the given stamps."""

    stamps: list[ItemStamp]


@attrs.frozen
class SyncReply:
    """Answer to a ``SyncRequest``: newer updates and the key hashes wanted in turn."""

    updates: list[Update]
    wanted: list[int] = attrs.field(factory=list)


@attrs.frozen
class Push:
    """Configuration delta, forwarded along the broadcast tree of ``root``."""

    root: str
    delta: Delta


@attrs.frozen
class Pull:
    """Requests a configuration newer than the one in ``digest``."""

    digest: Digest


@attrs.frozen
class PullReply:
    """Answer to a ``Pull``: the configuration delta."""

    delta: Delta


@attrs.frozen
class RetryLater:
    """Asks the sender of a ``Pull`` to retry, since snapshots are rate limited."""

    retry_after_ms: int


@attrs.frozen
class AppliedReport:
    """Reports which members of a subtree applied a configuration version.

    Attributes
    ----------
    digest : Digest
        Configuration that was applied.
    instances : list of str
        Instances that applied it since the previous report.
    first_ms, last_ms : int
        Wall-clock time of the first and the last application.
    """

    digest: Digest
    instances: list[str]
    first_ms: int
    last_ms: int


@attrs.frozen
class RelayedRecord:
    """Log record that is passed on between nodes."""

    offset: int
    payload: bytes


@attrs.frozen
class RecordsPush:
    """Range of records of the ownership stream, read by a reader node.

    Attributes
    ----------
    root : str
        Root of the broadcast tree; empty in the answer to a ``RecordsPull``.
    from_offset, next_offset : int
        Half-open range of offsets covered.
    packed : bytes
        Compressed records, see :mod:`azurestep.control.packing`.
    has_regressed : bool
        Whether the log holds fewer records than were read before.
    """

    root: str
    from_offset: int
    next_offset: int
    packed: bytes
    has_regressed: bool = False


@attrs.frozen
class RecordsPull:
    """Requests the records of the ownership stream from an offset."""

    from_offset: int


@attrs.frozen
class PackedCall:
    """Caller's request, forwarded to the owner of its key."""

    method: str
    target: str
    host: str
    fields: list[Header]
    body: bytes


@attrs.frozen
class OwnerMessage:
    """At-most-once protocol message, addressed to one run of a node.

    Attributes
    ----------
    receiver_run, sender_run : str
        Process runs of both nodes; a different run of the receiver ignores it.
    message : PeerMessage
        Protocol message.
    call : PackedCall or None
        Request that belongs to a ``ForwardedRequest``.
    """

    receiver_run: str
    sender_run: str
    message: PeerMessage
    call: PackedCall | None = None


@attrs.frozen
class AuditItems:
    """Audit items for the node that writes the data centre's audit trail.

    Attributes
    ----------
    entries : list of bytes
        JSON text of each entry (see :mod:`azurestep.audit.records`).
    """

    entries: list[bytes]


@attrs.frozen
class AuditReceipt:
    """Confirms that a run's audit items up to ``number`` are in the log."""

    run: str
    number: int


Message = (
    Probe
    | Ack
    | ProbeRequest
    | IndirectAck
    | Broadcast
    | SyncRequest
    | SyncReply
    | Push
    | Pull
    | PullReply
    | RetryLater
    | AppliedReport
    | RecordsPush
    | RecordsPull
    | OwnerMessage
    | AuditItems
    | AuditReceipt
)
