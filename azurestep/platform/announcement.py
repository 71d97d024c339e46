"""Heartbeats and leaving notices of backend servers."""

from typing import Any

import attrs
import orjson

from ..errors import MessageMalformedError, SettingsError
from .units import parse_duration_ms

PREFIX = "/v1/instances/"
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, SettingsError)


@attrs.frozen(slots=True)
class Heartbeat:
    """One heartbeat of a backend server.

    Attributes
    ----------
    instance_id : str
        Incarnation of the backend server; each start has a new one.
    sequence : int
        Grows with each heartbeat, so a late one can be told.
    leaving : bool
        Whether the backend server takes no new work soon.
    cold_ms : float
        How much longer it stays slow after its start.
    """

    instance_id: str
    service: str
    sequence: int
    slots: int
    leaving: bool
    cold_ms: float


@attrs.frozen(slots=True)
class Leaving:
    """A backend server's notice that it ends, without a heartbeat before."""

    instance_id: str


def read_announcement(target: str, body: bytes) -> Heartbeat | Leaving:
    """Return what a call of a backend server says.

    Raises
    ------
    MessageMalformedError
        If the path or the body has another shape than the agreed one.
    """
    instance_id, _, verb = target.partition("?")[0].removeprefix(PREFIX).partition("/")
    if verb == "deregister" and instance_id:
        return Leaving(instance_id)
    if verb != "heartbeat" or not instance_id:
        raise MessageMalformedError(
            f"{target} is no call of a backend server",
            "Send a heartbeat or a deregistration",
        )
    try:
        return _heartbeat(instance_id, orjson.loads(body))
    except UNREADABLE as error:
        raise MessageMalformedError(
            f"a heartbeat of {instance_id} can't be read: {error!r}",
            "Send information and status as agreed",
        ) from error


def _heartbeat(instance_id: str, fields: dict[str, Any]) -> Heartbeat:
    information = fields["information"]
    status = fields["status"]
    return Heartbeat(
        instance_id=instance_id,
        service=str(information["service"]),
        sequence=int(status["sequence"]),
        slots=max(1, int(information["slots"])),
        leaving=status["state"] != "ready",
        cold_ms=parse_duration_ms(status.get("cold_remaining") or "0ms"),
    )
