"""A node that stops goes on as quota owner beside the node that has taken over.

Three machines, one tenant with a quota. Each machine in turn gets a SIGTERM while the
tenant sends many times its usual; one of the three is the tenant's quota owner.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import quota  # noqa: E402
from playing import has_trouble, play  # noqa: E402

from standins import Fleet, Record, Server, Store, free_port  # noqa: E402

MACHINES = 3
ZONE = "sechelt"
HOT_S = 6.5
"""``for_s`` that the site file has beside the largest ``x`` of hot_tenant."""
BEFORE_TERM_S = 0.3
PAUSE_S = 5.0
GRACE_S = 6.0


async def scenario(record: Record) -> int:
    """Play the case; return the exit status."""
    fleet = Fleet(record, quota.SITE_BOUNDS)
    store = Store()
    store_host = f"{fleet.network}.200"
    store_port = free_port(store_host)
    store.put("keyed.op", "config", quota.document())
    await store.start(store_host, store_port)
    for index in range(MACHINES):
        server = Server(f"i-{index}", quota.SERVICE, record, work_s=0.01)
        fleet.add(ZONE, f"{store_host}:{store_port}", server)
    sent: dict[str, float] = {}
    clients = [quota.Clients(node, record, sent) for node in fleet.nodes]
    tasks = []
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        tasks = [asyncio.create_task(one.run()) for one in clients]
        tasks += [asyncio.create_task(one.watch()) for one in clients]
        _set_rate(clients, 1.0)
        await asyncio.sleep(3.0)
        for node in fleet.nodes:
            _set_rate(clients, quota.HOT_X)
            record.write("hot_tenant begins")
            await asyncio.sleep(BEFORE_TERM_S)
            if has_trouble():
                tasks.append(asyncio.create_task(fleet.terminate(node, GRACE_S)))
            await asyncio.sleep(HOT_S - BEFORE_TERM_S)
            _set_rate(clients, 1.0)
            record.write("hot_tenant ends")
            await fleet.wait_until_ready(node)
            await asyncio.sleep(PAUSE_S)
        return quota.check(fleet, sent, record)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
        await store.stop()


def _set_rate(clients: list[quota.Clients], times: float) -> None:
    """Let the tenant send so many times its usual, evenly over the machines."""
    for one in clients:
        one.rate_per_s = quota.USUAL_PER_S * times / len(clients)


if __name__ == "__main__":
    play(FOLDER, scenario)
