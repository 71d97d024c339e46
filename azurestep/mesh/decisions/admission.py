"""Admission control for one backend server: a request runs, waits or is refused.

The local node is the only sender to its backend server, so it counts the occupied slots
itself.
"""

import math

import attrs

INITIAL_RUN_MS = 150.0
"""Run time assumed for a route before its first sample."""
RUN_MEAN_WEIGHT = 0.1
"""Weight of a new sample in the moving mean."""
MIN_RETRY_AFTER_MS = 40.0
"""Shortest time after which a refused caller is asked to retry."""


@attrs.define(slots=True, eq=False)
class Ticket:
    """A request that waits for a slot or holds one.

    Attributes
    ----------
    objective_deadline_ms : float
        When the answer begins to lose value.
    deadline_ms : float
        When the caller gives up.
    owner : object
        Data of the code that submits the request; not used here.
    """

    route: str
    priority: int
    arrived_ms: float
    objective_deadline_ms: float
    deadline_ms: float
    owner: object = None


@attrs.frozen(slots=True)
class Refused:
    """The request can't get a slot in time."""

    retry_after_ms: float


@attrs.define(slots=True)
class Admission:
    """Slots and queue of one backend server.

    Attributes
    ----------
    slots : int
        Requests that the backend server runs concurrently.
    running : set of Ticket
        Requests that hold a slot.
    drain_deadline_ms : float
        When all runs must have ended; infinite unless the node is shutting down.
    """

    slots: int = 1
    running: set[Ticket] = attrs.field(factory=set)
    drain_deadline_ms: float = math.inf
    _waiting: list[Ticket] = attrs.field(factory=list)
    _mean_run_ms: dict[str, float] = attrs.field(factory=dict)
    _fleet_mean_run_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait."""
        return len(self.running) + len(self._waiting)

    @property
    def waiting(self) -> list[Ticket]:
        """Requests that wait for a slot."""
        return list(self._waiting)

    def mean_run_ms(self, route: str) -> float:
        """Return the mean run time of a route's requests.

        Without local samples this is the mean over all backend servers, or a default.
        """
        known = self._mean_run_ms.get(route)
        return (
            self._fleet_mean_run_ms.get(route, INITIAL_RUN_MS)
            if known is None
            else known
        )

    def set_fleet_mean(self, route: str, mean_run_ms: float) -> None:
        """Set a route's mean run time over all backend servers."""
        self._fleet_mean_run_ms[route] = mean_run_ms

    def record_run(self, route: str, run_ms: float) -> None:
        """Add the run time of one request to its route's mean."""
        known = self._mean_run_ms.get(route)
        if known is None:
            self._mean_run_ms[route] = run_ms
        else:
            self._mean_run_ms[route] = known + RUN_MEAN_WEIGHT * (run_ms - known)

    def clear_run_times(self) -> None:
        """Clear the run times, which belong to an earlier incarnation."""
        self._mean_run_ms.clear()

    def admit(self, ticket: Ticket, now_ms: float) -> bool | Refused:
        """Decide whether a new request runs, waits or is refused.

        A request that can't meet its objective runs if a slot is free and is refused
        otherwise: in the queue it would mostly be refused shortly before its deadline.

        Returns
        -------
        bool or Refused
            True if it runs now, False if it waits, or the refusal.
        """
        end_ms = now_ms + self.mean_run_ms(ticket.route)
        if end_ms > self.drain_deadline_ms:
            return Refused(self.estimate_retry_after_ms())
        if len(self.running) < self.slots and not self._waiting:
            self.running.add(ticket)
            return True
        end_ms += self._wait_in_queue_ms(ticket, now_ms)
        if end_ms > min(self.run_deadline_ms(ticket), ticket.objective_deadline_ms):
            return Refused(self.estimate_retry_after_ms())
        self._waiting.append(ticket)
        return False

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that ended, whether it ran or waited."""
        self.running.discard(ticket)
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def start_next(self, now_ms: float) -> Ticket | None:
        """Give a free slot to the first request in the queue and return it."""
        if not self._waiting or len(self.running) >= self.slots:
            return None
        chosen = min(self._waiting, key=lambda item: self._rank(item, now_ms))
        self._waiting.remove(chosen)
        self.running.add(chosen)
        return chosen

    def find_expiring(self, now_ms: float) -> list[Ticket]:
        """Return the waiting requests that can't end in time.

        During a shutdown the work ahead of a request counts too, so that another node
        can serve it at once. The work of requests in the result doesn't count.
        """
        if self.drain_deadline_ms == math.inf:
            return [
                one for one in self._waiting if not self.can_end_in_time(one, now_ms)
            ]
        expiring: list[Ticket] = []
        start_ms = now_ms + self._estimate_wait_ms(0.0)
        for ticket in sorted(self._waiting, key=lambda one: self._rank(one, now_ms)):
            if self.can_end_in_time(ticket, start_ms):
                start_ms += self.mean_run_ms(ticket.route) / self.slots
            else:
                expiring.append(ticket)
        return expiring

    def run_deadline_ms(self, ticket: Ticket) -> float:
        """Return when a run must end: its deadline or that of the shutdown."""
        return min(ticket.deadline_ms, self.drain_deadline_ms)

    def can_end_in_time(self, ticket: Ticket, now_ms: float) -> bool:
        """Whether a request that starts now is likely to end before its deadline."""
        return now_ms + self.mean_run_ms(ticket.route) <= self.run_deadline_ms(ticket)

    def estimate_retry_after_ms(self) -> float:
        """Return the time after which a slot is likely to be free."""
        work_ms = sum(self.mean_run_ms(ticket.route) for ticket in self._waiting)
        return MIN_RETRY_AFTER_MS + work_ms / self.slots

    def _wait_in_queue_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Return how long a new request would wait."""
        rank = self._rank(ticket, now_ms)
        ahead = (one for one in self._waiting if self._rank(one, now_ms) <= rank)
        return self._estimate_wait_ms(sum(self.mean_run_ms(one.route) for one in ahead))

    def _estimate_wait_ms(self, ahead_ms: float) -> float:
        """Return how long a request waits behind queued work of a given length."""
        running_ms = sum(self.mean_run_ms(other.route) for other in self.running)
        return (ahead_ms + running_ms / max(1, len(self.running))) / self.slots

    def _rank(self, ticket: Ticket, now_ms: float) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request.

        Requests that can meet their objective go first, then the more urgent priority,
        then the earlier objective. Calls between services have the shortest objectives
        and so go first within a priority; refusing one wastes the calling run.
        """
        misses_objective = (
            now_ms + self.mean_run_ms(ticket.route) > ticket.objective_deadline_ms
        )
        return misses_objective, ticket.priority, ticket.objective_deadline_ms
