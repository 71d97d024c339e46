"""Records and messages of the quarantine."""

from enum import StrEnum

import attrs

from ..endpoint_key import EndpointKey


class QuarantineStatus(StrEnum):
    """How a fingerprint is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@attrs.frozen
class QuarantineUpdate:
    """What one node tells the others of a fingerprint.

    Attributes
    ----------
    fingerprint : int
        Which request.
    deaths : tuple of EndpointKey
        Backend servers that died with it in flight.
    refused_for_ms : float
        Rest of the refusal; 0 for a mere suspect.
    """

    fingerprint: int
    deaths: tuple[EndpointKey, ...]
    refused_for_ms: float = 0.0


@attrs.define
class Suspect:
    """Record of one fingerprint.

    Attributes
    ----------
    deaths : set of EndpointKey
        Backend servers that died with it in flight.
    pending : dict
        Connections lost with it in flight, by backend server with the time,
        until that server proves dead or alive.
    survivals : int
        Times it ran to an answer since it was first suspected.
    running : dict
        Attempts in flight now, by backend server.
    refused_until_ms : float
        End of the refusal; negative infinity for none.
    expiry_ms : float
        When the record is dropped.
    """

    deaths: set[EndpointKey] = attrs.field(factory=set)
    pending: dict[EndpointKey, float] = attrs.field(factory=dict)
    survivals: int = 0
    running: dict[EndpointKey, int] = attrs.field(factory=dict)
    refused_until_ms: float = float("-inf")
    expiry_ms: float = float("inf")
