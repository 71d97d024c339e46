"""Long bodies on their way to this node: a few at once, so that links stay quick."""

from collections import deque
from typing import Protocol

import attrs

from .contained import Faultable

MAX_CONCURRENT_TRANSFERS = 2
"""Bodies that are fetched at once. One of 60 KB takes 48 ms on a link of 10 Mbit/s;
with more of them, answers to probes would wait longer than the 200 ms after which a
node is doubted."""


class BodyTransfer(Faultable, Protocol):
    """A request whose body is fetched when its turn comes."""

    def ask_for_body(self) -> None:
        """Ask the sender for the body."""

    def refuse_if_late(self, now_ms: float) -> None:
        """Refuse the request if it can't be answered in time any more."""


@attrs.define(eq=False)
class BodyTransfers:
    """The bodies that are being fetched, and those that wait."""

    _fetching: set[BodyTransfer] = attrs.field(factory=set)
    _waiting: deque[BodyTransfer] = attrs.field(factory=deque)

    @property
    def waiting(self) -> list[BodyTransfer]:
        """Requests that wait for their turn."""
        return list(self._waiting)

    def begin(self, transfer: BodyTransfer) -> bool:
        """Whether a body may be fetched now; if not, its turn comes later."""
        if self._waiting or len(self._fetching) >= MAX_CONCURRENT_TRANSFERS:
            self._waiting.append(transfer)
            return False
        self._fetching.add(transfer)
        return True

    def end(self, transfer: BodyTransfer) -> None:
        """Note that a body came or is not needed."""
        self._fetching.discard(transfer)
        if transfer in self._waiting:
            self._waiting.remove(transfer)

    def start_next(self) -> BodyTransfer | None:
        """Give a free place to the one that waited longest, and return that."""
        if not self._waiting or len(self._fetching) >= MAX_CONCURRENT_TRANSFERS:
            return None
        following = self._waiting.popleft()
        self._fetching.add(following)
        return following
