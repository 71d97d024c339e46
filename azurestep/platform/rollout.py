"""Orders and statuses of roll-outs, as operators write and read them in the store."""

import enum
from typing import Annotated

import attrs
import msgspec

from ..errors import MessageMalformedError
from ..values import Value
from .topics import ROLLOUT_PREFIX
from .units import DURATION_PATTERN, parse_duration_ms

MAX_INTEGER = 2**53
"""Largest integer that all JSON parsers represent exactly."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Duration = Annotated[str, msgspec.Meta(pattern=DURATION_PATTERN)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


@attrs.frozen(slots=True, eq=False, repr=False)
class RolloutOrder(Value):
    """Order to move a service's traffic to backend servers of a new version.

    Attributes
    ----------
    duration_ms : float
        Time within which the roll-out is to be completed or rolled back.
    """

    service: str
    new_version: str
    duration_ms: float


class RolloutState(enum.StrEnum):
    """State of a roll-out, as operators read it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(slots=True, eq=False, repr=False)
class RolloutStatus(Value):
    """Status of a roll-out.

    Attributes
    ----------
    order_era, order_offset : int
        Era of the store and offset of the order, which identify it.
    ends_unix_ms : int
        Time of day at which the duration of the order is over.
    """

    state: RolloutState
    new_version: str
    order_era: int = 0
    order_offset: int = 0
    ends_unix_ms: int = 0


@attrs.frozen(slots=True, eq=False, repr=False)
class _Order(Value):
    service: Name
    new_version: Name
    duration: Duration


@attrs.frozen(slots=True, eq=False, repr=False)
class _Status(Value):
    state: RolloutState
    new_version: Name
    order_era: NonNegativeInteger = 0
    order_offset: NonNegativeInteger = 0
    ends_unix_ms: NonNegativeInteger = 0


_ORDER_DECODER = msgspec.json.Decoder(_Order)
_STATUS_DECODER = msgspec.json.Decoder(_Status)


def is_rollout_key(key: str) -> bool:
    """Whether a key of the operators' topic or of the status topic is a roll-out's."""
    return key.startswith(ROLLOUT_PREFIX)


def rollout_key(service: str) -> str:
    """Return the key of a service's order and status."""
    return ROLLOUT_PREFIX + service


def read_order(key: str, content: bytes) -> RolloutOrder:
    """Parse an order.

    Raises
    ------
    MessageMalformedError
        If a field is missing or of another type, or the key names another service.

    Examples
    --------
    >>> read_order(
    ...     "rollout/shop",
    ...     b'{"service": "shop", "new_version": "v2", "duration": "12s"}',
    ... )
    RolloutOrder(service='shop', new_version='v2', duration_ms=12000.0)
    """
    try:
        fields = _ORDER_DECODER.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _order_error(key, str(error)) from error
    if key != rollout_key(fields.service):
        raise _order_error(key, f"it names the service {fields.service[:80]!r}")
    duration_ms = parse_duration_ms(fields.duration)
    return RolloutOrder(fields.service, fields.new_version, duration_ms)


def _order_error(key: str, cause: str) -> MessageMalformedError:
    return MessageMalformedError(
        f"the order {key[:80]!r} can't be read: {cause}",
        "Write service, new_version and duration under the key of the service",
    )


def write_status(status: RolloutStatus) -> bytes:
    """Return the record of a status."""
    return msgspec.json.encode(
        _Status(
            status.state,
            status.new_version,
            status.order_era,
            status.order_offset,
            status.ends_unix_ms,
        )
    )


def read_status(content: bytes) -> RolloutStatus | None:
    """Parse the record of a status; None if it is malformed.

    Examples
    --------
    >>> status = RolloutStatus(RolloutState.RUNNING, "v2", 1, 7, 1000)
    >>> read_status(write_status(status)) == status
    True
    >>> read_status(b"{}") is None
    True
    """
    try:
        fields = _STATUS_DECODER.decode(content)
    except (msgspec.DecodeError, RecursionError):
        return None
    return RolloutStatus(
        fields.state,
        fields.new_version,
        fields.order_era,
        fields.order_offset,
        fields.ends_unix_ms,
    )
