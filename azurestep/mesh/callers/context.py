"""State that all calls of a node share, and the target of one call."""

import math
from typing import Protocol

import attrs

from ...http.exchange import Exchange
from ...platform.headers import CallerFields
from ...routing.model import Route
from ...routing.teams import Team
from ...values import Value
from ..backend.crashes import CrashTracker
from ..decisions.choice import MeanRunTimes
from ..decisions.pressure import RefusalMeter
from ..decisions.retry_budget import RetryBudget
from ..decisions.returning import Attempt, ReturningCallers
from ..decisions.rollout_table import RolloutTable
from ..decisions.sizes import AnswerSizes
from ..links.members import Members
from ..runtime import Runtime


class ActiveCall(Protocol):
    """A call that is not answered yet."""

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Shorten the deadline, since the node is shutting down."""

    def log_aborted(self) -> None:
        """Log that the node exits before the request is answered."""


class TeamQuotas(Protocol):
    """Quotas of teams over all nodes."""

    def admit(self, team: Team, late: bool = False) -> float:
        """Admit a request and return 0, or return when to retry in ms.

        ``late``: it can't meet its objective any more.
        """

    def admit_again(self, name: str) -> bool:
        """Admit a second run of a team's request, if its quota has a token."""

    def give_back(self, name: str) -> None:
        """Return the token of a request that was admitted and has not run."""

    def describe(self, name: str) -> dict[str, float]:
        """Return limit and grant of a team, for log lines."""


class NoQuotas:
    """Admits all requests."""

    def admit(self, team: Team, late: bool = False) -> float:
        """Admit a request."""
        return 0.0

    def admit_again(self, name: str) -> bool:
        """Admit a second run."""
        return True

    def give_back(self, name: str) -> None:
        """Do nothing."""

    def describe(self, name: str) -> dict[str, float]:
        """Return nothing."""
        return {}


@attrs.frozen(slots=True, eq=False, repr=False)
class Target(Value):
    """What a request asks for, by the configuration of the given version.

    Attributes
    ----------
    priority : int
        Priority of the request under overload; 0 is the highest.
    team : str
        Team of the caller; empty for none.
    has_teams : bool
        Whether the configuration has teams.
    """

    route: Route
    service: str
    version: int
    priority: int
    team: str = ""
    has_teams: bool = False


@attrs.define(eq=False, repr=False)
class CallContext:
    """State that all calls of a node share.

    Attributes
    ----------
    calling_service : str
        Service of this instance, sent to backend servers in a header.
    calls_in_flight : set of ActiveCall
        Calls that are not answered yet.
    drain_deadline_ms : float
        When the last call must be answered; infinite until the node shuts down.
    called_services : dict
        Services that the runs of each service call.
    quotas : TeamQuotas
        Quotas of the callers' teams.
    """

    runtime: Runtime
    members: Members
    retry_budget: RetryBudget
    calling_service: str
    crashes: CrashTracker
    rollouts: RolloutTable
    mean_run_times: MeanRunTimes = attrs.field(factory=MeanRunTimes)
    returning_callers: ReturningCallers = attrs.field(factory=ReturningCallers)
    answer_sizes: AnswerSizes = attrs.field(factory=AnswerSizes)
    refusals: RefusalMeter = attrs.field(factory=RefusalMeter)
    calls_in_flight: set[ActiveCall] = attrs.field(factory=set)
    drain_deadline_ms: float = math.inf
    called_services: dict[str, set[str]] = attrs.field(factory=dict)
    quotas: TeamQuotas = attrs.field(factory=NoQuotas)

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Shorten the deadlines of all calls, present and future."""
        self.drain_deadline_ms = drain_deadline_ms
        for call in list(self.calls_in_flight):
            call.limit_deadline(drain_deadline_ms)

    def identify_attempt(self, exchange: Exchange, caller: CallerFields) -> Attempt:
        """Identify a new request as a first attempt or as a retry of an earlier one."""
        now_ms = self.runtime.now_ms()
        request_key = (exchange.method, caller.host, exchange.target)
        if caller.remaining_ms is None:
            return Attempt(request_key, now_ms, now_ms)
        deadline_ms = now_ms + caller.remaining_ms
        first_attempt_ms = self.returning_callers.pop_first_attempt_ms(
            request_key, now_ms, deadline_ms
        )
        return Attempt(
            request_key, first_attempt_ms, deadline_ms, first_attempt_ms < now_ms
        )

    def record_offered(self, target: Target) -> None:
        """Count a request for a service, for load reports and the retry budget."""
        route, service = target.route, target.service
        self.refusals.record_offered(route.name, service, target.priority)
        if route.name not in self.members.called_routes:
            self.retry_budget.earn(service)
