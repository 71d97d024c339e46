"""Fleets of growing size: convergence time and control bytes of each."""

import asyncio

import attrs

from azurestep.settings import ControlSettings

from . import control_bytes, convergence
from .control_bytes import Window
from .convergence import Convergence
from .load import Load, start_backend_servers
from .mesh import Mesh
from .results import Machine, at_end, machine_facts, write_result

SIZES = (8, 16, 32, 64, 128)
SHIPPED = "as shipped"
GOSSIP_S = 20.0
IDLE_S = 12.0
CHANGES = 12
CALLS_PER_S = 200.0
RESTARTS = 6
OWNERSHIP_RECORDS = 24
OWNERSHIP = "ownership records"
IDLE = "idle"


@attrs.frozen
class Run:
    """Measurements of one fleet.

    Attributes
    ----------
    label : str
        Settings of the fleet.
    nodes, data_centres : int
        Size.
    load : float
        Load average of the machine when the fleet was up.
    start_log_reads, start_log_peak_reads_per_s : int
        Reads at the log while all nodes started.
    windows : list of Window
        Control bytes.
    convergence : list of Convergence
        Convergence times.
    call_outcomes : dict
        Calls of the run under traffic, by status.
    reports_per_change : float
        Reports that a data centre published for a change; 0 if not counted.
    """

    label: str
    nodes: int
    data_centres: int
    load: float
    start_log_reads: int
    start_log_peak_reads_per_s: int
    windows: list[Window]
    convergence: list[Convergence]
    call_outcomes: dict[str, int]
    reports_per_change: float = 0.0


@attrs.frozen
class Scale:
    """All runs of this measurement."""

    machine: Machine
    runs: list[Run]


class Session:
    """The windows of one fleet, one after the other."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.windows: list[Window] = []
        self.convergence: list[Convergence] = []
        self.reports_per_change = 0.0

    async def idle(self) -> None:
        """Let nothing happen but the renewal of leases."""
        await self._window(IDLE, self._idle)

    async def changes(self, label: str, interval_s: float) -> None:
        """Publish at a steady rate on a quiet fleet."""

        async def activity() -> int:
            before = await self._report_stamps()
            found = await convergence.measure(self.mesh, label, CHANGES, interval_s)
            published = await self._report_stamps() - before
            if not self.reports_per_change:
                self.reports_per_change = published / CHANGES
            self.convergence.append(found)
            return CHANGES

        await self._window(label, activity)

    async def churn(self) -> None:
        """Replace endpoints by new runs of them."""
        await self._window("endpoint churn", lambda: self._restart_endpoints(24, 0.5))

    async def ownership(self) -> None:
        """Append records of an owner that nobody knows; every node gets them."""

        async def activity() -> int:
            for index in range(OWNERSHIP_RECORDS):
                await self.mesh.append_ownership(index)
                await asyncio.sleep(0.5)
            return OWNERSHIP_RECORDS

        await self._window(OWNERSHIP, activity)

    async def restarts(self) -> None:
        """Stop nodes gracefully and start them again, two at a time."""

        async def activity() -> int:
            for _ in range(RESTARTS // 2):
                both = (self.mesh.restart_node(), self.mesh.restart_node())
                await asyncio.gather(*both)
            return RESTARTS

        await self._window("node restarts", activity)

    async def traffic(self) -> Load:
        """Publish while calls are served and endpoints come and go."""
        load = Load(self.mesh, CALLS_PER_S)
        duration_s = CHANGES + convergence.TAIL_S

        async def activity() -> int:
            await asyncio.gather(
                load.run(duration_s),
                self._restart_endpoints(int(duration_s), 1.0),
                self._converge("traffic and endpoint churn"),
            )
            return CHANGES

        await self._window("traffic and endpoint churn", activity)
        return load

    async def _report_stamps(self) -> float:
        """Return how many reports a data centre has published, on average."""
        status = await self.mesh.client(self.mesh.nodes[0]).status()
        return sum(r.stamp for r in status.reports) / len(status.reports)

    async def _converge(self, label: str) -> None:
        found = await convergence.measure(self.mesh, label, CHANGES, 1.0)
        self.convergence.append(found)

    async def _idle(self) -> int:
        await asyncio.sleep(IDLE_S)
        return 0

    async def _restart_endpoints(self, count: int, interval_s: float) -> int:
        for _ in range(count):
            await self.mesh.restart_endpoint()
            await asyncio.sleep(interval_s)
        return count

    async def _window(self, label: str, activity: control_bytes.Activity) -> None:
        window = await control_bytes.measure(self.mesh, label, activity)
        self.windows.append(window)
        print(
            f"  {label:<28} sent {window.sent_bytes_per_s:7.0f} B/s  received "
            f"{window.received_bytes_per_s:7.0f} B/s  wire "
            f"{window.sent_wire_bytes_per_s:7.0f} B/s  core "
            f"{window.processor_ratio:.2%} (max {window.processor_maximum_ratio:.2%})  "
            f"{window.resident_mb:.0f} MB  log reads {window.log_reads}",
            flush=True,
        )


async def run_fleet(
    nodes: int, label: str, control: ControlSettings | None = None, whole: bool = True
) -> Run:
    """Measure one fleet.

    Parameters
    ----------
    nodes : int
        Size.
    label : str
        Name of the settings.
    control : ControlSettings, optional
        Settings of the nodes.
    whole : bool
        Whether to measure all windows, or only those of the baselines.
    """
    async with Mesh(nodes, control) as mesh:
        log = await mesh.read_log()
        await start_backend_servers(mesh)
        await asyncio.sleep(GOSSIP_S)
        load = round(machine_facts().load_before, 2)
        print(f"{label}, {nodes} nodes, load {load}", flush=True)
        session = Session(mesh)
        await session.idle()
        await session.changes("changes, 1/s", 1.0)
        outcomes: dict[str, int] = {}
        if whole:
            await session.changes("changes, 4/s", 0.25)
            await session.churn()
            await session.ownership()
            outcomes = dict((await session.traffic()).outcomes)
            await session.restarts()
        for found in session.convergence:
            print(
                f"  {found.label:<28} in force everywhere p50 "
                f"{found.everywhere_p50_ms:.0f} ms, max {found.everywhere_max_ms:.0f} "
                f"ms, unfinished {found.unfinished}"
            )
        print(f"  calls {outcomes}", flush=True)
    return Run(
        label,
        nodes,
        3,
        load,
        log["reads"],
        log["peak_reads_per_second"],
        session.windows,
        session.convergence,
        outcomes,
        session.reports_per_change,
    )


async def run() -> None:
    """Measure fleets of all sizes and write the result."""
    machine = machine_facts()
    runs: list[Run] = []
    for nodes in SIZES:
        runs.append(await run_fleet(nodes, SHIPPED))
        write_result("scale", Scale(at_end(machine), runs))
