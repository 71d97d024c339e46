"""Building of the requests that a call sends to backend servers."""

import attrs

from ...http.exchange import Exchange
from ...platform.headers import CallerFields
from ..decisions.choice import Endpoint, SelectionCriteria
from ..messages import Request
from .body import LARGE_BODY_BYTES, RequestBody
from .context import CallContext
from .record import CallRecord


@attrs.define(slots=True, eq=False, repr=False)
class RequestBuilder:
    """Builds the requests of one call, one for each backend server it is sent to."""

    context: CallContext
    exchange: Exchange
    caller: CallerFields
    record: CallRecord
    body: RequestBody
    priority: int

    def selection_criteria(self, now_ms: float) -> SelectionCriteria:
        """Return the criteria for the choice of a backend server."""
        context, route = self.context, self.record.route.name
        return SelectionCriteria(
            self.record.service,
            route,
            self.record.objective_ms(now_ms),
            context.mean_run_times.get(route),
            self._transfer_kib(),
            context.members.data_centre,
            self.body.size_bytes / 1024 if self.body.is_deferred else 0.0,
        )

    def build_request(
        self, now_ms: float, deadline_ms: float, endpoint: Endpoint, may_wait: bool
    ) -> Request:
        """Return the request for a backend server, where it may wait for a slot."""
        exchange, body = self.exchange, self.body
        record, route = self.record, self.record.route
        deferred = self.defers_body(endpoint)
        return Request(
            exchange.method,
            exchange.target,
            self.caller.forwarded,
            record.service,
            endpoint.incarnation.instance_id,
            route.name,
            record.request_id,
            self.context.calling_service.encode(),
            route.idempotent,
            self.priority,
            deadline_ms - now_ms,
            record.objective_ms(now_ms),
            now_ms,
            -1 if exchange.chunked else exchange.length,
            body.whole and not deferred,
            b"" if deferred else body.content(),
            endpoint.incarnation.started_ms,
            self.context.mean_run_times.get_or_zero(route.name),
            needs_confirmation=not body.streamed
            and (deferred or not self.is_reroutable()),
            may_wait=may_wait,
            body_in_pieces=deferred,
            team=record.team,
        )

    def is_reroutable(self) -> bool:
        """Whether the request may be retried when its peer is merely unresponsive.

        Not if its answer is long: on a narrow link, probes wait behind long answers,
        and a second download would fill another link too.
        """
        answer_bytes = self.context.answer_sizes.mean_kib(self.record.route.name) * 1024
        return self.record.route.idempotent and answer_bytes <= LARGE_BODY_BYTES

    def defers_body(self, endpoint: Endpoint) -> bool:
        """Whether the body is sent only once the peer asks for it."""
        return self.body.is_deferred and not self.context.members.is_local(endpoint)

    def deferred_kib(self, endpoint: Endpoint) -> float:
        """Return the size of the body that a peer will ask for; 0 for none."""
        return self.body.size_bytes / 1024 if self.defers_body(endpoint) else 0.0

    def _transfer_kib(self) -> float:
        """Return the size of the request's body and its expected answer."""
        body_bytes = max(self.body.size_bytes, self.exchange.length)
        return (
            self.context.answer_sizes.mean_kib(self.record.route.name)
            + body_bytes / 1024
        )
