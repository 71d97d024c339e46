"""What became of one attempt, told from the lines of all nodes. Pure."""

from collections.abc import Iterable

import attrs

from ..mesh import events
from .reader import LogLine
from .verdict import Decision, Outcome, Verdict, judge


@attrs.frozen(slots=True)
class Step:
    """One thing that happened to an attempt.

    Attributes
    ----------
    at_ms : float
        Milliseconds since its first line.
    inputs : str
        What the node went by.
    """

    at_ms: float
    node: str
    what: str
    inputs: str


@attrs.frozen(slots=True)
class ExplainResult:
    """The way of one attempt.

    Attributes
    ----------
    outcome : Outcome or None
        None if no line tells how it ended.
    cause : str
        One sentence.
    """

    request_id: str
    outcome: Outcome | None
    cause: str
    steps: list[Step]


SENTENCES = {
    Decision.NO_ROOM: "each of the {asked} nodes asked had no slot for it in time",
    Decision.TOO_LATE: "it waited beside a server until no answer could be in time",
    Decision.SHED: "it was shed, as its run would call a service short of room",
    Decision.NO_SERVER: "no backend server of {service} was known",
    Decision.LEAVING: "the backend servers asked were leaving or replaced",
    Decision.UNREACHABLE: "the backend server took no connections",
    Decision.QUARANTINED: "requests like it crash the backend servers that run them",
    Decision.NO_ROUTE: "no route matches it",
    Decision.UNKNOWN_KEY: "{key}{in_version}",
    Decision.KEY_UNDECIDED: "{key}{in_version}, and its first node knew that it may"
    " lack a newer one",
    Decision.QUOTA: "it was above the limit of its team {team}{in_version}",
    Decision.SERVER_REFUSED: "the backend server said that it did not run it",
    Decision.SERVER_BROKE_OFF: "{instance} broke off or spoiled its answer ({reason})",
    Decision.SERVER_ERROR: "{instance} answered {status} itself",
    Decision.LINK_LOST: "the link to the node beside {instance} was lost",
    Decision.TIMEOUT: "its time was over after {after_ms} ms while {instance} ran it",
    Decision.STOPPED: "the node it came to was stopped, {after_ms} ms after it came",
    Decision.CAME_BACK_LATE: "its caller came back when the objective had passed",
    Decision.QUEUED: "it waited {waited_ms} ms for a slot and ran {ran_ms} ms",
    Decision.SLOW_RUN: "{instance} ran it for {ran_ms} ms",
    Decision.ASKED_BEFORE: "it reached a server late, after {asked} nodes were asked",
    Decision.FAULT: "a fault of the program came; azurestep faults shows its cause",
    Decision.CALLER: "its caller left after {after_ms} ms",
    Decision.OTHER: "the reason is {reason}",
    Decision.NONE: "{instance} answered after {after_ms} ms",
}
KEYS = {
    "": "no team holds its key",
    "none": "it had no key, and its route is not public",
    "several": "it had different keys, which name no team",
}
"""What a sentence says of keys that have no digest."""


def explain(request_id: str, lines: Iterable[LogLine]) -> ExplainResult:
    """Follow one attempt through lines that are in the order of their times."""
    own = [line for line in lines if line.id == request_id]
    if not own:
        return ExplainResult(
            request_id,
            None,
            "No line names it: give the files of all nodes, or it was left out.",
            [],
        )
    begin_ms = own[0].at_ms
    steps = [_step(line, begin_ms) for line in own]
    ends = [(line, judge(line)) for line in own]
    last = next(((line, end) for line, end in reversed(ends) if end), None)
    if last is None:
        return ExplainResult(
            request_id, None, "No line of its first node tells how it ended.", steps
        )
    line, verdict = last
    return ExplainResult(request_id, verdict.outcome, _sentence(line, verdict), steps)


def _sentence(line: LogLine, verdict: Verdict) -> str:
    cause = SENTENCES[verdict.decision].format(
        asked=line.asked,
        service=line.service or "its service",
        instance=line.instance or "the backend server",
        reason=line.reason,
        status=line.status,
        after_ms=line.after_ms,
        waited_ms=line.waited_ms,
        ran_ms=line.ran_ms,
        team=line.team,
        in_version=_in_version(line),
        key=KEYS.get(line.key, f"no team holds its key (digest {line.key}...)"),
    )
    return f"{str(verdict.outcome).capitalize()}: {cause}."


def _step(line: LogLine, begin_ms: float) -> Step:
    return Step(line.at_ms - begin_ms, line.node, line.message, _inputs(line))


def _inputs(line: LogLine) -> str:
    """Return what the node went by, as far as the line tells."""
    parts = [line.reason] if line.reason else []
    if line.event == events.RUN_REFUSED.number:
        parts.append(f"{line.running:g} ran and {line.busy - line.running:g} waited")
        parts.append(f"for {line.slots} slots")
    elif line.run_ms:
        parts.append(f"ran {line.run_ms} ms")
    if line.instance:
        parts.append(f"server {line.instance}")
    if line.asked:
        parts.append(f"asked {line.asked}, may have run {line.runs} times")
    if line.left_ms is not None:
        left = "left" if line.left_ms >= 0 else "over"
        parts.append(f"{abs(line.left_ms)} ms of its objective {left}")
    if line.returned:
        parts.append("its caller had asked before")
    return ", ".join(parts + _team_inputs(line))


def _team_inputs(line: LogLine) -> list[str]:
    """Return what the node knew of the caller's team."""
    parts = []
    if line.team:
        parts.append(f"team {line.team}{_in_version(line)}")
    if line.key:
        parts.append(f"key {line.key}{_in_version(line)}")
    if line.team and line.limit_per_s is not None:
        parts.append(f"limit {line.limit_per_s:g} a second")
    if line.grant_per_s is not None and line.grant_age_ms is not None:
        parts.append(f"granted {line.grant_per_s:g}, {line.grant_age_ms:g} ms before")
    return parts


def _in_version(line: LogLine) -> str:
    return f" in version {line.version}" if line.version else ""
