"""Heartbeats and leaving notices of backend servers."""

import enum
from typing import Annotated

import attrs
import msgspec

from ..errors import MessageMalformedError
from ..values import Value
from .units import DURATION_PATTERN, parse_duration_ms

PREFIX = "/v1/instances/"
MAX_SLOTS = 100_000
"""Maximum number of requests that a backend server may announce to run at once."""
MAX_INTEGER = 2**53
"""Largest integer that all JSON parsers represent exactly."""
MAX_BODY_BYTES = 65_536
"""Size limit of an announcement's body."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Duration = Annotated[str, msgspec.Meta(pattern=DURATION_PATTERN)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
HostPort = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:[0-9]{1,5}\Z")]


@attrs.frozen(slots=True, eq=False, repr=False)
class Heartbeat(Value):
    """One heartbeat of a backend server.

    Attributes
    ----------
    instance_id : str
        Id of the backend server.
    sequence : int
        Increases with each heartbeat of an incarnation, so that late ones are detected.
    leaving : bool
        Whether the backend server is about to stop accepting requests.
    cold_remaining_ms : float
        Time left of its cold start.
    started_ms : int or None
        Start time in Unix milliseconds, or None if not announced. The same id with a
        later start is another incarnation.
    version : str
        Version of its software.
    """

    instance_id: str
    service: str
    sequence: int
    slots: int
    leaving: bool
    cold_remaining_ms: float
    started_ms: int | None = None
    version: str = ""


@attrs.frozen(slots=True, eq=False, repr=False)
class LeavingNotice(Value):
    """Notice that a backend server shuts down, sent apart from heartbeats."""

    instance_id: str
    started_ms: int | None = None


class _ReportedState(enum.StrEnum):
    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(slots=True, eq=False, repr=False)
class _Information(Value):
    service: Name
    version: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


@attrs.frozen(slots=True, eq=False, repr=False)
class _Status(Value):
    state: _ReportedState
    sequence: NonNegativeInteger
    cold_remaining: Duration


@attrs.frozen(slots=True, eq=False, repr=False)
class _HeartbeatBody(Value):
    address: HostPort
    information: _Information
    status: _Status
    born: NonNegativeInteger | msgspec.UnsetType = msgspec.UNSET


@attrs.frozen(slots=True, eq=False, repr=False)
class _LeavingBody(Value):
    born: NonNegativeInteger | msgspec.UnsetType = msgspec.UNSET


_HEARTBEAT_DECODER = msgspec.json.Decoder(_HeartbeatBody)
_LEAVING_DECODER = msgspec.json.Decoder(_LeavingBody)


def read_announcement(target: str, body: bytes) -> Heartbeat | LeavingNotice:
    """Parse an announcement of a backend server.

    Raises
    ------
    MessageMalformedError
        If the path or the body doesn't match the format: a field is missing, of
        another type or out of range, or the state is unknown.
    """
    instance_id, _, action = (
        target.partition("?")[0].removeprefix(PREFIX).partition("/")
    )
    if not instance_id or action not in ("heartbeat", "deregister"):
        raise MessageMalformedError(
            f"{target[:80]!r} is not an announcement of a backend server",
            "Send a heartbeat or a deregistration",
        )
    try:
        if action == "deregister":
            return _leaving(instance_id, body)
        return _heartbeat(instance_id, body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageMalformedError(
            f"a {action} of {instance_id[:80]!r} can't be read: {error}",
            "Send address, information and status in the agreed format",
        ) from error


def _leaving(instance_id: str, body: bytes) -> LeavingNotice:
    if not body.strip():
        return LeavingNotice(instance_id)
    return LeavingNotice(instance_id, _started_ms(_LEAVING_DECODER.decode(body).born))


def _heartbeat(instance_id: str, body: bytes) -> Heartbeat:
    fields = _HEARTBEAT_DECODER.decode(body)
    return Heartbeat(
        instance_id=instance_id,
        service=fields.information.service,
        sequence=fields.status.sequence,
        slots=fields.information.slots,
        leaving=fields.status.state is _ReportedState.DRAINING,
        cold_remaining_ms=parse_duration_ms(fields.status.cold_remaining),
        started_ms=_started_ms(fields.born),
        version=fields.information.version,
    )


def _started_ms(born: int | msgspec.UnsetType) -> int | None:
    return None if isinstance(born, msgspec.UnsetType) else born
