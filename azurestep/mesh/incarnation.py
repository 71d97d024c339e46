"""Which start of a backend server is meant."""

import attrs

BIRTH_UNKNOWN = 0
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
    born_ms : int
        Its start in Unix milliseconds; ``BIRTH_UNKNOWN`` where it was not told.
    """

    instance_id: bytes
    born_ms: int = BIRTH_UNKNOWN

    def may_be(self, other: "Incarnation") -> bool:
        """Whether both may be the same start, as far as it is told.

        Examples
        --------
        >>> Incarnation(b"a", 5).may_be(Incarnation(b"a"))
        True
        >>> Incarnation(b"a", 5).may_be(Incarnation(b"a", 6))
        False
        """
        if self.instance_id != other.instance_id:
            return False
        if BIRTH_UNKNOWN in (self.born_ms, other.born_ms):
            return True
        return self.born_ms == other.born_ms


NO_INCARNATION = Incarnation(b"")
