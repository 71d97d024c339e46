"""Log lines and metric of requests that their senders have cancelled."""

from .. import events
from ..messages import Request
from ..runtime import Runtime


def log_cancelled(
    runtime: Runtime,
    request: Request,
    late_ms: float,
    *,
    cancel_late_ms: float = 0.0,
    waited_ms: float = 0.0,
    run_ms: float | None = None,
    answer_bytes: int = 0,
) -> None:
    """Log and count a request that its sender has cancelled.

    Parameters
    ----------
    late_ms : float
        How long it lay unread on its link.
    cancel_late_ms : float
        How long the cancel was delayed on the link.
    waited_ms : float
        How long it waited here for a slot.
    run_ms : float, optional
        How long it was at the backend server; None if it did not reach it.
    answer_bytes : int
        Bytes of the answer that had arrived.
    """
    sent = run_ms is not None
    events.log(
        events.RUN_CANCELLED,
        id=request.request_id,
        instance=request.instance_id,
        sent=sent,
        late_ms=round(late_ms),
        cancel_late_ms=round(cancel_late_ms),
        waited_ms=round(waited_ms),
        run_ms=round(run_ms or 0.0),
        answer_bytes=answer_bytes,
    )
    runtime.metrics.count("cancelled_here", "sent" if sent else "waiting")
    runtime.metrics.cancel_late_ms.record(cancel_late_ms)
