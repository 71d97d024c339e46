"""What a node believes of the backend server beside it."""

import attrs
import pytest

from azurestep.errors import MessageMalformedError
from azurestep.mesh.backend.state import DRAIN_SHARE, Backend
from azurestep.platform.announcement import Heartbeat, LeavingNotice, read_announcement

DRAIN_MS = 2000.0
BEAT = Heartbeat("i-1", "shop", 1, 4, False, 0.0)


@pytest.fixture
def backend() -> Backend:
    backend = Backend(DRAIN_MS)
    backend.apply_heartbeat(BEAT, 0.0)
    return backend


def test_first_heartbeat_opens(backend: Backend) -> None:
    assert backend.is_open()
    assert backend.admits(0.0)


def test_leaving_closes_the_choice_at_once_and_the_door_inside_the_bound(
    backend: Backend,
) -> None:
    backend.apply_heartbeat(attrs.evolve(BEAT, sequence=2, leaving=True), 100.0)
    assert not backend.is_open()
    assert backend.admits(100.0 + DRAIN_MS * DRAIN_SHARE - 1)
    assert not backend.admits(100.0 + DRAIN_MS * DRAIN_SHARE)


def test_deregistration_without_a_heartbeat_before_is_a_leaving(
    backend: Backend,
) -> None:
    backend.apply_leaving(LeavingNotice("i-1"), 50.0)
    assert not backend.is_open()
    assert not backend.admits(50.0 + DRAIN_MS)


def test_late_heartbeat_does_not_reopen_a_leaving_server(backend: Backend) -> None:
    backend.apply_heartbeat(attrs.evolve(BEAT, sequence=5, leaving=True), 100.0)
    backend.apply_heartbeat(attrs.evolve(BEAT, sequence=4), 200.0)
    backend.apply_heartbeat(attrs.evolve(BEAT, sequence=6), 300.0)
    assert not backend.is_open()


def test_heartbeat_of_a_dead_incarnation_changes_nothing(backend: Backend) -> None:
    backend.confirm_instance("i-1", 0.0)
    backend.apply_heartbeat(attrs.evolve(BEAT, instance_id="i-0", sequence=9), 10.0)
    assert backend.instance_id == "i-1"
    assert backend.conflicting_id == "i-0"


def test_answer_of_a_new_incarnation_replaces_the_old_one(backend: Backend) -> None:
    backend.apply_heartbeat(attrs.evolve(BEAT, instance_id="i-2"), 10.0)
    backend.confirm_instance("i-2", 20.0)
    assert backend.instance_id == "i-2"
    backend.apply_heartbeat(attrs.evolve(BEAT, sequence=99), 30.0)
    assert backend.instance_id == "i-2"
    assert backend.conflicting_id == ""


def test_answer_of_an_unknown_incarnation_closes_until_it_announces_itself(
    backend: Backend,
) -> None:
    backend.confirm_instance("i-3", 20.0)
    assert not backend.admits(20.0)
    backend.apply_heartbeat(attrs.evolve(BEAT, instance_id="i-3"), 30.0)
    assert backend.is_open()


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[]",
        b'{"information": {}, "status": {}}',
        b'{"information": {"service": "s", "slots": 4},'
        b' "status": {"state": "ready", "sequence": 1, "cold_remaining": "soon"}}',
    ],
)
def test_an_unreadable_heartbeat_has_a_typed_error(body: bytes) -> None:
    with pytest.raises(MessageMalformedError):
        read_announcement("/v1/instances/i-1/heartbeat", body)
