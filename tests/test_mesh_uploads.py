"""Long request bodies: received in pieces, as the link allows."""

import asyncio
import math

import pytest

from azurestep.mesh.callers.body import LARGE_BODY_BYTES
from azurestep.mesh.decisions.transfers import (
    PIECE_BYTES,
    STALLED_AFTER_MS,
    UNKNOWN_LENGTH_BYTES,
    BodyTransfers,
)
from azurestep.mesh.links.connection import PeerConnection
from azurestep.mesh.messages import Kind

from .fixtures_mesh import MeshFleet, MeshInstance, caller_headers

BODY = b"u" * (LARGE_BODY_BYTES * 4)


@pytest.fixture
def transfers() -> BodyTransfers:
    """Return the transfers of a node whose link carries a body in 150 ms."""
    return BodyTransfers(link_bytes_per_ms=400.0)


def granted(transfers: BodyTransfers, now_ms: float = 0.0) -> dict[object, int]:
    found: dict[object, int] = {}
    for grant in transfers.grant(now_ms):
        found[grant.owner] = found.get(grant.owner, 0) + grant.size_bytes
    return found


def test_bytes_on_the_way_are_limited(transfers: BodyTransfers) -> None:
    for name in ("a", "b"):
        transfers.add(name, 60_000, in_pieces=True)
    assert granted(transfers) == {"a": 3 * PIECE_BYTES}
    assert granted(transfers) == {}
    transfers.record_received("a", PIECE_BYTES, 20.0)
    assert granted(transfers, 20.0) == {"a": PIECE_BYTES}


def test_a_wide_link_gets_all_bodies_at_once() -> None:
    transfers = BodyTransfers()
    for name in range(5):
        transfers.add(name, 60_000, in_pieces=True)
    assert granted(transfers) == dict.fromkeys(range(5), 60_000)
    assert transfers.wait_ms() == 0.0


def test_a_transfer_that_ended_while_it_waited_is_not_granted(
    transfers: BodyTransfers,
) -> None:
    for name in ("a", "b", "c"):
        transfers.add(name, 20_000, in_pieces=True)
    transfers.grant(0.0)
    transfers.remove("b")
    transfers.remove("a")
    assert granted(transfers, 1.0) == {"c": 20_000}


def test_a_silent_sender_does_not_keep_the_link(transfers: BodyTransfers) -> None:
    transfers.add("silent", 60_000, in_pieces=True)
    transfers.add("other", 20_000, in_pieces=True)
    transfers.grant(0.0)
    assert granted(transfers, STALLED_AFTER_MS) == {}
    found = granted(transfers, STALLED_AFTER_MS + 1)
    assert sum(found.values()) >= 20_000


def test_the_rate_is_learned_from_what_arrives(transfers: BodyTransfers) -> None:
    """Other messages take half of the link; a backlog must not look half as long."""
    now_ms = 0.0
    transfers.add("a", 4_000_000, in_pieces=True)
    for _ in range(200):
        transfers.grant(now_ms)
        now_ms += PIECE_BYTES / 200
        transfers.record_received("a", PIECE_BYTES, now_ms)
    assert transfers.rate_bytes_per_ms == pytest.approx(200.0, rel=0.05)
    assert transfers.transfer_ms(60_000) == pytest.approx(300.0, rel=0.05)


def test_a_pause_between_bodies_does_not_lower_the_rate(
    transfers: BodyTransfers,
) -> None:
    for number in range(50):
        start_ms = number * 200.0
        transfers.add(number, 2 * PIECE_BYTES, in_pieces=True)
        transfers.grant(start_ms)
        transfers.record_received(number, PIECE_BYTES, start_ms + 21.0)
        transfers.remove(number)
    assert transfers.rate_bytes_per_ms == 400.0


def test_a_body_of_unknown_length_is_granted_until_it_ends(
    transfers: BodyTransfers,
) -> None:
    transfers.add("a", -1, in_pieces=True)
    received = 0
    while received < 3 * UNKNOWN_LENGTH_BYTES:
        size = granted(transfers, received).get("a", 0)
        assert size
        received += size
        transfers.record_received("a", size, received)


async def upload(mesh: MeshFleet, instance: MeshInstance, name: str) -> int:
    async with mesh.session.post(
        instance.url("/pay/1"), data=BODY, headers=caller_headers(name)
    ) as answer:
        await answer.read()
        return answer.status


async def test_uploads_arrive_whole_and_once_through_every_node(
    mesh: MeshFleet,
) -> None:
    names = [f"u{index}" for index in range(18)]
    statuses = await asyncio.gather(
        *(
            upload(mesh, mesh.instances[index % 3], name)
            for index, name in enumerate(names)
        )
    )
    assert statuses == [200] * 18
    received = [one for item in mesh.instances for one in item.server.received]
    assert all(one.body == BODY for one in received)
    assert len(received) == 18


async def test_uploads_arrive_whole_over_narrow_links(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.node.inbound.transfers.link_bytes_per_ms = 400.0
    names = [f"u{index}" for index in range(9)]
    statuses = await asyncio.gather(
        *(upload(mesh, mesh.instances[0], name) for name in names)
    )
    received = [one for item in mesh.instances for one in item.server.received]
    assert all(one.body == BODY for one in received)
    assert len(received) == statuses.count(200) >= len(names) // 2
    assert set(statuses) <= {200, 503}


async def test_a_refused_upload_sends_no_body(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[int] = []
    original = PeerConnection.send

    def counting(self: PeerConnection, kind: Kind, *fields: object) -> None:
        if kind in (Kind.REQUEST, Kind.BODY):
            sent.append(sum(len(one) for one in fields if isinstance(one, bytes)))
        original(self, kind, *fields)

    monkeypatch.setattr(PeerConnection, "send", counting)
    asked = mesh.instances[0]
    await asked.beat(mesh.session, "draining")
    for instance in mesh.instances[1:]:
        instance.node.inbound.connections.unreachable = True
        instance.node.inbound.connections.next_reconnect_ms = math.inf
    assert await upload(mesh, asked, "refused") == 503
    assert sum(sent) < LARGE_BODY_BYTES
    for instance in mesh.instances[1:]:
        instance.node.inbound.connections.unreachable = False
    assert await upload(mesh, asked, "taken") == 200
    assert sum(sent) >= len(BODY)
