"""What a node does at rest doesn't grow with the number of its links."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

import pytest

from azurestep.mesh.decisions.cadence import MIN_IDLE_PROBE_INTERVAL_MS
from azurestep.mesh.decisions.pressure import LoadShedder, PressureReport
from azurestep.mesh.links import members as members_module
from azurestep.mesh.links.connection import BUSY_PROBE_INTERVAL_MS, PeerConnection
from azurestep.mesh.links.link import PeerLink
from azurestep.mesh.messages import Kind

from .fixtures_mesh import MeshFleet
from .test_mesh_faults import eventually

LONG_MS = 60_000.0
WATCHED_S = 0.6


@pytest.fixture
def long_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make idle links need no probe during a test."""
    monkeypatch.setattr(members_module, "idle_probe_interval_ms", lambda _: LONG_MS)


@pytest.fixture
def ticks(monkeypatch: pytest.MonkeyPatch) -> Counter[object]:
    """Count the ticks of links."""
    counts: Counter[object] = Counter()
    original = PeerLink.tick

    def tick(link: PeerLink, now_ms: float) -> None:
        counts[link] += 1
        original(link, now_ms)

    monkeypatch.setattr(PeerLink, "tick", tick)
    return counts


async def test_an_idle_link_is_not_ticked_before_it_is_due(
    mesh: MeshFleet, long_idle: None, ticks: Counter[object]
) -> None:
    await asyncio.sleep(WATCHED_S)
    ticks.clear()
    await asyncio.sleep(WATCHED_S)
    watched = {
        link
        for item in mesh.instances
        for link in item.node.members.preceding_readers()
    }
    assert len(watched) == 1
    assert set(ticks) <= watched
    probes = WATCHED_S * 1000 / MIN_IDLE_PROBE_INTERVAL_MS + 1
    assert sum(ticks.values()) <= 2 * probes


async def test_a_link_with_requests_is_probed_though_it_was_idle(
    mesh: MeshFleet, long_idle: None
) -> None:
    first, second, _ = mesh.instances
    await first.beat(mesh.session, "draining")
    await asyncio.sleep(WATCHED_S)
    second.server.work_s = 0.5
    mesh.instances[2].server.work_s = 0.5
    tasks = [
        asyncio.create_task(mesh.get(first, f"/read/{index}", f"r{index}"))
        for index in range(4)
    ]
    link = first.node.members.links[second.node.settings.peer_address]
    await eventually(lambda: bool(link.connection and link.connection.streams))
    before = link.connection.last_probe_ms
    await eventually(lambda: link.connection.last_probe_ms > before, 0.4)
    assert {status for status, _ in await asyncio.gather(*tasks)} == {200}


async def test_a_peer_that_was_just_heard_is_not_probed(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second, _ = mesh.instances
    pings: Counter[object] = Counter()
    original = PeerConnection.ping

    def ping(connection: PeerConnection) -> None:
        pings[connection] += 1
        original(connection)

    link = first.node.members.links[second.node.settings.peer_address]
    monkeypatch.setattr(PeerConnection, "ping", ping)
    for _ in range(20):
        for incoming in second.node.incoming_links.links:
            incoming.send(Kind.PONG)
        await asyncio.sleep(BUSY_PROBE_INTERVAL_MS / 2000)
    assert pings[link.connection] <= 1


@pytest.fixture
async def updates(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[list[int]]:
    """Numbers of reports in the updates of the first node's load shedder."""
    shedder = mesh.instances[0].node.outbound.load_shedder
    found: list[int] = []
    original = LoadShedder.update

    def update(self: LoadShedder, reports: list[PressureReport]) -> None:
        if self is shedder:
            found.append(len(reports))
        original(self, reports)

    await asyncio.sleep(0.3)
    monkeypatch.setattr(LoadShedder, "update", update)
    yield found


async def test_an_unchanged_pressure_is_not_summed_up_again(
    mesh: MeshFleet, updates: list[int]
) -> None:
    await asyncio.sleep(0.3)
    assert updates == []
    refusals = mesh.instances[0].node.call_context.refusals
    for _ in range(30):
        refusals.record_offered("read", "shop", 2)
        refusals.record_refused("read")
    await eventually(lambda: bool(updates), 0.4)
    assert updates[0] == len(mesh.instances)


async def test_a_peer_that_is_lost_ends_its_part_of_the_pressure(
    mesh: MeshFleet, updates: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second, _ = mesh.instances
    monkeypatch.setattr(PeerLink, "_dial", hang)
    first.node.members.links[second.node.settings.peer_address].close()
    await eventually(lambda: updates == [len(mesh.instances) - 1], 0.4)


async def hang(link: PeerLink) -> None:
    """Replace a dial by one that never ends."""
    await asyncio.sleep(LONG_MS)
