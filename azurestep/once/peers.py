"""Messages between nodes.

Fields are encoded by position: new fields go to the end and have a default.
"""

from enum import StrEnum

import attrs

from .answers import KeptAnswer, Outcome, Reason


@attrs.frozen
class ForwardedRequest:
    """A request that a node forwards to the owner of its key.

    Attributes
    ----------
    request_id : str
        Globally unique id, never reused.
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
        Whether this is the kept answer of an earlier attempt.
    """

    request_id: str
    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    answer: KeptAnswer | None = None
    replayed: bool = False


class KeyState(StrEnum):
    """State of a key in a table."""

    RUNNING = "running"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class TableEntry:
    """One key in the table of an owner."""

    service: str
    slot: int
    key: str
    time_ms: int
    fingerprint: str
    state: KeyState
    answer: KeptAnswer | None = None


@attrs.frozen
class TrustedSlot:
    """A slot in a table transfer.

    Attributes
    ----------
    trusted_from_ms : int
        Key time from which on the table holds every accepted key of the slot.
    """

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
    """Confirms that the successor received a table."""

    transfer_id: str


PeerMessage = ForwardedRequest | OwnerAnswer | TableTransfer | TableReceipt
