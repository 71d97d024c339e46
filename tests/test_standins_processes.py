import asyncio

import aiohttp
import orjson
import pytest

BOUND_S = 60


async def ready_url(process, port="port"):
    line = await asyncio.wait_for(process.stdout.readline(), BOUND_S)
    ready = orjson.loads(line)
    return f"http://{ready['host']}:{ready[port]}"


async def exit_code(process):
    return await asyncio.wait_for(process.wait(), BOUND_S)


async def in_flight(http, url):
    async with http.get(f"{url}/_standin/load") as response:
        return (await response.json())["in_flight"]


async def test_log_serves_until_terminated(http, start_process):
    process = await start_process("standins.log", "--retention-records", "1")
    url = await ready_url(process)
    for value in (1, 2):
        async with http.post(f"{url}/streams/s/records", json=value) as response:
            assert response.status == 200
    async with http.get(f"{url}/streams/s/records") as response:
        page = await response.json()
    process.terminate()

    assert page["first_offset"] == 2
    assert await exit_code(process) == 0


async def test_backend_server_leaves_when_terminated(
    http, start_process, node, wait_until
):
    process = await start_process(
        "standins.backend_server", "--service", "catalogue", "--announce", node.url
    )
    url = await ready_url(process)
    await wait_until(lambda: node.announcements != [])
    call = asyncio.create_task(http.get(f"{url}/slow?delay_ms=3000"))
    while (await in_flight(http, url)) == 0:
        await asyncio.sleep(0.01)
    process.terminate()
    await wait_until(lambda: node.left != [])
    node.safe = True
    response = await call

    assert response.status == 200
    assert (await response.json())["service"] == "catalogue"
    assert await exit_code(process) == 0


async def test_backend_server_process_dies_of_a_crash_request(http, start_process):
    process = await start_process("standins.backend_server", "--service", "licensing")
    url = await ready_url(process)
    with pytest.raises(aiohttp.ClientConnectionError):
        await http.post(f"{url}/buy", headers={"X-Standin-Crash": "1"})

    assert await exit_code(process) == 70


async def test_silent_proxy_relays_between_processes(http, start_process):
    server = await start_process("standins.backend_server", "--service", "catalogue")
    target = (await ready_url(server)).removeprefix("http://")
    proxy = await start_process("standins.silent_proxy", "--target", target)
    line = await asyncio.wait_for(proxy.stdout.readline(), BOUND_S)
    ready = orjson.loads(line)
    relayed = f"http://{ready['host']}:{ready['port']}/t?bytes=3000000"
    control = f"http://{ready['host']}:{ready['control_port']}/faults"
    async with http.get(relayed) as response:
        whole = await response.read()
    async with http.put(control, json={"cut": True}) as response:
        assert response.status == 204
    with pytest.raises(aiohttp.ClientConnectionError):
        await http.get(relayed)

    assert len(whole) == 3_000_000
