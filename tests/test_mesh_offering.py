"""A request asks some of many backend servers for a free slot before it waits."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from azurestep.mesh.callers import placement
from azurestep.mesh.callers.placement import TRIES_WITHOUT_WAIT, EndpointSelector
from azurestep.mesh.decisions.choice import EndpointGroup
from azurestep.mesh.decisions.rollout_table import RolloutTable
from bench.placement_model import LOADS, Load, play

from .fixtures_inbound import (
    RecordingReceiver,
    answer,
    make_inbound_harness,
)
from .fixtures_mesh import MeshFleet, caller_headers
from .test_mesh_choice import endpoint
from .test_mesh_choice_large import CRITERIA, group_of, random
from .test_mesh_doubt import drain_all_but
from .test_mesh_faults import eventually

__all__ = ["random"]

BURST = next(load for load in LOADS if load.name == "burst, 108 servers")
OLD_REPORTS = next(load for load in LOADS if load.name == "burst, old reports")
FEW = next(load for load in LOADS if load.name == "burst, 6 servers")
SEED = 4


def test_a_request_that_may_not_wait_is_refused_by_a_full_server() -> None:
    harness = make_inbound_harness(slots=1)
    running, waiting, offered = (RecordingReceiver() for _ in range(3))
    first = harness.submit(running)
    harness.loop.run_due()
    harness.submit(offered, may_wait=False)
    assert offered.outcomes == ["OVERLOADED"]
    harness.submit(waiting)
    assert harness.inbound.admission.in_flight == 2
    answer(first)
    harness.loop.run_due()
    assert running.outcomes == ["answer"] and waiting.outcomes == []


def test_a_request_that_may_not_wait_runs_in_a_free_slot() -> None:
    harness = make_inbound_harness(slots=1)
    offered = RecordingReceiver()
    run = harness.submit(offered, may_wait=False)
    harness.loop.run_due()
    answer(run)
    harness.loop.run_due()
    assert offered.outcomes == ["answer"]


def selector_for(group: EndpointGroup, random: object) -> EndpointSelector:
    context: Any = SimpleNamespace(
        members=SimpleNamespace(endpoint_group=lambda _: group),
        runtime=SimpleNamespace(random=random),
        rollouts=RolloutTable(),
    )
    return EndpointSelector(context, "shop")


def test_it_may_wait_after_some_had_no_free_slot(random: Any) -> None:
    selector = selector_for(group_of(20, 20), random)
    asked = []
    for _ in range(TRIES_WITHOUT_WAIT):
        found = selector.choose(CRITERIA, 0.0)
        assert found is not None and found not in asked
        assert not selector.may_wait
        selector.mark_busy(found)
        asked.append(found)
    assert selector.choose(CRITERIA, 0.0) is not None
    assert selector.may_wait


def test_the_servers_that_were_asked_stay_candidates(random: Any) -> None:
    group = group_of(20, 20)
    for one in group:
        one.in_flight = 30
    selector = selector_for(group, random)
    first = selector.choose(CRITERIA, 0.0)
    assert first is not None
    selector.mark_busy(first)
    first.in_flight = 4
    second = selector.choose(CRITERIA, 0.0)
    assert second is not None and second is not first
    selector.mark_busy(second)
    assert selector.choose(CRITERIA, 0.0) is first


def test_it_waits_at_the_only_usable_server(random: Any) -> None:
    group = group_of(20, 20)
    for one in group:
        one.open = False
    group.local.append(endpoint("last"))
    selector = selector_for(group, random)
    found = selector.choose(CRITERIA, 0.0)
    assert found is not None and not selector.may_wait
    selector.mark_busy(found)
    assert selector.choose(CRITERIA, 0.0) is found
    assert selector.may_wait


def test_among_few_servers_a_request_waits_at_once(random: Any) -> None:
    selector = selector_for(group_of(4, 4), random)
    assert selector.choose(CRITERIA, 0.0) is not None
    assert selector.may_wait


@pytest.mark.parametrize("load", [BURST, OLD_REPORTS], ids=lambda load: load.name)
def test_a_burst_makes_fewer_requests_late(load: Load) -> None:
    waiting, asking = (play(load, SEED, tries) for tries in (0, TRIES_WITHOUT_WAIT))
    assert 1 - asking.in_time < 0.7 * (1 - waiting.in_time)
    assert asking.mean_ms < waiting.mean_ms


def test_few_servers_are_used_as_before() -> None:
    assert play(FEW, SEED, 0) == play(FEW, SEED, TRIES_WITHOUT_WAIT)


async def test_a_payment_that_ran_at_the_server_that_was_asked_twice_is_not_refused(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The local server has no free slot, and then is the only one to wait at."""
    monkeypatch.setattr(placement, "MAX_UNSAMPLED", 0)
    serving = mesh.instances[0]
    await drain_all_but(mesh, serving)
    serving.server.work_s = 0.3
    reads = [
        asyncio.create_task(mesh.get(serving, f"/read/{index}", f"f{index}"))
        for index in range(serving.node.backend.slots)
    ]
    await eventually(lambda: serving.server.running == len(reads))
    serving.server.work_s = 3.0
    async with mesh.session.post(
        serving.url("/pay/1"), data=b"x", headers=caller_headers("p1", 1300)
    ) as answer:
        assert answer.status == 504
    assert serving.server.runs["p1"] == 1
    assert {status for status, _ in await asyncio.gather(*reads)} == {200}
