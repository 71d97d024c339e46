import asyncio

import pytest

from azurestep.control.link import Links
from azurestep.control.messages import RetryLater, Sender
from azurestep.control.waiting import FRAMES_PER_PEER, WaitingFrames
from azurestep.settings import Address
from bench.fleet import free_ports

PEER = Address("127.0.0.1", 9)


@pytest.fixture
async def links():
    opened = []
    for port in free_ports(2):
        link = Links(Sender(f"i-{port}", "dc-1", 1, "127.0.0.1", port), None)
        opened.append(link)
    yield opened
    for link in opened:
        await link.close()


async def test_first_message_on_new_connection_is_delivered(links) -> None:
    one, other = links
    other.open()
    assert one.send(other._own.address, RetryLater(5))
    async with asyncio.timeout(10):
        assert (await other.receive()).message == RetryLater(5)


async def test_message_to_unreachable_peer_is_reported_as_dropped(links) -> None:
    one, other = links
    dropped = asyncio.Event()
    one.send(other._own.address, RetryLater(5), dropped.set)
    async with asyncio.timeout(10):
        await dropped.wait()
    assert one.counters.sent_frames == 0


async def test_message_order_is_kept_while_connecting(links) -> None:
    one, other = links
    other.open()
    for number in range(20):
        one.send(other._own.address, RetryLater(number))
    async with asyncio.timeout(10):
        received = [(await other.receive()).message for _ in range(20)]
    assert received == [RetryLater(number) for number in range(20)]


def test_waiting_frames_per_peer_are_limited() -> None:
    waiting = WaitingFrames()
    taken = [waiting.add(PEER, b"x", 0.0) for _ in range(FRAMES_PER_PEER + 1)]
    assert taken == [True] * FRAMES_PER_PEER + [False]
    assert len(list(waiting.expire(10_000.0))) == FRAMES_PER_PEER
    assert len(waiting) == 0
