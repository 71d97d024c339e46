"""Concurrent publications while the log has outages and loses answers."""

import asyncio
import random

import attrs
import pytest

from azurestep.config.fold import Accepted, ConfigurationFold, Refused
from azurestep.config.records import STREAM
from azurestep.environment import Environment
from azurestep.errors import LogRestoredError
from azurestep.operations.continuing import continue_log
from azurestep.operations.node_client import HeldConfiguration
from azurestep.operations.publisher import Publisher
from azurestep.platform.client import LogClient
from standins.log import Faults, LogSettings, LogStandIn
from tests.fixtures_fold import initial_change, timeout_change

OPERATORS = 4
PUBLICATIONS = 25
DEADLINE_MS = 60_000
LOSSES = Faults(lose_answer_ratio=0.1)


class FakeNode:
    """Returns the configuration of a fold, like a node's operator endpoint."""

    def __init__(self, fold):
        self.fold = fold

    async def configuration(self):
        state = self.fold.state
        document = state.document
        return HeldConfiguration(
            state.version, state.as_of, document.hash.hex(), document
        )


def deadline_ms(environment):
    return environment.clock.monotonic_ms() + DEADLINE_MS


async def follow(client, fold, decided, versions):
    while True:
        result = await client.read(STREAM, fold.next_offset, wait_ms=200)
        page = result.value_or(None)
        if page is None:
            await asyncio.sleep(0.02)
            continue
        for event in fold.apply_page(page):
            if isinstance(event, Accepted | Refused):
                decided[event.id] = type(event)
        versions.append(fold.state.version)


async def publish_all(publisher, node, operator, environment):
    verdicts = []
    for number in range(PUBLICATIONS):
        held = await node.configuration()
        change = timeout_change(1000 + operator * 100 + number)
        result = await publisher.publish(change, held, deadline_ms(environment))
        verdicts.append(result.unwrap())
    return verdicts


async def stop_twice(log):
    for _ in range(2):
        await asyncio.sleep(0.3)
        log.set_faults(attrs.evolve(LOSSES, outage=True))
        await asyncio.sleep(0.3)
        log.set_faults(LOSSES)


async def test_racing_operators_get_the_outcome_of_every_publication(http):
    log = LogStandIn(LogSettings(appends_per_second=1000, seed=11))
    await log.start()
    environment = Environment(random=random.Random(3))
    client = LogClient(http, log.url, environment)
    folds = [ConfigurationFold() for _ in range(3)]
    decided, versions = [{} for _ in folds], [[] for _ in folds]
    followers = [
        asyncio.create_task(follow(client, *each))
        for each in zip(folds[:2], decided, versions, strict=False)
    ]
    nodes = [FakeNode(folds[n % 2]) for n in range(OPERATORS)]
    publishers = [Publisher(client, node, environment, "ann") for node in nodes]
    held = await nodes[0].configuration()
    await publishers[0].publish(initial_change(), held, deadline_ms(environment))
    log.set_faults(LOSSES)
    stops = asyncio.create_task(stop_twice(log))

    verdicts = await asyncio.gather(
        *(
            publish_all(publisher, nodes[n], n, environment)
            for n, publisher in enumerate(publishers)
        )
    )
    await stops
    log.set_faults(Faults())
    followers.append(
        asyncio.create_task(follow(client, folds[2], decided[2], versions[2]))
    )
    end = log.stream(STREAM).next_offset
    async with asyncio.timeout(20):
        while any(fold.next_offset < end for fold in folds):
            await asyncio.sleep(0.01)
    for task in followers:
        task.cancel()
    stats = log.stats().total
    await log.close()

    reported = {v.id: type(v.event) for each in verdicts for v in each}
    assert len(reported) == OPERATORS * PUBLICATIONS
    assert stats.answers_lost > 0
    assert stats.unavailable > 0
    assert {Accepted, Refused} == set(reported.values())
    for fold, outcomes, seen in zip(folds, decided, versions, strict=True):
        assert fold.state.version == folds[0].state.version
        assert fold.state.document.hash == folds[0].state.document.hash
        assert {id: outcomes[id] for id in reported} == reported
        assert seen == sorted(seen)


@pytest.fixture
async def restored(http, log):
    """A publisher, node and client of a log restored to an older state."""
    environment = Environment(random=random.Random(3))
    client = LogClient(http, log.url, environment)
    node = FakeNode(ConfigurationFold())
    publisher = Publisher(client, node, environment, "ann")
    held = await node.configuration()
    await publisher.publish(initial_change(), held, deadline_ms(environment))
    for timeout_ms in (1100, 1200):
        page = (await client.read(STREAM, node.fold.next_offset)).unwrap()
        node.fold.apply_page(page)
        change = timeout_change(timeout_ms)
        held = await node.configuration()
        await publisher.publish(change, held, deadline_ms(environment))
    node.fold.apply_page((await client.read(STREAM, node.fold.next_offset)).unwrap())
    log.restore(2)
    return publisher, node, client, environment


async def test_publishing_on_a_restored_log_is_refused(restored, log):
    publisher, node, _, environment = restored
    held = await node.configuration()

    result = await publisher.publish(
        timeout_change(1300), held, deadline_ms(environment)
    )

    assert isinstance(result.failure(), LogRestoredError)
    assert log.stream(STREAM).next_offset == 2


async def test_continued_log_accepts_publications_and_new_readers(restored):
    publisher, node, client, environment = restored
    before = node.fold.state.version
    held = await node.configuration()
    await continue_log(client, held, "ann", deadline_ms(environment))

    verdict = await publisher.publish(
        timeout_change(1300), held, deadline_ms(environment)
    )

    new_reader = ConfigurationFold()
    for fold in (node.fold, new_reader, new_reader):
        fold.apply_page((await client.read(STREAM, fold.next_offset)).unwrap())
    assert verdict.unwrap().is_accepted
    assert new_reader.state.version == node.fold.state.version > before
    assert new_reader.state.document.hash == node.fold.state.document.hash
