"""Leases of the backend servers beside a node."""

import pytest

from azurestep.control.updates import ServerStatus
from azurestep.node.leases import LEASE_MS, LEAVE_SETTLE_MS, Announcement, Leases


def announcement(incarnation="a", port=8001):
    return Announcement("catalogue", "127.0.0.1", port, incarnation)


@pytest.fixture
def leases():
    held = Leases()
    held.announce(announcement(), 0.0)
    return held


def statuses(leases):
    return [(s.incarnation, ServerStatus(s.status).name) for s in leases.servers()]


def test_a_lease_that_lapsed_is_dropped_and_may_return(leases):
    assert [a.incarnation for a in leases.expire(LEASE_MS)] == ["a"]
    assert statuses(leases) == []
    leases.announce(announcement(), LEASE_MS + 1.0)
    assert statuses(leases) == [("a", "READY")]


def test_renewals_don_t_undo_leaving(leases):
    leases.leave("a", 0.0)
    now_ms = 0.0
    while now_ms < 60 * LEAVE_SETTLE_MS:
        now_ms += LEASE_MS / 3
        leases.announce(announcement(), now_ms)
        leases.expire(now_ms)
        assert statuses(leases) in ([], [("a", "LEAVING")])


def test_a_holder_paused_while_leaving_does_not_return(leases):
    leases.leave("a", 0.0)
    leases.expire(100.0 * LEASE_MS)
    assert statuses(leases) == []
    leases.announce(announcement(), 100.0 * LEASE_MS + 1)
    assert statuses(leases) in ([], [("a", "LEAVING")])


def test_a_new_run_at_the_same_address_replaces_the_old(leases):
    leases.leave("a", 0.0)
    leases.announce(announcement("b"), 10.0)
    assert statuses(leases) == [("b", "READY")]


def test_leaving_is_safe_once_the_others_had_time_to_hear(leases):
    leases.leave("a", 100.0)
    assert not leases.is_safe("a", 100.0 + LEAVE_SETTLE_MS - 1)
    assert leases.is_safe("a", 100.0 + LEAVE_SETTLE_MS)


def test_a_node_that_just_started_does_not_call_the_unknown_safe():
    leases = Leases()
    leases.leave("a", 100.0)
    assert not leases.is_safe("a", 101.0)
    assert leases.is_safe("a", 100.0 + LEAVE_SETTLE_MS)


def test_leaving_twice_does_not_begin_anew(leases):
    assert leases.leave("a", 0.0)
    assert not leases.leave("a", LEAVE_SETTLE_MS - 1)
    assert leases.is_safe("a", LEAVE_SETTLE_MS)
