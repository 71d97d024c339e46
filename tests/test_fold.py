"""Publications, checkpoints, restores and lost records in a configuration fold."""

import attrs

from azurestep.config.delta import make_snapshot
from azurestep.config.fold import (
    Accepted,
    Adopted,
    ConfigurationFold,
    GapFound,
    Mismatched,
    Refused,
    Regressed,
    Unsupported,
)
from azurestep.config.records import RECORD_FORMAT
from azurestep.platform.records import Page
from tests.fixtures_fold import initial_change, timeout_change, timeout_in


def kinds(events):
    return [type(event) for event in events]


def published(fake_log, *timeouts_ms):
    """Publish a first version and one per timeout; return the fold of the log."""
    fold = ConfigurationFold()
    fake_log.publish("first", 0, initial_change())
    fake_log.feed(fold)
    for timeout_ms in timeouts_ms:
        change = timeout_change(timeout_ms)
        fake_log.publish(f"t{timeout_ms}", fold.state.version, change)
        fake_log.feed(fold)
    return fold


def snapshot_of(fold):
    state = fold.state
    return make_snapshot(state.document, state.version, state.as_of)


def test_second_of_two_racing_publications_is_refused(fake_log):
    fold = published(fake_log)
    base = fold.state.version
    fake_log.publish("a", base, timeout_change(1100))
    fake_log.publish("b", base, timeout_change(1200))

    events = fake_log.feed(fold)

    assert kinds(events) == [Accepted, Refused]
    assert timeout_in(fold.state.document) == 1100


def test_record_appended_twice_is_decided_once(fake_log):
    fold = published(fake_log)
    base = fold.state.version
    for _ in range(2):
        fake_log.publish("a", base, timeout_change(1100))

    assert kinds(fake_log.feed(fold)) == [Accepted]


def test_checkpoint_that_raced_a_publication_loses_nothing_for_new_readers(fake_log):
    old = published(fake_log, 1100)
    stale = old.state
    fake_log.publish("raced", stale.version, timeout_change(1200))
    raced_at = fake_log.checkpoint(stale)
    fake_log.feed(old)

    from_publication = ConfigurationFold()
    fake_log.drop_before(stale.as_of + 1)
    fake_log.feed(from_publication)
    from_checkpoint = ConfigurationFold()
    fake_log.drop_before(raced_at)
    fake_log.feed(from_checkpoint)

    assert from_publication.state.version == old.state.version
    assert timeout_in(from_publication.state.document) == 1200
    assert from_checkpoint.is_incomplete
    assert from_checkpoint.state.version == 0
    fake_log.checkpoint(old.state)
    fake_log.feed(from_checkpoint)
    assert from_checkpoint.state.document == old.state.document


def test_snapshot_from_a_peer_completes_the_fold_and_replays_buffered_records(fake_log):
    old = published(fake_log, 1100)
    snapshot = snapshot_of(old)
    fake_log.drop_before(old.next_offset)
    fake_log.publish("next", old.state.version, timeout_change(1200))
    new_reader = ConfigurationFold()
    assert kinds(fake_log.feed(new_reader)) == [GapFound]

    events = new_reader.adopt(snapshot).unwrap()

    assert kinds(events) == [Adopted, Accepted]
    assert timeout_in(new_reader.state.document) == 1200


def test_checkpoint_of_the_same_version_with_another_hash_is_not_adopted(fake_log):
    fold = published(fake_log, 1100)
    other = published(type(fake_log)(), 1900)
    before = fold.state
    forged = attrs.evolve(other.state, version=before.version, as_of=before.as_of + 9)
    for number in range(10):
        fake_log.publish(f"stale{number}", 0, timeout_change(1))
    fake_log.drop_before(fold.next_offset + 5)
    fake_log.checkpoint(forged)

    events = fake_log.feed(fold)

    assert Mismatched in kinds(events)
    assert fold.state == before


def test_restored_log_is_reported_once_and_keeps_the_version(fake_log):
    fold = published(fake_log, 1100, 1200)
    before = fold.state
    fake_log.restore(2)

    events = [*fake_log.feed(fold), *fake_log.feed(fold)]

    assert events == [Regressed(2, before.as_of)]
    assert fold.state == before


def test_read_that_ends_before_a_version_from_a_peer_is_no_regression(fake_log):
    slow = published(fake_log)
    fast = ConfigurationFold()
    overtaken = fake_log.page(slow.next_offset)
    for base, timeout_ms in ((1, 1100), (2, 1200)):
        fake_log.publish(f"t{timeout_ms}", base, timeout_change(timeout_ms))
    fake_log.feed(fast)
    slow.adopt(snapshot_of(fast))

    assert slow.apply_page(overtaken) == []


def test_checkpoint_after_a_restore_gives_new_readers_the_version_in_force(fake_log):
    fleet = published(fake_log, 1100, 1200)
    fake_log.restore(2)
    new_reader = ConfigurationFold()
    fake_log.feed(new_reader)
    while fake_log.next_offset <= fleet.state.as_of:
        fake_log.append({"kind": "Filler", "id": "f", "operator": "ann", "format": 1})
    fake_log.checkpoint(fleet.state)
    fake_log.publish("next", fleet.state.version, timeout_change(1300))

    fake_log.feed(new_reader)
    fake_log.feed(fleet)

    assert new_reader.state.version == fleet.state.version
    assert timeout_in(new_reader.state.document) == 1300


def test_newer_format_halts_the_fold_until_a_peer_sends_a_later_version(fake_log):
    fold = published(fake_log)
    peer = published(type(fake_log)(), 1100, 1200, 1300)
    fake_log.append({"kind": "Unheard", "id": "u", "format": RECORD_FORMAT + 1})
    fake_log.publish("later", fold.state.version, timeout_change(1900))

    events = [*fake_log.feed(fold), *fake_log.feed(fold)]
    assert kinds(events) == [Unsupported]
    assert fold.is_halted

    fold.adopt(snapshot_of(peer))
    assert not fold.is_halted
    assert fold.state.version == peer.state.version
    assert fold.next_offset > peer.state.version


def test_checkpoint_with_an_unknown_section_is_ignored(fake_log):
    fold = published(fake_log)
    before = fold.state
    fake_log.append(
        {
            "kind": "Checkpoint",
            "id": "c",
            "as_of": 1,
            "version": 1,
            "entries": [{"section": 9, "name": "x", "body": "1"}],
            "instance": "n1",
            "format": RECORD_FORMAT,
        }
    )

    fake_log.feed(fold)

    assert fold.state.version == before.version
    assert fold.next_offset == fake_log.next_offset


def test_page_is_not_applied_past_a_missing_record(fake_log):
    fold = published(fake_log)
    fake_log.publish("a", 1, timeout_change(1100))
    fake_log.publish("b", 2, timeout_change(1200))
    page = fake_log.page(fold.next_offset)

    fold.apply_page(Page(page.first_offset, page.next_offset, page.records[1:], 2))

    assert fold.next_offset == 2
    fake_log.feed(fold)
    assert timeout_in(fold.state.document) == 1200
