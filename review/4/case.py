"""A long upload that crashes each target that runs it is never refused."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig

HERE = pathlib.Path(__file__).resolve().parent
MEDIA, FRONT = "media-store", "catalogue"
BODY = b"p" * 60_000
POISON_PATH = "/pull/fatal"
STABILITY_S = 3.0
MOST_LATE_RETRIES = 3
RETRY_PAUSE_S = 1.0
SENDING_S = 45.0
BYSTANDER_PAUSE_S = 0.1


async def case(record: rig.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    deployment = rig.Deployment(record)
    services = [MEDIA, MEDIA, MEDIA, MEDIA, FRONT]
    document = rig.configuration(
        {
            "pull": rig.route(MEDIA, "/pull/", "upload"),
            "browse": rig.route(FRONT, "/browse/", "safe"),
        },
        [MEDIA, FRONT],
    )

    def is_fatal(request: rig.Message) -> bool:
        return trouble and request.first.split(" ")[1] == POISON_PATH

    try:
        await deployment.start(services, document, crashes_on=is_fatal, down_s=3.0)
        others = asyncio.create_task(_send_others(record, deployment))
        await _send_fatal(record, deployment)
        others.cancel()
    finally:
        deployment.stop()
    return _judge(record)


async def _send_fatal(record: rig.Record, deployment: rig.Deployment) -> None:
    """Let one caller send the same request again and again, at any machine."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + SENDING_S
    number = 0
    while loop.time() < end_s:
        node = deployment.nodes[number % len(deployment.nodes)]
        name = f"fatal-{number}"
        await rig.send(record, node.outbound, name, f"POST {POISON_PATH}", BODY)
        number += 1
        await asyncio.sleep(RETRY_PAUSE_S)


async def _send_others(record: rig.Record, deployment: rig.Deployment) -> None:
    """Send other uploads, which run beside it."""
    number, tasks = 0, set()
    while True:
        node = deployment.nodes[number % len(deployment.nodes)]
        sending = rig.send(
            record, node.outbound, f"other-{number}", f"POST /pull/{number}", BODY
        )
        task = asyncio.create_task(sending)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(BYSTANDER_PAUSE_S)


def _judge(record: rig.Record) -> bool:
    """Count the retries that reached targets well after the third crash."""
    crashes = record.find("target_crashed")
    lost = [one for line in crashes for one in line["lost"]]
    late = []
    if len(crashes) >= 3:
        from_s = float(crashes[2]["s"]) + STABILITY_S
        sent_s = {line["id"]: float(line["s"]) for line in record.find("sent")}
        runs = record.find("run", path=POISON_PATH)
        late = [line["id"] for line in runs if sent_s[line["id"]] > from_s]
    record.add("summary", crashes=len(crashes), late_retries=late, lost=lost)
    print(f"crashes {len(crashes)}, late retries {len(late)}, others lost {len(lost)}")
    return len(late) <= MOST_LATE_RETRIES


if __name__ == "__main__":
    sys.exit(rig.play(HERE, case))
