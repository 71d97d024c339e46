"""A request on its way through the node."""

import attrs
from aiohttp import web
from multidict import CIMultiDict, CIMultiDictProxy

from ..balancing import Budget, EndpointKey, limit_budget
from . import headers
from .table import Match, RoutingTable

BODY_KEPT_MAXIMUM_BYTES = 1024 * 1024
DEFAULT_PORT_SEPARATOR = ":"


@attrs.define
class Call:
    """A request together with what was decided about it.

    Attributes
    ----------
    method, target : str
        Method, and path with query as the caller wrote it.
    fields : CIMultiDict
        Headers as the caller sent them.
    table : RoutingTable
        Table that the request began with.
    match : Match
        Route and service.
    budget : Budget
        Time and depth at arrival.
    arrived_ms : float
        Monotonic time of arrival.
    body : bytes
        Whole body of the request, empty for none.
    tried : list of EndpointKey
        Backend servers that attempts went to.
    is_resend : bool
        Whether the caller says that it sent the request before.
    """

    method: str
    target: str
    fields: "CIMultiDictProxy[str] | CIMultiDict[str]"
    table: RoutingTable
    match: Match
    budget: Budget
    arrived_ms: float
    body: bytes = b""
    tried: list[EndpointKey] = attrs.field(factory=list)
    is_resend: bool = False

    @property
    def deadline_ms(self) -> float:
        """Monotonic time at which the caller gives up."""
        return self.arrived_ms + self.budget.remaining_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time left."""
        return self.deadline_ms - now_ms


def host_of(request: web.BaseRequest) -> str:
    """Return the host that the caller asked for, without the port."""
    return (request.host or "").partition(DEFAULT_PORT_SEPARATOR)[0]


def budget_of(request: web.BaseRequest, match: Match) -> Budget:
    """Return the time and depth of a request at its arrival."""
    remaining_ms = _number(request.headers.get(headers.DEADLINE_MS))
    depth = _number(request.headers.get(headers.DEPTH))
    return limit_budget(remaining_ms, int(depth or 0), match.timeout_ms)


def _number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return None


def passed_on(
    fields: "CIMultiDictProxy[str] | CIMultiDict[str]",
) -> "CIMultiDict[str]":
    """Return the headers that are not the connection's own."""
    named = {
        name.strip().lower()
        for value in fields.getall("Connection", [])
        for name in value.split(",")
    }
    dropped = headers.HOP_BY_HOP | named
    return CIMultiDict(
        (name, value) for name, value in fields.items() if name.lower() not in dropped
    )
