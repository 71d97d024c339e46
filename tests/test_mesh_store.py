"""Outcomes of store calls, including repeated and late appends."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from azurestep.platform.store import (
    Appended,
    Conflict,
    Fenced,
    LatestRecords,
    OutOfSequence,
    Producer,
    Records,
    Refused,
    StoreClient,
    Truncated,
    Unanswered,
)
from azurestep.platform.topics import MEMBERS_TOPIC
from standins.store import StoreStandIn, Trouble

from .fixtures_mesh import STORE_HOST, STORE_PORT, MeshFleet
from .test_mesh_faults import eventually

TOPIC = "log"


@pytest_asyncio.fixture
async def client(mesh_store: StoreStandIn) -> AsyncIterator[StoreClient]:
    mesh_store.era = None  # as older stores, which name no era
    loop = asyncio.get_running_loop()
    client = StoreClient(loop, (STORE_HOST, STORE_PORT), lambda kind: None)
    yield client
    client.close()


async def test_appended_records_are_read_back(client: StoreClient) -> None:
    assert await client.append(TOPIC, [b"a", b"bc"]) == Appended(0, 2)
    assert await client.read(TOPIC, 0, 0) == Records([b"a", b"bc"], 2, 2)


async def test_append_at_another_offset_is_a_conflict(
    client: StoreClient,
) -> None:
    await client.append(TOPIC, [b"a"])
    assert await client.append(TOPIC, [b"b"], at=0) == Conflict(1)
    assert await client.append(TOPIC, [b"b"], at=1) == Appended(1, 2)


async def test_repeated_append_is_stored_once(client: StoreClient) -> None:
    first = await client.append(TOPIC, [b"a"], producer=Producer("p", 7, 0))
    assert await client.append(TOPIC, [b"a"], producer=Producer("p", 7, 0)) == first
    assert await client.read(TOPIC, 0, 0) == Records([b"a"], 1, 1)


async def test_sequence_gap_and_earlier_epoch_are_distinguished(
    client: StoreClient,
) -> None:
    await client.append(TOPIC, [b"a"], producer=Producer("p", 7, 0))
    gap = await client.append(TOPIC, [b"c"], producer=Producer("p", 7, 2))
    assert gap == OutOfSequence(1)
    older = await client.append(TOPIC, [b"b"], producer=Producer("p", 6, 1))
    assert older == Fenced()


async def test_read_of_truncated_log_returns_its_first_offset(
    client: StoreClient, mesh_store: StoreStandIn
) -> None:
    await client.append(TOPIC, [b"a", b"b"])
    mesh_store.topic(TOPIC).truncate()
    assert await client.read(TOPIC, 0, 0) == Truncated(2)


async def test_all_pages_of_keys_are_read(
    client: StoreClient, mesh_store: StoreStandIn
) -> None:
    mesh_store.page_items = 2
    for index in range(5):
        mesh_store.put("keyed.some", f"k{index}", b"v")
    newest = await client.read_latest("keyed.some")
    assert isinstance(newest, LatestRecords)
    assert [item.key for item in newest.items] == [f"k{index}" for index in range(5)]


@pytest.mark.parametrize(
    ("trouble", "outcome"),
    [
        (Trouble.BUSY, Refused(503)),
        (Trouble.THROTTLED, Refused(429)),
        (Trouble.RESET, Unanswered),
        (Trouble.SILENT, Unanswered),
        (Trouble.ANSWER_LOST, Unanswered),
        (Trouble.LATE, Unanswered),
    ],
)
async def test_each_failure_is_a_typed_outcome(
    client: StoreClient, mesh_store: StoreStandIn, trouble: Trouble, outcome: object
) -> None:
    mesh_store.trouble = trouble
    found = await client.append(TOPIC, [b"a"])
    if isinstance(outcome, type):
        assert isinstance(found, outcome)
    else:
        assert found == outcome


async def test_stand_in_rejects_refused_hosts(
    client: StoreClient, mesh_store: StoreStandIn
) -> None:
    mesh_store.refused_hosts.add("127.0.0.1")
    assert await client.append(TOPIC, [b"a"]) == Refused(503)
    mesh_store.refused_hosts.clear()
    assert await client.append(TOPIC, [b"a"]) == Appended(0, 1)


async def test_stopping_node_deletes_its_member_record(mesh: MeshFleet) -> None:
    known = mesh.store.topic(MEMBERS_TOPIC).newest
    assert len(known) == 3
    stopping = mesh.instances[0]
    stopping.node.stop()
    await eventually(lambda: stopping.host not in known)


async def test_late_deletion_keeps_the_record_of_the_next_process(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    mesh.store.trouble, mesh.store.late_s = Trouble.LATE, 0.6
    await instance.node.discovery.deregister()
    mesh.store.trouble = Trouble.NONE
    assert instance.task is not None
    instance.task.cancel()
    instance.node.abort()
    await asyncio.sleep(0.05)
    instance.node = mesh.new_node(instance)
    mesh.start_node(instance)
    await eventually(lambda: instance.node.discovery.done)
    await asyncio.sleep(0.8)
    assert instance.host in mesh.store.topic(MEMBERS_TOPIC).newest


async def test_an_answer_to_a_cancelled_call_is_ignored(
    client: StoreClient, mesh_store: StoreStandIn
) -> None:
    faults: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: faults.append(context))
    call = asyncio.create_task(client.read(TOPIC, 0, 1000))
    await asyncio.sleep(0.1)
    call.cancel()
    mesh_store.put(TOPIC, "a", b"b")
    await asyncio.sleep(0.1)
    assert faults == []
