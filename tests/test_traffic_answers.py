"""Answers as a caller receives them: truncation, framing and streaming."""

import asyncio
import gzip

import aiohttp
import pytest

from standins.bodies import body_slice

BIG_BYTES = 3_000_000
GET = b"GET /songs HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
STRONG = b'ETag: "v1"\r\nAccept-Ranges: bytes\r\n'


async def fetch(http, url, method="GET", **options):
    async with http.request(method, url, **options) as response:
        return response.status, response.headers, await response.read()


async def test_a_large_body_arrives_whole(http, start_backend_server, start_traffic):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    _, _, body = await fetch(http, f"{rig.url}/track?bytes={BIG_BYTES}")
    assert body == body_slice("catalogue/track", 0, BIG_BYTES)


async def test_a_truncated_body_is_resumed(http, start_backend_server, start_traffic):
    servers = [await start_backend_server() for _ in range(2)]
    rig = await start_traffic(*(server.address.port for server in servers))
    url = f"{rig.url}/track?bytes={BIG_BYTES}&cut_at=1000000"
    status, _, body = await fetch(http, url)

    assert sum(server.counts.bodies_cut for server in servers) == 1
    assert status == 200
    assert body == body_slice("catalogue/track", 0, BIG_BYTES)


async def test_a_truncated_range_is_resumed_inside_the_range(
    start_raw_server, start_traffic, raw_call
):
    first = b"HTTP/1.1 206 Partial Content\r\nContent-Length: 100000\r\n"
    first += STRONG + b"Content-Range: bytes 5-100004/200000\r\n\r\n" + b"a" * 4
    rest = b"HTTP/1.1 206 Partial Content\r\nContent-Length: 99996\r\n"
    rest += STRONG + b"Content-Range: bytes 9-100004/200000\r\n\r\n" + b"b" * 99_996
    server = await start_raw_server([first, 0.1, None], [rest])
    rig = await start_traffic(server.port)
    range_request = GET.replace(b"Host", b"Range: bytes=5-100004\r\nHost")
    answer = await raw_call(rig.port, range_request)

    assert answer.partition(b"\r\n\r\n")[2] == b"aaaa" + b"b" * 99_996
    assert b"range: bytes=9-100004\r\n" in server.requests[1].lower()
    assert b'if-range: "v1"\r\n' in server.requests[1].lower()


@pytest.mark.parametrize(
    "resumed",
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nETag: "v2"\r\n\r\n' + b"b" * 9,
        b'HTTP/1.1 206 P\r\nContent-Length: 9\r\nETag: "v2"\r\n'
        b"Content-Range: bytes 99991-99999/100000\r\n\r\n" + b"b" * 9,
        b'HTTP/1.1 206 P\r\nContent-Length: 9\r\nETag: "v1"\r\n'
        b"Content-Range: bytes 0-8/100000\r\n\r\n" + b"b" * 9,
    ],
    ids=["whole", "other_tag", "other_range"],
)
async def test_a_changed_body_is_never_appended(
    start_raw_server, start_traffic, raw_call, resumed
):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n" + STRONG + b"\r\n"
    truncated = [head + b"a" * 99_991, 0.1, None]
    server = await start_raw_server(truncated, [resumed], [resumed], [resumed])
    rig = await start_traffic(server.port)
    answer = await raw_call(rig.port, GET)
    assert b"b" not in answer.partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n",
    ],
    ids=["declared", "chunked"],
)
async def test_a_truncation_that_cannot_be_resumed_is_visible(
    http, start_raw_server, start_traffic, head
):
    server = await start_raw_server([head + b"a" * 65536, 0.1, None])
    rig = await start_traffic(server.port)
    with pytest.raises(aiohttp.ClientPayloadError):
        await fetch(http, f"{rig.url}/songs")


async def test_a_small_truncated_body_is_retried(http, start_raw_server, start_traffic):
    truncated = [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", None]
    server = await start_raw_server(truncated, [OK])
    rig = await start_traffic(server.port)
    status, _, body = await fetch(http, f"{rig.url}/songs")
    assert (status, body) == (200, b"hello")


async def test_an_unexpected_second_answer_is_not_used_for_the_next_request(
    http, start_raw_server, start_traffic
):
    late = OK.replace(b"hello", b"wrong")
    server = await start_raw_server([OK + late], [OK], [OK])
    rig = await start_traffic(server.port)
    bodies = [(await fetch(http, f"{rig.url}/songs"))[2] for _ in range(2)]
    assert bodies == [b"hello", b"hello"]


async def test_an_answer_after_the_deadline_is_discarded(
    http, start_raw_server, start_traffic
):
    late = OK.replace(b"hello", b"wrong")
    server = await start_raw_server([0.3, late], *([[0.4, OK]] * 3))
    rig = await start_traffic(server.port)
    deadline = {"Azurestep-Deadline-Ms": "100"}
    status, _, _ = await fetch(http, f"{rig.url}/songs", headers=deadline)
    _, _, body = await fetch(http, f"{rig.url}/songs")
    assert (status, body) == (504, b"hello")


async def test_head_keeps_the_length_and_has_no_body(
    start_raw_server, start_traffic, raw_call
):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 7000000\r\n\r\n"
    server = await start_raw_server([head])
    rig = await start_traffic(server.port)
    answer = await raw_call(rig.port, GET.replace(b"GET", b"HEAD"))

    fields, _, body = answer.partition(b"\r\n\r\n")
    assert b"content-length: 7000000" in fields.lower()
    assert body == b""


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
async def test_an_answer_without_a_body_ends_at_its_head(
    start_raw_server, start_traffic, raw_call, status
):
    server = await start_raw_server([b"HTTP/1.1 " + status + b"\r\n\r\n"])
    rig = await start_traffic(server.port)
    answer = await raw_call(rig.port, GET)

    assert answer.startswith(b"HTTP/1.1 " + status[:3])
    assert answer.endswith(b"\r\n\r\n")
    assert b"chunked" not in answer.lower()


async def test_a_chunked_body_with_trailers_arrives_whole(
    http, start_raw_server, start_traffic
):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
    chunks = b"5\r\nhello\r\n6\r\n world\r\n0\r\nX-Sum: 1\r\n\r\n"
    server = await start_raw_server([head, 0.05, chunks])
    rig = await start_traffic(server.port)
    _, headers, body = await fetch(http, f"{rig.url}/songs")
    assert body == b"hello world"
    assert "Trailer" not in headers


async def test_a_close_delimited_body_closes_the_callers_connection(
    start_raw_server, start_traffic, raw_call
):
    server = await start_raw_server([b"HTTP/1.1 200 OK\r\n\r\nhello", None])
    rig = await start_traffic(server.port)
    keep_alive = GET.replace(b"Connection: close\r\n", b"")
    answer = await raw_call(rig.port, keep_alive)

    assert answer.endswith(b"\r\n\r\nhello")
    assert b"connection: close" in answer.lower()


async def test_the_body_for_a_slow_caller_is_not_buffered(
    start_backend_server, start_traffic, wait_until
):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port, limit=1024)
    size = 60_000_000
    writer.write(GET.replace(b"/songs", b"/track?bytes=%d" % size))
    await asyncio.sleep(1.0)
    completed_early = server.counts.completed
    received = len(await reader.readuntil(b"\r\n\r\n")) and 0
    while chunk := await reader.read(1 << 20):
        received += len(chunk)
    writer.close()

    assert completed_early == 0
    assert received == size


async def test_a_run_is_cancelled_when_its_caller_disconnects(
    start_backend_server, start_traffic, wait_until
):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    _, writer = await asyncio.open_connection("127.0.0.1", rig.port)
    writer.write(GET.replace(b"/songs", b"/slow?delay_ms=60000"))
    await wait_until(lambda: server.load().in_flight == 1)
    writer.close()

    await wait_until(lambda: server.counts.cancelled == 1)
    await wait_until(lambda: rig.traffic.proxy.in_flight == 0)


async def test_a_large_request_body_is_streamed(
    http, start_backend_server, start_traffic
):
    server = await start_backend_server()
    rig = await start_traffic(server.address.port)
    body = b"x" * (3 * 1024 * 1024)
    status, _, _ = await fetch(http, f"{rig.url}/upload", "PUT", data=body)
    assert status == 200


async def test_a_compressed_request_body_stays_compressed(
    http, start_raw_server, start_traffic
):
    server = await start_raw_server([OK])
    rig = await start_traffic(server.port)
    body = gzip.compress(b"x" * 5000)
    headers = {"Content-Encoding": "gzip"}
    await fetch(http, f"{rig.url}/u", "PUT", data=body, headers=headers)
    assert b"content-length: %d\r\n" % len(body) in server.requests[0].lower()


async def test_a_caller_that_expects_100_continue_receives_it(
    start_raw_server, start_traffic
):
    server = await start_raw_server([OK])
    rig = await start_traffic(server.port)
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
    head = b"PUT /u HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
    writer.write(head + b"Expect: 100-continue\r\n\r\n")
    line = await asyncio.wait_for(reader.readline(), 10)
    writer.write(b"ab")
    await reader.readline()
    answer = await asyncio.wait_for(reader.readline(), 10)
    writer.close()
    assert line == b"HTTP/1.1 100 Continue\r\n"
    assert answer.startswith(b"HTTP/1.1 200")


async def test_an_absolute_target_is_forwarded_in_origin_form(
    start_raw_server, start_traffic, raw_call
):
    server = await start_raw_server([OK])
    rig = await start_traffic(server.port)
    await raw_call(rig.port, GET.replace(b"/songs", b"http://x/a%2Fb?q=1"))
    assert server.requests[0].startswith(b"GET /a%2Fb?q=1 HTTP/1.1\r\n")
