"""A request that moves on a doubt keeps its first run until another answer is there.

A read had run for 204 ms at a server whose node had just started and owed an answer to
a probe for 0.2 s. The node that had sent it cancelled the run and asked another one,
which was full, and its caller got 502: "request goes to another backend server",
LINK_LOST, after 298 ms; "run cancelled by the node that sent it, before its answer",
run_ms 204; "run refused beside the backend server", OVERLOADED. The first node had been
alive all the time. Where the asked node was stopping, that cut a request of a planned
stop.
"""

import asyncio

import pytest

from azurestep.mesh.links.connection import PeerConnection
from standins.signing_server import Received, signed

from .fixtures_mesh import MeshFleet, MeshInstance
from .test_mesh_faults import eventually, silence
from .test_mesh_refusals import only, read


def speak_again(instance: MeshInstance) -> None:
    """Let a silenced node's answers through again."""
    for server in list(instance.node.incoming_links.links):
        vars(server).pop("write", None)


async def reopen(mesh: MeshFleet, instance: MeshInstance) -> None:
    """Start another backend server beside a node whose first one left."""
    instance.server.instance_id += "b"
    await instance.beat(mesh.session)
    await eventually(
        lambda: all(
            sum(one.open for one in item.node.members.endpoints("shop")) == 2
            for item in mesh.instances
        )
    )


async def run_at_one(mesh: MeshFleet, work_s: float = 1.0) -> asyncio.Task[int]:
    """Begin a read that runs at the first instance, then open the second one too."""
    serving, other, asking = mesh.instances
    await only(mesh, serving)
    serving.server.work_s = work_s
    task = asyncio.create_task(read(mesh, asking, "m1"))
    await eventually(lambda: serving.server.runs["m1"] == 1)
    await reopen(mesh, other)
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


@pytest.mark.parametrize("misbehave", [refuse, drop, error])
async def test_the_first_run_s_answer_counts_where_the_second_server_has_none(
    mesh: MeshFleet, misbehave
) -> None:  # type: ignore[no-untyped-def]
    serving, other, _ = mesh.instances
    other.server.misbehave = misbehave
    task = await run_at_one(mesh)
    silence(serving)
    await eventually(lambda: other.server.runs["m1"] == 1, 0.6)
    speak_again(serving)
    assert await task == 200
    assert serving.server.runs["m1"] == 1
    assert serving.server.cancelled == 0


async def test_the_first_answer_counts_and_the_other_run_is_cancelled(
    mesh: MeshFleet,
) -> None:
    serving, other, _ = mesh.instances
    other.server.work_s = 1.0
    task = await run_at_one(mesh, work_s=0.6)
    silence(serving)
    await eventually(lambda: other.server.runs["m1"] == 1, 0.6)
    speak_again(serving)
    assert await task == 200
    await eventually(lambda: other.server.cancelled == 1, 0.3)


async def test_the_first_run_is_cancelled_once_the_second_one_has_answered(
    mesh: MeshFleet,
) -> None:
    serving, other, _ = mesh.instances
    other.server.work_s = 0.1
    task = await run_at_one(mesh, work_s=1.1)
    silence(serving)
    assert await task == 200
    assert other.server.runs["m1"] == 1
    await eventually(lambda: serving.server.cancelled == 1, 0.3)


async def test_a_caller_who_leaves_stops_both_runs(mesh: MeshFleet) -> None:
    serving, other, _ = mesh.instances
    other.server.work_s = 1.0
    task = await run_at_one(mesh)
    silence(serving)
    await eventually(lambda: other.server.runs["m1"] == 1, 0.6)
    task.cancel()
    await eventually(
        lambda: serving.server.cancelled == other.server.cancelled == 1, 0.4
    )


async def test_a_silent_connection_is_closed_once_nothing_waits_on_it(
    mesh: MeshFleet,
) -> None:
    serving, _, asking = mesh.instances
    await only(mesh, serving)
    serving.server.work_s = 1.0
    link = asking.node.members.links[serving.node.settings.peer_address]
    silent = link.connection
    assert isinstance(silent, PeerConnection)
    task = asyncio.create_task(read(mesh, asking, "c1"))
    await eventually(lambda: serving.server.runs["c1"] == 1)
    silence(serving)
    await eventually(lambda: link.connection is not silent, 1.0)
    speak_again(serving)
    assert await task == 200
    await eventually(silent._transport.is_closing, 0.3)


async def test_a_request_that_came_back_to_its_first_run_may_run_once_more(
    mesh: MeshFleet,
) -> None:
    serving, other, asking = mesh.instances
    other.node.inbound.admission.drain_deadline_ms = 0.0
    task = await run_at_one(mesh)
    silence(serving)
    await eventually(lambda: other.node.inbound.load.refused > 0, 0.6)
    asking.server.instance_id += "b"
    await asking.beat(mesh.session)
    await eventually(lambda: asking.node.inbound.open, 0.3)
    for server in list(serving.node.incoming_links.links):
        server.abort()
    assert await task == 200
    assert other.server.runs["m1"] == 0
    assert asking.server.runs["m1"] == 1


async def test_a_request_that_ran_nowhere_after_a_doubt_is_refused_as_such(
    mesh: MeshFleet,
) -> None:
    serving, other, asking = mesh.instances
    await only(mesh, serving)
    serving.server.work_s = 0.9
    held = [asyncio.create_task(read(mesh, serving, f"h{index}")) for index in range(4)]
    await eventually(lambda: serving.server.running == 4)
    task = asyncio.create_task(read(mesh, asking, "n1"))
    await eventually(lambda: serving.node.inbound.admission.in_flight == 5)
    other.node.inbound.admission.drain_deadline_ms = 0.0
    await reopen(mesh, other)
    silence(serving)
    await eventually(lambda: other.node.inbound.load.refused > 0, 0.6)
    speak_again(serving)
    serving.node.inbound.stop(0.0)
    assert await task == 503
    assert serving.server.runs["n1"] == other.server.runs["n1"] == 0
    assert await asyncio.gather(*held) == [200] * 4
