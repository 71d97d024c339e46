"""Rate limits that backend servers name in their answers."""

import asyncio

import pytest

from standins.signing_server import signed

from .fixtures_mesh import MeshFleet, MeshLines, caller_headers

LIMIT_PER_S = 10.0
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5


def allowed_in_window(limit_per_s: float) -> float:
    """Return how many requests a limited server may get within the window."""
    return ALLOWED_RATIO * limit_per_s * WINDOW_S + ALLOWED_EXTRA


def most_in_window(arrivals_s: list[float]) -> int:
    """Return the highest number of arrivals within any window."""
    return max(
        (
            sum(1 for other in arrivals_s if 0 <= other - first <= WINDOW_S)
            for first in arrivals_s
        ),
        default=0,
    )


async def send_steadily(
    mesh: MeshFleet, per_s: float, for_s: float, prefix: str = "r"
) -> list[int]:
    """Send reads to all nodes in turn, and return their statuses."""
    loop = asyncio.get_running_loop()
    tasks = []
    start_s = loop.time()
    for number in range(int(per_s * for_s)):
        await asyncio.sleep(max(0.0, start_s + number / per_s - loop.time()))
        instance = mesh.instances[number % len(mesh.instances)]
        request = mesh.get(instance, "/read/1", f"{prefix}-{number}", 1200)
        tasks.append(asyncio.create_task(request))
    return [status for status, _ in await asyncio.gather(*tasks)]


async def test_limited_server_gets_more_requests_than_it_takes(
    mesh: MeshFleet,
) -> None:
    # Nodes that ignore the limit send a third of all requests to the limited server.
    limited = mesh.instances[0].server
    limited.rate_limit = str(LIMIT_PER_S)
    statuses = await send_steadily(mesh, per_s=90.0, for_s=5.0)
    arrivals_s = [at_s for _, _, at_s in limited.arrivals]
    assert set(statuses) == {200}
    assert most_in_window(arrivals_s) <= allowed_in_window(LIMIT_PER_S)
    assert len(arrivals_s) >= LIMIT_PER_S * WINDOW_S / 2


@pytest.mark.parametrize("tells_probes", [False, True])
async def test_limited_server_gets_more_than_it_takes_after_its_node_restarts(
    mesh: MeshFleet, tells_probes: bool
) -> None:
    # The node forgets the limit when it restarts; its peers' requests still count.
    limited = mesh.instances[0]
    limited.server.rate_limit = "1.0"
    limited.server.tells_probes = tells_probes
    limited.server.work_s = 0.3
    await send_steadily(mesh, per_s=30.0, for_s=1.0, prefix="before")
    first = len(limited.server.arrivals)
    assert limited.task is not None
    limited.task.cancel()
    limited.node.abort()
    limited.node = mesh.new_node(limited)
    mesh.start_node(limited)
    peers = MeshFleet(mesh.store, mesh.session, mesh.path, mesh.instances[1:])
    statuses = await send_steadily(peers, per_s=60.0, for_s=2.5, prefix="after")
    assert limited.node.backend.rate_limit_per_s == 1.0
    assert set(statuses) == {200}
    assert len(limited.server.arrivals) - first <= 3


async def test_requests_beyond_the_limits_of_all_servers_wait_for_their_deadline(
    mesh: MeshFleet,
) -> None:
    # A request that no server takes in time is refused at once, with a time to retry.
    for instance in mesh.instances:
        instance.server.rate_limit = "2"
    await send_steadily(mesh, per_s=20.0, for_s=0.3, prefix="told")
    loop = asyncio.get_running_loop()

    async def send(number: int) -> tuple[int, float, float]:
        """Return status, Retry-After and time of a read."""
        sent_s = loop.time()
        url = mesh.instances[number % 3].url("/read/1")
        headers = caller_headers(f"beyond-{number}", 1200)
        async with mesh.session.get(url, headers=headers) as answer:
            await answer.read()
        retry_after_s = float(answer.headers.get("Retry-After", "0"))
        return answer.status, retry_after_s, loop.time() - sent_s

    answers = await asyncio.gather(*(send(number) for number in range(40)))
    refused = [answer for answer in answers if answer[0] == 503]
    assert {status for status, _, _ in answers} == {200, 503}
    assert len(refused) >= 30
    for _, retry_after_s, took_s in refused:
        assert 0.1 < retry_after_s <= 1.5
        assert took_s < 0.3


@pytest.mark.parametrize("tells_probes", [False, True])
@pytest.mark.parametrize("limit", ["0", "0.2", "30"])
async def test_server_stays_without_requests_after_its_limit_ended(
    mesh: MeshFleet, limit: str, tells_probes: bool
) -> None:
    # Without requests there are no answers, so a probe has to find out.
    server = mesh.instances[0].server
    server.rate_limit, server.tells_probes = limit, tells_probes
    await send_steadily(mesh, per_s=60.0, for_s=1.0, prefix="limited")
    assert mesh.instances[0].node.backend.rate_limit_per_s == float(limit)
    server.rate_limit = None
    await send_steadily(mesh, per_s=60.0, for_s=2.5, prefix="probing")
    first = len(server.arrivals)
    await send_steadily(mesh, per_s=60.0, for_s=1.0, prefix="lifted")
    assert len(server.arrivals) - first >= 10


@pytest.mark.parametrize("tells_probes", [False, True])
async def test_server_that_takes_nothing_gets_more_than_trials(
    mesh: MeshFleet, tells_probes: bool
) -> None:
    # A probe that names no limit must not end the limit that requests are told.
    server = mesh.instances[0].server
    server.rate_limit, server.tells_probes = "0", tells_probes
    statuses = await send_steadily(mesh, per_s=60.0, for_s=5.0)
    assert set(statuses) == {200}
    assert len(server.arrivals) <= 5


async def test_header_of_a_server_that_nobody_reads_goes_unnoticed(
    mesh: MeshFleet, mesh_lines: MeshLines
) -> None:
    # A new term of the platform's contract must not pass in silence.
    mesh.instances[0].server.rate_limit = "50\r\nServer-Mood: low"
    assert set(await send_steadily(mesh, per_s=60.0, for_s=0.5)) == {200}
    assert [line["headers"] for line in mesh_lines.of(9313)] == [["server-mood"]]


@pytest.mark.parametrize("limit", ["", "few", "-1", "1e9", "nan", "7, 8"])
async def test_unreadable_limit_keeps_requests_away(
    mesh: MeshFleet, mesh_lines: MeshLines, limit: str
) -> None:
    # Such a value changes nothing, and is logged once.
    server = mesh.instances[0].server
    server.rate_limit = limit
    assert set(await send_steadily(mesh, per_s=60.0, for_s=0.5)) == {200}
    assert len(server.arrivals) >= 5
    assert [line["headers"] for line in mesh_lines.of(9312)] == [["server-limit"]]


async def test_held_payments_and_retries_pass_the_limit_by(mesh: MeshFleet) -> None:
    # Payments wait for a confirmation, and reads that fail are sent once more.
    limited, failing = mesh.instances[0].server, mesh.instances[1].server
    limited.rate_limit = str(LIMIT_PER_S)
    failing.answer_override = lambda received: signed(received, b"", status=500)
    payments = asyncio.create_task(pay_steadily(mesh, per_s=30.0, for_s=5.0))
    await send_steadily(mesh, per_s=30.0, for_s=5.0)
    await payments
    arrivals_s = [at_s for _, _, at_s in limited.arrivals]
    assert most_in_window(arrivals_s) <= allowed_in_window(LIMIT_PER_S)
    assert len(arrivals_s) >= LIMIT_PER_S * WINDOW_S / 2
    runs = [run for one in mesh.instances for run in one.server.runs.items()]
    assert not [name for name, count in runs if name.startswith("pay") and count > 1]


async def pay_steadily(mesh: MeshFleet, per_s: float, for_s: float) -> None:
    """Send payments to all nodes in turn."""

    async def pay(number: int) -> None:
        url = mesh.instances[number % len(mesh.instances)].url("/pay/1")
        headers = caller_headers(f"pay-{number}", 1200)
        async with mesh.session.post(url, headers=headers, data=b"1") as answer:
            await answer.read()

    async with asyncio.TaskGroup() as tasks:
        for number in range(int(per_s * for_s)):
            await asyncio.sleep(1 / per_s)
            tasks.create_task(pay(number))
