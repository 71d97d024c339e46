"""Node processes that start beside an odd store."""

import asyncio
import base64
import os
import pathlib
import resource
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import orjson
import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from azurestep.mesh.links.decoding import PONG
from azurestep.mesh.messages import (
    FEATURE_LEVEL,
    PROTOCOL_VERSION,
    Hello,
    Kind,
    encode,
    fields_of,
)
from azurestep.platform.members import write_member
from azurestep.platform.topics import (
    CONFIGURATION_KEY,
    MEMBERS_TOPIC,
    OPERATOR_TOPIC,
)
from soak.document import document
from standins.store import StoreStandIn

from .test_mesh_settings import rendered

ROOT = pathlib.Path(__file__).parents[1]
NETWORK = f"127.{16 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
HOST, PEER_HOST, FOREIGN_HOST = (f"{NETWORK}.{number}" for number in (201, 202, 203))
STORE_PORT, METRICS_PORT = 7700, 7701
ADDRESSES = ("caller", "peer", "ready", "announce", "backend")
WAIT_S = 10.0
POLL_S = 0.02
MIB = 1024 * 1024

Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.define(eq=False)
class OddStore:
    """A store whose answers a test replaces.

    Attributes
    ----------
    misbehave : Callable or None
        Answers a call in place of the store; gets the call and the usual answer.
    """

    store: StoreStandIn = attrs.field(factory=StoreStandIn)
    misbehave: Callable[[web.Request, Answer], Awaitable[web.StreamResponse]] | None = (
        None
    )

    @web.middleware
    async def answer(self, request: web.Request, handler: Answer) -> web.StreamResponse:
        """Answer a call."""
        if self.misbehave is None:
            return await handler(request)
        return await self.misbehave(request, handler)

    def publish(self, version: int, content: bytes = b"") -> None:
        """Publish a version of the configuration."""
        content = content or document(version, ["/read/"])
        self.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, content)


@attrs.define(eq=False)
class NodeProcess:
    """A node as the platform starts it."""

    directory: pathlib.Path
    session: ClientSession
    process: subprocess.Popen[bytes] | None = None

    def start(self, data_limit_bytes: int | None = None) -> None:
        """Start the process, with a limit of its private memory if one is given."""
        fields = {**rendered(), "ip_address": HOST, "metrics_port": METRICS_PORT}
        fields["store"] = {"address": f"{HOST}:{STORE_PORT}"}
        for port, name in enumerate(ADDRESSES, METRICS_PORT + 1):
            fields[f"{name}_address"] = f"{HOST}:{port}"
        path = self.directory / "settings.json"
        path.write_bytes(orjson.dumps(fields))
        libraries = [one for one in sys.path if one.endswith("site-packages")]
        with (self.directory / "node.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-P", "-S", "-m", "azurestep", "sidecar", str(path)],
                cwd=self.directory,
                env={
                    "PYTHONPATH": ":".join([str(ROOT), *libraries]),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        if data_limit_bytes is not None:
            limits = (data_limit_bytes, data_limit_bytes)
            resource.prlimit(self.process.pid, resource.RLIMIT_DATA, limits)

    def kill(self) -> None:
        """End the process, if it runs."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return (self.directory / "node.log").read_text()

    def peak_mib(self) -> float:
        """Return the most memory that the process had resident."""
        assert self.process is not None
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    async def version(self) -> int:
        """Return the version of the configuration in force; 0 for none."""
        url = f"http://{HOST}:{METRICS_PORT}/v1/status"
        try:
            async with self.session.get(url) as response:
                return int(orjson.loads(await response.read())["version"])
        except (ClientError, TimeoutError):
            return 0

    async def wait_for(self, version: int) -> None:
        """Wait until a version is in force."""
        for _ in range(int(WAIT_S / POLL_S)):
            assert self.process is not None
            assert self.process.poll() is None, self.log()
            if await self.version() == version:
                return
            await asyncio.sleep(POLL_S)
        pytest.fail(f"version {version} is not in force:\n{self.log()}")

    async def wait_for_line(self, text: str) -> None:
        """Wait until the node has written a line with some text."""
        for _ in range(int(WAIT_S / POLL_S)):
            if text in self.log():
                return
            await asyncio.sleep(POLL_S)
        pytest.fail(f"no line has {text!r}:\n{self.log()}")


@pytest.fixture
async def odd() -> AsyncIterator[OddStore]:
    """Return a store with a first version of the configuration."""
    found = OddStore()
    found.publish(1)
    application = found.store.application()
    application.middlewares.insert(0, found.answer)
    runner = web.AppRunner(application, shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, HOST, STORE_PORT).start()
    yield found
    await runner.cleanup()


@pytest.fixture
async def node(tmp_path: pathlib.Path) -> AsyncIterator[NodeProcess]:
    """Return a node that a test starts."""
    async with ClientSession(timeout=ClientTimeout(total=1)) as session:
        found = NodeProcess(tmp_path, session)
        yield found
        found.kill()


def _is_read_of_operators(request: web.Request) -> bool:
    is_newest = request.path == "/v1/log-newest"
    return is_newest and request.query["topic"] == OPERATOR_TOPIC


ENDLESS_ANSWER_MIB = 600
MAX_PEAK_MIB = 256.0
"""Memory that a node may use for control."""


async def test_an_answer_without_end_takes_no_memory_without_bound(
    odd: OddStore, node: NodeProcess
) -> None:
    answers = 0

    async def answer_without_end(
        request: web.Request, usual: Answer
    ) -> web.StreamResponse:
        nonlocal answers
        if not _is_read_of_operators(request) or answers > 1:
            return await usual(request)
        answers += 1
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(ENDLESS_ANSWER_MIB):
            await response.write(b" " * MIB)
        await asyncio.sleep(WAIT_S)
        return response

    odd.misbehave = answer_without_end
    node.start()
    await node.wait_for(1)
    assert node.peak_mib() < MAX_PEAK_MIB


SCARCE_BYTES = 72 * MIB
"""Private memory of a node, of which 22 MiB are in use once it serves."""
LONG_DOCUMENT_BYTES = 20 * MIB
"""Fits into the scarce memory twice, but not as often as reading it needs."""


async def test_a_document_beyond_the_memory_does_not_end_the_reading(
    odd: OddStore, node: NodeProcess
) -> None:
    node.start(SCARCE_BYTES)
    await node.wait_for(1)
    odd.publish(2, document(2, ["/read/"]).ljust(LONG_DOCUMENT_BYTES))
    await node.wait_for_line("MemoryError")
    odd.publish(3)
    await node.wait_for(3)


LONG_RECORD_BYTES = 14 * MIB
"""Its text in base64 fits into the scarce memory twice, but not three times."""


async def test_a_record_beyond_the_memory_does_not_keep_a_node_from_its_peers(
    odd: OddStore, node: NodeProcess
) -> None:
    linked = asyncio.Event()

    async def accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        linked.set()
        writer.close()

    port = 7702
    async with await asyncio.start_server(accept, PEER_HOST, port):
        odd.store.put(MEMBERS_TOPIC, PEER_HOST, write_member(port))
        odd.store.put(MEMBERS_TOPIC, FOREIGN_HOST, b" " * LONG_RECORD_BYTES)
        node.start(SCARCE_BYTES)
        await node.wait_for_line("MemoryError")
        odd.store.put(MEMBERS_TOPIC, FOREIGN_HOST, b"")
        async with asyncio.timeout(WAIT_S):
            await linked.wait()


@pytest.mark.parametrize("value", ["é", "=", "\u0000"])
async def test_a_value_that_is_no_base64_does_not_hide_other_records(
    odd: OddStore, node: NodeProcess, value: str
) -> None:
    odd.store.raw_items = [{"key": "notes", "offset": 0, "value": value}]
    node.start()
    await node.wait_for(1)


MAX_READS_PER_S = 40
OBSERVED_S = 2.0


@pytest.mark.parametrize("status", [200, 410])
async def test_a_store_that_does_not_wait_is_not_read_without_a_pause(
    odd: OddStore, node: NodeProcess, status: int
) -> None:
    reads = 0

    async def answer_at_once(request: web.Request, usual: Answer) -> web.StreamResponse:
        nonlocal reads
        if request.path != "/v1/log-read":
            return await usual(request)
        reads += 1
        if status != 200:
            return web.json_response({}, status=status)
        query = {**request.query, "wait_ms": "0"}
        return await usual(request.clone(rel_url=request.rel_url.with_query(query)))

    odd.misbehave = answer_at_once
    node.start()
    await node.wait_for(1)
    reads = 0
    await asyncio.sleep(OBSERVED_S)
    assert reads < MAX_READS_PER_S * OBSERVED_S
    odd.publish(2)
    await node.wait_for(2)


async def test_a_listing_that_does_not_go_on_does_not_hold_a_node_forever(
    odd: OddStore, node: NodeProcess
) -> None:
    listings = 0

    async def repeat_a_page(request: web.Request, usual: Answer) -> web.StreamResponse:
        nonlocal listings
        if not _is_read_of_operators(request):
            return await usual(request)
        listings += 1
        query = {key: value for key, value in request.query.items() if key != "after"}
        answer = await usual(request.clone(rel_url=request.rel_url.with_query(query)))
        assert isinstance(answer, web.Response)
        assert isinstance(answer.body, bytes)
        page = {**orjson.loads(answer.body), "has_more": True}
        return web.json_response(page)

    odd.misbehave = repeat_a_page
    node.start()
    await node.wait_for_line('"event":9101')
    assert listings < MAX_READS_PER_S
    odd.misbehave = None
    await node.wait_for(1)


PEER_PORT = METRICS_PORT + 1 + ADDRESSES.index("peer")
ORDER = {"service": "shop", "new_version": "v2", "duration": "12s"}
KNOWN_OFFSET = 987_654_321


@pytest.mark.parametrize("offset", [2**64, -(2**63) - 1])
async def test_an_order_at_an_impossible_offset_does_not_break_all_links(
    odd: OddStore, node: NodeProcess, offset: int
) -> None:
    value = base64.b64encode(orjson.dumps(ORDER)).decode()
    odd.store.raw_items = [
        {"key": "rollout/shop", "offset": KNOWN_OFFSET, "value": value}
    ]

    async def change_offset(request: web.Request, usual: Answer) -> web.StreamResponse:
        answer = await usual(request)
        if isinstance(answer, web.Response) and isinstance(answer.body, bytes):
            known = str(KNOWN_OFFSET).encode()
            answer.body = answer.body.replace(known, str(offset).encode())
        return answer

    odd.misbehave = change_offset
    node.start()
    await node.wait_for(1)
    reader, writer = await asyncio.open_connection(HOST, PEER_PORT)
    writer.write(encode(Kind.PING, 0.0))
    async with asyncio.timeout(WAIT_S):
        received = await reader.readuntil(PONG)
    writer.close()
    assert received.endswith(PONG)


async def test_a_peer_with_an_impossible_host_is_not_dialled_without_a_pause(
    odd: OddStore, node: NodeProcess
) -> None:
    node.start()
    await node.wait_for(1)
    hello = Hello(PROTOCOL_VERSION, ("a..b", 1), "dc-1", 5, 1, FEATURE_LEVEL)
    _, writer = await asyncio.open_connection(HOST, PEER_PORT)
    writer.write(encode(Kind.HELLO, *fields_of(hello)))
    await asyncio.sleep(OBSERVED_S)
    writer.close()
    assert '"event":9007' not in node.log()
