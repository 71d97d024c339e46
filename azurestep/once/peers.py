"""Messages between nodes.

They are flat enough for positional arrays; new fields go to the end, with a
default.
"""

from enum import StrEnum

import attrs

from .answers import KeptAnswer, Outcome, Reason


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
