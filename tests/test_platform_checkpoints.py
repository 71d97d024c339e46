"""Checkpoints are due after a number of records or an interval."""

import asyncio

import attrs
import pytest

from azurestep.config.fold import CheckpointRead
from azurestep.control.outputs import Folded
from azurestep.environment import Environment
from azurestep.node.control import ControlService
from azurestep.settings import ControlSettings, Settings
from tests.fixtures_fold import initial_change

INTERVAL_MS = 60_000


@attrs.define
class FakeClock:
    at_ms: float = 0.0

    def now_ms(self):
        return int(self.at_ms)

    def monotonic_ms(self):
        return self.at_ms


@pytest.fixture
async def control(fake_log):
    control_settings = ControlSettings(
        checkpoint_interval_ms=INTERVAL_MS, checkpoint_records=10
    )
    settings = Settings(
        "n1",
        "kingston",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        "http://127.0.0.1:9",
        control=control_settings,
    )
    service = ControlService(settings, Environment(clock=FakeClock()), asyncio.Queue())
    fake_log.publish("first", 0, initial_change())
    fake_log.feed(service.spread.fold)
    yield service
    await service.links.close()


async def test_checkpoint_is_due_by_count(control, fake_log):
    assert not control.is_checkpoint_due()

    for number in range(10):
        fake_log.publish(f"stale{number}", 0, initial_change())
    fake_log.feed(control.spread.fold)

    assert control.is_checkpoint_due()


async def test_checkpoint_is_due_by_age_unless_another_writer_was_first(control):
    control.environment.clock.at_ms = INTERVAL_MS
    assert control.is_checkpoint_due()

    control._perform(Folded(CheckpointRead(2, 1)))

    assert not control.is_checkpoint_due()
