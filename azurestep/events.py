"""Numbered log events.

Every event that the program logs stands here with a fixed number, so that an
operator can look it up in ``docs/EVENTS.md`` and alarm on it.
"""

import logging

import attrs

from .values import Value

LOGGER = logging.getLogger("azurestep")


@attrs.frozen(eq=False, repr=False)
class Event(Value):
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
REMEDIES: dict[int, str] = {}


def register(number: int, level: int, summary: str, remedy: str = "") -> Event:
    """Add an event, and what an operator does about it, to the registry.

    Raises
    ------
    ValueError
        If the number is taken.
    """
    if number in REGISTRY:
        raise ValueError(f"event {number} is registered twice")
    event = Event(number, level, summary)
    REGISTRY[number] = event
    REMEDIES[number] = remedy
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
PUBLICATION_REFUSED = register(
    2003,
    logging.WARNING,
    "publication refused",
    (
        "Look at the reason, correct the change and publish again; if another"
        " operator won a race, look at that version first."
    ),
)
LOG_REGRESSED = register(
    2004,
    logging.ERROR,
    "platform log holds fewer records than already read",
    (
        "The log was restored from an older copy: follow 'Restored platform "
        "log' in OPERATIONS.md. The node keeps its version."
    ),
)
FORMAT_UNSUPPORTED = register(
    2005,
    logging.ERROR,
    "record has a format newer than this program",
    ("Upgrade the nodes; until then they keep the version before that record."),
)
CHECKPOINT_MISMATCH = register(
    2006,
    logging.ERROR,
    "checkpoint differs from the folded configuration",
    (
        "Keep the log's records and both nodes' versions, and report it: the "
        "instances agree by hash or are refused."
    ),
)
CHECKPOINT_APPENDED = register(2007, logging.INFO, "checkpoint appended")
RETENTION_GAP = register(
    2008,
    logging.WARNING,
    "records were dropped before they were read",
    (
        "Nothing if event 2001 follows. If not, check that the platform keeps"
        " records longer than the checkpoint interval."
    ),
)
VERSION_CONFLICT = register(
    2009,
    logging.ERROR,
    "peer holds the same version with another hash",
    (
        "Compare `azurestep status` of both instances, drain the one that "
        "differs from the others and start it again."
    ),
)

PLATFORM_UNREACHABLE = register(
    3001,
    logging.WARNING,
    "platform log is unreachable",
    (
        "Look at the platform. Traffic goes on; nothing can be published, and"
        " payments go on until the ownership intervals end."
    ),
)
PLATFORM_REACHED = register(3002, logging.INFO, "platform log is reachable again")

MEMBER_ALIVE = register(4001, logging.INFO, "member is alive")
MEMBER_SUSPECTED = register(
    4002,
    logging.WARNING,
    "member is suspected",
    ("Nothing; event 4001 or 4003 follows."),
)
MEMBER_DEAD = register(
    4003,
    logging.WARNING,
    "member is dead",
    (
        "Replace the instance if it did not go by itself; its unsent audit "
        "items are told as a gap."
    ),
)
MEMBER_LEFT = register(4004, logging.INFO, "member left")
FRAME_DROPPED = register(
    4005,
    logging.WARNING,
    "malformed frame dropped",
    (
        "Check that only nodes of this fleet, with the same fleet key, reach "
        "the control port."
    ),
)
LINK_REPLACED = register(
    4006,
    logging.WARNING,
    "silent peer connection replaced",
    (
        "Nothing for one. Many at once: something between the instances loses"
        " track of connections."
    ),
)

BACKEND_SERVER_ANNOUNCED = register(5001, logging.INFO, "backend server announced")
BACKEND_SERVER_LEAVING = register(5002, logging.INFO, "backend server is leaving")
BACKEND_SERVER_EXPIRED = register(
    5003,
    logging.WARNING,
    "lease of a backend server expired",
    (
        "Look at the backend server beside this node: it stopped announcing "
        "itself without leaving."
    ),
)

CONNECTIONS_RETIRED = register(
    6001,
    logging.WARNING,
    "silent connections to a backend server retired",
    (
        "Nothing for one. Many at once: something between node and backend "
        "servers loses track of connections."
    ),
)
REQUEST_QUARANTINED = register(
    6002,
    logging.WARNING,
    "request that crashes backend servers is refused",
    ("Look at the request named in the event: backend servers died while they ran it."),
)
REQUESTS_CUT = register(
    6003,
    logging.ERROR,
    "requests were cut by a stop",
    (
        "Find out which requests ran longer than the drain timeout; the audit"
        " trail counts them."
    ),
)

SLOT_OWNED = register(7001, logging.INFO, "slot is owned")
SLOT_GIVEN_UP = register(7002, logging.INFO, "slot is given up")
OWNERSHIP_INCOMPLETE = register(
    7003,
    logging.WARNING,
    "ownership records were dropped before they were read",
    ("Nothing if event 7004 follows. If not, check the platform's retention."),
)
OWNERSHIP_ADOPTED = register(7004, logging.INFO, "ownership checkpoint adopted")
OWNERSHIP_DISABLED = register(
    7005,
    logging.ERROR,
    "ownership is off until the node is restarted",
    (
        "Drain and restart the node; if all say so, follow 'Restored platform"
        " log' in OPERATIONS.md."
    ),
)
TABLE_REFUSED = register(
    7006,
    logging.WARNING,
    "handed-over table has a wrong digest",
    ("Nothing; keys of that slot answer 'may have run' until they are too old."),
)
CLOCK_IMPLAUSIBLE = register(
    7007,
    logging.ERROR,
    "clock is far ahead of the other owners",
    ("Correct the clock of the instance."),
)

AUDIT_WRITER = register(8001, logging.INFO, "this node writes the audit trail")
AUDIT_DELAYED = register(
    8002,
    logging.WARNING,
    "audit items wait for the platform log",
    (
        "Look at the platform. Items are kept within bounds, and a gap tells "
        "what does not fit."
    ),
)
AUDIT_RESUMED = register(8003, logging.INFO, "audit items reach the platform log again")
AUDIT_GAP = register(
    8004,
    logging.ERROR,
    "audit items were lost",
    ("Look at `azurestep audit gaps`; what is lost can't be had back."),
)
