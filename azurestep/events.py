"""Numbered log events.

Every event that the program logs stands here with a fixed number, so that an
operator can look it up in ``docs/EVENTS.md`` and alarm on it.
"""

import logging

import attrs

LOGGER = logging.getLogger("azurestep")


@attrs.frozen
class Event:
    """One kind of log event.

    Attributes
    ----------
    number : int
        Fixed number of the event; the thousands give the subsystem.
    level : int
        Level of the ``logging`` module.
    summary : str
        What happened, in a few words.
    """

    number: int
    level: int
    summary: str


REGISTRY: dict[int, Event] = {}


def register(number: int, level: int, summary: str) -> Event:
    """Add an event to the registry.

    Raises
    ------
    ValueError
        If the number is taken.
    """
    if number in REGISTRY:
        raise ValueError(f"event {number} is registered twice")
    event = Event(number, level, summary)
    REGISTRY[number] = event
    return event


def emit(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    if not LOGGER.isEnabledFor(event.level):
        return
    LOGGER.log(
        event.level, event.summary, extra={"event": event.number, "fields": fields}
    )


NODE_STARTED = register(1001, logging.INFO, "node started")
NODE_STOPPING = register(1002, logging.INFO, "node is stopping")
NODE_STOPPED = register(1003, logging.INFO, "node stopped")

VERSION_IN_FORCE = register(2001, logging.INFO, "configuration version in force")
PUBLICATION_ACCEPTED = register(2002, logging.INFO, "publication accepted")
PUBLICATION_REFUSED = register(2003, logging.WARNING, "publication refused")
LOG_REGRESSED = register(
    2004, logging.ERROR, "platform log holds fewer records than already read"
)
FORMAT_UNSUPPORTED = register(
    2005, logging.ERROR, "record has a format newer than this program"
)
CHECKPOINT_MISMATCH = register(
    2006, logging.ERROR, "checkpoint differs from the folded configuration"
)
CHECKPOINT_APPENDED = register(2007, logging.INFO, "checkpoint appended")
RETENTION_GAP = register(
    2008, logging.WARNING, "records were dropped before they were read"
)
VERSION_CONFLICT = register(
    2009, logging.ERROR, "peer holds the same version with another hash"
)

PLATFORM_UNREACHABLE = register(3001, logging.WARNING, "platform log is unreachable")
PLATFORM_REACHED = register(3002, logging.INFO, "platform log is reachable again")

MEMBER_ALIVE = register(4001, logging.INFO, "member is alive")
MEMBER_SUSPECTED = register(4002, logging.WARNING, "member is suspected")
MEMBER_DEAD = register(4003, logging.WARNING, "member is dead")
MEMBER_LEFT = register(4004, logging.INFO, "member left")
FRAME_DROPPED = register(4005, logging.WARNING, "malformed frame dropped")
LINK_REPLACED = register(4006, logging.WARNING, "silent peer connection replaced")

BACKEND_SERVER_ANNOUNCED = register(5001, logging.INFO, "backend server announced")
BACKEND_SERVER_LEAVING = register(5002, logging.INFO, "backend server is leaving")
BACKEND_SERVER_EXPIRED = register(
    5003, logging.WARNING, "lease of a backend server expired"
)

CONNECTIONS_RETIRED = register(
    6001, logging.WARNING, "silent connections to a backend server retired"
)
REQUEST_QUARANTINED = register(
    6002, logging.WARNING, "request that crashes backend servers is refused"
)
REQUESTS_CUT = register(6003, logging.ERROR, "requests were cut by a stop")

SLOT_OWNED = register(7001, logging.INFO, "slot is owned")
SLOT_GIVEN_UP = register(7002, logging.INFO, "slot is given up")
OWNERSHIP_INCOMPLETE = register(
    7003, logging.WARNING, "ownership records were dropped before they were read"
)
OWNERSHIP_ADOPTED = register(7004, logging.INFO, "ownership checkpoint adopted")
OWNERSHIP_DISABLED = register(
    7005, logging.ERROR, "ownership is off until the node is restarted"
)
TABLE_REFUSED = register(7006, logging.WARNING, "handed-over table has a wrong digest")
CLOCK_IMPLAUSIBLE = register(
    7007, logging.ERROR, "clock is far ahead of the other owners"
)

AUDIT_WRITER = register(8001, logging.INFO, "this node writes the audit trail")
AUDIT_DELAYED = register(8002, logging.WARNING, "audit items wait for the platform log")
AUDIT_RESUMED = register(8003, logging.INFO, "audit items reach the platform log again")
AUDIT_GAP = register(8004, logging.ERROR, "audit items were lost")
