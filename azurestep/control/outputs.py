"""What the control decisions ask their services to do."""

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
    """Drop the connection to an address; the next message opens a new one."""

    to: Address


@attrs.frozen
class MemberChanged:
    """The belief about a member changed."""

    member: MemberState


@attrs.frozen
class UpdateAccepted:
    """An update of another kind is newer than the one held."""

    update: Update


@attrs.frozen
class VersionApplied:
    """A newer version is in force at this node."""

    version: int


@attrs.frozen
class VersionConflict:
    """A peer holds the same version with another hash."""

    version: int
    peer: Address


@attrs.frozen
class RecordFolded:
    """The fold decided on a record."""

    event: FoldEvent


@attrs.frozen
class RecordsRelayed:
    """Records of the ownership stream are known here, in their order.

    Attributes
    ----------
    from_offset, next_offset : int
        Offsets covered, the last excluded; the first is above the offset that
        was wanted if records were dropped.
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
