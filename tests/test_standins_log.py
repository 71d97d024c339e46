import asyncio

import aiohttp
import pytest

from standins.log import Faults, LogSettings, LogStandIn
from standins.log_store import Retention, Stream

LONG_POLL_MS = 20_000


def records_url(log, stream="configuration"):
    return f"{log.url}/streams/{stream}/records"


async def append(http, log, value, stream="configuration"):
    async with http.post(records_url(log, stream), json=value) as response:
        return response.status, await response.read()


async def read(http, log, stream="configuration", **query):
    async with http.get(records_url(log, stream), params=query) as response:
        assert response.status == 200
        return await response.json()


async def test_offsets_are_dense_per_stream(http, log):
    for value in (1, "two", {"three": [3]}):
        await append(http, log, value)
    await append(http, log, "other", stream="audit")

    page = await read(http, log, **{"from": 2, "limit": 1})
    other = await read(http, log, stream="audit")

    assert (page["first_offset"], page["next_offset"]) == (1, 4)
    assert [(r["offset"], r["value"]) for r in page["records"]] == [(2, "two")]
    assert [r["offset"] for r in other["records"]] == [1]


async def test_long_poll_is_answered_by_the_append(http, log):
    query = {"from": 1, "wait_ms": LONG_POLL_MS}
    poll = asyncio.create_task(read(http, log, **query))
    await asyncio.sleep(0.05)
    assert not poll.done()

    await append(http, log, "late")

    page = await asyncio.wait_for(poll, LONG_POLL_MS / 2000)
    assert [r["value"] for r in page["records"]] == ["late"]


async def test_long_poll_ends_empty(http, log):
    page = await read(http, log, **{"from": 1, "wait_ms": 30})

    assert page == {"first_offset": 1, "next_offset": 1, "records": []}


async def test_appends_over_capacity_are_refused(http):
    log = LogStandIn(LogSettings(appends_per_second=0.1, burst=2))
    await log.start()
    statuses = [(await append(http, log, n))[0] for n in range(3)]
    async with http.post(records_url(log), json=4) as response:
        retry_after_ms = int(response.headers["Retry-After-Ms"])
        retry_after_s = int(response.headers["Retry-After"])
    stats = log.stats().total
    await log.close()

    assert statuses == [200, 200, 429]
    assert 0 < retry_after_ms <= 10_000
    assert retry_after_s * 1000 >= retry_after_ms
    assert (stats.appends, stats.refused) == (2, 2)


def test_retention_by_count_moves_first_offset():
    stream = Stream(Retention(records=2))
    for value in range(5):
        stream.append(value, time_ms=0)

    page = stream.read(1, limit=10, time_ms=0)

    assert (page.first_offset, page.next_offset) == (4, 6)
    assert [r.offset for r in page.records] == [4, 5]


def test_retention_by_age_moves_first_offset_to_next():
    stream = Stream(Retention(age_ms=1000))
    stream.append("a", time_ms=0)
    stream.append("b", time_ms=600)

    assert stream.read(1, limit=10, time_ms=1000).first_offset == 2
    assert stream.read(1, limit=10, time_ms=1600).first_offset == 3
    assert stream.read(1, limit=10, time_ms=1600).next_offset == 3


async def test_bodies_over_the_limit_are_refused(http, log):
    fits, _ = await append(http, log, "x" * (1024 * 1024 - 2))
    over, _ = await append(http, log, "x" * (1024 * 1024 - 1))

    assert (fits, over) == (200, 413)
    assert log.stream("configuration").next_offset == 2


async def test_outage_refuses_all_until_cleared(http, log):
    async with http.put(f"{log.url}/faults", json={"outage": True}) as response:
        assert response.status == 200
    refused, _ = await append(http, log, "lost")
    async with http.get(records_url(log)) as response:
        assert response.status == 503
    async with http.put(f"{log.url}/faults", json={}) as response:
        assert response.status == 200
    accepted, _ = await append(http, log, "kept")

    assert (refused, accepted) == (503, 200)
    assert log.stream("configuration").next_offset == 2
    assert log.stats().total.unavailable == 2


async def test_outage_and_hang_reach_open_long_polls(http, log, wait_until):
    url = f"{records_url(log, 'broken')}?from=1&wait_ms={LONG_POLL_MS}"
    broken = asyncio.create_task(http.get(url))
    await wait_until(lambda: "broken" in log.stats().streams)
    log.set_faults(Faults(outage=True))
    response = await asyncio.wait_for(broken, LONG_POLL_MS / 2000)
    log.set_faults(Faults())
    url = f"{records_url(log, 'held')}?from=1&wait_ms=200"
    held = asyncio.create_task(http.get(url))
    await wait_until(lambda: "held" in log.stats().streams)
    log.set_faults(Faults(hang=True))
    await asyncio.sleep(0.4)
    answered_in_hang = held.done()
    log.set_faults(Faults())

    assert response.status == 503
    assert not answered_in_hang
    assert (await held).status == 200


async def test_lost_answer_took_effect(http, log):
    log.set_faults(Faults(lose_answer_ratio=1.0))
    with pytest.raises(aiohttp.ClientConnectionError):
        await append(http, log, "unanswered")
    log.set_faults(Faults())

    page = await read(http, log)

    assert [r["value"] for r in page["records"]] == ["unanswered"]
    assert log.stats().streams["configuration"].answers_lost == 1


async def test_hang_answers_once_cleared(http, log):
    log.set_faults(Faults(hang=True))
    held = asyncio.create_task(append(http, log, "held"))
    await asyncio.sleep(0.05)
    assert not held.done()
    assert log.stream("configuration").next_offset == 1

    log.set_faults(Faults())

    status, _ = await held
    assert status == 200


async def test_unknown_fault_is_refused(http, log):
    async with http.put(f"{log.url}/faults", json={"outrage": True}) as response:
        assert response.status == 400
        assert "outage" in await response.text()


async def test_restore_lets_offsets_regress(http, log):
    for value in range(4):
        await append(http, log, value)
    async with http.post(f"{log.url}/restore?next_offset=3") as response:
        assert response.status == 204
    await append(http, log, "again")

    page = await read(http, log)

    assert [r["value"] for r in page["records"]] == [0, 1, "again"]
    assert page["next_offset"] == 4


async def test_stats_count_bytes_per_stream(http, log):
    await append(http, log, "abc")
    await read(http, log)
    async with http.get(f"{log.url}/stats") as response:
        stats = await response.json()

    stream = stats["streams"]["configuration"]
    assert (stream["appends"], stream["reads"], stream["in_bytes"]) == (1, 1, 5)
    assert stream["out_bytes"] > 5
    assert stats["total"]["peak_appends_per_second"] == 1
