"""Small HTTP endpoints of a node: readiness, announcements, metrics."""

from collections.abc import Callable

from ..errors import MessageMalformedError
from ..http.server import Exchange, Handler
from ..platform.announcement import Heartbeat, LeavingNotice, read_announcement
from . import events
from .backend.state import Backend
from .runtime import Runtime

JSON = [(b"Content-Type", b"application/json")]
TEXT = [(b"Content-Type", b"text/plain; version=0.0.4")]


def readiness(is_ready: Callable[[], bool]) -> Handler:
    """Return the handler that says whether the node takes requests."""

    def respond(exchange: Exchange, body: bytes) -> None:
        exchange.answer(200 if is_ready() else 503, JSON, b"{}")

    return _collecting(respond)


def metrics(refresh: Callable[[], None], runtime: Runtime) -> Handler:
    """Return the handler that shows the metrics."""

    def respond(exchange: Exchange, body: bytes) -> None:
        refresh()
        exchange.answer(200, TEXT, runtime.metrics.text().encode())

    return _collecting(respond)


def announcements(
    backend: Backend,
    runtime: Runtime,
    is_service: Callable[[str], bool],
    on_change: Callable[[], None],
) -> Handler:
    """Return the handler that takes the backend server's announcements.

    Parameters
    ----------
    backend : Backend
        What is known of the backend server.
    runtime : Runtime
        Clock.
    is_service : Callable
        Whether the configuration in force names a service.
    on_change : Callable
        Called after each announcement that was taken.
    """

    def respond(exchange: Exchange, body: bytes) -> None:
        try:
            notice = read_announcement(exchange.target.decode("latin-1"), body)
            _check_service(notice, backend, is_service)
        except MessageMalformedError as error:
            events.log(events.ANNOUNCEMENT_REFUSED, cause=error.problem)
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
            _log_change(backend)
        on_change()

    return _collecting(respond)


def _check_service(
    notice: Heartbeat | LeavingNotice,
    backend: Backend,
    is_service: Callable[[str], bool],
) -> None:
    """Refuse a heartbeat that names a service which no route could lead to.

    What was taken before is heard all the same: its leaving must count, also after
    the operators dropped its service.
    """
    if not isinstance(notice, Heartbeat):
        return
    known = backend.announced_service(notice.instance_id)
    if notice.service != known and not is_service(notice.service):
        raise MessageMalformedError(
            f"{notice.instance_id[:80]!r} announces the unknown service"
            f" {notice.service!r}",
            "Publish the service, or correct the backend server's settings",
        )


def _log_change(backend: Backend) -> None:
    leaving = backend.is_leaving()
    event = events.BACKEND_LEAVING if leaving else events.BACKEND_ANNOUNCED
    events.log(
        event,
        instance=backend.instance_id,
        born_ms=backend.incarnation.started_ms,
        service=backend.service,
        slots=backend.slots,
    )


def _collecting(respond: Callable[[Exchange, bytes], None]) -> Handler:
    def handle(exchange: Exchange) -> None:
        exchange.sink = CollectedRequest(exchange, respond)

    return handle


class CollectedRequest:
    """Collects a short request and answers it by a function.

    Parameters
    ----------
    exchange : Exchange
        The request.
    respond : Callable
        Called with the exchange and the whole body.
    """

    def __init__(
        self, exchange: Exchange, respond: Callable[[Exchange, bytes], None]
    ) -> None:
        self._exchange = exchange
        self._respond = respond
        self._parts: list[bytes] = []

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self._parts.append(data)

    def on_end(self) -> None:
        """Answer."""
        self._respond(self._exchange, b"".join(self._parts))

    def on_disconnect(self) -> None:
        """Forget the request."""

    def on_writable(self) -> None:
        """Ignore; the answer is short."""

    def on_fault(self) -> None:
        """Leave the answer to the connection."""
