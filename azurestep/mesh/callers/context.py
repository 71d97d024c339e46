"""What the attempts of all callers of a node share, and where one of them goes."""

import math
from typing import Protocol

import attrs

from ...http.server import Exchange
from ...platform.headers import CallerFields
from ...routing.model import Route
from ..backend.crashes import CrashTracker
from ..decisions.choice import MeanRunTimes
from ..decisions.pressure import RefusalMeter
from ..decisions.retry_budget import RetryBudget
from ..decisions.returning import Attempt, ReturningCallers
from ..decisions.sizes import AnswerSizes
from ..links.members import Members
from ..runtime import Runtime


class OpenCall(Protocol):
    """An attempt that is not answered yet."""

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Answer by then: the node is stopping."""

    def log_aborted(self) -> None:
        """Log that the node ends before the answer."""


@attrs.define(eq=False)
class CallContext:
    """What the calls of a node share.

    Attributes
    ----------
    calling_service : str
        Service of this instance, which backend servers are told.
    calls_in_flight : set of OpenCall
        Attempts that are not answered yet.
    drain_deadline_ms : float
        When the last of them is answered; a time only once the node is stopping.
    """

    runtime: Runtime
    members: Members
    retry_budget: RetryBudget
    calling_service: str
    crashes: CrashTracker
    mean_run_times: MeanRunTimes = attrs.field(factory=MeanRunTimes)
    returning_callers: ReturningCallers = attrs.field(factory=ReturningCallers)
    answer_sizes: AnswerSizes = attrs.field(factory=AnswerSizes)
    refusals: RefusalMeter = attrs.field(factory=RefusalMeter)
    calls_in_flight: set[OpenCall] = attrs.field(factory=set)
    drain_deadline_ms: float = math.inf

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Answer all attempts by then, those that come later too."""
        self.drain_deadline_ms = drain_deadline_ms
        for call in list(self.calls_in_flight):
            call.limit_deadline(drain_deadline_ms)

    def identify_attempt(self, exchange: Exchange, caller: CallerFields) -> Attempt:
        """Return what a request that has just come is an attempt of."""
        now_ms = self.runtime.now_ms()
        request_key = (exchange.method, caller.host, exchange.target)
        if caller.remaining_ms is None:
            return Attempt(request_key, now_ms, now_ms)
        deadline_ms = now_ms + caller.remaining_ms
        first_attempt_ms = self.returning_callers.first_attempt_ms(
            request_key, now_ms, deadline_ms
        )
        return Attempt(
            request_key, first_attempt_ms, deadline_ms, first_attempt_ms < now_ms
        )

    def offered(self, route: Route, service: str) -> None:
        """Count a request for a service."""
        self.refusals.record_offered(route.name, service, route.priority)
        self.retry_budget.members = self.members.count()
        self.retry_budget.earn(service)


@attrs.frozen(slots=True)
class Target:
    """Where a configuration sends a request."""

    route: Route
    service: str
    version: int
