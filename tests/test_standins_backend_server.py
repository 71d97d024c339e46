import asyncio

import aiohttp
import pytest

from standins.backend_settings import Faults
from standins.bodies import body_slice

SIZE_BYTES = 200_000


async def fetch(http, url, method="GET", **options):
    async with http.request(method, url, **options) as response:
        return response.status, response.headers, await response.read()


async def test_get_names_the_service_and_instance(http, start_backend_server):
    server = await start_backend_server("catalogue")
    async with http.get(f"{server.url}/songs/7") as response:
        answer = await response.json()

    assert answer["service"] == "catalogue"
    assert answer["instance"] == server.instance
    assert (answer["path"], answer["method"], answer["run"]) == ("/songs/7", "GET", 1)


async def test_runs_are_counted_per_key(http, start_backend_server):
    server = await start_backend_server("licensing")
    for key in ("a", "b", "a"):
        headers = {"Idempotency-Key": key}
        await fetch(http, f"{server.url}/buy", "POST", headers=headers, data=b"x")
    await fetch(http, f"{server.url}/buy", "POST")
    await fetch(http, f"{server.url}/buy", "GET", headers={"Idempotency-Key": "a"})
    async with http.get(f"{server.url}/_standin/runs") as response:
        assert await response.json() == {"a": 2, "b": 1, "": 1}


async def test_bodies_are_alike_on_all_instances(http, start_backend_server):
    first = await start_backend_server()
    second = await start_backend_server()
    path = f"/track?bytes={SIZE_BYTES}"
    _, headers, body = await fetch(http, first.url + path)
    _, other_headers, other_body = await fetch(http, second.url + path)

    assert body == other_body == body_slice("catalogue/track", 0, SIZE_BYTES)
    assert headers["ETag"] == other_headers["ETag"]
    assert not headers["ETag"].startswith("W/")


@pytest.mark.parametrize(
    ("asked", "start", "stop"),
    [
        ("bytes=70000-", 70_000, SIZE_BYTES),
        ("bytes=5-9", 5, 10),
        ("bytes=-3", SIZE_BYTES - 3, SIZE_BYTES),
    ],
)
async def test_range_is_honoured(http, start_backend_server, asked, start, stop):
    server = await start_backend_server()
    url = f"{server.url}/track?bytes={SIZE_BYTES}"
    _, whole_headers, whole = await fetch(http, url)
    conditions = {"Range": asked, "If-Range": whole_headers["ETag"]}
    status, headers, part = await fetch(http, url, headers=conditions)

    assert status == 206
    assert headers["Content-Range"] == f"bytes {start}-{stop - 1}/{SIZE_BYTES}"
    assert part == whole[start:stop]


async def test_range_of_another_version_gets_the_whole(http, start_backend_server):
    server = await start_backend_server()
    url = f"{server.url}/track?bytes=100"
    conditions = {"Range": "bytes=50-", "If-Range": '"older"'}
    status, _, body = await fetch(http, url, headers=conditions)

    assert (status, len(body)) == (200, 100)


async def test_range_outside_the_body_is_refused(http, start_backend_server):
    server = await start_backend_server()
    url = f"{server.url}/track?bytes=100"
    status, headers, _ = await fetch(http, url, headers={"Range": "bytes=100-"})

    assert (status, headers["Content-Range"]) == (416, "bytes */100")


@pytest.mark.parametrize("chunked", ["0", "1"])
async def test_cut_body_is_cut(http, start_backend_server, chunked):
    server = await start_backend_server()
    url = f"{server.url}/track?bytes=1000&cut_at=400&chunked={chunked}"
    async with http.get(url) as response:
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async for part in response.content.iter_any():
                received += part
    resumed, _, rest = await fetch(http, url, headers={"Range": "bytes=400-"})

    assert received == body_slice("catalogue/track", 0, 400)
    assert (resumed, len(rest)) == (206, 600)
    assert server.counts.bodies_cut == 1


async def test_cut_is_made_once_per_request_identifier(http, start_backend_server):
    server = await start_backend_server()
    url = f"{server.url}/track?bytes=1000&cut_at=0&request=r1"
    with pytest.raises(aiohttp.ClientPayloadError):
        await fetch(http, url)
    _, _, body = await fetch(http, url)
    with pytest.raises(aiohttp.ClientPayloadError):
        await fetch(http, url + "&cut_always=1")

    assert len(body) == 1000


async def test_requests_over_the_slots_are_refused(
    http, start_backend_server, wait_until
):
    server = await start_backend_server(slots=2)
    url = f"{server.url}/pay?delay_ms=500"
    running = [asyncio.create_task(fetch(http, url, "POST")) for _ in range(2)]
    await wait_until(lambda: server.load().in_flight == 2)
    status, headers, _ = await fetch(http, f"{server.url}/pay", "POST")
    answers = await asyncio.gather(*running)

    assert (status, headers["Azurestep-Not-Run"]) == (503, "1")
    assert int(headers["Retry-After-Ms"]) > 0
    assert [answer[0] for answer in answers] == [200, 200]
    assert server.runs[""] == 2


async def test_connections_over_the_limit_are_closed(start_backend_server):
    server = await start_backend_server(connections=3)
    address = (server.address.host, server.address.port)
    opened = await asyncio.gather(
        *(asyncio.open_connection(*address) for _ in range(10))
    )
    reads = [asyncio.create_task(reader.read(1)) for reader, _ in opened]
    closed, kept = await asyncio.wait(reads, timeout=0.3)
    for _, writer in opened:
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    answers = await asyncio.gather(*kept)

    assert {task.result() for task in closed} == {b""}
    assert len(closed) == 7
    assert answers == [b"H"] * 3


async def test_work_stops_at_the_deadline(http, start_backend_server):
    server = await start_backend_server()
    url = f"{server.url}/slow?delay_ms=60000"
    status, _, _ = await fetch(http, url, headers={"Azurestep-Deadline-Ms": "30"})

    assert status == 504
    assert server.counts.deadlines_passed == 1


async def test_work_stops_when_the_caller_goes_away(
    http, start_backend_server, wait_until
):
    server = await start_backend_server()
    call = asyncio.create_task(fetch(http, f"{server.url}/slow?delay_ms=60000"))
    await wait_until(lambda: server.load().in_flight == 1)
    call.cancel()
    await wait_until(lambda: server.load().in_flight == 0)

    assert server.counts.cancelled == 1
    assert server.counts.completed == 0


async def test_crash_cuts_the_request_and_stops_listening(http, start_backend_server):
    server = await start_backend_server()
    with pytest.raises(aiohttp.ClientConnectionError):
        await fetch(http, f"{server.url}/buy", "POST", headers={"X-Standin-Crash": "1"})
    with pytest.raises(aiohttp.ClientConnectorError):
        await fetch(http, f"{server.url}/songs")
    assert server.runs[""] == 1


async def test_load_endpoint_lies_on_demand(http, start_backend_server, wait_until):
    server = await start_backend_server()
    server.set_faults(Faults(frozen_load=True))
    call = asyncio.create_task(fetch(http, f"{server.url}/slow?delay_ms=60000"))
    await wait_until(lambda: server.counts.started == 1)
    async with http.get(f"{server.url}/_standin/load") as response:
        frozen = await response.json()
    server.set_faults(Faults(false_load=9, false_health=False))
    async with http.get(f"{server.url}/_standin/health") as response:
        false = await response.json()
    server.set_faults(Faults())
    true = server.load()
    call.cancel()

    assert frozen == {"in_flight": 0, "slots": 12}
    assert false == {"healthy": False, "in_flight": 9, "slots": 12}
    assert true.in_flight == 1


async def test_fast_errors_run_nothing(http, start_backend_server):
    server = await start_backend_server()
    async with http.put(
        f"{server.url}/_standin/faults", json={"fast_error_ratio": 1.0}
    ) as response:
        assert response.status == 200
    status, _, _ = await fetch(http, f"{server.url}/buy", "POST")

    assert status == 500
    assert server.runs[""] == 0


async def test_announces_and_renews(start_backend_server, node, wait_until):
    server = await start_backend_server("catalogue", announce_url=node.url, slots=5)
    await wait_until(lambda: len(node.announcements) >= 3)

    assert node.announcements[0] == {
        "service": "catalogue",
        "host": "127.0.0.1",
        "port": server.address.port,
        "incarnation": server.incarnation,
        "slots": 5,
        "connections": 130,
        "ready": True,
    }


async def test_announces_again_when_the_node_is_back(
    start_backend_server, node, wait_until
):
    port = node.server.address.port
    await node.server.close()
    await start_backend_server(announce_url=f"http://127.0.0.1:{port}")
    await asyncio.sleep(0.05)
    assert node.announcements == []

    await node.start(port)

    await wait_until(lambda: len(node.announcements) >= 1)


async def test_leaving_waits_for_safe_and_finishes_requests(
    http, start_backend_server, node, wait_until
):
    server = await start_backend_server(announce_url=node.url)
    url = f"{server.url}/track?bytes=5000000&delay_ms=400"
    call = asyncio.create_task(fetch(http, url))
    await wait_until(lambda: server.load().in_flight == 1)
    status, _, _ = await fetch(http, f"{server.url}/_standin/leave", "POST")
    await wait_until(lambda: node.left != [])
    served_while_leaving, _, _ = await fetch(http, f"{server.url}/songs")
    assert not server.finished.is_set()

    node.safe = True
    await asyncio.wait_for(server.finished.wait(), 20)

    assert (status, served_while_leaving) == (202, 200)
    assert node.left == [server.incarnation]
    assert len((await call)[2]) == 5_000_000
