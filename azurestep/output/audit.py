"""Answers of the audit trail as text for people."""

from ..audit.answers import (
    DataCentreVersion,
    Drain,
    DrainsAnswer,
    GapsAnswer,
    PublicationsAnswer,
    RequestAnswer,
    VersionsAnswer,
)
from ..audit.records import Gap, PublicationAccepted, PublicationRefused
from .render import render
from .tables import format_table
from .times import NONE, format_duration, format_time


@render.register
def _versions(answer: VersionsAnswer) -> str:
    rows = [
        [
            history.version,
            history.preset or NONE,
            history.operator or NONE,
            format_time(history.accepted_ms),
            place.data_centre,
            _state_of(place, answer.instance),
            format_time(place.first_ms),
            format_time(place.last_ms),
            format_duration(place.duration_ms),
        ]
        for history in answer.versions
        for place in history.data_centres
    ]
    headers = [
        "version",
        "preset",
        "operator",
        "accepted",
        "data centre",
        "in force",
        "first",
        "last",
        "took",
    ]
    return _with_gaps(format_table(headers, rows), answer.gaps)


def _state_of(place: DataCentreVersion, instance: str | None) -> str:
    if instance is not None:
        for missing in place.missing:
            if missing.instance == instance:
                return f"no: {missing.reason}"
        return "yes" if instance in place.instances else "unknown"
    if not place.members:
        return place.state
    text = f"{place.state} {place.in_force}/{place.members}"
    reasons = ", ".join(f"{m.instance} {m.reason}" for m in place.missing)
    return f"{text} ({reasons})" if reasons else text


@render.register
def _publications(answer: PublicationsAnswer) -> str:
    accepted = {item.version: _accepted_row(item) for item in answer.accepted}
    refused = {item.offset: _refused_row(item) for item in answer.refused}
    rows = [row for _, row in sorted({**accepted, **refused}.items())]
    headers = ["time", "outcome", "offset", "operator", "what", "id"]
    return _with_gaps(format_table(headers, rows), answer.gaps)


def _accepted_row(item: PublicationAccepted) -> list[object]:
    return [
        format_time(item.accepted_ms),
        "accepted",
        item.version,
        item.operator,
        f"{item.change} {item.preset}".rstrip(),
        item.id,
    ]


def _refused_row(item: PublicationRefused) -> list[object]:
    return [
        format_time(item.refused_ms),
        "refused",
        item.offset,
        item.operator or NONE,
        item.reason,
        item.id or NONE,
    ]


@render.register
def _drains(answer: DrainsAnswer) -> str:
    rows = [_drain_row(drain) for drain in answer.drains]
    headers = ["instance", "begun", "ended", "in flight", "requests cut", "handed over"]
    return _with_gaps(format_table(headers, rows), answer.gaps)


def _drain_row(drain: Drain) -> list[object]:
    ended = drain.ended
    return [
        drain.begun.instance,
        format_time(drain.begun.begun_ms),
        format_time(ended.ended_ms) if ended else "no end on the log",
        drain.begun.in_flight,
        ended.requests_cut if ended else "unknown",
        ("yes" if ended.handed_over else "no") if ended else "unknown",
    ]


@render.register
def _request(answer: RequestAnswer) -> str:
    runs = [
        [format_time(run.at_ms), run.service, run.outcome, run.instance, run.run]
        for run in answer.runs
    ]
    owners = [
        [
            owner.service,
            owner.slot,
            owner.state,
            owner.instance or NONE,
            format_time(owner.start_ms),
            format_time(owner.end_ms),
        ]
        for owner in answer.owners
    ]
    text = "\n".join(
        [
            f"key {answer.key}, created {format_time(answer.key_ms)}",
            answer.conclusion,
            "",
            format_table(["time", "service", "outcome", "instance", "run"], runs),
            "",
            format_table(
                ["service", "slot", "owner", "instance", "from", "until"], owners
            ),
        ]
    )
    return _with_gaps(text, answer.gaps)


@render.register
def _gaps(answer: GapsAnswer) -> str:
    return _gap_table(answer.gaps) if answer.gaps else "no loss is known"


def _with_gaps(text: str, gaps: list[Gap]) -> str:
    if not gaps:
        return text
    return f"{text}\n\nThe trail has gaps:\n{_gap_table(gaps)}"


def _gap_table(gaps: list[Gap]) -> str:
    rows = [
        [
            gap.origin or NONE,
            format_time(gap.from_ms),
            format_time(gap.to_ms),
            gap.count or "unknown",
            gap.reason,
        ]
        for gap in gaps
    ]
    return format_table(["origin", "from", "to", "items", "reason"], rows)
