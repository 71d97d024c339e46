"""Admission control for one backend server: a request runs, waits or is refused.

The local node is the only sender to its backend server, so it counts the occupied slots
itself.
"""

import math

import attrs

from ...values import Value
from .call_slots import MIN_NEW_SHARE, CallSlots
from .former_runs import FormerRuns
from .rate_limit import RateLimiter
from .speed import WorkSpeed
from .team_shares import NO_TEAM_TAG, TeamShares

INITIAL_RUN_MS = 150.0
"""Run time assumed for a route before its first sample."""
RUN_MEAN_WEIGHT = 0.1
"""Weight of a new sample in the moving mean, of about the last twenty runs."""
MIN_RETRY_AFTER_MS = 40.0
"""Shortest time after which a refused caller is asked to retry."""
MAX_RETRY_AFTER_MS = 1000.0
"""Longest such time, since a backend server may lift its rate limit at any moment."""
Rank = tuple[bool, bool, int, float, float]
"""Sort key of a request: whether it is new work, whether it misses its objective, its
priority, the virtual start time of its team, and its objective."""


@attrs.define(slots=True, eq=False, repr=False)
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
    is_call : bool
        Whether a run at another backend server made the request and waits for it.
    team : str
        Team of the caller; empty for none.
    weight : float
        Weight of the team.
    started_ms, charged_ms : float
        When it got its slot, and the run time that its team was charged for then.
    """

    route: str
    priority: int
    arrived_ms: float
    objective_deadline_ms: float
    deadline_ms: float
    owner: object = None
    sent: bool = False
    is_call: bool = False
    team: str = ""
    weight: float = 1.0
    started_ms: float = 0.0
    charged_ms: float = 0.0


@attrs.frozen(slots=True, eq=False, repr=False)
class Refused(Value):
    """The request can't get a slot in time."""

    retry_after_ms: float


@attrs.define(slots=True, eq=False, repr=False)
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
    shares : TeamShares
        Run time that each team has used.
    speed : WorkSpeed
        How long work takes there now, relative to the mean run times.
    former_runs : FormerRuns
        Runs of the node's former process that still occupy slots.
    """

    slots: int = 1
    running: set[Ticket] = attrs.field(factory=set)
    drain_deadline_ms: float = math.inf
    limiter: RateLimiter = attrs.field(factory=RateLimiter)
    shares: TeamShares = attrs.field(factory=TeamShares)
    speed: WorkSpeed = attrs.field(factory=WorkSpeed)
    former_runs: FormerRuns = attrs.field(factory=FormerRuns)
    _waiting: list[Ticket] = attrs.field(factory=list)
    _mean_run_ms: dict[str, float] = attrs.field(factory=dict)
    _fleet_mean_run_ms: dict[str, float] = attrs.field(factory=dict)
    _call_slots: CallSlots = attrs.field(factory=CallSlots)

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait, including runs of a former process."""
        return len(self.running) + len(self._waiting) + self.former_runs.count

    @property
    def waiting(self) -> list[Ticket]:
        """Requests that wait for a slot."""
        return list(self._waiting)

    def kept_slots(self, now_ms: float) -> int:
        """Return how many slots are kept free for calls between services."""
        return self._call_slots.kept(now_ms, self.slots)

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
        A call between services may wait until it can just end before its deadline,
        since the run that made it can use the answer until then and is wasted without.

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
        running_calls = sum(1 for one in self.running if one.is_call)
        self._call_slots.record_arrival(now_ms, ticket.is_call, running_calls)
        if self._may_start_now(ticket, now_ms) and self._take_slot(ticket, now_ms):
            return True
        end_ms += self._wait_in_queue_ms(ticket, now_ms)
        latest_ms = self.run_deadline_ms(ticket)
        if not (committed or ticket.is_call):
            latest_ms = min(latest_ms, ticket.objective_deadline_ms)
        if end_ms > latest_ms:
            return Refused(self.estimate_retry_after_ms(now_ms))
        self._waiting.append(ticket)
        return False

    def estimate_end_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Return when a request would end that is admitted now."""
        end_ms = now_ms + self.expected_run_ms(ticket.route, now_ms)
        if self._may_start_now(ticket, now_ms):
            return end_ms
        return end_ms + self._wait_in_queue_ms(ticket, now_ms)

    def remove(self, ticket: Ticket, now_ms: float | None = None) -> None:
        """Remove a request that ended, whether it ran or waited.

        ``now_ms``: charges its team for the time that it held its slot, instead of the
        expected one.
        """
        if ticket in self.running:
            self.running.discard(ticket)
            if not ticket.sent:
                self.limiter.give_back()
            if ticket.team and now_ms is not None:
                excess_ms = now_ms - ticket.started_ms - ticket.charged_ms
                self.shares.correct(
                    ticket.priority, ticket.team, ticket.weight, excess_ms
                )
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def start_next(self, now_ms: float) -> Ticket | None:
        """Give a free slot to the first request in the queue and return it."""
        chosen = self._next_to_start(now_ms)
        if chosen is None or not self._take_slot(chosen, now_ms):
            return None
        self._waiting.remove(chosen)
        return chosen

    def _next_to_start(self, now_ms: float) -> Ticket | None:
        """Return the first request in the queue if there is a slot for it."""
        if not self._waiting or len(self.running) >= self._open_slots:
            return None
        in_order = self._in_order(now_ms)
        first = in_order[0]
        if first.is_call and self._call_slots.owes_new_work:
            first = next((one for one in in_order if not one.is_call), first)
            if not self._has_free_slot(first, now_ms):
                first = in_order[0]
        return first if self._has_free_slot(first, now_ms) else None

    def _may_start_now(self, ticket: Ticket, now_ms: float) -> bool:
        """Whether a new request may take a free slot ahead of those that wait.

        Calls may: new work waits beside a slot that is kept free for them.
        """
        if not self._has_free_slot(ticket, now_ms):
            return False
        return not self._waiting or (
            ticket.is_call and not any(one.is_call for one in self._waiting)
        )

    def _has_free_slot(self, ticket: Ticket, now_ms: float) -> bool:
        kept = 0 if ticket.is_call else self.kept_slots(now_ms)
        return len(self.running) < self._open_slots - kept

    @property
    def _open_slots(self) -> int:
        """Number of slots that no run of a former process occupies."""
        return self.slots - self.former_runs.occupied(self.slots)

    def _take_slot(self, ticket: Ticket, now_ms: float) -> bool:
        """Give a free slot to a request, if the rate limit allows one more."""
        if not self.limiter.try_take(now_ms):
            return False
        self.running.add(ticket)
        self._call_slots.record_start(
            now_ms - ticket.arrived_ms, self.mean_run_ms(ticket.route), ticket.is_call
        )
        if ticket.team:
            ticket.started_ms = now_ms
            ticket.charged_ms = self.mean_run_ms(ticket.route)
            self.shares.record_start(
                ticket.priority, ticket.team, ticket.weight, ticket.charged_ms
            )
        return True

    def next_start_ms(self, now_ms: float) -> float | None:
        """Return when the rate limit lets the next request start.

        None if no request waits for it; a slot that becomes free needs no timer.
        """
        if not self.limiter.active or self._next_to_start(now_ms) is None:
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
        slot_ms = now_ms + (
            self._estimate_wait_ms(0.0, self.slots, now_ms) if draining else 0.0
        )
        ahead = 0
        for ticket in self._in_order(now_ms):
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
        misses_objective = not ticket.is_call and end_ms > ticket.objective_deadline_ms
        if self.limiter.active and ahead and misses_objective:
            return False
        return end_ms <= self.run_deadline_ms(ticket)

    def run_deadline_ms(self, ticket: Ticket) -> float:
        """Return when a run must end: its deadline or that of the shutdown."""
        return min(ticket.deadline_ms, self.drain_deadline_ms)

    def can_end_in_time(self, ticket: Ticket, now_ms: float) -> bool:
        """Whether a request that starts now is likely to end before its deadline."""
        end_ms = now_ms + self.expected_run_ms(ticket.route, now_ms)
        return end_ms <= self.run_deadline_ms(ticket)

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
        ranks = self._ranks([*self._waiting, ticket], now_ms)
        rank = ranks.pop()
        ahead = [
            one
            for one, other in zip(self._waiting, ranks, strict=True)
            if other <= rank
        ]
        ahead_ms = sum(self.mean_run_ms(one.route) for one in ahead)
        limit_ms = self.limiter.wait_ms(now_ms, len(ahead))
        wait_ms = self._estimate_wait_ms(ahead_ms, max(1, self._open_slots), now_ms)
        if not ticket.is_call:
            wait_ms = self._wait_of_new_work_ms(ahead, ahead_ms, now_ms)
        return max(wait_ms, limit_ms)

    def _wait_of_new_work_ms(
        self, ahead: list[Ticket], ahead_ms: float, now_ms: float
    ) -> float:
        """Return how long new work waits on the slots that calls leave to it.

        At most until its guaranteed share of the run time reaches it.
        """
        slots = max(1, self._open_slots)
        left = self._call_slots.left(now_ms, slots)
        new_ms = sum(self.mean_run_ms(one.route) for one in ahead if not one.is_call)
        return min(
            self._estimate_wait_ms(ahead_ms, left, now_ms),
            self._estimate_wait_ms(new_ms, slots * MIN_NEW_SHARE, now_ms),
        )

    def _estimate_wait_ms(self, ahead_ms: float, slots: float, now_ms: float) -> float:
        """Return how long a request waits behind queued work of a given length.

        The length is that at normal speed.
        """
        running_ms = sum(self.mean_run_ms(other.route) for other in self.running)
        if not self.running and self.former_runs.uncertain:
            running_ms = INITIAL_RUN_MS
        mean_ms = running_ms / max(1, len(self.running))
        return (ahead_ms + mean_ms) / slots * self.speed.ratio(now_ms)

    def _in_order(self, now_ms: float) -> list[Ticket]:
        """Return the waiting requests in the order in which they get slots."""
        ranks = self._ranks(self._waiting, now_ms)
        order = sorted(range(len(ranks)), key=ranks.__getitem__)
        return [self._waiting[index] for index in order]

    def _ranks(self, tickets: list[Ticket], now_ms: float) -> list[Rank]:
        """Return the sort keys of requests.

        Calls between services go before new work, as the runs that made them hold
        slots meanwhile. Of new work, requests that can meet their objective go first,
        then the more urgent priority, then the team that is furthest behind its share,
        then the earlier objective.
        """
        ranks = [self._rank(ticket, now_ms) for ticket in tickets]
        if not any(ticket.team for ticket in tickets):
            return ranks
        order = sorted(range(len(ranks)), key=ranks.__getitem__)
        in_order = (tickets[index] for index in order)
        tags = self.shares.tags(
            (one.priority, one.team, one.weight, self.mean_run_ms(one.route))
            for one in in_order
        )
        for index, tag in zip(order, tags, strict=True):
            is_new, misses_objective, priority, _, objective_ms = ranks[index]
            ranks[index] = (is_new, misses_objective, priority, tag, objective_ms)
        return ranks

    def _rank(self, ticket: Ticket, now_ms: float) -> Rank:
        """Return the sort key of a request without its team."""
        end_ms = now_ms + self.expected_run_ms(ticket.route, now_ms)
        misses_objective = not ticket.is_call and end_ms > ticket.objective_deadline_ms
        return (
            not ticket.is_call,
            misses_objective,
            ticket.priority,
            NO_TEAM_TAG,
            ticket.objective_deadline_ms,
        )
