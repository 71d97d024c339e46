"""Limits of callers: each counts its own bytes and its own time, however reads fall."""

import asyncio
import itertools
import tracemalloc
from collections.abc import Iterator
from http import HTTPStatus

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.http.exchange import Exchange
from azurestep.http.server import MAX_PIPELINED_REQUESTS, ServerConnection
from azurestep.http.server_state import Rejection, ServerState
from azurestep.mesh.endpoints import ENDPOINT_REQUEST_TIMEOUT_MS
from azurestep.routing.model import Limits

LIMITS = Limits(
    header_bytes=2000,
    body_bytes=300_000,
    header_timeout_ms=3000.0,
    idle_timeout_ms=15_000.0,
)
READ_BYTES = 256_000
"""Most that the event loop returns with one read."""
TOO_LARGE_HEAD = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
TOO_LARGE_BODY = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class RecordingTransport(asyncio.Transport):
    """Keeps what is written; a test sets how much of it is unsent."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.unsent_bytes = 0
        self.closed = False
        self.reads = True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def pause_reading(self) -> None:
        self.reads = False

    def resume_reading(self) -> None:
        self.reads = True


class ClockLoop(asyncio.SelectorEventLoop):
    """An event loop that is asked for the time only."""

    now_s = 1000.0

    def time(self) -> float:
        return self.now_s


@attrs.define(eq=False)
class Listener:
    """A connection of a caller, with what its handler got and what was rejected.

    Attributes
    ----------
    bodies : list of bytes
        Bodies of the requests that were read whole, in order.
    answers : bool
        Whether each whole request is answered at once.
    """

    loop: ClockLoop
    answers: bool = True
    transport: RecordingTransport = attrs.field(factory=RecordingTransport)
    bodies: list[bytes] = attrs.field(factory=list)
    exchanges: list[Exchange] = attrs.field(factory=list)
    rejections: list[Rejection] = attrs.field(factory=list)
    faults: list[BaseException] = attrs.field(factory=list)
    state: ServerState = attrs.field(init=False)
    connection: ServerConnection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.state = ServerState(
            self._handle,
            lambda error, request_only: self.faults.append(error),
            limits=LIMITS,
            on_reject=self.rejections.append,
        )
        self.connection = ServerConnection(self.state)
        self.connection.connection_made(self.transport)

    def _handle(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)
        exchange.sink = Collector(self, exchange)

    @property
    def statuses(self) -> list[HTTPStatus]:
        """Statuses of the requests that were rejected."""
        return [one.status for one in self.rejections]

    def receive(self, *reads: bytes) -> None:
        """Let bytes arrive, one read after the other."""
        for data in reads:
            self.connection.data_received(data)

    def wait(self, seconds: float) -> None:
        """Let time pass, with sweeps each half second."""
        end_s = self.loop.now_s + seconds
        while self.loop.now_s < end_s:
            self.loop.now_s = min(end_s, self.loop.now_s + 0.5)
            self.state.sweep(self.loop.now_s)


@attrs.define(eq=False)
class Collector:
    """Collects the body of a request."""

    listener: Listener
    exchange: Exchange
    parts: list[bytes] = attrs.field(factory=list)
    disconnects: int = 0

    def on_body(self, data: bytes) -> None:
        self.parts.append(data)

    def on_end(self) -> None:
        self.listener.bodies.append(b"".join(self.parts))
        if self.listener.answers:
            self.exchange.answer(200, [], b"")

    def on_disconnect(self) -> None:
        self.disconnects += 1

    def on_writable(self) -> None:
        pass

    def on_fault(self) -> None:
        pass


def run_with_clock(loop: ClockLoop) -> Iterator[Listener]:
    """Make a listener while its event loop is the running one."""
    asyncio._set_running_loop(loop)
    try:
        yield Listener(loop)
    finally:
        asyncio._set_running_loop(None)
        loop.close()


@pytest.fixture
def listener() -> Iterator[Listener]:
    yield from run_with_clock(ClockLoop())


def head_of(
    fields: list[str], head_bytes: int = 0, first: str = "POST /up HTTP/1.1"
) -> bytes:
    """Return a head, padded so that its fields have a size as the limit counts it."""
    lines = ["Host: shop.example", *fields]
    used = len(first.split()[1]) + sum(len(line) + 2 for line in lines)
    padding = head_bytes - used - len("P: ") - 2
    if padding > 0:
        lines.append("P: " + "x" * padding)
    return "\r\n".join([first, *lines, "", ""]).encode()


@attrs.frozen
class Sent:
    """One request as a caller sends it."""

    head_bytes: int
    body: bytes
    chunk_bytes: int
    """Size of the chunks; 0 for a body with a length."""

    def content(self) -> bytes:
        if not self.chunk_bytes:
            fields = [f"Content-Length: {len(self.body)}"]
            return head_of(fields, self.head_bytes) + self.body
        pieces = (
            self.body[at : at + self.chunk_bytes]
            for at in range(0, len(self.body), self.chunk_bytes)
        )
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in pieces)
        head = head_of(["Transfer-Encoding: chunked"], self.head_bytes)
        return head + chunks + b"0\r\n\r\n"


def cut(content: bytes, cuts: list[int]) -> list[bytes]:
    """Cut bytes at some places and into what one read returns."""
    places = sorted({one % (len(content) + 1) for one in cuts})
    edges = [0, *places, len(content)]
    found = []
    for begin, end in itertools.pairwise(edges):
        for at in range(begin, end, READ_BYTES):
            found.append(content[at : min(end, at + READ_BYTES)])
    return found


def cuts_within(size: int) -> st.SearchStrategy[list[int]]:
    """Return places of cuts: anywhere, and often near the begin."""
    near = st.integers(0, min(size, 3000))
    return st.lists(st.one_of(near, st.integers(0, size)), max_size=8)


bodies = st.one_of(
    st.just(0), st.integers(1, 3000), st.integers(60_000, LIMITS.body_bytes)
).map(lambda size: b"b" * size)
requests = st.lists(
    st.builds(
        Sent,
        head_bytes=st.integers(0, LIMITS.header_bytes),
        body=bodies,
        chunk_bytes=st.sampled_from([0, 0, 700, 70_000]),
    ),
    min_size=1,
    max_size=4,
)


@given(requests, st.data())
def test_requests_within_the_limits_pass_however_their_bytes_are_cut(
    sent: list[Sent], data: st.DataObject
) -> None:
    """Guards against a limit of heads that counts bytes of bodies or other requests."""
    content = b"".join(one.content() for one in sent)
    reads = cut(content, data.draw(cuts_within(len(content))))
    for listener in run_with_clock(ClockLoop()):
        listener.receive(*reads)
        assert not listener.rejections
        assert not listener.faults
        assert listener.bodies == [one.body for one in sent]


@given(
    st.integers(LIMITS.header_bytes + 1, 4 * LIMITS.header_bytes),
    st.integers(0, 3),
    st.data(),
)
def test_a_head_above_its_limit_is_rejected_however_it_is_cut(
    head_bytes: int, before: int, data: st.DataObject
) -> None:
    """Guards against heads that pass since their bytes are counted too late."""
    proper = Sent(200, b"b" * 1000, 0)
    content = proper.content() * before + Sent(head_bytes, b"", 0).content()
    reads = cut(content, data.draw(cuts_within(len(content))))
    for listener in run_with_clock(ClockLoop()):
        listener.receive(*reads)
        assert listener.statuses == [TOO_LARGE_HEAD]
        assert listener.bodies == [proper.body] * before


@given(st.integers(1, 5000), st.integers(0, 2))
def test_a_head_without_an_end_is_rejected_soon(piece_bytes: int, before: int) -> None:
    """Guards against memory that one caller takes with a head that never ends."""
    begin = Sent(200, b"b", 0).content() * before + b"GET / HTTP/1.1\r\nP: "
    for listener in run_with_clock(ClockLoop()):
        listener.receive(begin)
        received = 0
        while not listener.rejections:
            listener.receive(b"x" * piece_bytes)
            received += piece_bytes
            assert received <= LIMITS.header_bytes + 64 + piece_bytes
        assert listener.statuses == [TOO_LARGE_HEAD]


EMPTY_LINES = [b"\r\n", b"\n", b"\r"]


@pytest.mark.parametrize("line", EMPTY_LINES)
@pytest.mark.parametrize("lines", [1, 400, 100_000])
@pytest.mark.parametrize("before", [0, 1])
def test_empty_lines_without_an_end_are_rejected_soon(
    listener: Listener, line: bytes, lines: int, before: int
) -> None:
    """Guards against bytes of no request, which count for no limit."""
    listener.receive(Sent(200, b"b", 0).content() * before)
    piece = line * lines
    received = 0
    while not listener.rejections:
        listener.receive(piece)
        received += len(piece)
        assert received <= LIMITS.header_bytes + len(piece)
    assert listener.statuses == [TOO_LARGE_HEAD]
    assert listener.bodies == [b"b"] * before


@pytest.mark.parametrize("line", EMPTY_LINES)
@pytest.mark.parametrize("before", [0, 1])
def test_empty_lines_that_trickle_in_end_at_the_timeout_of_a_head(
    listener: Listener, line: bytes, before: int
) -> None:
    """Guards against empty lines that each begin the idle time anew."""
    listener.receive(Sent(0, b"b", 0).content() * before)
    began_s = listener.loop.now_s
    while not listener.rejections:
        listener.receive(line)
        listener.wait(0.4)
        assert listener.loop.now_s - began_s < 10
    assert listener.statuses == [HTTPStatus.REQUEST_TIMEOUT]
    limit_s = LIMITS.header_timeout_ms / 1000
    assert limit_s <= listener.loop.now_s - began_s <= limit_s + 0.9


def test_an_empty_line_after_a_request_neither_ends_nor_renews_the_idle_time(
    listener: Listener,
) -> None:
    """Guards against 408 for a client that ends its body with a line."""
    listener.receive(Sent(0, b"b", 0).content())
    listener.wait(10.0)
    listener.receive(b"\r\n")
    listener.wait(4.5)
    assert not listener.transport.closed
    listener.wait(1.0)
    assert listener.transport.closed
    assert not listener.rejections


@given(requests, st.sampled_from(EMPTY_LINES), st.data())
def test_an_empty_line_before_each_request_passes_however_it_is_cut(
    sent: list[Sent], line: bytes, data: st.DataObject
) -> None:
    """Guards against a head at its limit that is charged with a line before it."""
    content = b"".join(line + one.content() for one in sent) + line
    reads = cut(content, data.draw(cuts_within(len(content))))
    for listener in run_with_clock(ClockLoop()):
        listener.receive(*reads)
        assert not listener.rejections
        assert not listener.faults
        assert listener.bodies == [one.body for one in sent]


@given(
    st.integers(LIMITS.body_bytes - 3, LIMITS.body_bytes + 3),
    st.sampled_from([0, 50_000]),
    st.data(),
)
def test_the_limit_of_bodies_counts_one_body_alone(
    size: int, chunk_bytes: int, data: st.DataObject
) -> None:
    """Guards against a body limit that counts heads, chunks or other requests."""
    small = Sent(1900, b"s" * 200_000, chunk_bytes)
    large = Sent(1900, b"b" * size, chunk_bytes)
    content = small.content() + large.content() + small.content()
    reads = cut(content, data.draw(cuts_within(len(content))))
    for listener in run_with_clock(ClockLoop()):
        listener.receive(*reads)
        if size <= LIMITS.body_bytes:
            assert listener.bodies == [small.body, large.body, small.body]
        else:
            assert listener.bodies == [small.body]
            assert listener.statuses == [TOO_LARGE_BODY]


@given(st.sampled_from([b"X: 1\r\n", b"x" * 100]), st.integers(0, 400))
def test_trailers_are_limited(piece: bytes, body_bytes: int) -> None:
    """Guards against trailers that count for no limit and are all kept."""
    chunk = b"%x\r\n%b\r\n" % (body_bytes, b"b" * body_bytes) if body_bytes else b""
    for listener in run_with_clock(ClockLoop()):
        listener.receive(head_of(["Transfer-Encoding: chunked"]), chunk, b"0\r\n")
        received = 0
        while not listener.rejections:
            listener.receive(piece)
            received += len(piece)
            assert received <= LIMITS.header_bytes + len(piece)
        assert listener.statuses == [TOO_LARGE_HEAD]
        assert not listener.bodies


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"GET / HTTP/1.1\r\n", b"a:\r\n"),
        (b"GET / HTTP/1.1\r\n", b"x"),
        (b"GET / HTTP/1.1\r\nP: ", b"x"),
        (b"GET /", b"x"),
        (head_of(["Transfer-Encoding: chunked"]) + b"0\r\n", b"a:\r\n"),
        (head_of(["Transfer-Encoding: chunked"]) + b"0\r\n", b"x"),
    ],
)
def test_a_read_beyond_a_limit_is_not_kept(
    listener: Listener, begin: bytes, piece: bytes
) -> None:
    """Guards against reads of the smallest fields that take many times their size."""
    data = piece * (READ_BYTES // len(piece))
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        listener.receive(begin, data)
        now_bytes, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert listener.statuses == [TOO_LARGE_HEAD]
    assert not listener.bodies
    assert peak_bytes - before_bytes < 3 * READ_BYTES
    assert now_bytes - before_bytes < READ_BYTES // 4


@pytest.mark.parametrize("read_bytes", [100, 1500, READ_BYTES])
@pytest.mark.parametrize("extension_bytes", [200, 1000])
def test_chunk_extensions_are_limited_over_the_whole_body(
    listener: Listener, extension_bytes: int, read_bytes: int
) -> None:
    """Guards against framing without end, a byte of the body between each of it."""
    chunk = b"1;" + b"e" * extension_bytes + b"\r\nb\r\n"
    content = chunk * (READ_BYTES * 4 // len(chunk))
    listener.receive(head_of(["Transfer-Encoding: chunked"]))
    for at in range(0, len(content), read_bytes):
        listener.receive(content[at : at + read_bytes])
        if listener.rejections:
            break
    assert listener.statuses == [TOO_LARGE_BODY]
    assert at < 8 * LIMITS.header_bytes


@given(
    st.integers(1, 3000),
    st.sampled_from([b"%x", b"%016X"]),
    st.integers(0, LIMITS.header_bytes // 2),
    st.data(),
)
def test_bodies_of_the_smallest_chunks_pass_however_they_are_cut(
    size: int, size_format: bytes, trailer_bytes: int, data: st.DataObject
) -> None:
    """Guards against a limit of framing that a body of plain chunks meets."""
    chunk = size_format % 1 + b"\r\nb\r\n"
    trailer = b"T: " + b"t" * trailer_bytes + b"\r\n"
    framed = chunk * size + size_format % 0 + b"\r\n" + trailer + b"\r\n"
    content = head_of(["Transfer-Encoding: chunked"]) + framed
    reads = cut(content, data.draw(cuts_within(len(content))))
    for listener in run_with_clock(ClockLoop()):
        listener.receive(*reads)
        assert not listener.rejections
        assert listener.bodies == [b"b" * size]


def test_signed_chunks_pass(listener: Listener) -> None:
    """Guards against a limit of framing that refuses extensions of usual chunks."""
    signature = b";chunk-signature=" + b"a" * 64
    chunk = b"%x%b\r\n%b\r\n" % (2000, signature, b"b" * 2000)
    listener.receive(head_of(["Transfer-Encoding: chunked"]))
    listener.receive(*[chunk] * 150, b"0" + signature + b"\r\n\r\n")
    assert listener.bodies == [b"b" * 300_000]


@pytest.mark.parametrize("same_read", [True, False])
@pytest.mark.parametrize(
    "rest", [b"\r\n", b"GET /r HTTP/1.1\r\nHost: a\r\n\r\n", b"no request\r\n", b"\0"]
)
def test_bytes_after_the_last_request_of_a_connection_get_no_answer(
    listener: Listener, rest: bytes, same_read: bool
) -> None:
    """Guards against an answer that nobody asked for."""
    listener.answers = False
    last = head_of(["Connection: close", "Content-Length: 1"]) + b"b"
    listener.receive(*([last + rest] if same_read else [last, rest]))
    listener.exchanges[0].answer(200, [], b"")
    assert not listener.rejections
    assert not listener.faults
    assert listener.transport.written.count(b"HTTP/1.1") == 1
    assert listener.transport.closed


def test_a_closing_connection_reads_nothing_more(listener: Listener) -> None:
    """Guards against a caller who sends on while its rejection waits for answers."""
    listener.answers = False
    listener.receive(head_of([], first="GET /r HTTP/1.1"), b"no request\r\n")
    assert listener.statuses == [HTTPStatus.BAD_REQUEST]
    listener.receive(b"x" * 1000)
    assert listener.transport.reads
    listener.receive(b"x" * 1001)
    assert not listener.transport.reads
    listener.connection.pause_reading()
    listener.connection.resume_reading()
    assert not listener.transport.reads
    listener.exchanges[0].answer(200, [], b"")
    assert listener.transport.written.count(b"HTTP/1.1") == 2
    assert listener.transport.closed


def test_trailers_are_no_fields_of_their_request(listener: Listener) -> None:
    """Guards against fields that a caller adds to a request after it was judged."""
    listener.answers = False
    listener.receive(head_of(["Transfer-Encoding: chunked"]), b"1\r\nb\r\n0\r\n")
    before = list(listener.exchanges[0].headers)
    listener.receive(b"Attempt-Id: another\r\nAuthorization: Token t\r\n\r\n")
    assert listener.bodies == [b"b"]
    assert listener.exchanges[0].headers == before


def test_a_request_that_is_rejected_within_its_body_ends(listener: Listener) -> None:
    """Guards against a run for a caller who has got an error already."""
    listener.receive(head_of(["Transfer-Encoding: chunked"]), b"no chunk\r\n")
    sink = listener.exchanges[0].sink
    assert isinstance(sink, Collector)
    assert sink.disconnects == 1
    assert listener.statuses == [HTTPStatus.BAD_REQUEST]


@pytest.mark.parametrize("before", [0, 1, 3])
@pytest.mark.parametrize("pause_s", [0.4, 2.9])
def test_a_head_that_trickles_in_ends_at_its_timeout(
    listener: Listener, before: int, pause_s: float
) -> None:
    """Guards against a timeout of heads that each byte begins anew."""
    listener.receive(Sent(0, b"b", 0).content() * before)
    began_s = listener.loop.now_s
    for byte in head_of([]):
        listener.receive(bytes([byte]))
        listener.wait(pause_s)
        if listener.rejections:
            break
    assert listener.statuses == [HTTPStatus.REQUEST_TIMEOUT]
    limit_s = LIMITS.header_timeout_ms / 1000
    assert limit_s <= listener.loop.now_s - began_s <= limit_s + pause_s + 0.5


@pytest.mark.parametrize("above", [0, 1])
def test_a_body_above_its_limit_is_not_asked_for(
    listener: Listener, above: int
) -> None:
    """Guards against an invitation to send a body that is rejected."""
    length = LIMITS.body_bytes + above
    fields = ["Expect: 100-continue", f"Content-Length: {length}"]
    listener.receive(head_of(fields))
    begin = b"HTTP/1.1 413 " if above else b"HTTP/1.1 100 "
    assert listener.transport.written.startswith(begin)


@pytest.mark.parametrize("piece", [b"", b"b"])
def test_a_request_to_an_endpoint_that_never_ends_is_rejected(
    listener: Listener, piece: bytes
) -> None:
    """Guards against connections that an announced body holds for ever."""
    listener.state.request_timeout_ms = ENDPOINT_REQUEST_TIMEOUT_MS
    listener.receive(head_of(["Content-Length: 60000"]))
    for _ in range(29):
        listener.receive(piece)
        listener.wait(0.5)
    assert not listener.rejections
    listener.wait(1.0)
    assert listener.statuses == [HTTPStatus.REQUEST_TIMEOUT]
    assert listener.transport.closed


@pytest.mark.parametrize("busy_s", [0.0, 14.0, 60.0])
def test_the_time_of_a_body_is_not_that_of_a_head(
    listener: Listener, busy_s: float
) -> None:
    """Guards against heads that are charged with the wait for an earlier request."""
    listener.answers = False
    listener.receive(head_of(["Content-Length: 2"]), b"b")
    listener.wait(busy_s)
    listener.receive(b"b" + b"GET /r")
    listener.wait(2.9)
    listener.receive(b" HTTP/1.1\r\nHost: shop.example\r\n\r\n")
    listener.wait(busy_s)
    assert not listener.rejections
    assert len(listener.bodies) == 2


def test_a_head_is_not_charged_with_the_time_of_no_reading(listener: Listener) -> None:
    """Guards against 408 for a head whose rest the node itself left unread."""
    listener.answers = False
    whole = head_of([], first="GET /r HTTP/1.1")
    listener.receive(whole * MAX_PIPELINED_REQUESTS + whole[:20])
    assert not listener.transport.reads
    listener.wait(60.0)
    for exchange in listener.exchanges:
        exchange.answer(200, [], b"")
    assert listener.transport.reads
    listener.wait(2.9)
    assert not listener.rejections
    listener.wait(0.6)
    assert listener.statuses == [HTTPStatus.REQUEST_TIMEOUT]


@pytest.mark.parametrize("frozen_s", [3.5, 100.0])
def test_a_pause_of_the_node_ends_no_connection(
    listener: Listener, frozen_s: float
) -> None:
    """Guards against timeouts that count while the process was frozen."""
    listener.receive(b"GET /r HTTP/1.1\r\n")
    listener.loop.now_s += frozen_s
    listener.state.exclude_pause(frozen_s)
    listener.wait(2.5)
    assert not listener.rejections
    listener.receive(b"Host: shop.example\r\n\r\n")
    listener.loop.now_s += frozen_s
    listener.state.exclude_pause(frozen_s)
    listener.wait(14.5)
    assert not listener.transport.closed
    listener.wait(1.0)
    assert listener.transport.closed


def test_a_caller_that_still_receives_its_answer_is_not_idle(
    listener: Listener,
) -> None:
    """Guards against an idle timeout that counts the time of a long answer."""
    listener.receive(head_of([], first="GET /r HTTP/1.1"))
    for unsent_bytes in (1_000_000, 999_999, 999_998):
        listener.transport.unsent_bytes = unsent_bytes
        listener.wait(14.5)
    listener.transport.unsent_bytes = 0
    listener.wait(14.5)
    assert not listener.transport.closed
    listener.wait(1.0)
    assert listener.transport.closed


def test_an_earlier_answer_does_not_lift_the_pause_of_a_body(
    listener: Listener,
) -> None:
    """Guards against a flow window that the answers of other requests undo."""
    listener.answers = False
    listener.receive(head_of([], first="GET /r HTTP/1.1"))
    listener.receive(head_of(["Content-Length: 200000"]), b"b" * 1000)
    listener.connection.pause_reading()
    listener.exchanges[0].answer(200, [], b"")
    assert not listener.transport.reads
    listener.connection.resume_reading()
    assert listener.transport.reads


def test_a_full_pipeline_stays_unread_when_a_body_was_accepted(
    listener: Listener,
) -> None:
    """Guards against requests beyond the pipeline's limit after a body's pause."""
    listener.answers = False
    whole = head_of([], first="GET /r HTTP/1.1")
    listener.receive(whole * MAX_PIPELINED_REQUESTS)
    listener.connection.resume_reading()
    assert not listener.transport.reads
