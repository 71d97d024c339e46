"""Era of the platform's store, which rises when it returns from an older copy."""

from collections.abc import Callable

import attrs

UNKNOWN_ERA = 0
"""No answer of the store has named an era so far."""


@attrs.define(eq=False, repr=False)
class StoreEra:
    """The latest era that the store or a peer named.

    What a node remembers of the store belongs to one era: offsets, and that a record
    was written. A new era invalidates it.

    Attributes
    ----------
    on_change : Callable
        Called with the former and the new era.

    Examples
    --------
    >>> era = StoreEra(lambda former, current: print(former, "to", current))
    >>> [era.accept(4), era.accept(None), era.accept(5), era.accept(4)]
    4 to 5
    [True, True, True, False]
    """

    on_change: Callable[[int, int], None]
    current: int = UNKNOWN_ERA

    def accept(self, era: int | None) -> bool:
        """Record the era of an answer; return False if it is from an earlier one."""
        if era is None or era == self.current:
            return True
        if era < self.current:
            return False
        former, self.current = self.current, era
        if former != UNKNOWN_ERA:
            self.on_change(former, era)
        return True
