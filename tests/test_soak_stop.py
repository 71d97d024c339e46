"""A planned stop of the soak kills the process that it stopped, and no later one."""

import asyncio
import signal

import attrs
import pytest

from soak import plan
from soak.faults import strike


@attrs.define(eq=False)
class FakeProcess:
    """A process that ignores SIGTERM; an end after it is recorded."""

    signals: list[int] = attrs.field(factory=list)

    def kill(self) -> None:
        self.signals.append(signal.SIGKILL)


@attrs.define(eq=False)
class FakeInstance:
    """An instance whose process is always running."""

    process: FakeProcess = attrs.field(factory=FakeProcess)
    running: bool = True

    def send(self, number: signal.Signals) -> None:
        self.process.signals.append(number)


@attrs.define(eq=False)
class FakeStage:
    """A stage with one instance and a clock that tests set."""

    only: FakeInstance = attrs.field(factory=FakeInstance)
    time_s: float = 0.0

    def instance(self, fault: plan.Fault) -> FakeInstance:
        return self.only

    def note(self, fault: plan.Fault, node: object, planned: bool = False) -> None:
        """Record nothing."""

    def now_s(self) -> float:
        return self.time_s


@pytest.fixture
def stage() -> FakeStage:
    return FakeStage()


async def stop(stage: FakeStage) -> None:
    await strike(plan.Stop(0.0, 0.0, 0), stage)  # type: ignore[arg-type]


async def test_a_process_that_was_started_meanwhile_is_not_killed(
    stage: FakeStage,
) -> None:
    former = stage.only.process
    task = asyncio.create_task(stop(stage))
    await asyncio.sleep(0.02)
    stage.only.process = FakeProcess()
    stage.time_s = plan.STOP_LASTS_S + 1
    await task
    assert stage.only.process.signals == []
    assert former.signals[0] == signal.SIGTERM


async def test_a_process_that_does_not_end_is_killed(stage: FakeStage) -> None:
    task = asyncio.create_task(stop(stage))
    await asyncio.sleep(0.02)
    stage.time_s = plan.STOP_LASTS_S + 1
    await task
    assert stage.only.process.signals == [signal.SIGTERM, signal.SIGKILL]
