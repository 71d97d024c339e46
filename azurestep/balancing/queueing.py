"""Bounded queues of requests, one per priority class."""

import heapq
import itertools
from collections import deque
from enum import StrEnum

import attrs

from ..config.model import ClassShares, Priority
from .messages import Ticket, TicketState

STANDING_AFTER_MS = 100.0
STANDING_WAIT_RATIO = 0.2
RATE_WINDOW_MS = 1000.0


class Discipline(StrEnum):
    """Queue discipline for a queue that is non-empty for ``STANDING_AFTER_MS``.

    ``FIFO``: no change. ``ADAPTIVE_LIFO``: the newest request is served first.
    ``CONTROLLED_DELAY``: the maximum wait is ``STANDING_WAIT_RATIO`` of the timeout.
    """

    FIFO = "fifo"
    ADAPTIVE_LIFO = "adaptive_lifo"
    CONTROLLED_DELAY = "controlled_delay"


@attrs.define
class ClassQueue:
    """Queued requests of one priority class.

    Attributes
    ----------
    priority : Priority
        The class.
    discipline : Discipline
        Order of the queue.
    tickets : collections.deque of Ticket
        Tickets in order of arrival; removed ones stay until they are first or last.
    length : int
        Number of tickets that still wait.
    in_flight : int
        Requests of the class at backend servers.
    standing_since_ms : float
        Time since which the queue has been non-empty, apart from times when drops
        emptied it.
    rate_window_start_ms, grant_count : float
        Window of the grant rate; ``pop`` halves it when it exceeds
        ``RATE_WINDOW_MS``.
    emptied_by_drops : bool
        Whether drops, and not grants, last emptied the queue.
    """

    priority: Priority
    discipline: Discipline
    tickets: deque[Ticket] = attrs.field(factory=deque)
    length: int = 0
    in_flight: int = 0
    standing_since_ms: float = 0.0
    rate_window_start_ms: float = 0.0
    grant_count: float = 0.0
    emptied_by_drops: bool = False

    def push(self, ticket: Ticket, now_ms: float) -> None:
        """Add a request."""
        if self.length == 0:
            self.tickets.clear()
            self._start_period(now_ms)
        self.tickets.append(ticket)
        self.length += 1

    def _start_period(self, now_ms: float) -> None:
        if self.emptied_by_drops:
            return
        self.standing_since_ms = now_ms
        self.rate_window_start_ms = now_ms
        self.grant_count = 0.0

    def is_standing(self, now_ms: float) -> bool:
        """Return whether the queue has been non-empty for ``STANDING_AFTER_MS``."""
        has_backlog = self.length > 0 or self.emptied_by_drops
        return has_backlog and now_ms - self.standing_since_ms >= STANDING_AFTER_MS

    def _newest_first(self, now_ms: float) -> bool:
        return self.discipline is Discipline.ADAPTIVE_LIFO and self.is_standing(now_ms)

    def max_wait_ms(self, timeout_ms: float, now_ms: float) -> float:
        """Return the maximum wait of a new request."""
        controlled = self.discipline is Discipline.CONTROLLED_DELAY
        if controlled and self.is_standing(now_ms):
            return STANDING_WAIT_RATIO * timeout_ms
        return timeout_ms

    def expected_wait_ms(self, mean_interval_ms: float, now_ms: float) -> float:
        """Return the expected wait of a new request.

        Parameters
        ----------
        mean_interval_ms : float
            Initial estimate of the time between two grants.
        now_ms : float
            Current time.
        """
        if self.length == 0 or self._newest_first(now_ms):
            return 0.0
        age_ms = now_ms - self.rate_window_start_ms
        return self.length * (age_ms + mean_interval_ms) / (self.grant_count + 1.0)

    def peek(self, now_ms: float) -> Ticket | None:
        """Return the next request to serve without removing it, or None."""
        newest_first = self._newest_first(now_ms)
        while self.tickets:
            ticket = self.tickets[-1 if newest_first else 0]
            if ticket.state is TicketState.QUEUED:
                return ticket
            self._remove_end(newest_first)
        return None

    def pop(self, now_ms: float) -> None:
        """Remove the request that ``peek`` returned and count it as granted."""
        self._remove_end(self._newest_first(now_ms))
        self.length -= 1
        self.emptied_by_drops = False
        self.grant_count += 1.0
        if now_ms - self.rate_window_start_ms > RATE_WINDOW_MS:
            self.rate_window_start_ms = (self.rate_window_start_ms + now_ms) / 2
            self.grant_count /= 2

    def _remove_end(self, newest: bool) -> None:
        if newest:
            self.tickets.pop()
        else:
            self.tickets.popleft()

    def remove(self, ticket: Ticket, dropped: bool) -> None:
        """Remove a request that was dropped or cancelled."""
        ticket.state = TicketState.DONE
        self.length -= 1
        self.emptied_by_drops = dropped or self.emptied_by_drops


class ClassQueues:
    """Queues of all classes of one service.

    Payment and interactive requests are served before bulk ones; of these two
    classes, the one with the lower ratio of requests in flight to share goes first.
    """

    def __init__(self, discipline: Discipline) -> None:
        self._queues = {p: ClassQueue(p, discipline) for p in Priority}
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()

    def queue(self, priority: Priority) -> ClassQueue:
        """Return the queue of a class."""
        return self._queues[priority]

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(queue.length for queue in self._queues.values())

    def push(self, ticket: Ticket, now_ms: float, expiry_ms: float) -> None:
        """Queue a request until ``expiry_ms`` at most."""
        self._queues[ticket.request.priority].push(ticket, now_ms)
        heapq.heappush(self._expiries, (expiry_ms, next(self._sequence), ticket))

    def next_expiry_ms(self) -> float | None:
        """Return when the next queued request expires, or None."""
        expiries = self._expiries
        while expiries and expiries[0][2].state is not TicketState.QUEUED:
            heapq.heappop(expiries)
        return expiries[0][0] if expiries else None

    def expired(self, now_ms: float) -> list[Ticket]:
        """Remove and return the expired requests."""
        tickets = []
        while (expiry_ms := self.next_expiry_ms()) is not None and expiry_ms <= now_ms:
            ticket = heapq.heappop(self._expiries)[2]
            self._queues[ticket.request.priority].remove(ticket, dropped=True)
            tickets.append(ticket)
        return tickets

    def in_serving_order(self, shares: ClassShares) -> list[ClassQueue]:
        """Return the non-empty queues, the next one to serve first."""
        queues = [queue for queue in self._queues.values() if queue.length]
        queues.sort(key=lambda queue: _rank(queue, shares))
        return queues


def _rank(queue: ClassQueue, shares: ClassShares) -> tuple[bool, float]:
    share = share_of(shares, queue.priority)
    load = queue.in_flight / share if share > 0 else float("inf")
    return queue.priority is Priority.BULK, load


def share_of(shares: ClassShares, priority: Priority) -> float:
    """Return the share of a class."""
    if priority is Priority.INTERACTIVE:
        return shares.interactive
    if priority is Priority.PAYMENT:
        return shares.payment
    return shares.bulk
