"""Quotas on real nodes: clock steps, reloads, roll-outs, former releases, retries."""

import asyncio
import signal
import time
from collections import Counter

import attrs
import orjson
import pytest

from azurestep.mesh import node as node_module
from azurestep.mesh.links.connection import PeerConnection
from azurestep.mesh.messages import TEAM_FEATURE_LEVEL, Kind
from azurestep.mesh.settings import Bounds, MeshSettings
from azurestep.platform.rollout import rollout_key
from azurestep.platform.topics import OPERATOR_TOPIC
from standins.signing_server import Received, signed

from .fixtures_mesh import MeshFleet, MeshInstance, caller_headers
from .test_mesh_quotas import (
    BURST,
    KEY,
    OVERAGE,
    RATE_PER_S,
    SLACK,
    TOO_MANY,
    ask_at,
    publish,
    quota_mesh,
    runs,
)

__all__ = ["quota_mesh"]

STEP_S = 2.0
SECONDS = 3.0


def bound(rate_per_s: float = RATE_PER_S, burst: float = BURST) -> float:
    """Return how many requests may run in the time of a test."""
    return (rate_per_s * SECONDS + burst) * (1 + OVERAGE) + SLACK


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S])
async def test_a_step_of_the_wall_clock_changes_no_quota(
    quota_mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch, step_s: float
) -> None:
    """Guards against tokens and grants that depend on the wall clock."""
    time_s, time_ns = time.time, time.time_ns
    task = asyncio.create_task(ask_at(quota_mesh, 8 * RATE_PER_S, SECONDS))
    await asyncio.sleep(SECONDS / 3)
    monkeypatch.setattr(time, "time", lambda: time_s() + step_s)
    monkeypatch.setattr(time, "time_ns", lambda: time_ns() + int(step_s * 1e9))
    await asyncio.sleep(SECONDS / 3)
    monkeypatch.undo()
    answers = await task
    assert {status for status, _ in answers} == {200, TOO_MANY}
    assert RATE_PER_S * SECONDS * 0.8 <= runs(quota_mesh) <= bound()


def reload_with(
    mesh: MeshFleet, bounds: Bounds, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let all nodes reload settings with other bounds, as at SIGHUP."""
    for one in mesh.instances:
        use_settings(one, bounds, monkeypatch)
        one.node.reload()


def use_settings(
    instance: MeshInstance, bounds: Bounds, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let the settings file have an instance's settings with other bounds."""
    changed = attrs.evolve(instance.node.settings, bounds=bounds)

    def read(path: object) -> MeshSettings:
        return changed

    monkeypatch.setattr(node_module, "read_settings", read)


async def test_bounds_that_a_reload_lowers_hold(
    quota_mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against tokens of the former bound that stay in use."""
    reload_with(quota_mesh, Bounds(quota_slack=200.0), monkeypatch)
    await ask_at(quota_mesh, 8 * RATE_PER_S, 1.0)
    reload_with(quota_mesh, Bounds(quota_slack=SLACK), monkeypatch)
    before = runs(quota_mesh)
    answers = await ask_at(quota_mesh, 8 * RATE_PER_S, SECONDS)
    assert {status for status, _ in answers} == {200, TOO_MANY}
    assert runs(quota_mesh) - before <= bound()
    for one in quota_mesh.instances:
        assert one.node.quotas.bounds.quota_slack == SLACK


async def test_sighup_reloads_the_bounds_of_quotas(
    quota_mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a signal that leaves the quotas with their former bounds."""
    await ask_at(quota_mesh, RATE_PER_S, 0.3)
    for one in quota_mesh.instances:
        use_settings(one, Bounds(quota_slack=7.0), monkeypatch)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, one.node.reload)
        signal.raise_signal(signal.SIGHUP)
        await asyncio.sleep(0.05)
        assert one.node.quotas.bounds.quota_slack == 7.0
        for use in one.node.quotas.uses.values():
            usual = RATE_PER_S * 5 + BURST
            assert use.allowance.limit.excess == pytest.approx(usual * OVERAGE + 7.0)


async def test_a_limit_that_is_lowered_during_a_roll_out(
    quota_mesh: MeshFleet,
) -> None:
    """Guards against nodes of a new version that begin with the former limit."""
    fields = {"service": "shop", "new_version": "v2", "duration": "6s"}
    order = orjson.dumps(fields)
    quota_mesh.store.put(OPERATOR_TOPIC, rollout_key("shop"), order)
    await ask_at(quota_mesh, 4 * RATE_PER_S, 0.5)
    lowered = RATE_PER_S / 4
    added = [await quota_mesh.add(index, "v2") for index in (4, 5)]
    for one in added:
        await one.node.listening.wait()
        await one.beat(quota_mesh.session)
    await publish(quota_mesh, 5, lowered, BURST / 2)
    before = runs(quota_mesh)
    answers = await ask_at(quota_mesh, 8 * RATE_PER_S, SECONDS)
    assert TOO_MANY in {status for status, _ in answers}
    assert runs(quota_mesh) - before <= bound(lowered, BURST / 2)


def make_former(mesh: MeshFleet, former: MeshInstance, level: int) -> None:
    """Let the other nodes take one for a node of a release."""
    for one in mesh.instances:
        if one is former:
            continue
        for link in one.node.members.live_links():
            assert link.peer is not None
            if link.address == former.node.settings.peer_address:
                link.peer = attrs.evolve(link.peer, feature_level=level)
        one.node.quotas.on_reachability_change()


async def test_new_nodes_keep_the_bound_beside_one_of_the_former_release(
    quota_mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of the limit, or reports, for nodes without quotas."""
    former = quota_mesh.instances[2]
    make_former(quota_mesh, former, TEAM_FEATURE_LEVEL - 1)
    sent: list[Kind] = []
    original = PeerConnection.send

    def recording(self: PeerConnection, kind: Kind, *fields: object) -> None:
        sent.append(kind)
        original(self, kind, *fields)

    monkeypatch.setattr(PeerConnection, "send", recording)
    quota_mesh.instances.remove(former)
    try:
        answers = await ask_at(quota_mesh, 8 * RATE_PER_S, SECONDS)
        served = [status for status, _ in answers].count(200)
        assert RATE_PER_S * SECONDS * 0.8 <= served <= bound()
        assert not former.node.quotas.uses
        assert not former.node.quotas.owned
        sent.clear()
        make_former(quota_mesh, former, TEAM_FEATURE_LEVEL)
    finally:
        quota_mesh.instances.append(former)
    make_former(quota_mesh, former, TEAM_FEATURE_LEVEL)
    answers = await ask_at(quota_mesh, 8 * RATE_PER_S, SECONDS)
    served = [status for status, _ in answers].count(200)
    assert served <= bound()
    assert Kind.QUOTA_USAGE in sent


def failing(received: Received) -> bytes:
    return signed(received, b"broken", 500)


async def ask_once(mesh: MeshFleet, number: int) -> int:
    """Send a request for a path of its own, so that no other counts as its retry."""
    instance = mesh.instances[number % len(mesh.instances)]
    headers = {**caller_headers(f"q{number}"), "Authorization": f"Token {KEY}"}
    url = instance.url(f"/read/{number}")
    async with mesh.session.get(url, headers=headers) as answer:
        return answer.status


async def test_second_runs_of_requests_count_in_the_quota(
    quota_mesh: MeshFleet,
) -> None:
    """Guards against retries at other servers that exceed the bound unseen."""
    for one in quota_mesh.instances:
        one.server.answer_override = failing
    tasks = []
    for number in range(int(8 * RATE_PER_S * SECONDS)):
        tasks.append(asyncio.create_task(ask_once(quota_mesh, number)))
        await asyncio.sleep(1 / (8 * RATE_PER_S))
    statuses = await asyncio.gather(*tasks)
    run_times = sum((one.server.runs for one in quota_mesh.instances), Counter[str]())
    assert set(statuses) == {500, TOO_MANY}
    assert max(run_times.values()) > 1
    assert RATE_PER_S * SECONDS * 0.8 <= runs(quota_mesh) <= bound()


async def test_the_token_of_a_run_that_never_began_is_returned(
    quota_mesh: MeshFleet,
) -> None:
    """A team was refused below its limit while servers failed and none was left."""
    asked, *others = quota_mesh.instances
    asked.server.answer_override = failing
    for one in others:
        one.node.inbound.shutting_down = True
    answers = await ask_at(quota_mesh, 0.4 * RATE_PER_S, 2.0)
    quotas = [one.node.quotas for one in quota_mesh.instances]
    uses = [use for one in quotas for use in one.uses.values()]
    assert 500 in {status for status, _ in answers}
    assert sum(use.admitted - use.returned for use in uses) <= runs(quota_mesh)


async def test_requests_below_the_limit_are_retried(quota_mesh: MeshFleet) -> None:
    """Guards against second runs that are refused though tokens are left."""
    quota_mesh.instances[0].server.answer_override = failing
    answers = await ask_at(quota_mesh, 0.4 * RATE_PER_S, 2.0)
    assert {status for status, _ in answers} == {200}
    assert runs(quota_mesh) > len(answers)
