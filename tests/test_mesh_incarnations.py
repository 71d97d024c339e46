"""Backend servers that restart with the same id."""

import asyncio

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.backend.crashes import CrashTracker
from azurestep.mesh.backend.state import LocalBackend
from azurestep.mesh.incarnation import Incarnation
from azurestep.platform.announcement import Heartbeat, LeavingNotice

from .fixtures_mesh import MeshFleet
from .test_mesh_crashes import request as crash_request

DRAIN_MS = 2000.0
FIRST = Heartbeat("i-1", "shop", 40, 4, False, 0.0, started_ms=1_000)
RESTARTED = Heartbeat("i-1", "shop", 1, 6, False, 500.0, started_ms=9_000)
"""A later incarnation with the same id; its sequence numbers restart at one."""


@pytest.fixture
def backend() -> LocalBackend:
    backend = LocalBackend(DRAIN_MS)
    backend.apply_heartbeat(FIRST, 0.0)
    return backend


def test_later_start_is_a_new_incarnation(backend: LocalBackend) -> None:
    backend.apply_heartbeat(RESTARTED, 10.0)
    assert backend.incarnation == Incarnation(b"i-1", 9_000)
    assert backend.slots == 6
    assert backend.cold_remaining_ms(10.0) == 500.0


def test_heartbeat_sequence_restarts_with_a_new_incarnation(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(RESTARTED, 10.0)
    backend.apply_heartbeat(attrs.evolve(RESTARTED, sequence=2, slots=7), 20.0)
    assert backend.slots == 7


def test_leaving_of_an_earlier_incarnation_does_not_affect_the_new_one(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(attrs.evolve(FIRST, sequence=41, leaving=True), 10.0)
    assert not backend.is_open()
    backend.apply_heartbeat(RESTARTED, 20.0)
    assert backend.is_open()
    assert backend.admits(20.0 + 2 * DRAIN_MS)


@pytest.mark.parametrize(
    "late",
    [
        attrs.evolve(FIRST, sequence=99, slots=1),
        attrs.evolve(FIRST, sequence=99, leaving=True),
    ],
)
def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(
    backend: LocalBackend, late: Heartbeat
) -> None:
    backend.apply_heartbeat(RESTARTED, 10.0)
    backend.apply_heartbeat(late, 20.0)
    assert backend.is_open()
    assert backend.slots == 6


def test_late_leaving_notice_of_an_earlier_incarnation_is_ignored(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(RESTARTED, 10.0)
    backend.apply_leaving(LeavingNotice("i-1", started_ms=1_000), 20.0)
    assert backend.is_open()
    backend.apply_leaving(LeavingNotice("i-1", started_ms=9_000), 30.0)
    assert not backend.is_open()


def test_crash_of_an_earlier_incarnation_does_not_affect_the_new_one(
    backend: LocalBackend,
) -> None:
    backend.mark_ended(Incarnation(b"i-1", 1_000))
    backend.apply_heartbeat(attrs.evolve(FIRST, sequence=50), 10.0)
    assert not backend.is_open()
    backend.apply_heartbeat(RESTARTED, 20.0)
    assert backend.is_open()


def test_late_crash_of_an_earlier_incarnation_does_not_affect_the_new_one(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(RESTARTED, 10.0)
    backend.mark_ended(Incarnation(b"i-1", 1_000))
    assert backend.is_open()


def test_incarnation_first_seen_leaving_gets_no_requests() -> None:
    backend = LocalBackend(DRAIN_MS)
    backend.apply_heartbeat(attrs.evolve(FIRST, leaving=True), 10.0)
    assert not backend.admits(10.0)
    backend.apply_heartbeat(RESTARTED, 20.0)
    assert backend.is_open()


def test_leaving_notice_without_start_affects_the_newest_incarnation(
    backend: LocalBackend,
) -> None:
    backend.apply_heartbeat(RESTARTED, 10.0)
    backend.apply_leaving(LeavingNotice("i-1"), 20.0)
    assert not backend.is_open()


def test_heartbeats_without_start_are_ordered_by_sequence() -> None:
    backend = LocalBackend(DRAIN_MS)
    plain = attrs.evolve(FIRST, started_ms=None)
    backend.apply_heartbeat(plain, 0.0)
    backend.apply_heartbeat(attrs.evolve(plain, sequence=39, slots=9), 1.0)
    assert backend.slots == 4
    assert backend.incarnation == Incarnation(b"i-1")


def test_start_announced_after_a_probe_is_the_same_incarnation() -> None:
    backend = LocalBackend(DRAIN_MS)
    backend.discover("i-1", "shop", 4)
    before = backend.incarnation
    backend.apply_heartbeat(FIRST, 10.0)
    assert backend.incarnation.matches(before)
    assert backend.is_open()


STEPS = st.lists(
    st.tuples(
        st.sampled_from([1_000, 2_000, 3_000]),
        st.integers(1, 6),
        st.booleans(),
        st.booleans(),
    ),
    max_size=40,
)


@given(STEPS)
def test_newest_incarnation_wins_and_leaving_is_final(
    steps: list[tuple[int, int, bool, bool]],
) -> None:
    backend = LocalBackend(DRAIN_MS)
    newest = 0
    leaving: set[int] = set()
    for now_ms, (started_ms, sequence, leaves, by_notice) in enumerate(steps):
        if by_notice:
            backend.apply_leaving(LeavingNotice("i-1", started_ms), float(now_ms))
        else:
            beat = Heartbeat("i-1", "shop", sequence, 4, leaves, 0.0, started_ms)
            backend.apply_heartbeat(beat, float(now_ms))
        newest = max(newest, started_ms)
        if started_ms == newest and (leaves or by_notice):
            leaving.add(started_ms)
        assert backend.is_open() == (
            bool(backend.instance_id) and newest not in leaving
        )
        if backend.instance_id:
            assert backend.incarnation.started_ms == newest


def test_deaths_of_two_incarnations_with_one_id_count_twice() -> None:
    tracker = CrashTracker("127.0.0.1", count_servers=lambda service: 6)
    for now_ms, started_ms in ((0.0, 1_000), (20.0, 9_000)):
        request = attrs.evolve(crash_request(), server_started_ms=started_ms)
        tracker.record_connection_loss(request, now_ms)
        tracker.record_crash("shop", request.incarnation, now_ms + 1)
    assert tracker.is_quarantined(crash_request(), 30.0)


async def beat(mesh: MeshFleet, index: int, started_ms: int, **status: object) -> int:
    instance = mesh.instances[index]
    body = {
        "address": f"{instance.host}:7106",
        "information": {"service": "shop", "version": "v1", "zone": "z", "slots": 4},
        "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms", **status},
        "born": started_ms,
    }
    address = f"http://{instance.host}:7104/v1/instances/i-{index + 1}/heartbeat"
    async with mesh.session.post(address, json=body) as answer:
        return answer.status


async def test_restarted_server_is_used_by_all_nodes(
    mesh: MeshFleet,
) -> None:
    for index in range(3):
        assert await beat(mesh, index, 1_000, sequence=100) == 200
        assert await beat(mesh, index, 1_000, sequence=101, state="draining") == 200
    await asyncio.sleep(0.1)
    assert (await mesh.get(mesh.instances[0], "/read/1", "b0"))[0] == 503
    assert await beat(mesh, 1, 2_000) == 200
    assert await beat(mesh, 1, 1_000, sequence=102, state="draining") == 200
    await asyncio.sleep(0.1)
    for index, instance in enumerate(mesh.instances):
        assert (await mesh.get(instance, "/read/1", f"b{index + 1}"))[0] == 200
    assert mesh.instances[1].server.runs["b3"] == 1
