"""Log lines of changes of the local backend server."""

from .. import events
from .state import LocalBackend


def log_backend_change(backend: LocalBackend) -> None:
    """Log that the backend server takes requests, or that it leaves."""
    leaving = backend.is_leaving()
    event = events.BACKEND_LEAVING if leaving else events.BACKEND_ANNOUNCED
    events.log(
        event,
        instance=backend.instance_id,
        born_ms=backend.incarnation.started_ms,
        service=backend.service,
        slots=backend.slots,
    )
