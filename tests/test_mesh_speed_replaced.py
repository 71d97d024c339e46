"""A backend server that is replaced while its speed is known to peers."""

import asyncio

from .fixtures_mesh import MeshFleet, MeshLines


async def test_a_replaced_server_does_not_stop_the_reports_of_its_node(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    """Guards against reports that fail once the speed of the former server is gone."""
    instance = mesh.instances[0]
    instance.server.work_percent = 100
    for number in range(30):
        await mesh.get(instance, "/read/1", f"q{number}")
        await mesh.get(mesh.instances[2], "/read/1", f"r{number}")
    instance.server.work_percent = 197
    instance.server.instance_id = "i-9"
    instance.beats = 0
    assert await instance.beat(mesh.session) == 200
    node = instance.node
    node.inbound.admission.speed.record(1.97, node.runtime.now_ms())
    node.schedule_state_broadcast()
    await asyncio.sleep(0.3)
    node.inbound.admission.clear_run_times()
    node.schedule_state_broadcast()
    await asyncio.sleep(1.0)
    peer = mesh.instances[2].node
    async with asyncio.timeout(5):
        while not any(
            one.incarnation.instance_id == b"i-9" and one.open
            for one in peer.members.endpoints("shop")
        ):
            await asyncio.sleep(0.05)
    assert not mesh_lines.of(9009, 9010)
