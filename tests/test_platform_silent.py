import asyncio

from azurestep.environment import Environment
from azurestep.platform import client as platform_client
from azurestep.platform.client import LogClient
from azurestep.settings import ControlSettings
from standins.serving import Address
from standins.silent_proxy import Direction, Faults, SilentProxy

IN_FORCE_EVERYWHERE_MS = 17_000


async def test_silent_poll_ends_and_the_next_read_takes_a_new_connection(
    http, log, monkeypatch
):
    monkeypatch.setattr(platform_client, "READ_TIMEOUT_MS", 300)
    proxy = SilentProxy(Address(log.address.host, log.address.port))
    await proxy.start()
    url = f"http://{proxy.address.host}:{proxy.address.port}"
    client = LogClient(http, url, Environment())
    (await client.read("s", 1)).unwrap()
    poll = asyncio.create_task(client.read("s", 1, wait_ms=200))
    await asyncio.sleep(0.05)

    proxy.set_faults(Faults(silent=Direction.TO_CALLER))
    log.stream("s").append("late", time_ms=1)
    lost = await asyncio.wait_for(poll, 20)
    found = await client.read("s", 1)
    opened = proxy.opened
    await proxy.close()

    assert lost.failure() is not None
    assert [record.value for record in found.unwrap().records] == ["late"]
    assert opened == 2


def test_silent_poll_ends_well_before_a_version_must_be_in_force():
    limit_ms = ControlSettings().poll_wait_ms + platform_client.READ_TIMEOUT_MS

    assert limit_ms < IN_FORCE_EVERYWHERE_MS * 2 / 3
