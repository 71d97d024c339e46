"""Answers that a node gives in its own name."""

from ...http.server import Exchange, Headers
from ...platform.headers import REQUEST_ID, read_caller
from ..runtime import Runtime

RETRY_SPREAD = 0.5
"""Share by which the time to come back is varied, so that callers that were
refused together do not return together."""
RETRY_WITHOUT_BACKEND_MS = 250.0
"""Time to come back where no backend server is known: about as long as a node
needs to hear of one that returns."""
UNAVAILABLE = 503
BAD_GATEWAY = 502


def id_header(request_id: bytes) -> Headers:
    """Return the header that names the request that is answered."""
    return [(REQUEST_ID, request_id)] if request_id else []


def answer_refused(
    runtime: Runtime, exchange: Exchange, request_id: bytes, retry_after_ms: float
) -> None:
    """Answer that a request has not run, and when to come back."""
    spread = 1 + RETRY_SPREAD * (2 * runtime.random.random() - 1)
    headers = id_header(request_id)
    headers.append((b"Retry-After", b"%.3f" % (retry_after_ms * spread / 1000)))
    exchange.answer(UNAVAILABLE, headers, b"")


def answer_bad_gateway(exchange: Exchange) -> None:
    """Answer after a fault of this program: the request may have run."""
    headers = id_header(read_caller(exchange.headers).request_id)
    exchange.answer(BAD_GATEWAY, headers, b"")
