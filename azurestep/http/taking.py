"""Whether a caller takes its answers, and why the node ends callers' connections."""

from enum import StrEnum

import attrs

from ..values import Value


class EndReason(StrEnum):
    """Why the node ended a connection that was inside all limits of its own."""

    UNTAKEN = "untaken"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


@attrs.frozen(slots=True, eq=False, repr=False)
class EndedConnection(Value):
    """A connection that the node ended.

    Attributes
    ----------
    reason : EndReason
        Why it was ended.
    held_bytes : int
        Memory that it held, as far as it is counted.
    pending : int
        Requests on it that were not answered.
    connections : int
        Connections of callers at that time, including this one.
    """

    reason: EndReason
    held_bytes: int
    pending: int
    connections: int


@attrs.define(slots=True, eq=False, repr=False)
class TakingMeter:
    """Measures for how long a caller has taken nothing of what was written to it.

    Attributes
    ----------
    written_bytes : int
        Bytes that were handed to the transport.

    Examples
    --------
    >>> meter = TakingMeter(written_bytes=100)
    >>> meter.update(unsent_bytes=60, now_s=7.0)
    0.0
    >>> meter.update(unsent_bytes=60, now_s=9.0)
    2000.0
    >>> meter.update(unsent_bytes=59, now_s=9.5)
    0.0
    """

    written_bytes: int = 0
    _taken_bytes: int = 0
    _since_s: float = 0.0

    def update(self, unsent_bytes: int, now_s: float) -> float:
        """Return for how many ms nothing was taken though bytes are unsent."""
        taken_bytes = self.written_bytes - unsent_bytes
        if not unsent_bytes or taken_bytes != self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._since_s = now_s
        return (now_s - self._since_s) * 1000

    def exclude(self, pause_s: float) -> None:
        """Exclude a time in which the node did not write."""
        self._since_s += pause_s
