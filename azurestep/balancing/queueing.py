"""Small queues of requests, one per class, with immediate drops."""

import heapq
import itertools
from collections import deque
from enum import StrEnum

import attrs

from ..config.model import ClassShares, Priority
from .messages import Ticket, TicketState

STANDING_MS = 100.0


class Discipline(StrEnum):
    """Order in which waiting requests of a class are served.

    ``ADAPTIVE_LIFO`` serves the newest first once the queue has not been empty
    for ``STANDING_MS``.
    """

    FIFO = "fifo"
    ADAPTIVE_LIFO = "adaptive_lifo"


@attrs.define
class ClassQueue:
    """Waiting requests of one class.

    Attributes
    ----------
    tickets : collections.deque of Ticket
        Waiting ones in order of arrival; dropped ones stay until they reach
        an end.
    length : int
        Number that really wait.
    standing_since_ms : float
        When the queue last became non-empty.
    in_flight : int
        Requests of the class that run now.
    """

    priority: Priority
    discipline: Discipline
    tickets: deque[Ticket] = attrs.field(factory=deque)
    length: int = 0
    standing_since_ms: float = 0.0
    in_flight: int = 0

    def push(self, ticket: Ticket, now_ms: float) -> None:
        """Add a request."""
        if self.length == 0:
            self.tickets.clear()
            self.standing_since_ms = now_ms
        self.tickets.append(ticket)
        self.length += 1

    def put_back(self, ticket: Ticket) -> None:
        """Return a request that was popped but couldn't be placed."""
        self.tickets.appendleft(ticket)
        self.length += 1

    def pop(self, now_ms: float) -> Ticket | None:
        """Return the next request to serve, or None."""
        newest_first = (
            self.discipline is Discipline.ADAPTIVE_LIFO
            and now_ms - self.standing_since_ms >= STANDING_MS
        )
        while self.tickets:
            ticket = self.tickets.pop() if newest_first else self.tickets.popleft()
            if ticket.state is TicketState.QUEUED:
                self.length -= 1
                return ticket
        return None

    def forget(self, ticket: Ticket) -> None:
        """Take a request out that no longer waits."""
        ticket.state = TicketState.DONE
        self.length -= 1


class WaitingRoom:
    """Queues of all classes of one service.

    Payment and interactive requests are served before bulk ones; of these two
    the one that holds less of its share goes first.
    """

    def __init__(self, discipline: Discipline) -> None:
        self._queues = {p: ClassQueue(p, discipline) for p in Priority}
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._numbers = itertools.count()

    def queue(self, priority: Priority) -> ClassQueue:
        """Return the queue of a class."""
        return self._queues[priority]

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.length for queue in self._queues.values())

    def waiting_before(self, priority: Priority) -> int:
        """Return how many are served before a newcomer of the class, at most."""
        bulk = self._queues[Priority.BULK].length
        if priority is Priority.BULK:
            return self.waiting()
        return self.waiting() - bulk

    def push(self, ticket: Ticket, now_ms: float, expiry_ms: float) -> None:
        """Let a request wait until ``expiry_ms`` at most."""
        self._queues[ticket.request.priority].push(ticket, now_ms)
        heapq.heappush(self._expiries, (expiry_ms, next(self._numbers), ticket))

    def next_expiry_ms(self) -> float | None:
        """Return when the next waiting request is to be dropped."""
        expiries = self._expiries
        while expiries and expiries[0][2].state is not TicketState.QUEUED:
            heapq.heappop(expiries)
        return expiries[0][0] if expiries else None

    def expired(self, now_ms: float) -> list[Ticket]:
        """Take out and return the requests that have waited too long."""
        tickets = []
        while (expiry_ms := self.next_expiry_ms()) is not None and expiry_ms <= now_ms:
            ticket = heapq.heappop(self._expiries)[2]
            self._queues[ticket.request.priority].forget(ticket)
            tickets.append(ticket)
        return tickets

    def order(self, shares: ClassShares) -> list[ClassQueue]:
        """Return the non-empty queues, the next one to serve first."""
        queues = [queue for queue in self._queues.values() if queue.length]
        queues.sort(key=lambda queue: _rank(queue, shares))
        return queues


def _rank(queue: ClassQueue, shares: ClassShares) -> tuple[bool, float]:
    share = share_of(shares, queue.priority)
    holding = queue.in_flight / share if share > 0 else float("inf")
    return queue.priority is Priority.BULK, holding


def share_of(shares: ClassShares, priority: Priority) -> float:
    """Return the share of a class."""
    if priority is Priority.INTERACTIVE:
        return shares.interactive
    if priority is Priority.PAYMENT:
        return shares.payment
    return shares.bulk
