"""Data model of the quarantine."""

from enum import StrEnum

import attrs

from ..endpoint_key import EndpointKey
from ..values import Value


class QuarantineStatus(StrEnum):
    """How requests with a fingerprint are treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@attrs.frozen(eq=False, repr=False)
class QuarantineUpdate(Value):
    """Report of a fingerprint to other nodes.

    Attributes
    ----------
    fingerprint : int
        Fingerprint of the request.
    crashes : tuple of EndpointKey
        Backend servers that crashed with it in flight.
    refused_for_ms : float
        Time left of the quarantine; 0 for a suspect.
    """

    fingerprint: int
    crashes: tuple[EndpointKey, ...]
    refused_for_ms: float = 0.0


@attrs.define(eq=False, repr=False)
class Suspect:
    """State of one fingerprint.

    Attributes
    ----------
    crashes : set of EndpointKey
        Backend servers that crashed with it in flight.
    pending : dict
        Times at which connections were lost with it in flight, by backend server,
        until that server is known to have crashed or to be alive.
    answers : int
        Number of answers since it was first suspected.
    in_flight : dict
        Attempts in flight, by backend server.
    refused_until_ms : float
        End of the quarantine; negative infinity for none.
    expiry_ms : float
        When the record expires.
    """

    crashes: set[EndpointKey] = attrs.field(factory=set)
    pending: dict[EndpointKey, float] = attrs.field(factory=dict)
    answers: int = 0
    in_flight: dict[EndpointKey, int] = attrs.field(factory=dict)
    refused_until_ms: float = float("-inf")
    expiry_ms: float = float("inf")
