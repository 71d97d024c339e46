"""The price of a payment at real nodes, and what an outage and a kill cost.

Usage:
  payments
"""

import asyncio
import random
import signal
import sys
import time
from collections import defaultdict

import aiohttp
import attrs
import docopt
import orjson
import uvloop

from azurestep.environment import Environment
from azurestep.once.messages import Outcome

from .demo import Demo
from .deployment import load_deployment
from .fleet import Fleet, NodeProcess
from .once_fleet import STREAM, PayingFleet
from .once_live import PATH, PayingCaller, Payment, slot_of
from .once_prices import (
    Added,
    Kill,
    OutageServed,
    Timed,
    added_of,
    block_added,
    block_kill,
    kill_of,
    outage_of,
)
from .results import Machine, at_end, machine_facts, write_result

ROUNDS = 250
WARM_UP_ROUNDS = 25
OUTAGE_S = 20.0
OUTAGE_PER_SECOND = 20.0
KILL_S = 6.0
KILL_PER_SECOND = 100.0
KILL_AFTER_S = 1.0
IDEMPOTENT = "idempotent call"
SAME_NODE = "payment, owner is the accepting node"
SAME_DATA_CENTRE = "payment, owner in the same data centre"
OTHER_DATA_CENTRE = "payment, owner in another data centre"


class RanTwiceError(Exception):
    """A key or a payment ran more than once; the promise is broken."""


@attrs.frozen
class Payments:
    """Result of the run.

    Attributes
    ----------
    nodes : int
        Nodes, each beside a backend server that takes payments.
    added : list of Added
        Time of each way over an idempotent call to the same backend server.
    paid, ownership_appends, other_appends : int
        Payments while the ways were compared, and the appends at the platform
        meanwhile, to the ownership stream and to all others.
    keys_run, runs_per_key_over_one, payments_over_one : int
        Keys that ran in the whole run, and runs beyond the first of a key, and
        of a payment over all its keys.
    """

    machine: Machine
    nodes: int
    added: list[Added]
    paid: int
    ownership_appends: int
    other_appends: int
    outage: OutageServed
    kill: Kill
    keys_run: int
    runs_per_key_over_one: int
    payments_over_one: int


class Prices:
    """Measures one fleet."""

    def __init__(self, paying: PayingFleet, source: random.Random) -> None:
        self.paying = paying
        self.caller = paying.caller
        self.random = source

    # -- price ---------------------------------------------------------------

    async def compare(self, rounds: int) -> list[Timed]:
        """Send an idempotent call and three payments a round, in any order."""
        owners = await self.paying.owners()
        found: list[Timed] = []
        for _ in range(rounds):
            node = self._any_node()
            slots = self._slots_by_way(node, owners)
            ways = [IDEMPOTENT, *slots]
            self.random.shuffle(ways)
            for way in ways:
                found.append(await self._time(way, node, slots.get(way)))
        return found

    def _slots_by_way(
        self, node: NodeProcess, owners: dict[int, str]
    ) -> dict[str, tuple[int, ...]]:
        places = {
            other.settings.instance: other.settings.data_centre
            for other in self.paying.nodes
        }
        own = node.settings
        slots: dict[str, list[int]] = defaultdict(list)
        for slot, instance in owners.items():
            if instance == own.instance:
                slots[SAME_NODE].append(slot)
            elif places[instance] == own.data_centre:
                slots[SAME_DATA_CENTRE].append(slot)
            else:
                slots[OTHER_DATA_CENTRE].append(slot)
        return {way: tuple(held) for way, held in slots.items()}

    async def _time(
        self, way: str, node: NodeProcess, slots: tuple[int, ...] | None
    ) -> Timed:
        if slots is None:
            return await self._time_idempotent(node)
        copy = self.caller.new_copy(slots)
        answer = await self.caller.send(node.traffic_url, copy)
        is_served = answer.outcome == Outcome.RAN
        return Timed(way, answer.server, answer.elapsed_ms, is_served)

    async def _time_idempotent(self, node: NodeProcess) -> Timed:
        fields = {"Host": self.paying.demo.deployment.host}
        started_s = time.perf_counter()
        async with self.paying.demo.session.get(
            f"{node.traffic_url}{PATH}", headers=fields
        ) as response:
            body = await response.read()
        elapsed_ms = (time.perf_counter() - started_s) * 1000
        is_served = response.status == 200
        server = orjson.loads(body)["instance"] if is_served else ""
        self.paying.servers.add(server)
        return Timed(IDEMPOTENT, server, elapsed_ms, is_served)

    def _any_node(self) -> NodeProcess:
        return self.random.choice(self.paying.nodes)

    # -- faults --------------------------------------------------------------

    async def outage(self) -> list[Payment]:
        """Pay while the platform is away."""
        await self.paying.set_outage(True)
        try:
            return await self.caller.pay_for(
                self.paying.urls, OUTAGE_S, OUTAGE_PER_SECOND
            )
        finally:
            await self.paying.set_outage(False)

    async def kill(self) -> Kill:
        """Pay at the other nodes while an owner is killed.

        The backend server beside it lives on, so that its runs are counted.
        """
        victim = self.paying.nodes[-1]
        owners = await self.paying.owners()
        held = {s for s, name in owners.items() if name == victim.settings.instance}
        urls = [url for url in self.paying.urls if url != victim.traffic_url]
        paying = asyncio.create_task(
            self.caller.pay_for(urls, KILL_S + KILL_AFTER_S, KILL_PER_SECOND)
        )
        await asyncio.sleep(KILL_AFTER_S)
        await victim.process.stop(signal.SIGKILL)
        payments = await paying
        hit = [payment for payment in payments if slot_of(payment.keys[0]) in held]
        return kill_of(payments, hit, KILL_AFTER_S * 1000)


async def measure(demo: Demo) -> Payments:
    """Run the phases one after the other with one fleet."""
    machine = machine_facts()
    source = random.Random(1)
    caller = PayingCaller(demo.session, demo.deployment.host, source)
    paying = PayingFleet(demo, caller)
    await paying.start()
    prices = Prices(paying, source)
    await prices.compare(WARM_UP_ROUNDS)
    before = await paying.appends()
    timed = await prices.compare(ROUNDS)
    appended = await paying.appends() - before
    outage = outage_of(await prices.outage(), OUTAGE_S)
    kill = await prices.kill()
    if len(paying.servers) != len(paying.nodes):
        raise RuntimeError("a backend server was not seen; its runs are not counted")
    runs = await paying.runs()
    return Payments(
        at_end(machine),
        len(paying.nodes),
        added_of(timed, IDEMPOTENT),
        sum(item.way != IDEMPOTENT for item in timed),
        appended[STREAM],
        appended.total() - appended[STREAM],
        outage,
        kill,
        len(runs),
        sum(count - 1 for count in runs.values()),
        sum(
            max(0, sum(runs[key] for key in payment.keys) - 1)
            for payment in caller.payments
        ),
    )


def print_result(result: Payments) -> None:
    """Print the tables and the counts."""
    outage, kill = result.outage, result.kill
    print(block_added(result.added))
    print(
        f"{result.paid} payments, {result.ownership_appends} ownership appends, "
        f"{result.other_appends} other appends"
    )
    print(
        f"platform away for {outage.outage_s:.0f} s: {outage.payments} payments, "
        f"{outage.ran} ran, {outage.not_run} not run, "
        f"{outage.may_have_run} may have run, {outage.other} other; "
        f"p50 {outage.p50_ms:.2f} ms, p99 {outage.p99_ms:.2f} ms"
    )
    print(block_kill(kill))
    print(
        f"left after the kill: {kill.left_not_run} not run, "
        f"{kill.left_may_have_run} may have run, {kill.left_other} other"
    )
    print(
        f"{result.keys_run} keys ran, {result.runs_per_key_over_one} runs over one "
        f"of a key, {result.payments_over_one} of a payment"
    )


async def run() -> None:
    """Measure, write and print the result.

    Raises
    ------
    RanTwiceError
        If a key or a payment ran more than once.
    """
    deployment = load_deployment("riddim")
    connector = aiohttp.TCPConnector(limit=0)
    async with Fleet() as fleet, aiohttp.ClientSession(connector=connector) as session:
        result = await measure(Demo(deployment, fleet, session, Environment()))
        await fleet.stop(signal.SIGKILL)
    write_result("payments", result)
    print_result(result)
    over_one = result.runs_per_key_over_one + result.payments_over_one
    if over_one:
        raise RanTwiceError(f"{over_one} runs too many; look into the audit trail")


def main() -> int:
    """Run the measurement from the command line."""
    docopt.docopt(__doc__ or "")
    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
