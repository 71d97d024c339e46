"""Backend servers that send bytes without end, until the node closes the connection."""

import asyncio
import itertools
import tracemalloc
from collections.abc import Iterator

import attrs
import pytest

from .fixtures_mesh import (
    BACKEND_PORT,
    CALLER_PORT,
    MeshFleet,
    MeshInstance,
    MeshLines,
    caller_headers,
)
from .test_mesh_faults import eventually
from .test_mesh_refusals import drain_all_but

PIECE = 65_536
MOST_SENT_BYTES = 24 * 1024 * 1024
"""More than the limits and the buffers of the sockets hold; a server that is read
without end sends some GB before a deadline."""
MOST_READS = 90
"""Reads among which chance leaves out no backend server."""
MOST_HELD_BYTES = 24 * 1024 * 1024
"""Memory that one such answer may take, for the copies in flight in one process."""
OK_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\n"
FILLING = b"x" * PIECE


def end_of_name(request_id: bytes) -> Iterator[bytes]:
    """Yield the pieces of a header whose value never ends."""
    yield OK_HEAD % request_id + b"Response-Signature: s1\r\nLong: "
    yield from itertools.repeat(FILLING)


def many_fields(request_id: bytes) -> Iterator[bytes]:
    """Yield headers without end."""
    yield OK_HEAD % request_id
    yield from itertools.repeat(b"Name: value\r\n" * 5000)


def informational(request_id: bytes) -> Iterator[bytes]:
    """Yield interim answers without end."""
    yield from itertools.repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 2000)


def unsigned_body(request_id: bytes) -> Iterator[bytes]:
    """Yield a body without signature, length and end."""
    yield OK_HEAD % request_id + b"\r\n"
    yield from itertools.repeat(FILLING)


def failure_body(request_id: bytes) -> Iterator[bytes]:
    """Yield a failure in chunks without end."""
    yield b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\nAttempt-Id: %b\r\n\r\n" % (
        request_id
    )
    yield from itertools.repeat(b"%x\r\n%b\r\n" % (PIECE, FILLING))


def chunk_extension(request_id: bytes) -> Iterator[bytes]:
    """Yield a chunk whose size line never ends."""
    head = OK_HEAD % request_id + b"Response-Signature: s1\r\n"
    yield head + b"Transfer-Encoding: chunked\r\n\r\n5;a="
    yield from itertools.repeat(FILLING)


def trailers(request_id: bytes) -> Iterator[bytes]:
    """Yield trailers without end behind a whole body."""
    head = OK_HEAD % request_id + b"Response-Signature: s1\r\n"
    yield head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
    yield from itertools.repeat(b"Name: value\r\n" * 5000)


def other_answers(request_id: bytes) -> Iterator[bytes]:
    """Yield answers to another request without end."""
    answer = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: %d\r\n\r\n%b"
    yield from itertools.repeat(answer % (PIECE, FILLING))


def signed_body(request_id: bytes) -> Iterator[bytes]:
    """Yield a signed body without length and end."""
    yield OK_HEAD % request_id + b"Response-Signature: s1\r\n\r\n"
    yield from itertools.repeat(FILLING)


KINDS = [
    end_of_name,
    many_fields,
    informational,
    unsigned_body,
    failure_body,
    chunk_extension,
    trailers,
    other_answers,
]


@attrs.define
class EndlessServer:
    """Answers each request with bytes until its connection is closed."""

    kind: object
    requests: int = 0
    sent_bytes: int = 0
    answering: int = 0
    _server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, BACKEND_PORT)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        self.answering += 1
        try:
            fields = [line.partition(b": ") for line in head.split(b"\r\n")]
            names = [value for name, _, value in fields if name == b"Attempt-Id"]
            self.requests += bool(names)
            for piece in self.kind(names[0] if names else b""):  # type: ignore[operator]
                writer.write(piece)
                self.sent_bytes += len(piece)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.answering -= 1
            writer.close()


async def replace_server(instance: MeshInstance, kind: object) -> EndlessServer:
    """Have an endless server in place of an instance's backend server."""
    await instance.server.stop()
    server = EndlessServer(kind)
    await server.start(instance.host)
    return server


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
async def test_answer_without_end_fails_soon_and_takes_little_memory(
    mesh: MeshFleet, mesh_lines: MeshLines, kind: object
) -> None:
    instance = mesh.instances[0]
    await drain_all_but(mesh, instance)
    server = await replace_server(instance, kind)
    tracemalloc.start()
    try:
        url = instance.url("/pay/1")
        headers = caller_headers("pays")
        async with mesh.session.post(url, data=b"x", headers=headers) as answer:
            status = answer.status
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert status == 502
    assert server.requests == 1
    await eventually(lambda: server.answering == 0)
    assert server.sent_bytes < MOST_SENT_BYTES
    assert peak_bytes < MOST_HELD_BYTES
    (line,) = mesh_lines.of(9505)
    assert line["id"] == "pays"
    await server.stop()


async def test_read_is_repeated_elsewhere_after_an_answer_without_end(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    server = await replace_server(instance, end_of_name)
    for number in range(MOST_READS):
        assert await mesh.get(instance, "/read/1", f"r{number}") == (200, b"hello")
        if number >= 9 and server.requests:
            break
    assert server.requests > 0
    await server.stop()


async def test_signed_answer_without_end_is_held_back_for_a_caller_that_does_not_read(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    await drain_all_but(mesh, instance)
    server = await replace_server(instance, signed_body)
    _, writer = await asyncio.open_connection(instance.host, CALLER_PORT, limit=1024)
    head = "\r\n".join(f"{k}: {v}" for k, v in caller_headers("slow", 1000).items())
    writer.write(f"GET /read/1 HTTP/1.1\r\n{head}\r\n\r\n".encode())
    await asyncio.sleep(0.8)
    assert 0 < server.sent_bytes < MOST_SENT_BYTES
    await eventually(lambda: server.answering == 0)
    assert server.sent_bytes < MOST_SENT_BYTES
    writer.close()
    await server.stop()
