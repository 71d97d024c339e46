"""Long request bodies: transferred once there is a slot, a few at a time."""

import asyncio
import math

import pytest

from azurestep.mesh.backend.transfers import MAX_CONCURRENT_TRANSFERS, BodyTransfers
from azurestep.mesh.callers.body import LARGE_BODY_BYTES
from azurestep.mesh.links.connection import PeerConnection
from azurestep.mesh.messages import Kind

from .fixtures_mesh import MeshFleet, MeshInstance, caller_headers

BODY = b"u" * (LARGE_BODY_BYTES * 4)


class FakeTransfer:
    """A request that waits for its body."""

    def request_body(self) -> None:
        raise AssertionError("BodyTransfers must not call request_body")


@pytest.fixture
def transfers() -> BodyTransfers:
    return BodyTransfers()


def test_concurrent_transfers_are_limited(transfers: BodyTransfers) -> None:
    requests = [FakeTransfer() for _ in range(MAX_CONCURRENT_TRANSFERS + 2)]
    assert [transfers.begin(one) for one in requests] == [
        True
    ] * MAX_CONCURRENT_TRANSFERS + [False] * 2
    assert transfers.start_next() is None
    transfers.end(requests[0])
    assert transfers.start_next() is requests[MAX_CONCURRENT_TRANSFERS]
    assert transfers.start_next() is None


def test_a_transfer_that_ended_while_it_waited_does_not_begin(
    transfers: BodyTransfers,
) -> None:
    requests = [FakeTransfer() for _ in range(MAX_CONCURRENT_TRANSFERS + 2)]
    for one in requests:
        transfers.begin(one)
    transfers.end(requests[MAX_CONCURRENT_TRANSFERS])
    transfers.end(requests[0])
    assert transfers.start_next() is requests[MAX_CONCURRENT_TRANSFERS + 1]
    assert transfers.start_next() is None


def test_a_new_transfer_does_not_overtake_waiting_ones(
    transfers: BodyTransfers,
) -> None:
    requests = [FakeTransfer() for _ in range(MAX_CONCURRENT_TRANSFERS + 2)]
    for one in requests[:-1]:
        transfers.begin(one)
    transfers.end(requests[0])
    assert not transfers.begin(requests[-1])
    assert transfers.start_next() is requests[MAX_CONCURRENT_TRANSFERS]


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
        instance.node.inbound.unreachable = True
        instance.node.inbound._next_reconnect_ms = math.inf
    assert await upload(mesh, asked, "refused") == 503
    assert sum(sent) < LARGE_BODY_BYTES
    for instance in mesh.instances[1:]:
        instance.node.inbound.unreachable = False
    assert await upload(mesh, asked, "taken") == 200
    assert sum(sent) >= len(BODY)
