"""Long answers are complete or visibly truncated, and harm no other answer."""

import asyncio

import pytest

from azurestep.http.client import ClientConnection, Headers
from standins.signing_server import Received, signed

from .fixtures_mesh import MeshFleet
from .test_mesh_faults import block_sending, eventually

LONG_ANSWER_BYTES = 540_000


class PausingSink:
    """Pauses its connection at the last part of an answer, as a full window does."""

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.completed = False

    def on_head(self, status: int, headers: Headers) -> bool:
        return True

    def on_data(self, data: bytes) -> None:
        self.connection.pause_reading()

    def on_complete(self, reusable: bool) -> None:
        self.completed = True

    def on_failed(self, reason: str) -> None:
        raise AssertionError(reason)

    def on_writable(self) -> None:
        pass


class FakeTransport(asyncio.Transport):
    """Records whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True

    def write(self, data: bytes) -> None:  # type: ignore[override]
        pass

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


def test_a_connection_paused_at_the_end_of_an_answer_reads_the_next_one() -> None:
    connection, transport = ClientConnection(), FakeTransport()
    connection.connection_made(transport)
    sink = PausingSink(connection)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", sink, True)
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
    assert sink.completed
    assert connection.usable
    assert transport.reading


def body_of(received: Received) -> bytes:
    size = int(received.target.rpartition("/")[2])
    return received.headers["attempt-id"].encode().ljust(size, b".")


def long_answer(received: Received) -> bytes:
    return signed(received, body_of(received))


async def test_answers_after_a_long_one_are_delivered(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.server.answer_override = long_answer
    for index in range(12):
        size = LONG_ANSWER_BYTES if index % 2 == 0 else 300
        path = f"/read/{size}"
        caller = mesh.instances[index % 3]
        status, body = await mesh.get(caller, path, f"d{index}")
        assert status == 200
        assert body == f"d{index}".encode().ljust(size, b".")


@pytest.mark.parametrize("kept", [1000, 300_000])
async def test_a_truncated_long_answer_never_looks_complete(
    mesh: MeshFleet, kept: int
) -> None:
    for instance in mesh.instances:
        instance.server.answer_override = lambda received: long_answer(received)[:kept]
    reader, writer = await asyncio.open_connection(mesh.instances[0].host, 7101)
    writer.write(
        f"GET /read/{LONG_ANSWER_BYTES} HTTP/1.1\r\nHost: shop.example\r\n"
        "Attempt-Id: c1\r\nDeadline-Milliseconds: 900\r\n\r\n".encode()
    )
    answer = b""
    try:
        async with asyncio.timeout(3):
            while data := await reader.read(65536):
                answer += data
                if answer.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504")):
                    break
    except ConnectionError:
        pass
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    whole = f"Content-Length: {len(body)}".encode() in head
    assert not (head.startswith(b"HTTP/1.1 200") and whole)


async def count_runs_with_unresponsive_link(mesh: MeshFleet, answer_bytes: int) -> int:
    """Suspend the link of a running read for a while; count the runs of the read."""
    caller, *servers = mesh.instances
    await caller.beat(mesh.session, "draining")
    await asyncio.sleep(0.05)
    for _ in range(40):
        caller.node.call_context.answer_sizes.record_size("read", answer_bytes)
    for instance in servers:
        instance.server.work_s = 0.5
    task = asyncio.create_task(mesh.get(caller, "/read/1", "m1"))
    await eventually(lambda: any(one.server.runs["m1"] for one in servers))
    unresponsive = next(one for one in servers if one.server.runs["m1"])
    block_sending(unresponsive)
    await asyncio.sleep(0.35)
    for link in list(unresponsive.node.incoming_links.links):
        del link.write
    assert (await task)[0] == 200
    return sum(one.server.runs["m1"] for one in servers)


async def test_a_download_is_not_retried_for_an_unresponsive_link(
    mesh: MeshFleet,
) -> None:
    assert await count_runs_with_unresponsive_link(mesh, 90_000) == 1


async def test_a_short_read_is_retried_for_an_unresponsive_link(
    mesh: MeshFleet,
) -> None:
    assert await count_runs_with_unresponsive_link(mesh, 1_500) == 2


async def test_a_long_error_is_not_mixed_into_the_answer_of_a_retry(
    mesh: MeshFleet,
) -> None:
    failed: list[str] = []

    def fail_once(received: Received) -> bytes:
        if failed:
            return signed(received, b"hello")
        failed.append(received.headers["attempt-id"])
        return signed(received, b"e" * 1_400_000, 500)

    for instance in mesh.instances:
        instance.server.answer_override = fail_once
    asking = mesh.instances[2]
    assert await mesh.get(asking, "/read/1", "e1") == (200, b"hello")
    await eventually(
        lambda: not any(item.node.inbound.busy for item in mesh.instances), 0.3
    )
