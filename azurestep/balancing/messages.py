"""Messages that go into and come out of the traffic decisions.

Times are monotonic milliseconds of the node that decides. A duration that
crosses to another node is relative.
"""

from enum import StrEnum

import attrs

from ..config.model import Priority
from ..endpoint_key import EndpointKey


@attrs.frozen
class Endpoint:
    """A backend server as the directory knows it.

    Attributes
    ----------
    key : EndpointKey
        Identity.
    service, instance, data_centre : str
        What it serves and where it runs.
    slots : int
        Requests that it works on at the same time.
    announced_ms : float
        When this incarnation was first announced, on this node's clock.
    leaving : bool
        Whether it drains; it then gets no new request.
    """

    key: EndpointKey
    service: str
    instance: str
    data_centre: str
    slots: int
    announced_ms: float = float("-inf")
    leaving: bool = False


@attrs.frozen
class LoadReport:
    """What a backend server says about itself; taken as a hint only.

    Attributes
    ----------
    key : EndpointKey
        Who reports.
    load : float
        Share of its slots in use, 0 to 1.
    healthy : bool
        Whether it calls itself healthy.
    """

    key: EndpointKey
    load: float = 0.0
    healthy: bool = True


class OutcomeKind(StrEnum):
    """How an attempt at a backend server ended."""

    SUCCESS = "success"
    ERROR = "error"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"


@attrs.frozen
class Outcome:
    """End of an attempt.

    Attributes
    ----------
    kind : OutcomeKind
        ``SUCCESS`` for any answer that isn't the server's own failure (a 404
        is one); ``ERROR`` for 5xx; ``SHED`` for a refusal that says "not run";
        ``RESET`` for a connection lost after the first request byte;
        ``CANCELLED`` when the caller went away (it says nothing about the
        backend server).
    latency_ms : float
        Time from sending the request until the first byte of the answer, or
        until the failure.
    """

    kind: OutcomeKind
    latency_ms: float


class RefusalReason(StrEnum):
    """Why a request was not run."""

    NO_ENDPOINT = "no_endpoint"
    CLASS_CLOSED = "class_closed"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    RETRY_BUDGET = "retry_budget"
    QUARANTINED = "quarantined"
    TOO_DEEP = "too_deep"


@attrs.frozen
class RequestArrived:
    """A request, or a further attempt at one, asks for a backend server.

    Attributes
    ----------
    priority : Priority
        Class of the request.
    now_ms : float
        Time of arrival.
    deadline_ms : float
        Time at which the caller gives up.
    avoid : tuple of EndpointKey
        Backend servers that were tried before; they are chosen only if the
        service has no other.
    """

    priority: Priority
    now_ms: float
    deadline_ms: float
    avoid: tuple[EndpointKey, ...] = ()


class TicketState(StrEnum):
    """Where a ticket stands."""

    QUEUED = "queued"
    GRANTED = "granted"
    DONE = "done"


@attrs.define(eq=False)
class Ticket:
    """Handle of one admitted or queued attempt.

    Attributes
    ----------
    request : RequestArrived
        What was asked.
    state : TicketState
        Where it stands; only the admission changes it.
    endpoint : Endpoint or None
        Chosen backend server, once granted.
    """

    request: RequestArrived
    state: TicketState = TicketState.QUEUED
    endpoint: Endpoint | None = None


@attrs.frozen
class Admitted:
    """The request may be sent to the endpoint now."""

    ticket: Ticket
    endpoint: Endpoint


@attrs.frozen
class Queued:
    """The request waits; a later ``Granted`` or ``Dropped`` decides it."""

    ticket: Ticket


@attrs.frozen
class Refused:
    """The request was not run and is answered at once.

    Attributes
    ----------
    reason : RefusalReason
        Why.
    retry_after_ms : float
        Jittered time after which it is worth asking again.
    """

    reason: RefusalReason
    retry_after_ms: float


@attrs.frozen
class Granted:
    """A waiting request may be sent to the endpoint now."""

    ticket: Ticket
    endpoint: Endpoint


@attrs.frozen
class Dropped:
    """A waiting request was not run and is answered at once."""

    ticket: Ticket
    reason: RefusalReason
    retry_after_ms: float


Decision = Admitted | Queued | Refused
Release = Granted | Dropped
