"""What one node holds in sum for crowds of callers: real processes on loopback.

Only what does not depend on speed is checked: the process lives, its peak memory,
its descriptors once the crowd has left, and that ordinary requests are answered.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import re
import socket
import struct
from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio
from aiohttp import ClientSession

from soak.fleet import CALLER_PORT, NODE, Fleet, Instance
from standins.signing_server import Received, signed
from standins.store import StoreStandIn

CROWD = 600
CONNECTIONS = 150
PIPELINED = 64
HEADER_LIMIT_BYTES = 16_384
BODY_LIMIT_BYTES = 4_000_000
MEMORY_KB = 300 * 1024
SPARE_DESCRIPTORS = 20
PRESSING_S = 3.0
"""How long a crowd sends before it is looked at."""
PATIENCE_S = 40.0
"""Bound on what has no bound in time of its own."""
ORDINARY_REQUESTS = 2
REOPEN_S = 1.0
BETWEEN_REQUESTS_S = 5.0
RESET = struct.pack("ii", 1, 0)
DESCRIPTORS = 200
LIMITED_NODE = (
    "-c",
    "import resource, runpy, sys\n"
    f"resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, {DESCRIPTORS}))\n"
    "sys.argv = ['azurestep', 'sidecar']\n"
    "runpy.run_module('azurestep', run_name='__main__')\n",
)
numbers = itertools.count()


@attrs.define(eq=False)
class Stage:
    """Two nodes, the first of which is pressed by a crowd."""

    fleet: Fleet
    pid: int
    descriptors: int = 0
    crowd: list[socket.socket] = attrs.field(factory=list)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    @property
    def node(self) -> Instance:
        return self.fleet.instances[0]

    def proc(self, name: str) -> pathlib.Path:
        return pathlib.Path(f"/proc/{self.pid}/{name}")

    def check_process(self) -> None:
        """Check that the process lives and how much memory it has had."""
        process = self.node.process
        assert process is not None
        assert process.pid == self.pid
        assert process.poll() is None
        found = re.search(r"VmHWM:\s+(\d+)", self.proc("status").read_text())
        assert found is not None
        peak_kb = int(found[1])
        print(f"peak {peak_kb} KB, {self.count_descriptors()} descriptors")
        assert peak_kb < MEMORY_KB

    def count_descriptors(self) -> int:
        return len(os.listdir(self.proc("fd")))

    async def press(self, connections: int, content: bytes) -> None:
        """Send the same bytes on many connections that take no answer."""
        self.tasks += [
            asyncio.create_task(self._push(content)) for _ in range(connections)
        ]
        await asyncio.sleep(PRESSING_S)

    async def _push(self, content: bytes) -> None:
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.crowd.append(connection)
        with contextlib.suppress(OSError):
            await loop.sock_connect(connection, (self.node.host, CALLER_PORT))
            await loop.sock_sendall(connection, content)

    async def stay_idle(self, connections: int) -> None:
        """Keep connections idle between requests; open each one again that ends."""
        self.tasks += [asyncio.create_task(self._reopen()) for _ in range(connections)]
        await asyncio.sleep(PRESSING_S)

    async def _reopen(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    self.node.host, CALLER_PORT
                )
                try:
                    while True:
                        writer.write(head("/unknown/"))
                        await reader.readuntil(b"\r\n\r\n")
                        await asyncio.sleep(BETWEEN_REQUESTS_S)
                except EOFError:
                    pass
                finally:
                    writer.transport.abort()
            await asyncio.sleep(REOPEN_S)

    async def leave(self, by_reset: bool = False) -> None:
        """Let the whole crowd leave."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        for connection in self.crowd:
            if by_reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.close()
        self.crowd.clear()

    async def check_descriptors(self) -> None:
        """Wait until the crowd's descriptors are given back."""
        async with asyncio.timeout(PATIENCE_S):
            while self.count_descriptors() > self.descriptors + SPARE_DESCRIPTORS:
                await asyncio.sleep(0.1)

    async def ask(self, index: int = 0) -> None:
        """Send an ordinary request until it is served."""
        async with asyncio.timeout(PATIENCE_S):
            while not await self._is_served(self.fleet.instances[index].host):
                await asyncio.sleep(0.1)

    async def ask_often(self, index: int = 0) -> None:
        for _ in range(ORDINARY_REQUESTS):
            await self.ask(index)

    async def _is_served(self, host: str) -> bool:
        name = f"ordinary-{next(numbers)}"
        request = head(f"/read/{name}", f"attempt-id: {name}", "Connection: close")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, CALLER_PORT)
            writer.write(request)
            answer = await reader.read()
        except OSError:
            return False
        finally:
            if writer is not None:
                writer.transport.abort()
        return answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(name.encode())


def head(target: str, *fields: str, method: str = "GET") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: shop.example", *fields, "", ""]
    return "\r\n".join(lines).encode()


def large_head(method: str = "GET") -> bytes:
    """Return a head of the smallest fields, just below the limit of heads."""
    fields = ["attempt-id: crowd"]
    used = len("/read/crowd") + sum(len(one) + 2 for one in fields) + 40
    fields += ["a:b"] * ((HEADER_LIMIT_BYTES - used) // len("a: b\r\n"))
    return head("/read/crowd", *fields, method=method)


async def start(
    tmp_path: pathlib.Path, session: ClientSession, program: tuple[str, ...] = NODE
) -> Stage:
    network = f"127.{200 + os.getpid() % 50}.{next(numbers) % 250 + 1}"
    fleet = Fleet(network, tmp_path, StoreStandIn(era=1), session, program)
    stage = Stage(fleet, 0)
    try:
        await fleet.start(2)
        for instance in fleet.instances:
            instance.server.work_s = 0.0
            instance.server.answer_override = echo_name
        process = stage.node.process
        assert process is not None
        stage.pid = process.pid
        await stage.ask_often(0)
        stage.descriptors = stage.count_descriptors()
    except BaseException:
        await fleet.stop()
        raise
    return stage


def echo_name(received: Received) -> bytes:
    """Answer with the last part of the target, or as many bytes as it names."""
    name = received.target.rpartition("/")[2]
    _, _, size = name.partition("size=")
    return signed(received, b"x" * int(size) if size else name.encode())


async def finish(stage: Stage) -> None:
    await stage.leave(by_reset=True)
    await stage.fleet.stop()


@pytest_asyncio.fixture
async def stage(tmp_path: pathlib.Path) -> AsyncIterator[Stage]:
    async with ClientSession() as session:
        stage = await start(tmp_path, session)
        yield stage
        await finish(stage)


@pytest_asyncio.fixture
async def limited_stage(tmp_path: pathlib.Path) -> AsyncIterator[Stage]:
    """Run nodes that may open few descriptors."""
    async with ClientSession() as session:
        stage = await start(tmp_path, session, LIMITED_NODE)
        yield stage
        await finish(stage)


async def check_crowd(stage: Stage, by_reset: bool = False) -> None:
    """Check a node that is pressed, then without its crowd."""
    await stage.ask_often()
    stage.check_process()
    await stage.leave(by_reset)
    await stage.ask()
    await stage.check_descriptors()
    stage.check_process()


@pytest.mark.parametrize("by_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("size_bytes", [4_000, 300_000])
async def test_answers_that_are_not_taken_do_not_fill_a_node(
    stage: Stage, size_bytes: int, by_reset: bool
) -> None:
    """Guards against answers that count as done once they are in a write buffer."""
    read = head(f"/read/size={size_bytes}", "attempt-id: crowd")
    await stage.press(CROWD, read * 2000)
    await check_crowd(stage, by_reset)


async def test_unfinished_heads_do_not_fill_a_node(stage: Stage) -> None:
    """Guards against the memory of many small fields on many connections."""
    await stage.press(CONNECTIONS, large_head()[: -len("\r\n")])
    await check_crowd(stage)


async def test_unfinished_bodies_do_not_fill_a_node(stage: Stage) -> None:
    """Guards against bodies inside the limit that together exceed the memory."""
    fields = "attempt-id: crowd", f"Content-Length: {BODY_LIMIT_BYTES}"
    request = head("/read/crowd", *fields, method="POST")
    await stage.press(CONNECTIONS, request + b"b" * (BODY_LIMIT_BYTES - 1))
    await check_crowd(stage)


async def test_pipelined_heads_do_not_fill_a_node(stage: Stage) -> None:
    """Guards against large heads of many requests that are pending at once."""
    await stage.press(CONNECTIONS, large_head() * PIPELINED)
    await check_crowd(stage)


async def test_idle_connections_leave_descriptors_for_requests(
    limited_stage: Stage,
) -> None:
    """Guards against callers that take the descriptors of peers and servers."""
    stage = limited_stage
    await stage.stay_idle(2 * DESCRIPTORS)
    for index in (0, 1):
        await asyncio.gather(*(stage.ask_often(index) for _ in range(10)))
    await check_crowd(stage)
