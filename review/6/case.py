"""An order that returns to an earlier version gives it all requests at once."""

import asyncio
import json
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig

HERE = pathlib.Path(__file__).resolve().parent
SERVICE, FRONT = "catalogue", "licensing"
BOUNDS = {"exposure_share": 0.1, "exposure_slack": 50, "rollback": "5000ms"}
DURATION_S = 16.0
BAD_AFTER_S = 3.0
"""Time from the start of the last version until half of its answers are failures."""
QUIET_S = 12.0
"""Time between the end of the first roll-out and the second order."""
ROLLBACK_S = 5.0
STABILITY_S = 3.0
GAP_S = 0.025
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
LAST_VERSION = os.environ.get("LAST_VERSION", "v1")


async def case(record: rig.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    deployment = rig.Deployment(record, BOUNDS)
    document = rig.configuration(
        {
            "browse": rig.route(SERVICE, "/browse/", "safe"),
            "buy": rig.route(FRONT, "/buy/", "unsafe"),
        },
        [SERVICE, FRONT],
    )
    try:
        services = [FRONT, FRONT, FRONT, SERVICE, SERVICE, SERVICE]
        await deployment.start(services, document, work_s=0.05)
        clients = asyncio.create_task(_send(record, deployment))
        await asyncio.sleep(8.0)
        await _roll_out(record, deployment, "v1", "v2", False)
        await asyncio.sleep(QUIET_S)
        ordered_s = record.now_s()
        await _roll_out(record, deployment, "v2", LAST_VERSION, trouble)
        clients.cancel()
    finally:
        deployment.stop()
    return _judge(record, ordered_s)


async def _send(record: rig.Record, deployment: rig.Deployment) -> None:
    """Send requests at the machines of the other service."""
    number, tasks = 0, set()
    while True:
        node = deployment.nodes[number % 3]
        name = f"c{number}"
        sending = rig.send(record, node.outbound, name, f"GET /browse/{number}")
        task = asyncio.create_task(sending)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(GAP_S)


async def _roll_out(
    record: rig.Record,
    deployment: rig.Deployment,
    old: str,
    new: str,
    is_bad: bool,
) -> None:
    """Order a version, start its targets, and act on the status."""
    loop = asyncio.get_running_loop()
    ordered_s = loop.time()
    order = {"service": SERVICE, "new_version": new, "duration": f"{DURATION_S:.0f}s"}
    deployment.store.put("keyed.op", f"rollout/{SERVICE}", json.dumps(order).encode())
    record.add("ordered", version=new, duration_s=DURATION_S)
    old_targets = [
        (node, target)
        for node, target in zip(deployment.nodes, deployment.targets, strict=True)
        if target.service == SERVICE and target.version == old and target.up
    ]
    bad_from_s = ordered_s + BAD_AFTER_S

    def answer(request: rig.Message) -> tuple[int, bytes]:
        if is_bad and loop.time() >= bad_from_s and _number(request) % 2:
            return 500, b"failed"
        return 200, b"done"

    for _ in old_targets:
        _, target = await deployment.add_later(SERVICE, version=new, work_s=0.05)
        target.answer_with = answer
    state = ""
    while loop.time() < ordered_s + DURATION_S + 1.0:
        await asyncio.sleep(0.1)
        value = deployment.store.value("keyed.status", f"rollout/{SERVICE}")
        status = json.loads(value) if value else {}
        if status.get("new_version") != new or status["state"] == state:
            continue
        state = status["state"]
        record.add("status", version=new, state=state)
        if state == "completed":
            for node, target in old_targets:
                target.stop()
                node.signal(signal.SIGTERM)
            if not is_bad and new == "v2":
                return


def _number(request: rig.Message) -> int:
    return int(request.first.split(" ")[1].rpartition("/")[2])


def _judge(record: rig.Record, ordered_s: float) -> bool:
    """Count what the last version got, and what it got after its 50th bad answer."""
    sent_s = {line["id"]: float(line["s"]) for line in record.find("sent")}
    targets = {
        line["instance"]: line["version"] for line in record.find("target_started")
    }
    end_s = ordered_s + DURATION_S
    runs = [
        line
        for line in record.find("run")
        if ordered_s <= float(line["s"]) <= end_s and "/browse/" in str(line["path"])
    ]
    new = [line for line in runs if targets[line["instance"]] == LAST_VERSION]
    answers = {line["id"]: line for line in record.find("bad_answer")}
    bad_s = sorted(float(line["s"]) for line in answers.values())
    late = []
    if len(bad_s) >= 50:
        from_s = bad_s[49] + ROLLBACK_S
        late = [line["id"] for line in new if sent_s[line["id"]] > from_s]
    allowed = EXPOSURE_SHARE * len(runs) + EXPOSURE_SLACK
    is_bad = bool(bad_s)
    record.add(
        "summary",
        arrived=len(runs),
        arrived_at_new=len(new),
        allowed=allowed,
        bad_answers=len(bad_s),
        late=len(late),
    )
    print(
        f"arrived {len(runs)}, at the last version {len(new)} (allowed {allowed:.0f}),"
        f" bad answers {len(bad_s)}, later than allowed {len(late)}"
    )
    return not is_bad or (len(new) <= allowed and not late)


if __name__ == "__main__":
    sys.exit(rig.play(HERE, case))
