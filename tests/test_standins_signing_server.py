"""The stand-in of a backend server keeps to its slots and queue and names its speed."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from standins.signing_server import SigningServer

from .fixtures_mesh import NETWORK

HOST, PORT = f"{NETWORK}.77", 7190
WORK_S = 0.1
SILENCE_S = 0.5
"""Longer than all the work of a test."""


@pytest_asyncio.fixture
async def server() -> AsyncIterator[SigningServer]:
    server = SigningServer("i-1", work_s=WORK_S, slots=1)
    await server.start(HOST, PORT)
    yield server
    await server.stop()


async def connect() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(HOST, PORT)


def send(writer: asyncio.StreamWriter, name: str, path: str = "/read/") -> None:
    lines = [f"GET {path} HTTP/1.1", f"Attempt-Id: {name}", "Expected-Instance: i-1"]
    writer.write("\r\n".join([*lines, "", ""]).encode())


async def head(reader: asyncio.StreamReader) -> str:
    text = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), SILENCE_S)
    return text.decode()


async def is_silent(reader: asyncio.StreamReader) -> bool:
    try:
        await head(reader)
    except TimeoutError:
        return True
    return False


async def ask(name: str, path: str = "/read/") -> str:
    reader, writer = await connect()
    send(writer, name, path)
    answer = await head(reader)
    writer.close()
    return answer


async def test_three_load_figures_unless_the_speed_is_set(
    server: SigningServer,
) -> None:
    assert "Server-Load: 0,0,1\r\n" in await ask("p1", "/health")
    assert "Server-Load" not in await ask("r1")


async def test_the_work_percentage_is_told_and_slows_the_work(
    server: SigningServer,
) -> None:
    server.work_percent = 250
    assert (await ask("p1", "/health")).count("Server-Load: 0,0,1,250\r\n") == 1
    begin_s = asyncio.get_running_loop().time()
    assert "Server-Load: 0,0,1,250\r\n" in await ask("r1")
    assert asyncio.get_running_loop().time() - begin_s >= 2.5 * WORK_S


async def test_requests_wait_for_a_slot_and_run_one_after_the_other(
    server: SigningServer,
) -> None:
    server.queue_length = 2
    names = ("r1", "r2", "r3")
    answers = await asyncio.gather(*(ask(name) for name in names))
    assert all(" 200 " in answer for answer in answers)
    assert server.most_running == 1


async def test_a_request_beyond_the_queue_is_refused(server: SigningServer) -> None:
    server.queue_length, server.answers_when_full = 0, True
    first = asyncio.create_task(ask("r1"))
    await asyncio.sleep(WORK_S / 4)
    refused = await ask("r2")
    assert " 503 " in refused
    assert "Not-Executed" in refused
    assert " 200 " in await first
    assert set(server.runs) == {"r1"}


async def test_a_request_beyond_the_queue_and_later_ones_are_never_answered(
    server: SigningServer,
) -> None:
    server.queue_length = 0
    first = asyncio.create_task(ask("r1"))
    await asyncio.sleep(WORK_S / 4)
    reader, writer = await connect()
    send(writer, "r2")
    assert await is_silent(reader)
    assert " 200 " in await first
    send(writer, "r3")
    assert await is_silent(reader)
    writer.close()
    assert " 200 " in await ask("r4")
    assert set(server.runs) == {"r1", "r4"}
    assert server.unqueued == 2


@pytest.mark.parametrize("keeps", [False, True])
async def test_a_run_may_go_on_after_its_connection_has_ended(
    server: SigningServer, keeps: bool
) -> None:
    server.keeps_runs = keeps
    _, writer = await connect()
    send(writer, "r1")
    await asyncio.sleep(WORK_S / 4)
    writer.close()
    await asyncio.sleep(WORK_S * 2)
    assert (server.answered, server.cancelled) == ((1, 0) if keeps else (0, 1))
