"""Carrying out returns of quota owners while their teams send too much."""

import asyncio
import signal

from . import plan
from .faults import Stage, strike
from .takeovers import find_owner, stop, surge_and
from .teams import team_of

SURGE_S = plan.STOP_LASTS_S + plan.RETURN_LASTS_S - 1.0
"""Until the returned node owns the quota, also if its stop lasts long."""
STARTED_WITHIN_S = 1.0


@strike.register
async def _(fault: plan.ReturnInSurge, stage: Stage) -> None:
    await surge_and(fault, stage, _restart, SURGE_S)


@strike.register
async def _(fault: plan.KilledReturnInSurge, stage: Stage) -> None:
    async def restart_and_kill(owner: plan.Fault, stage: Stage) -> None:
        await _restart(owner, stage)
        await asyncio.sleep(fault.for_s)
        _kill(owner, stage, owner.target)

    await surge_and(fault, stage, restart_and_kill, SURGE_S)


@strike.register
async def _(fault: plan.SuccessorKilledInSurge, stage: Stage) -> None:
    async def restart_and_kill_successor(owner: plan.Fault, stage: Stage) -> None:
        await _restart(owner, stage)
        successor = await find_owner(stage, team_of(fault.target), owner.target)
        await asyncio.sleep(fault.for_s)
        _kill(owner, stage, successor)

    await surge_and(fault, stage, restart_and_kill_successor, SURGE_S)


@strike.register
async def _(fault: plan.ReturnApartInSurge, stage: Stage) -> None:
    async def restart_apart(owner: plan.Fault, stage: Stage) -> None:
        store, host = stage.fleet.store, stage.instance(owner).host
        stopping = asyncio.create_task(_restart(owner, stage))
        store.refused_hosts |= {host}
        await stopping
        stage.note(owner, owner.target)
        await asyncio.sleep(fault.for_s)
        store.refused_hosts -= {host}

    await surge_and(fault, stage, restart_apart, SURGE_S)


async def _restart(owner: plan.Fault, stage: Stage) -> None:
    """Stop the owner, and return when its next process runs."""
    instance = stage.instance(owner)
    former = instance.process
    await stop(owner, stage)
    end_s = stage.now_s() + STARTED_WITHIN_S
    while instance.process is former and stage.now_s() < end_s:
        await asyncio.sleep(0.01)


def _kill(owner: plan.Fault, stage: Stage, target: int) -> None:
    stage.note(owner, target)
    stage.fleet.instances[target].send(signal.SIGKILL)
