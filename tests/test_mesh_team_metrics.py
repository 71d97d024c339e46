"""Calls are counted by team, for a bounded number of teams; lines name the team."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from azurestep.mesh.messages import Reason
from azurestep.mesh.metrics import Metrics
from azurestep.mesh.team_metrics import (
    OTHER,
    REVIEW_CALLS,
    SHOWN_TEAMS,
    TeamMetrics,
    TeamOutcome,
    outcome_of_refusal,
)
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from azurestep.routing.teams import digest_key

from .fixtures_mesh import MeshFleet, MeshLines, caller_headers, document

KEY = "k3y-of-riggers"
REFUSED_LINE = 9402
MEDIUM = 300_000
"""Bytes of an answer that is passed on piece by piece."""


@pytest.fixture
def metrics() -> TeamMetrics:
    return TeamMetrics()


@pytest_asyncio.fixture
async def team_mesh(mesh: MeshFleet) -> AsyncIterator[MeshFleet]:
    """Run three instances whose configuration has a team."""
    content = document(4, tenants={"riggers": {"api_keys": [KEY], "priority": 1}})
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    async with asyncio.timeout(5):
        while any(one.node.configuration.version != 4 for one in mesh.instances):
            await asyncio.sleep(0.02)
    yield mesh


async def ask(mesh: MeshFleet, request_id: str, key: str = KEY) -> int:
    headers = caller_headers(request_id)
    if key:
        headers["Authorization"] = f"Token {key}"
    url = mesh.instances[0].url("/read/1")
    async with mesh.session.get(url, headers=headers) as answer:
        await answer.read()
        return answer.status


def team_lines(mesh: MeshFleet) -> list[str]:
    return mesh.instances[0].node.runtime.metrics.teams.lines()


def count(metrics: TeamMetrics, team: str, calls: int) -> None:
    for _ in range(calls):
        metrics.record(team, TeamOutcome.GOOD)


def shown(metrics: TeamMetrics) -> dict[str, int]:
    rows = [line.rpartition(" ") for line in metrics.lines()]
    return {name.split('"')[1]: int(value) for name, _, value in rows}


def test_calls_without_a_team_are_not_counted() -> None:
    metrics = Metrics()
    before = metrics.text()
    metrics.teams.record("", TeamOutcome.GOOD)
    assert metrics.text() == before


def test_teams_beyond_the_bound_are_counted_together(metrics: TeamMetrics) -> None:
    for number in range(SHOWN_TEAMS + 57):
        count(metrics, f"t{number}", 2)
    found = shown(metrics)
    assert len(found) == SHOWN_TEAMS + 1
    assert found[OTHER] == 2 * 57


def test_a_team_that_sends_most_gets_a_series(metrics: TeamMetrics) -> None:
    for number in range(SHOWN_TEAMS):
        count(metrics, f"t{number}", 10)
    count(metrics, "large", REVIEW_CALLS - 10 * SHOWN_TEAMS)
    count(metrics, "large", 5)
    found = shown(metrics)
    assert found["large"] == 5
    assert found[OTHER] == REVIEW_CALLS - 10 * SHOWN_TEAMS
    assert len(found) == SHOWN_TEAMS + 1


def test_teams_of_about_equal_size_do_not_take_turns(metrics: TeamMetrics) -> None:
    names = [f"t{number}" for number in range(2 * SHOWN_TEAMS)]
    for _ in range(2 * REVIEW_CALLS // len(names)):
        for name in names:
            count(metrics, name, 2 if name in names[:SHOWN_TEAMS] else 3)
    assert set(shown(metrics)) == {*names[:SHOWN_TEAMS], OTHER}


def test_counters_of_the_others_never_fall(metrics: TeamMetrics) -> None:
    last = 0
    for burst in range(200):
        count(metrics, f"t{burst % 45}", 97)
        found = shown(metrics).get(OTHER, 0)
        assert found >= last
        last = found


def test_a_team_named_as_the_others_makes_no_second_series(
    metrics: TeamMetrics,
) -> None:
    count(metrics, OTHER, REVIEW_CALLS + 1)
    assert metrics.lines() == [
        f'azurestep_team_calls_total{{team="other",kind="good"}} {REVIEW_CALLS + 1}'
    ]


def test_names_are_escaped(metrics: TeamMetrics) -> None:
    count(metrics, 'a"b\\c\nd', 1)
    assert metrics.lines() == [
        r'azurestep_team_calls_total{team="a\"b\\c\nd",kind="good"} 1'
    ]


@pytest.mark.parametrize("reason", [Reason.OVERLOADED, Reason.PRESSURE, Reason.LEAVING])
def test_refusals_are_told_apart_by_quota_and_capacity(reason: Reason) -> None:
    assert outcome_of_refusal(reason) is TeamOutcome.REFUSED_CAPACITY
    assert outcome_of_refusal(Reason.QUOTA) is TeamOutcome.REFUSED_QUOTA


async def test_calls_are_counted_by_how_they_end(team_mesh: MeshFleet) -> None:
    assert await ask(team_mesh, "good") == 200
    for instance in team_mesh.instances:
        instance.server.work_s = 0.45
    assert await ask(team_mesh, "late") == 200
    team_mesh.instances[0].node.outbound.load_shedder.shed_ratio = (  # type: ignore[method-assign]
        lambda service, priority: 1.0
    )
    assert await ask(team_mesh, "shed") == 503
    assert await ask(team_mesh, "guess", "guess") == 401
    assert team_lines(team_mesh) == [
        'azurestep_team_calls_total{team="riggers",kind="good"} 1',
        'azurestep_team_calls_total{team="riggers",kind="late"} 1',
        'azurestep_team_calls_total{team="riggers",kind="refused_capacity"} 1',
    ]


async def test_an_answer_in_pieces_is_counted_once(team_mesh: MeshFleet) -> None:
    headers = {**caller_headers("large"), "Authorization": f"Token {KEY}"}
    url = team_mesh.instances[0].url("/pay/1")
    body = b"x" * MEDIUM
    async with team_mesh.session.post(url, data=body, headers=headers) as answer:
        assert len(await answer.read()) == MEDIUM
    assert team_lines(team_mesh) == [
        'azurestep_team_calls_total{team="riggers",kind="good"} 1'
    ]


async def test_a_refused_line_names_the_team_or_tells_unknown_keys_apart(
    team_mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    for name, key in (("guess", "gu3ss"), ("again", "gu3ss"), ("missing", "")):
        assert await ask(team_mesh, name, key) == 401
    node = team_mesh.instances[0].node
    node.outbound.load_shedder.shed_ratio = (  # type: ignore[method-assign]
        lambda service, priority: 1.0
    )
    assert await ask(team_mesh, "shed") == 503
    node.members.newest_version = 5
    assert await ask(team_mesh, "behind", "gu3ss") == 503
    found = mesh_lines.of(REFUSED_LINE)
    lines = {line["id"]: line for line in found}
    digest = digest_key(b"gu3ss").hex()[:8]
    for name in ("guess", "again", "behind"):
        assert (lines[name]["key"], lines[name]["version"]) == (digest, 4)
        assert "team" not in lines[name]
    assert lines["missing"]["key"] == "none"
    assert (lines["shed"]["team"], lines["shed"]["version"]) == ("riggers", 4)
    assert "key" not in lines["shed"]
    assert "gu3ss" not in str(found)
    assert KEY not in str(found)


async def test_lines_and_metrics_stay_as_they_are_without_teams(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    node = mesh.instances[0].node
    node.outbound.load_shedder.shed_ratio = (  # type: ignore[method-assign]
        lambda service, priority: 1.0
    )
    assert await ask(mesh, "shed") == 503
    (line,) = mesh_lines.of(REFUSED_LINE)
    assert set(line) == {"time", "event", "message", "id", "route", "status", "reason"}
    assert "team" not in node.runtime.metrics.text()
