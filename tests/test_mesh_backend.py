"""State of the local backend server."""

import attrs
import pytest

from azurestep.errors import MessageMalformedError
from azurestep.mesh.backend.state import DRAIN_ADMIT_RATIO, LocalBackend
from azurestep.platform.announcement import Heartbeat, LeavingNotice, read_announcement

DRAIN_MS = 2000.0
HEARTBEAT = Heartbeat("i-1", "shop", 1, 4, False, 0.0)


@pytest.fixture
def backend() -> LocalBackend:
    backend = LocalBackend(DRAIN_MS)
    backend.apply_heartbeat(HEARTBEAT, 0.0)
    return backend


def test_the_first_heartbeat_opens_the_server(backend: LocalBackend) -> None:
    assert backend.is_open()
    assert backend.admits(0.0)


def test_a_leaving_server_closes_at_once_and_admits_requests_for_part_of_the_drain(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, sequence=2, leaving=True), 100.0)
    assert not backend.is_open()
    assert backend.admits(100.0 + DRAIN_MS * DRAIN_ADMIT_RATIO - 1)
    assert not backend.admits(100.0 + DRAIN_MS * DRAIN_ADMIT_RATIO)


def test_a_leaving_notice_closes_the_server(
    backend: LocalBackend,
) -> None:
    backend.apply_leaving(LeavingNotice("i-1"), 50.0)
    assert not backend.is_open()
    assert not backend.admits(50.0 + DRAIN_MS)


def test_a_late_heartbeat_does_not_reopen_a_leaving_server(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, sequence=5, leaving=True), 100.0)
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, sequence=4), 200.0)
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, sequence=6), 300.0)
    assert not backend.is_open()


def test_a_heartbeat_of_another_incarnation_only_marks_a_conflict(
    backend: LocalBackend,
) -> None:
    backend.confirm_instance("i-1", 0.0)
    backend.apply_heartbeat(
        attrs.evolve(HEARTBEAT, instance_id="i-0", sequence=9), 10.0
    )
    assert backend.instance_id == "i-1"
    assert backend.conflicting_id == "i-0"


def test_an_answer_of_a_new_incarnation_replaces_the_old_one(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, instance_id="i-2"), 10.0)
    backend.confirm_instance("i-2", 20.0)
    assert backend.instance_id == "i-2"
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, sequence=99), 30.0)
    assert backend.instance_id == "i-2"
    assert backend.conflicting_id == ""


def test_an_answer_of_an_unknown_incarnation_closes_until_its_heartbeat(
    backend: LocalBackend,
) -> None:
    backend.confirm_instance("i-3", 20.0)
    assert not backend.admits(20.0)
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, instance_id="i-3"), 30.0)
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
def test_an_unreadable_heartbeat_raises_message_malformed(body: bytes) -> None:
    with pytest.raises(MessageMalformedError):
        read_announcement("/v1/instances/i-1/heartbeat", body)
