"""What the fold decided on a record, or found out about the log."""

import attrs

from ..faults import Fault


@attrs.frozen
class Accepted:
    """A publication is the new version; ``version`` is its offset."""

    version: int
    id: str
    operator: str
    time_ms: int
    preset: str


@attrs.frozen
class Refused:
    """A publication changed nothing, and why."""

    offset: int
    id: str
    operator: str
    reason: str
    faults: tuple[Fault, ...] = ()


@attrs.frozen
class Adopted:
    """A version was taken over whole, from a checkpoint or from a peer."""

    version: int


@attrs.frozen
class CheckpointRead:
    """A checkpoint of the configuration was read."""

    offset: int
    as_of: int


@attrs.frozen
class Mismatched:
    """A checkpoint contradicts the folded configuration."""

    offset: int


@attrs.frozen
class Regressed:
    """The log ends before records that were read earlier.

    Attributes
    ----------
    next_offset : int
        Where the log ends now.
    as_of : int
        Offset of the last record that was read.
    """

    next_offset: int
    as_of: int


@attrs.frozen
class GapFound:
    """Records were dropped by retention before they were read."""

    first_offset: int
    as_of: int


@attrs.frozen
class Unsupported:
    """A record asks for a newer program; the fold halts before it."""

    offset: int
    format: int


FoldEvent = (
    Accepted
    | Refused
    | Adopted
    | CheckpointRead
    | Mismatched
    | Regressed
    | GapFound
    | Unsupported
)
