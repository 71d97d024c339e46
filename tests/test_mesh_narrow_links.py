"""Versions get in force in time though a link needs seconds for a document."""

import asyncio

import orjson
import pytest

from azurestep.mesh.knowledge.configuration import Origin
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC

from .fixtures_mesh import MeshFleet, MeshInstance, large_document

PROPAGATION_S = 2.5
"""Bound of the users from the acknowledgement of a version until it is in force."""
SLACK_S = 0.5


def publish(mesh: MeshFleet, content: bytes) -> None:
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)


async def wait_until_in_force(mesh: MeshFleet, version: int, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while any(item.node.configuration.version < version for item in mesh.instances):
            await asyncio.sleep(0.01)


@pytest.fixture
def narrow_store(mesh: MeshFleet) -> MeshFleet:
    """Return the fleet, with links to the store that carry 100 kB a second."""
    mesh.store.link_bytes_per_s = 100_000.0
    return mesh


async def test_a_document_that_takes_seconds_to_read_gets_in_force(
    narrow_store: MeshFleet,
) -> None:
    publish(narrow_store, large_document(10, 210_000))
    await wait_until_in_force(narrow_store, 10, PROPAGATION_S + SLACK_S)
    assert narrow_store.instances[0].node.configuration_watcher.store_reachable


async def test_a_node_without_peers_reads_a_document_that_takes_seconds(
    narrow_store: MeshFleet,
) -> None:
    publish(narrow_store, large_document(10, 140_000))
    for instance in narrow_store.instances:
        assert instance.task is not None
        instance.task.cancel()
        instance.node.abort()
    await asyncio.sleep(0.05)
    alone = narrow_store.instances[0]
    alone.node = narrow_store.new_node(alone)
    narrow_store.start_node(alone)
    async with asyncio.timeout(PROPAGATION_S + SLACK_S):
        while alone.node.configuration.version < 10:
            await asyncio.sleep(0.01)


async def test_the_last_version_of_a_storm_gets_in_force_in_time(
    narrow_store: MeshFleet,
) -> None:
    for version in range(10, 40):
        publish(narrow_store, large_document(version, 50_000))
        await asyncio.sleep(0.05)
    await wait_until_in_force(narrow_store, 39, PROPAGATION_S)


ROLLOUT_KEY = "rollout/shop"


def order(number: int) -> bytes:
    """Return the order of a roll-out, as one of another service."""
    fields = {"service": "shop", "new_version": f"v{number}", "duration": "9s"}
    return orjson.dumps(fields)


@pytest.mark.parametrize("after_order", [0, 1, 5])
@pytest.mark.parametrize("orders", [1, 2])
async def test_orders_between_overtaken_versions_are_not_lost(
    narrow_store: MeshFleet, orders: int, after_order: int
) -> None:
    watcher = narrow_store.instances[0].node.configuration_watcher
    applied: list[tuple[str, bytes, bool]] = []
    watcher.apply_order = lambda key, value, offset, live: applied.append(
        (key, value, live)
    )
    publish(narrow_store, large_document(10, 70_000))
    await asyncio.sleep(0.05)
    for version in range(11, 16):
        publish(narrow_store, large_document(version, 70_000))
    for number in range(orders):
        narrow_store.store.put(OPERATOR_TOPIC, ROLLOUT_KEY, order(number))
    for version in range(16, 16 + after_order):
        publish(narrow_store, large_document(version, 70_000))
    await wait_until_in_force(narrow_store, 15 + after_order, 4.0)
    async with asyncio.timeout(2.0):
        while (ROLLOUT_KEY, order(orders - 1), True) not in applied:
            await asyncio.sleep(0.01)
    assert [key for key, _, _ in applied] == [ROLLOUT_KEY] * len(applied)


async def test_a_document_beyond_the_size_of_a_read_is_read(
    narrow_store: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("standins.store._up_to", lambda records, size_bytes: [])
    publish(narrow_store, large_document(10, 50_000))
    await wait_until_in_force(narrow_store, 10, PROPAGATION_S)


async def test_a_reader_that_takes_over_gets_the_document_in_time(
    narrow_store: MeshFleet,
) -> None:
    """It had its last version from the former reader, not from the store."""
    *others, heir = narrow_store.instances
    async with asyncio.timeout(PROPAGATION_S):
        while heir.node.configuration_watcher.is_reader:
            await asyncio.sleep(0.05)
    publish(narrow_store, large_document(10, 100_000))
    await wait_until_in_force(narrow_store, 10, PROPAGATION_S)
    for instance in others:
        await stop_instance(instance)
    publish(narrow_store, large_document(11, 205_000))
    async with asyncio.timeout(PROPAGATION_S):
        while heir.node.configuration.version < 11:
            await asyncio.sleep(0.01)


async def stop_instance(instance: MeshInstance) -> None:
    assert instance.task is not None
    instance.task.cancel()
    instance.node.abort()
    await instance.server.stop()


async def test_a_restarted_node_gets_a_document_from_its_peers_alone(
    narrow_store: MeshFleet,
) -> None:
    document = large_document(10, 150_000)
    publish(narrow_store, document)
    await wait_until_in_force(narrow_store, 10, 6.0)
    await asyncio.sleep(1.1)
    before = narrow_store.store.sent_bytes
    restarted = narrow_store.instances[2]
    assert restarted.task is not None
    restarted.task.cancel()
    restarted.node.abort()
    await asyncio.sleep(0.05)
    restarted.node = narrow_store.new_node(restarted)
    narrow_store.start_node(restarted)
    async with asyncio.timeout(0.5):
        while restarted.node.configuration.version < 10:
            await asyncio.sleep(0.01)
    assert restarted.node.configuration.origin is Origin.LOCAL_PEER
    await asyncio.sleep(0.5)
    assert narrow_store.store.sent_bytes - before < len(document) / 10
