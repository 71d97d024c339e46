"""Processor time of a node on the platform from its process's start until it listens.

Usage:
  node_start [--trees LIST] [--runs N] [--no-result]

Options:
  --trees LIST  Source trees, separated by commas, started in turns [default: .].
  --runs N      Starts of each tree [default: 12].
  --no-result   Print the figures only.

Each tree is started with and without compiled bytecode of its own modules, as it
depends on the platform whether a process may write it. The libraries have theirs, as
pip compiles what it installs.
"""

import importlib.util
import os
import pathlib
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import attrs
import docopt
import orjson

from .results import Machine, at_end, machine_facts, write_result

HOST = "127.77.12.1"
READY_PORT = 7614
PEER_PORT = 7616
LIBRARIES = (
    "attr",
    "attrs",
    "docopt",
    "httptools",
    "msgpack",
    "msgspec",
    "orjson",
    "uvloop",
    "xxhash",
    "zstandard",
)
"""Packages of ``deploy/requirements.txt``."""
POLL_S = 0.002
TIMEOUT_S = 60.0
REQUEST = b"GET / HTTP/1.1\r\nHost: node\r\n\r\n"


@attrs.frozen
class Start:
    """One start, in milliseconds of user and system time and of elapsed time.

    Attributes
    ----------
    listening_ms, listening_elapsed_ms : float
        Until the last address accepts connections.
    answer_ms, answer_elapsed_ms : float
        Until the first answer of the ready address.
    """

    listening_ms: float
    listening_elapsed_ms: float
    answer_ms: float
    answer_elapsed_ms: float


@attrs.frozen
class TreeFigures:
    """Medians of one tree, and the smallest and largest time until it listens.

    Attributes
    ----------
    ratio : float
        Median over the rounds of the processor time until it listens, divided by that
        of the first tree in the same round, since other load changes between rounds.
    """

    tree: str
    bytecode: bool
    runs: int
    median: Start
    ratio: float
    listening_min_ms: float
    listening_max_ms: float


@attrs.frozen
class NodeStart:
    """Figures of all trees."""

    trees: list[TreeFigures]
    machine: Machine


def settings() -> bytes:
    """Return a settings file for a node without peers, whose store is unreachable."""
    names = ("caller", "announce", "backend", "store", "ready", "peer")
    ports = (7611, 7612, 7613, 7615, READY_PORT, PEER_PORT)
    fields: dict[str, object] = {
        f"{name}_address": f"{HOST}:{port}"
        for name, port in zip(names, ports, strict=True)
    }
    fields |= {"instance": "node-1", "data_centre": "dc-1", "service": "shop"}
    fields |= {"first_start": True, "ip_address": HOST, "metrics_port": 7617}
    fields |= {"link_mbps": 10.0, "bounds": {}}
    fields["store"] = {"address": fields.pop("store_address")}
    return orjson.dumps(fields)


def link_libraries(directory: pathlib.Path) -> None:
    """Make a directory with just the libraries that the platform installs."""
    for name in LIBRARIES:
        spec = importlib.util.find_spec(name)
        if spec is None or spec.origin is None:
            raise SystemExit(f"{name} is not installed")
        (directory / name).symlink_to(pathlib.Path(spec.origin).parent)


def processor_ms(pid: int) -> float:
    """Return the processor time of all threads of a process."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


def start_once(
    tree: pathlib.Path, directory: pathlib.Path, bytecode: pathlib.Path | None
) -> Start:
    """Start a node, wait until it listens and answers, and kill it."""
    variables = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("PYTHON")
    }
    variables["PYTHONPATH"] = str(directory / "libraries")
    if bytecode is None:
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
    else:
        variables["PYTHONPYCACHEPREFIX"] = str(bytecode)
    begun = time.monotonic()
    command = [sys.executable, "-S", "-m", "azurestep", "sidecar"]
    process = subprocess.Popen(
        [*command, str(directory / "settings.json")],
        cwd=tree,
        env=variables,
        stdout=subprocess.DEVNULL,
    )
    try:
        _connect(process, PEER_PORT).close()
        listening_ms = processor_ms(process.pid)
        listening_elapsed_ms = (time.monotonic() - begun) * 1000
        with _connect(process, READY_PORT) as ready:
            ready.sendall(REQUEST)
            ready.recv(4096)
        return Start(
            listening_ms,
            listening_elapsed_ms,
            processor_ms(process.pid),
            (time.monotonic() - begun) * 1000,
        )
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def _connect(process: subprocess.Popen[bytes], port: int) -> socket.socket:
    ends = time.monotonic() + TIMEOUT_S
    while process.poll() is None and time.monotonic() < ends:
        try:
            return socket.create_connection((HOST, port), timeout=TIMEOUT_S)
        except OSError:
            time.sleep(POLL_S)
    raise SystemExit(f"no node listens at {HOST}:{port}")


def summarize(
    tree: pathlib.Path, bytecode: bool, starts: list[Start], first: list[Start]
) -> TreeFigures:
    """Return the figures of one tree, compared with the starts of the first one."""
    columns = zip(*map(attrs.astuple, starts), strict=True)
    times = [one.listening_ms for one in starts]
    ratios = [
        one.listening_ms / other.listening_ms
        for one, other in zip(starts, first, strict=True)
    ]
    return TreeFigures(
        tree.name or ".",
        bytecode,
        len(starts),
        Start(*map(statistics.median, columns)),
        statistics.median(ratios),
        min(times),
        max(times),
    )


def measure(trees: list[pathlib.Path], runs: int) -> NodeStart:
    """Start all trees in turns; the first start of each isn't counted."""
    machine = machine_facts()
    found: dict[tuple[pathlib.Path, bool], list[Start]] = {}
    with tempfile.TemporaryDirectory(prefix="node-start-") as name:
        directory = pathlib.Path(name)
        (directory / "libraries").mkdir()
        (directory / "settings.json").write_bytes(settings())
        link_libraries(directory / "libraries")
        for _ in range(runs + 1):
            for tree in trees:
                for bytecode in (False, True):
                    prefix = directory / "bytecode" if bytecode else None
                    start = start_once(tree, directory, prefix)
                    found.setdefault((tree, bytecode), []).append(start)
    figures = [
        summarize(tree, bytecode, starts[1:], found[trees[0], bytecode][1:])
        for (tree, bytecode), starts in found.items()
    ]
    return NodeStart(figures, at_end(machine))


def main() -> int:
    """Run the measurement from the command line."""
    options = docopt.docopt(__doc__ or "")
    trees = [pathlib.Path(tree) for tree in options["--trees"].split(",")]
    result = measure(trees, int(options["--runs"]))
    for one in result.trees:
        print(one, flush=True)
    if not options["--no-result"]:
        write_result("node_start", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
