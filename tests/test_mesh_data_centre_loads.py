"""Loads of data centres decide among the servers of a service with many.

The fault seen: with reports of 1.2 s from other data centres and runs of 0.25 s, an old
report of a free slot drew requests to servers that had none; and requests were sent to
other data centres while all were equally full.
"""

import asyncio
from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Any

import attrs
import pytest

from azurestep.mesh.decisions.choice import (
    Endpoint,
    EndpointGroup,
    SelectionCriteria,
    choose_from_group,
)
from azurestep.mesh.decisions.data_centre_loads import DataCentreLoads
from azurestep.mesh.gauges import NodeGauges
from azurestep.mesh.incarnation import Incarnation

from .fixtures_mesh import MeshFleet

SLOTS, SERVERS = 5, 79
RUN_MS = 250.0
CRITERIA = SelectionCriteria("shop", "read", 685.0, RUN_MS, 1.5, "dc-0")
FILLS = {"dc-0": 1.2, "dc-1": 0.85, "dc-2": 0.4}
"""Offered work for each slot while the first data centre has its peak."""


def server(index: int, data_centre: str, **fields: object) -> Endpoint:
    key = f"{data_centre}-{index}"
    made = Endpoint(key, "shop", Incarnation(key.encode()), data_centre, slots=SLOTS)
    for field, value in fields.items():
        setattr(made, field, value)
    return made


def group_of(loads: DataCentreLoads | None) -> EndpointGroup:
    """Return 79 servers in three data centres as seen from the first one."""
    group = EndpointGroup(loads=loads)
    for index in range(SERVERS):
        data_centre = f"dc-{index % 3}"
        to = group.local if data_centre == "dc-0" else group.remote
        to.append(server(index, data_centre))
    return group


def full_share(loads: DataCentreLoads | None, seed: int) -> float:
    """Return how many of the choices fall on a server without a free slot.

    True loads change with each arrival and end; reports come each 0.3 s from nearby and
    each 1.2 s from other data centres.
    """
    random, group = Random(seed), group_of(loads)
    servers = list(group)
    true = dict.fromkeys((one.key for one in servers), 0)
    due = {one.key: random.uniform(0.0, 1200.0) for one in servers}
    chosen = full = 0
    step_ms = 5.0
    for step in range(1200):
        now_ms = step * step_ms
        for one in servers:
            fill = FILLS[one.data_centre]
            if random.random() < fill * SLOTS * step_ms / RUN_MS:
                true[one.key] = min(true[one.key] + 1, 2 * SLOTS)
            for _ in range(min(true[one.key], SLOTS)):
                if random.random() < step_ms / RUN_MS:
                    true[one.key] -= 1
            if now_ms >= due[one.key]:
                one.update_load(true[one.key], now_ms)
                local = one.data_centre == "dc-0"
                due[one.key] = now_ms + (300.0 if local else 1200.0)
        if now_ms < 1500.0:
            continue
        for _ in range(3):
            found = choose_from_group(group, CRITERIA, set(), now_ms, random)
            assert found is not None
            chosen += 1
            full += true[found.key] >= SLOTS
    return full / chosen


def test_fewer_requests_reach_a_server_without_a_free_slot() -> None:
    """17 to 21% of the requests reached such a server, 3 to 4% do now."""
    seeds = range(3)
    before = sum(full_share(None, seed) for seed in seeds) / len(seeds)
    now = sum(full_share(DataCentreLoads(), seed) for seed in seeds) / len(seeds)
    assert now < 0.5 * before


def fill_all(group: EndpointGroup, fills: dict[str, float], now_ms: float) -> None:
    for one in group:
        one.update_load(round(fills[one.data_centre] * SLOTS), now_ms)


def chosen_places(group: EndpointGroup, now_ms: float) -> Counter[str]:
    random, found = Random(1), Counter[str]()
    for _ in range(400):
        one = choose_from_group(group, CRITERIA, set(), now_ms, random)
        assert one is not None
        found[one.data_centre] += 1
    return found


def test_an_old_report_of_a_free_slot_gives_way_to_the_mean_of_its_data_centre() -> (
    None
):
    """Such a report counted in full until the next one, 1.2 s later."""
    group = group_of(DataCentreLoads())
    fill_all(group, {"dc-0": 1.6, "dc-1": 1.4, "dc-2": 1.4}, 1200.0)
    old = group.remote[0]
    old.update_load(0, 0.0)
    assert group.loads is not None
    group.loads.refresh(group, 1200.0)
    assert group.loads.estimate(old, 1200.0) > SLOTS
    old.update_load(0, 1200.0)
    assert group.loads.estimate(old, 1200.0) == 0


def test_no_request_leaves_the_data_centre_while_all_are_equally_full() -> None:
    """213 of the 400 requests went to other data centres without a gain."""
    fills = {"dc-0": 1.2, "dc-1": 1.2, "dc-2": 1.2}
    before, now = group_of(None), group_of(DataCentreLoads())
    for group in (before, now):
        fill_all(group, fills, 0.0)
        for one in list(group.remote)[::3]:
            one.update_load(SLOTS, 0.0)
    assert chosen_places(before, 0.0)["dc-0"] < 300
    assert set(chosen_places(now, 0.0)) == {"dc-0"}


def test_remote_candidates_are_those_of_the_least_loaded_data_centre() -> None:
    group = group_of(DataCentreLoads())
    fill_all(group, {"dc-0": 1.6, "dc-1": 0.8, "dc-2": 0.4}, 0.0)
    assert set(chosen_places(group, 0.0)) == {"dc-2"}


def test_without_local_servers_others_are_asked() -> None:
    group = group_of(DataCentreLoads())
    fill_all(group, {"dc-0": 0.2, "dc-1": 1.2, "dc-2": 1.2}, 0.0)
    for one in group.local:
        one.open = False
    assert chosen_places(group, 0.0).total() == 400
    group = EndpointGroup([], group.remote, DataCentreLoads())
    assert chosen_places(group, 0.0).total() == 400


@pytest.mark.parametrize(
    "fault",
    [
        {"failure_ratio": 0.9},
        {"unresponsive": True},
        {"rate_limit_per_s": 4.0, "limited_until_ms": 100.0},
    ],
)
def test_idle_servers_that_fail_do_not_keep_requests_local(
    fault: dict[str, Any],
) -> None:
    """Servers that fail or refuse at once have the lowest load."""
    group = group_of(DataCentreLoads())
    fill_all(group, {"dc-0": 0.0, "dc-1": 0.8, "dc-2": 0.8}, 0.0)
    for one in group.local:
        for field, value in fault.items():
            setattr(one, field, value)
    assert "dc-0" not in chosen_places(group, 0.0)


@pytest.mark.parametrize("fault", [{"failure_ratio": 0.9}, {"unresponsive": True}])
def test_an_idle_data_centre_that_fails_does_not_hide_another_with_room(
    fault: dict[str, Any],
) -> None:
    group = group_of(DataCentreLoads())
    fill_all(group, {"dc-0": 1.8, "dc-1": 0.4, "dc-2": 0.0}, 0.0)
    for one in group.remote:
        for field, value in fault.items():
            if one.data_centre == "dc-2":
                setattr(one, field, value)
    assert set(chosen_places(group, 0.0)) == {"dc-1"}


def test_a_large_body_is_placed_as_before() -> None:
    """Its time depends on the link of the server's node, not on the load."""
    group = group_of(DataCentreLoads())
    plain = EndpointGroup(group.local, group.remote)
    fill_all(group, {"dc-0": 0.2, "dc-1": 0.4, "dc-2": 0.4}, 0.0)
    body = attrs.evolve(CRITERIA, body_kib=60.0)
    for seed in range(100):
        found = [
            choose_from_group(one, body, set(), 5000.0, Random(seed))
            for one in (group, plain)
        ]
        assert found[0] is found[1]


def test_a_service_of_few_servers_is_served_as_before() -> None:
    """Reports come each 0.2 s there, and all servers are compared."""
    group = group_of(DataCentreLoads())
    few = EndpointGroup(group.local[:4], group.remote[:4], group.loads)
    plain = EndpointGroup(few.local, few.remote)
    for seed in range(100):
        draws = Random(seed)
        for one in few:
            one.update_load(draws.randrange(9), draws.uniform(0.0, 1200.0))
        found = [
            choose_from_group(group, CRITERIA, set(), 1200.0, Random(seed))
            for group in (few, plain)
        ]
        assert found[0] is found[1]


def test_own_requests_since_the_report_count_in_full() -> None:
    loads = DataCentreLoads({"dc-1": 0.4})
    one = server(1, "dc-1")
    one.update_load(2, 0.0)
    assert loads.estimate(one, 0.0) == 2.0
    one.own_in_flight += 3
    assert loads.estimate(one, 0.0) == 5.0
    assert loads.estimate(one, 1e6) == pytest.approx(5.0)
    assert DataCentreLoads({"dc-1": 0.0}).estimate(one, 1e6) == 3.0


def test_own_requests_that_ended_since_an_old_report_do_not_count_twice() -> None:
    """An old report of a full server looked free after four cancelled requests."""
    loads: DataCentreLoads = DataCentreLoads({"dc-0": 1.2})
    one = server(0, "dc-0", own_in_flight=4)
    one.update_load(6, now_ms=0.0)
    one.own_in_flight = 0
    assert loads.estimate(one, now_ms=0.0) == 2.0
    assert loads.estimate(one, now_ms=1200.0) > SLOTS


def test_the_report_of_a_server_with_a_rate_limit_keeps_its_weight() -> None:
    """An idle one seemed to have a queue, by the mean of servers without a limit."""
    loads: DataCentreLoads = DataCentreLoads({"dc-0": 0.8})
    one = server(0, "dc-0", rate_limit_per_s=20.0)
    one.update_load(1, now_ms=0.0)
    assert loads.estimate(one, now_ms=1200.0) == 1.0


def test_the_last_servers_of_a_data_centre_do_not_get_the_requests_of_all() -> None:
    """One idle server of 26 made its data centre the least loaded of the fleet."""
    group = group_of(DataCentreLoads())
    fill_all(group, {"dc-0": 1.2, "dc-1": 0.8, "dc-2": 0.2}, 1000.0)
    left = 1
    for one in group.remote:
        if one.data_centre == "dc-2":
            one.open, left = left > 0, left - 1
    assert set(chosen_places(group, 1000.0)) <= {"dc-0", "dc-1"}


def test_servers_that_take_nothing_do_not_count_in_the_mean() -> None:
    loads = DataCentreLoads()
    closed = server(2, "dc-1", open=False, in_flight=0)
    loads.refresh([server(1, "dc-1", in_flight=4), closed], 0.0)
    assert loads.means == {"dc-1": 0.8}
    loads = DataCentreLoads()
    loads.refresh([closed], 0.0)
    assert loads.means == {}
    closed.update_load(3, 0.0)
    assert loads.estimate(closed, 1e6) == 3


class CountingList(list[Endpoint]):
    """Counts the servers that are walked."""

    walked = 0

    def __iter__(self) -> Iterator[Any]:
        for one in super().__iter__():
            type(self).walked += 1
            yield one


@pytest.mark.parametrize("servers", [40, 400])
def test_at_most_a_thousand_servers_are_listed_in_a_second(servers: int) -> None:
    found = CountingList(server(index, "dc-0") for index in range(servers))
    CountingList.walked = 0
    group = EndpointGroup(found, [], DataCentreLoads())
    for step in range(10_000):
        assert group.loads is not None
        group.loads.refresh(group, step * 0.1)
    assert 0 < CountingList.walked <= 1000 + servers


@pytest.mark.parametrize("seed", range(10))
def test_without_means_the_age_of_a_report_changes_no_choice(seed: int) -> None:
    def choices(age_ms: float) -> list[object]:
        random, group = Random(seed), group_of(None)
        found = []
        for step in range(300):
            one = random.choice(list(group))
            one.update_load(random.randrange(9), step * 10.0 - age_ms)
            chosen = choose_from_group(group, CRITERIA, set(), step * 10.0, random)
            found.append(chosen and chosen.key)
        return found

    assert choices(0.0) == choices(5000.0)


async def test_nodes_weigh_reports_only_beside_servers_that_state_a_ratio(
    mesh: MeshFleet,
) -> None:
    states, silent, _ = mesh.instances

    def weighs(instance: Any) -> bool:
        members = instance.node.members
        service = members.inbound.backend.service
        return members.endpoint_group(service).loads is not None

    assert not weighs(states)
    states.server.work_percent = 100
    async with asyncio.timeout(10):
        while not weighs(states):
            await mesh.get(states, "/read/1", "ratio")
    assert not weighs(silent)
    members = states.node.members
    loads = members.endpoint_group(members.inbound.backend.service).loads
    loads.means = {"dc-0": 0.5, "dc-1": 0.25}
    NodeGauges(states.node).refresh()
    NodeGauges(silent.node).refresh()
    text = states.node.runtime.metrics.text()
    assert f"azurestep_service_load_local {loads.means[members.data_centre]}" in text
    assert "azurestep_service_load_remote " in text
    assert "azurestep_service_load" not in silent.node.runtime.metrics.text()
