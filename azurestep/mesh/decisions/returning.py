"""How long ago a caller that comes back first asked. Pure.

Load pattern: more load than the servers carry. Callers that were refused come back, and
their objective counts from their first attempt. Taken for new, attempts that could
only be late pushed fresh ones over their objective too: of 44,000 reads of a day of
high load 12,000 were late and 22,000 in time.

A caller's deadline stays where it is in time when it asks again, so an attempt is told
by its place and that moment. Nothing is assumed of how long callers wait. An attempt
that comes to another node than the former one counts as new.
"""

import attrs

SAME_DEADLINE_MS = 25.0
"""Most that the deadlines of two attempts of one caller differ here: the time that two
requests take from the caller differs by less (3 to 8 ms on the deployments that were
measured), and times are told in whole milliseconds."""
REMEMBERED_MOST = 4096
"""Attempts remembered at most: twice what a node refuses in the longest deadline seen
(7 s) at 300 requests a second; some 0.5 MB."""


@attrs.frozen(slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes
    ----------
    place : tuple of bytes
        Method, host and target of the request.
    first_ms : float
        When the caller first asked, as far as it is known.
    deadline_at_ms : float
        When the caller gives up.
    returned : bool
        Whether the caller is known to have asked before.
    """

    place: tuple[bytes, ...]
    first_ms: float
    deadline_at_ms: float
    returned: bool = False


@attrs.define(slots=True)
class ReturningCallers:
    """Attempts that ended without success and may come back before their deadline.

    Examples
    --------
    >>> returning = ReturningCallers()
    >>> place = (b"GET", b"shop.example", b"/read/1")
    >>> returning.remember(Attempt(place, 0.0, 1200.0))
    >>> returning.first_ms(place, 100.0, 1203.0)
    0.0
    >>> returning.first_ms(place, 100.0, 1300.0)
    100.0
    """

    _open: dict[tuple[bytes, ...], list[Attempt]] = attrs.field(factory=dict)
    _count: int = 0

    def remember(self, attempt: Attempt) -> None:
        """Take in an attempt that ended without success."""
        if self._count < REMEMBERED_MOST:
            self._open.setdefault(attempt.place, []).append(attempt)
            self._count += 1

    def first_ms(
        self, place: tuple[bytes, ...], now_ms: float, deadline_at_ms: float
    ) -> float:
        """Return when the caller of an attempt that arrives now first asked."""
        attempts = self._open.get(place)
        if attempts is None:
            return now_ms
        for index, attempt in enumerate(attempts):
            if abs(attempt.deadline_at_ms - deadline_at_ms) <= SAME_DEADLINE_MS:
                self._take(place, index)
                return attempt.first_ms
        return now_ms

    def forget(self, now_ms: float) -> None:
        """Forget attempts whose caller has given up."""
        for place, attempts in list(self._open.items()):
            kept = [one for one in attempts if one.deadline_at_ms > now_ms]
            self._count -= len(attempts) - len(kept)
            if kept:
                self._open[place] = kept
            else:
                del self._open[place]

    def _take(self, place: tuple[bytes, ...], index: int) -> None:
        attempts = self._open[place]
        del attempts[index]
        self._count -= 1
        if not attempts:
            del self._open[place]
