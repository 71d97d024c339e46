"""What a node on the platform costs at its start and at rest, at several fleet sizes.

Usage:
  node_size [--sizes LIST] [--no-result]

Options:
  --sizes LIST  Numbers of nodes, separated by commas [default: 8,40,80].
  --no-result   Print the figures only.
"""

import asyncio
import pathlib
import sys
import tempfile

import attrs
import docopt
import uvloop
from aiohttp import ClientSession

from soak.fleet import Fleet
from soak.run import network_of
from standins.store import StoreStandIn

from .probes import process_use
from .results import Line, Machine, at_end, fit_line, machine_facts, write_result

SETTLE_S = 4.0
REST_S = 10.0


@attrs.frozen
class SizeFigures:
    """Means of one fleet at rest: heartbeats and readiness checks, but no requests.

    Attributes
    ----------
    nodes : int
        Nodes of the fleet.
    start_processor_s : float
        Processor time of a node until the fleet is linked.
    rest_cores : float
        Cores that a node uses at rest.
    resident_mb : float
        Resident memory of a node.
    files : float
        Open files of a node.
    """

    nodes: int
    start_processor_s: float
    rest_cores: float
    resident_mb: float
    files: float


@attrs.frozen
class NodeSize:
    """Figures by size, and how they grow.

    Attributes
    ----------
    rest_cores_per_node, resident_mb_per_node : Line
        Lines fitted against the number of nodes.
    """

    sizes: list[SizeFigures]
    rest_cores_per_node: Line
    resident_mb_per_node: Line
    machine: Machine


async def measure_size(nodes: int) -> SizeFigures:
    """Start a fleet and measure its nodes."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"node-size-{nodes}-"))
    async with ClientSession() as session:
        store = StoreStandIn(era=1)
        fleet = Fleet(network_of(nodes), directory, store, session)
        try:
            await fleet.start(nodes)
            await asyncio.sleep(SETTLE_S)
            pids = [one.process.pid for one in fleet.instances if one.process]
            started = [process_use(pid) for pid in pids]
            await asyncio.sleep(REST_S)
            rested = [process_use(pid) for pid in pids]
            files = [count_files(pid) for pid in pids]
        finally:
            await fleet.stop()
    used_s = sum(
        b.processor_s - a.processor_s for a, b in zip(started, rested, strict=True)
    )
    return SizeFigures(
        nodes,
        sum(one.processor_s for one in started) / nodes,
        used_s / REST_S / nodes,
        sum(one.resident_mb for one in rested) / nodes,
        sum(files) / nodes,
    )


def count_files(pid: int) -> int:
    """Return the number of open files of a process."""
    return sum(1 for _ in (pathlib.Path("/proc") / str(pid) / "fd").iterdir())


async def measure(sizes: list[int]) -> NodeSize:
    """Measure all sizes, one after the other."""
    machine = machine_facts()
    found = []
    for nodes in sizes:
        found.append(await measure_size(nodes))
        print(found[-1], flush=True)
    rest = fit_line([(one.nodes, one.rest_cores) for one in found])
    memory = fit_line([(one.nodes, one.resident_mb) for one in found])
    return NodeSize(found, rest, memory, at_end(machine))


def main() -> int:
    """Run the measurement from the command line."""
    options = docopt.docopt(__doc__ or "")
    sizes = [int(size) for size in options["--sizes"].split(",")]
    result = uvloop.run(measure(sizes))
    if not options["--no-result"]:
        write_result("node_size", result)
    print(result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
