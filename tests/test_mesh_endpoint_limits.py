"""Limits of requests to the endpoints of a node."""

import asyncio

import pytest

from azurestep.platform.announcement import MAX_BODY_BYTES

from .fixtures_mesh import ANNOUNCE_PORT, METRICS_PORT, READY_PORT, MeshFleet

BODY_BYTES = 2 * MAX_BODY_BYTES
HEARTBEAT = b"POST /v1/instances/i-9/heartbeat HTTP/1.1\r\nHost: n\r\n"
CHUNKED = HEARTBEAT + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"%x\r\n%b\r\n" % (16_384, b"b" * 16_384)


async def status_of(host: str, port: int, *pieces: bytes) -> int:
    """Send bytes until the node answers; return the status."""
    reader, writer = await asyncio.open_connection(host, port)
    answer = asyncio.create_task(reader.readline())
    for piece in pieces:
        writer.write(piece)
        await asyncio.wait([answer], timeout=0.01)
        if answer.done():
            break
    line = await asyncio.wait_for(answer, 5)
    writer.close()
    return int(line.split()[1])


@pytest.mark.parametrize("port", [READY_PORT, ANNOUNCE_PORT, METRICS_PORT])
async def test_long_bodies_at_the_endpoints_are_not_collected(
    mesh: MeshFleet, port: int
) -> None:
    """Guards against memory that senders take at the listeners beside the callers'."""
    host = mesh.instances[0].host
    announced = b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 1)
    assert await status_of(host, port, HEARTBEAT + announced) == 413
    count = BODY_BYTES // 16_384 + 1
    assert await status_of(host, port, CHUNKED, *[PIECE] * count) == 413


async def test_an_announcement_above_its_limit_is_answered_by_its_handler(
    mesh: MeshFleet,
) -> None:
    """Guards against a limit of the listener that hides what is wrong with a body."""
    host = mesh.instances[0].host
    body = b"b" * (MAX_BODY_BYTES + 1)
    whole = HEARTBEAT + b"Content-Length: %d\r\n\r\n" % len(body) + body
    assert await status_of(host, ANNOUNCE_PORT, whole) == 400
