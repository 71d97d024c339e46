"""Requests of callers: match a route, shed, or hand over to a call."""

from collections.abc import Callable

import attrs

from ...http.server import Exchange
from ...platform.headers import read_caller
from ...routing.table import RoutingTable
from .. import events
from ..decisions.pressure import LoadShedder
from ..messages import Reason
from ..runtime import Runtime
from .call import Call
from .context import CallContext, Target
from .ending import UNAVAILABLE
from .own_answers import RETRY_WITHOUT_BACKEND_MS, answer_refused, id_header

RETRY_SHED_MS = 120.0
"""Time to come back after a refusal for another service's sake: short enough that
an answer to the second attempt is within its objective."""
NOT_FOUND = 404
BAD_REQUEST = 400


@attrs.define(eq=False)
class Outbound:
    """All requests of this instance's callers.

    Attributes
    ----------
    table : Callable
        Returns the configuration in force, or None.
    closed : bool
        Whether new requests are refused, since the node ends.
    """

    context: CallContext
    table: Callable[[], RoutingTable | None]
    closed: bool = False
    load_shedder: LoadShedder = attrs.field(factory=LoadShedder)

    def handle(self, exchange: Exchange) -> None:
        """Take a request whose head was read."""
        context = self.context
        table = self.table()
        caller = read_caller(exchange.headers)
        name = caller.request_id
        if table is None or self.closed:
            exchange.sink = Rejection(context.runtime, exchange, name, UNAVAILABLE)
            return
        route = table.match(caller.host, exchange.target)
        if route is None:
            exchange.sink = Rejection(context.runtime, exchange, name, NOT_FOUND)
            return
        if not name:
            exchange.sink = Rejection(context.runtime, exchange, name, BAD_REQUEST)
            return
        service = table.choose_service(route)
        attempt = context.identify_attempt(exchange, caller)
        if self._sheds(service, route.priority):
            exchange.sink = Rejection(
                context.runtime,
                exchange,
                name,
                UNAVAILABLE,
                Reason.PRESSURE,
                route.name,
            )
            context.returning_callers.add(attempt)
            return
        context.offered(route, service)
        target = Target(route, service, table.version)
        exchange.sink = Call(context, exchange, caller, target, attempt)

    def _sheds(self, service: str, priority: int) -> bool:
        share = self.load_shedder.shed_ratio(service, priority)
        return share > 0 and self.context.runtime.random.random() < share


@attrs.define(eq=False)
class Rejection:
    """Answers a request that goes to no backend server, once it is read.

    Attributes
    ----------
    status : int
        Of the answer.
    route : str
        Route of the request; empty where none matched.
    """

    runtime: Runtime
    exchange: Exchange
    request_id: bytes
    status: int
    reason: Reason = Reason.NO_BACKEND
    route: str = ""

    def on_body(self, data: bytes) -> None:
        """Drop the body."""

    def on_end(self) -> None:
        """Answer."""
        events.log(
            events.CALL_REFUSED,
            id=self.request_id,
            route=self.route,
            status=self.status,
            reason=self.reason.name,
        )
        self.runtime.metrics.count("calls", f"rejected_{self.status}")
        if self.status == UNAVAILABLE:
            shed = self.reason is Reason.PRESSURE
            retry_after_ms = RETRY_SHED_MS if shed else RETRY_WITHOUT_BACKEND_MS
            answer_refused(self.runtime, self.exchange, self.request_id, retry_after_ms)
        else:
            headers = id_header(self.request_id)
            self.exchange.answer(self.status, headers, b"")

    def on_disconnect(self) -> None:
        """Forget the request."""

    def on_writable(self) -> None:
        """Ignore; the answer is short."""

    def on_fault(self) -> None:
        """Leave the answer to the connection."""
