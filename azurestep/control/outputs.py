"""What the control decisions ask their services to do."""

import attrs

from ..config.fold import FoldEvent
from ..settings import Address
from .messages import MemberState, Message, Update


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
class Learned:
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
class Folded:
    """The fold decided on a record."""

    event: FoldEvent


Output = (
    Send
    | ReplaceLink
    | MemberChanged
    | Learned
    | VersionApplied
    | VersionConflict
    | Folded
)
