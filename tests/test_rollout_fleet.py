"""Roll-outs on a fleet of real nodes: exposure, verdicts, change-over, the store."""

import asyncio
import re
from collections.abc import Callable

import attrs
import orjson
import pytest

from azurestep.mesh.decisions.rollout import Phase
from azurestep.mesh.messages import Reason
from azurestep.platform.rollout import RolloutState, read_status, rollout_key
from azurestep.platform.topics import OPERATOR_TOPIC, STATUS_TOPIC
from standins.signing_server import Received
from standins.store import StoreStandIn, Trouble

from .fixtures_mesh import MeshFleet, MeshInstance

KEY = rollout_key("shop")
REQUESTS_PER_S = 250


def order(duration: str, new_version: str = "v2") -> bytes:
    fields = {"service": "shop", "new_version": new_version, "duration": duration}
    return orjson.dumps(fields)


def failing(received: Received) -> bytes:
    """Return an answer that reports an error of the server, with a signature."""
    request_id = received.headers.get("attempt-id", "")
    return (
        b"HTTP/1.1 500 Error\r\nAttempt-Id: %b\r\nResponse-Signature: s\r\n"
        b"Content-Length: 0\r\n\r\n" % request_id.encode()
    )


@attrs.define
class Traffic:
    """Sends reads to all instances until it is stopped."""

    mesh: MeshFleet
    callers: list[MeshInstance]
    path: str = "/read/1"
    statuses: list[int] = attrs.field(factory=list)
    _task: "asyncio.Task[None] | None" = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(100_000):
                instance = self.callers[number % len(self.callers)]
                group.create_task(self._send(instance, f"{self.path}-{number}"))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, instance: MeshInstance, request_id: str) -> None:
        status, _ = await self.mesh.get(instance, self.path, request_id)
        self.statuses.append(status)


def status_of(store: StoreStandIn) -> RolloutState | None:
    found = store.topic(STATUS_TOPIC).newest.get(KEY)
    status = None if found is None else read_status(found[1])
    return None if status is None else status.state


async def wait_for(condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def phases(mesh: MeshFleet) -> set[Phase]:
    found = set()
    for instance in mesh.instances:
        rollout = instance.node.inbound.rollouts.get("shop")
        found.add(Phase.PENDING if rollout is None else rollout.phase)
    return found


async def begin(mesh: MeshFleet, duration: str) -> list[MeshInstance]:
    """Write an order and start as many servers of the new version."""
    mesh.store.put(OPERATOR_TOPIC, KEY, order(duration))
    added = [await mesh.add(index, "v2") for index in (4, 5, 6)]
    for instance in added:
        await instance.node.listening.wait()
        await instance.beat(mesh.session)
    return added


def runs(instances: list[MeshInstance]) -> int:
    return sum(one.server.runs.total() for one in instances)


async def test_a_bad_version_is_rolled_back_within_its_exposure(
    mesh: MeshFleet,
) -> None:
    old = list(mesh.instances)
    mesh.store.put(OPERATOR_TOPIC, KEY, order("6s"))
    new = [await mesh.add(index, "v2") for index in (4, 5, 6)]
    for instance in new:
        instance.server.answer_override = failing
        await instance.node.listening.wait()
        await instance.beat(mesh.session)
    traffic = Traffic(mesh, old)
    traffic.start()
    await wait_for(lambda: status_of(mesh.store) is RolloutState.ROLLED_BACK)
    await wait_for(lambda: phases(mesh) == {Phase.ROLLED_BACK})
    await asyncio.sleep(0.1)
    exposed = sum(len(one.server.received) for one in new)
    assert exposed <= 0.1 * (runs(old) + exposed) + 5
    await asyncio.sleep(0.5)
    await traffic.stop()
    assert sum(len(one.server.received) for one in new) == exposed
    assert set(traffic.statuses) <= {200, 500}


async def test_a_good_version_takes_all_requests_before_it_is_completed(
    mesh: MeshFleet,
) -> None:
    old = list(mesh.instances)
    for instance in old:
        instance.server.work_s = 0.05
    new = await begin(mesh, "6s")
    traffic = Traffic(mesh, old)
    traffic.start()
    await wait_for(lambda: status_of(mesh.store) is RolloutState.RUNNING)
    await asyncio.sleep(1.0)
    assert runs(new) <= 0.1 * runs(old) + 5
    await wait_for(lambda: status_of(mesh.store) is RolloutState.COMPLETED)
    assert all(one.server.running == 0 for one in old)
    ran = runs(old)
    await asyncio.sleep(0.3)
    await traffic.stop()
    assert runs(old) == ran
    assert phases(mesh) == {Phase.COMPLETED}
    assert set(traffic.statuses) == {200}


async def test_a_verdict_holds_while_the_store_is_away(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    old = list(mesh.instances)
    new = await begin(mesh, "30s")
    await wait_for(lambda: phases(mesh) == {Phase.CANARY})
    mesh.store.trouble = Trouble.BUSY
    for instance in new:
        instance.server.answer_override = failing
    traffic = Traffic(mesh, old)
    traffic.start()
    await wait_for(lambda: phases(mesh) == {Phase.STOPPED})
    await asyncio.sleep(0.1)
    exposed = sum(len(one.server.received) for one in new)
    await asyncio.sleep(0.5)
    await traffic.stop()
    assert sum(len(one.server.received) for one in new) == exposed
    assert status_of(mesh.store) is not RolloutState.ROLLED_BACK
    mesh.store.trouble = Trouble.NONE
    await wait_for(lambda: status_of(mesh.store) is RolloutState.ROLLED_BACK)
    await wait_for(lambda: phases(mesh) == {Phase.ROLLED_BACK})


async def test_a_store_that_returns_from_a_copy_gets_the_verdict_again(
    mesh: MeshFleet,
) -> None:
    new = await begin(mesh, "30s")
    for instance in new:
        instance.server.answer_override = failing
    copy = mesh.store.take_copy()
    traffic = Traffic(mesh, mesh.instances[:3])
    traffic.start()
    await wait_for(lambda: status_of(mesh.store) is RolloutState.ROLLED_BACK)
    await traffic.stop()
    mesh.store.return_from(copy)
    await wait_for(lambda: status_of(mesh.store) is RolloutState.ROLLED_BACK)
    assert phases(mesh) == {Phase.ROLLED_BACK}


async def test_a_node_that_restarts_keeps_to_the_verdict(mesh: MeshFleet) -> None:
    new = await begin(mesh, "30s")
    for instance in new:
        instance.server.answer_override = failing
    traffic = Traffic(mesh, mesh.instances[:3])
    traffic.start()
    await wait_for(lambda: phases(mesh) == {Phase.ROLLED_BACK})
    exposed = sum(len(one.server.received) for one in new)
    restarted = mesh.instances[0]
    assert restarted.task is not None
    restarted.task.cancel()
    restarted.node.abort()
    restarted.node = mesh.new_node(restarted)
    mesh.start_node(restarted)
    await restarted.node.listening.wait()
    await restarted.beat(mesh.session)
    await wait_for(lambda: phases(mesh) == {Phase.ROLLED_BACK})
    await asyncio.sleep(0.5)
    await traffic.stop()
    assert sum(len(one.server.received) for one in new) == exposed


async def test_a_fleet_that_restarts_takes_the_verdict_from_the_store(
    mesh: MeshFleet,
) -> None:
    mesh.store.put(OPERATOR_TOPIC, KEY, order("30s"))
    mesh.store.put(
        STATUS_TOPIC,
        KEY,
        orjson.dumps(
            {
                "state": "rolled_back",
                "new_version": "v2",
                "order_era": 1,
                "order_offset": 1,
            }
        ),
    )
    for instance in mesh.instances:
        assert instance.task is not None
        instance.task.cancel()
        instance.node.abort()
        instance.node = mesh.new_node(instance)
        mesh.start_node(instance)
    await wait_for(lambda: phases(mesh) == {Phase.ROLLED_BACK})


async def test_a_version_with_no_good_run_by_its_deadline_is_rolled_back(
    mesh: MeshFleet,
) -> None:
    new = await begin(mesh, "2s")
    await wait_for(lambda: status_of(mesh.store) is RolloutState.ROLLED_BACK)
    assert runs(new) == 0


@pytest.mark.parametrize(
    "record",
    [
        b"{}",
        b"\xff",
        b'{"service": "shop", "new_version": 5, "duration": "6s"}',
        b'{"service": "shop", "new_version": "v2", "duration": "soon"}',
        b'{"service": "other", "new_version": "v2", "duration": "6s"}',
    ],
)
async def test_a_malformed_order_is_told_and_ignored(
    mesh: MeshFleet, mesh_lines: "object", record: bytes
) -> None:
    mesh.store.put(OPERATOR_TOPIC, KEY, record)
    mesh.store.put(OPERATOR_TOPIC, "other/key", b"{}")
    await asyncio.sleep(0.3)
    assert phases(mesh) == {Phase.PENDING}
    lines = mesh_lines.of(9604)  # type: ignore[attr-defined]
    assert lines
    assert all(re.search("rollout/shop", line["cause"]) for line in lines)


async def test_requests_in_transit_to_a_withheld_server_have_not_run(
    mesh: MeshFleet,
) -> None:
    new = await begin(mesh, "30s")
    await wait_for(lambda: phases(mesh) == {Phase.CANARY})
    inbound = new[0].node.inbound
    rollout = inbound.rollouts.get("shop")
    assert rollout is not None
    inbound.rollouts.advance(rollout, Phase.STOPPED, inbound.now_ms())
    assert inbound._is_withheld()
    request = attrs.evolve(_sample_request(), instance_id=b"i-4")
    assert inbound._find_refusal_reason(request) is Reason.LEAVING


def _sample_request() -> object:
    from azurestep.mesh.messages import Request

    return Request(
        b"GET",
        b"/read/1",
        [],
        "shop",
        b"i-1",
        "read",
        b"q",
        b"shop",
        True,
        2,
        1000.0,
        400.0,
        0.0,
        0,
        True,
        b"",
    )
