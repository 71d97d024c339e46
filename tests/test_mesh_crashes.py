"""Quarantine of requests that crash backend servers."""

import asyncio

import pytest

from azurestep.mesh.backend.crashes import CrashTracker
from azurestep.mesh.incarnation import Incarnation
from azurestep.mesh.messages import Request

from .fixtures_mesh import MeshFleet, MeshInstance
from .test_mesh_faults import eventually

POISON = "/read/poison"


def request(target: bytes = b"/read/1", instance_id: bytes = b"i-1") -> Request:
    return Request(
        method=b"GET",
        target=target,
        headers=[],
        service="shop",
        instance_id=instance_id,
        route="read",
        request_id=b"r",
        calling_service=b"shop",
        idempotent=True,
        priority=2,
        remaining_ms=1000.0,
        objective_ms=400.0,
        sent_ms=0.0,
        length=0,
        whole=True,
        body=b"",
    )


@pytest.fixture
def tracker() -> CrashTracker:
    return CrashTracker("127.0.0.1", count_servers=lambda service: 6)


def crash(tracker: CrashTracker, request: Request, now_ms: float) -> None:
    tracker.record_connection_loss(request, now_ms)
    tracker.record_crash("shop", request.incarnation, now_ms + 1)


def test_a_request_in_flight_at_two_deaths_is_quarantined(
    tracker: CrashTracker,
) -> None:
    crash(tracker, request(), 0.0)
    assert not tracker.is_quarantined(request(), 10.0)
    crash(tracker, request(instance_id=b"i-2"), 20.0)
    assert tracker.is_quarantined(request(), 30.0)
    assert not tracker.is_quarantined(request(b"/read/2"), 30.0)


def test_a_connection_lost_to_a_live_server_is_no_death(
    tracker: CrashTracker,
) -> None:
    for name in (b"i-1", b"i-2", b"i-3"):
        tracker.record_connection_loss(request(instance_id=name), 0.0)
        tracker.record_alive("shop", Incarnation(name))
        tracker.record_crash("shop", Incarnation(name), 1.0)
    assert not tracker.is_quarantined(request(), 30.0)


def test_a_request_that_is_answered_is_cleared(tracker: CrashTracker) -> None:
    crash(tracker, request(), 0.0)
    tracker.record_answered(request(instance_id=b"i-2"), 10.0)
    crash(tracker, request(instance_id=b"i-3"), 20.0)
    assert not tracker.is_quarantined(request(), 30.0)


def test_updates_of_one_node_are_merged_by_another(tracker: CrashTracker) -> None:
    crash(tracker, request(), 0.0)
    crash(tracker, request(instance_id=b"i-2"), 20.0)
    other = CrashTracker("127.0.0.2", count_servers=lambda service: 6)
    for service, updates in tracker.export(30.0):
        other.merge(service, updates, 30.0)
    assert other.is_quarantined(request(), 40.0)


async def test_a_request_reaches_no_third_server_after_it_crashed_two(
    mesh: MeshFleet,
) -> None:
    crashed: list[str] = []

    def poisoned(instance: MeshInstance):  # type: ignore[no-untyped-def]
        def answer_override(received):  # type: ignore[no-untyped-def]
            crashed.append(instance.host)
            stops.append(asyncio.ensure_future(instance.server.stop()))

        return answer_override

    for index, instance in enumerate(mesh.instances):
        await mesh.get(instance, "/read/1", f"opens-a-connection-{index}")
    stops: list[asyncio.Future[None]] = []
    for instance in mesh.instances:
        instance.server.answer_override = poisoned(instance)
    status, _ = await mesh.get(mesh.instances[0], POISON, "x1")
    assert status == 502
    assert len(crashed) == 2
    survivor = next(item for item in mesh.instances if item.host not in crashed)
    is_quarantined = survivor.node.crashes.is_quarantined
    await eventually(lambda: is_quarantined(request(POISON.encode()), loop_ms()))
    for index, instance in enumerate(mesh.instances):
        status, _ = await mesh.get(instance, POISON, f"x{index + 2}")
        assert status == 503
    assert len(crashed) == 2


def loop_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
