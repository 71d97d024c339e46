"""HTTP endpoints of a node: readiness, announcements and metrics."""

from collections.abc import Callable

from ..errors import MessageMalformedError
from ..http.exchange import Exchange, Handler
from ..platform.announcement import (
    MAX_BODY_BYTES,
    Heartbeat,
    LeavingNotice,
    read_announcement,
)
from ..routing.model import Limits
from . import events
from .backend.changes import log_backend_change
from .backend.state import LocalBackend
from .gauges import NodeGauges
from .runtime import Runtime

JSON = [(b"Content-Type", b"application/json")]
TEXT = [(b"Content-Type", b"text/plain; version=0.0.4")]
ENDPOINT_LIMITS = Limits(body_bytes=2 * MAX_BODY_BYTES)
"""Limits of requests to these endpoints.

An announcement above its own limit is still rejected by its handler, with a log line.
"""
ENDPOINT_REQUEST_TIMEOUT_MS = 15_000.0
STATUS_TARGET = b"/v1/status"
"""Target at the metrics address that is answered with the status, not the metrics."""


def readiness(is_ready: Callable[[], bool]) -> Handler:
    """Return the handler that answers 200 if the node is ready, else 503."""

    def respond(exchange: Exchange, body: bytes) -> None:
        exchange.answer(200 if is_ready() else 503, JSON, b"{}")

    return _collect_body(respond)


def metrics(gauges: NodeGauges, runtime: Runtime) -> Handler:
    """Return the handler that serves the metrics as text, and the status as JSON."""

    def respond(exchange: Exchange, body: bytes) -> None:
        if exchange.target == STATUS_TARGET:
            exchange.answer(200, JSON, gauges.status())
            return
        gauges.refresh()
        exchange.answer(200, TEXT, runtime.metrics.text().encode())

    return _collect_body(respond)


def announcements(
    backend: LocalBackend,
    runtime: Runtime,
    is_known_service: Callable[[str], bool],
    on_change: Callable[[], None],
) -> Handler:
    """Return the handler for heartbeats and leaving notices of the backend server.

    Parameters
    ----------
    backend : LocalBackend
        State of the local backend server.
    runtime : Runtime
        Source of the time.
    is_known_service : Callable
        Whether the configuration in force names a service.
    on_change : Callable
        Called after each accepted announcement.
    """

    def respond(exchange: Exchange, body: bytes) -> None:
        try:
            notice = read_announcement(exchange.target.decode("latin-1"), body)
            _check_service(notice, backend, is_known_service)
        except MessageMalformedError as error:
            events.log(events.ANNOUNCEMENT_REJECTED, cause=error.problem)
            exchange.answer(400, JSON, b"{}")
            return
        before = (backend.incarnation, backend.is_leaving())
        now_ms = runtime.now_ms()
        if isinstance(notice, Heartbeat):
            backend.apply_heartbeat(notice, now_ms)
        else:
            backend.apply_leaving(notice, now_ms)
        exchange.answer(200, JSON, b"{}")
        if (backend.incarnation, backend.is_leaving()) != before:
            log_backend_change(backend)
        on_change()

    return _collect_body(respond)


def _check_service(
    notice: Heartbeat | LeavingNotice,
    backend: LocalBackend,
    is_known_service: Callable[[str], bool],
) -> None:
    """Reject a heartbeat for a service that the configuration doesn't name.

    A service that was accepted before stays accepted, so that a backend server can
    still leave after its service was removed from the configuration.
    """
    if not isinstance(notice, Heartbeat):
        return
    accepted_service = backend.announced_service(notice.instance_id)
    if notice.service != accepted_service and not is_known_service(notice.service):
        raise MessageMalformedError(
            f"{notice.instance_id[:80]!r} announces the unknown service"
            f" {notice.service!r}",
            "Publish the service, or correct the backend server's settings",
        )


def _collect_body(respond: Callable[[Exchange, bytes], None]) -> Handler:
    def handle(exchange: Exchange) -> None:
        exchange.sink = BodyCollector(exchange, respond)

    return handle


class BodyCollector:
    """Collects the body of a short request and passes it to a function.

    Parameters
    ----------
    exchange : Exchange
        The request.
    respond : Callable
        Called with the exchange and the complete body.
    """

    def __init__(
        self, exchange: Exchange, respond: Callable[[Exchange, bytes], None]
    ) -> None:
        self._exchange = exchange
        self._respond = respond
        self._parts: list[bytes] = []

    def on_body(self, data: bytes) -> None:
        """Add a chunk of the body."""
        self._parts.append(data)

    def on_end(self) -> None:
        """Respond to the request."""
        self._respond(self._exchange, b"".join(self._parts))

    def on_disconnect(self) -> None:
        """Free what was collected."""
        self._parts = []

    def on_writable(self) -> None:
        """Do nothing: the answer is sent at once."""

    def on_fault(self) -> None:
        """Do nothing: the connection sends the error."""
