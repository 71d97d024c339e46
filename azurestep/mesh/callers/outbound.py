"""Entry point of callers' requests: routes, keys and load shedding."""

import asyncio
import math
from collections.abc import Callable

import attrs

from ...http.exchange import Exchange
from ...platform.headers import (
    CallerFields,
    read_caller,
    read_keys,
    replace_credentials,
)
from ...routing.authentication import (
    PUBLIC,
    Access,
    Identity,
    describe_keys,
    effective_priority,
    identify,
)
from ...routing.model import Route
from ...routing.table import RoutingTable
from ...routing.teams import Team
from .. import events
from ..decisions.pressure import MAX_LACK_SHED_RATIO, LoadShedder
from ..decisions.returning import Attempt
from ..decisions.revocation import KeyFreshness
from ..messages import Reason
from ..runtime import Runtime
from ..team_metrics import outcome_of_refusal
from .call import Call
from .context import CallContext, Target
from .ending import UNAVAILABLE
from .own_answers import (
    NO_BACKEND_RETRY_AFTER_MS,
    TOO_MANY_REQUESTS,
    answer_refused,
    request_id_header,
)

SHED_RETRY_AFTER_MS = 120.0
"""Time after which to retry a shed request; short enough for the retry to meet the
route's objective."""
REJECTED_BODY_MS = 1000.0
"""Time in which the body of a rejected request may arrive.

An answer before its end closes the connection.
"""
NOT_FOUND = 404
BAD_REQUEST = 400
UNAUTHORIZED = 401
RETRIABLE = frozenset({UNAVAILABLE, TOO_MANY_REQUESTS})
CHALLENGE = (b"WWW-Authenticate", b"Token")


@attrs.define(eq=False, repr=False)
class Outbound:
    """Handles all requests of this instance's callers.

    Attributes
    ----------
    table : Callable
        Returns the configuration in force, or None.
    outdated : Callable
        Returns whether this node may lack the latest version of the configuration.
    closed : bool
        Whether new requests are refused, because the node is about to exit.
    """

    context: CallContext
    table: Callable[[], RoutingTable | None]
    outdated: Callable[[], bool] = lambda: False
    closed: bool = False
    key_freshness: KeyFreshness = attrs.field(factory=KeyFreshness)
    load_shedder: LoadShedder = attrs.field(factory=LoadShedder)

    def handle(self, exchange: Exchange) -> None:
        """Route a request whose head was read, or reject it."""
        context = self.context
        table = self.table()
        caller = read_caller(exchange.headers)
        request_id = caller.request_id
        if table is None or self.closed:
            exchange.sink = Rejection(
                context.runtime, exchange, request_id, UNAVAILABLE
            )
            return
        route = table.match(caller.host, exchange.target)
        if route is None:
            exchange.sink = Rejection(context.runtime, exchange, request_id, NOT_FOUND)
            return
        if not request_id:
            exchange.sink = Rejection(
                context.runtime, exchange, request_id, BAD_REQUEST
            )
            return
        identity = self._identify(table, route, exchange)
        if identity.access is not Access.ALLOWED:
            self._reject_key(exchange, request_id, route, identity.access, table)
            return
        if table.teams is not None:
            caller = _with_team(caller, identity)
        service = table.choose_service(route)
        attempt = context.identify_attempt(exchange, caller)
        target = _target(table, route, service, identity)
        if self._exceeds_quota(exchange, request_id, target, identity.team, attempt):
            context.returning_callers.add(attempt)
            return
        shed_ratio = self._shed_ratio(target)
        if shed_ratio > 0 and context.runtime.random.random() < shed_ratio:
            exchange.sink = self._shed(exchange, caller, target, shed_ratio)
            context.returning_callers.add(attempt)
            return
        context.record_offered(target)
        exchange.sink = Call(context, exchange, caller, target, attempt)

    def _identify(
        self, table: RoutingTable, route: Route, exchange: Exchange
    ) -> Identity:
        if table.teams is None:
            return PUBLIC
        keys = read_keys(exchange.headers)
        now_ms = self.context.runtime.now_ms()
        return identify(
            table.teams,
            route,
            keys,
            outdated=self.outdated(),
            expired=self.key_freshness.is_expired(now_ms),
        )

    def _reject_key(
        self,
        exchange: Exchange,
        request_id: bytes,
        route: Route,
        access: Access,
        table: RoutingTable,
    ) -> None:
        status = UNAVAILABLE if access is Access.UNDECIDED else UNAUTHORIZED
        exchange.sink = Rejection(
            self.context.runtime,
            exchange,
            request_id,
            status,
            Reason.UNKNOWN_KEY,
            route.name,
            details={
                "version": table.version,
                "key": describe_keys(read_keys(exchange.headers)),
            },
        )

    def _exceeds_quota(
        self,
        exchange: Exchange,
        request_id: bytes,
        target: Target,
        team: Team | None,
        attempt: Attempt,
    ) -> bool:
        """Refuse a request above its team's quota; otherwise count it."""
        context = self.context
        if team is None or not team.limited:
            return False
        late = self._returned_too_late(target.route, attempt)
        retry_after_ms = context.quotas.admit(team, late)
        if not retry_after_ms:
            return False
        exchange.sink = Rejection(
            context.runtime,
            exchange,
            request_id,
            TOO_MANY_REQUESTS,
            Reason.QUOTA,
            target.route.name,
            retry_after_ms,
            details={**_details(target), **context.quotas.describe(team.name)},
        )
        return True

    def _returned_too_late(self, route: Route, attempt: Attempt) -> bool:
        """Whether a caller came back when its request can't meet its objective."""
        left_ms = attempt.first_attempt_ms + route.objective_ms
        left_ms -= self.context.runtime.now_ms()
        run_ms = self.context.mean_run_times.get(route.name)
        return attempt.is_retry and left_ms < run_ms

    def _shed(
        self,
        exchange: Exchange,
        caller: CallerFields,
        target: Target,
        shed_ratio: float,
    ) -> "Rejection":
        """Return the rejection of new work that is shed."""
        if target.team:
            self.context.quotas.give_back(target.team)
        rejection = Rejection(
            self.context.runtime,
            exchange,
            caller.request_id,
            UNAVAILABLE,
            Reason.PRESSURE,
            target.route.name,
            SHED_RETRY_AFTER_MS,
            details=_details(target),
        )
        if target.has_teams:
            rejection.retry_after_ms /= max(1 - shed_ratio, 1 - MAX_LACK_SHED_RATIO)
            rejection.left_ms = caller.remaining_ms or math.inf
        return rejection

    def _shed_ratio(self, target: Target) -> float:
        """Return the ratio to refuse of new work; calls between services are not."""
        if target.route.name in self.context.members.called_routes:
            return 0.0
        shedder, service, priority = self.load_shedder, target.service, target.priority
        ratio = shedder.shed_ratio(service, priority)
        if target.has_teams:
            ratio = max(ratio, shedder.urgent_shed_ratio(service, priority))
        return ratio


def _with_team(caller: CallerFields, identity: Identity) -> CallerFields:
    """Return the caller's fields with its team's name in place of its key."""
    name = "" if identity.team is None else identity.team.name
    forwarded = replace_credentials(caller.forwarded, name)
    return attrs.evolve(caller, forwarded=forwarded)


def _target(
    table: RoutingTable, route: Route, service: str, identity: Identity
) -> Target:
    if table.teams is None:
        return Target(route, service, table.version, route.priority)
    team = identity.team
    priority = effective_priority(route, team)
    name = "" if team is None else team.name
    return Target(route, service, table.version, priority, name, has_teams=True)


def _details(target: Target) -> dict[str, object]:
    """Return what the line of a refused request says of its team."""
    if not target.team:
        return {}
    return {"team": target.team, "version": target.version}


@attrs.define(eq=False, repr=False)
class Rejection:
    """Answers a request that goes to no backend server, once it was read completely.

    If its body takes long, it is answered before.

    Attributes
    ----------
    status : int
        Status of the answer.
    route : str
        Name of the matched route; empty for none.
    retry_after_ms : float
        When the caller may retry after a status that allows it.
    left_ms : float
        Time for which the caller waits; infinite if it isn't known.
    details : dict
        Further fields of the log line; ``team`` is counted.
    """

    runtime: Runtime
    exchange: Exchange
    request_id: bytes
    status: int
    reason: Reason = Reason.NO_BACKEND
    route: str = ""
    retry_after_ms: float = NO_BACKEND_RETRY_AFTER_MS
    left_ms: float = math.inf
    details: dict[str, object] = attrs.field(factory=dict)
    _timer: asyncio.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        if self.exchange.chunked or self.exchange.length:
            self._timer = self.runtime.call_later(REJECTED_BODY_MS, self._answer)

    def on_body(self, data: bytes) -> None:
        """Ignore the body."""

    def on_end(self) -> None:
        """Answer the request."""
        self._answer()

    def _answer(self) -> None:
        """Log, count and answer the request."""
        self._cancel_timer()
        self.exchange.sink = None
        events.log(
            events.CALL_REFUSED,
            id=self.request_id,
            route=self.route,
            status=self.status,
            reason=self.reason.name,
            **self.details,
        )
        self.runtime.metrics.count("calls", f"rejected_{self.status}")
        team = str(self.details.get("team", ""))
        self.runtime.metrics.teams.record(team, outcome_of_refusal(self.reason))
        if self.status in RETRIABLE:
            answer_refused(
                self.runtime,
                self.exchange,
                self.request_id,
                self.retry_after_ms,
                self.status,
                left_ms=self.left_ms,
            )
        else:
            headers = request_id_header(self.request_id)
            if self.status == UNAUTHORIZED:
                headers.append(CHALLENGE)
            self.exchange.answer(self.status, headers, b"")

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def on_disconnect(self) -> None:
        """Stop waiting for the body."""
        self._cancel_timer()

    def on_writable(self) -> None:
        """Ignore; the answer is short."""

    def on_fault(self) -> None:
        """Stop waiting; the caller's connection answers 502."""
        self._cancel_timer()
