import pytest

from azurestep.audit.in_force import AMEND_INTERVAL_MS, SETTLE_MS, InForceTracker
from azurestep.audit.lost import LossTracker
from azurestep.audit.outbox import OUTBOX_MAXIMUM_ENTRIES, RESEND_MS, Outbox
from azurestep.audit.records import (
    DrainBegun,
    Entry,
    Gap,
    Item,
    VersionInForce,
    decode_entry,
    encode_entry,
)
from azurestep.audit.writer import PENDING_MAXIMUM_BYTES, AuditWriter, Receipt
from azurestep.control.updates import DataCentreReport, MemberState, MemberStatus


def item(number: int) -> Item:
    return DrainBegun(f"instance-{number}", number, 0)


@pytest.fixture
def outbox() -> Outbox:
    return Outbox("a", "run")


@pytest.fixture
def writer() -> AuditWriter:
    return AuditWriter("kgn1", "a", 1000)


def test_entry_survives_its_json() -> None:
    entry = Entry(Gap("a", 1, 2, 3, "why"), "a", "run", 7)
    assert decode_entry(encode_entry(entry)).unwrap() == entry


def test_items_are_sent_once_until_receipted(outbox: Outbox) -> None:
    outbox.add(item(1), 1)
    outbox.add(item(2), 2)
    assert [e.number for e in outbox.take("w", 0, 0)] == [1, 2]
    assert outbox.take("w", 100, 0) == []
    outbox.receipt(1)
    assert [e.number for e in outbox.take("w", RESEND_MS, 0)] == [2]
    outbox.receipt(2)
    assert len(outbox) == 0


def test_items_go_to_the_next_writer_at_once(outbox: Outbox) -> None:
    outbox.add(item(1), 1)
    outbox.take("w", 0, 0)
    assert [e.number for e in outbox.take("v", 1, 0)] == [1]


def test_full_outbox_is_bounded_and_tells_what_it_lost(outbox: Outbox) -> None:
    for number in range(OUTBOX_MAXIMUM_ENTRIES + 5):
        outbox.add(item(number), 1000 + number)
    assert len(outbox) == OUTBOX_MAXIMUM_ENTRIES
    outbox.receipt(100)
    told: list[Entry] = []
    while entries := outbox.take("w", 0, 9999):
        told.extend(entries)
    gaps = [entry.item for entry in told if isinstance(entry.item, Gap)]
    assert gaps == [Gap("a", 1000, 1004, 5, gaps[0].reason)]


def test_appends_keep_their_distance(writer: AuditWriter) -> None:
    appends = 0
    for now_ms in range(0, 10_000, 100):
        writer.derive([item(now_ms)], now_ms)
        if writer.next_batch(now_ms) is not None:
            writer.appended()
            appends += 1
    assert appends == 9


def test_verdict_and_application_share_an_append(writer: AuditWriter) -> None:
    writer.derive([item(1)], 0)
    assert writer.next_batch(0) is None
    writer.derive([item(2)], 400)
    batch = writer.next_batch(1000)
    assert batch is not None and len(batch.entries) == 2


def test_failed_batch_is_written_again(writer: AuditWriter) -> None:
    writer.take([Entry(item(1), "b", "run-b", 4)], 0)
    writer.next_batch(0)
    writer.next_batch(1000)
    writer.failed()
    batch = writer.next_batch(2000) or writer.next_batch(3000)
    assert batch is not None and batch.entries[0].number == 4
    assert writer.appended() == [Receipt("b", "run-b", 4)]
    assert len(writer) == 0


def test_full_writer_takes_no_more_from_others(writer: AuditWriter) -> None:
    entries = [Entry(item(n), "b", "run-b", n) for n in range(1, 20_000)]
    writer.take(entries, 0)
    assert writer.size_bytes <= PENDING_MAXIMUM_BYTES
    writer.next_batch(0)
    writer.next_batch(1000)
    (receipt,) = writer.appended()
    assert receipt.number < len(entries)


def test_full_writer_drops_its_oldest_and_tells(writer: AuditWriter) -> None:
    writer.derive([item(n) for n in range(20_000)], 77)
    assert writer.size_bytes <= PENDING_MAXIMUM_BYTES
    writer.next_batch(0)
    batch = writer.next_batch(1000)
    assert batch is not None
    gap = batch.entries[0].item
    assert isinstance(gap, Gap) and gap.count == 20_000 - len(writer)


def test_batch_covers_only_what_it_holds(writer: AuditWriter) -> None:
    writer.recover(10)
    writer.derive([item(n) for n in range(5000)], 0)
    writer.covered = 99
    covers = []
    now_ms = 0
    while len(writer):
        batch = writer.next_batch(now_ms)
        now_ms += 500
        if batch is not None:
            covers.append(batch.covers)
            writer.appended()
    assert len(covers) > 1
    assert covers[:-1] == [10] * (len(covers) - 1)
    assert covers[-1] == 99


def report(version: int, in_force: int, missing: list[str]) -> DataCentreReport:
    return DataCentreReport("kgn1", 1, "a", version, b"h", 3, in_force, missing, 5, 9)


ALIVE = dict.fromkeys(["a", "b", "c"], int(MemberStatus.ALIVE))


def test_complete_version_is_told_once() -> None:
    tracker = InForceTracker()
    assert tracker.take(report(1, 2, ["c"]), ALIVE, 0) == []
    (told,) = tracker.take(report(1, 3, []), ALIVE, 300)
    assert told.is_complete and told.instances == ["a", "b", "c"]
    assert tracker.take(report(1, 3, []), ALIVE, 99_999) == []


def test_missing_instances_are_told_with_the_reason_then_amended() -> None:
    tracker = InForceTracker()
    statuses = ALIVE | {"c": int(MemberStatus.SUSPECT)}
    told: list[VersionInForce] = []
    told += tracker.take(report(1, 2, ["c"]), statuses, 0)
    told += tracker.take(report(1, 2, ["c"]), statuses, SETTLE_MS)
    assert [m.reason for m in told[0].missing] == ["does not answer"]
    late_ms = SETTLE_MS + AMEND_INTERVAL_MS
    tracker.take(report(1, 3, []), ALIVE, late_ms)
    told += tracker.take(report(1, 3, []), ALIVE, late_ms + SETTLE_MS)
    assert [record.amendment for record in told] == [0, 1]


def test_new_reporter_that_counts_from_nothing_makes_no_amendment() -> None:
    tracker = InForceTracker()
    tracker.take(report(1, 3, []), ALIVE, 0)
    assert tracker.take(report(1, 1, ["a", "b"]), ALIVE, 20_000) == []
    assert tracker.take(report(1, 3, []), ALIVE, 20_300) == []


def test_dead_instance_leaves_a_gap_and_a_left_one_none() -> None:
    def member(instance: str) -> MemberState:
        status = MemberStatus.DEAD if instance == "b" else MemberStatus.LEFT
        return MemberState(instance, "kgn1", "r", 1, 1, int(status), "h", 1, 2)

    tracker = LossTracker()
    assert tracker.take(ALIVE, member, 10_000) == []
    (gap,) = tracker.take({"a": int(MemberStatus.ALIVE)}, member, 20_000)
    assert (gap.origin, gap.to_ms) == ("b", 20_000)
    assert gap.from_ms <= 10_000
