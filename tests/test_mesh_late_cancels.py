"""Runs end soon after their callers have left, also where cancels come late."""

import asyncio

from azurestep.mesh.messages import Kind, encode

from .fixtures_mesh import MeshFleet, MeshLines
from .test_mesh_departed_callers import encode_link_request, now_ms, open_link
from .test_mesh_faults import eventually

DELAY_MS = 600.0


async def test_line_of_a_cancel_tells_how_late_it_came(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    # Without it, a late cancel looks like a caller that left late.
    instance = mesh.instances[0]
    instance.server.work_s = 5.0
    link = await open_link(instance)
    for stream_id, delay_ms in ((1, 0.0), (2, DELAY_MS)):
        link.sendall(encode_link_request(instance, f"left-{stream_id}", stream_id))
        await eventually(lambda: instance.server.running == 1)
        link.sendall(encode(Kind.CANCEL, stream_id, now_ms() - delay_ms))
        await eventually(lambda: instance.server.running == 0)
    await asyncio.sleep(0.15)
    told_ms = [line["cancel_late_ms"] for line in mesh_lines.of(9504)]
    assert told_ms[0] < DELAY_MS / 2 < told_ms[1]
    metrics = instance.node.runtime.metrics.text()
    assert 'azurestep_cancel_late_ms_bucket{le="400"} 1' in metrics
    assert "azurestep_cancel_late_ms_count 2" in metrics
    link.close()
