"""Idle connections that the backend server may have closed."""

import asyncio

import pytest

from azurestep.http.client import (
    MIN_REUSE_LIMIT_MS,
    REUSE_LIMIT_RESET_S,
    ClientConnection,
    IdlePool,
)

from .fixtures_mesh import MeshFleet


@pytest.fixture
def idle() -> IdlePool:
    return IdlePool(8000.0)


def test_a_connection_idle_beyond_the_reuse_limit_is_not_taken(
    idle: IdlePool,
) -> None:
    idle.reduce_reuse_limit(300.0, 0.0)
    idle.put(ClientConnection(), 0.0)
    assert idle.take(0.2) is None
    idle.put(ClientConnection(), 1.0)
    assert idle.take(1.1) is not None


def test_the_reuse_limit_only_falls_until_it_is_reset(idle: IdlePool) -> None:
    idle.reduce_reuse_limit(300.0, 0.0)
    idle.reduce_reuse_limit(2000.0, 1.0)
    assert idle.reuse_limit_ms == pytest.approx(180.0)
    idle.reduce_reuse_limit(1.0, 2.0)
    assert idle.reuse_limit_ms == MIN_REUSE_LIMIT_MS
    idle.sweep(2.0 + REUSE_LIMIT_RESET_S + 0.1)
    assert idle.reuse_limit_ms == 8000.0


async def test_no_payment_uses_a_connection_as_old_as_one_that_was_reset(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    for other in mesh.instances[1:]:
        await other.beat(mesh.session, "draining")
    await mesh.get(instance, "/read/1", "first")
    await asyncio.sleep(0.4)
    instance.server.forget_connections()
    await mesh.get(instance, "/read/1", "second")
    reuse_limit_ms = instance.node.inbound.connections.idle.reuse_limit_ms
    assert reuse_limit_ms < 400.0
    await mesh.get(instance, "/read/1", "third")
    await asyncio.sleep(0.4)
    instance.server.forget_connections()
    async with mesh.session.post(
        instance.url("/pay/1"),
        data=b"x",
        headers={
            "Host": "shop.example",
            "Attempt-Id": "p1",
            "Deadline-Milliseconds": "1500",
        },
    ) as answer:
        assert answer.status == 200
    assert instance.server.runs["p1"] == 1
