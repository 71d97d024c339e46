"""State that an owner keeps for each of its intervals."""

from enum import StrEnum

import attrs


class TenureState(StrEnum):
    """Whether the owner accepts new keys of a tenure."""

    OPEN = "open"
    CLOSING = "closing"
    RELEASING = "releasing"


@attrs.define
class Tenure:
    """An interval that this node owns, with what it accepted and expired.

    Attributes
    ----------
    id : str
        Id of the record that started the tenure.
    received_from_ms : int
        Key time from which on this node received every key that a former owner
        accepted.
    expired_before_ms : int
        Key time below which keys expired from the table.
    max_accepted_ms : int
        Newest key time accepted.
    """

    id: str
    start_ms: int
    end_ms: int
    received_from_ms: int
    digest: str = ""
    expired_before_ms: int = 0
    max_accepted_ms: int = 0
    state: TenureState = TenureState.OPEN

    @property
    def trusted_from_ms(self) -> int:
        """Key time from which on the table holds every accepted key."""
        return max(self.received_from_ms, self.expired_before_ms)

    def covers(self, time_ms: int) -> bool:
        """Return whether a key time lies inside."""
        return self.start_ms <= time_ms < self.end_ms
