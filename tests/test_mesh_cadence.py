"""Probes, load reports and configuration pushes between nodes stay bounded."""

import asyncio
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.decisions.cadence import (
    IDLE_PROBES_PER_S,
    MIN_IDLE_PROBE_INTERVAL_MS,
    MIN_REPORT_INTERVAL_MS,
    ReportPacer,
    idle_probe_interval_ms,
)
from azurestep.mesh.knowledge.configuration import Origin
from azurestep.mesh.links.link import UNRESPONSIVE_AFTER_MS
from azurestep.mesh.links.server import IncomingLink, IncomingLinks
from azurestep.mesh.messages import Kind, compress, decompress

from .fixtures_mesh import MeshFleet, document

LINKS = st.integers(min_value=1, max_value=2000)


@given(links=LINKS)
def test_a_node_sends_no_more_probes_than_its_rate(links: int) -> None:
    per_s = links * 1000 / idle_probe_interval_ms(links)
    assert per_s <= IDLE_PROBES_PER_S + 1e-6
    assert idle_probe_interval_ms(links) >= MIN_IDLE_PROBE_INTERVAL_MS


@given(links=LINKS)
def test_load_reports_stay_within_their_rate(links: int) -> None:
    pacer = ReportPacer(per_s=40.0)
    seconds = 100
    sent = sum(
        pacer.mark_sent_if_due(str(tick).encode(), links, tick * 100.0)
        for tick in range(seconds * 10)
    )
    assert (sent - 1) * links <= 40.0 * seconds
    assert sent <= seconds * 1000 / MIN_REPORT_INTERVAL_MS + 1


def test_an_unchanged_report_is_not_sent() -> None:
    pacer = ReportPacer(per_s=40.0)
    assert pacer.mark_sent_if_due(b"a", 2, 0.0)
    assert not pacer.mark_sent_if_due(b"a", 2, 10_000.0)
    assert not pacer.mark_sent_if_due(b"b", 2, 100.0)
    assert pacer.mark_sent_if_due(b"b", 2, 500.0)


@pytest.mark.parametrize("data", [b"", b"no zlib", compress(b"x" * 100)[:-3]])
def test_a_truncated_configuration_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="configuration"):
        decompress(data)


def test_a_large_configuration_is_compressed() -> None:
    routes = {f"route-{index}": {"path_prefix": f"/{index}/"} for index in range(3000)}
    content = document(1, routes=routes)
    assert len(compress(content)) * 4 < len(content)
    assert decompress(compress(content)) == content


async def test_a_leaving_server_is_reported_at_once_between_load_reports(
    mesh: MeshFleet,
) -> None:
    leaving, other = mesh.instances[0], mesh.instances[1]
    for links in (item.node.incoming_links for item in mesh.instances):
        links.broadcast_state()
    await leaving.beat(mesh.session, "draining")
    async with asyncio.timeout(0.2):
        while sum(e.open for e in other.node.members.endpoints("shop")) == 3:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("origin", Origin)
async def test_a_version_is_no_reason_for_an_urgent_report(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch, origin: Origin
) -> None:
    reports: list[int] = []
    original = IncomingLinks._write

    def counting(self: IncomingLinks, links: set[IncomingLink], data: bytes) -> None:
        reports.append(len(links) if data[1] == Kind.STATE else 0)
        original(self, links, data)

    monkeypatch.setattr(IncomingLinks, "_write", counting)
    incoming_links = mesh.instances[0].node.incoming_links
    configuration = mesh.instances[0].node.configuration
    remote = {one for one in incoming_links.links if not incoming_links._is_local(one)}
    incoming_links.broadcast_state()
    reports.clear()
    configuration.apply(document(40), origin)
    incoming_links.broadcast_state()
    assert max(reports, default=0) <= len(remote)
    await asyncio.sleep(0)


async def test_a_stalled_node_does_not_take_peers_for_unresponsive(
    mesh: MeshFleet,
) -> None:
    node = mesh.instances[0].node
    links = list(node.members.links.values())
    for link in links:
        assert link.connection is not None
        link.connection.ping()
    time.sleep(UNRESPONSIVE_AFTER_MS / 1000 + 0.05)
    node._tick([])
    assert not any(link.endpoint.unresponsive for link in links)


@pytest.mark.parametrize("origin", Origin)
async def test_only_the_node_that_read_a_version_tells_other_data_centres(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch, origin: Origin
) -> None:
    told: list[str] = []
    original = IncomingLink.write

    def recording(self: IncomingLink, data: bytes) -> None:
        if data[1] == Kind.VERSION_NOTICE and self.peer is not None:
            told.append(self.peer.data_centre)
        original(self, data)

    monkeypatch.setattr(IncomingLink, "write", recording)
    node = mesh.instances[0].node
    node.version_fetcher.root = node.settings.peer_address
    node.configuration.apply(document(50), origin)
    others = [one for one in told if one != node.settings.data_centre]
    assert bool(others) == (origin is Origin.STORE)
    assert len(told) > len(others)
