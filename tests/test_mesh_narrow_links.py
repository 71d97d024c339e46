"""Versions get in force in time though a link needs seconds for a document."""

import asyncio
import os

import orjson
import pytest

from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC

from .fixtures_mesh import MeshFleet, document

PROPAGATION_S = 2.5
"""Bound of the users from the acknowledgement of a version until it is in force."""
SLACK_S = 0.5


def large_document(version: int, size_bytes: int) -> bytes:
    """Return a valid document of about a size, whose routes have random names."""
    routes = {}
    size = 0
    while size < size_bytes:
        name = os.urandom(8).hex()
        routes[name] = {
            "host": "shop.example",
            "path_prefix": f"/{name}/",
            "route_kind": "safe",
            "timeout": "1200ms",
            "max_attempts": 2,
            "service": "shop",
        }
        size += len(name) + len(orjson.dumps(routes[name]))
    return document(version, routes=routes)


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
