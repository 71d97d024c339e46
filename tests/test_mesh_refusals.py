"""A refusal is true, and what has not run is refused, also at the deadline."""

import asyncio

import pytest

from .fixtures_mesh import MeshFleet, MeshInstance
from .test_mesh_faults import eventually, pay, silence


async def only(mesh: MeshFleet, serving: MeshInstance) -> None:
    """Leave one backend server open, whose requests are known to be short."""
    for instance in mesh.instances:
        if instance is not serving:
            await instance.beat(mesh.session, "draining")
    await asyncio.sleep(0.05)
    for index in range(6):
        await mesh.get(mesh.instances[0], "/read/1", f"short-{index}")


async def read(mesh: MeshFleet, instance: MeshInstance, name: str) -> int:
    return (await mesh.get(instance, "/read/1", name, 1300))[0]


@pytest.mark.parametrize("asked", [0, 1])
async def test_what_waits_at_its_timeout_is_refused_and_what_runs_fails(
    mesh: MeshFleet, asked: int
) -> None:
    serving = mesh.instances[0]
    await only(mesh, serving)
    serving.server.work_s = 3.0
    names = [f"w{index}" for index in range(8)]
    statuses = await asyncio.gather(
        *(read(mesh, mesh.instances[asked], name) for name in names)
    )
    for name, status in zip(names, statuses, strict=True):
        assert status == (504 if serving.server.runs[name] else 503)
    assert statuses.count(504) == serving.server.slots


async def test_payments_that_wait_at_their_timeout_are_refused(
    mesh: MeshFleet,
) -> None:
    serving = mesh.instances[0]
    await only(mesh, serving)
    serving.server.work_s = 3.0
    names = [f"p{index}" for index in range(8)]
    statuses = await asyncio.gather(
        *(pay(mesh, mesh.instances[1], name) for name in names)
    )
    for name, status in zip(names, statuses, strict=True):
        assert status == (504 if serving.server.runs[name] else 503)
    await asyncio.sleep(0.3)
    assert sum(serving.server.runs[name] for name in names) == statuses.count(504)


async def test_a_node_that_does_not_say_whether_it_ran_is_not_waited_for(
    mesh: MeshFleet,
) -> None:
    serving = mesh.instances[0]
    await only(mesh, serving)
    serving.server.work_s = 3.0
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    task = asyncio.create_task(read(mesh, mesh.instances[1], "s1"))
    await eventually(lambda: serving.server.runs["s1"] == 1)
    silence(serving)
    assert await task in (502, 504)
    assert loop.time() - began_s < 1.45


async def test_waiting_requests_are_refused_when_a_slot_is_freed_too_late(
    mesh: MeshFleet,
) -> None:
    serving = mesh.instances[0]
    await only(mesh, serving)
    serving.server.work_s = 1.15
    names = [f"t{index}" for index in range(8)]
    statuses = await asyncio.gather(*(read(mesh, serving, name) for name in names))
    for name, status in zip(names, statuses, strict=True):
        assert (status == 503) == (serving.server.runs[name] == 0)


async def test_a_run_is_not_given_up_for_a_silent_link_without_another_way(
    mesh: MeshFleet,
) -> None:
    serving = mesh.instances[0]
    await only(mesh, serving)
    serving.server.work_s = 1.0
    task = asyncio.create_task(read(mesh, mesh.instances[1], "g1"))
    await eventually(lambda: serving.server.runs["g1"] == 1)
    silence(serving)
    await asyncio.sleep(0.85)
    for server in list(serving.node.incoming_links.links):
        vars(server).pop("write", None)
    assert await task == 200
    assert serving.server.runs["g1"] == 1
