"""Real processes of a node that start or run under conditions that aren't ready."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

import attrs
import orjson
import pytest

from azurestep.mesh.endpoints import STATUS_TARGET
from azurestep.platform.boot import SETTINGS_VARIABLE

from .test_mesh_settings import rendered

ROOT = pathlib.Path(__file__).parents[1]
HOST = f"127.{78 + os.getpid() % 20}.{1 + os.getpid() // 20 % 250}.1"
"""Loopback address of this process, so that test processes can run in parallel."""
COMMAND = (sys.executable, "-P", "-S", "-m", "azurestep", "sidecar")
STATUS_USAGE, STATUS_INVALID, STATUS_PORT_IN_USE = 2, 3, 9
METRICS_PORT, CALLER_PORT, PEER_PORT = 7701, 7702, 7703
TIMEOUT_S = 20.0


def settings_content(**changes: object) -> bytes:
    """Return a valid settings file with short time limits."""
    names = ("caller", "peer", "ready", "announce", "backend")
    ports = {name: CALLER_PORT + index for index, name in enumerate(names)}
    fields = {
        **rendered(),
        "ip_address": HOST,
        "metrics_port": METRICS_PORT,
        "bounds": {"grace": "1s"},
        "store": {"address": f"{HOST}:7720"},
        **{f"{name}_address": f"{HOST}:{port}" for name, port in ports.items()},
        **changes,
    }
    return orjson.dumps(fields)


@attrs.define(eq=False)
class NodeProcess:
    """A node's process, its settings file and what it wrote."""

    process: subprocess.Popen[bytes]
    output: pathlib.Path
    errors: pathlib.Path

    def lines(self, number: int) -> list[dict[str, object]]:
        """Return the complete log lines of an event."""
        texts = self.output.read_text().splitlines()
        lines = [orjson.loads(text) for text in texts if text.endswith("}")]
        return [line for line in lines if line["event"] == number]

    def wait_for_line(self, number: int) -> dict[str, object]:
        """Wait for a log line of an event."""
        wait_until(lambda: bool(self.lines(number)))
        return self.lines(number)[0]

    def stop(self) -> int:
        """Ask the process to stop; return its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)


StartNode = Callable[..., NodeProcess]


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def answers() -> bool:
    """Return whether a node answers at its metrics address."""
    try:
        fetch(STATUS_TARGET)
    except OSError:
        return False
    return True


def fetch(target: bytes) -> bytes:
    """Return the answer at the metrics address."""
    with socket.create_connection((HOST, METRICS_PORT), 2.0) as connection:
        head = b"GET " + target + b" HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"
        connection.sendall(head)
        parts = iter(lambda: connection.recv(1 << 16), b"")
        return b"".join(parts)


@pytest.fixture
def settings(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return the path of a valid settings file."""
    path = tmp_path / "settings.json"
    path.write_bytes(settings_content())
    return path


@pytest.fixture
def start_node(tmp_path: pathlib.Path, settings: pathlib.Path) -> Iterator[StartNode]:
    """Return a function that starts a node's process as the platform does."""
    libraries = [path for path in sys.path if path.endswith("site-packages")]
    environment = {
        "PYTHONPATH": ":".join([str(ROOT), *libraries]),
        "PYTHONDONTWRITEBYTECODE": "1",
        SETTINGS_VARIABLE: str(settings),
    }
    with contextlib.ExitStack() as stack:

        def start(redirections: str = "") -> NodeProcess:
            output, errors = tmp_path / "output", tmp_path / "errors"
            process = subprocess.Popen(
                ["sh", "-c", f'exec "$@" {redirections}', "sh", *COMMAND],
                env=environment,
                stdout=stack.enter_context(output.open("wb")),
                stderr=stack.enter_context(errors.open("wb")),
            )
            stack.callback(process.wait)
            stack.callback(process.kill)
            return NodeProcess(process, output, errors)

        yield start


@pytest.mark.parametrize(
    "content", [b"", settings_content()[:200], settings_content(bounds=[]), None]
)
def test_settings_that_are_still_written_end_the_start(
    start_node: StartNode, settings: pathlib.Path, content: bytes | None
) -> None:
    """A file that was empty, cut off, not valid yet or missing ended it with 3."""
    valid = settings.read_bytes()
    settings.unlink()
    if content is not None:
        settings.write_bytes(content)
    node = start_node()
    time.sleep(1.0)
    assert node.process.poll() is None
    settings.write_bytes(valid)
    wait_until(answers)
    assert len(node.lines(9021)) == 1
    assert node.stop() == 0


def test_invalid_settings_never_end_the_start(
    start_node: StartNode, settings: pathlib.Path
) -> None:
    """A node that waits without bound would never tell that its file is invalid."""
    settings.write_bytes(b"node: 1")
    node = start_node()
    assert node.process.wait(TIMEOUT_S) == STATUS_INVALID
    assert f"azurestep: {settings} is not valid JSON" in node.errors.read_text()
    assert len(node.lines(9021)) == 1


@pytest.mark.parametrize("redirections", [">&-", "2>&-", "<&- >&- 2>&-"])
def test_a_closed_standard_stream_ends_the_process(
    start_node: StartNode, redirections: str
) -> None:
    """It ended with 1 at its start, or was aborted while it stopped."""
    node = start_node(redirections)
    wait_until(answers)
    assert node.stop() == 0


def test_closed_standard_descriptors_are_given_to_sockets(
    start_node: StartNode,
) -> None:
    """Log lines would be written to a connection that had got the number 1."""
    node = start_node("<&- >&- 2>&-")
    wait_until(answers)
    opened = pathlib.Path(f"/proc/{node.process.pid}/fd")
    assert {str((opened / number).readlink()) for number in "012"} == {"/dev/null"}
    assert node.stop() == 0


@pytest.mark.parametrize("redirections", [">/dev/full", ">/dev/full 2>&1"])
def test_output_that_cannot_be_written_ends_the_process(
    start_node: StartNode, redirections: str
) -> None:
    """It ended with 1 after SIGTERM, and each tick reported a fault before."""
    node = start_node(redirections)
    wait_until(answers)
    time.sleep(0.5)
    assert b"azurestep_faults_total" not in fetch(b"/metrics")
    assert node.stop() == 0


def test_a_gone_reader_of_the_output_ends_the_process(
    start_node: StartNode, tmp_path: pathlib.Path
) -> None:
    """It ended with 1 after SIGTERM, and each tick reported a fault before."""
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    reader = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
    node = start_node(f">{pipe}")
    time.sleep(0.1)
    os.close(reader)
    wait_until(answers)
    time.sleep(0.5)
    metrics = fetch(b"/metrics")
    assert b"azurestep_faults_total" not in metrics
    assert b"azurestep_log_lines_dropped_total" in metrics
    assert node.stop() == 0


@pytest.mark.parametrize("redirections", ["2>&-", "2>/dev/full"])
def test_an_unwritable_error_output_changes_the_exit_status(
    start_node: StartNode, settings: pathlib.Path, redirections: str
) -> None:
    settings.write_bytes(b"node: 1")
    assert start_node(redirections).process.wait(TIMEOUT_S) == STATUS_INVALID


def test_an_unwritable_usage_changes_the_exit_status() -> None:
    """It ended with 1 and a traceback that nobody could read."""
    with pathlib.Path("/dev/full").open("wb") as full:
        command = [sys.executable, "-m", "azurestep", "sidecar", "--unknown"]
        process = subprocess.run(command, cwd=ROOT, stderr=full, check=False)
    assert process.returncode == STATUS_USAGE


@pytest.mark.parametrize("port", [METRICS_PORT, CALLER_PORT, PEER_PORT])
def test_a_port_that_the_former_process_holds_ends_the_start(
    start_node: StartNode, port: int
) -> None:
    """It ended with 9 while the former process was in its grace time."""
    with socket.create_server((HOST, port)):
        node = start_node()
        assert node.wait_for_line(9022)["address"] == f"{HOST}:{port}"
        time.sleep(0.5)
        assert node.process.poll() is None
        for other in {METRICS_PORT, CALLER_PORT, PEER_PORT} - {port}:
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((HOST, other), 1.0)
    wait_until(answers)
    assert len(node.lines(9022)) == 1
    assert node.stop() == 0


def test_a_port_that_stays_held_never_ends_the_start(start_node: StartNode) -> None:
    """A node that waits without bound would never tell who holds its port."""
    with socket.create_server((HOST, CALLER_PORT)):
        node = start_node()
        assert node.process.wait(TIMEOUT_S) == STATUS_PORT_IN_USE
    assert f"{HOST}:{CALLER_PORT} can't be bound" in node.errors.read_text()


def test_an_address_that_is_not_there_yet_ends_the_start(
    start_node: StartNode, settings: pathlib.Path
) -> None:
    """It ended with 9 at once when the address came later than the process."""
    settings.write_bytes(settings_content(peer_address="192.0.2.1:7703"))
    node = start_node()
    assert node.wait_for_line(9022)["address"] == "192.0.2.1:7703"
    assert node.process.wait(TIMEOUT_S) == STATUS_PORT_IN_USE


def test_a_start_that_waits_for_a_port_cannot_be_stopped(start_node: StartNode) -> None:
    """A second start of the instance would wait until SIGKILL."""
    with socket.create_server((HOST, CALLER_PORT)):
        node = start_node()
        node.wait_for_line(9022)
        assert node.stop() == 0
    assert node.lines(9003)
