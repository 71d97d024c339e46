"""One run: a plan carried out on a fleet while callers send, then the checks."""

import asyncio
import contextlib
import os
import pathlib
import tempfile
from random import Random

import attrs
from aiohttp import ClientSession

from standins.platform_names import TEAM_HEADER
from standins.signing_server import SigningServer
from standins.store import StoreStandIn

from . import (  # noqa: F401  (they register their faults)
    reloads,
    returns,
    takeovers,
    team_faults,
)
from .callers import Caller, LongCaller
from .checks import broken
from .departing import DepartingCaller
from .faults import BACK_S, Stage, strike
from .fleet import NODE, Fleet
from .lines import read_crashes, read_faults
from .pieces import PieceCaller
from .plan import CALM_S, Plan
from .records import Arrival, Observations, WorkEnd
from .teams import KEY_MARK

CALLERS_PER_NODE = 6
"""With runs of 60 ms, some four requests are under way at each backend server when a
fault strikes; with a third of that, a node that repeats payments was not found."""
LONG_CALLERS_PER_NODE = 3
DEPARTING_PER_NODE = 3
REST_S = 2.5
"""Time after the last request in which a late one would still run."""


@attrs.frozen
class Result:
    """What one seed came to.

    Attributes
    ----------
    broken : dict
        Cases by the check that found them; empty if all promises were kept.
    logs : pathlib.Path or None
        Where the nodes' logs are, if a promise was broken.
    """

    plan: Plan
    seen: Observations
    broken: dict[str, list[str]]
    logs: pathlib.Path | None


def network_of(slot: int) -> str:
    """Return loopback addresses that no other run uses."""
    return f"127.{100 + os.getpid() % 100}.{slot % 250 + 1}"


async def play(plan: Plan, slot: int, program: tuple[str, ...] = NODE) -> Result:
    """Carry one plan out, on nodes that this program starts."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    seen = Observations()
    async with ClientSession() as session:
        fleet = Fleet(
            network_of(slot),
            directory,
            StoreStandIn(era=1),
            session,
            program,
            plan.drain_s,
        )
        if plan.teams:
            fleet.use_teams(plan.quota_per_s)
            seen.quota_per_s = plan.quota_per_s
        try:
            await fleet.start(plan.instances)
            await _traffic(plan, fleet, seen)
        finally:
            servers = [one.server for one in fleet.instances]
            await fleet.stop()
    seen.arrivals = [one for server in servers for one in _arrivals(server)]
    seen.work_ends = [WorkEnd(*one) for server in servers for one in server.work_ends]
    seen.overfilled = [one.instance_id for one in servers if one.unqueued]
    seen.keys = [] if fleet.keyring is None else fleet.keyring.spans
    seen.ends = [end for one in fleet.instances for end in one.ends]
    seen.faults = read_faults(directory)
    seen.crashes = read_crashes(directory)
    found = broken(seen)
    if not found:
        _remove(directory)
    return Result(plan, seen, found, directory if found else None)


def _arrivals(server: SigningServer) -> list[Arrival]:
    rows = zip(server.arrivals, server.arrived_headers, strict=True)
    return [
        Arrival(
            *arrival,
            headers.get(TEAM_HEADER.lower(), ""),
            any(KEY_MARK in value for value in headers.values()),
        )
        for arrival, headers in rows
    ]


async def _traffic(plan: Plan, fleet: Fleet, seen: Observations) -> None:
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    random = Random(plan.seed)
    stage = Stage(fleet, seen, random)
    few = plan.instances * CALLERS_PER_NODE
    many = few + plan.instances * LONG_CALLERS_PER_NODE
    departing = many + plan.instances
    callers = [
        asyncio.create_task(
            Caller(index, index % plan.instances, fleet, seen, random).run()
        )
        for index in range(few)
    ]
    long_callers = [
        LongCaller(index, index % plan.instances, fleet, seen, random)
        for index in range(few, many)
    ]
    long_calls = [asyncio.create_task(caller.run()) for caller in long_callers]
    faults = [
        asyncio.create_task(_strike_at(fault.at_s, start_s, fault, stage))
        for fault in plan.faults
    ]
    callers += [
        asyncio.create_task(PieceCaller(many + index, index, fleet, seen, random).run())
        for index in range(plan.instances)
    ]
    callers += [
        asyncio.create_task(
            DepartingCaller(
                departing + index, index % plan.instances, fleet, seen, random
            ).run()
        )
        for index in range(plan.instances * DEPARTING_PER_NODE)
    ]
    seen.calm_from_s = start_s + plan.duration_s - CALM_S + BACK_S
    # Long requests that were sent before the calm began get their answers in it.
    await asyncio.sleep(plan.duration_s - CALM_S + BACK_S)
    for caller in long_callers:
        caller.ending = True
    await asyncio.sleep(CALM_S - BACK_S)
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    await asyncio.gather(*faults, *long_calls)
    await asyncio.sleep(REST_S)


async def _strike_at(at_s: float, start_s: float, fault, stage: Stage) -> None:  # type: ignore[no-untyped-def]
    await asyncio.sleep(start_s + at_s - asyncio.get_running_loop().time())
    await strike(fault, stage)


def _remove(directory: pathlib.Path) -> None:
    for path in directory.iterdir():
        with contextlib.suppress(OSError):
            path.unlink()
    directory.rmdir()
