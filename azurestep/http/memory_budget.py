"""Memory that all callers' connections of a node hold, and which of them give way.

Load pattern: 150 connections, each inside all limits of one connection: bodies whose
last byte never comes, 64 pipelined requests with heads of the smallest fields.
"""

import heapq
import math
from typing import Generic, TypeVar

import attrs

Holder = TypeVar("Holder")

CONNECTION_BYTES = 8192
"""Cost of a connection without requests."""
REQUEST_BYTES = 8192
"""Cost of a pending request without its head and body."""
FIELD_BYTES = 256
"""Cost of a header beside its characters, with the line that is passed on."""
BODY_COPIES = 2
"""Copies of a buffered body: its parts, and the message with all of them."""
MAX_BODY_BYTES = 786_432
"""Bytes of one body that are held at most; the rest is read once these have left."""
CROWDED_RATIO = 0.5
"""Part of the budget above which connections have one pending request each."""
RELIEVED_RATIO = 0.7
"""Part of the budget that is left to the connections that stay."""


def head_cost(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the memory of a head.

    Examples
    --------
    >>> head_cost([(b"Host", b"shop.example"), (b"a", b"b")])
    530
    """
    return sum(FIELD_BYTES + len(name) + len(value) for name, value in headers)


def body_cost(size_bytes: int) -> int:
    """Return the memory of a body of which this many bytes were read."""
    return BODY_COPIES * min(size_bytes, MAX_BODY_BYTES)


@attrs.define(slots=True, eq=False, repr=False)
class MemoryBudget(Generic[Holder]):
    """What each connection holds, and their sum.

    Attributes
    ----------
    limit_bytes : float
        Most that all connections may hold together.
    total_bytes : int
        What they hold.

    Examples
    --------
    >>> budget: MemoryBudget[str] = MemoryBudget(100)
    >>> for name, held in [("a", 5), ("b", 60), ("c", 40)]:
    ...     budget.update(name, held)
    >>> budget.is_exceeded, budget.choose()
    (True, ['b'])
    """

    limit_bytes: float = math.inf
    total_bytes: int = 0
    _held_bytes: dict[Holder, int] = attrs.field(factory=dict)

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Record what a connection holds now."""
        self.total_bytes += held_bytes - self._held_bytes.get(holder, 0)
        self._held_bytes[holder] = held_bytes

    def remove(self, holder: Holder) -> None:
        """Forget a connection."""
        self.total_bytes -= self._held_bytes.pop(holder, 0)

    @property
    def is_crowded(self) -> bool:
        """Whether connections should have one pending request each."""
        return self.total_bytes > CROWDED_RATIO * self.limit_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether connections have to give way."""
        return self.total_bytes > self.limit_bytes

    def choose(self) -> list[Holder]:
        """Return the connections that give way: those that hold most."""
        excess_bytes = self.total_bytes - RELIEVED_RATIO * self.limit_bytes
        if not self.is_exceeded:
            return []
        held = self._held_bytes
        heap = [
            (-held_bytes, number) for number, held_bytes in enumerate(held.values())
        ]
        heapq.heapify(heap)
        holders = list(held)
        chosen = []
        while heap and excess_bytes > 0:
            negative_bytes, number = heapq.heappop(heap)
            chosen.append(holders[number])
            excess_bytes += negative_bytes
        return chosen
