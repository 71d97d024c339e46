"""Answers that a node generates itself."""

import math

from ...http.exchange import Exchange, Headers
from ...platform.headers import REQUEST_ID, read_caller
from ..decisions.returning import limit_wait_ms
from ..runtime import Runtime

RETRY_AFTER_JITTER = 0.5
"""Relative jitter of Retry-After, so that refused callers don't retry together."""
NO_BACKEND_RETRY_AFTER_MS = 250.0
"""Time after which to retry when no backend server is available.

About as long as a node needs to hear of one that returns.
"""
UNAVAILABLE = 503
BAD_GATEWAY = 502
TOO_MANY_REQUESTS = 429


def request_id_header(request_id: bytes) -> Headers:
    """Return the header with the request's id, if there is one."""
    return [(REQUEST_ID, request_id)] if request_id else []


def answer_refused(
    runtime: Runtime,
    exchange: Exchange,
    request_id: bytes,
    retry_after_ms: float,
    status: int = UNAVAILABLE,
    *,
    left_ms: float = math.inf,
) -> None:
    """Answer 503 or 429 with Retry-After: the request has not run.

    A caller above its quota is not told to retry before there is a token.
    ``left_ms``: time left to the caller, which waits for a part of it only.
    """
    retry_after_ms = limit_wait_ms(retry_after_ms, left_ms, RETRY_AFTER_JITTER)
    jitter = 1 + RETRY_AFTER_JITTER * (2 * runtime.random.random() - 1)
    if status == TOO_MANY_REQUESTS:
        jitter = 1 + RETRY_AFTER_JITTER * runtime.random.random()
    headers = request_id_header(request_id)
    headers.append((b"Retry-After", b"%.3f" % (retry_after_ms * jitter / 1000)))
    exchange.answer(status, headers, b"")


def answer_bad_gateway(exchange: Exchange) -> None:
    """Answer 502 after an internal error: the request may have run."""
    headers = request_id_header(read_caller(exchange.headers).request_id)
    exchange.answer(BAD_GATEWAY, headers, b"")
