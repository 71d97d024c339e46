"""Identity of one run of a backend server process."""

import attrs

from ..values import Value

START_UNKNOWN = 0
"""Start time of an incarnation that didn't announce it."""


@attrs.frozen(slots=True, repr=False)
class Incarnation(Value):
    """One run of a backend server process.

    A restarted backend server may keep its id, so the start time is part of the
    identity.

    Attributes
    ----------
    instance_id : bytes
        Id that the backend server announced; empty for none.
    started_ms : int
        Start time in Unix milliseconds (``born`` in announcements), or
        ``START_UNKNOWN``.
    """

    instance_id: bytes
    started_ms: int = START_UNKNOWN

    def matches(self, other: "Incarnation") -> bool:
        """Whether both may be the same incarnation; an unknown start matches any.

        Examples
        --------
        >>> Incarnation(b"a", 5).matches(Incarnation(b"a"))
        True
        >>> Incarnation(b"a", 5).matches(Incarnation(b"a", 6))
        False
        """
        if self.instance_id != other.instance_id:
            return False
        if START_UNKNOWN in (self.started_ms, other.started_ms):
            return True
        return self.started_ms == other.started_ms


NO_INCARNATION = Incarnation(b"")
