"""Admission control for one backend server: a request runs, waits or is refused.

The local node is the only sender to its backend server, so it counts the occupied slots
itself.
"""

import math

import attrs

from .former_runs import FormerRuns
from .rate_limit import RateLimiter
from .speed import WorkSpeed

INITIAL_RUN_MS = 150.0
"""Run time assumed for a route before its first sample."""
RUN_MEAN_WEIGHT = 0.1
"""Weight of a new sample in the moving mean, of about the last twenty runs."""
MIN_RETRY_AFTER_MS = 40.0
"""Shortest time after which a refused caller is asked to retry."""
MAX_RETRY_AFTER_MS = 1000.0
"""Longest such time, since a backend server may lift its rate limit at any moment."""


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
        Data attached by the code that submits the request; not used here.
    sent : bool
        Whether the request was sent to the backend server.
    """

    route: str
    priority: int
    arrived_ms: float
    objective_deadline_ms: float
    deadline_ms: float
    owner: object = None
    sent: bool = False


@attrs.frozen(slots=True)
class Refused:
    """The request can't get a slot in time."""

    retry_after_ms: float


@attrs.define(slots=True)
class Admission:
    """Slots, rate limit and queue of one backend server.

    Attributes
    ----------
    slots : int
        Requests that the backend server runs concurrently.
    running : set of Ticket
        Requests that hold a slot.
    drain_deadline_ms : float
        When all runs must have ended; infinite unless the node is shutting down.
    limiter : RateLimiter
        Rate limit that the backend server named, if any.
    speed : WorkSpeed
        How long work takes there now, relative to the mean run times.
    former_runs : FormerRuns
        Runs of the node's former process that still occupy slots.
    """

    slots: int = 1
    running: set[Ticket] = attrs.field(factory=set)
    drain_deadline_ms: float = math.inf
    limiter: RateLimiter = attrs.field(factory=RateLimiter)
    speed: WorkSpeed = attrs.field(factory=WorkSpeed)
    former_runs: FormerRuns = attrs.field(factory=FormerRuns)
    _waiting: list[Ticket] = attrs.field(factory=list)
    _mean_run_ms: dict[str, float] = attrs.field(factory=dict)
    _fleet_mean_run_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait, including runs of a former process."""
        return len(self.running) + len(self._waiting) + self.former_runs.count

    @property
    def waiting(self) -> list[Ticket]:
        """Requests that wait for a slot."""
        return list(self._waiting)

    def mean_run_ms(self, route: str) -> float:
        """Return the mean run time of a route's requests at normal speed.

        Without local samples this is the mean over all backend servers, or a default.
        """
        known = self._mean_run_ms.get(route)
        return (
            self._fleet_mean_run_ms.get(route, INITIAL_RUN_MS)
            if known is None
            else known
        )

    def expected_run_ms(self, route: str, now_ms: float) -> float:
        """Return how long a request of a route takes at the current speed."""
        return self.mean_run_ms(route) * self.speed.ratio(now_ms)

    def fleet_mean_run_ms(self, route: str) -> float:
        """Return the mean run time over all backend servers; 0 if unknown."""
        return self._fleet_mean_run_ms.get(route, 0.0)

    def set_fleet_mean(self, route: str, mean_run_ms: float) -> None:
        """Set a route's mean run time over all backend servers."""
        self._fleet_mean_run_ms[route] = mean_run_ms

    def record_run(self, route: str, run_ms: float) -> None:
        """Add the run time of one request at normal speed to its route's mean."""
        known = self._mean_run_ms.get(route)
        if known is None:
            self._mean_run_ms[route] = run_ms
        else:
            self._mean_run_ms[route] = known + RUN_MEAN_WEIGHT * (run_ms - known)

    def clear_run_times(self) -> None:
        """Clear the run times and speed, which belong to an earlier incarnation."""
        self._mean_run_ms.clear()
        self.speed.clear()

    def admit(
        self, ticket: Ticket, now_ms: float, committed: bool = False
    ) -> bool | Refused:
        """Decide whether a new request runs, waits or is refused.

        A request that can't meet its objective runs if a slot is free and is refused
        otherwise: in the queue it would mostly be refused shortly before its deadline.

        Parameters
        ----------
        committed : bool
            Whether work was spent on the request already, such as the transfer of its
            body; then it may miss its objective.

        Returns
        -------
        bool or Refused
            True if it runs now, False if it waits, or the refusal.
        """
        end_ms = now_ms + self.expected_run_ms(ticket.route, now_ms)
        if end_ms > self.drain_deadline_ms:
            return Refused(self.estimate_retry_after_ms(now_ms))
        if (
            self._has_free_slot()
            and not self._waiting
            and self._take_slot(ticket, now_ms)
        ):
            return True
        end_ms += self._wait_in_queue_ms(ticket, now_ms)
        latest_ms = self.run_deadline_ms(ticket)
        if not committed:
            latest_ms = min(latest_ms, ticket.objective_deadline_ms)
        if end_ms > latest_ms:
            return Refused(self.estimate_retry_after_ms(now_ms))
        self._waiting.append(ticket)
        return False

    def estimate_end_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Return when a request would end that is admitted now."""
        end_ms = now_ms + self.expected_run_ms(ticket.route, now_ms)
        if self._has_free_slot() and not self._waiting:
            return end_ms
        return end_ms + self._wait_in_queue_ms(ticket, now_ms)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that ended, whether it ran or waited."""
        if ticket in self.running:
            self.running.discard(ticket)
            if not ticket.sent:
                self.limiter.give_back()
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def start_next(self, now_ms: float) -> Ticket | None:
        """Give a free slot to the first request in the queue and return it."""
        if not self._waiting or not self._has_free_slot():
            return None
        chosen = min(self._waiting, key=lambda item: self._rank(item, now_ms))
        if not self._take_slot(chosen, now_ms):
            return None
        self._waiting.remove(chosen)
        return chosen

    def _has_free_slot(self) -> bool:
        occupied = self.former_runs.occupied(self.slots)
        return len(self.running) + occupied < self.slots

    def _take_slot(self, ticket: Ticket, now_ms: float) -> bool:
        """Give a free slot to a request, if the rate limit allows one more."""
        if not self.limiter.try_take(now_ms):
            return False
        self.running.add(ticket)
        return True

    def next_start_ms(self, now_ms: float) -> float | None:
        """Return when the rate limit lets the next request start.

        None if no request waits for it; a slot that becomes free needs no timer.
        """
        if not self.limiter.active or not self._waiting or not self._has_free_slot():
            return None
        wait_ms = self.limiter.wait_ms(now_ms)
        return None if wait_ms == math.inf else now_ms + wait_ms

    def find_expiring(self, now_ms: float) -> list[Ticket]:
        """Return the waiting requests that can't end in time.

        During a shutdown, the time to run the requests ahead counts too, and under a
        rate limit the wait for it, so that a request that would wait too long is
        refused early and another node can serve it. Requests already in the result
        don't count as ahead.
        """
        draining = self.drain_deadline_ms != math.inf
        if not draining and not self.limiter.active:
            return [
                one for one in self._waiting if not self.can_end_in_time(one, now_ms)
            ]
        expiring: list[Ticket] = []
        slot_ms = now_ms + (self._estimate_wait_ms(0.0, now_ms) if draining else 0.0)
        ahead = 0
        for ticket in sorted(self._waiting, key=lambda one: self._rank(one, now_ms)):
            start_ms = max(slot_ms, now_ms + self.limiter.wait_ms(now_ms, ahead))
            if self._is_worth_waiting(ticket, start_ms, ahead):
                ahead += 1
                if draining:
                    slot_ms += self.expected_run_ms(ticket.route, now_ms) / self.slots
            else:
                expiring.append(ticket)
        return expiring

    def _is_worth_waiting(self, ticket: Ticket, start_ms: float, ahead: int) -> bool:
        """Whether a waiting request that starts then should keep its place.

        Under a rate limit, one that will miss its objective would be overtaken by later
        requests for as long as these come faster than the limit. The first in line
        gets the next token, even if it comes a little late.
        """
        end_ms = start_ms + self.expected_run_ms(ticket.route, start_ms)
        misses_objective = end_ms > ticket.objective_deadline_ms
        if self.limiter.active and ahead and misses_objective:
            return False
        return end_ms <= self.run_deadline_ms(ticket)

    def run_deadline_ms(self, ticket: Ticket) -> float:
        """Return when a run must end: its deadline or that of the shutdown."""
        return min(ticket.deadline_ms, self.drain_deadline_ms)

    def can_end_in_time(self, ticket: Ticket, now_ms: float) -> bool:
        """Whether a request that starts now is likely to end before its deadline."""
        return now_ms + self.expected_run_ms(
            ticket.route, now_ms
        ) <= self.run_deadline_ms(ticket)

    def estimate_retry_after_ms(self, now_ms: float) -> float:
        """Return the time after which a slot is likely to be free.

        Under a rate limit, the time until the requests that wait have used it up too.
        """
        work_ms = sum(
            self.expected_run_ms(ticket.route, now_ms) for ticket in self._waiting
        )
        limit_ms = self.limiter.wait_ms(now_ms, len(self._waiting))
        after_ms = MIN_RETRY_AFTER_MS + max(work_ms / self.slots, limit_ms)
        return after_ms if limit_ms == 0 else min(after_ms, MAX_RETRY_AFTER_MS)

    def _wait_in_queue_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Return how long a new request would wait."""
        rank = self._rank(ticket, now_ms)
        ahead = [one for one in self._waiting if self._rank(one, now_ms) <= rank]
        ahead_ms = sum(self.mean_run_ms(one.route) for one in ahead)
        limit_ms = self.limiter.wait_ms(now_ms, len(ahead))
        return max(self._estimate_wait_ms(ahead_ms, now_ms), limit_ms)

    def _estimate_wait_ms(self, ahead_ms: float, now_ms: float) -> float:
        """Return how long a request waits behind queued work of a given length.

        The length is that at normal speed.
        """
        running_ms = sum(self.mean_run_ms(other.route) for other in self.running)
        if not self.running and self.former_runs.uncertain:
            running_ms = INITIAL_RUN_MS
        work_ms = ahead_ms + running_ms / max(1, len(self.running))
        slots = max(1, self.slots - self.former_runs.occupied(self.slots))
        return work_ms / slots * self.speed.ratio(now_ms)

    def _rank(self, ticket: Ticket, now_ms: float) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request.

        Requests that can meet their objective go first, then the more urgent priority,
        then the earlier objective. Calls between services have the shortest objectives
        and so go first within a priority; refusing one wastes the calling run.
        """
        misses_objective = (
            now_ms + self.expected_run_ms(ticket.route, now_ms)
            > ticket.objective_deadline_ms
        )
        return misses_objective, ticket.priority, ticket.objective_deadline_ms
