"""Carrying out signals in series: settings that change, and stops."""

import asyncio
import itertools
import signal
from collections.abc import Callable

from . import plan
from .faults import Stage, strike
from .fleet import Instance

INTERVAL_S = 0.005
REWRITES_S = 0.05
"""Time between two versions of a settings file."""


@strike.register
async def _(fault: plan.SettingsRewritten, stage: Stage) -> None:
    instance = stage.instance(fault)
    end_s = stage.now_s() + fault.for_s
    for count in itertools.count(1):
        content = instance.settings_content(revision=count)
        instance.settings_path.write_bytes(content[: len(content) // 2])
        _reload(instance)
        await asyncio.sleep(INTERVAL_S)
        instance.settings_path.write_bytes(content)
        _reload(instance)
        if stage.now_s() > end_s:
            return
        await asyncio.sleep(REWRITES_S)


@strike.register
async def _(fault: plan.ReloadsInStop, stage: Stage) -> None:
    instance = stage.instance(fault)
    former = instance.process

    def is_over() -> bool:
        return instance.process is not former and instance.handles(signal.SIGHUP)

    await _signal_until(fault, stage, is_over, itertools.repeat(signal.SIGHUP))
    end_s = stage.now_s() + fault.for_s
    while stage.now_s() < end_s:
        _reload(instance)
        await asyncio.sleep(INTERVAL_S)


@strike.register
async def _(fault: plan.SignalsInStop, stage: Stage) -> None:
    instance = stage.instance(fault)
    former = instance.process

    def is_over() -> bool:
        return instance.process is not former

    numbers = itertools.cycle((signal.SIGHUP, signal.SIGTERM))
    await _signal_until(fault, stage, is_over, numbers)


async def _signal_until(
    fault: plan.Fault,
    stage: Stage,
    is_over: Callable[[], bool],
    numbers: "itertools.repeat[signal.Signals] | itertools.cycle[signal.Signals]",
) -> None:
    """Stop a node with SIGTERM, and send its process signals until it has ended."""
    instance = stage.instance(fault)
    former = instance.process
    if former is None:
        return
    stage.note(fault, fault.target, planned=True)
    instance.send(signal.SIGTERM)
    end_s = stage.now_s() + plan.STOP_LASTS_S
    while not is_over():
        if instance.process is former and instance.handles(signal.SIGHUP):
            instance.send(next(numbers))
        await asyncio.sleep(INTERVAL_S)
        if stage.now_s() > end_s:
            former.kill()
            return


def _reload(instance: Instance) -> None:
    if instance.handles(signal.SIGHUP):
        instance.send(signal.SIGHUP)
