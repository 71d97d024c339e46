"""Seeds: addresses to contact until their nodes are known as members."""

import random
from collections import deque

from ..settings import Address
from .comparison import sync_request
from .outputs import Output, Send
from .roster import Roster

SEED_INTERVAL_MS = 1000
MAX_DEAD_SEEDS = 16
SEEDS_PER_ROUND = 3


class Seeds:
    """Seeds and addresses of dead members, which may be alive behind a partition.

    Parameters
    ----------
    roster : Roster
        Known members.
    seeds : list of Address
        Control addresses to contact first.
    source : random.Random
        Source of jitter.
    """

    def __init__(
        self, roster: Roster, seeds: list[Address], source: random.Random
    ) -> None:
        self._roster = roster
        self._random = source
        self._seeds = [seed for seed in seeds if seed != roster.own.address]
        self._dead: deque[Address] = deque(maxlen=MAX_DEAD_SEEDS)
        self._remote: set[Address] = set()
        self._next_seed_ms = 0.0

    def mark_remote(self, address: Address) -> None:
        """Record that a seed is remote; it is contacted only while isolated."""
        if address in self._seeds:
            self._remote.add(address)

    def tick(self, now_ms: float) -> list[Output]:
        """Contact some seeds that are not members, more often while isolated."""
        if now_ms < self._next_seed_ms:
            return []
        self._next_seed_ms = now_ms + SEED_INTERVAL_MS * self._random.uniform(1, 2)
        known = {member.address for member in self._roster.members()}
        seeds = [*self._seeds, *self._dead]
        is_isolated = len(self._roster.order) <= 1 or self._lacks_remote_bridges()
        if not is_isolated:
            known |= self._remote
        unknown = [seed for seed in seeds if seed not in known]
        if not unknown or (not is_isolated and self._random.random() > 0.1):
            return []
        count = min(SEEDS_PER_ROUND, len(unknown)) if is_isolated else 1
        chosen = self._random.sample(unknown, count)
        return [Send(to, sync_request(self._roster.table)) for to in chosen]

    def _lacks_remote_bridges(self) -> bool:
        """Whether this node is a bridge that knows no remote bridge."""
        return self._roster.is_bridge() and not self._roster.remote_reports()

    def add_dead(self, address: Address) -> None:
        """Add the address of a dead member, which may be alive behind a partition."""
        if address in self._seeds:
            return
        self._dead.append(address)

    def add(self, seeds: list[Address]) -> None:
        """Add control addresses to contact, for example from join records."""
        for seed in seeds:
            if seed != self._roster.own.address and seed not in self._seeds:
                self._seeds.append(seed)
