import asyncio

import pytest
import uvloop

from standins.silent_proxy import Direction, Faults, SilentProxy
from tests.fixtures_standins import Echo

BOUND_S = 20


async def exchange(connection, sent):
    reader, writer = connection
    writer.write(sent)
    return await asyncio.wait_for(reader.readexactly(len(sent)), BOUND_S)


async def open_to(proxy):
    return await asyncio.open_connection(proxy.address.host, proxy.address.port)


async def stays_quiet(connection, sent):
    reader, writer = connection
    writer.write(sent)
    try:
        return await asyncio.wait_for(reader.read(1), 0.1)
    except TimeoutError:
        return None


async def test_relays_both_ways(proxy, echo):
    big = b"x" * 3_000_000
    connection = await open_to(proxy)

    assert await exchange(connection, big) == big


def test_first_bytes_are_kept_on_uvloop():
    # Under uvloop bytes arrive although reading was paused as the connection opened.
    async def relay_first_bytes():
        echo = Echo()
        await echo.start()
        proxy = SilentProxy(echo.address)
        await proxy.start()
        received = await exchange(await open_to(proxy), b"first")
        await proxy.close()
        echo.server.close()
        return received

    assert uvloop.run(relay_first_bytes()) == b"first"


async def test_end_of_one_side_reaches_the_other(proxy, echo, wait_until):
    reader, writer = await open_to(proxy)
    writer.write(b"last")
    writer.write_eof()

    assert await asyncio.wait_for(reader.read(), BOUND_S) == b"last"
    writer.close()
    await wait_until(lambda: proxy.open_connections == 0)


@pytest.mark.parametrize(
    ("direction", "target_sees"),
    [
        (Direction.BOTH, b""),
        (Direction.TO_TARGET, b""),
        (Direction.TO_CALLER, b"lost"),
    ],
)
async def test_silent_connection_swallows_while_new_ones_work(
    proxy, echo, wait_until, direction, target_sees
):
    old = await open_to(proxy)
    await exchange(old, b"before")
    echo.received.clear()
    proxy.set_faults(Faults(silent=direction))

    assert await stays_quiet(old, b"lost") is None
    await wait_until(lambda: bytes(echo.received) == target_sees)
    new = await open_to(proxy)
    assert await exchange(new, b"new") == b"new"

    proxy.set_faults(Faults())
    assert await stays_quiet(old, b"still lost") is None


async def test_silent_connection_hides_that_the_caller_closed(proxy, echo):
    old = await open_to(proxy)
    await exchange(old, b"before")
    proxy.set_faults(Faults(silent=Direction.BOTH))
    old[1].close()
    await old[1].wait_closed()
    await asyncio.sleep(0.05)

    assert echo.open == 1


async def test_held_bytes_are_delivered_when_cleared(proxy, echo):
    old = await open_to(proxy)
    await exchange(old, b"before")
    proxy.set_faults(Faults(hold=Direction.TO_CALLER))
    new = await open_to(proxy)
    assert await stays_quiet(old, b"old") is None
    assert await stays_quiet(new, b"new") is None

    proxy.set_faults(Faults())

    assert await asyncio.wait_for(old[0].readexactly(3), BOUND_S) == b"old"
    assert await asyncio.wait_for(new[0].readexactly(3), BOUND_S) == b"new"


async def test_cut_resets_old_and_refuses_new(proxy, echo):
    old = await open_to(proxy)
    await exchange(old, b"before")
    proxy.set_faults(Faults(cut=True))
    new = await open_to(proxy)

    assert await asyncio.wait_for(old[0].read(1), BOUND_S) == b""
    assert await asyncio.wait_for(new[0].read(1), BOUND_S) == b""
    proxy.set_faults(Faults())
    healed = await open_to(proxy)
    assert await exchange(healed, b"healed") == b"healed"


async def test_faults_are_set_over_http(proxy, echo, http):
    url = f"{proxy.control.url}/faults"
    async with http.put(url, json={"silent": "to_caller"}) as response:
        assert response.status == 204
    async with http.put(url, json={"silent": "sideways"}) as response:
        assert response.status == 400

    assert proxy.faults == Faults(silent=Direction.TO_CALLER)


async def test_target_away_closes_the_caller(echo):
    echo.server.close()
    proxy = SilentProxy(echo.address)
    await proxy.start()
    reader, _ = await open_to(proxy)

    assert await asyncio.wait_for(reader.read(1), BOUND_S) == b""
    await proxy.close()
