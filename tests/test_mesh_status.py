"""Limits, grants and use of teams, as a node shows them to operators."""

import asyncio
import pathlib
import re
from collections.abc import AsyncIterator
from itertools import groupby
from random import Random

import attrs
import cattrs
import orjson
import pytest
import pytest_asyncio

from azurestep.mesh.endpoints import STATUS_TARGET
from azurestep.mesh.quotas.control import Quotas
from azurestep.mesh.quotas.overview import describe_quotas
from azurestep.mesh.status import MeshStatus, TeamQuotaStatus
from azurestep.mesh.team_metrics import OTHER, SHOWN_TEAMS, TeamMetrics, TeamOutcome
from azurestep.output.render import render
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from azurestep.routing.teams import Team
from azurestep.status import ExitStatus
from bench.quota_model import ModelFleet, ModelNode, quota_owner_way

from .fixtures_cli import CommandResult, FakeFleet, RunCommand
from .fixtures_mesh import (
    METRICS_PORT,
    STORE_HOST,
    STORE_PORT,
    MeshFleet,
    MeshInstance,
    caller_headers,
    document,
)

KEY = "k3y-of-riggers"
RATE_PER_S, BURST = 20.0, 10.0
REQUESTS = 120
"""More than the quota lets run while they are sent."""


@pytest_asyncio.fixture
async def surged(mesh: MeshFleet) -> AsyncIterator[MeshFleet]:
    """Run three instances after a surge of a team with a quota."""
    limits = {"requests_per_s": RATE_PER_S, "burst": BURST}
    team = {"api_keys": [KEY], "priority": 1, **limits}
    content = document(4, tenants={"riggers": team})
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    async with asyncio.timeout(5):
        while any(one.node.configuration.version != 4 for one in mesh.instances):
            await asyncio.sleep(0.02)
    for number in range(REQUESTS):
        await ask(mesh, number)
    yield mesh


async def ask(mesh: MeshFleet, number: int) -> None:
    instance = mesh.instances[number % len(mesh.instances)]
    headers = {**caller_headers(f"s{number}"), "Authorization": f"Token {KEY}"}
    async with mesh.session.get(instance.url("/read/1"), headers=headers) as answer:
        assert answer.status in (200, 429)


async def status_of(mesh: MeshFleet, instance: MeshInstance) -> MeshStatus:
    url = f"http://{instance.host}:{METRICS_PORT}{STATUS_TARGET.decode()}"
    async with mesh.session.get(url) as answer:
        assert answer.content_type == "application/json"
        return cattrs.structure(orjson.loads(await answer.read()), MeshStatus)


async def quota_series(mesh: MeshFleet, instance: MeshInstance) -> dict[str, float]:
    url = f"http://{instance.host}:{METRICS_PORT}/metrics"
    async with mesh.session.get(url) as answer:
        text = await answer.text()
    found = re.findall(r'^azurestep_team_quota_(\w+){team="riggers"} (.+)$', text, re.M)
    return {name: float(value) for name, value in found}


def settings_file(instance: MeshInstance, directory: pathlib.Path) -> pathlib.Path:
    """Write the settings that the platform would render for an instance."""
    settings = instance.node.settings
    fields = {
        "instance": settings.instance,
        "data_centre": settings.data_centre,
        "service": settings.service,
        "first_start": True,
        "ip_address": instance.host,
        "metrics_port": METRICS_PORT,
        "link_mbps": 0,
        "bounds": {},
        "store": {"address": f"{STORE_HOST}:{STORE_PORT}"},
    }
    for name in ("caller", "peer", "ready", "announce", "backend"):
        host, port = getattr(settings, f"{name}_address")
        fields[f"{name}_address"] = f"{host}:{port}"
    path = directory / "settings.json"
    path.write_bytes(orjson.dumps(fields))
    return path


async def test_nodes_agree_on_the_owner_and_count_all_requests(
    surged: MeshFleet,
) -> None:
    """Guards against requests that are counted twice or not at all."""
    found = [await status_of(surged, one) for one in surged.instances]
    teams = [status.teams[0] for status in found]
    assert [(one.version, one.store_era, one.members) for one in found] == [
        (4, 1, 3)
    ] * 3
    assert {(one.team, one.limit_per_s, one.burst) for one in teams} == {
        ("riggers", RATE_PER_S, BURST)
    }
    assert len({one.owner for one in teams}) == 1
    assert [one.is_owner for one in teams].count(True) == 1
    assert sum(one.admitted + one.refused for one in teams) == REQUESTS
    served = sum(len(one.server.received) for one in surged.instances)
    assert sum(one.admitted - one.returned for one in teams) == served


async def test_only_the_owner_shows_an_account(surged: MeshFleet) -> None:
    """Guards against operators who look for the account at the wrong node."""
    for instance in surged.instances:
        (team,) = (await status_of(surged, instance)).teams
        host, port = instance.node.settings.peer_address
        assert team.is_owner is (team.owner == f"{host}:{port}")
        assert (team.account is not None) is team.is_owner
        if team.account is not None:
            assert (team.account.limit_per_s, team.account.nodes) == (RATE_PER_S, 3)


async def test_the_account_shows_the_demand_of_all_nodes(surged: MeshFleet) -> None:
    """Guards against a demand without refused requests, reported each 100 ms."""
    demand_per_s = 0.0
    async with asyncio.timeout(2):
        while demand_per_s <= REQUESTS / 2:
            found = [
                (await status_of(surged, one)).teams[0] for one in surged.instances
            ]
            (account,) = [one.account for one in found if one.account is not None]
            demand_per_s = account.demand_per_s


async def test_a_limiting_grant_is_shown(surged: MeshFleet) -> None:
    """Guards against a grant that is not shown while it refuses requests."""
    (team,) = (await status_of(surged, surged.instances[0])).teams
    assert team.refused > 0
    assert team.limited
    assert team.grant_per_s is not None
    assert 0 <= team.grant_per_s <= RATE_PER_S
    assert team.grant_age_ms is not None


async def test_metrics_show_limits_grants_and_use(surged: MeshFleet) -> None:
    """Guards against quotas that only the lines of refused requests show."""
    found = [await quota_series(surged, one) for one in surged.instances]
    assert {one["limit_per_s"] for one in found} == {RATE_PER_S}
    assert sum(one["owned"] for one in found) == 1
    served = sum(len(one.server.received) for one in surged.instances)
    returned = sum(one["returned_total"] for one in found)
    assert sum(one["admitted_total"] for one in found) - returned == served
    again = [await quota_series(surged, one) for one in surged.instances]
    totals = [one["admitted_total"] for one in found]
    assert [one["admitted_total"] for one in again] == totals


def test_quotas_of_teams_beyond_the_bound_are_shown_together() -> None:
    """Guards against series that grow with the number of teams.

    The text format asks for all lines of one metric in one group.
    """
    metrics = TeamMetrics()
    for number in range(SHOWN_TEAMS + 7):
        metrics.record(f"t{number}", TeamOutcome.GOOD)
        metrics.record_quota(f"t{number}", 3, 1)
    metrics.quota_gauges = {
        f"t{number}": {"limit_per_s": 10.0, "grant_per_s": 2.5, "owned": number % 2}
        for number in range(SHOWN_TEAMS + 7)
    }
    series = [line for line in metrics.lines() if "team_quota" in line]
    assert len(series) == 5 * (SHOWN_TEAMS + 1)
    names = [line.partition("{")[0] for line in series]
    assert [name for name, _ in groupby(names)] == list(dict.fromkeys(names))
    assert [line for line in series if f'"{OTHER}"' in line] == [
        'azurestep_team_quota_admitted_total{team="other"} 21',
        'azurestep_team_quota_returned_total{team="other"} 7',
        'azurestep_team_quota_limit_per_s{team="other"} 70',
        'azurestep_team_quota_grant_per_s{team="other"} 17.5',
        'azurestep_team_quota_owned{team="other"} 3',
    ]


def test_counters_keep_the_requests_of_teams_that_are_dropped() -> None:
    """Guards against counters that fall after a minute without requests."""
    fleet = ModelFleet(1, {"riggers": Team("riggers", 0, 100.0, 50.0)}, Random(1))
    node = fleet.nodes[0]
    quotas = quota_owner_way(node)
    node.way = quotas
    for _ in range(5):
        quotas.admit(fleet.teams["riggers"])
    quotas.give_back("riggers")
    fleet.run(120_000.0)
    assert describe_quotas(quotas)[0].admitted == 0
    quotas.count_uses()
    lines = quotas.metrics.lines()
    assert 'azurestep_team_quota_admitted_total{team="riggers"} 5' in lines
    assert 'azurestep_team_quota_returned_total{team="riggers"} 1' in lines


def test_a_node_without_use_shows_the_account_that_it_keeps() -> None:
    """Guards against an owner that hides a team which sends it no requests itself."""
    teams = {"riggers": Team("riggers", 0, 100.0, 50.0)}
    fleet = ModelFleet(3, teams, Random(1))
    sender = next(node for node in fleet.nodes if not is_owner(node))
    for _ in range(8):
        sender.way.admit(teams["riggers"])
    fleet.run(500.0)
    (owner,) = [node for node in fleet.nodes if is_owner(node)]
    assert isinstance(owner.way, Quotas)
    (team,) = describe_quotas(owner.way)
    assert (team.admitted, team.grant_per_s, team.is_owner) == (0, None, True)
    assert team.account is not None
    assert team.account.demand_per_s > 0


def is_owner(node: ModelNode) -> bool:
    assert isinstance(node.way, Quotas)
    node.way.on_reachability_change()
    node.way._refresh_peers()
    return node.way.owner_of("riggers") == node.address


async def run_status(
    run_command: RunCommand, *arguments: object, **variables: str
) -> CommandResult:
    return await asyncio.to_thread(run_command, "status", *arguments, **variables)


async def test_status_reads_the_address_from_the_settings(
    surged: MeshFleet, run_command: RunCommand, tmp_path: pathlib.Path
) -> None:
    """Guards against operators who must know the port of each node."""
    path = settings_file(surged.instances[1], tmp_path)
    named = await run_status(run_command, "--settings", path, "--json")
    (team,) = named.json["teams"]
    assert (named.status, named.json["instance"]) == (ExitStatus.OK, "node-2")
    assert (named.json["store_era"], named.json["store_reachable"]) == (1, True)
    assert (team["team"], team["limit_per_s"]) == ("riggers", RATE_PER_S)
    assert team["owner"] in {f"{one.host}:7102" for one in surged.instances}
    boot = await run_status(run_command, "--json", AZURESTEP_BOOT=str(path))
    assert boot.json["instance"] == "node-2"


async def test_status_takes_the_address_as_an_option(
    surged: MeshFleet, run_command: RunCommand
) -> None:
    """Guards against text that lacks what a refused team's operator looks for."""
    texts = []
    for instance in surged.instances:
        address = f"{instance.host}:{METRICS_PORT}"
        result = await run_status(run_command, "--metrics", address)
        assert result.status is ExitStatus.OK
        texts.append(result.stdout)
    for text in texts:
        assert "store        era 1, reachable" in text
        assert re.search(r"^riggers +20 +10 +\S+ +\d+ ms ago +yes ", text, re.M)
    owners = [text for text in texts if "(this node)" in text]
    assert len(owners) == 1
    assert re.search(r"^account +limit/s +demand/s +tokens", owners[0], re.M)


async def test_status_asks_the_operator_endpoint_where_one_is_named(
    fleet: FakeFleet, tmp_path: pathlib.Path
) -> None:
    """Guards against a changed answer for the other kind of node."""
    missing = str(tmp_path / "missing.json")
    result = await fleet.run("status", "--json", AZURESTEP_BOOT=missing)
    assert result.status is ExitStatus.OK
    assert "hash" in result.json


async def test_a_node_of_another_kind_is_told(fleet: FakeFleet) -> None:
    """Guards against a traceback where the address is not that of metrics."""
    address = fleet.variables["AZURESTEP_NODE"].removeprefix("http://")
    result = await fleet.run("status", "--metrics", address)
    assert result.status is ExitStatus.NODE_UNREACHABLE
    assert "no metrics address" in result.stderr


def test_the_text_is_bounded() -> None:
    """Guards against hundreds of rows; the JSON object has all teams."""
    team = TeamQuotaStatus("t", 4.0, 2.0, "10.0.0.1:1", False)
    teams = [attrs.evolve(team, team=f"t{number}") for number in range(77)]
    text = render(MeshStatus("i", "d", "", 4, 3, 1, True, teams))
    assert len(re.findall(r"^t\d+ ", text, re.M)) == 20
    assert text.endswith("57 more teams; --json shows all")


@pytest.mark.parametrize("teams", [[], [TeamQuotaStatus("t", 4.0, 2.0, "a:1", False)]])
def test_a_team_without_a_grant_is_shown(teams: list[TeamQuotaStatus]) -> None:
    """Guards against a status that fails before the first grant."""
    text = render(MeshStatus("i", "d", "", 0, 1, 0, False, teams))
    assert "era 0, not reachable" in text
    assert ("no team with a limit is in use" in text) is (not teams)


async def test_a_node_of_a_former_release_is_told(
    mesh: MeshFleet, run_command: RunCommand, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a traceback where all targets are answered with the metrics."""
    monkeypatch.setattr("azurestep.mesh.endpoints.STATUS_TARGET", b"")
    address = f"{mesh.instances[0].host}:{METRICS_PORT}"
    result = await run_status(run_command, "--metrics", address)
    assert result.status is ExitStatus.NODE_UNREACHABLE
    assert "Traceback" not in result.stderr
