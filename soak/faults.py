"""Carrying a plan's faults out, from outside the nodes."""

import asyncio
import itertools
import signal
from collections.abc import Iterator
from functools import singledispatch
from random import Random

import attrs

from standins.signing_server import SigningServer
from standins.silent_proxy import Direction, Faults
from standins.store import Trouble as StoreTrouble

from . import plan
from .fleet import BACKEND_PORT, Fleet, Instance
from .records import Leaving, Limit, Observations, Publication, Trouble

DRAIN_SERVED_S = 2.5
"""Time for which a backend server serves on after its leaving was acknowledged."""
STOP_S = 8.0
"""Longest that a stopped process may take to end, and to be back."""
BACK_S = 2.0
"""Time after a fault in which what it broke comes back: a start, or a redial."""


@attrs.define(eq=False)
class Stage:
    """What a fault works on."""

    fleet: Fleet
    seen: Observations
    random: Random = attrs.field(factory=Random)
    _callers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1000))

    def new_caller(self) -> int:
        """Return a number that no caller has."""
        return next(self._callers)

    def now_s(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def instance(self, fault: plan.Fault) -> Instance:
        """Return the instance that a fault strikes."""
        return self.fleet.instances[fault.target]

    def note(self, fault: plan.Fault, node: int | None, planned: bool = False) -> None:
        """Note a span of trouble that begins now."""
        now_s = self.now_s()
        length_s = STOP_S if planned else fault.for_s + BACK_S
        self.seen.troubles.append(Trouble(node, now_s, now_s + length_s, planned))


@singledispatch
async def strike(fault: plan.Fault, stage: Stage) -> None:
    """Carry a fault out, from its begin to its end."""
    raise TypeError(f"{type(fault).__name__} is no known fault")


@strike.register
async def _(fault: plan.Kill, stage: Stage) -> None:
    instance = stage.instance(fault)
    stage.note(fault, fault.target)
    instance.wanted = False
    instance.send(signal.SIGCONT)
    instance.send(signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    instance.wanted = True


@strike.register
async def _(fault: plan.Pause, stage: Stage) -> None:
    instance = stage.instance(fault)
    stage.note(fault, fault.target)
    instance.send(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    instance.send(signal.SIGCONT)


@strike.register
async def _(fault: plan.Stop, stage: Stage) -> None:
    instance = stage.instance(fault)
    stage.note(fault, fault.target, planned=True)
    process = instance.process
    instance.send(signal.SIGTERM)
    end_s = stage.now_s() + plan.STOP_LASTS_S
    while instance.process is process and instance.running:
        await asyncio.sleep(0.05)
        if stage.now_s() > end_s and process is not None:
            process.kill()
            return


@strike.register
async def _(fault: plan.Silence, stage: Stage) -> None:
    await _relay(fault, stage, Faults(silent=Direction.BOTH))


@strike.register
async def _(fault: plan.Hold, stage: Stage) -> None:
    await _relay(fault, stage, Faults(hold=Direction.TO_TARGET))


@strike.register
async def _(fault: plan.CutOneWay, stage: Stage) -> None:
    await _relay(fault, stage, Faults(hold=Direction.TO_CALLER))


@strike.register
async def _(fault: plan.Reset, stage: Stage) -> None:
    await _relay(fault, stage, Faults(cut=True))


async def _relay(fault: plan.Fault, stage: Stage, faults: Faults) -> None:
    stage.note(fault, None)
    relay = stage.instance(fault).relay
    relay.set_faults(faults)
    await asyncio.sleep(fault.for_s)
    relay.set_faults(Faults())


@strike.register
async def _(fault: plan.StoreBusy, stage: Stage) -> None:
    await _trouble_store(fault, stage, StoreTrouble.BUSY)


@strike.register
async def _(fault: plan.StoreSilent, stage: Stage) -> None:
    await _trouble_store(fault, stage, StoreTrouble.SILENT)


@strike.register
async def _(fault: plan.StoreLosesAnswers, stage: Stage) -> None:
    await _trouble_store(fault, stage, StoreTrouble.ANSWER_LOST)


async def _trouble_store(
    fault: plan.Fault, stage: Stage, trouble: StoreTrouble
) -> None:
    stage.note(fault, None)
    store = stage.fleet.store
    store.trouble = trouble
    await asyncio.sleep(fault.for_s)
    if store.trouble is trouble:
        store.trouble = StoreTrouble.NONE


@strike.register
async def _(fault: plan.StoreRefusesNode, stage: Stage) -> None:
    host = stage.instance(fault).host
    stage.note(fault, fault.target)
    stage.fleet.store.refused_hosts.add(host)
    await asyncio.sleep(fault.for_s)
    stage.fleet.store.refused_hosts.discard(host)


@strike.register
async def _(fault: plan.StoreForgets, stage: Stage) -> None:
    for topic in stage.fleet.store.topics.values():
        topic.truncate()


@strike.register
async def _(fault: plan.ServerReplaced, stage: Stage) -> None:
    instance = stage.instance(fault)
    if not instance.beating:
        return
    instance.beating = False
    if await stage.fleet.announce(instance, "draining"):
        name = instance.server.instance_id
        stage.seen.leavings.append(Leaving(name, stage.now_s()))
        await asyncio.sleep(DRAIN_SERVED_S)
    await _replace(instance)


@strike.register
async def _(fault: plan.ServerCrash, stage: Stage) -> None:
    instance = stage.instance(fault)
    if not instance.beating:
        return
    instance.beating = False
    await instance.server.stop()
    await asyncio.sleep(fault.for_s)
    await _replace(instance)


async def _replace(instance: Instance) -> None:
    former = instance.server
    await former.stop()
    number = int(former.instance_id.rpartition("-")[2]) + 1
    server = SigningServer(
        f"i-{instance.index}-{number}", work_s=former.work_s, slots=former.slots
    )
    server.arrivals = former.arrivals
    server.arrived_headers = former.arrived_headers
    server.work_ends = former.work_ends
    server.unqueued = former.unqueued
    server.work_percent = former.work_percent and 100
    server.queue_length = former.queue_length
    await server.start(instance.host, BACKEND_PORT)
    instance.server, instance.beats, instance.beating = server, 0, True


@strike.register
async def _(fault: plan.ServerLimited, stage: Stage) -> None:
    server = stage.instance(fault).server
    named = server.rate_limit = str(fault.limit_per_s)
    begin_s = stage.now_s()
    # Another such fault at the same server replaces the limit.
    while server.rate_limit is named:
        await asyncio.sleep(0.02)
        if stage.now_s() > begin_s + plan.LIMIT_LASTS_S:
            server.rate_limit = None
    limit = Limit(server.instance_id, fault.limit_per_s, begin_s, stage.now_s())
    stage.seen.limits.append(limit)


@strike.register
async def _(fault: plan.ServerSaysLeaving, stage: Stage) -> None:
    instance = stage.instance(fault)
    if not instance.beating:
        return
    instance.beating = False
    server = instance.server
    server.leaving = "1"
    if await _answers_one(server, stage):
        stage.seen.leavings.append(Leaving(server.instance_id, stage.now_s()))
        await asyncio.sleep(DRAIN_SERVED_S)
    await _replace(instance)


async def _answers_one(server: SigningServer, stage: Stage) -> bool:
    """Wait until a server has answered a request from now on."""
    before = server.answered
    end_s = stage.now_s() + BACK_S
    while server.answered == before:
        if stage.now_s() > end_s:
            return False
        await asyncio.sleep(0.02)
    return True


@strike.register
async def _(fault: plan.StoreReturns, stage: Stage) -> None:
    stage.note(fault, None)
    store = stage.fleet.store
    saved = store.take_copy()
    await asyncio.sleep(fault.for_s)
    store.return_from(saved)
    stage.fleet.publish_again()


@strike.register
async def _(fault: plan.ServerForgets, stage: Stage) -> None:
    stage.instance(fault).server.forget_connections()


@strike.register
async def _(fault: plan.Publish, stage: Stage) -> None:
    path = f"/added-{stage.fleet.version + 1}/"
    at_s = stage.now_s()
    version = stage.fleet.publish(path)
    stage.seen.publications.append(Publication(version, path, at_s))
