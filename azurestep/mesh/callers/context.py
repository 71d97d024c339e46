"""What the attempts of all callers of a node share, and where one of them goes."""

import attrs

from ...routing.model import Route
from ..backend.crashes import CrashWatch
from ..decisions.choice import UsualTimes
from ..decisions.pressure import RefusalMeter
from ..decisions.retry_budget import RetryBudget
from ..decisions.sizes import AnswerSizes
from ..links.members import Members
from ..runtime import Runtime


@attrs.define(eq=False)
class CallContext:
    """What the calls of a node share.

    Attributes
    ----------
    calling_service : str
        Service of this instance, which backend servers are told.
    """

    runtime: Runtime
    members: Members
    budget: RetryBudget
    calling_service: str
    crashes: CrashWatch
    usual: UsualTimes = attrs.field(factory=UsualTimes)
    sizes: AnswerSizes = attrs.field(factory=AnswerSizes)
    refusals: RefusalMeter = attrs.field(factory=RefusalMeter)

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
