"""After a repeated order of a version, a restarted fleet serves nothing."""

import asyncio
import json
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig

HERE = pathlib.Path(__file__).resolve().parent
SERVICE = "catalogue"
BOUNDS = {"exposure_share": 0.1, "exposure_slack": 50, "rollback": "5000ms"}
DURATION_S = 16.0
DOWN_S = 1.0
RECOVERY_S = 15.0
AFTER_S = 20.0
GAP_S = 0.025
REPEATS = os.environ.get("REPEAT", "1") != "0"
"""Whether the order is repeated; without it, the final fault alone is made."""


async def case(record: rig.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    deployment = rig.Deployment(record, BOUNDS)
    document = rig.configuration(
        {"browse": rig.route(SERVICE, "/browse/", "safe")}, [SERVICE]
    )
    try:
        await deployment.start([SERVICE] * 3, document, work_s=0.05)
        clients = asyncio.create_task(_send(record, deployment))
        await asyncio.sleep(5.0)
        await _replace_version(record, deployment)
        await asyncio.sleep(8.0)
        fault_s = record.now_s()
        if trouble:
            await _strike(record, deployment)
        back_s = record.now_s()
        record.add("back", fault_s=fault_s)
        await asyncio.sleep(RECOVERY_S + AFTER_S)
        clients.cancel()
        record.add("status", of_order=_status(deployment))
    finally:
        deployment.stop()
    return _judge(record, fault_s, back_s + RECOVERY_S)


def _order(record: rig.Record, deployment: rig.Deployment) -> None:
    order = {"service": SERVICE, "new_version": "v2", "duration": f"{DURATION_S:.0f}s"}
    content = json.dumps(order).encode()
    deployment.store.put("keyed.op", f"rollout/{SERVICE}", content)
    record.add("ordered", version="v2")


def _status(deployment: rig.Deployment) -> str:
    value = deployment.store.value("keyed.status", f"rollout/{SERVICE}")
    return str(json.loads(value)["state"]) if value else ""


async def _replace_version(record: rig.Record, deployment: rig.Deployment) -> None:
    """Order a good version, and stop the old targets once it is completed."""
    old = list(zip(deployment.nodes, deployment.targets, strict=True))
    _order(record, deployment)
    for _ in old:
        await deployment.add_later(SERVICE, version="v2", work_s=0.05)
    try:
        async with asyncio.timeout(DURATION_S + 2.0):
            while _status(deployment) != "completed":
                await asyncio.sleep(0.1)
    except TimeoutError:
        raise rig.CaseError("the first order was not completed") from None
    record.add("completed")
    for node, target in old:
        target.stop()
        node.signal(signal.SIGTERM)
    del deployment.nodes[: len(old)]


async def _strike(record: rig.Record, deployment: rig.Deployment) -> None:
    """Repeat the order, and kill all processes right after it was acknowledged."""
    if REPEATS:
        _order(record, deployment)
    for node in deployment.nodes:
        node.signal(signal.SIGKILL)
    record.add("killed_all")
    await asyncio.sleep(DOWN_S)
    for node in deployment.nodes:
        node.end()
        node.start(deployment.store.address, deployment.bounds)


async def _send(record: rig.Record, deployment: rig.Deployment) -> None:
    """Send requests at all machines in turn."""
    number, tasks = 0, set()
    while True:
        node = deployment.nodes[number % len(deployment.nodes)]
        name = f"c{number}"
        sending = rig.send(record, node.outbound, name, f"GET /browse/{number}")
        task = asyncio.create_task(sending)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(GAP_S)


def _judge(record: rig.Record, fault_s: float, from_s: float) -> bool:
    """Compare the shares that were served before and after."""
    status = {line["id"]: line["status"] for line in record.find("answered")}
    sent = record.find("sent")
    before = [status.get(line["id"]) for line in sent if float(line["s"]) < fault_s]
    last_s = max(float(line["s"]) for line in sent) - 3.0
    after = [
        status.get(line["id"]) for line in sent if from_s < float(line["s"]) < last_s
    ]
    shares = [share.count(200) / max(1, len(share)) for share in (before, after)]
    record.add("summary", served_before=shares[0], served_after=shares[1])
    print(f"served before {shares[0]:.3f}, later than recovery {shares[1]:.3f}")
    return not (shares[0] >= 0.25 and shares[1] < 0.25)


if __name__ == "__main__":
    sys.exit(rig.play(HERE, case))
