"""Graceful shutdown: every request in flight is answered before the node exits."""

import asyncio
import re
import socket

import attrs
import pytest
import pytest_asyncio

from azurestep.config.model import LimitRule
from azurestep.control.messages import PackedCall
from azurestep.environment import Environment
from azurestep.node import run
from azurestep.once.messages import Header
from azurestep.traffic.packed_call import unpack_call
from azurestep.traffic.single_run import RunFailed
from tests.fixtures_traffic import SERVICE

LONG_MS = 6000
SHUTDOWN_TIMEOUT_S = 5.0
ONE_SLOT = attrs.evolve(SERVICE, limits=LimitRule(slots=1, queue_timeout_ms=LONG_MS))
RAN, MAY_HAVE_RUN, NOT_RUN = (200, False), (504, False), (503, True)


class OtherServices:
    """A node's other services, which complete each step of a shutdown immediately."""

    def __init__(self, before_exit=None):
        self.inputs = asyncio.Queue()
        self.aborted = None
        self.before_exit = before_exit

    def leave_all(self):
        return

    async def hand_over(self, timeout_s):
        return True

    def begin_drain(self, in_flight):
        return

    async def end_drain(self, begun, aborted, handed_over, timeout_s):
        self.aborted = aborted
        if self.before_exit is not None:
            self.before_exit()
            await asyncio.sleep(0.2)
        return True


@pytest_asyncio.fixture
async def stop_node(monkeypatch):
    """Shut a node down as a signal does, with a short drain timeout."""
    monkeypatch.setattr(run, "DRAIN_SETTLE_S", 0.0)
    monkeypatch.setattr(run, "LEAVE_SETTLE_S", 0.0)
    monkeypatch.setattr(run, "DRAIN_TIMEOUT_S", 0.6)

    async def stop(rig, before_exit=None):
        others = OtherServices(before_exit)
        async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
            await run._drain(others, others, rig.traffic, others, others)
            await rig.traffic.stop()
        return others.aborted

    return stop


def get(path, method="GET", fields=""):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n".encode()


def in_flight(rig):
    return rig.traffic.proxy.in_flight


def read_outcomes(answer):
    """Return status and presence of the "not run" header of each answer."""
    heads = re.findall(rb"HTTP/1\.1 (\d+)(.*?)\r\n\r\n", answer, re.DOTALL)
    return [(int(status), b"Azurestep-Not-Run: 1" in rest) for status, rest in heads]


async def test_every_request_in_flight_is_answered(
    raw_call, start_backend_server, start_traffic, stop_node, wait_until
):
    server = await start_backend_server()
    one_slot_node = await start_traffic(server.address.port, service=ONE_SLOT)
    node = await start_traffic(server.address.port)
    never_set = asyncio.Event()

    async def ask_owner(call):
        await never_set.wait()

    one_slot_node.traffic.proxy.non_idempotent_handler = ask_owner
    slow = get(f"/songs?delay_ms={LONG_MS}")
    requests = {
        "running": (one_slot_node, slow),
        "waiting": (one_slot_node, get("/songs")),
        "payment": (one_slot_node, get("/pay", "POST", "Content-Length: 1\r\n") + b"x"),
        "incomplete body": (
            one_slot_node,
            get("/songs", "POST", "Content-Length: 9\r\n") + b"x",
        ),
        "pipelined": (node, get("/songs?delay_ms=200") + get("/songs") * 2),
    }
    calls = {}
    for number, (name, (rig, request)) in enumerate(requests.items(), start=1):
        calls[name] = asyncio.create_task(raw_call(rig.port, request))
        await wait_until(
            lambda n=number: in_flight(one_slot_node) + in_flight(node) == n
        )
    reader, writer = await asyncio.open_connection("127.0.0.1", one_slot_node.port)
    aborted_counts = await asyncio.gather(
        stop_node(one_slot_node, lambda: writer.write(slow)), stop_node(node)
    )
    calls["sent during shutdown"] = asyncio.create_task(reader.read())
    answers = {name: read_outcomes(await call) for name, call in calls.items()}
    writer.close()

    assert answers == {
        "running": [MAY_HAVE_RUN],
        "waiting": [NOT_RUN],
        "payment": [MAY_HAVE_RUN],
        "incomplete body": [NOT_RUN],
        "pipelined": [RAN] * 3,
        "sent during shutdown": [NOT_RUN],
    }
    assert aborted_counts == [4, 0]


async def test_a_started_answer_is_aborted_visibly(
    raw_call, start_backend_server, start_traffic, stop_node, start_raw_server
):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
    server = await start_raw_server([head + b"a" * 100_000, LONG_MS / 1000])
    rig = await start_traffic(server.port)
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
    writer.write(get("/songs"))
    begun = await reader.readexactly(1000)
    aborted = await stop_node(rig)
    rest = await reader.read()
    writer.close()

    assert read_outcomes(begun + rest) == [RAN]
    assert set(rest) <= {ord("a")}
    assert len(rest) <= 100_000
    assert aborted == 1


async def test_a_run_for_a_peer_reports_whether_it_may_have_run(
    start_backend_server, start_traffic, stop_node, wait_until
):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port, service=ONE_SLOT)
    proxy = rig.traffic.proxy
    runs = []
    for number in (1, 2):
        call = make_call(proxy.table, f"/songs?delay_ms={LONG_MS}")
        runs.append(asyncio.create_task(proxy.run_non_idempotent(call)))
        await wait_until(lambda n=number: proxy.in_flight == n)
    await wait_until(lambda: server.load().in_flight == 1)
    await stop_node(rig)

    assert [await run for run in runs] == [RunFailed(True), RunFailed(False)]


def make_call(table, target):
    packed = PackedCall("GET", target, "x", [Header("Host", "x")], b"")
    now_ms = Environment().clock.monotonic_ms()
    return unpack_call(packed, table, LONG_MS, now_ms)


async def test_a_late_request_is_served_if_the_drain_completed(
    start_backend_server, start_traffic, stop_node
):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
    late = get("/songs?delay_ms=800")
    assert await stop_node(rig, lambda: writer.write(late)) == 0
    answer = await reader.read()
    writer.close()

    assert read_outcomes(answer) == [RAN]


async def test_the_end_of_an_answer_is_sent_before_the_exit(
    start_backend_server, start_traffic, stop_node, wait_until
):
    """A slow reader must not lose the bytes in the node's write buffer at its exit."""
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, ("127.0.0.1", rig.port))
    await wait_until(lambda: rig.traffic._runner.server.connections)
    transport = rig.traffic._runner.server.connections[0].transport
    accepted = transport.get_extra_info("socket")
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await loop.sock_sendall(caller, get("/track?bytes=60000"))
    await wait_until(lambda: transport.get_write_buffer_size() and not in_flight(rig))
    stopping = asyncio.create_task(stop_node(rig))
    await asyncio.sleep(0.3)
    reading = asyncio.create_task(read_all(caller))
    assert await stopping == 0
    # The exit of the process aborts open connections.
    transport.abort()
    answer = await reading
    caller.close()

    assert read_outcomes(answer) == [RAN]
    assert len(answer.partition(b"\r\n\r\n")[2]) == 60_000


async def read_all(caller):
    loop = asyncio.get_running_loop()
    answer = b""
    while piece := await loop.sock_recv(caller, 4096):
        answer += piece
    return answer


async def test_connections_in_the_listeners_backlog_are_served(
    start_backend_server, start_traffic
):
    """A closed listener must not reset connections that the kernel already accepted."""
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    # Without an await in between, the event loop can't accept them before the stop.
    callers = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(3)]
    for caller in callers:
        caller.sendall(get("/songs", fields="Connection: close\r\n"))
        caller.setblocking(False)
    await rig.traffic.stop_listening()
    answers = [await read_all(caller) for caller in callers]
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", rig.port))

    assert [read_outcomes(answer) for answer in answers] == [[RAN]] * 3
