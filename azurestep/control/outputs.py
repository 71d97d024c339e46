"""Outputs of the control logic, performed by the node's services."""

import attrs

from ..config.fold import FoldEvent
from ..settings import Address
from .messages import Message, RelayedRecord
from .updates import MemberState, Update


@attrs.frozen
class Send:
    """Send a message to a control address."""

    to: Address
    message: Message


@attrs.frozen
class ReplaceLink:
    """Close the connection to an address; the next message opens a new one."""

    to: Address


@attrs.frozen
class MemberChanged:
    """The known state of a member changed."""

    member: MemberState


@attrs.frozen
class UpdateAccepted:
    """An update other than a member state replaced an older one."""

    update: Update


@attrs.frozen
class VersionApplied:
    """A newer version is in force at this node."""

    version: int


@attrs.frozen
class VersionConflict:
    """A peer holds the same version with a different hash."""

    version: int
    peer: Address


@attrs.frozen
class RecordFolded:
    """The configuration fold processed a record."""

    event: FoldEvent


@attrs.frozen
class RecordsRelayed:
    """Records of the ownership stream were received, in order.

    Attributes
    ----------
    from_offset, next_offset : int
        Half-open range of offsets covered; ``from_offset`` is above the expected
        offset if records were dropped.
    """

    from_offset: int
    next_offset: int
    records: tuple[RelayedRecord, ...]
    has_regressed: bool = False


Output = (
    Send
    | ReplaceLink
    | MemberChanged
    | UpdateAccepted
    | VersionApplied
    | VersionConflict
    | RecordFolded
    | RecordsRelayed
)
