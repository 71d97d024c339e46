"""Bad days: processes die, the platform goes away, a data centre comes back."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import attrs

from .convergence import summarize
from .fleet import NodeProcess
from .mesh import Mesh
from .results import Machine, at_end, machine_facts, write_result

NODES = 48
RACK = 5
GOSSIP_S = 15.0
POLL_S = 0.1
BOUND_S = 45.0
OUTAGE_S = 20.0
TAIL_S = 4.0


@attrs.frozen
class BadDay:
    """What happened and how long it took to get over it.

    Attributes
    ----------
    name : str
        What was done to the fleet.
    hit, nodes : int
        Nodes that were hit, and size of the fleet.
    recovered : bool
        Whether the awaited state came within the bound.
    recovery_s : float
        Time until then.
    awaited : str
        What was waited for.
    log_reads, log_peak_reads_per_s : int
        Reads at the log meanwhile, and the most in one second of the run.
    """

    name: str
    hit: int
    recovered: bool
    recovery_s: float
    awaited: str
    nodes: int = 0
    log_reads: int = 0
    log_peak_reads_per_s: int = 0


@attrs.frozen
class BadDays:
    """All of them."""

    machine: Machine
    days: list[BadDay]


class Day:
    """Does things to one fleet and measures the recovery."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.days: list[BadDay] = []
        self._gone: dict[str, NodeProcess] = {}

    # -- events --------------------------------------------------------------

    async def kill(self, name: str, nodes: list[NodeProcess]) -> None:
        """Kill nodes and wait until their data centre has noticed."""
        reads = await self._log_reads()
        await self.lose(nodes)
        await self._await(name, nodes, reads, "no longer alive to all members")

    async def lose(self, nodes: list[NodeProcess]) -> None:
        """Kill nodes."""
        await asyncio.gather(*(n.process.stop(signal.SIGKILL) for n in nodes))
        self._gone |= {node.settings.instance: node for node in nodes}

    async def restart(self, name: str) -> None:
        """Start all killed nodes at once and wait until all know all."""
        reads = await self._log_reads()
        nodes = list(self._gone.values())
        found = await asyncio.gather(
            *(self.mesh.fleet.restart_node(node.settings) for node in nodes)
        )
        self._gone.clear()
        for node in found:
            index = self._index(node.settings.instance)
            self.mesh.fleet.nodes[index] = node
        await self._await(name, found, reads, "members everywhere, version in force")

    async def lose_platform(self) -> None:
        """Take the platform away, kill a reader meanwhile, then publish."""
        reads = await self._log_reads()
        await self._set_outage(True)
        reader = await self._reader()
        await asyncio.sleep(OUTAGE_S / 2)
        await reader.process.stop(signal.SIGKILL)
        await asyncio.sleep(OUTAGE_S / 2)
        index = self._index(reader.settings.instance)
        self.mesh.fleet.nodes[index] = await self.mesh.fleet.restart_node(
            reader.settings
        )
        await self._set_outage(False)
        await self.publish("platform away for 20 s", 1, reads)

    async def publish(self, name: str, hit: int, reads: int | None = None) -> None:
        """Publish a change and wait until it is in force at all that live."""
        before = await self._log_reads() if reads is None else reads
        published = await self.mesh.operator.publish_change()

        async def is_in_force() -> bool:
            states = await self._states()
            return all(state.version >= published.version for state in states)

        recovered, _ = await self._wait(is_in_force)
        await asyncio.sleep(TAIL_S)
        live = [
            times
            for node, times in zip(
                self.mesh.nodes, self.mesh.times_in_force(), strict=True
            )
            if node.settings.instance not in self._gone
        ]
        found = summarize(name, [published], live)
        awaited = "a change published then is in force"
        seconds = found.everywhere_max_ms / 1000
        await self._note(BadDay(name, hit, recovered, seconds, awaited), before)

    # -- waiting -------------------------------------------------------------

    async def _await(
        self, name: str, nodes: list[NodeProcess], reads: int, awaited: str
    ) -> None:
        recovered, seconds = await self._wait(self._is_whole)
        await self._note(BadDay(name, len(nodes), recovered, seconds, awaited), reads)

    async def _wait(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> tuple[bool, float]:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while loop.time() - start_s < BOUND_S:
            if await condition():
                return True, loop.time() - start_s
            await asyncio.sleep(POLL_S)
        return False, loop.time() - start_s

    async def _is_whole(self) -> bool:
        live: dict[str, set[str]] = {}
        for node in self._live():
            names = live.setdefault(node.settings.data_centre, set())
            names.add(node.settings.instance)
        version = self.mesh.operator.version
        return all(
            state.version >= version
            and {m.instance for m in state.members if m.status == "alive"}
            == live[state.data_centre]
            for state in await self._states()
        )

    async def _states(self) -> list:
        clients = (self.mesh.client(node) for node in self._live())
        return list(await asyncio.gather(*(client.status() for client in clients)))

    def _live(self) -> list[NodeProcess]:
        return [n for n in self.mesh.nodes if n.settings.instance not in self._gone]

    def _index(self, instance: str) -> int:
        names = [place.instance for place in self.mesh.places]
        return names.index(instance)

    async def _reader(self) -> NodeProcess:
        for node in self._live():
            if (await self.mesh.client(node).status()).is_reader:
                return node
        raise RuntimeError("no node reads the log")

    # -- the log -------------------------------------------------------------

    async def _log_reads(self) -> int:
        return (await self.mesh.read_log())["reads"]

    async def _set_outage(self, is_out: bool) -> None:
        url = f"{self.mesh.fleet.log_url}/faults"
        async with self.mesh.session.put(url, json={"outage": is_out}) as response:
            response.raise_for_status()

    async def _note(self, day: BadDay, reads_before: int) -> None:
        log = await self.mesh.read_log()
        day = attrs.evolve(
            day,
            nodes=len(self.mesh.nodes),
            log_reads=log["reads"] - reads_before,
            log_peak_reads_per_s=log["peak_reads_per_second"],
        )
        self.days.append(day)
        print(
            f"  {day.name}: {day.hit} of {day.nodes} nodes, {day.awaited} after "
            f"{day.recovery_s:.2f} s{'' if day.recovered else ' NOT REACHED'}, "
            f"{day.log_reads} reads of the log",
            flush=True,
        )


def _of(mesh: Mesh, data_centre: str) -> list[NodeProcess]:
    return [node for node in mesh.nodes if node.settings.data_centre == data_centre]


async def run() -> None:
    """Go through all bad days with one fleet and write the result."""
    machine = machine_facts()
    async with Mesh(NODES) as mesh:
        await asyncio.sleep(GOSSIP_S)
        day = Day(mesh)
        await day.publish("ordinary day", 0)
        await day.kill("an instance fails", _of(mesh, "dc-2")[3:4])
        await day.restart("it is replaced")
        await day.kill("a rack fails", _of(mesh, "dc-2")[4 : 4 + RACK])
        await day.publish("change while the rack is away", RACK)
        await day.restart("the rack comes back")
        await day.lose_platform()
        await day.lose(_of(mesh, "dc-3"))
        await day.publish("change while the data centre is away", NODES // 3)
        await day.restart("the data centre comes back at once")
        await day.publish("change after all that", 0)
        write_result("bad_days", BadDays(at_end(machine), day.days))
