"""Keys identify teams at the first node, and never reach a backend server."""

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio

from azurestep.errors import ConfigurationError
from azurestep.mesh.decisions.pressure import LoadShedder
from azurestep.platform.document import read_document
from azurestep.platform.headers import read_keys, replace_credentials
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from azurestep.routing.authentication import (
    Access,
    effective_priority,
    identify,
)
from azurestep.routing.model import Document, Route
from standins.signing_server import Received
from standins.store import Trouble

from .fixtures_mesh import CALLER_PORT, MeshFleet, MeshLines, caller_headers, document

KEY = "k3y-of-riggers"
NEW_KEY = "second-k3y"
TENANTS = {
    "riggers": {"api_keys": [KEY], "priority": 1, "requests_per_s": 0, "burst": 0},
    "yards": {"api_keys": ["yard-k3y"], "priority": 0},
}
REFUSED_LINE = 9402


def team_document(version: int, *keys: str) -> bytes:
    tenants = {**TENANTS, "riggers": {"api_keys": list(keys), "priority": 1}}
    return document(version, tenants=tenants)


@pytest.fixture
def teams() -> Document:
    return read_document(team_document(1, KEY))


@pytest.fixture
def route(teams: Document) -> Route:
    return teams.routes[0]


@pytest_asyncio.fixture
async def team_mesh(mesh: MeshFleet) -> AsyncIterator[MeshFleet]:
    """Run three instances whose configuration has teams."""
    await publish(mesh, 4, KEY)
    yield mesh


async def publish(mesh: MeshFleet, version: int, *keys: str) -> None:
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, team_document(version, *keys))
    async with asyncio.timeout(5):
        while any(one.node.configuration.version != version for one in mesh.instances):
            await asyncio.sleep(0.02)


async def ask(
    mesh: MeshFleet, request_id: str, *headers: tuple[str, str], path: str = "/read/1"
) -> int:
    """Send a request with further headers, which may repeat, and return its status."""
    host = mesh.instances[0].host
    reader, writer = await asyncio.open_connection(host, CALLER_PORT)
    lines = [f"GET {path} HTTP/1.1"]
    lines += [
        f"{name}: {value}"
        for name, value in [*caller_headers(request_id).items(), *headers]
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


def received(mesh: MeshFleet) -> list[Received]:
    return [one for item in mesh.instances for one in item.server.received]


def test_a_key_that_two_teams_share_makes_the_document_invalid() -> None:
    tenants = {name: {"api_keys": ["same"]} for name in ("riggers", "yards")}
    with pytest.raises(ConfigurationError) as caught:
        read_document(document(1, tenants=tenants))
    assert "share a key" in caught.value.problem
    assert "same" not in caught.value.problem


def test_a_document_without_teams_asks_for_no_keys() -> None:
    assert read_document(document(1)).teams is None


def test_a_document_does_not_show_its_keys(teams: Document) -> None:
    assert KEY not in repr(teams)


@pytest.mark.parametrize(
    ("keys", "outdated", "access"),
    [
        ([KEY], False, Access.ALLOWED),
        ([KEY, KEY], False, Access.ALLOWED),
        ([KEY, "yard-k3y"], False, Access.UNKNOWN_KEY),
        (["guess"], False, Access.UNKNOWN_KEY),
        (["guess"], True, Access.UNDECIDED),
        ([], True, Access.UNKNOWN_KEY),
        ([""], False, Access.UNKNOWN_KEY),
    ],
)
def test_a_request_is_allowed_only_with_one_known_key(
    teams: Document, route: Route, keys: list[str], outdated: bool, access: Access
) -> None:
    assert teams.teams is not None
    presented = [key.encode() for key in keys]
    found = identify(teams.teams, route, presented, outdated=outdated)
    assert found.access is access


def test_a_known_key_is_not_used_after_too_long_without_contact(
    teams: Document, route: Route
) -> None:
    assert teams.teams is not None
    found = identify(teams.teams, route, [KEY.encode()], expired=True)
    assert found.access is Access.UNDECIDED


def test_the_priority_of_the_team_precedes_that_of_the_route(
    teams: Document, route: Route
) -> None:
    assert teams.teams is not None
    urgent, usual = teams.teams.get("yards"), teams.teams.get("riggers")
    assert effective_priority(route, urgent) < effective_priority(route, usual)


@pytest.mark.parametrize(
    "name", ["Authorization", "authorization", "AUTHORIZATION", "aUthorization"]
)
@pytest.mark.parametrize("value", ["Token s3cret", "token  s3cret ", "TOKEN\ts3cret"])
def test_no_spelling_of_the_header_lets_a_key_pass(name: str, value: str) -> None:
    headers = [(name.encode(), value.encode()), (b"Tenant", b"forged"), (b"A", b"b")]
    assert replace_credentials(headers, "riggers") == [
        (b"A", b"b"),
        (b"Tenant", b"riggers"),
    ]


def test_the_key_may_stand_apart_by_any_white_space() -> None:
    assert read_keys([(b"Authorization", b"Token\ts3cret")]) == [b"s3cret"]


async def test_a_backend_server_learns_the_team_and_not_the_key(
    team_mesh: MeshFleet,
) -> None:
    for number in range(12):
        headers = ("Authorization", f"Token {KEY}"), ("Tenant", "yards")
        assert await ask(team_mesh, f"q{number}", *headers) == 200
    servers = [one.server.received for one in team_mesh.instances]
    assert sum(1 for one in servers if one) > 1, "a second node got none of them"
    for one in received(team_mesh):
        assert one.headers.get("tenant") == "riggers"
        assert "authorization" not in one.headers
        assert KEY not in str(one)


async def test_a_request_without_a_known_key_does_not_run(
    team_mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    guess = "wrong-k3y"
    assert await ask(team_mesh, "none") == 401
    assert await ask(team_mesh, "guess", ("Authorization", f"Token {guess}")) == 401
    assert await ask(team_mesh, "basic", ("Authorization", f"Basic {KEY}")) == 401
    assert not received(team_mesh)
    lines = mesh_lines.of(REFUSED_LINE)
    assert {line["reason"] for line in lines} == {"UNKNOWN_KEY"}
    assert guess not in str(lines)


async def test_trailers_of_a_body_bring_no_team(team_mesh: MeshFleet) -> None:
    host = team_mesh.instances[0].host
    reader, writer = await asyncio.open_connection(host, CALLER_PORT)
    head = ["POST /pay/1 HTTP/1.1", "Transfer-Encoding: chunked"]
    head += [f"{name}: {value}" for name, value in caller_headers("trailing").items()]
    head += [f"Authorization: Token {KEY}", "Trailer: Tenant", "", "1", "x", "0"]
    tail = ["Tenant: yards", "Authorization: Token yard-k3y", "", ""]
    writer.write("\r\n".join([*head, *tail]).encode())
    assert b" 200 " in await reader.readline()
    writer.close()
    (run,) = received(team_mesh)
    assert run.headers.get("tenant") == "riggers"
    assert "authorization" not in run.headers


async def test_a_removed_key_stops_at_an_open_connection(team_mesh: MeshFleet) -> None:
    headers = {**caller_headers("before"), "Authorization": f"Token {KEY}"}
    url = team_mesh.instances[0].url("/read/1")
    async with team_mesh.session.get(url, headers=headers) as answer:
        assert answer.status == 200
    await publish(team_mesh, 5, NEW_KEY)
    headers["Attempt-Id"] = "after"
    async with team_mesh.session.get(url, headers=headers) as answer:
        assert answer.status == 401
    assert {one.headers["attempt-id"] for one in received(team_mesh)} == {"before"}


async def test_a_node_that_is_behind_does_not_deny_a_key(team_mesh: MeshFleet) -> None:
    node = team_mesh.instances[0].node
    node.members.newest_version = node.configuration.version + 1
    assert await ask(team_mesh, "new", ("Authorization", f"Token {NEW_KEY}")) == 503
    node.members.newest_version = node.configuration.version
    assert await ask(team_mesh, "new2", ("Authorization", f"Token {NEW_KEY}")) == 401


def bound_revocation(mesh: MeshFleet, strict: bool) -> None:
    for instance in mesh.instances:
        node = instance.node
        bounds = attrs.evolve(
            node.settings.bounds, revoke_ms=2500.0, strict_revocation=strict
        )
        node.settings = attrs.evolve(node.settings, bounds=bounds)
        node._apply_revocation_bound()


@pytest.mark.parametrize(("strict", "status"), [(True, 503), (False, 200)])
async def test_a_known_key_while_the_store_is_away(
    team_mesh: MeshFleet, strict: bool, status: int
) -> None:
    """Guards against removed keys that are used on where no removal can be learned."""
    bound_revocation(team_mesh, strict)
    key = ("Authorization", f"Token {KEY}")
    await asyncio.sleep(3.0)
    assert await ask(team_mesh, "in-contact", key) == 200
    team_mesh.store.trouble = Trouble.RESET
    await asyncio.sleep(3.0)
    assert await ask(team_mesh, "cut-off", key) == status


async def test_a_public_route_needs_no_key(mesh: MeshFleet) -> None:
    routes = {
        "calls": {
            "host": "shop.example",
            "path_prefix": "/read/",
            "route_kind": "safe",
            "service": "shop",
            "public": True,
        }
    }
    content = document(4, tenants=TENANTS, routes=routes)
    mesh.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)
    async with asyncio.timeout(5):
        while any(one.node.configuration.version != 4 for one in mesh.instances):
            await asyncio.sleep(0.02)
    assert await ask(mesh, "call", ("Tenant", "yards")) == 200
    (run,) = received(mesh)
    assert "tenant" not in run.headers


async def test_headers_pass_unchanged_where_there_are_no_teams(mesh: MeshFleet) -> None:
    headers = ("Authorization", "Token any"), ("Tenant", "any")
    assert await ask(mesh, "plain", *headers) == 200
    (run,) = received(mesh)
    assert run.headers.get("authorization") == "Token any"
    assert run.headers.get("tenant") == "any"


class FullShedder(LoadShedder):
    """Sheds all requests."""

    def shed_ratio(self, service: str, priority: int) -> float:
        return 1.0


async def test_a_shed_caller_is_told_a_wait_that_it_keeps_to(
    team_mesh: MeshFleet,
) -> None:
    """Callers told to wait longer than a third of their time ask when they like."""
    team_mesh.instances[0].node.outbound.load_shedder = FullShedder()
    headers = {**caller_headers("w1", 600), "Authorization": f"Token {KEY}"}
    url = team_mesh.instances[0].url("/read/1")
    async with team_mesh.session.get(url, headers=headers) as answer:
        assert answer.status == 503
        assert 0 < float(answer.headers["Retry-After"]) <= 0.2
    assert not received(team_mesh)


async def test_calls_between_services_are_not_shed(team_mesh: MeshFleet) -> None:
    """Guards against runs that fail as their calls are shed at the first node."""
    node = team_mesh.instances[0].node
    node.outbound.load_shedder = FullShedder()
    node.members.called_routes.add("read")
    key = ("Authorization", f"Token {KEY}")
    assert await ask(team_mesh, "c1", key) == 200


async def test_a_request_without_the_time_for_a_run_is_refused_at_once(
    team_mesh: MeshFleet,
) -> None:
    """Guards the slots against runs that are cut off at their deadline."""
    node = team_mesh.instances[0].node
    node.call_context.mean_run_times.record_run("read", 5000.0)
    headers = {**caller_headers("t1", 600), "Authorization": f"Token {KEY}"}
    url = team_mesh.instances[0].url("/read/1")
    async with team_mesh.session.get(url, headers=headers) as answer:
        assert answer.status == 503
        assert 0 < float(answer.headers["Retry-After"]) <= 0.2
    assert not received(team_mesh)
