"""A node that restarts in a zone that is cut off takes the zone for the whole fleet.

Six machines in three zones, one tenant with a quota that sends many times its usual. A
zone is cut off twice, and each time one of its two nodes is killed just after; one of
the two is the tenant's quota owner within that zone.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import quota  # noqa: E402
from playing import has_trouble, play  # noqa: E402

from standins import Fleet, Node, Record, Relay, Server, Store, free_port  # noqa: E402

ZONES = ("sechelt", "porpoise-bay", "egmont")
CUT_ZONE = ZONES[1]
PER_ZONE = 2
CUT_S = 6.2
"""Longest ``for_s`` of zone_cut in the site file."""
KILL_AFTER_S = 0.2
HOT_AFTER_S = 1.2
HOT_S = 6.6
"""Within the 8 s that the site file has for hot_tenant."""
PAUSE_S = 7.0


async def scenario(record: Record) -> int:
    """Play the case; return the exit status."""
    fleet = Fleet(record, quota.SITE_BOUNDS)
    cut: set[str] = set()
    store = Store()
    store.put("keyed.op", "config", quota.document())
    relays = await _add_machines(fleet, store, cut)
    sent: dict[str, float] = {}
    clients = [quota.Clients(node, record, sent) for node in fleet.nodes]
    tasks = []
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        tasks = [asyncio.create_task(one.run()) for one in clients]
        tasks += [asyncio.create_task(one.watch()) for one in clients]
        _set_rate(clients, 1.0)
        await asyncio.sleep(4.0)
        for node in [one for one in fleet.nodes if one.zone == CUT_ZONE]:
            await _cut_off(node, cut, clients)
            await asyncio.sleep(PAUSE_S)
        return quota.check(fleet, sent, record)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
        for relay in relays:
            await relay.stop()
        await store.stop()


async def _add_machines(fleet: Fleet, store: Store, cut: set[str]) -> list[Relay]:
    """Start the store and add all machines; return the relays in front of them."""
    host = f"{fleet.network}.200"
    store_port = free_port(host)
    await store.start(host, store_port)
    relays: list[Relay] = []
    for zone in ZONES:
        to_store = Relay((host, store_port), "", ZONES, cut, source=zone)
        port = free_port(host)
        await to_store.start(host, port)
        relays.append(to_store)
        for _ in range(PER_ZONE):
            name = f"i-{len(fleet.nodes)}"
            server = Server(name, quota.SERVICE, fleet.record, work_s=0.01)
            node = fleet.add(zone, f"{host}:{port}", server)
            node.is_relayed = True
            relay = Relay((node.host, node.ports["listen"]), zone, ZONES, cut)
            await relay.start(node.host, node.ports["peer"])
            relays.append(relay)
    return relays


async def _cut_off(node: Node, cut: set[str], clients: list[quota.Clients]) -> None:
    """Cut a node's zone off, kill the node, and let the tenant send much more."""
    record = node.fleet.record
    if has_trouble():
        cut.add(node.zone)
        record.write("zone_cut begins", node.zone)
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble():
        node.send(signal.SIGKILL)
    await asyncio.sleep(HOT_AFTER_S - KILL_AFTER_S)
    _set_rate(clients, quota.HOT_X)
    record.write("hot_tenant begins")
    await asyncio.sleep(CUT_S - HOT_AFTER_S)
    cut.clear()
    record.write("zone_cut ends")
    await asyncio.sleep(HOT_AFTER_S + HOT_S - CUT_S)
    _set_rate(clients, 1.0)
    record.write("hot_tenant ends")


def _set_rate(clients: list[quota.Clients], times: float) -> None:
    """Let the tenant send so many times its usual, evenly over the machines."""
    for one in clients:
        one.rate_per_s = quota.USUAL_PER_S * times / len(clients)


if __name__ == "__main__":
    play(FOLDER, scenario)
