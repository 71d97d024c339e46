"""Which nodes of a data centre follow the platform's log."""

from ..control.membership import Membership
from ..control.ring import rendezvous

READER = "reader"


class Readers:
    """Chooses readers among the members that reach the log.

    Parameters
    ----------
    membership : Membership
        Members of the data centre.
    count : int
        Readers wanted.
    """

    def __init__(self, membership: Membership, count: int) -> None:
        self._membership = membership
        self._count = count
        self._epoch = -1
        self._names: list[str] = []

    def names(self) -> list[str]:
        """Return the readers, the first one first."""
        if self._epoch != self._membership.epoch:
            self._epoch = self._membership.epoch
            self._names = self._choose()
        return self._names

    def _choose(self) -> list[str]:
        members = self._membership.members()
        able = [member.instance for member in members if member.log_reachable]
        names = able or [member.instance for member in members]
        return rendezvous(READER, names, self._count)

    def is_reader(self) -> bool:
        """Whether this node follows the log."""
        return self._membership.own.instance in self.names()

    def is_first(self) -> bool:
        """Whether this node pushes what it reads."""
        return self.names()[:1] == [self._membership.own.instance]
