"""What became of an attempt by its last line, and what decided it. Pure."""

from enum import StrEnum

import attrs

from ..mesh import events
from .reader import LogLine

GOOD_BELOW = 300


class Outcome(StrEnum):
    """What became of an attempt of a caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    ERROR = "server error"
    GONE = "caller left"


class Decision(StrEnum):
    """What decided a loss."""

    NONE = ""
    NO_ROOM = "no room at the servers asked"
    TOO_LATE = "waited until it could not be served any more"
    SHED = "shed for a service that its runs call"
    NO_SERVER = "no server known"
    LEAVING = "servers leaving or replaced"
    UNREACHABLE = "server unreachable"
    QUARANTINED = "crashes the servers that run it"
    NO_ROUTE = "no route"
    UNKNOWN_KEY = "no team holds its key"
    KEY_UNDECIDED = "unknown key at a node that is behind"
    QUOTA = "above the quota of its team"
    SERVER_REFUSED = "refused by the server"
    SERVER_BROKE_OFF = "server broke off or spoiled its answer"
    SERVER_ERROR = "server answered with an error"
    LINK_LOST = "link to the server's node lost"
    TIMEOUT = "deadline passed while it ran"
    STOPPED = "the asked node's stop left no more time"
    CAME_BACK_LATE = "came back after its objective"
    QUEUED = "waited for a slot"
    SLOW_RUN = "ran long at the server"
    ASKED_BEFORE = "asked other nodes before, or was on its way"
    FAULT = "a fault of the program"
    CALLER = "the caller left"
    OTHER = "another reason"


@attrs.frozen(slots=True)
class Verdict:
    """How an attempt ended, and what decided it."""

    outcome: Outcome
    decision: Decision = Decision.NONE


BY_REASON = {
    "OVERLOADED": Decision.NO_ROOM,
    "TOO_LATE": Decision.TOO_LATE,
    "PRESSURE": Decision.SHED,
    "NO_BACKEND": Decision.NO_SERVER,
    "LEAVING": Decision.LEAVING,
    "OTHER_INSTANCE": Decision.LEAVING,
    "UNREACHABLE": Decision.UNREACHABLE,
    "QUARANTINED": Decision.QUARANTINED,
    "BACKEND_REFUSED": Decision.SERVER_REFUSED,
    "CLOSED": Decision.SERVER_BROKE_OFF,
    "RESET": Decision.SERVER_BROKE_OFF,
    "MALFORMED": Decision.SERVER_BROKE_OFF,
    "TRUNCATED": Decision.SERVER_BROKE_OFF,
    "UNSIGNED": Decision.SERVER_BROKE_OFF,
    "LINK_LOST": Decision.LINK_LOST,
    "TIMEOUT": Decision.TIMEOUT,
    "STOPPING": Decision.STOPPED,
    "FAULT": Decision.FAULT,
    "UNKNOWN_KEY": Decision.UNKNOWN_KEY,
    "QUOTA": Decision.QUOTA,
}
NOT_FOUND = 404
UNAVAILABLE = 503
UNKNOWN_KEY = "UNKNOWN_KEY"


def judge(line: LogLine) -> Verdict | None:
    """Return the verdict of a line that ends an attempt; None for another line."""
    if line.event == events.CALL_ENDED.number:
        return _judge_answer(line)
    if line.event == events.CALL_REFUSED.number:
        return Verdict(Outcome.REFUSED, _why_refused(line))
    if line.event == events.CALL_FAILED.number:
        return Verdict(Outcome.FAILED, BY_REASON.get(line.reason, Decision.OTHER))
    if line.event == events.CALLER_DISCONNECTED.number:
        return Verdict(Outcome.GONE, Decision.CALLER)
    return None


def _why_refused(line: LogLine) -> Decision:
    if line.status == NOT_FOUND:
        return Decision.NO_ROUTE
    if line.reason == UNKNOWN_KEY and line.status == UNAVAILABLE:
        return Decision.KEY_UNDECIDED
    return BY_REASON.get(line.reason, Decision.OTHER)


def _judge_answer(line: LogLine) -> Verdict:
    if line.status >= GOOD_BELOW:
        return Verdict(Outcome.ERROR, Decision.SERVER_ERROR)
    if line.left_ms is None or line.left_ms >= 0:
        return Verdict(Outcome.IN_TIME)
    return Verdict(Outcome.LATE, _why_late(line, line.left_ms))


def _why_late(line: LogLine, left_ms: int) -> Decision:
    """Return what took the largest part of a late attempt's time."""
    if line.returned and left_ms + line.after_ms <= 0:
        return Decision.CAME_BACK_LATE
    elsewhere_ms = line.after_ms - line.waited_ms - line.ran_ms
    parts = [
        (line.waited_ms, Decision.QUEUED),
        (line.ran_ms, Decision.SLOW_RUN),
        (elsewhere_ms, Decision.ASKED_BEFORE),
    ]
    return max(parts, key=lambda part: part[0])[1]
