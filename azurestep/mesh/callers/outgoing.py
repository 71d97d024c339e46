"""What an attempt asks of a backend server, and the request that goes there."""

import attrs

from ...http.server import Exchange
from ...platform.headers import CallerFields
from ..decisions.choice import Endpoint, SelectionCriteria
from ..messages import Request
from .body import LARGE_BODY_BYTES, RequestBody
from .context import CallContext
from .record import CallRecord


@attrs.define(slots=True, eq=False)
class Outgoing:
    """Makes the requests of one attempt, one for each backend server asked."""

    context: CallContext
    exchange: Exchange
    caller: CallerFields
    record: CallRecord
    body: RequestBody

    def selection_criteria(self, now_ms: float) -> SelectionCriteria:
        """Return what the backend server is chosen by."""
        context, route = self.context, self.record.route.name
        return SelectionCriteria(
            self.record.service,
            route,
            self.record.objective_ms(now_ms),
            context.mean_run_times.get(route),
            self._size_kib(),
            context.members.data_centre,
        )

    def request(self, now_ms: float, deadline_ms: float, endpoint: Endpoint) -> Request:
        """Return the request for a backend server, which has until ``deadline_ms``."""
        exchange, body = self.exchange, self.body
        record, route = self.record, self.record.route
        bulk = self.sends_later(endpoint)
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
            route.priority,
            deadline_ms - now_ms,
            record.objective_ms(now_ms),
            now_ms,
            -1 if exchange.chunked else exchange.length,
            body.whole and not bulk,
            b"" if bulk else body.content(),
            endpoint.incarnation.started_ms,
            self.context.mean_run_times.get_or_zero(route.name),
            needs_confirmation=not body.streamed and (bulk or not self.is_movable()),
        )

    def is_movable(self) -> bool:
        """Whether the request may go elsewhere on a mere doubt, once it was let go.

        Not if its answer is long: probes wait behind long answers on a narrow link, and
        a download that was sent again for that filled another link too. With 90 KB on
        links of 7.5 Mbit/s, a day of high load was worth 0.14 so, 0.36 with downloads
        that wait. They are run again after a failure that is certain.
        """
        answer_bytes = self.context.answer_sizes.mean_kib(self.record.route.name) * 1024
        return self.record.route.idempotent and answer_bytes <= LARGE_BODY_BYTES

    def sends_later(self, endpoint: Endpoint) -> bool:
        """Whether the body is sent only once the other node asks for it."""
        return self.body.is_bulk and not self.context.members.is_own(endpoint)

    def _size_kib(self) -> float:
        """Return the size of the request's body and its likely answer."""
        body_bytes = max(self.body.size_bytes, self.exchange.length)
        return (
            self.context.answer_sizes.mean_kib(self.record.route.name)
            + body_bytes / 1024
        )
