"""Cost of one real node among as many members as the target has."""

import asyncio
from collections.abc import Callable
from functools import partial

import aiohttp
import attrs

from azurestep.control.ring import rendezvous
from azurestep.control.roster import BRIDGE
from azurestep.node.readers import READER
from azurestep.operations.node_client import NodeClient
from azurestep.settings import Address, ControlSettings

from .crowd import OWN, PROBE_INTERVAL_S, Crowd, Ports
from .fleet import HOST, Fleet, NodeProcess, free_ports
from .probes import process_use
from .publishing import Operator
from .results import Machine, at_end, machine_facts, write_result

MEMBERS = (16, 46, 92, 183, 366)
TARGET_MEMBERS = 183
SETTLE_S = 5.0
WARM_UP_S = 90.0
QUIET_FRAME_BYTES = 150
IDLE_S = 20.0
ACTIVE_S = 20.0
TAIL_S = 3.0
EVENTS_PER_S = 2.0
RENEWAL_S = 0.85


@attrs.frozen
class Cost:
    """What a node spent over a stretch of time.

    Attributes
    ----------
    role : str
        ``node``, ``reader`` or ``bridge``; the bridge is the reporter too.
    members : int
        Members of its data centre, itself included.
    activity : str
        What went on.
    events : int
        How many times.
    duration_s, processor_s : float
        Length, and processor time spent.
    resident_mb : float
        Resident memory at the end.
    sent_bytes, received_bytes, sent_frames, received_frames : int
        Frame bodies over the stretch.
    """

    role: str
    members: int
    activity: str
    events: int
    duration_s: float
    processor_s: float
    resident_mb: float
    sent_bytes: int
    received_bytes: int
    sent_frames: int
    received_frames: int


@attrs.frozen
class NodeCosts:
    """All stretches."""

    machine: Machine
    costs: list[Cost]


def name_for(role: str, names: list[str]) -> str:
    """Return the member that has a role among these names."""
    control = ControlSettings()
    readers = rendezvous(READER, names, control.readers_per_data_centre)
    bridges = rendezvous(BRIDGE, names, control.bridges_per_data_centre)
    if role == "bridge":
        return next(name for name in bridges if name not in readers)
    if role == "reader":
        return next(name for name in readers if name not in bridges)
    return next(name for name in names if name not in {*readers, *bridges})


class Bench:
    """One real node and its crowd."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._session = session
        self._operator = Operator(session, fleet.log_url, 1)
        self.costs: list[Cost] = []

    async def run(self, role: str, members: int, activities: bool) -> None:
        """Measure a node in a role."""
        names = [f"{OWN}-{index:03d}" for index in range(members)]
        own = name_for(role, names)
        names.remove(own)
        ports = Ports(*free_ports(3))
        crowd = Crowd(names, ports, self._fleet.key)
        await crowd.start()
        crowd.document = self._operator.document
        crowd.version = self._operator.version
        node = await self._fleet.start_node(own, OWN, [_address(ports.local)])
        crowd.to = _address(node.settings.control_port)
        announcing = asyncio.create_task(self._announce(node))
        try:
            await self._warm_up(node, crowd, (role, members))
            await self._measure(node, (role, members, "idle"), None)
            if activities:
                await self._measure_activities(node, crowd, role, members)
        finally:
            announcing.cancel()
            await crowd.close()
            await node.process.stop()

    async def _warm_up(
        self, node: NodeProcess, crowd: Crowd, what: tuple[str, int]
    ) -> None:
        """Probe fast until the node has passed on all it learnt at its start.

        What it sent until then counts as the cost of its start; the answers to
        the fast probes are taken off at the size of an answer without news.

        Raises
        ------
        TimeoutError
            If its frames still carry news after ``WARM_UP_S``.
        """
        client = NodeClient(self._session, node.operator_url)
        start_s = asyncio.get_running_loop().time()
        async with asyncio.timeout(WARM_UP_S):
            while True:
                before = await client.counters()
                await asyncio.sleep(SETTLE_S)
                after = await client.counters()
                sent_bytes = after.sent_bytes - before.sent_bytes
                frames = after.sent_frames - before.sent_frames
                if sent_bytes < QUIET_FRAME_BYTES * max(1, frames):
                    break
        crowd.probe_interval_s = PROBE_INTERVAL_S
        status = await client.status()
        quiet_bytes = sent_bytes / max(1, frames) * after.sent_frames
        used = process_use(node.process.process.pid)
        self.costs.append(
            Cost(
                *what,
                "start",
                1,
                asyncio.get_running_loop().time() - start_s,
                used.processor_s,
                used.resident_mb,
                max(0, round(after.sent_bytes - quiet_bytes)),
                after.received_bytes,
                after.sent_frames,
                after.received_frames,
            )
        )
        print(
            f"  {node.settings.instance}: {len(status.members)} members, version "
            f"{status.version}, reader {status.is_reader}, bridge {status.is_bridge}, "
            f"{self.costs[-1].sent_bytes} bytes of news sent since the start"
        )

    async def _measure_activities(
        self, node: NodeProcess, crowd: Crowd, role: str, members: int
    ) -> None:
        change = partial(self._change, crowd, role)
        await self._measure(node, (role, members, "changes"), change)
        for label, act in (
            ("member updates", crowd.change_member),
            ("summary updates", crowd.change_summary),
            ("report updates", crowd.change_report),
        ):
            await self._measure(node, (role, members, label), act)

    def _change(self, crowd: Crowd, role: str) -> None:
        asyncio.get_running_loop().create_task(self._publish(crowd, role))

    async def _publish(self, crowd: Crowd, role: str) -> None:
        published = await self._operator.publish_change()
        if role != "reader":
            crowd.push(self._operator.document, published.version, crowd.names[0])
            return
        crowd.document = self._operator.document
        crowd.version = published.version

    async def publish_first(self) -> None:
        """Publish the configuration of the target's size."""
        await self._operator.publish_first()

    async def _announce(self, node: NodeProcess) -> None:
        body = {
            "service": "service-00",
            "host": HOST,
            "port": 1,
            "incarnation": "only",
            "slots": 12,
        }
        while True:
            url = f"{node.announce_url}/v1/backend-servers"
            async with self._session.post(url, json=body) as response:
                await response.read()
            await asyncio.sleep(RENEWAL_S)

    async def _measure(
        self,
        node: NodeProcess,
        what: tuple[str, int, str],
        act: Callable[[], None] | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        client = NodeClient(self._session, node.operator_url)
        pid = node.process.process.pid
        before, use = await client.counters(), process_use(pid)
        start_s = loop.time()
        events = await _act(act)
        after, used = await client.counters(), process_use(pid)
        cost = Cost(
            *what,
            events,
            loop.time() - start_s,
            used.processor_s - use.processor_s,
            used.resident_mb,
            after.sent_bytes - before.sent_bytes,
            after.received_bytes - before.received_bytes,
            after.sent_frames - before.sent_frames,
            after.received_frames - before.received_frames,
        )
        self.costs.append(cost)
        print(
            f"  {cost.role:<7} {cost.members:>4} members, {cost.activity:<16} "
            f"{cost.events:>3} events: core {cost.processor_s / cost.duration_s:.2%}, "
            f"{cost.resident_mb:.1f} MB, sent "
            f"{cost.sent_bytes / cost.duration_s:.0f} B/s, received "
            f"{cost.received_bytes / cost.duration_s:.0f} B/s",
            flush=True,
        )


async def _act(act: Callable[[], None] | None) -> int:
    if act is None:
        await asyncio.sleep(IDLE_S)
        return 0
    events = int(ACTIVE_S * EVENTS_PER_S)
    for _ in range(events):
        act()
        await asyncio.sleep(1 / EVENTS_PER_S)
    await asyncio.sleep(TAIL_S)
    return events


def _address(port: int) -> Address:
    return Address(HOST, port)


async def run() -> None:
    """Measure all sizes and roles and write the result."""
    machine = machine_facts()
    async with Fleet() as fleet, aiohttp.ClientSession() as session:
        await fleet.start_log()
        bench = Bench(fleet, session)
        await bench.publish_first()
        for members in MEMBERS:
            await bench.run("node", members, members == TARGET_MEMBERS)
        for role in ("reader", "bridge"):
            await bench.run(role, TARGET_MEMBERS, True)
        write_result("node_cost", NodeCosts(at_end(machine), bench.costs))
