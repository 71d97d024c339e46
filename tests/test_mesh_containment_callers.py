"""Internal errors in handling callers, answers and timers affect one request only."""

import asyncio
import contextlib
import re
from collections.abc import Callable
from typing import Any

import attrs
import pytest

from azurestep.mesh import events
from azurestep.mesh.backend.inbound import Inbound
from azurestep.mesh.backend.probing import Prober
from azurestep.mesh.backend.run import Run
from azurestep.mesh.backend.state import LocalBackend
from azurestep.mesh.callers.answer_writer import AnswerWriter
from azurestep.mesh.callers.call import Call
from azurestep.mesh.callers.context import CallContext
from azurestep.mesh.decisions.pressure import RefusalMeter
from azurestep.mesh.decisions.returning import ReturningCallers
from azurestep.mesh.knowledge.configuration_watcher import ConfigurationWatcher
from azurestep.mesh.links.link import PeerLink
from azurestep.mesh.links.members import Members
from azurestep.mesh.messages import Answer
from azurestep.mesh.node import Node

from .fixtures_mesh import (
    CALLER_PORT,
    MeshFleet,
    MeshInstance,
    MeshLines,
    caller_headers,
)
from .test_mesh_containment import FAULTY, faults, inject_fault, of_call, of_run
from .test_mesh_faults import eventually

Owner = tuple[type, Callable[..., bytes]]


def of_attempt(context: CallContext, exchange: object, caller: Any) -> bytes:
    name: bytes = caller.request_id
    return name


def encode_request(name: str, body: bytes | None = None) -> bytes:
    lines = [f"{key}: {value}" for key, value in caller_headers(name).items()]
    if body is None:
        lines.insert(0, "GET /read/1 HTTP/1.1")
    else:
        lines.insert(0, "POST /pay/1 HTTP/1.1")
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


async def send_raw(instance: MeshInstance, data: bytes, max_answers: int) -> list[int]:
    """Send requests on one connection; return the statuses in their order."""
    reader, writer = await asyncio.open_connection(instance.host, CALLER_PORT)
    writer.write(data)
    found: list[int] = []
    text = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(1.0):
            while len(found) < max_answers and (piece := await reader.read(65_536)):
                text += piece
                found = [int(one) for one in re.findall(rb"HTTP/1.1 (\d+) ", text)]
    writer.close()
    return found


def count_all_faults(mesh: MeshFleet) -> int:
    return sum(map(faults, mesh.instances))


@pytest.mark.parametrize(
    ("method", "owner"),
    [("identify_attempt", (CallContext, of_attempt)), ("on_end", (Call, of_call))],
)
async def test_internal_error_keeps_the_other_answers_of_a_connection_in_order(
    mesh: MeshFleet,
    mesh_lines: MeshLines,
    monkeypatch: pytest.MonkeyPatch,
    method: str,
    owner: Owner,
) -> None:
    inject_fault(monkeypatch, owner[0], method, owner[1])
    names = ["a", FAULTY.decode(), "b", "c"]
    data = b"".join(encode_request(name) for name in names)
    assert await send_raw(mesh.instances[0], data, 4) == [200, 502, 200, 200]
    (line,) = mesh_lines.of(9010, events.HANDLER_FAILED.number)
    assert method in line["traceback"]
    assert faults(mesh.instances[0]) == 1


async def test_internal_error_in_handling_a_body_keeps_earlier_answers(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 0.1
    inject_fault(monkeypatch, Call, "on_body", of_call)
    data = encode_request("a") + encode_request(FAULTY.decode(), b"x" * 100)
    assert await send_raw(mesh.instances[0], data, 2) == [200, 502]
    assert len(mesh_lines.of(9010)) == 1


async def test_disconnect_cancels_all_requests_despite_an_internal_error(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 1.0
    inject_fault(monkeypatch, Call, "on_disconnect", of_call)
    reader, writer = await asyncio.open_connection(mesh.instances[0].host, CALLER_PORT)
    names = ["a", FAULTY.decode(), "b", "c"]
    writer.write(b"".join(encode_request(name) for name in names))

    def running() -> int:
        return sum(instance.server.running for instance in mesh.instances)

    await eventually(lambda: running() == 4)
    writer.close()
    await eventually(lambda: running() <= 1, 0.5)
    assert len(mesh_lines.of(9010)) == 1


async def test_internal_error_at_the_deadline_is_answered(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 1.5
    inject_fault(monkeypatch, Call, "_on_timeout", of_call)
    calls = [
        mesh.get(mesh.instances[0], "/read/1", name, 200)
        for name in (FAULTY.decode(), "a")
    ]
    async with asyncio.timeout(1.0):
        answers = await asyncio.gather(*calls)
    assert [status for status, _ in answers] == [502, 504]
    (line,) = mesh_lines.of(9010)
    assert line["id"] == FAULTY.decode()


async def test_internal_error_in_handling_an_answer_fails_its_request_only(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    inject_fault(monkeypatch, Run, "on_complete", of_run)
    names = ["a", FAULTY.decode(), "b"]
    async with asyncio.timeout(1.0):
        answers = await asyncio.gather(
            *(mesh.get(mesh.instances[0], "/pay/1", name) for name in names)
        )
    assert [status for status, _ in answers] == [200, 502, 200]
    (line,) = mesh_lines.of(9010)
    assert "on_complete" in line["traceback"]
    assert count_all_faults(mesh) == 1


async def test_internal_error_at_the_local_server_fails_its_request_only(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    caller = mesh.instances[0]
    for instance in mesh.instances[1:]:
        await instance.beat(mesh.session, "draining")
    await asyncio.sleep(0.1)
    inject_fault(monkeypatch, Call, "on_answer", of_call)
    names = ["a", FAULTY.decode(), "b"]
    async with asyncio.timeout(1.0):
        answers = await asyncio.gather(
            *(mesh.get(caller, "/pay/1", name) for name in names)
        )
    assert [status for status, _ in answers] == [200, 502, 200]
    assert faults(caller) == 1
    assert not caller.node.inbound.busy


async def test_internal_error_in_an_announcement_is_answered(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    instance = mesh.instances[0]
    with monkeypatch.context() as patch:
        patch.setattr(LocalBackend, "apply_heartbeat", fail)
        assert await instance.beat(mesh.session) == 500
    assert await instance.beat(mesh.session) == 200
    (line,) = mesh_lines.of(9010)
    assert (line["place"], faults(instance)) == ("endpoint", 1)


def fail(*_: object, **__: object) -> None:
    raise KeyError("an internal error")


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (Members, "tick"),
        (Inbound, "tick"),
        (Prober, "check"),
        (RefusalMeter, "tick"),
        (ConfigurationWatcher, "tick"),
        (Node, "schedule_state_broadcast"),
        (Node, "_check_settings"),
        (Node, "_own_pressure_report"),
        (ReturningCallers, "expire"),
    ],
)
async def test_tick_continues_when_one_step_fails(
    mesh: MeshFleet,
    mesh_lines: MeshLines,
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(owner, method, fail)
        await eventually(lambda: all(map(faults, mesh.instances)))
        assert (await mesh.get(mesh.instances[0], "/read/1", "r1"))[0] == 200
    assert all(item.task and not item.task.done() for item in mesh.instances)
    lines = mesh_lines.of(9010)
    assert {line["place"] for line in lines} == {"tick"}


async def test_internal_error_in_one_link_does_not_stop_the_others(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, *_ = mesh.instances
    original, ticked = PeerLink.tick, set()
    broken = next(iter(first.node.members.links))

    def tick(link: PeerLink, now_ms: float) -> None:
        if link.address == broken:
            raise KeyError("an internal error")
        ticked.add(link.address)
        original(link, now_ms)

    with monkeypatch.context() as patch:
        patch.setattr(PeerLink, "tick", tick)
        await eventually(lambda: faults(first) > 0)
        await asyncio.sleep(0.1)
    assert set(first.node.members.links) - {broken} <= ticked


async def test_uncaught_error_of_the_loop_is_logged(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    loop = asyncio.get_running_loop()
    loop.call_soon(fail)
    await asyncio.sleep(0.05)
    (line,) = mesh_lines.of(9010)
    assert line["place"] == "loop"
    assert count_all_faults(mesh) == 1


async def test_network_error_does_not_count_as_a_fault(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    asyncio.get_running_loop().call_exception_handler(
        {"message": "write failed", "exception": TimeoutError("no route")}
    )
    assert mesh_lines.of(9010) == []
    assert count_all_faults(mesh) == 0


async def test_answer_that_can_not_be_written_is_replaced_in_its_place(
    mesh: MeshFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = AnswerWriter.write_whole

    def write_whole(self: AnswerWriter, answer: Answer) -> None:
        if (b"Attempt-Id", FAULTY) in self._exchange.headers:
            answer = attrs.evolve(answer, headers=[(b"X", None)])
        original(self, answer)

    monkeypatch.setattr(AnswerWriter, "write_whole", write_whole)
    names = ["a", FAULTY.decode(), "b"]
    data = b"".join(encode_request(name) for name in names)
    assert await send_raw(mesh.instances[0], data, 3) == [200, 502, 200]
