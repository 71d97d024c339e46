"""Connections that become unresponsive while new ones work."""

import asyncio
import time

import pytest
import pytest_asyncio

from standins.silent_proxy import Direction, Faults, SilentProxy

SILENT = Faults(silent=Direction.BOTH)
REQUESTS = 8


@pytest_asyncio.fixture
async def silent_proxy(start_backend_server):
    server = await start_backend_server()
    proxy = SilentProxy(server.address)
    proxy.server = server
    await proxy.start()
    yield proxy
    await proxy.close()


async def fetch(http, url, method="GET", **options):
    async with http.request(method, url, **options) as response:
        return response.status, await response.read()


async def fill_pool(http, rig, silent_proxy):
    """Fill the pool with idle connections and record first-byte times."""
    url = f"{rig.url}/songs?delay_ms=20"
    await asyncio.gather(*(fetch(http, url) for _ in range(REQUESTS)))
    for _ in range(REQUESTS):
        await fetch(http, url)
    assert silent_proxy.open_connections >= REQUESTS // 2


@pytest.mark.parametrize("direction", [Direction.BOTH, Direction.TO_CALLER])
async def test_requests_are_answered_over_new_connections(
    http, silent_proxy, start_traffic, direction
):
    rig = await start_traffic(silent_proxy.address.port)
    await fill_pool(http, rig, silent_proxy)
    silent_proxy.set_faults(Faults(silent=direction))
    started_s = time.monotonic()
    calls = [fetch(http, f"{rig.url}/songs") for _ in range(REQUESTS)]
    answers = await asyncio.gather(*calls)
    elapsed_s = time.monotonic() - started_s

    assert [status for status, _ in answers] == [200] * REQUESTS
    # The request's own deadline is 10 s.
    assert elapsed_s < 5


async def test_one_unresponsive_connection_retires_all_older_ones(
    http, silent_proxy, start_traffic, wait_until
):
    rig = await start_traffic(silent_proxy.address.port)
    await fill_pool(http, rig, silent_proxy)
    opened = silent_proxy.opened
    silent_proxy.set_faults(SILENT)
    for _ in range(REQUESTS):
        await fetch(http, f"{rig.url}/songs")
    assert silent_proxy.opened == opened + 1


async def test_an_unresponsive_connection_ejects_no_server(
    http, silent_proxy, start_traffic, start_backend_server
):
    rig = await start_traffic(silent_proxy.address.port)
    await fill_pool(http, rig, silent_proxy)
    silent_proxy.set_faults(SILENT)
    calls = [fetch(http, f"{rig.url}/songs") for _ in range(REQUESTS)]
    await asyncio.gather(*calls)
    pool = rig.traffic.proxy._pools["catalogue"]
    (state,) = pool.admission.balancer.pools[0].members

    assert not state.ejected
    assert state.consecutive_failures == 0
    assert state.success_ratio > 0.999


async def test_a_payment_never_uses_a_pooled_connection(
    http, silent_proxy, start_traffic
):
    rig = await start_traffic(silent_proxy.address.port)
    await fill_pool(http, rig, silent_proxy)
    silent_proxy.set_faults(SILENT)
    status, _ = await fetch(http, f"{rig.url}/pay", "POST", data=b"x")
    assert status == 200
    assert silent_proxy.server.runs[""] == 1


async def test_a_stalled_body_is_resumed(http, start_raw_server, start_traffic):
    fields = b'ETag: "v1"\r\nAccept-Ranges: bytes\r\n'
    first = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n" + fields + b"\r\n"
    rest = b"HTTP/1.1 206 P\r\nContent-Length: 60000\r\n" + fields
    rest += b"Content-Range: bytes 40000-99999/100000\r\n\r\n" + b"b" * 60_000
    # The first connection stays open but sends nothing more.
    server = await start_raw_server([first + b"a" * 40_000], [rest])
    rig = await start_traffic(server.port)
    status, body = await fetch(http, f"{rig.url}/songs")
    assert (status, body) == (200, b"a" * 40_000 + b"b" * 60_000)


async def test_hedges_of_a_slow_server_are_limited(
    http, start_backend_server, start_traffic
):
    server = await start_backend_server(slots=64)
    rig = await start_traffic(server.address.port)
    for _ in range(4):
        await fetch(http, f"{rig.url}/songs")
    slow = f"{rig.url}/songs?delay_ms=400"
    for _ in range(4):
        await asyncio.gather(*(fetch(http, slow) for _ in range(10)))
    sent = 4 + 40
    # The budget of ten hedges, with a margin.
    assert sent <= server.counts.requests <= sent + 12


async def test_payments_leave_few_idle_connections(
    http, silent_proxy, start_traffic, wait_until
):
    rig = await start_traffic(silent_proxy.address.port)
    for _ in range(30):
        await fetch(http, f"{rig.url}/pay", "POST", data=b"x")
    await wait_until(lambda: silent_proxy.open_connections <= 4, 5.0)
