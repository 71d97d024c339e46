from collections.abc import AsyncIterator

import aiohttp
import pytest_asyncio

from standins.log import LogStandIn


@pytest_asyncio.fixture
async def http() -> AsyncIterator[aiohttp.ClientSession]:
    timeout = aiohttp.ClientTimeout(total=30)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


@pytest_asyncio.fixture
async def log() -> AsyncIterator[LogStandIn]:
    stand_in = LogStandIn()
    await stand_in.start()
    yield stand_in
    await stand_in.close()
