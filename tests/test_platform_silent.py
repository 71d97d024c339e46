"""A connection that stops delivering bytes does not block reads."""

import asyncio

from azurestep.environment import Environment
from azurestep.platform import client as platform_client
from azurestep.platform.client import LogClient
from azurestep.settings import ControlSettings
from standins.serving import Address
from standins.silent_proxy import Direction, Faults, SilentProxy

PROPAGATION_LIMIT_MS = 17_000
"""Propagation limit of the control plane."""


async def test_unanswered_poll_times_out_and_the_next_read_reconnects(
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


def test_poll_timeout_is_well_below_the_propagation_limit():
    limit_ms = ControlSettings().poll_wait_ms + platform_client.READ_TIMEOUT_MS

    assert limit_ms < PROPAGATION_LIMIT_MS * 2 / 3
