"""No work is begun for callers that have left.

A node that stood still finds their requests and their closes unread together.
"""

import asyncio
import itertools
import socket
import struct
import threading
import time
from collections.abc import Iterator, Mapping

import pytest

from azurestep.http.server import MAX_PIPELINED_REQUESTS
from azurestep.mesh.backend.run import CONFIRMATION_TIMEOUT_MS, FLOW_WINDOW_BYTES
from azurestep.mesh.callers.body import MAX_BUFFERED_BODY_BYTES
from azurestep.mesh.messages import (
    FEATURE_LEVEL,
    PROTOCOL_VERSION,
    Hello,
    Kind,
    Reason,
    Request,
    encode,
    fields_of,
)
from azurestep.mesh.node import Node

from .fixtures_inbound import InboundHarness, RecordingReceiver, answer
from .fixtures_mesh import (
    CALLER_PORT,
    PEER_PORT,
    MeshFleet,
    MeshInstance,
    MeshLines,
    caller_headers,
)
from .test_mesh_faults import block_sending, eventually
from .test_mesh_refusals import drain_all_but, read

STALL_S = 0.8
"""Time that the nodes of a test stand still, all in one event loop."""
CALLERS = 10
"""Callers of each kind that leave."""
NOTICED_S = 0.4
"""Time after which a node has noticed a close in any case, less than half a second."""
MORE_THAN_A_READ_BYTES = 600_000
"""More than the event loop returns with one read of a socket."""


def encode_request(
    name: str,
    method: str = "GET",
    body: bytes = b"",
    fields: Mapping[str, str] | None = None,
) -> bytes:
    """Return the bytes of a read or a payment, with further header fields."""
    path = "/read/1" if method == "GET" else "/pay/1"
    fields = {**caller_headers(name), **(fields or {})}
    if body:
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def leave(caller: socket.socket, how: str) -> None:
    """Close or reset a caller's connection."""
    if how == "reset":
        linger = struct.pack("ii", 1, 0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.close()


def connect(instance: MeshInstance) -> socket.socket:
    return socket.create_connection((instance.host, CALLER_PORT), timeout=10)


async def open_kept(instance: MeshInstance, count: int) -> list[socket.socket]:
    """Return connections on which a request was answered."""
    callers = []
    for number in range(count):
        caller = connect(instance)
        callers.append(caller)
        caller.sendall(encode_request(f"first-{number}"))
        await asyncio.to_thread(caller.recv, 65_536)
    return callers


class Acting:
    """Callers that act in threads, also while the event loop stands still."""

    def __init__(self, *acts: Iterator[None]) -> None:
        self._threads = [threading.Thread(target=list, args=(act,)) for act in acts]

    @property
    def ended(self) -> bool:
        """Whether all callers have done what they do."""
        return not any(thread.is_alive() for thread in self._threads)

    def start(self) -> None:
        """Let the callers act."""
        for thread in self._threads:
            thread.start()

    def play(self) -> None:
        """Let the callers act while the event loop stands still."""
        self.start()
        time.sleep(STALL_S)
        for thread in self._threads:
            thread.join()


def send_and_leave(
    instance: MeshInstance, kept: list[socket.socket], requests: list[bytes], how: str
) -> Iterator[None]:
    """Send each request on a connection of its own, and leave."""
    for index, request in enumerate(requests):
        caller = kept[index] if kept else connect(instance)
        caller.sendall(request)
        yield
        leave(caller, how)


def count_runs(mesh: MeshFleet, prefix: str) -> int:
    """Return how many runs requests had whose names begin so."""
    return sum(
        count
        for instance in mesh.instances
        for name, count in instance.server.runs.items()
        if name.startswith(prefix)
    )


async def test_requests_read_after_a_stall_do_not_run_for_callers_that_left(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    acts = []
    for kept, method, how in itertools.product(
        [False, True], ["GET", "POST"], ["close", "reset"]
    ):
        callers = await open_kept(instance, CALLERS) if kept else []
        body = b"" if method == "GET" else b"payment"
        names = [f"left-{method}-{how}-{kept}-{index}" for index in range(CALLERS)]
        requests = [encode_request(name, method, body) for name in names]
        acts.append(send_and_leave(instance, callers, requests, how))
    Acting(*acts).play()
    await asyncio.sleep(0.3)
    assert count_runs(mesh, "left-") == 0


async def open_link(instance: MeshInstance) -> socket.socket:
    """Return a link to a node, opened as by a peer that answers its hello."""
    link = socket.create_connection((instance.host, PEER_PORT), timeout=10)
    hello = Hello(PROTOCOL_VERSION, ("127.0.0.1", 9), "dc-9", 1, 3, FEATURE_LEVEL)
    link.sendall(encode(Kind.HELLO, *fields_of(hello)))
    link.sendall(encode(Kind.PING, now_ms()))
    await asyncio.to_thread(link.recv, 65_536)
    return link


def now_ms() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def make_link_request(
    instance: MeshInstance, name: str, objective_ms: float = 400.0
) -> Request:
    """Return a read for the backend server beside a node."""
    backend = instance.node.backend
    return Request(
        b"GET",
        b"/read/1",
        [(b"Host", b"shop.example"), (b"Attempt-Id", name.encode())],
        "shop",
        backend.incarnation.instance_id,
        "read",
        name.encode(),
        b"shop",
        True,
        2,
        objective_ms + 600.0,
        objective_ms,
        now_ms(),
        0,
        True,
        b"",
        backend.incarnation.started_ms,
    )


def encode_link_request(
    instance: MeshInstance, name: str, stream_id: int, objective_ms: float = 400.0
) -> bytes:
    """Return the message of a read for the backend server beside a node."""
    request = make_link_request(instance, name, objective_ms)
    return encode(Kind.REQUEST, stream_id, *fields_of(request))


async def test_requests_read_with_their_cancels_never_reach_the_backend_server(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    for _ in range(3):
        # Leaves idle connections to the backend server, which are used at once.
        await asyncio.gather(*(read(mesh, instance, f"r{i}") for i in range(8)))
    link = await open_link(instance)
    counters = instance.node.runtime.metrics.counters
    before = counters["backend_requests", ""]
    one_read = b"".join(
        encode_link_request(instance, f"left-{stream_id}", stream_id)
        + encode(Kind.CANCEL, stream_id)
        for stream_id in range(1, 4)
    )
    link.sendall(one_read)
    await asyncio.sleep(0.1)
    assert counters["backend_requests", ""] == before

    def send_in_two_reads() -> Iterator[None]:
        link.sendall(encode_link_request(instance, "left-4", 4))
        link.sendall(encode(Kind.PING, now_ms()) * (MORE_THAN_A_READ_BYTES // 11))
        link.sendall(encode(Kind.CANCEL, 4))
        yield

    Acting(send_in_two_reads()).play()
    await asyncio.sleep(0.1)
    assert counters["backend_requests", ""] == before
    link.close()


@pytest.mark.parametrize("late_ms", [0.0, 300.0, 500.0])
def test_late_request_runs_once_its_sender_confirms_it(
    harness: InboundHarness, late_ms: float
) -> None:
    receiver = RecordingReceiver()
    run = harness.submit(receiver, late_ms=late_ms)
    harness.loop.run_due()
    if late_ms >= 500.0:
        assert (run.may_have_run, receiver.asked) == (False, 1)
        run.proceed()
        harness.loop.run_due()
    assert run.may_have_run
    answer(run)
    assert receiver.outcomes == ["answer"]


def test_late_request_that_is_not_confirmed_frees_its_slot(
    harness: InboundHarness,
) -> None:
    receiver = RecordingReceiver()
    run = harness.submit(receiver, late_ms=600.0)
    harness.loop.run_due()
    harness.after(CONFIRMATION_TIMEOUT_MS + 1)
    assert receiver.outcomes == [Reason.TOO_LATE.name]
    assert not run.may_have_run
    assert harness.inbound.admission.in_flight == 0


def test_request_whose_caller_left_while_it_waited_does_not_start(
    harness: InboundHarness,
) -> None:
    running = [harness.submit(RecordingReceiver()) for _ in range(4)]
    leaving = RecordingReceiver()
    waiting = harness.submit(leaving)
    harness.loop.run_due()
    leaving.wanted = False
    answer(running[0])
    harness.loop.run_due()
    assert waiting.done
    assert not waiting.may_have_run
    assert leaving.outcomes == []
    assert harness.inbound.admission.in_flight == 3


def is_paused(node: Node) -> bool:
    """Whether a node has stopped to read from a caller."""
    return bool(node.callers.paused)


async def test_requests_end_with_callers_from_which_no_more_is_read(
    mesh: MeshFleet,
) -> None:
    asked, serving = mesh.instances[:2]
    for instance in mesh.instances:
        instance.server.work_s = 0.9
    pipelining = connect(asked)
    names = [f"left-{index}" for index in range(MAX_PIPELINED_REQUESTS)]
    pipelining.sendall(b"".join(encode_request(name) for name in names))
    await eventually(lambda: count_runs(mesh, "left-") == mesh_slots(mesh))
    assert is_paused(asked.node)
    leave(pipelining, "close")
    await asyncio.sleep(NOTICED_S)
    assert [one.server.running for one in mesh.instances] == [0, 0, 0]

    await drain_all_but(mesh, serving)
    slots = serving.server.slots
    reads = [asyncio.create_task(read(mesh, serving, f"r{i}")) for i in range(slots)]
    await eventually(lambda: serving.server.running == slots)
    counters = serving.node.runtime.metrics.counters
    before = counters["backend_requests", ""]
    uploading = connect(asked)
    body = bytes(MAX_BUFFERED_BODY_BYTES + 8 * FLOW_WINDOW_BYTES)
    sending = asyncio.to_thread(uploading.sendall, encode_request("up", "POST", body))
    await asyncio.wait([asyncio.ensure_future(sending)], timeout=0.2)
    await eventually(lambda: is_paused(asked.node))
    leave(uploading, "reset")
    assert await asyncio.gather(*reads) == [200] * slots
    await asyncio.sleep(0.1)
    assert counters["backend_requests", ""] == before
    assert serving.node.inbound.admission.in_flight == 0


def mesh_slots(mesh: MeshFleet) -> int:
    return sum(instance.server.slots for instance in mesh.instances)


async def test_lines_tell_what_was_begun_for_callers_that_left(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    # Without them, a request sent on for nobody looks like one whose caller left later.
    serving = mesh.instances[0]
    for instance in mesh.instances:
        instance.server.work_s = 5.0
    caller = connect(serving)
    caller.sendall(encode_request("leaves"))
    await eventually(lambda: count_runs(mesh, "leaves") == 1)
    leave(caller, "close")
    lines: list[dict[str, object]] = []

    def told() -> bool:
        lines.extend(mesh_lines.of(9404, 9504))
        return len(lines) == 2

    await eventually(told)
    by_event = {line["event"]: line for line in lines}
    assert by_event[9404]["asked"] == 1
    assert by_event[9504]["sent"] is True
    late_ms = by_event[9504]["late_ms"]
    assert isinstance(late_ms, int)
    assert 0 <= late_ms < NOTICED_S * 1000
    counters = [one.node.runtime.metrics.counters for one in mesh.instances]
    assert sum(one["cancelled_here", "sent"] for one in counters) == 1


@pytest.mark.parametrize("leaves", [True, False])
async def test_a_resumed_run_ends_with_its_caller_or_counts_as_run(
    mesh: MeshFleet, leaves: bool
) -> None:
    # The second run was refused at once by the caller's own node.
    asked, silent, draining = mesh.instances
    await draining.beat(mesh.session, "draining")
    await asyncio.sleep(0.05)
    await asyncio.gather(*(read(mesh, asked, f"short-{i}") for i in range(6)))
    for instance in mesh.instances:
        instance.server.work_s = 3.0
    link = await open_link(asked)
    for stream_id in range(1, asked.server.slots + 1):
        link.sendall(encode_link_request(asked, f"full-{stream_id}", stream_id, 3000.0))
    await eventually(lambda: asked.server.running == asked.server.slots)
    asked.node.inbound.admission.clear_run_times()
    asked.node.inbound.admission.record_run("read", 3000.0)
    caller = connect(asked)
    caller.sendall(encode_request("left"))
    await eventually(lambda: silent.server.running == 1)
    block_sending(silent)
    counters = asked.node.runtime.metrics.counters
    await eventually(lambda: counters["refused_here", "OVERLOADED"] > 0)
    if leaves:
        leave(caller, "close")
        await asyncio.sleep(NOTICED_S)
    else:
        answered = await asyncio.to_thread(caller.recv, 65_536)
        assert answered.split(b" ", 2)[1] == b"504"
        caller.close()
        await asyncio.sleep(0.1)
    assert silent.server.running == 0
    link.close()
