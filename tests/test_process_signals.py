"""Signals that meet a real process at any moment of its life.

What comes before the program's first line meets the default action. So a test begins
with its signals once the handlers stand or, at the latest, once a library is loaded.
"""

import asyncio
import itertools
import os
import pathlib
import signal
import subprocess
import sys
import time
import types
from collections.abc import Callable, Iterator

import attrs
import orjson
import pytest

from azurestep import signals
from azurestep.mesh.signal_delivery import run_with_signals
from azurestep.platform.boot import SETTINGS_VARIABLE
from azurestep.settings import Settings, unstructure_settings
from bench.fleet import free_ports

from .test_mesh_settings import rendered

ROOT = pathlib.Path(__file__).parents[1]
WAIT_S = 40.0
"""Longest wait for an event; none is expected to take a part of it."""
STARTED, STOPPED, RELOADED, REJECTED = 9001, 9003, 9004, 9005


@attrs.define
class NodeProcess:
    """A process of a node on the platform, its settings file and its lines."""

    host: str
    directory: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    services: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    service: str = "shop"

    @property
    def settings_path(self) -> pathlib.Path:
        return self.directory / "settings.json"

    @property
    def status(self) -> int | None:
        assert self.process is not None
        return self.process.poll()

    def content(self) -> bytes:
        fields = {**rendered(), "ip_address": self.host, "metrics_port": 7601}
        for port, name in enumerate(("caller", "peer", "ready", "announce"), 7602):
            fields[f"{name}_address"] = f"{self.host}:{port}"
        fields["store"] = {"address": f"{self.host}:7607"}
        return orjson.dumps({**fields, "service": self.service})

    def start(
        self,
        prepare: Callable[[], object] | None = None,
        settings: bytes = b"",
        command: tuple[str, ...] = ("sidecar",),
    ) -> None:
        self.settings_path.write_bytes(settings or self.content())
        paths = [path for path in sys.path if path.endswith("site-packages")]
        with (self.directory / "lines").open("wb") as lines:
            self.process = subprocess.Popen(
                [sys.executable, "-P", "-S", "-m", "azurestep", *command],
                cwd=self.directory,
                env={
                    "PYTHONPATH": ":".join([*paths, str(ROOT)]),
                    SETTINGS_VARIABLE: str(self.settings_path),
                },
                stdout=lines,
                stderr=subprocess.STDOUT,
                preexec_fn=prepare,  # noqa: PLW1509
            )

    def change_settings(self) -> None:
        """Replace the settings file at once, with another service."""
        self.service = f"shop-{next(self.services)}"
        changed = self.directory / "changed.json"
        changed.write_bytes(self.content())
        changed.rename(self.settings_path)

    def send(self, *numbers: signal.Signals) -> None:
        assert self.process is not None
        for number in numbers:
            self.process.send_signal(number)

    def lines(self, event: int) -> list[dict[str, object]]:
        written = (self.directory / "lines").read_bytes().splitlines(keepends=True)
        whole = [line for line in written if line.endswith(b"}\n")]
        decoded = [orjson.loads(line) for line in whole if line.startswith(b"{")]
        return [line for line in decoded if line["event"] == event]

    def service_in_force(self) -> object:
        lines = self.lines(STARTED) + self.lines(RELOADED)
        services = [line["service"] for line in lines if "service" in line]
        return services[-1] if services else None

    def is_signalled_safely(self) -> bool:
        assert self.process is not None
        return is_signalled_safely(self.process, signal.SIGHUP, signal.SIGTERM)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def is_signalled_safely(
    process: subprocess.Popen[bytes], *numbers: signal.Signals
) -> bool:
    """Whether the handlers stand, or must have stood as libraries are loaded."""
    proc = pathlib.Path(f"/proc/{process.pid}")
    loaded = "site-packages" in (proc / "maps").read_text()
    status = (proc / "status").read_text()
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return loaded or all(caught >> (number - 1) & 1 for number in numbers)


def wait_for(condition: Callable[[], object]) -> None:
    until_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until_s
        time.sleep(0.001)


@pytest.fixture
def nodes(tmp_path: pathlib.Path) -> Iterator[list[NodeProcess]]:
    group = os.getpid() % 250 + 1
    made = []
    for index in range(1, 5):
        directory = tmp_path / str(index)
        directory.mkdir()
        made.append(NodeProcess(f"127.78.{group}.{index}", directory))
    yield made
    for node in made:
        node.kill()


@pytest.fixture
def node(nodes: list[NodeProcess]) -> NodeProcess:
    return nodes[0]


def block_signals() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})


@pytest.fixture
def listening(node: NodeProcess) -> NodeProcess:
    node.start()
    wait_for(lambda: node.lines(STARTED) or node.status is not None)
    assert node.status is None
    return node


def test_reload_signals_during_a_start_end_the_process(node: NodeProcess) -> None:
    """Guards against SIGHUP with its default action until the node listens."""
    node.start()
    wait_for(node.is_signalled_safely)
    while not node.lines(STARTED):
        node.change_settings()
        node.send(signal.SIGHUP)
        time.sleep(0.005)
        assert node.status is None
    wait_for(lambda: node.service_in_force() == node.service)
    (started,) = node.lines(STARTED)
    assert started["received_sighup"]
    assert node.status is None


@pytest.mark.parametrize("again", [False, True])
def test_stop_signals_during_a_start_end_the_process_with_an_error(
    nodes: list[NodeProcess], again: bool
) -> None:
    """Guards against SIGTERM with its default action until the node listens."""
    for index, node in enumerate(nodes):
        node.start()
        wait_for(node.is_signalled_safely)
        time.sleep(0.06 * index)
        node.send(signal.SIGTERM, signal.SIGHUP)
    for node in nodes:
        while node.status is None:
            if again:
                node.send(signal.SIGTERM, signal.SIGHUP)
            time.sleep(0.002)
    assert [node.status for node in nodes] == [0] * len(nodes)
    assert [len(node.lines(STOPPED)) for node in nodes] == [1] * len(nodes)


def test_a_stop_signal_that_the_parent_blocked_is_never_handled(
    node: NodeProcess,
) -> None:
    """Guards against a node that inherits blocked signals and can't be stopped."""
    node.start(block_signals)
    node.send(signal.SIGHUP, signal.SIGTERM)
    wait_for(lambda: node.status is not None)
    assert node.status == 0
    assert len(node.lines(STOPPED)) == 1


def test_a_stopped_start_fails_for_its_settings(node: NodeProcess) -> None:
    """Guards against an error of a start that a signal has already ended."""
    node.start(block_signals, settings=b"{")
    node.send(signal.SIGTERM)
    wait_for(lambda: node.status is not None)
    assert node.status == 0
    assert len(node.lines(STOPPED)) == 1


def test_signals_during_a_stop_end_the_process_with_an_error(
    listening: NodeProcess,
) -> None:
    """Guards against handlers that are removed before the process has ended."""
    while listening.status is None:
        listening.send(signal.SIGTERM, signal.SIGHUP)
        time.sleep(0.001)
    assert listening.status == 0
    assert len(listening.lines(STOPPED)) == 1


def test_an_option_before_the_command_leaves_its_signals_unhandled(
    node: NodeProcess,
) -> None:
    """Guards against a command that is looked for as the first argument only."""
    node.start(command=("--debug", "sidecar"))
    wait_for(node.is_signalled_safely)
    while node.status is None:
        node.send(signal.SIGTERM, signal.SIGHUP)
        time.sleep(0.001)
    assert node.status == 0


def test_hundreds_of_reload_signals_leave_former_settings(
    listening: NodeProcess,
) -> None:
    """Guards against a series whose last change is lost or that ends the process."""
    for _ in range(300):
        listening.change_settings()
        listening.send(signal.SIGHUP)
    wait_for(lambda: listening.service_in_force() == listening.service)
    assert listening.status is None


def test_a_change_soon_after_the_start_is_never_read(listening: NodeProcess) -> None:
    """Guards against a first check, 2 s later, that takes the change for known."""
    listening.change_settings()
    wait_for(lambda: listening.service_in_force() == listening.service)


def test_a_signal_during_a_write_leaves_the_former_settings(
    listening: NodeProcess,
) -> None:
    """Guards against a file that is whole only after its signal."""
    listening.service = "changed"
    content = listening.content()
    with listening.settings_path.open("wb", buffering=0) as file:
        file.write(content[:99])
        listening.send(signal.SIGHUP)
        wait_for(lambda: listening.lines(REJECTED))
        file.write(content[99:])
    wait_for(lambda: listening.service_in_force() == "changed")


@attrs.define
class OwnNode:
    """A process of ``azurestep node``, without a platform."""

    directory: pathlib.Path
    process: subprocess.Popen[bytes]

    @classmethod
    def start(cls, directory: pathlib.Path) -> "OwnNode":
        ports = free_ports(4)
        url = f"http://127.0.0.1:{free_ports(1)[0]}"
        settings = Settings("a", "dc-1", "127.0.0.1", *ports, platform_url=url)
        path = directory / "settings.json"
        path.write_bytes(orjson.dumps(unstructure_settings(settings)))
        with (directory / "lines").open("wb") as lines:
            command = [sys.executable, "-m", "azurestep", "node", str(path)]
            process = subprocess.Popen(
                command, cwd=ROOT, stdout=lines, stderr=subprocess.STDOUT
            )
        return cls(directory, process)

    def has_written(self, text: bytes) -> bool:
        return text in (self.directory / "lines").read_bytes()


@pytest.fixture
def own_node(tmp_path: pathlib.Path) -> Iterator[OwnNode]:
    node = OwnNode.start(tmp_path)
    yield node
    node.process.kill()
    node.process.wait()


def test_a_stop_signal_during_its_start_ends_an_own_node_with_an_error(
    own_node: OwnNode,
) -> None:
    """Guards against SIGTERM with its default action until the event loop runs."""
    wait_for(lambda: is_signalled_safely(own_node.process, signal.SIGTERM))
    while own_node.process.poll() is None:
        own_node.process.send_signal(signal.SIGTERM)
        time.sleep(0.005)
    assert own_node.process.returncode == 0
    assert own_node.has_written(b"node stopped")


@attrs.define
class FakeRuntime:
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def spawn(self, work) -> None:
        self.tasks.append(asyncio.create_task(work))

    def run_guarded(self, place, work) -> None:
        work()


@attrs.define
class FakeNode:
    """Waits in its start until it is told that it listens."""

    runtime: FakeRuntime = attrs.field(factory=FakeRuntime)
    listening: asyncio.Event = attrs.field(factory=asyncio.Event)
    stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    settings: types.SimpleNamespace = types.SimpleNamespace(instance="i-1")
    reloads: int = 0

    @property
    def is_accepting(self) -> bool:
        return self.listening.is_set()

    async def run(self) -> None:
        await self.stopped.wait()

    def stop(self) -> None:
        self.stopped.set()

    def reload(self) -> None:
        self.reloads += 1


@pytest.fixture
def received(monkeypatch: pytest.MonkeyPatch) -> signals.ReceivedSignals:
    fresh = signals.ReceivedSignals()
    monkeypatch.setattr(signals, "RECEIVED", fresh)
    return fresh


async def test_each_signal_of_a_burst_reads_the_settings(received) -> None:
    """Guards against a burst of SIGHUP that blocks the event loop with reads."""
    fake = FakeNode()
    received.record(signal.SIGHUP)
    running = asyncio.create_task(run_with_signals(fake))
    await asyncio.sleep(0.01)
    assert fake.reloads == 0
    fake.listening.set()
    for _ in range(100):
        received.record(signal.SIGHUP)
    await asyncio.sleep(0)
    async with asyncio.timeout(WAIT_S):
        while not fake.reloads:
            await asyncio.sleep(0)
    assert fake.reloads == 1
    received.record(signal.SIGTERM)
    await running


async def test_a_reload_signal_of_the_start_is_lost(received) -> None:
    """Guards against settings that stay as they were when the start read them."""
    fake = FakeNode()
    received.record(signal.SIGHUP)
    running = asyncio.create_task(run_with_signals(fake))
    await asyncio.sleep(0)
    fake.listening.set()
    async with asyncio.timeout(WAIT_S):
        while not fake.reloads:
            await asyncio.sleep(0)
    received.record(signal.SIGTERM)
    await running


async def test_a_start_that_waits_for_something_ignores_a_stop(received) -> None:
    """Guards against SIGTERM that has no effect until the node listens."""
    fake = FakeNode()
    running = asyncio.create_task(run_with_signals(fake))
    await asyncio.sleep(0.01)
    received.record(signal.SIGTERM)
    async with asyncio.timeout(WAIT_S):
        await running
    assert not fake.stopped.is_set()
