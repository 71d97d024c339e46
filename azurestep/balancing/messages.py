"""Inputs and outputs of the traffic decisions.

Times are milliseconds of this node's monotonic clock.
"""

from enum import StrEnum

import attrs

from ..config.model import Priority
from ..endpoint_key import EndpointKey


@attrs.frozen
class Endpoint:
    """One incarnation of a backend server, as listed in the directory.

    Attributes
    ----------
    key : EndpointKey
        Address and incarnation.
    service, instance, data_centre : str
        What it serves and where it runs.
    slots : int
        Requests that it processes concurrently.
    first_seen_ms : float
        Time at which this node first saw this incarnation; negative infinity for
        servers of the first directory.
    leaving : bool
        Whether it is draining; it then gets no new requests.
    """

    key: EndpointKey
    service: str
    instance: str
    data_centre: str
    slots: int
    first_seen_ms: float = float("-inf")
    leaving: bool = False


@attrs.frozen
class LoadReport:
    """A backend server's report of its own load, which adjusts its weight.

    Attributes
    ----------
    key : EndpointKey
        The backend server.
    load : float
        Share of its slots in use, 0 to 1.
    healthy : bool
        Whether it reports itself as healthy.
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
class AttemptOutcome:
    """End of an attempt.

    Attributes
    ----------
    kind : OutcomeKind
        ``SUCCESS`` for any answer below 500; ``ERROR`` for 5xx; ``SHED`` for a
        refusal with the "not run" header; ``RESET`` for a connection lost after
        the first request byte; ``CANCELLED`` if the caller disconnected, which
        isn't counted against the backend server.
    latency_ms : float
        Time from sending the request to the first byte of the answer, or to the
        failure.
    """

    kind: OutcomeKind
    latency_ms: float


class RefusalReason(StrEnum):
    """Why a request was refused."""

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
class AdmissionRequest:
    """An attempt at a request that needs a backend server.

    Attributes
    ----------
    priority : Priority
        Priority class of the request.
    now_ms : float
        Time of arrival.
    deadline_ms : float
        The caller's deadline.
    avoid : tuple of EndpointKey
        Backend servers to choose only if no other one is eligible.
    """

    priority: Priority
    now_ms: float
    deadline_ms: float
    avoid: tuple[EndpointKey, ...] = ()


class TicketState(StrEnum):
    """State of a ticket."""

    QUEUED = "queued"
    GRANTED = "granted"
    DONE = "done"


@attrs.define(eq=False)
class Ticket:
    """Handle of one admitted or queued attempt.

    Attributes
    ----------
    request : AdmissionRequest
        The request.
    state : TicketState
        Its state; only ``Admission`` changes it.
    endpoint : Endpoint or None
        The backend server, once granted.
    """

    request: AdmissionRequest
    state: TicketState = TicketState.QUEUED
    endpoint: Endpoint | None = None


@attrs.frozen
class Admitted:
    """The request may be sent to the endpoint now."""

    ticket: Ticket
    endpoint: Endpoint


@attrs.frozen
class Queued:
    """The request is queued; a ``Granted`` or ``Dropped`` follows."""

    ticket: Ticket


@attrs.frozen
class Refused:
    """The request is refused without having run.

    Attributes
    ----------
    reason : RefusalReason
        Why it is refused.
    retry_after_ms : float
        Jittered time after which the caller may send again.
    """

    reason: RefusalReason
    retry_after_ms: float


@attrs.frozen
class Granted:
    """A queued request may be sent to the endpoint now."""

    ticket: Ticket
    endpoint: Endpoint


@attrs.frozen
class Dropped:
    """A queued request is refused without having run."""

    ticket: Ticket
    reason: RefusalReason
    retry_after_ms: float


AdmissionDecision = Admitted | Queued | Refused
QueueResult = Granted | Dropped
