"""Callers that disconnect while their requests wait in the queue of a peer.

An internal error in handling the cancellation must not reset the link, which would fail
all other requests on it.
"""

import asyncio

from .fixtures_mesh import CALLER_PORT, MeshFleet, MeshInstance, caller_headers
from .test_mesh_faults import eventually
from .test_mesh_refusals import drain_all_but, read

LONG_MS = 2_000.0
"""Run time with which no waiting read can end in time."""


async def send_read(instance: MeshInstance, name: str) -> asyncio.StreamWriter:
    """Send a read on a connection that the test can close."""
    _, writer = await asyncio.open_connection(instance.host, CALLER_PORT)
    head = "\r\n".join(f"{k}: {v}" for k, v in caller_headers(name).items())
    writer.write(f"GET /read/1 HTTP/1.1\r\n{head}\r\n\r\n".encode())
    return writer


def set_long_run_time(instance: MeshInstance) -> None:
    """Set the run time that a node expects of reads."""
    admission = instance.node.inbound.admission
    admission.clear_run_times()
    admission.record_run("read", LONG_MS)


async def test_disconnect_of_a_waiting_caller_affects_no_other_request(
    mesh: MeshFleet,
) -> None:
    serving, asked = mesh.instances[:2]
    await drain_all_but(mesh, serving)
    serving.server.work_s = 0.5
    admission = serving.node.inbound.admission
    slots = serving.server.slots
    names = [f"stays-{index}" for index in range(slots)]
    reads = [asyncio.create_task(read(mesh, asked, name)) for name in names]
    await eventually(lambda: serving.server.running == slots)
    writer = await send_read(asked, "leaves")
    await eventually(lambda: admission.in_flight == slots + 1)
    set_long_run_time(serving)
    writer.close()
    assert await asyncio.gather(*reads) == [200] * slots
    assert [serving.server.runs[name] for name in names] == [1] * slots
    assert serving.server.runs["leaves"] == 0
    assert admission.in_flight == 0
