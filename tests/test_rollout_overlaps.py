"""Roll-outs beside one another, and beside a change of their service's routes."""

import orjson
import pytest

from azurestep.mesh.decisions.rollout import Phase
from azurestep.platform.rollout import RolloutState, read_status, rollout_key
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC, STATUS_TOPIC
from standins.signing_server import Received, signed

from .fixtures_mesh import MeshFleet, MeshInstance, document
from .test_rollout_fleet import Traffic, failing, order, wait_for

FOUND_PATH, ADDED_PATH, STOCK_PATH = "/read/1", "/search/1", "/stock/1"
WORK_S = 0.03
"""Time of a run. With runs of 1 ms, a busy machine makes good ones count as slow."""
SERVICES = {
    name: {"health_check_path": "/health", "connection_limit": 130}
    for name in ("shop", "stock")
}


def routes(*paths: str) -> dict[str, object]:
    """Return a route for each path; those that begin with /stock are of stock."""
    return {
        f"route-{path}": {
            "host": "shop.example",
            "max_attempts": 2,
            "aim": "400ms",
            "path_prefix": path.rstrip("1"),
            "route_kind": "safe",
            "timeout": "1200ms",
            "priority": 2,
            "service": "stock" if path == STOCK_PATH else "shop",
        }
        for path in paths
    }


async def publish(mesh: MeshFleet, version: int, *paths: str) -> None:
    content = document(version, routes=routes(*paths), services=SERVICES)
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    await wait_for(
        lambda: all(one.node.configuration.version == version for one in mesh.instances)
    )


async def start(
    mesh: MeshFleet, indices: list[int], version: str, service: str = "shop"
) -> list[MeshInstance]:
    """Start servers and wait until all nodes know them."""
    added = [await mesh.add(index, version, service) for index in indices]
    for instance in mesh.instances:
        instance.server.work_s = WORK_S
    for instance in added:
        await instance.node.listening.wait()
        await instance.beat(mesh.session)
    names = {instance.server.instance_id.encode() for instance in added}
    await wait_for(lambda: all(names <= known(one) for one in mesh.instances))
    return added


def known(instance: MeshInstance) -> set[bytes]:
    endpoints = instance.node.members.all_endpoints()
    return {endpoint.incarnation.instance_id for endpoint in endpoints}


def give_order(mesh: MeshFleet, service: str, duration: str) -> None:
    fields = orjson.loads(order(duration))
    value = orjson.dumps({**fields, "service": service})
    mesh.store.put(OPERATOR_TOPIC, rollout_key(service), value)


def state_of(mesh: MeshFleet, service: str) -> RolloutState | None:
    found = mesh.store.topic(STATUS_TOPIC).newest.get(rollout_key(service))
    status = None if found is None else read_status(found[1])
    return None if status is None else status.state


def phases_of(mesh: MeshFleet, service: str) -> set[Phase | None]:
    rollouts = [one.node.inbound.rollouts.get(service) for one in mesh.instances]
    return {None if one is None else one.phase for one in rollouts}


async def test_two_services_are_rolled_out_independently(mesh: MeshFleet) -> None:
    """Guards against one service's verdict or evidence counting for the other one.

    Both new versions have the same name; one is bad.
    """
    old = list(mesh.instances)
    await publish(mesh, 4, FOUND_PATH, STOCK_PATH)
    await start(mesh, [7, 8], "v1", "stock")
    for service in ("shop", "stock"):
        give_order(mesh, service, "6s")
    await wait_for(lambda: phases_of(mesh, "stock") == {Phase.CANARY})
    new = await start(mesh, [4, 5, 6], "v2")
    bad = await start(mesh, [9, 10], "v2", "stock")
    for instance in bad:
        instance.server.answer_override = failing
    traffics = [Traffic(mesh, old), Traffic(mesh, old, STOCK_PATH)]
    for traffic in traffics:
        traffic.start()
    await wait_for(lambda: state_of(mesh, "stock") is RolloutState.ROLLED_BACK)
    exposed = sum(len(one.server.received) for one in bad)
    assert state_of(mesh, "shop") is RolloutState.RUNNING
    await wait_for(lambda: state_of(mesh, "shop") is RolloutState.COMPLETED)
    await wait_for(lambda: phases_of(mesh, "shop") == {Phase.COMPLETED})
    for traffic in traffics:
        await traffic.stop()
    assert phases_of(mesh, "stock") == {Phase.ROLLED_BACK}
    assert state_of(mesh, "stock") is RolloutState.ROLLED_BACK
    assert sum(len(one.server.received) for one in bad) == exposed
    assert sum(one.server.runs.total() for one in new) > 0
    assert set(traffics[0].statuses) == {200}
    assert set(traffics[1].statuses) <= {200, 500}


def fail_added(received: Received) -> bytes:
    """Fail on the added route only."""
    if received.target == ADDED_PATH:
        return failing(received)
    return signed(received, b"hello")


@pytest.mark.parametrize(
    ("is_bad", "expected"),
    [(False, RolloutState.COMPLETED), (True, RolloutState.ROLLED_BACK)],
)
async def test_a_change_of_routes_does_not_disturb_a_roll_out(
    mesh: MeshFleet, is_bad: bool, expected: RolloutState
) -> None:
    """Guards against evidence on a route that a later version adds being lost.

    The route on which the roll-out began is removed at the same time.
    """
    old = list(mesh.instances)
    await publish(mesh, 4, FOUND_PATH)
    give_order(mesh, "shop", "6s")
    await wait_for(lambda: phases_of(mesh, "shop") == {Phase.CANARY})
    new = await start(mesh, [4, 5, 6], "v2")
    if is_bad:
        for instance in new:
            instance.server.answer_override = fail_added
    before = Traffic(mesh, old, FOUND_PATH)
    before.start()
    await wait_for(lambda: sum(one.server.runs.total() for one in new) > 5)
    assert state_of(mesh, "shop") is RolloutState.RUNNING
    await before.stop()
    await publish(mesh, 5, ADDED_PATH)
    after = Traffic(mesh, old, ADDED_PATH)
    after.start()
    await wait_for(lambda: state_of(mesh, "shop") is expected)
    await after.stop()
    assert set(before.statuses) == {200}
    assert set(after.statuses) <= ({200, 500} if is_bad else {200})
