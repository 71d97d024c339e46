"""Restart of a node while its backend server keeps running."""

import asyncio

import attrs
import pytest

from azurestep.mesh.backend.state import LocalBackend
from azurestep.mesh.knowledge import configuration_watcher
from azurestep.mesh.knowledge.configuration import Origin
from azurestep.platform.announcement import Heartbeat, LeavingNotice

from .fixtures_mesh import MeshFleet, MeshInstance

HEARTBEAT = Heartbeat("i-1", "shop", 7, 4, False, 0.0)
DRAIN_MS = 2000.0


async def restart(mesh: MeshFleet, instance: MeshInstance) -> None:
    assert instance.task is not None
    instance.task.cancel()
    instance.node.abort()
    await asyncio.sleep(0.05)
    instance.node = mesh.new_node(instance)
    mesh.start_node(instance)
    await instance.node.listening.wait()


async def test_backend_server_is_used_before_its_next_heartbeat(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    await restart(mesh, instance)
    async with asyncio.timeout(1.4):
        while not instance.node.inbound.open:
            await asyncio.sleep(0.02)
    backend = instance.node.backend
    assert (backend.instance_id, backend.service, backend.slots) == ("i-1", "shop", 4)


async def test_unhealthy_backend_server_is_not_used(mesh: MeshFleet) -> None:
    instance = mesh.instances[0]
    instance.server.healthy = False
    await restart(mesh, instance)
    await asyncio.sleep(1.0)
    assert not instance.node.inbound.open


def test_heartbeat_overrides_a_probe() -> None:
    backend = LocalBackend(DRAIN_MS)
    assert backend.discover("i-1", "shop", 4)
    backend.apply_heartbeat(
        attrs.evolve(HEARTBEAT, slots=9, cold_remaining_ms=500.0), 10.0
    )
    assert backend.slots == 9
    assert backend.cold_remaining_ms(10.0) == 500.0


def test_probe_does_not_override_a_heartbeat() -> None:
    backend = LocalBackend(DRAIN_MS)
    backend.apply_heartbeat(HEARTBEAT, 0.0)
    assert not backend.discover("i-2", "shop", 4)
    assert backend.instance_id == "i-1"


@pytest.mark.parametrize(
    "notice",
    [attrs.evolve(HEARTBEAT, leaving=True), LeavingNotice("i-1")],
    ids=["beat", "end"],
)
def test_server_first_seen_leaving_gets_no_requests(
    notice: Heartbeat | LeavingNotice,
) -> None:
    backend = LocalBackend(DRAIN_MS)
    if isinstance(notice, Heartbeat):
        backend.apply_heartbeat(notice, 100.0)
    else:
        backend.apply_leaving(notice, 100.0)
    backend.apply_heartbeat(attrs.evolve(HEARTBEAT, sequence=8), 110.0)
    assert not backend.discover("i-1", "shop", 4)
    assert not backend.admits(120.0)


def test_server_leaving_after_its_discovery_drains_for_half_the_limit() -> None:
    backend = LocalBackend(DRAIN_MS)
    backend.discover("i-1", "shop", 4)
    backend.apply_leaving(LeavingNotice("i-1"), 100.0)
    assert not backend.is_open()
    assert backend.admits(150.0)
    assert not backend.admits(100.0 + DRAIN_MS)


async def test_a_restarted_fleet_reads_the_configuration_without_waiting(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusing all requests while nodes wait for one another."""
    monkeypatch.setattr(configuration_watcher, "PEER_WAIT_S", 30.0)
    for instance in mesh.instances:
        assert instance.task is not None
        instance.task.cancel()
        instance.node.abort()
    await asyncio.sleep(0.05)
    for instance in mesh.instances:
        instance.node = mesh.new_node(instance)
        mesh.start_node(instance)
    async with asyncio.timeout(10):
        while not all(one.node.configuration.version for one in mesh.instances):
            await asyncio.sleep(0.02)


async def test_a_node_that_restarts_alone_leaves_the_store_alone(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a read of the whole document for each restarted node."""
    monkeypatch.setattr(configuration_watcher, "PEER_WAIT_S", 30.0)
    await restart(mesh, mesh.instances[0])
    async with asyncio.timeout(10):
        while not mesh.instances[0].node.configuration.version:
            await asyncio.sleep(0.02)
    assert mesh.instances[0].node.configuration.origin is not Origin.STORE
