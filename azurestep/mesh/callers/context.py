"""What the attempts of all callers of a node share, and where one of them goes."""

import math
from typing import Protocol

import attrs

from ...http.server import Exchange
from ...platform.headers import CallerFields
from ...routing.model import Route
from ..backend.crashes import CrashWatch
from ..decisions.choice import UsualTimes
from ..decisions.pressure import RefusalMeter
from ..decisions.retry_budget import RetryBudget
from ..decisions.returning import Attempt, ReturningCallers
from ..decisions.sizes import AnswerSizes
from ..links.members import Members
from ..runtime import Runtime


class OpenCall(Protocol):
    """An attempt that is not answered yet."""

    def end_by(self, answer_by_ms: float) -> None:
        """Answer by then: the node is stopping."""

    def log_cut(self) -> None:
        """Log that the node ends before the answer."""


@attrs.define(eq=False)
class CallContext:
    """What the calls of a node share.

    Attributes
    ----------
    calling_service : str
        Service of this instance, which backend servers are told.
    under_way : set of OpenCall
        Attempts that are not answered yet.
    answer_by_ms : float
        When the last of them is answered; a time only once the node is stopping.
    """

    runtime: Runtime
    members: Members
    budget: RetryBudget
    calling_service: str
    crashes: CrashWatch
    usual: UsualTimes = attrs.field(factory=UsualTimes)
    returning: ReturningCallers = attrs.field(factory=ReturningCallers)
    sizes: AnswerSizes = attrs.field(factory=AnswerSizes)
    refusals: RefusalMeter = attrs.field(factory=RefusalMeter)
    under_way: set[OpenCall] = attrs.field(factory=set)
    answer_by_ms: float = math.inf

    def end_by(self, answer_by_ms: float) -> None:
        """Answer all attempts by then, those that come later too."""
        self.answer_by_ms = answer_by_ms
        for call in list(self.under_way):
            call.end_by(answer_by_ms)

    def attempt(self, exchange: Exchange, caller: CallerFields) -> Attempt:
        """Return what a request that has just come is an attempt of."""
        now_ms = self.runtime.now_ms()
        place = (exchange.method, caller.host, exchange.target)
        if caller.remaining_ms is None:
            return Attempt(place, now_ms, now_ms)
        deadline_at_ms = now_ms + caller.remaining_ms
        first_ms = self.returning.first_ms(place, now_ms, deadline_at_ms)
        return Attempt(place, first_ms, deadline_at_ms, first_ms < now_ms)

    def offered(self, route: Route, service: str) -> None:
        """Count a request for a service."""
        self.refusals.offered(route.name, service, route.priority)
        self.budget.members = self.members.count()
        self.budget.earn(service)


@attrs.frozen(slots=True)
class Target:
    """Where a configuration sends a request."""

    route: Route
    service: str
    version: int
