from typing import Any

import orjson
import pytest

from azurestep.audit import queries
from azurestep.audit.records import (
    Batch,
    DrainBegun,
    DrainEnded,
    Entry,
    Gap,
    Item,
    MissingInstance,
    PublicationAccepted,
    RequestRun,
    VersionInForce,
    encode_batch,
)
from azurestep.audit.trail import NEVER_WRITTEN, RETENTION, Trail, read_trail
from azurestep.once.fold import LogEntry, OwnershipFold
from azurestep.once.key import parse_key
from azurestep.once.records import Claim, NodeId, encode_record
from azurestep.platform.records import LogRecord

KEY = "0190163d-8694-739b-aea5-966c26f8ad91"
KEY_MS = 1718360049300


def trail_of(*items: Item | Entry, first_offset: int = 1) -> Trail:
    records = []
    for offset, item in enumerate(items, first_offset):
        entry = item if isinstance(item, Entry) else Entry(item)
        batch = Batch(f"b{offset}", "kgn1", "a", 0, [entry])
        records.append(LogRecord(offset, offset, orjson.loads(encode_batch(batch))))
    return read_trail(records, first_offset)


def in_force(
    version: int, count: int, last_ms: int, data_centre: str = "kgn1"
) -> VersionInForce:
    names = ["a", "b"]
    missing = [MissingInstance(name, "late") for name in names[count:]]
    return VersionInForce(
        data_centre,
        version,
        "ff",
        2,
        count,
        names[:count],
        missing,
        last_ms - 5,
        last_ms,
    )


def accepted(version: int, at_ms: int, preset: str = "") -> PublicationAccepted:
    return PublicationAccepted(version, "p", "ana", 0, "EditEntries", preset, at_ms)


def test_duration_is_that_of_the_first_complete_record() -> None:
    trail = trail_of(
        accepted(3, 1000, "peak"),
        in_force(3, 1, 1100),
        in_force(3, 2, 1500),
        in_force(3, 2, 99_000),
    )
    (history,) = queries.versions(trail).versions
    (place,) = history.data_centres
    assert (place.state, place.duration_ms, place.amendments) == ("complete", 500, 2)
    assert history.preset == "peak"


def test_partial_version_names_who_is_missing() -> None:
    trail = trail_of(accepted(3, 1000), in_force(3, 1, 1100))
    (place,) = queries.versions(trail).versions[0].data_centres
    assert place.state == "partial" and place.duration_ms is None
    assert [m.instance for m in place.missing] == ["b"]


def test_moment_finds_the_version_of_each_data_centre() -> None:
    trail = trail_of(
        accepted(3, 1000),
        in_force(3, 2, 1100, "kgn1"),
        in_force(3, 2, 1200, "kgn2"),
        accepted(4, 2000),
        in_force(4, 2, 2100, "kgn1"),
        in_force(4, 2, 9000, "kgn2"),
    )
    answer = queries.versions(trail, at_ms=3000)
    found = {
        h.version: [p.data_centre for p in h.data_centres] for h in answer.versions
    }
    assert found == {3: ["kgn2"], 4: ["kgn1"]}


def test_replaced_version_is_superseded_not_unknown() -> None:
    trail = trail_of(accepted(3, 1000), accepted(4, 1010), in_force(4, 2, 1100))
    states = [h.data_centres[0].state for h in queries.versions(trail).versions]
    assert states == ["superseded", "complete"]


def test_copies_of_two_writers_count_once() -> None:
    trail = trail_of(accepted(3, 1000), accepted(3, 1000), in_force(3, 2, 1100))
    assert len(queries.publications(trail).accepted) == 1


def test_drain_without_an_end_says_so() -> None:
    trail = trail_of(
        DrainBegun("a", 100, 2), DrainBegun("b", 200, 0), DrainEnded("a", 100, 900, 0)
    )
    first, second = queries.drains(trail).drains
    assert first.ended is not None and first.ended.requests_cut == 0
    assert second.ended is None


def numbered(number: int, item: Item) -> Entry:
    return Entry(item, "a", "run", number)


def test_holes_in_the_numbers_are_gaps() -> None:
    trail = trail_of(
        numbered(1, DrainBegun("a", 1, 0)), numbered(4, DrainBegun("a", 2, 0))
    )
    (gap,) = queries.gaps(trail).gaps
    assert (gap.count, gap.reason) == (2, NEVER_WRITTEN)


def test_hole_that_the_node_told_is_one_gap() -> None:
    told = Gap("a", 1, 2, 2, "full")
    trail = trail_of(numbered(1, DrainBegun("a", 1, 0)), numbered(4, told))
    assert queries.gaps(trail).gaps == [told]


def test_dropped_records_are_a_gap() -> None:
    trail = trail_of(numbered(9, DrainBegun("a", 1, 0)), first_offset=50)
    (gap,) = queries.gaps(trail).gaps
    assert (gap.count, gap.reason) == (49, RETENTION)


@pytest.fixture
def fold() -> OwnershipFold:
    claim = Claim(
        "c", NodeId("a", "run"), "licensing", 16, (1,), KEY_MS - 10, KEY_MS + 10
    )
    held = OwnershipFold(next_offset=1)
    held.apply_entries(1, (LogEntry(1, encode_record(claim)),), 2)
    return held


def ask(fold: OwnershipFold, *items: Any) -> Any:
    key = parse_key(KEY).unwrap()
    return queries.request(trail_of(*items), fold, key, "licensing")


def run(outcome: str, instance: str = "a") -> RequestRun:
    return RequestRun(KEY, "licensing", instance, "run", outcome, KEY_MS + 5)


def test_run_request_names_its_owner_and_instance(fold: OwnershipFold) -> None:
    answer = ask(fold, run("ran"))
    assert answer.conclusion == "ran once, sent by a"
    (owner,) = answer.owners
    assert (owner.state, owner.instance) == ("owned", "a")


@pytest.mark.parametrize(
    ("items", "conclusion"),
    [
        ([], "no run is on the log"),
        ([run("may_have_run")], "may have run once"),
        ([run("not_run")], "was not run"),
        ([run("ran"), run("ran", "b")], "at most once is broken"),
        ([run("ran"), run("may_have_run", "b")], "at most once is broken"),
        ([Gap("a", 0, KEY_MS + 9, 0, "died")], "audit items were lost"),
    ],
)
def test_conclusions(fold: OwnershipFold, items: list[Item], conclusion: str) -> None:
    assert conclusion in ask(fold, *items).conclusion


def test_key_that_no_node_could_accept_never_ran(fold: OwnershipFold) -> None:
    key = parse_key(KEY.replace("0190163d", "0190163c")).unwrap()
    answer = queries.request(trail_of(), fold, key, "licensing")
    assert answer.owners[0].state == "never_owned"
    assert answer.conclusion.startswith("never ran")
