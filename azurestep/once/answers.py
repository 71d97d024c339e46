"""Outcomes of requests, their reasons and kept answers."""

from enum import StrEnum

import attrs


class Outcome(StrEnum):
    """Whether a request ran, as reported to the caller."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"
    KEY_REUSED = "key_reused"


class Reason(StrEnum):
    """Reason for an outcome."""

    RAN = "ran"
    KEY_INVALID = "key_invalid"
    KEY_REUSED = "key_reused"
    KEY_TOO_OLD = "key_too_old"
    NO_OWNER = "no_owner"
    NEVER_OWNED = "never_owned"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_SILENT = "owner_silent"
    NOT_OWNER = "not_owner"
    HANDOVER = "handover"
    TABLE_FULL = "table_full"
    IN_PROGRESS = "in_progress"
    DEADLINE_PASSED = "deadline_passed"
    DISPATCH_REFUSED = "dispatch_refused"
    DISPATCH_LOST = "dispatch_lost"


REMEDIES: dict[Reason, str] = {
    Reason.RAN: "Nothing to do",
    Reason.KEY_INVALID: "Send a UUID of version 7 as Idempotency-Key",
    Reason.KEY_REUSED: "Send a new key for a new request",
    Reason.KEY_TOO_OLD: "Ask the service for the outcome before using a new key",
    Reason.NO_OWNER: "Send the same request again, or use a key of an open slot",
    Reason.NEVER_OWNED: "Use a new key, created now",
    Reason.OWNER_UNREACHABLE: "Send again with the same key, or ask the service",
    Reason.OWNER_SILENT: "Send again with the same key, or ask the service",
    Reason.NOT_OWNER: "Send again with the same key",
    Reason.HANDOVER: "Send again with the same key after the delay",
    Reason.TABLE_FULL: "Send again with the same key after the delay",
    Reason.IN_PROGRESS: "Send again with the same key after the delay",
    Reason.DEADLINE_PASSED: "Send again with the same key and a later deadline",
    Reason.DISPATCH_REFUSED: "Send again with the same key after the delay",
    Reason.DISPATCH_LOST: "Ask the service for the outcome",
}


@attrs.frozen
class Header:
    """A header of a kept answer."""

    name: str
    value: str


@attrs.frozen
class KeptAnswer:
    """An answer of a backend server, kept for client retries.

    Attributes
    ----------
    trimmed : bool
        Whether headers and body were dropped because they were too large.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    trimmed: bool = False

    @property
    def size_bytes(self) -> int:
        """Size of headers and body."""
        headers_bytes = sum(
            len(header.name) + len(header.value) for header in self.headers
        )
        return headers_bytes + len(self.body)
