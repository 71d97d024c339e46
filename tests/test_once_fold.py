"""Ownership state computed from the log, also after lost records."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.once import slots
from azurestep.once.fold import LogEntry, OwnershipFold, SlotId
from azurestep.once.records import (
    Checkpoint,
    Claim,
    Extend,
    HeldSlot,
    NodeId,
    Release,
    decode_record,
    encode_record,
)
from azurestep.once.slots import SlotState

SERVICE = "licensing"
A, B = NodeId("a", "a1"), NodeId("b", "b1")
SLOT = SlotId(SERVICE, 0)

nodes = st.sampled_from([A, B, NodeId("c", "c1")])
times = st.integers(0, 400)
ids = st.sampled_from(["x", "y", "z"])
claims = st.builds(
    Claim, ids, nodes, st.just(SERVICE), st.just(1), st.just((0,)), times, times
)
extends = st.builds(Extend, ids, nodes, st.just(SERVICE), st.just((0,)), times)
releases = st.builds(
    Release,
    ids,
    nodes,
    st.just(SERVICE),
    st.builds(HeldSlot, st.just(0), ids).map(lambda held: (held,)),
    times,
    st.none() | nodes,
)
histories = st.lists(claims | extends | releases, max_size=40)


def log_of(records, first_offset=0) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(first_offset + index, encode_record(record))
        for index, record in enumerate(records)
    )


def fold_of(records) -> OwnershipFold:
    fold = OwnershipFold()
    fold.apply_entries(0, log_of(records), len(records))
    return fold


@given(histories)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_intervals_of_a_slot_never_overlap_and_gaps_stay_gaps(records):
    fold = OwnershipFold()
    gaps: set[int] = set()
    for offset, entry in enumerate(log_of(records)):
        fold.apply_entries(offset, (entry,), offset + 1)
        intervals = fold.state(SLOT).intervals
        for earlier, later in zip(intervals, intervals[1:], strict=False):
            assert earlier.end_ms <= later.start_ms
        now_gaps = {time for time in range(400) if fold.is_gap(SLOT, time)}
        horizon_ms = fold.state(SLOT).horizon_ms
        assert {time for time in gaps if time >= horizon_ms} <= now_gaps
        gaps = now_gaps


@given(histories, st.data())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_newcomer_with_a_checkpoint_agrees_with_the_others(records, data):
    as_of = data.draw(st.integers(-1, len(records) - 1))
    at = data.draw(st.integers(as_of + 1, len(records)))
    start = data.draw(st.integers(0, as_of + 1))
    checkpoint = fold_of(records[: as_of + 1]).checkpoint("k")
    whole = [*records[:at], checkpoint, *records[at:]]
    newcomer = OwnershipFold()
    newcomer.apply_entries(start, log_of(whole)[start:], len(whole))
    assert newcomer.complete
    assert newcomer.states == fold_of(whole).states
    assert newcomer.slot_counts == fold_of(whole).slot_counts


def test_reader_that_missed_a_record_after_the_checkpoint_is_incomplete():
    early = Claim("x", A, SERVICE, 1, (0,), 0, 100)
    late = Claim("y", B, SERVICE, 1, (0,), 200, 300)
    checkpoint = fold_of([early]).checkpoint("k")
    whole = log_of([early, late, checkpoint])
    newcomer = OwnershipFold()
    newcomer.apply_entries(2, whole[2:], 3)
    assert not newcomer.complete
    assert not newcomer.is_gap(SLOT, 150)
    assert newcomer.state(SLOT).covering(250) is None


def test_records_lost_to_retention_make_the_fold_incomplete_until_a_checkpoint():
    first = Claim("x", A, SERVICE, 1, (0,), 0, 100)
    second = Claim("y", B, SERVICE, 1, (0,), 200, 300)
    whole = [first, second]
    fold = fold_of(whole)
    assert fold.is_gap(SLOT, 150)
    fold.apply_entries(5, (), 5)
    assert not fold.complete and not fold.is_gap(SLOT, 150)
    checkpoint = attrs.evolve(fold_of(whole).checkpoint("k"), as_of=4)
    fold.apply_entries(5, log_of([checkpoint], 5), 6)
    assert fold.complete and fold.is_gap(SLOT, 150)


def test_late_copy_of_a_release_does_not_end_a_later_tenure():
    first = Claim("x", A, SERVICE, 1, (0,), 0, 100)
    release = Release("r", A, SERVICE, (HeldSlot(0, "x"),), 50)
    again = Claim("y", A, SERVICE, 1, (0,), 60, 160)
    fold = fold_of([first, release, again, release])
    assert fold.state(SLOT).last.end_ms == 160


def test_late_copy_of_a_handover_does_not_undo_the_handover_back():
    first = Claim("x", A, SERVICE, 1, (0,), 0, 100)
    to_b = Release("r", A, SERVICE, (HeldSlot(0, "x"),), 50, B, "table 1")
    to_a = Release("s", B, SERVICE, (HeldSlot(0, "r"),), 60, A, "table 2")
    fold = fold_of([first, to_b, to_a, to_b])
    assert fold.state(SLOT).last.node == A


def test_extension_of_a_former_owner_is_ignored():
    records = [
        Claim("x", A, SERVICE, 1, (0,), 0, 100),
        Claim("y", B, SERVICE, 1, (0,), 100, 200),
        Extend("z", A, SERVICE, (0,), 300),
    ]
    assert [item.end_ms for item in fold_of(records).state(SLOT).intervals] == [
        100,
        200,
    ]


def test_dropped_intervals_are_unknown_and_not_gaps():
    state = SlotState()
    for index in range(slots.MAX_INTERVALS + 1):
        start = index * 100
        record = Claim("x", A, SERVICE, 1, (0,), start, start + 10)
        state = slots.claim(state, record)
    assert not state.is_gap(5)
    assert state.is_gap(50) and state.is_gap(150)


@pytest.mark.parametrize("count", [3, 512, 0])
def test_claim_with_an_invalid_slot_count_is_ignored(count):
    assert fold_of([Claim("x", A, SERVICE, count, (0,), 0, 100)]).states == {}


def test_first_claim_fixes_the_slot_count():
    other = Claim("y", B, SERVICE, 2, (1,), 0, 100)
    fold = fold_of([Claim("x", A, SERVICE, 1, (0,), 0, 100), other])
    assert fold.slot_counts == {SERVICE: 1} and set(fold.states) == {SLOT}


def test_record_of_a_newer_format_makes_the_fold_incomplete():
    fold = fold_of([Claim("x", A, SERVICE, 1, (0,), 0, 100)])
    fold.apply_entries(1, (LogEntry(1, b'{"format":99,"kind":"claim"}'),), 2)
    assert not fold.complete


@pytest.mark.parametrize("raw", [b"", b"[]", b"{}", b'{"format":1,"kind":"claim"}'])
def test_malformed_record_is_ignored_by_every_reader(raw):
    fold = fold_of([])
    fold.apply_entries(0, (LogEntry(0, raw),), 1)
    assert fold.complete and fold.next_offset == 1


@given(histories)
@settings(max_examples=50, derandomize=True, deadline=None)
def test_records_survive_their_json_form(records):
    checkpoint: Checkpoint = fold_of(records).checkpoint("k")
    for record in [*records, checkpoint]:
        assert decode_record(encode_record(record)).unwrap() == record


def test_release_never_frees_key_times_of_an_earlier_owner():
    records = [
        Claim("x", A, SERVICE, 1, (0,), 0, 100),
        Release("r", A, SERVICE, (HeldSlot(0, "x"),), 51, B, "table 1"),
        Release("s", B, SERVICE, (HeldSlot(0, "r"),), 1),
        Claim("y", A, SERVICE, 1, (0,), 20, 120),
    ]
    assert [item.tenure for item in fold_of(records).state(SLOT).intervals] == ["r"]


def test_missing_record_inside_a_read_makes_the_fold_incomplete():
    whole = log_of([Claim("x", A, SERVICE, 1, (0,), 0, 100)] * 3)
    fold = OwnershipFold()
    fold.apply_entries(0, (whole[0], whole[2]), 3)
    assert not fold.complete
    fold = OwnershipFold()
    fold.apply_entries(0, whole[:2], 3)
    assert not fold.complete


def test_slot_count_is_kept_when_records_are_lost():
    fold = fold_of([Claim("x", A, SERVICE, 1, (0,), 0, 100)])
    fold.apply_entries(5, (), 5)
    assert fold.slot_counts == {SERVICE: 1}


def test_regressed_log_needs_a_checkpoint_of_the_records_read_since():
    first = Claim("x", A, SERVICE, 1, (0,), 0, 100)
    fold = fold_of([first])
    fold.invalidate()
    old = fold_of([]).checkpoint("k")
    fold.apply_entries(1, log_of([old], 1), 2)
    assert not fold.complete
