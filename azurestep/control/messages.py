"""Typed messages between nodes.

Messages travel as positional arrays (see :mod:`azurestep.control.codec`). A new
field goes to the end of a class and has a default, so that programs of
neighbouring versions understand each other during a rolling upgrade.
"""

import attrs

from ..config.delta import Delta
from ..once.messages import Header, PeerMessage
from ..settings import Address
from .updates import Update


@attrs.frozen
class Digest:
    """Which configuration a node holds."""

    version: int
    hash: bytes


@attrs.frozen
class Sender:
    """Who sent a message and where answers go."""

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
    """Heartbeat that asks for an ``Ack``; carries news and digests."""

    sequence: int
    digest: Digest
    table_hash: int
    updates: list[Update] = attrs.field(factory=list)


@attrs.frozen
class Ack:
    """Answer to a ``Probe``."""

    sequence: int
    digest: Digest
    table_hash: int
    updates: list[Update] = attrs.field(factory=list)


@attrs.frozen
class ProbeRequest:
    """Asks a peer to probe a third member and to relay its answer."""

    sequence: int
    target: Address


@attrs.frozen
class IndirectAck:
    """Tells that the third member answered the relayed probe."""

    sequence: int


@attrs.frozen
class Broadcast:
    """Urgent updates, forwarded once along the tree rooted at ``root``."""

    root: str
    updates: list[Update]


@attrs.frozen
class ItemStamp:
    """Key of an update, hashed, and its stamp."""

    key_hash: int
    stamp: list[int]


@attrs.frozen
class SyncRequest:
    """Asks for every update that the receiver holds newer than these."""

    stamps: list[ItemStamp]


@attrs.frozen
class SyncReply:
    """Newer updates, and the keys that the sender wants in turn."""

    updates: list[Update]
    wanted: list[int] = attrs.field(factory=list)


@attrs.frozen
class Push:
    """A version on its way down the tree rooted at ``root``."""

    root: str
    delta: Delta


@attrs.frozen
class Pull:
    """Asks for a version newer than the one held."""

    digest: Digest


@attrs.frozen
class PullReply:
    """Answer to a ``Pull``."""

    delta: Delta


@attrs.frozen
class RetryLater:
    """Tells a puller to come back, since serving snapshots is limited."""

    retry_after_ms: int


@attrs.frozen
class AppliedReport:
    """How many members of a subtree have a version in force.

    Attributes
    ----------
    digest : Digest
        Version that was applied.
    instances : list of str
        Who applied it since the last such message.
    first_ms, last_ms : int
        Wall-clock time of the first and the last application.
    """

    digest: Digest
    instances: list[str]
    first_ms: int
    last_ms: int


@attrs.frozen
class RelayedRecord:
    """A record of a log stream on its way between nodes."""

    offset: int
    payload: bytes


@attrs.frozen
class RecordsPush:
    """Records of the ownership stream that a reader read.

    Attributes
    ----------
    root : str
        Root of the tree that it goes down; empty for an answer to a pull.
    from_offset, next_offset : int
        Offsets that it covers, the last excluded.
    packed : bytes
        The records, see :mod:`azurestep.control.packing`.
    has_regressed : bool
        Whether the log was found to hold fewer records than before.
    """

    root: str
    from_offset: int
    next_offset: int
    packed: bytes
    has_regressed: bool = False


@attrs.frozen
class RecordsPull:
    """Asks for the records of the ownership stream from an offset on."""

    from_offset: int


@attrs.frozen
class PackedCall:
    """A caller's request as it travels to the owner of its key."""

    method: str
    target: str
    host: str
    fields: list[Header]
    body: bytes


@attrs.frozen
class OwnerMessage:
    """A message of the at-most-once decision to one run of a node.

    Attributes
    ----------
    receiver_run, sender_run : str
        Runs of the two nodes; a later run of the receiver ignores it.
    message : PeerMessage
        The message.
    call : PackedCall or None
        The request that goes with a ``ForwardedRequest``.
    """

    receiver_run: str
    sender_run: str
    message: PeerMessage
    call: PackedCall | None = None


@attrs.frozen
class AuditItems:
    """Audit items on their way to the writer of the data centre's trail.

    Attributes
    ----------
    entries : list of bytes
        JSON text of each entry (see :mod:`azurestep.audit.records`).
    """

    entries: list[bytes]


@attrs.frozen
class AuditReceipt:
    """Items of a run of the receiver, up to a number, are on the log."""

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
