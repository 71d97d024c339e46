"""Head of a request to a backend server."""

from collections.abc import Mapping

from ..balancing import DeadlineBudget
from . import headers
from .call import Call

CONNECTION = "Connection"
OMITTED_HEADERS = headers.HOP_BY_HOP | {
    "content-length",
    "expect",
    headers.DEADLINE_MS.lower(),
    headers.DEPTH.lower(),
    headers.ATTEMPT.lower(),
}


def build_request_head(
    call: Call, budget: DeadlineBudget, extra: Mapping[str, str] | None = None
) -> bytes:
    """Return the request line and headers, the empty line included.

    Parameters
    ----------
    call : Call
        The request.
    budget : DeadlineBudget
        Remaining time and depth for the backend server.
    extra : mapping of str to str, optional
        Headers that replace the caller's.
    """
    skipped = OMITTED_HEADERS
    if CONNECTION in call.fields:
        skipped = skipped | connection_options(call.fields.getall(CONNECTION))
    if extra:
        skipped = skipped | {name.lower() for name in extra}
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    for name, value in call.fields.items():
        if name.lower() not in skipped:
            lines.append(f"{name}: {value}")
    lines.append(f"{headers.DEADLINE_MS}: {max(1, int(budget.remaining_ms))}")
    lines.append(f"{headers.DEPTH}: {budget.depth}")
    if extra:
        lines.extend(f"{name}: {value}" for name, value in extra.items())
    lines.append(_framing(call))
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")


def _framing(call: Call) -> str:
    if call.stream is not None:
        return "Transfer-Encoding: chunked\r\n\r\n"
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        return f"Content-Length: {len(call.body)}\r\n\r\n"
    return "\r\n"


def connection_options(values: list[str]) -> frozenset[str]:
    """Return the header names listed in ``Connection`` headers.

    Examples
    --------
    >>> sorted(connection_options(["close, X-Trace", "Keep-Alive"]))
    ['close', 'keep-alive', 'x-trace']
    """
    return frozenset(
        option.strip().lower() for value in values for option in value.split(",")
    )
