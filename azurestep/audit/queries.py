"""Questions to the audit trail, as pure functions."""

import attrs

from ..once.fold import OwnershipFold, SlotId
from ..once.key import IdempotencyKey
from ..once.messages import Outcome
from .answers import (
    DataCentreVersion,
    Drain,
    DrainsAnswer,
    GapsAnswer,
    PublicationsAnswer,
    RequestAnswer,
    SlotOwner,
    VersionHistory,
    VersionsAnswer,
)
from .records import (
    DrainBegun,
    DrainEnded,
    Gap,
    PublicationAccepted,
    PublicationRefused,
    RequestRun,
    VersionInForce,
)
from .trail import Trail

COMPLETE = "complete"
PARTIAL = "partial"
UNKNOWN = "unknown"
SUPERSEDED = "superseded"
NEVER_OWNED = "never_owned"


def publications(trail: Trail) -> PublicationsAnswer:
    """Return what was published, and what became of it."""
    accepted = sorted(trail.of_kind(PublicationAccepted), key=lambda p: p.version)
    refused = sorted(trail.of_kind(PublicationRefused), key=lambda p: p.offset)
    return PublicationsAnswer(accepted, refused, trail.gaps())


def drains(trail: Trail) -> DrainsAnswer:
    """Return the graceful stops."""
    ends = {(e.instance, e.begun_ms): e for e in trail.of_kind(DrainEnded)}
    found = [
        Drain(begun, ends.get((begun.instance, begun.begun_ms)))
        for begun in trail.of_kind(DrainBegun)
    ]
    return DrainsAnswer(found, trail.gaps())


def gaps(trail: Trail) -> GapsAnswer:
    """Return every known loss of audit items."""
    return GapsAnswer(trail.gaps())


def versions(
    trail: Trail, at_ms: int | None = None, instance: str | None = None
) -> VersionsAnswer:
    """Return which versions were in force where.

    Parameters
    ----------
    at_ms : int, optional
        Only the newest version that each data centre had begun to apply by
        then, with what is known of it.
    instance : str, optional
        Only the data centres where this instance is named.
    """
    records = list(trail.of_kind(VersionInForce))
    if instance is not None:
        named = [r for r in records if _names(r, instance)]
        places = {r.data_centre for r in named}
        records = [r for r in records if r.data_centre in places]
    histories = _histories(trail, records)
    if at_ms is not None:
        histories = _at(histories, at_ms)
    overlapping = [g for g in trail.gaps() if at_ms is None or _covers(g, at_ms)]
    return VersionsAnswer(histories, overlapping, at_ms, instance)


def _names(record: VersionInForce, instance: str) -> bool:
    missing = (item.instance for item in record.missing)
    return instance in record.instances or instance in missing


def _covers(gap: Gap, at_ms: int) -> bool:
    return gap.from_ms <= at_ms <= gap.to_ms


def _histories(trail: Trail, records: list[VersionInForce]) -> list[VersionHistory]:
    accepted = {p.version: p for p in trail.of_kind(PublicationAccepted)}
    places = sorted({record.data_centre for record in records})
    found = []
    preset = ""
    for version in sorted({*accepted, *(record.version for record in records)}):
        publication = accepted.get(version)
        if publication is not None and publication.preset:
            preset = publication.preset
        accepted_ms = publication.accepted_ms if publication else None
        own = [record for record in records if record.version == version]
        found.append(
            VersionHistory(
                version,
                publication.operator if publication else "",
                preset,
                accepted_ms,
                [_in_data_centre(place, own, accepted_ms) for place in places],
            )
        )
    return _mark_superseded(found)


def _mark_superseded(histories: list[VersionHistory]) -> list[VersionHistory]:
    """Tell versions that a later one replaced before anyone counted them."""
    counted: set[str] = set()
    marked = []
    for history in reversed(histories):
        places = [
            attrs.evolve(place, state=SUPERSEDED)
            if place.state == UNKNOWN and place.data_centre in counted
            else place
            for place in history.data_centres
        ]
        counted |= {p.data_centre for p in places if p.first_ms is not None}
        marked.append(attrs.evolve(history, data_centres=places))
    return marked[::-1]


def _in_data_centre(
    data_centre: str, records: list[VersionInForce], accepted_ms: int | None
) -> DataCentreVersion:
    own = [record for record in records if record.data_centre == data_centre]
    if not own:
        return DataCentreVersion(data_centre, UNKNOWN)
    complete = next((record for record in own if record.is_complete), None)
    told = complete or own[-1]
    duration_ms = None
    if complete is not None and accepted_ms is not None:
        duration_ms = complete.last_ms - accepted_ms
    applied = {name for record in own for name in record.instances}
    return DataCentreVersion(
        data_centre,
        PARTIAL if complete is None else COMPLETE,
        told.in_force,
        told.members,
        told.first_ms,
        told.last_ms,
        duration_ms,
        len(own) - 1,
        sorted(applied),
        [item for item in own[-1].missing if item.instance not in applied],
    )


def _at(histories: list[VersionHistory], at_ms: int) -> list[VersionHistory]:
    newest: dict[str, tuple[VersionHistory, DataCentreVersion]] = {}
    for history in histories:
        for place in history.data_centres:
            if place.first_ms is not None and place.first_ms <= at_ms:
                newest[place.data_centre] = (history, place)
    kept: dict[int, VersionHistory] = {}
    for history, place in newest.values():
        held = kept.get(history.version, attrs.evolve(history, data_centres=[]))
        held.data_centres.append(place)
        kept[history.version] = held
    return [kept[version] for version in sorted(kept)]


def request(
    trail: Trail,
    fold: OwnershipFold,
    key: IdempotencyKey,
    service: str | None = None,
) -> RequestAnswer:
    """Return what the log proves of a request that must not repeat.

    Parameters
    ----------
    fold : OwnershipFold
        Fold of the whole ownership stream.
    service : str, optional
        Only this service; all services when left out.
    """
    runs = [
        run
        for run in trail.of_kind(RequestRun)
        if run.key == key.text and service in (None, run.service)
    ]
    names = sorted(fold.slot_counts) if service is None else [service]
    owners = [_owner(fold, key, name) for name in names]
    losses = [gap for gap in trail.gaps() if gap.to_ms >= key.time_ms]
    conclusion = _conclude(runs, owners, losses)
    return RequestAnswer(key.text, key.time_ms, conclusion, runs, owners, losses)


def _owner(fold: OwnershipFold, key: IdempotencyKey, service: str) -> SlotOwner:
    count = fold.slot_counts.get(service)
    if count is None or not fold.complete:
        return SlotOwner(service, 0, UNKNOWN)
    slot_id = SlotId(service, key.slot(count))
    interval = fold.state(slot_id).covering(key.time_ms)
    if interval is None:
        is_gap = fold.is_gap(slot_id, key.time_ms)
        return SlotOwner(service, slot_id.slot, NEVER_OWNED if is_gap else UNKNOWN)
    return SlotOwner(
        service,
        slot_id.slot,
        "owned",
        interval.node.instance,
        interval.node.incarnation,
        interval.start_ms,
        interval.end_ms,
    )


def _conclude(
    runs: list[RequestRun], owners: list[SlotOwner], losses: list[Gap]
) -> str:
    if runs:
        return _conclude_from_runs(runs)
    if owners and all(owner.state == NEVER_OWNED for owner in owners):
        return "never ran: no node ever could accept its key"
    if losses:
        return "no run is on the log, but audit items were lost since"
    if all(owner.state == UNKNOWN for owner in owners):
        return "no run is on the log, and nothing tells who could have run it"
    return "no run is on the log"


def _conclude_from_runs(runs: list[RequestRun]) -> str:
    ran = [run for run in runs if run.outcome == Outcome.RAN]
    unsure = [run for run in runs if run.outcome == Outcome.MAY_HAVE_RUN]
    if len(ran) + len(unsure) > 1:
        return f"sent {len(ran) + len(unsure)} times: at most once is broken"
    if ran:
        return f"ran once, sent by {ran[0].instance}"
    if unsure:
        return f"may have run once: {unsure[0].instance} sent it and got no answer"
    return "was not run: no byte was sent, or the backend server refused it"
