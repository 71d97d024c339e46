"""Drain of nodes and backend servers, and requests before a node is ready."""

import asyncio

import aiohttp
import attrs
import pytest

from standins.bodies import body_slice

GET = b"GET /songs HTTP/1.1\r\nHost: x\r\n\r\n"
SIZE = 200_000


async def send_on(reader, writer, path=b"/songs"):
    writer.write(GET.replace(b"/songs", path))
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
    length = next(
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    await reader.readexactly(length)
    return head.lower()


@pytest.mark.parametrize("path", [b"/songs", b"/track?bytes=%d" % SIZE])
async def test_a_draining_node_closes_its_callers_connections(
    start_backend_server, start_traffic, path
):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
    before = await send_on(reader, writer, path)
    rig.traffic.proxy.drain()
    after = await send_on(reader, writer, path)
    end = await asyncio.wait_for(reader.read(), 10)
    writer.close()

    assert b"connection: close" not in before
    assert b"connection: close" in after
    assert end == b""


async def test_requests_in_flight_complete_after_the_listener_closes(
    http, start_backend_server, start_traffic, wait_until
):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    url = f"{rig.url}/track?bytes={SIZE}&delay_ms=300"
    call = asyncio.create_task(_read(http, url))
    await wait_until(lambda: server.load().in_flight == 1)
    rig.traffic.proxy.drain()
    await rig.traffic.stop_listening()
    with pytest.raises(aiohttp.ClientConnectorError):
        await _read(http, f"{rig.url}/songs")
    await rig.traffic.stop()

    assert await call == body_slice("catalogue/track", 0, SIZE)


async def _read(http, url):
    async with http.get(url) as response:
        return await response.read()


async def test_a_leaving_backend_server_gets_no_new_request(
    http, start_backend_server, start_traffic
):
    servers = [await start_backend_server() for _ in range(2)]
    rig = await start_traffic(*(server.address.port for server in servers))
    for _ in range(10):
        await _read(http, f"{rig.url}/songs")
    leaving_server = servers[0]
    rig.endpoints[0] = attrs.evolve(rig.endpoints[0], leaving=True)
    rig.put_endpoints()
    while not rig.traffic.inputs.empty():
        await asyncio.sleep(0)
    before = leaving_server.counts.requests
    for _ in range(10):
        await _read(http, f"{rig.url}/songs")
    assert leaving_server.counts.requests == before


async def test_early_requests_wait_for_table_and_endpoints(
    http, start_backend_server, start_traffic
):
    server = await start_backend_server()
    rig = await start_traffic()
    early = asyncio.create_task(_read(http, f"{rig.url}/songs"))
    await asyncio.sleep(0.1)
    rig.put_table()
    await asyncio.sleep(0.1)
    assert not early.done()
    rig.put_ports(server.address.port)
    assert b'"service":"catalogue"' in await early


async def test_a_node_without_a_table_refuses_after_a_wait(http, start_traffic):
    rig = await start_traffic()
    async with http.get(f"{rig.url}/songs") as response:
        assert response.status == 503
        assert response.headers["Azurestep-Reason"] == "starting"
        assert response.headers["Azurestep-Not-Run"] == "1"


async def test_a_caller_that_disconnects_during_a_probe_frees_its_slot(
    http, start_raw_server, start_traffic, wait_until
):
    """A cancelled request must free its slot while a lost connection is probed."""
    server = await start_raw_server([None])
    rig = await start_traffic(server.port)
    proxy = rig.traffic.proxy
    probing = asyncio.Event()

    async def probe(endpoint, timeout_ms):
        probing.set()
        await asyncio.sleep(60)

    proxy._forwarder._sender.probe = probe
    call = asyncio.create_task(_read(http, f"{rig.url}/songs"))
    await probing.wait()
    call.cancel()
    await wait_until(lambda: proxy.in_flight == 0)
    (state,) = proxy._pools["catalogue"].admission.balancer.pools[0].members

    assert state.in_flight == 0
