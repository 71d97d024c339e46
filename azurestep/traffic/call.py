"""A caller's request while the node processes it."""

from collections.abc import AsyncIterable

import attrs
from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from ..balancing import (
    BODY_PREFIX_BYTES,
    DeadlineBudget,
    EndpointKey,
    budget_on_arrival,
    fingerprint,
)
from . import headers
from .table import Match, RoutingTable

MAX_BUFFERED_BODY_BYTES = 1024 * 1024
PORT_SEPARATOR = ":"


@attrs.define
class Call:
    """A request with its route and its state.

    Attributes
    ----------
    method, target : str
        Method, and path with query as the caller sent it.
    fields : CIMultiDict
        Headers as the caller sent them.
    table : RoutingTable
        Routing table at the arrival of the request.
    match : Match
        Route and service.
    budget : DeadlineBudget
        Remaining time and depth at arrival.
    arrived_ms : float
        Monotonic time of arrival.
    body : bytes
        Whole body of the request, empty for none.
    tried : list of EndpointKey
        Backend servers of the attempts so far.
    is_client_retry : bool
        Whether the caller marked the request as a retry.
    stream : AsyncIterable of bytes or None
        Body of a request too large to be buffered; it can be sent only once.
    is_suspect : bool
        Whether its quarantine status is ``SUSPECT``: it was in flight when a
        connection was lost or a backend server crashed.
    closes_connection : bool
        Whether the answer closes the caller's connection.
    may_have_run : bool
        Whether a backend server may have run the request.
    waited_ms : float
        Time spent waiting for the caller's body and for a slot.
    """

    method: str
    target: str
    fields: "CIMultiDictProxy[str] | CIMultiDict[str]"
    table: RoutingTable
    match: Match
    budget: DeadlineBudget
    arrived_ms: float
    body: bytes = b""
    tried: list[EndpointKey] = attrs.field(factory=list)
    is_client_retry: bool = False
    stream: AsyncIterable[bytes] | None = None
    is_suspect: bool = False
    closes_connection: bool = False
    may_have_run: bool = False
    waited_ms: float = 0.0
    _fingerprint: int | None = None

    @property
    def fingerprint(self) -> int:
        """Fingerprint, equal for the same request sent again."""
        if self._fingerprint is None:
            prefix = self.body[:BODY_PREFIX_BYTES]
            route = self.match.route.name
            self._fingerprint = fingerprint(self.method, route, self.target, prefix)
        return self._fingerprint

    @property
    def deadline_ms(self) -> float:
        """Monotonic time of the caller's deadline."""
        return self.arrived_ms + self.budget.remaining_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the deadline."""
        return self.deadline_ms - now_ms


def read_host(request: web.BaseRequest) -> str:
    """Return the host of a request, without the port."""
    return (request.host or "").partition(PORT_SEPARATOR)[0]


def read_budget(request: web.BaseRequest, match: Match) -> DeadlineBudget:
    """Return the remaining time and depth of a request on its arrival."""
    remaining_ms = _parse_number(request.headers.get(headers.DEADLINE_MS))
    depth = _parse_number(request.headers.get(headers.DEPTH))
    return budget_on_arrival(remaining_ms, int(depth or 0), match.timeout_ms)


def is_client_retry(request: web.BaseRequest) -> bool:
    """Return whether the caller marked the request as a retry."""
    attempt = _parse_number(request.headers.get(headers.ATTEMPT))
    return attempt is not None and attempt > 1


def read_target(request: web.BaseRequest) -> str:
    """Return the request target as the caller sent it, in origin form."""
    target = request.raw_path
    if target.startswith("/") or target == "*":
        return target
    return request.rel_url.raw_path_qs


def _parse_number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return None
