"""Runs end soon after their callers have left, also where cancels come late."""

import asyncio
import pathlib
import socket
from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio
from aiohttp import ClientSession

from azurestep.http.client import ClientConnection
from azurestep.http.hangup import is_socket_closed
from azurestep.mesh.links.connection import PeerConnection
from azurestep.mesh.links.server import IncomingLink
from azurestep.mesh.messages import Kind, encode, fields_of
from standins.store import StoreStandIn

from .fixtures_mesh import (
    MeshFleet,
    MeshInstance,
    MeshLines,
    caller_headers,
)
from .test_mesh_departed_callers import (
    NOTICED_S,
    connect,
    encode_link_request,
    encode_request,
    leave,
    make_link_request,
    now_ms,
    open_link,
)
from .test_mesh_faults import eventually
from .test_mesh_refusals import drain_all_but, read

DELAY_MS = 600.0
NARROW_MBPS = 7.0
NARROW_BYTES_PER_S = NARROW_MBPS * 125_000
UPLOADS_BYTES = [500_000, 100_000]
"""Sizes of uploads that take 0.7 s of a narrow link."""
ANSWER_BYTES = 200_000
"""Size of answers of which one for each slot takes 0.9 s of a narrow link."""
ANSWER_AFTER_MS = 300


async def test_line_of_a_cancel_tells_how_late_it_came(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    # Without it, a late cancel looks like a caller that left late.
    instance = mesh.instances[0]
    instance.server.work_s = 5.0
    link = await open_link(instance)
    for stream_id, delay_ms in ((1, 0.0), (2, DELAY_MS)):
        link.sendall(encode_link_request(instance, f"left-{stream_id}", stream_id))
        await eventually(lambda: instance.server.running == 1)
        link.sendall(encode(Kind.CANCEL, stream_id, now_ms() - delay_ms))
        await eventually(lambda: instance.server.running == 0)
    await asyncio.sleep(0.15)
    told_ms = [line["cancel_late_ms"] for line in mesh_lines.of(9504)]
    assert told_ms[0] < DELAY_MS / 2 < told_ms[1]
    metrics = instance.node.runtime.metrics.text()
    assert 'azurestep_cancel_late_ms_bucket{le="400"} 1' in metrics
    assert "azurestep_cancel_late_ms_count 2" in metrics
    link.close()


class NarrowLink:
    """The link of one instance: what its node sends to others leaves in order."""

    def __init__(self) -> None:
        self._free_s = 0.0

    def send(self, connection: PeerConnection | IncomingLink, data: bytes) -> None:
        """Write a message once all earlier ones have left."""
        loop = asyncio.get_running_loop()
        begin_s = max(loop.time(), self._free_s)
        self._free_s = begin_s + len(data) / NARROW_BYTES_PER_S
        loop.call_at(self._free_s, self._write, connection, data)

    def _write(self, connection: PeerConnection | IncomingLink, data: bytes) -> None:
        transport = connection._transport
        if transport is not None and not transport.is_closing():
            transport.write(data)


@pytest_asyncio.fixture
async def narrow_mesh(
    mesh_store: StoreStandIn, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[MeshFleet]:
    """Run three connected instances, the second one behind a narrow link."""
    async with ClientSession() as session:
        mesh = MeshFleet(mesh_store, session, tmp_path / "settings.json")
        mesh.link_mbps = {2: NARROW_MBPS}
        for index in (1, 2, 3):
            await mesh.add(index)
        await mesh.wait_until_connected()
        link, narrow = NarrowLink(), mesh.instances[1].node.runtime
        send, write = PeerConnection.send, IncomingLink.write

        def send_over_link(one: PeerConnection, kind: Kind, *fields: object) -> None:
            if one.link.runtime is narrow:
                link.send(one, encode(kind, *fields))
            else:
                send(one, kind, *fields)

        def write_over_link(one: IncomingLink, data: bytes) -> None:
            if one.incoming_links.runtime is narrow:
                link.send(one, data)
            else:
                write(one, data)

        monkeypatch.setattr(PeerConnection, "send", send_over_link)
        monkeypatch.setattr(IncomingLink, "write", write_over_link)
        yield mesh
        await mesh.stop()


async def upload(mesh: MeshFleet, instance: MeshInstance, size_bytes: int) -> int:
    async with mesh.session.post(
        instance.url("/pay/1?ms=5"),
        data=bytes(size_bytes),
        headers=caller_headers(f"up-{size_bytes}"),
    ) as answer:
        await answer.read()
        return answer.status


async def test_cancels_of_reads_do_not_wait_behind_bodies_on_a_narrow_link(
    narrow_mesh: MeshFleet,
) -> None:
    serving, away = narrow_mesh.instances[:2]
    await drain_all_but(narrow_mesh, serving)
    serving.server.slots = 8
    serving.server.work_s = 3.0
    reading = [connect(away) for _ in range(2)]
    for index, caller in enumerate(reading):
        caller.sendall(encode_request(f"left-{index}"))
    await eventually(lambda: serving.server.running == len(reading))
    uploads = [
        asyncio.create_task(upload(narrow_mesh, away, size_bytes))
        for size_bytes in UPLOADS_BYTES
    ]
    await eventually(lambda: any(serving.node.inbound.transfers))
    await asyncio.sleep(0.02)
    for caller in reading:
        leave(caller, "close")
    await asyncio.sleep(NOTICED_S)
    assert serving.server.cancelled == len(reading)
    assert await asyncio.gather(*uploads) == [200, 200]
    bodies = [one.body for one in serving.server.received if one.method == "POST"]
    assert sorted(bodies, key=len, reverse=True) == list(map(bytes, UPLOADS_BYTES))


async def test_cancels_of_reads_do_not_wait_behind_answers_on_a_narrow_link(
    narrow_mesh: MeshFleet,
) -> None:
    narrow = narrow_mesh.instances[1]
    others = [one.server for one in narrow_mesh.instances if one is not narrow]
    for server in others:
        server.work_s = 3.0
    link = await open_link(narrow)
    body = bytes(ANSWER_BYTES)
    for stream_id in range(1, narrow.server.slots + 1):
        request = attrs.evolve(
            make_link_request(narrow, f"long-{stream_id}", 4000.0),
            method=b"POST",
            target=b"/read/1?ms=%d" % ANSWER_AFTER_MS,
            length=len(body),
            body=body,
        )
        link.sendall(encode(Kind.REQUEST, stream_id, *fields_of(request)))
    await eventually(lambda: narrow.server.running == narrow.server.slots)
    reading = [connect(narrow) for _ in range(2)]
    for index, caller in enumerate(reading):
        caller.sendall(encode_request(f"left-{index}"))
    await eventually(lambda: sum(one.running for one in others) == len(reading))
    await eventually(lambda: narrow.server.running == 0)
    await asyncio.sleep(0.02)
    for caller in reading:
        leave(caller, "close")
    await asyncio.sleep(NOTICED_S)
    assert sum(one.cancelled for one in others) == len(reading)
    link.close()


async def test_reads_do_not_begin_for_a_node_that_stands_still(
    mesh: MeshFleet,
) -> None:
    serving = mesh.instances[0]
    await drain_all_but(mesh, serving)
    serving.server.work_s = 0.7
    silent, alive = await open_link(serving), await open_link(serving)
    running = [
        asyncio.create_task(read(mesh, serving, f"r{index}"))
        for index in range(serving.server.slots)
    ]
    await eventually(lambda: serving.server.running == serving.server.slots)
    silent.sendall(encode_link_request(serving, "silent", 1, 1800.0))
    alive.sendall(encode_link_request(serving, "alive", 1, 1800.0))
    await asyncio.gather(*running)
    await asyncio.sleep(0.05)
    alive.sendall(encode(Kind.PROCEED, 1))
    await eventually(lambda: serving.server.runs["alive"] == 1)
    await asyncio.sleep(0.7)
    assert serving.server.runs["silent"] == 0
    assert serving.node.inbound.admission.in_flight <= 1
    silent.close()
    alive.close()


async def test_a_server_notices_a_cancel_though_it_has_not_read_the_body() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            ClientConnection, *listener.getsockname()
        )
        server, _ = listener.accept()
        with server:
            connection.send(bytes(8_000_000), None, False)  # type: ignore[arg-type]
            await asyncio.sleep(0.1)
            connection.abort()
            await asyncio.sleep(NOTICED_S)
            assert is_socket_closed(server.fileno())
