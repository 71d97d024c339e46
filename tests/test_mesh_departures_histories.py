"""Drawn histories of callers that leave at every stage, beside trouble at the nodes."""

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Iterator
from random import Random

import attrs
import pytest

from azurestep.http.client import AnswerSink, ClientConnection

from .fixtures_mesh import MeshFleet, MeshInstance
from .test_mesh_departed_callers import Acting, connect, encode_request, leave
from .test_mesh_faults import eventually

SEEDS = range(6)
CALLERS = 24
STAYING_SHARE = 0.3
SPAN_S = 0.7
LATE_S = 0.5
"""Time after a caller has left from which on nothing may be begun for it."""
STAGES = ["head", "body", "request", "later"]
TROUBLES = ["none", "stall", "full", "peer killed", "link reset", "stop"]


@attrs.define
class DrawnCaller:
    """One caller: what it sends in how many pieces, and when it leaves."""

    name: str
    pays: bool
    kept: bool
    stage: str
    how: str
    pieces: int
    start_s: float
    wait_s: float
    stays: bool
    left_s: float | None = None
    status: int = 0

    def act(self, instance: MeshInstance, kept: socket.socket) -> Iterator[None]:
        """Send the request, or a part of it, and leave or read the answer."""
        time.sleep(self.start_s)
        body = b"pay" * 2000 if self.pays else b""
        request = encode_request(self.name, "POST" if self.pays else "GET", body)
        if not self.stays and self.stage == "head":
            request = request[:40]
        elif not self.stays and self.stage == "body" and self.pays:
            request = request[:-500]
        caller = kept if self.kept else connect(instance)
        size = len(request) // self.pieces + 1
        for begin in range(0, len(request), size):
            caller.sendall(request[begin : begin + size])
            yield
        if self.stays:
            self.status = read_status(caller)
        elif self.stage == "later":
            time.sleep(self.wait_s)
        self.left_s = time.monotonic()
        leave(caller, self.how)


def read_status(caller: socket.socket) -> int:
    """Return the status of the answer; 0 if the connection ends before."""
    try:
        answer = caller.recv(65_536)
    except OSError:
        return 0
    return int(answer.split(b" ", 2)[1]) if answer else 0


def draw_caller(random: Random, number: int) -> DrawnCaller:
    return DrawnCaller(
        f"c{number}",
        pays=random.random() < 0.5,
        kept=random.random() < 0.5,
        stage=random.choice(STAGES),
        how=random.choice(["close", "reset"]),
        pieces=random.choice([1, 1, 2, 5]),
        start_s=random.uniform(0.0, SPAN_S),
        wait_s=random.choice([0.0, 0.01, 0.1, 0.3]),
        stays=random.random() < STAYING_SHARE,
    )


async def make_trouble(mesh: MeshFleet, trouble: str, random: Random) -> None:
    """Strike while callers send."""
    await asyncio.sleep(random.uniform(0.0, SPAN_S / 2))
    other = mesh.instances[1]
    if trouble == "stall":
        time.sleep(random.uniform(0.6, 1.0))
    elif trouble == "full":
        for instance in mesh.instances:
            instance.server.work_s = 0.4
    elif trouble == "peer killed" and other.task is not None:
        other.task.cancel()
        other.node.abort()
    elif trouble == "link reset":
        for link in mesh.instances[0].node.members.links.values():
            link.close()
    elif trouble == "stop":
        mesh.instances[0].node.stop()


@pytest.fixture
def sent(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, float]]:
    """Return the names of all requests sent to backend servers, and when."""
    found: list[tuple[str, float]] = []
    send = ClientConnection.send

    def record(one: ClientConnection, data: bytes, sink: AnswerSink, whole: bool):  # type: ignore[no-untyped-def]
        fields = (line.partition(b": ") for line in data.split(b"\r\n"))
        names = [value.decode() for name, _, value in fields if name == b"Attempt-Id"]
        found.extend((name, time.monotonic()) for name in names)
        send(one, data, sink, whole)

    monkeypatch.setattr(ClientConnection, "send", record)
    return found


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("seed", SEEDS)
async def test_nothing_is_begun_for_callers_that_left(
    mesh: MeshFleet, sent: list[tuple[str, float]], seed: int, trouble: str
) -> None:
    random = Random(f"{seed} {trouble}")
    for instance in mesh.instances:
        instance.server.work_s = 0.03
    asked = mesh.instances[0]
    callers = [draw_caller(random, number) for number in range(CALLERS)]
    kept = [connect(asked) for _ in callers]
    acts = [one.act(asked, kept[number]) for number, one in enumerate(callers)]
    sending = Acting(*acts)
    sending.start()
    await make_trouble(mesh, trouble, random)
    await eventually(lambda: sending.ended)
    await asyncio.sleep(0.3)
    for one in kept:
        one.close()
    left_s = {one.name: one.left_s for one in callers if not one.stays}
    late = [
        (name, at_s - gone_s)
        for name, at_s in sent
        if (gone_s := left_s.get(name)) is not None and at_s - gone_s > LATE_S
    ]
    assert late == []
    times_sent = Counter(name for name, _ in sent)
    for one in callers:
        assert not one.pays or times_sent[one.name] <= 1
        if one.status == 503 and one.pays:
            assert times_sent[one.name] == 0
        if one.stays and trouble in ("none", "stall"):
            assert one.status == 200, one
