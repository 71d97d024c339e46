"""Transfers of large request bodies, limited so that links stay responsive."""

from collections import deque
from typing import Protocol

import attrs

from .contained import HandlesFaults

MAX_CONCURRENT_TRANSFERS = 2
"""Limit of concurrent transfers.

A body of 60 KB takes 48 ms on a link of 10 Mbit/s. With more at once, answers to probes
would wait longer than the 200 ms after which the node is taken for unresponsive.
"""


class BodyTransfer(HandlesFaults, Protocol):
    """A request whose body the sender sends when asked."""

    def request_body(self) -> None:
        """Ask the sender for the body."""

    def refuse_if_late(self, now_ms: float) -> None:
        """Refuse the request if it can't end in time."""


@attrs.define(eq=False)
class BodyTransfers:
    """Active and waiting transfers of bodies."""

    _active: set[BodyTransfer] = attrs.field(factory=set)
    _waiting: deque[BodyTransfer] = attrs.field(factory=deque)

    @property
    def waiting(self) -> list[BodyTransfer]:
        """Requests that wait for their transfer."""
        return list(self._waiting)

    def begin(self, transfer: BodyTransfer) -> bool:
        """Begin or queue a transfer; return whether it began."""
        if self._waiting or len(self._active) >= MAX_CONCURRENT_TRANSFERS:
            self._waiting.append(transfer)
            return False
        self._active.add(transfer)
        return True

    def end(self, transfer: BodyTransfer) -> None:
        """Remove a transfer that has ended or isn't needed."""
        self._active.discard(transfer)
        if transfer in self._waiting:
            self._waiting.remove(transfer)

    def start_next(self) -> BodyTransfer | None:
        """Begin the longest waiting transfer, if the limit allows, and return it."""
        if not self._waiting or len(self._active) >= MAX_CONCURRENT_TRANSFERS:
            return None
        transfer = self._waiting.popleft()
        self._active.add(transfer)
        return transfer
