"""Events of a configuration fold."""

import attrs

from ..faults import Fault


@attrs.frozen
class Accepted:
    """A publication became the version in force; ``version`` is its offset."""

    version: int
    id: str
    operator: str
    time_ms: int
    preset: str


@attrs.frozen
class Refused:
    """A publication was refused."""

    offset: int
    id: str
    operator: str
    reason: str
    faults: tuple[Fault, ...] = ()


@attrs.frozen
class Adopted:
    """A version was adopted from a checkpoint or a peer."""

    version: int


@attrs.frozen
class CheckpointRead:
    """A checkpoint of the configuration was read."""

    offset: int
    as_of: int


@attrs.frozen
class Mismatched:
    """A checkpoint of the version in force has a different hash."""

    offset: int


@attrs.frozen
class Regressed:
    """The log ends before records that were read earlier.

    Attributes
    ----------
    next_offset : int
        Offset after the last record of the log now.
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
    """A record requires a newer program; the fold stops before it."""

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
