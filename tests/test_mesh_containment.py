"""A fault of our own ends one request or one piece of work, and is told as such."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from azurestep.mesh import events
from azurestep.mesh.backend.run import Run
from azurestep.mesh.callers.call import Call

from .fixtures_mesh import MeshFleet, MeshInstance
from .test_mesh_faults import eventually, pay

FAULTY = b"faulty"


def breaks(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
    names: Callable[..., bytes],
) -> None:
    """Let a method raise for the faulty request alone."""
    sound = getattr(owner, method)

    def faulty(self: Any, *arguments: Any) -> Any:
        if names(self, *arguments) == FAULTY:
            raise KeyError("a fault of our own")
        return sound(self, *arguments)

    monkeypatch.setattr(owner, method, faulty)


def of_run(run: Run, *_: object) -> bytes:
    return run.request.request_id


def of_call(call: Call, *_: object) -> bytes:
    return call.caller.request_id


BESIDE_SERVER = {
    "go": (Run, of_run),
}


class Lines:
    """What the nodes wrote since the last look."""

    def __init__(self, capfd: pytest.CaptureFixture[str]) -> None:
        self._capfd = capfd

    def of(self, *numbers: int) -> list[dict[str, Any]]:
        events.WRITER.flush()
        texts = self._capfd.readouterr().out.splitlines()
        lines = [orjson.loads(text) for text in texts if text.startswith("{")]
        return [line for line in lines if line["event"] in numbers]


@pytest.fixture
def lines(capfd: pytest.CaptureFixture[str]) -> Lines:
    return Lines(capfd)


async def one_link(mesh: MeshFleet) -> tuple[MeshInstance, MeshInstance]:
    """Leave one server, so that all requests of a caller go over one link."""
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


async def pay_beside_a_faulty_one(
    mesh: MeshFleet, caller: MeshInstance
) -> tuple[int, list[int]]:
    """Send a payment that meets the fault, and four that don't."""
    faulty = asyncio.create_task(pay(mesh, caller, FAULTY.decode()))
    await asyncio.sleep(0.02)
    others = await asyncio.gather(
        *(pay(mesh, caller, f"sound-{index}") for index in range(4))
    )
    return await faulty, list(others)


@pytest.mark.parametrize("method", ["go"])
async def test_a_fault_beside_the_server_fails_its_request_alone(
    mesh: MeshFleet, lines: Lines, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    owner, names = BESIDE_SERVER[method]
    caller, remote = await one_link(mesh)
    breaks(monkeypatch, owner, method, names)
    assert await pay_beside_a_faulty_one(mesh, caller) == (502, [200] * 4)
    (told,) = lines.of(9010, events.PEER_MALFORMED.number, events.PEER_LOST.number)
    assert told["id"] == FAULTY.decode()
    assert method in told["traceback"]
    assert (faults(remote), faults(caller)) == (1, 0)
    assert not remote.node.inbound.busy


@pytest.mark.parametrize("method", ["on_answer"])
async def test_a_fault_beside_the_caller_fails_its_request_alone(
    mesh: MeshFleet, lines: Lines, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    caller, remote = await one_link(mesh)
    breaks(monkeypatch, Call, method, of_call)
    assert await pay_beside_a_faulty_one(mesh, caller) == (502, [200] * 4)
    (told,) = lines.of(9010, events.PEER_MALFORMED.number, events.PEER_LOST.number)
    assert method in told["traceback"]
    assert (faults(remote), faults(caller)) == (0, 1)
    await eventually(lambda: not remote.node.inbound.busy)
