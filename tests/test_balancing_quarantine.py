"""Quarantine of requests that crash backend servers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azurestep.balancing import EndpointKey, Quarantine, QuarantineStatus, fingerprint

POISON = fingerprint("GET", "songs", "/songs?q=%00", b"")
HARMLESS = fingerprint("GET", "songs", "/songs?q=a", b"")
SERVERS = 6


def server(number):
    return EndpointKey("127.0.0.1", 8000 + number, 1)


def crash(quarantine, number, now_ms, fingerprints=(POISON,)):
    for one in fingerprints:
        quarantine.record_start(one, server(number), now_ms)
        quarantine.record_loss(one, server(number), now_ms + 1)
    return quarantine.record_crash(server(number), now_ms + 2, SERVERS)


@pytest.fixture
def quarantine():
    return Quarantine()


def test_an_empty_quarantine_is_inactive(quarantine):
    assert not quarantine.active
    assert quarantine.status_of(POISON, 0.0) is QuarantineStatus.CLEAR


@pytest.mark.parametrize(
    ("crashes", "check_coincidence"), [(1, False), (2, True), (3, True)]
)
def test_a_request_is_refused_from_the_configured_number_of_crashes(
    crashes, check_coincidence
):
    quarantine = Quarantine(
        crashes_to_refuse=crashes, check_coincidence=check_coincidence
    )
    for number in range(crashes):
        assert quarantine.status_of(POISON, 20_000.0) is not QuarantineStatus.REFUSED
        crash(quarantine, number, 20_000.0 * (number + 1))
    now_ms = 20_000.0 * crashes + 10
    assert quarantine.status_of(POISON, now_ms) is QuarantineStatus.REFUSED


def test_the_first_crash_makes_the_request_a_suspect(quarantine):
    crash(quarantine, 0, 0.0)
    assert quarantine.status_of(POISON, 10.0) is QuarantineStatus.SUSPECT


def test_the_same_crash_counts_once(quarantine):
    for _ in range(3):
        crash(quarantine, 0, 0.0)
    assert quarantine.status_of(POISON, 10.0) is QuarantineStatus.SUSPECT


def test_a_lost_connection_alone_is_no_crash(quarantine):
    for number in range(5):
        quarantine.record_loss(HARMLESS, server(number), 0.0)
        quarantine.record_alive(server(number))
    assert quarantine.status_of(HARMLESS, 1.0) is QuarantineStatus.CLEAR
    assert not quarantine.active


def test_a_lost_connection_without_a_confirmed_crash_expires(quarantine):
    quarantine.record_loss(HARMLESS, server(0), 0.0)
    assert quarantine.status_of(HARMLESS, 1.0) is QuarantineStatus.SUSPECT
    assert quarantine.status_of(HARMLESS, 11_000.0) is QuarantineStatus.CLEAR


def test_a_request_that_is_answered_elsewhere_is_cleared(quarantine):
    crash(quarantine, 0, 0.0, [POISON, HARMLESS])
    quarantine.record_start(HARMLESS, server(1), 5.0)
    quarantine.record_answer(HARMLESS, server(1), 9.0)
    assert quarantine.status_of(HARMLESS, 10.0) is QuarantineStatus.CLEAR
    assert quarantine.status_of(POISON, 10.0) is QuarantineStatus.SUSPECT
    assert len(quarantine) == 1


def test_simultaneous_crashes_of_many_servers_refuse_no_request(quarantine):
    for number in range(SERVERS - 2):
        crash(quarantine, number, 10.0 * number, [1000 + number])
    crash(quarantine, 4, 50.0, [HARMLESS])
    crash(quarantine, 5, 60.0, [HARMLESS])
    assert quarantine.status_of(HARMLESS, 70.0) is QuarantineStatus.SUSPECT


def test_without_check_coincidence_simultaneous_crashes_refuse_a_request():
    quarantine = Quarantine(check_coincidence=False)
    for number in range(SERVERS - 2):
        crash(quarantine, number, 10.0 * number, [1000 + number])
    crash(quarantine, 4, 50.0, [HARMLESS])
    crash(quarantine, 5, 60.0, [HARMLESS])
    assert quarantine.status_of(HARMLESS, 70.0) is QuarantineStatus.REFUSED


def test_a_suspect_is_kept_apart_from_other_suspects(quarantine):
    crash(quarantine, 0, 0.0, [POISON, HARMLESS])
    quarantine.record_start(POISON, server(1), 5.0)
    assert quarantine.servers_with_suspects(6.0) == (server(1),)
    quarantine.record_end(POISON, server(1))
    assert quarantine.servers_with_suspects(7.0) == ()


def test_a_refusal_expires(quarantine):
    crash(quarantine, 0, 0.0)
    crash(quarantine, 1, 20_000.0)
    assert quarantine.status_of(POISON, 500_000.0) is QuarantineStatus.REFUSED
    assert quarantine.status_of(POISON, 700_000.0) is QuarantineStatus.CLEAR


def test_peers_merge_refusals_and_add_up_crashes():
    one, other, third = Quarantine(), Quarantine(), Quarantine()
    updates = crash(one, 0, 0.0)
    other.merge(updates, 1000.0, SERVERS)
    assert other.status_of(POISON, 1001.0) is QuarantineStatus.SUSPECT
    crash(other, 1, 20_000.0)
    assert other.status_of(POISON, 20_010.0) is QuarantineStatus.REFUSED
    third.merge(other.export(20_010.0), 5.0, SERVERS)
    assert third.status_of(POISON, 6.0) is QuarantineStatus.REFUSED


def test_merging_again_changes_nothing():
    one, other = Quarantine(), Quarantine()
    updates = crash(one, 0, 0.0)
    for _ in range(3):
        other.merge(updates, 10.0, SERVERS)
    assert other.export(10.0) == updates


@settings(derandomize=True, max_examples=100)
@given(
    st.lists(
        st.tuples(st.sampled_from("sladexr"), st.integers(0, 20), st.integers(0, 8)),
        max_size=150,
    )
)
def test_the_table_is_bounded_and_one_death_never_refuses(events):
    quarantine = Quarantine(size=8)
    deaths = set()
    for now_ms, (action, number, which) in enumerate(events):
        one, key = 500 + number, server(which)
        if action == "s":
            quarantine.record_start(one, key, now_ms)
        elif action == "l":
            quarantine.record_loss(one, key, now_ms)
        elif action == "a":
            quarantine.record_answer(one, key, now_ms)
        elif action == "d":
            quarantine.record_crash(key, now_ms, 9)
            deaths.add(key)
        elif action == "e":
            quarantine.record_end(one, key)
        elif action == "x":
            quarantine.record_alive(key)
        standing = quarantine.status_of(one, now_ms)
        assert len(quarantine) <= 8
        if len(deaths) < 2:
            assert standing is not QuarantineStatus.REFUSED


def test_the_table_keeps_the_latest_suspects():
    quarantine = Quarantine(size=8)
    for number in range(50):
        crash(quarantine, number, 1.0 * number, [1000 + number])
    assert len(quarantine) == 8
    assert quarantine.status_of(1049, 60.0) is QuarantineStatus.SUSPECT
    assert quarantine.status_of(1000, 60.0) is QuarantineStatus.CLEAR
