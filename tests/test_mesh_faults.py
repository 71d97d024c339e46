"""The request path under faults: drains, crashes, malformed answers, a lost store."""

import asyncio
import contextlib

import pytest
from aiohttp import ClientConnectorError

from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from standins.signing_server import Received, signed
from standins.store import Trouble

from .fixtures_mesh import MeshFleet, MeshInstance, caller_headers, document


async def pay(mesh: MeshFleet, instance: MeshInstance, name: str) -> int:
    async with mesh.session.post(
        instance.url("/pay/1"), data=b"x", headers=caller_headers(name)
    ) as answer:
        await answer.read()
        return answer.status


async def eventually(condition, seconds: float = 3.0) -> None:  # type: ignore[no-untyped-def]
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def test_leaving_server_gets_no_requests_and_none_fail(
    mesh: MeshFleet,
) -> None:
    leaving = mesh.instances[0]
    assert await leaving.beat(mesh.session, "draining") == 200
    await asyncio.sleep(0.1)
    before = len(leaving.server.received)
    for index in range(30):
        status, _ = await mesh.get(mesh.instances[index % 3], "/read/1", f"d{index}")
        assert status == 200
    assert len(leaving.server.received) == before


async def test_payment_at_a_crashing_server_runs_once(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.server.answer_override = lambda received: None
    assert await pay(mesh, mesh.instances[0], "k1") == 502
    assert sum(item.server.runs["k1"] for item in mesh.instances) == 1


async def test_read_at_a_crashing_server_is_retried_within_its_attempts(
    mesh: MeshFleet,
) -> None:
    mesh.instances[0].server.answer_override = lambda received: None
    statuses = [
        (await mesh.get(mesh.instances[0], "/read/1", f"t{index}"))[0]
        for index in range(5)
    ]
    assert statuses == [200] * 5
    for name in ("t0", "t1"):
        assert sum(item.server.runs[name] for item in mesh.instances) <= 2


def extra_answer(received: Received) -> bytes:
    other = Received("GET", "/", {"attempt-id": "somebody-else"}, b"")
    return signed(other, b"wrong") + signed(received, b"right")


def trailing_bytes(received: Received) -> bytes:
    return (
        signed(received, b"right") + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
    )


@pytest.mark.parametrize("answer_override", [extra_answer, trailing_bytes])
async def test_bytes_of_other_answers_reach_nobody(  # type: ignore[no-untyped-def]
    mesh: MeshFleet, answer_override
) -> None:
    for instance in mesh.instances:
        instance.server.answer_override = answer_override
    for index in range(12):
        answer = await mesh.get(mesh.instances[0], "/read/1", f"x{index}")
        assert answer == (200, b"right")


def cut_short(received: Received) -> bytes | None:
    return signed(received, b"a whole answer")[:-4]


def unsigned(received: Received) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"


@pytest.mark.parametrize("answer_override", [cut_short, unsigned])
async def test_malformed_answer_never_looks_whole(  # type: ignore[no-untyped-def]
    mesh: MeshFleet, answer_override
) -> None:
    for instance in mesh.instances:
        instance.server.answer_override = answer_override
    status, body = await mesh.get(mesh.instances[0], "/read/1", "u1", 600)
    assert status in (502, 504)
    assert body == b""


async def test_new_version_is_applied_at_all_nodes(mesh: MeshFleet) -> None:
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(8))
    await eventually(
        lambda: all(item.node.configuration.version == 8 for item in mesh.instances), 1
    )


async def test_new_version_arrives_after_the_reader_crashed(mesh: MeshFleet) -> None:
    reader = min(mesh.instances, key=lambda item: item.host)
    assert reader.task is not None
    reader.task.cancel()
    reader.node.abort()
    await reader.server.stop()
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(8))
    rest = [item for item in mesh.instances if item is not reader]
    await eventually(
        lambda: all(item.node.configuration.version == 8 for item in rest), 2
    )


@pytest.mark.parametrize("trouble", [Trouble.BUSY, Trouble.RESET, Trouble.SILENT])
async def test_requests_are_served_while_the_store_is_unavailable(
    mesh: MeshFleet, trouble: Trouble
) -> None:
    mesh.store.trouble = trouble
    assert (await mesh.get(mesh.instances[0], "/read/1", "s1"))[0] == 200
    assert await pay(mesh, mesh.instances[1], "s2") == 200


async def test_node_started_without_the_store_gets_the_configuration_from_peers(
    mesh: MeshFleet,
) -> None:
    mesh.store.trouble = Trouble.BUSY
    instance = mesh.instances[0]
    assert instance.task is not None
    instance.task.cancel()
    instance.node.abort()
    await asyncio.sleep(0.05)
    instance.node = mesh.new_node(instance)
    mesh.start_node(instance)
    await instance.node.listening.wait()
    await instance.beat(mesh.session)
    await eventually(lambda: instance.node.configuration.version == 3)
    await eventually(lambda: instance.node.members.count() == 3)
    assert (await mesh.get(instance, "/read/1", "w1"))[0] == 200


async def test_disconnect_cancels_the_run(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 1.0
    reader, writer = await asyncio.open_connection(mesh.instances[0].host, 7101)
    head = "\r\n".join(f"{k}: {v}" for k, v in caller_headers("g1").items())
    writer.write(f"GET /read/1 HTTP/1.1\r\n{head}\r\n\r\n".encode())
    await eventually(lambda: sum(item.server.running for item in mesh.instances) == 1)
    writer.close()
    await eventually(
        lambda: sum(item.server.running for item in mesh.instances) == 0, 0.5
    )


async def test_read_past_its_timeout_is_answered(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 3.0
    loop = asyncio.get_running_loop()
    began = loop.time()
    status, _ = await mesh.get(mesh.instances[0], "/read/1", "o1", 2500)
    assert status == 504
    assert 1.1 < loop.time() - began < 1.6


async def test_shutdown_completes_requests_in_flight(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 0.4
    instance = mesh.instances[0]
    calls = [
        asyncio.create_task(mesh.get(instance, "/read/1", f"q{index}"))
        for index in range(4)
    ]
    await asyncio.sleep(0.1)
    instance.node.stop()
    assert not instance.node.is_ready()
    assert [status for status, _ in await asyncio.gather(*calls)] == [200] * 4


def block_sending(instance: MeshInstance) -> None:
    """Drop what a node sends to its peers; it still receives."""
    for link in list(instance.node.incoming_links.links):
        link.write = lambda data: None  # type: ignore[method-assign]


async def test_payments_succeed_despite_a_one_way_partition(mesh: MeshFleet) -> None:
    caller, silent, healthy = mesh.instances
    await caller.beat(mesh.session, "draining")
    await asyncio.sleep(0.05)
    block_sending(silent)
    statuses = await asyncio.gather(
        *(pay(mesh, caller, f"c{index}") for index in range(6))
    )
    assert statuses == [200] * 6
    for index in range(6):
        runs = [item.server.runs[f"c{index}"] for item in mesh.instances]
        assert runs == [0, 0, 1]


async def test_reads_are_retried_before_their_objective_if_a_node_is_silent(
    mesh: MeshFleet,
) -> None:
    caller, silent, _ = mesh.instances
    await caller.beat(mesh.session, "draining")
    await asyncio.sleep(0.05)
    block_sending(silent)
    loop = asyncio.get_running_loop()
    began = loop.time()
    answers = await asyncio.gather(
        *(mesh.get(caller, "/read/1", f"h{index}") for index in range(4))
    )
    assert [status for status, _ in answers] == [200] * 4
    assert loop.time() - began < 0.45


async def send_until_closed(
    mesh: MeshFleet, instance: MeshInstance, name: str
) -> set[int]:
    """Send requests one after the other until the node accepts no connections."""
    statuses = set()
    with contextlib.suppress(ClientConnectorError):
        for index in range(1000):
            status, _ = await mesh.get(instance, "/read/1", f"{name}-{index}")
            statuses.add(status)
    return statuses


async def test_shutdown_under_load_answers_all_requests(
    mesh: MeshFleet,
) -> None:
    for item in mesh.instances:
        item.server.work_s = 0.2
    instance = mesh.instances[0]
    callers = [
        asyncio.create_task(send_until_closed(mesh, instance, f"w{index}"))
        for index in range(3)
    ]
    instance.node.stop()
    assert instance.task is not None
    await asyncio.wait_for(instance.task, 4)
    instance.node.abort()
    for statuses in await asyncio.gather(*callers):
        assert 200 in statuses <= {200, 503}
