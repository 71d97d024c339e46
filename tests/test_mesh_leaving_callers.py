"""Callers who leave while their requests wait beside a server.

A read waited for a slot at the node beside a server, with less time left than a run
takes, and its caller left. The node had just taken that read off its books; it then
looked for waiting requests that had become late, was given this very one by the queue,
which still held it, and failed to find it. The fault came up where the message
"cancel" was being handled, and there it passed for a message that can't be read:

    {"event":9203,"message":"a message of a node can't be read",
     "cause":"KeyError(Ticket(route='read', priority=2, ...))"}

So the node reset the whole link. All requests that ran over it were cut, and their
callers got 502 for the sake of one who had left.
"""

import asyncio

from .fixtures_mesh import CALLER_PORT, MeshFleet, MeshInstance, caller_headers
from .test_mesh_faults import eventually
from .test_mesh_refusals import only, read

LONG_MS = 2_000.0
"""A run time that leaves no waiting read of this file the time to run."""


async def send_read(instance: MeshInstance, name: str) -> asyncio.StreamWriter:
    """Send a read whose caller can leave."""
    _, writer = await asyncio.open_connection(instance.host, CALLER_PORT)
    head = "\r\n".join(f"{k}: {v}" for k, v in caller_headers(name).items())
    writer.write(f"GET /read/1 HTTP/1.1\r\n{head}\r\n\r\n".encode())
    return writer


def set_long_run_time(instance: MeshInstance) -> None:
    """Let a node know that reads take long here."""
    admission = instance.node.inbound.admission
    admission.forget()
    admission.learn("read", LONG_MS)


async def test_disconnect_of_a_waiting_caller_affects_no_other_request(
    mesh: MeshFleet,
) -> None:
    serving, asked = mesh.instances[:2]
    await only(mesh, serving)
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
