"""Carrying out the faults that concern teams and the speed of backend servers."""

import asyncio

from . import plan
from .callers import Caller
from .faults import Stage, strike
from .teams import GUESS_RATIO, Keyring, team_of

SURGE_CALLERS_PER_NODE = 4
"""A team has 1.5 of the six callers of a node: with these it sends about 3.7 times its
usual."""
WRONG_KEYS_RATIO = 0.5
SLOW_PERCENT = 250
NORMAL_PERCENT = 100


def _keyring(stage: Stage) -> Keyring:
    keyring = stage.fleet.keyring
    if keyring is None:
        raise ValueError("the run has no teams; draw its plan with some")
    return keyring


@strike.register
async def _(fault: plan.KeyAdded, stage: Stage) -> None:
    _keyring(stage).add(team_of(fault.target), stage.now_s())
    stage.fleet.publish()


@strike.register
async def _(fault: plan.KeyRemoved, stage: Stage) -> None:
    _keyring(stage).remove(team_of(fault.target), stage.now_s())
    stage.fleet.publish()


@strike.register
async def _(fault: plan.KeyRemovedApart, stage: Stage) -> None:
    store, instances = stage.fleet.store, stage.fleet.instances
    if store.refused_hosts:
        return  # else the store might refuse all nodes
    apart = [instances[(fault.target + one) % len(instances)] for one in range(2)]
    hosts = {instance.host for instance in apart}
    store.refused_hosts |= hosts
    await asyncio.sleep(plan.APART_BEFORE_S)
    _keyring(stage).remove(team_of(fault.target), stage.now_s())
    stage.fleet.publish()
    await asyncio.sleep(plan.APART_AFTER_S)
    store.refused_hosts -= hosts


@strike.register
async def _(fault: plan.WrongKeys, stage: Stage) -> None:
    keyring = _keyring(stage)
    keyring.guess_ratio = WRONG_KEYS_RATIO
    await asyncio.sleep(fault.for_s)
    keyring.guess_ratio = GUESS_RATIO


@strike.register
async def _(fault: plan.TeamSurge, stage: Stage) -> None:
    await surge(fault, stage, fault.for_s)


async def surge(
    fault: plan.Fault, stage: Stage, for_s: float, more_at: tuple[int, ...] = ()
) -> None:
    """Let the team of a fault send several times its usual for some time.

    ``more_at``: nodes of further callers.
    """
    count = len(stage.fleet.instances)
    nodes = [*range(count)] * SURGE_CALLERS_PER_NODE + [*more_at]
    callers = [
        Caller(
            stage.new_caller(),
            node,
            stage.fleet,
            stage.seen,
            stage.random,
            team=team_of(fault.target),
        )
        for node in nodes
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(for_s)
    for caller in callers:
        caller.ending = True
    await asyncio.gather(*tasks)


@strike.register
async def _(fault: plan.ServerSlowed, stage: Stage) -> None:
    server = stage.instance(fault).server
    server.work_percent = SLOW_PERCENT
    await asyncio.sleep(fault.for_s)
    server.work_percent = NORMAL_PERCENT
