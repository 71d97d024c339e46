"""A store that returns from an older copy, and nodes that notice."""

import asyncio
import functools
import itertools

from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.knowledge.store_era import StoreEra
from azurestep.platform.outcomes import Producer, Unanswered
from azurestep.platform.store import StoreClient
from azurestep.platform.topics import CONFIGURATION_KEY, MEMBERS_TOPIC, OPERATOR_TOPIC
from standins.store import StoreCopy, StoreStandIn, Trouble

from .fixtures_mesh import STORE_HOST, STORE_PORT, MeshFleet, MeshLines, document

BACK_S = 2.0


async def wait_for_version(mesh: MeshFleet, version: int) -> None:
    async with asyncio.timeout(BACK_S):
        while any(
            instance.node.configuration.version != version
            for instance in mesh.instances
        ):
            await asyncio.sleep(0.02)


async def return_from(mesh: MeshFleet, saved: StoreCopy) -> None:
    """Let the store be away for a moment and come back from a copy."""
    mesh.store.trouble = Trouble.BUSY
    await asyncio.sleep(0.3)
    mesh.store.return_from(saved)
    mesh.store.trouble = Trouble.NONE


async def test_reader_misses_a_version_behind_an_offset_that_was_given_out_again(
    mesh: MeshFleet,
) -> None:
    # The new version lies before the offset from which the reader goes on.
    saved = mesh.store.take_copy()
    for number in range(3):
        mesh.store.put(OPERATOR_TOPIC, f"other-{number}", b"1")
    await asyncio.sleep(0.3)
    await return_from(mesh, saved)
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(4))
    for number in range(5):
        mesh.store.put(OPERATOR_TOPIC, f"again-{number}", b"1")
    await wait_for_version(mesh, 4)


async def test_node_that_starts_after_the_addresses_were_lost_finds_nobody(
    mesh: MeshFleet,
) -> None:
    # Each node writes its address once and reads the others' once.
    mesh.store.topics[MEMBERS_TOPIC].newest.clear()
    saved = mesh.store.take_copy()
    await return_from(mesh, saved)
    late = await mesh.add(4)
    await late.node.listening.wait()
    async with asyncio.timeout(2 * BACK_S):
        while any(item.node.members.count() < 4 for item in mesh.instances):
            await asyncio.sleep(0.02)


async def test_node_writes_its_address_again_once_per_return(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    # Two returns in a row, the second one from a copy without the rewritten addresses.
    for _ in range(2):
        mesh.store.topics[MEMBERS_TOPIC].newest.clear()
        saved = mesh.store.take_copy()
        await asyncio.sleep(0.1)
        await return_from(mesh, saved)
        async with asyncio.timeout(BACK_S):
            while len(mesh.store.topics[MEMBERS_TOPIC].newest) < 3:
                await asyncio.sleep(0.02)
    eras = [(line["former"], line["era"]) for line in mesh_lines.of(9106)]
    assert sorted(eras) == [(1, 2)] * 3 + [(2, 3)] * 3


async def test_reader_repeats_a_read_from_an_offset_that_is_gone(
    mesh: MeshFleet,
) -> None:
    # The answer 410 names no offset, and the store names no era.
    mesh.store.era = None
    saved = mesh.store.take_copy()
    mesh.store.put(OPERATOR_TOPIC, "other", b"1")
    await asyncio.sleep(0.3)
    await return_from(mesh, saved)
    await asyncio.sleep(BACK_S)
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(4))
    await wait_for_version(mesh, 4)


async def test_versions_go_back_with_the_store(mesh: MeshFleet) -> None:
    # A copy holds an older version; nodes keep theirs until a newer one comes.
    saved = mesh.store.take_copy()
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(5))
    await wait_for_version(mesh, 5)
    await return_from(mesh, saved)
    await asyncio.sleep(BACK_S)
    assert {instance.node.configuration.version for instance in mesh.instances} == {5}
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document(6))
    await wait_for_version(mesh, 6)


async def test_quiet_fleet_calls_the_store_as_rarely_as_before(
    mesh: MeshFleet,
) -> None:
    # Only the readers poll; the era costs no calls of its own.
    await asyncio.sleep(0.5)
    first = len(mesh.store.calls)
    await asyncio.sleep(2.0)
    assert len(mesh.store.calls) - first <= 2 * 3


async def test_each_outcome_names_the_era_of_its_answer(
    mesh_store: StoreStandIn,
) -> None:
    loop = asyncio.get_running_loop()
    client = StoreClient(loop, (STORE_HOST, STORE_PORT), lambda kind: None)
    mesh_store.era = 7
    append = functools.partial(client.append, "log", [b"a"])
    outcomes = [
        await append(),
        await append(at=5),
        await append(producer=Producer("p", 2, 0)),
        await append(producer=Producer("p", 1, 0)),
        await append(producer=Producer("p", 2, 5)),
        await client.read("log", 0, 0),
        await client.read("log", 9, 0),
        await client.read_latest(OPERATOR_TOPIC),
    ]
    mesh_store.trouble = Trouble.BUSY
    outcomes.append(await append())
    assert [type(outcome).__name__ for outcome in outcomes] == [
        "Appended",
        "Conflict",
        "Appended",
        "Fenced",
        "OutOfSequence",
        "Records",
        "Truncated",
        "LatestRecords",
        "Refused",
    ]
    assert {outcome.era for outcome in outcomes} == {7}
    client.close()


async def test_pages_of_two_eras_pass_for_one_result(mesh_store: StoreStandIn) -> None:
    # The second page of the new era may lack keys that the first one had.
    loop = asyncio.get_running_loop()
    eras: list[int] = []

    def count_call(kind: str) -> None:
        eras.append(len(eras) + 1)
        mesh_store.era = len(eras)

    client = StoreClient(loop, (STORE_HOST, STORE_PORT), count_call)
    mesh_store.page_items = 1
    for key in ("a", "b", "c"):
        mesh_store.put("keyed.x", key, b"1")
    assert isinstance(await client.read_latest("keyed.x"), Unanswered)
    client.close()


async def test_a_stopping_node_writes_its_address_again(mesh: MeshFleet) -> None:
    # A registration in a new era must not come after the removal of the address.
    saved = mesh.store.take_copy()
    stopping = mesh.instances[0]
    await return_from(mesh, saved)
    stopping.node.stop()
    await asyncio.sleep(BACK_S)
    assert stopping.host not in mesh.store.topics[MEMBERS_TOPIC].newest


@given(st.lists(st.none() | st.integers(1, 5), max_size=30))
def test_eras_that_are_accepted_never_fall(answers: list[int | None]) -> None:
    changes: list[tuple[int, int]] = []
    era = StoreEra(lambda former, current: changes.append((former, current)))
    highest = 0
    for answer in answers:
        accepted = era.accept(answer)
        assert accepted is (answer is None or answer >= highest)
        highest = max(highest, answer or 0)
        assert era.current == highest
    assert all(0 < former < current for former, current in changes)
    assert len(changes) == max(0, len({*accumulate_max(answers)}) - 1)


def accumulate_max(answers: list[int | None]) -> list[int]:
    """Return the highest era after each answer that named one."""
    return list(itertools.accumulate((era for era in answers if era), max))
