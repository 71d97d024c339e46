"""A request retried because its peer is unresponsive keeps its earlier run.

Cancelled at once, the run is lost although the peer may be alive, and the caller gets
502 if the other backend servers have no capacity.
"""

import asyncio

import pytest

from azurestep.mesh.links.connection import PeerConnection
from standins.signing_server import Received, signed

from .fixtures_mesh import MeshFleet, MeshInstance
from .test_mesh_faults import block_sending, eventually
from .test_mesh_refusals import drain_all_but, read


def unblock_sending(instance: MeshInstance) -> None:
    """Let a node send to its peers again."""
    for link in list(instance.node.incoming_links.links):
        vars(link).pop("write", None)


async def start_another_server(mesh: MeshFleet, instance: MeshInstance) -> None:
    """Start another backend server beside a node whose former one has left."""
    instance.server.instance_id += "b"
    await instance.beat(mesh.session)
    await eventually(
        lambda: all(
            sum(one.open for one in item.node.members.endpoints("shop")) == 2
            for item in mesh.instances
        )
    )


async def start_run_at_first(mesh: MeshFleet, work_s: float = 1.0) -> asyncio.Task[int]:
    """Start a read at the first instance, then open the second one too."""
    serving, other, asking = mesh.instances
    await drain_all_but(mesh, serving)
    serving.server.work_s = work_s
    task = asyncio.create_task(read(mesh, asking, "m1"))
    await eventually(lambda: serving.server.runs["m1"] == 1)
    await start_another_server(mesh, other)
    return task


def refuse(received: Received) -> bytes:
    name = received.headers["attempt-id"]
    return (
        f"HTTP/1.1 503 X\r\nAttempt-Id: {name}\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def drop(received: Received) -> None:
    return None


def error(received: Received) -> bytes:
    return signed(received, b"broken", 500)


@pytest.mark.parametrize("answer_override", [refuse, drop, error])
async def test_earlier_run_answers_if_the_second_server_does_not(
    mesh: MeshFleet, answer_override
) -> None:  # type: ignore[no-untyped-def]
    serving, other, _ = mesh.instances
    other.server.answer_override = answer_override
    task = await start_run_at_first(mesh)
    block_sending(serving)
    await eventually(lambda: other.server.runs["m1"] == 1, 0.6)
    unblock_sending(serving)
    assert await task == 200
    assert serving.server.runs["m1"] == 1
    assert serving.server.cancelled == 0


async def test_later_run_is_cancelled_once_the_earlier_one_answers(
    mesh: MeshFleet,
) -> None:
    serving, other, _ = mesh.instances
    other.server.work_s = 1.0
    task = await start_run_at_first(mesh, work_s=0.6)
    block_sending(serving)
    await eventually(lambda: other.server.runs["m1"] == 1, 0.6)
    unblock_sending(serving)
    assert await task == 200
    await eventually(lambda: other.server.cancelled == 1, 0.3)


async def test_earlier_run_is_cancelled_once_the_later_one_answers(
    mesh: MeshFleet,
) -> None:
    serving, other, _ = mesh.instances
    other.server.work_s = 0.1
    task = await start_run_at_first(mesh, work_s=1.1)
    block_sending(serving)
    assert await task == 200
    assert other.server.runs["m1"] == 1
    await eventually(lambda: serving.server.cancelled == 1, 0.3)


async def test_disconnect_cancels_both_runs(mesh: MeshFleet) -> None:
    serving, other, _ = mesh.instances
    other.server.work_s = 1.0
    task = await start_run_at_first(mesh)
    block_sending(serving)
    await eventually(lambda: other.server.runs["m1"] == 1, 0.6)
    task.cancel()
    await eventually(
        lambda: serving.server.cancelled == other.server.cancelled == 1, 0.4
    )


async def test_retired_connection_is_closed_once_nothing_waits_on_it(
    mesh: MeshFleet,
) -> None:
    serving, _, asking = mesh.instances
    await drain_all_but(mesh, serving)
    serving.server.work_s = 1.0
    link = asking.node.members.links[serving.node.settings.peer_address]
    silent = link.connection
    assert isinstance(silent, PeerConnection)
    task = asyncio.create_task(read(mesh, asking, "c1"))
    await eventually(lambda: serving.server.runs["c1"] == 1)
    block_sending(serving)
    await eventually(lambda: link.connection is not silent, 1.0)
    unblock_sending(serving)
    assert await task == 200
    await eventually(silent._transport.is_closing, 0.3)


async def test_request_that_resumed_its_earlier_run_may_be_retried_again(
    mesh: MeshFleet,
) -> None:
    serving, other, asking = mesh.instances
    other.node.inbound.admission.drain_deadline_ms = 0.0
    task = await start_run_at_first(mesh)
    block_sending(serving)
    await eventually(lambda: other.node.inbound.load.refused > 0, 0.6)
    asking.server.instance_id += "b"
    await asking.beat(mesh.session)
    await eventually(lambda: asking.node.inbound.open, 0.3)
    for link in list(serving.node.incoming_links.links):
        link.abort()
    assert await task == 200
    assert other.server.runs["m1"] == 0
    assert asking.server.runs["m1"] == 1


async def test_request_that_ran_nowhere_is_refused_after_its_peer_was_unresponsive(
    mesh: MeshFleet,
) -> None:
    serving, other, asking = mesh.instances
    await drain_all_but(mesh, serving)
    serving.server.work_s = 0.9
    running = [
        asyncio.create_task(read(mesh, serving, f"h{index}")) for index in range(4)
    ]
    await eventually(lambda: serving.server.running == 4)
    task = asyncio.create_task(read(mesh, asking, "n1"))
    await eventually(lambda: serving.node.inbound.admission.in_flight == 5)
    other.node.inbound.admission.drain_deadline_ms = 0.0
    await start_another_server(mesh, other)
    block_sending(serving)
    await eventually(lambda: other.node.inbound.load.refused > 0, 0.6)
    unblock_sending(serving)
    serving.node.inbound.begin_shutdown(0.0)
    assert await task == 503
    assert serving.server.runs["n1"] == other.server.runs["n1"] == 0
    assert await asyncio.gather(*running) == [200] * 4
