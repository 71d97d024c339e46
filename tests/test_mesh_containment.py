"""An internal error is logged and ends only the request or work it occurred in."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import pytest

from azurestep.mesh import events
from azurestep.mesh.backend.inbound import Inbound
from azurestep.mesh.backend.run import Run
from azurestep.mesh.callers.call import Call
from azurestep.mesh.links.remote_receiver import OutcomeForwarder

from .fixtures_mesh import PEER_PORT, MeshFleet, MeshInstance, MeshLines
from .test_mesh_faults import eventually, pay

FAULTY = b"faulty"


def inject_fault(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
    request_id_of: Callable[..., bytes],
) -> None:
    """Make a method raise for the faulty request only."""
    original = getattr(owner, method)

    def faulty(self: Any, *arguments: Any) -> Any:
        if request_id_of(self, *arguments) == FAULTY:
            raise KeyError("injected fault")
        return original(self, *arguments)

    monkeypatch.setattr(owner, method, faulty)


def of_run(run: Run, *_: object) -> bytes:
    return run.request.request_id


def of_submitted(inbound: Inbound, request: Any, *_: object) -> bytes:
    name: bytes = request.request_id
    return name


def of_call(call: Call, *_: object) -> bytes:
    return call.caller.request_id


SERVER_STEPS = {
    "submit": (Inbound, of_submitted),
    "proceed": (Run, of_run),
}


async def use_one_link(mesh: MeshFleet) -> tuple[MeshInstance, MeshInstance]:
    """Leave one server open, so that all requests of a caller use one link."""
    caller, remote, other = mesh.instances
    for instance in (caller, other):
        await instance.beat(mesh.session, "draining")
    await eventually(
        lambda: sum(one.open for one in caller.node.members.endpoints("shop")) == 1
    )
    remote.server.work_s = 0.3
    return caller, remote


def faults(instance: MeshInstance) -> int:
    counters = instance.node.runtime.metrics.counters
    return sum(count for (name, _), count in counters.items() if name == "faults")


async def pay_with_one_fault(
    mesh: MeshFleet, caller: MeshInstance
) -> tuple[int, list[int]]:
    """Send a payment that meets the fault and four that don't."""
    faulty = asyncio.create_task(pay(mesh, caller, FAULTY.decode()))
    await asyncio.sleep(0.02)
    others = await asyncio.gather(
        *(pay(mesh, caller, f"healthy-{index}") for index in range(4))
    )
    return await faulty, list(others)


@pytest.mark.parametrize("method", ["submit", "proceed"])
async def test_a_fault_at_the_server_fails_only_its_request(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    owner, request_id_of = SERVER_STEPS[method]
    caller, remote = await use_one_link(mesh)
    inject_fault(monkeypatch, owner, method, request_id_of)
    assert await pay_with_one_fault(mesh, caller) == (502, [200] * 4)
    (entry,) = mesh_lines.of(
        9010, events.PEER_MALFORMED.number, events.PEER_LOST.number
    )
    assert entry["id"] == FAULTY.decode()
    assert method in entry["traceback"]
    assert (faults(remote), faults(caller)) == (1, 0)
    assert not remote.node.inbound.busy


@pytest.mark.parametrize("method", ["on_answer", "_send_answer", "on_slot_ready"])
async def test_a_fault_at_the_caller_fails_only_its_request(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    caller, remote = await use_one_link(mesh)
    inject_fault(monkeypatch, Call, method, of_call)
    assert await pay_with_one_fault(mesh, caller) == (502, [200] * 4)
    (entry,) = mesh_lines.of(
        9010, events.PEER_MALFORMED.number, events.PEER_LOST.number
    )
    assert method in entry["traceback"]
    assert (faults(remote), faults(caller)) == (0, 1)
    await eventually(lambda: not remote.node.inbound.busy)


async def test_undecodable_data_resets_the_link(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    reader, writer = await asyncio.open_connection(mesh.instances[0].host, PEER_PORT)
    writer.write(b"\xc1")
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            pass
    writer.close()
    assert len(mesh_lines.of(events.PEER_MALFORMED.number)) == 1
    assert (await mesh.get(mesh.instances[1], "/read/1", "after"))[0] == 200


async def test_other_requests_get_their_outcome_when_a_receiver_fails(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    caller, remote = await use_one_link(mesh)
    inject_fault(monkeypatch, Call, "on_failure", of_call)
    paying = asyncio.create_task(pay_with_one_fault(mesh, caller))
    await eventually(lambda: remote.server.running == 4)
    for link in list(remote.node.incoming_links.links):
        link.abort()
    loop = asyncio.get_running_loop()
    began = loop.time()
    faulty, others = await paying
    assert (faulty, sorted(others)) == (502, [502, 502, 502, 503])
    assert loop.time() - began < 0.25
    (entry,) = mesh_lines.of(9010)
    assert entry["id"] == FAULTY.decode()


async def test_other_runs_are_cancelled_when_one_cancellation_fails(
    mesh: MeshFleet, mesh_lines: MeshLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    caller, remote = await use_one_link(mesh)
    remote.server.work_s = 1.0
    inject_fault(monkeypatch, Run, "cancel", of_run)
    paying = asyncio.create_task(pay_with_one_fault(mesh, caller))
    await eventually(lambda: remote.server.running == 4)
    for link in caller.node.members.links.values():
        link.close()
    await paying
    await eventually(lambda: remote.server.running <= 1, 0.3)
    (entry,) = mesh_lines.of(9010)
    assert entry["id"] == FAULTY.decode()


def of_stream(receiver: Any, *_: object) -> bytes:
    run = receiver.link._runs.get(receiver.stream_id)
    return b"" if run is None else of_run(run)


ANSWER_STEPS = [
    (Run, "_report_answer", of_run),
    (Run, "_finish_run", of_run),
    (OutcomeForwarder, "on_answer", of_stream),
]


@pytest.mark.parametrize("place", ANSWER_STEPS)
async def test_a_fault_in_handling_an_answer_is_reported_at_once_and_blames_no_server(
    mesh: MeshFleet,
    mesh_lines: MeshLines,
    monkeypatch: pytest.MonkeyPatch,
    place: tuple[type, str, Callable[..., bytes]],
) -> None:
    owner, method, request_id_of = place
    caller, remote = await use_one_link(mesh)
    inject_fault(monkeypatch, owner, method, request_id_of)
    loop = asyncio.get_running_loop()
    began = loop.time()
    assert await pay_with_one_fault(mesh, caller) == (502, [200] * 4)
    assert loop.time() - began < 0.9
    assert not remote.node.inbound.busy
    assert not remote.node.inbound.admission.running
    assert remote.node.inbound.health.failure_ratio == 0.0
    reasons = {line["reason"] for line in mesh_lines.of(events.RUN_FAILED.number)}
    assert reasons == {"FAULT"}
