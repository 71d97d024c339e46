"""Rate limits that backend servers name in their answers."""

import asyncio

from .fixtures_mesh import MeshFleet

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
