"""A node's process lives and serves while a crowd keeps to none of its limits."""

import asyncio
import itertools
import os
import pathlib
from collections.abc import AsyncIterator, Iterator

import attrs
import orjson
import pytest
import pytest_asyncio
from aiohttp import ClientSession, ClientTimeout, TCPConnector

from azurestep.mesh import messages
from azurestep.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from soak.document import document
from soak.fleet import (
    ANNOUNCE_PORT,
    CALLER_PORT,
    METRICS_PORT,
    PEER_LISTEN_PORT,
    READY_PORT,
    Fleet,
)
from standins.store import StoreStandIn

from .crowd import Crowd, Pieces

CONNECTIONS = 150
MAX_PEAK_KB = 300 * 1024
"""Memory of a node."""
MAX_DESCRIPTORS_LEFT = 20
CROWD_LEAVES_WITHIN_S = 20.0
ANSWERED_WITHIN_S = 30.0
REQUESTS_BESIDE_CROWD = 5
MAX_BODY_BYTES = 1_000_000
READ_BYTES = 256_000
"""Most that the node's event loop returns with one read."""
ENDPOINT_PORTS = (READY_PORT, ANNOUNCE_PORT, METRICS_PORT)
HEARTBEAT = "POST /v1/instances/i-9/heartbeat HTTP/1.1"
POST = "POST /read/1 HTTP/1.1"
CHUNKED = ("Transfer-Encoding: chunked",)


def head_begin(first: str, *fields: str) -> bytes:
    """Return a head without its end, of a caller who waits for long."""
    common = ["Host: shop.example", "Attempt-Id: c-1", "Deadline-Milliseconds: 60000"]
    return "".join(f"{line}\r\n" for line in (first, *common, *fields)).encode()


def head(first: str, *fields: str) -> bytes:
    """Return a whole head."""
    return head_begin(first, *fields) + b"\r\n"


def repeat(begin: bytes, piece: bytes, large_reads: bool = True) -> Pieces:
    """Return what sends bytes, and then others without end."""
    filled = piece * max(1, READ_BYTES // len(piece)) if large_reads else piece
    return lambda: itertools.chain([begin], itertools.repeat(filled))


def announced(size_bytes: int) -> bytes:
    """Return the head of a body with a length."""
    return head(POST, f"Content-Length: {size_bytes}")


@attrs.frozen
class Sent:
    """What a crowd sends.

    Attributes
    ----------
    max_bytes : int
        Most bytes of one connection.
    pause_s : float
        Time between two pieces; 0 sends as fast as the node takes.
    ports : tuple of int
        Listeners of the node that the connections go to, in turn.
    """

    pieces: Pieces
    max_bytes: int = 8_000_000
    max_s: float = 3.0
    pause_s: float = 0.0
    ports: tuple[int, ...] = (CALLER_PORT,)


GET = "GET /read/1 HTTP/1.1"
SMALLEST = b"a:\r\n"
LARGE_FIELD = b"x-field: " + b"v" * 8000 + b"\r\n"
CHUNKS = b"%x\r\n%b\r\n" % (16_000, b"b" * 16_000)
BODY = b"b" * READ_BYTES
LONG_VALUE = b"\x92\x01\xc6\x05\x00\x00\x00"
"""Begin of a message of 80 MB in the format of links."""
HELLO = messages.encode(
    messages.Kind.HELLO,
    *messages.fields_of(
        messages.Hello(messages.PROTOCOL_VERSION, ("127.0.0.9", 7202), "dc-1", 1, 0, 1)
    ),
)
KINDS = {
    "heads_of_smallest_fields": Sent(repeat(head_begin(GET), SMALLEST)),
    "heads_of_usual_fields": Sent(repeat(head_begin(GET), b"x-name: a value\r\n")),
    "heads_that_trickle": Sent(
        repeat(head_begin(GET), SMALLEST, large_reads=False), pause_s=0.05, max_s=4.5
    ),
    "heads_of_one_field": Sent(repeat(head_begin(GET) + b"x-field: ", b"v")),
    "heads_of_one_field_name": Sent(repeat(head_begin(GET), b"n")),
    "heads_of_a_target": Sent(repeat(b"GET /read/", b"t")),
    "heads_of_a_method": Sent(repeat(b"", b"M")),
    "empty_lines": Sent(repeat(b"", b"\r\n")),
    "empty_lines_of_lf": Sent(repeat(b"", b"\n")),
    "empty_lines_of_cr": Sent(repeat(b"", b"\r")),
    "empty_lines_after_an_answer": Sent(repeat(head(GET), b"\r\n")),
    "trailers_of_smallest_fields": Sent(
        repeat(head(POST, *CHUNKED) + b"0\r\n", SMALLEST)
    ),
    "trailers_of_large_fields": Sent(
        repeat(head(POST, *CHUNKED) + b"0\r\n", LARGE_FIELD)
    ),
    "chunk_extension_without_end": Sent(repeat(head(POST, *CHUNKED) + b"1;", b"e")),
    "extension_of_each_chunk": Sent(
        repeat(head(POST, *CHUNKED), b"1;" + b"e" * 1000 + b"\r\nb\r\n")
    ),
    "chunk_size_without_end": Sent(repeat(head(POST, *CHUNKED), b"0")),
    "announced_and_sent_bodies": Sent(repeat(announced(10**12), BODY)),
    "chunked_bodies": Sent(repeat(head(POST, *CHUNKED), CHUNKS)),
    "announced_bodies_never_sent": Sent(
        repeat(announced(MAX_BODY_BYTES), b"b", large_reads=False), max_bytes=1
    ),
    "endpoints_heads": Sent(
        repeat(head_begin(HEARTBEAT), SMALLEST), ports=ENDPOINT_PORTS
    ),
    "endpoints_empty_lines": Sent(repeat(b"", b"\r\n"), ports=ENDPOINT_PORTS),
    "endpoints_trailers": Sent(
        repeat(head(HEARTBEAT, *CHUNKED) + b"0\r\n", SMALLEST), ports=ENDPOINT_PORTS
    ),
    "endpoints_bodies": Sent(
        repeat(head(HEARTBEAT, "Content-Length: 60000000"), BODY), ports=ENDPOINT_PORTS
    ),
    "endpoints_chunked_bodies": Sent(
        repeat(head(HEARTBEAT, *CHUNKED), CHUNKS), ports=ENDPOINT_PORTS
    ),
    "links_of_one_message": Sent(repeat(LONG_VALUE, b"m"), ports=(PEER_LISTEN_PORT,)),
    "links_of_one_message_after_a_hello": Sent(
        repeat(HELLO + LONG_VALUE, b"m"), ports=(PEER_LISTEN_PORT,)
    ),
}


@attrs.define(eq=False)
class RunningNode:
    """The process of a node, with stand-ins around it."""

    fleet: Fleet
    names: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def host(self) -> str:
        return self.fleet.instances[0].host

    @property
    def process_id(self) -> int:
        process = self.fleet.instances[0].process
        assert process is not None
        return process.pid

    @property
    def peak_kb(self) -> int:
        """Most memory that the process has had."""
        status = pathlib.Path(f"/proc/{self.process_id}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields["VmHWM"].split()[0])

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process_id}/fd"))

    async def answered(self) -> None:
        """Send an ordinary request, again after each refusal, until it is answered."""
        name = f"o-{next(self.names)}"
        headers = {
            "Host": "shop.example",
            "Attempt-Id": name,
            "Deadline-Milliseconds": "1500",
        }
        url = f"http://{self.host}:{CALLER_PORT}/read/{name}"
        timeout = ClientTimeout(total=5)
        async with asyncio.timeout(ANSWERED_WITHIN_S):
            while True:
                try:
                    async with (
                        ClientSession(
                            connector=TCPConnector(force_close=True), timeout=timeout
                        ) as session,
                        session.get(url, headers=headers) as answer,
                    ):
                        if answer.status == 200:
                            assert await answer.read() == b"hello"
                            return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)


@attrs.define(eq=False)
class SmallBodiesFleet(Fleet):
    """A fleet whose configuration has a small limit of bodies."""

    def publish_again(self) -> None:
        fields = orjson.loads(document(self.version, self.paths))
        fields["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        self.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, orjson.dumps(fields))


@pytest_asyncio.fixture
async def node(tmp_path: pathlib.Path) -> AsyncIterator[RunningNode]:
    """Run the process of one node, ready for requests."""
    network = f"127.{10 + os.getpid() % 6}.{1 + os.getpid() // 6 % 250}"
    async with ClientSession() as session:
        fleet = SmallBodiesFleet(network, tmp_path, StoreStandIn(era=1), session)
        try:
            await fleet.start(1)
            yield RunningNode(fleet)
        finally:
            await fleet.stop()


@pytest.mark.parametrize("kind", KINDS)
async def test_a_crowd_beyond_the_limits_ends_no_process(
    node: RunningNode, kind: str
) -> None:
    """Guards against callers who end a node's process by its memory or descriptors."""
    await node.answered()
    process_id, descriptors, start_kb = node.process_id, node.descriptors, node.peak_kb
    sent = KINDS[kind]
    crowd = Crowd(
        [(node.host, port) for port in sent.ports],
        sent.pieces,
        CONNECTIONS,
        sent.max_bytes,
        sent.max_s,
        sent.pause_s,
    )
    crowd.start()
    try:
        for _ in range(REQUESTS_BESIDE_CROWD):
            await node.answered()
        while crowd.presses and crowd.closed < CONNECTIONS:
            await asyncio.sleep(0.05)
    finally:
        await asyncio.to_thread(crowd.stop)
    left = await _wait_for_descriptors(node, descriptors + MAX_DESCRIPTORS_LEFT)
    await node.answered()
    print(
        f"{kind}: peak {node.peak_kb // 1024} MB, {start_kb // 1024} before;"
        f" descriptors {left}, {descriptors} before;"
        f" {crowd.closed} closed, {crowd.sent_bytes // 1_000_000} MB sent"
    )
    assert node.process_id == process_id
    assert crowd.refused == 0
    assert left <= descriptors + MAX_DESCRIPTORS_LEFT
    assert node.peak_kb < MAX_PEAK_KB


async def _wait_for_descriptors(node: RunningNode, wanted: int) -> int:
    """Wait until the process has closed most connections; return what is open."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + CROWD_LEAVES_WITHIN_S
    while node.descriptors > wanted and loop.time() < end_s:
        await asyncio.sleep(0.05)
    return node.descriptors


@pytest.mark.parametrize("blank", [b"", b" ", b"\t"])
async def test_a_blank_behind_a_length_hides_no_request_in_a_body(
    node: RunningNode, blank: bytes
) -> None:
    """Guards against bodies that a backend server reads as requests."""
    await node.answered()
    hidden = (
        b"GET /hidden HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: hidden\r\n"
        b"Expected-Instance: i-0-0\r\n\r\n"
    )
    body = hidden * (900_000 // len(hidden))
    length = b"%d%b" % (len(body), blank)
    reader, writer = await asyncio.open_connection(node.host, CALLER_PORT)
    writer.write(head_begin(POST) + b"Content-Length: " + length + b"\r\n\r\n" + body)
    await writer.drain()
    status = await asyncio.wait_for(reader.readline(), ANSWERED_WITHIN_S)
    writer.close()
    server = node.fleet.instances[0].server
    posted = [one for one in server.received if one.method == "POST"]
    assert status.startswith(b"HTTP/1.1 200")
    assert [len(one.body) for one in posted] == [len(body)]
    assert not any(one.target == "/hidden" for one in server.received)
