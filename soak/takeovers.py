"""Carrying out stops of nodes that keep accounts, while their teams send too much."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from aiohttp import ClientError, ClientTimeout

from . import plan
from .checks import QUOTA_WINDOW_S
from .faults import Stage, strike
from .fleet import METRICS_PORT
from .team_faults import surge
from .teams import team_of

SURGE_S = QUOTA_WINDOW_S
"""As long as the time in which requests of a quota are counted."""
BEFORE_STOP_S = 0.3
CALLERS_AT_OWNER = 12
"""Callers of the surge at the node that stops, besides those at each node. They send
more than the quota to it alone."""
KILL_AFTER_S = 1.0
"""Within the time in which a node that stops still takes requests."""
STATUS_WITHIN_S = 0.5
Stopping = Callable[[plan.Fault, Stage], Coroutine[Any, Any, None]]
"""Stops the node that a fault names."""


@strike.register
async def _(fault: plan.StopInSurge, stage: Stage) -> None:
    await surge_and(fault, stage, stop)


@strike.register
async def _(fault: plan.StopsInSurge, stage: Stage) -> None:
    async def stop_two(owner: plan.Fault) -> None:
        count = len(stage.fleet.instances)
        later = attrs.evolve(owner, target=(owner.target + 1) % count)
        first = asyncio.create_task(stop(owner, stage))
        await asyncio.sleep(BEFORE_STOP_S)
        await asyncio.gather(first, stop(later, stage))

    await surge_and(fault, stage, lambda owner, _: stop_two(owner))


@strike.register
async def _(fault: plan.StopOfFrozenInSurge, stage: Stage) -> None:
    async def freeze_and_stop(owner: plan.Fault, stage: Stage) -> None:
        instance = stage.instance(owner)
        stage.note(owner, owner.target)
        instance.send(signal.SIGSTOP)
        stopping = asyncio.create_task(stop(owner, stage))
        await asyncio.sleep(fault.for_s)
        instance.send(signal.SIGCONT)
        await stopping

    await surge_and(fault, stage, freeze_and_stop)


@strike.register
async def _(fault: plan.KilledStopInSurge, stage: Stage) -> None:
    async def stop_and_kill(owner: plan.Fault, stage: Stage) -> None:
        instance = stage.instance(owner)
        process = instance.process
        stage.note(owner, owner.target)
        stopping = asyncio.create_task(stop(owner, stage))
        await asyncio.sleep(KILL_AFTER_S)
        if instance.process is process:
            instance.send(signal.SIGKILL)
        await stopping

    await surge_and(fault, stage, stop_and_kill)


async def stop(owner: plan.Fault, stage: Stage) -> None:
    """Stop a node; return when its process has ended."""
    await strike(plan.Stop(owner.at_s, owner.for_s, owner.target), stage)


async def surge_and(
    fault: plan.Fault, stage: Stage, act: Stopping, for_s: float = SURGE_S
) -> None:
    """Let a team surge, and stop the owner of its quota meanwhile."""
    target = await find_owner(stage, team_of(fault.target), fault.target)
    more_at = (target,) * CALLERS_AT_OWNER
    surging = asyncio.create_task(surge(fault, stage, for_s, more_at))
    await asyncio.sleep(BEFORE_STOP_S)
    await asyncio.gather(surging, act(attrs.evolve(fault, target=target), stage))


async def find_owner(stage: Stage, team: str, default: int) -> int:
    """Return the index of a team's quota owner, as the first node knows it."""
    fleet, timeout = stage.fleet, ClientTimeout(total=STATUS_WITHIN_S)
    for asked in fleet.instances:
        url = f"http://{asked.host}:{METRICS_PORT}/v1/status"
        try:
            async with fleet.session.get(url, timeout=timeout) as answer:
                status = await answer.json(content_type=None)
        except (ClientError, TimeoutError, ValueError):
            continue
        for one in status["teams"]:
            host = one["owner"].rpartition(":")[0]
            for instance in fleet.instances:
                if one["team"] == team and instance.host == host:
                    return instance.index
    return default
