"""Which start of a backend server is meant."""

import attrs

START_UNKNOWN = 0
"""Start of an incarnation that did not tell it."""


@attrs.frozen(slots=True)
class Incarnation:
    """One start of a backend server.

    A backend server may start again under the id that it had, so the id alone does
    not tell two starts apart.

    Attributes
    ----------
    instance_id : bytes
        Id under which it announced itself; empty for none.
    started_ms : int
        Its start in Unix milliseconds; ``START_UNKNOWN`` where it was not told.
    """

    instance_id: bytes
    started_ms: int = START_UNKNOWN

    def matches(self, other: "Incarnation") -> bool:
        """Whether both may be the same start, as far as it is told.

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
