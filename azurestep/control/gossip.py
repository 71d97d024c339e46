"""Queue of updates that are piggybacked on probes and acks."""

import math

import attrs

from .table import is_global, key_of
from .updates import Update

UPDATES_PER_MESSAGE = 8
RETRANSMIT_FACTOR = 2
BROADCAST_RETRANSMITS = 1


@attrs.define
class _Pending:
    update: Update
    is_broadcast: bool
    sent: int = 0


class GossipQueue:
    """Sends each update a number of times that grows with log2(members).

    An update that was broadcast is sent once more; a sync delivers it to nodes
    that still lack it.
    """

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}

    def add(self, update: Update, is_broadcast: bool = False) -> None:
        """Queue an update; it replaces an older one with the same key."""
        self._pending[key_of(update)] = _Pending(update, is_broadcast)

    def take(self, members: int, only_global: bool = False) -> list[Update]:
        """Return the updates for one message, least often sent first."""
        limit = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(members + 1)))
        candidates = [
            pending
            for pending in self._pending.values()
            if not only_global or is_global(pending.update)
        ]
        candidates.sort(key=lambda pending: pending.sent)
        chosen = candidates[:UPDATES_PER_MESSAGE]
        for pending in chosen:
            pending.sent += 1
            if pending.sent >= (
                BROADCAST_RETRANSMITS if pending.is_broadcast else limit
            ):
                del self._pending[key_of(pending.update)]
        return [pending.update for pending in chosen]

    def __len__(self) -> int:
        return len(self._pending)
