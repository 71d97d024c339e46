"""Runs a node: assembles its tasks and stops them in order."""

import asyncio

import aiomisc

from .. import events, signals
from ..environment import Environment
from ..settings import Settings
from .announce import AnnounceService
from .audit import AuditService
from .control import ControlService
from .follow import FollowService
from .messages import LeaveRequested, TrafficInput
from .metrics import MetricsService
from .once import OnceService, new_node_run
from .operators import OperatorService
from .traffic import TrafficService

DRAIN_SETTLE_S = 2.0
LEAVE_SETTLE_S = 1.5
DRAIN_TIMEOUT_S = 150.0
"""Time for what is in flight before it is given up and answered. Requests of up to
150 s ended whole when the server's shutdown followed 30 s of drain; 30 s alone would
break them off."""
HAND_OVER_TIMEOUT_S = 8.0
AUDIT_TIMEOUT_S = 3.0


async def run_node(settings: Settings, environment: Environment) -> None:
    """Run a node until a signal or an operator asks it to stop.

    Raises
    ------
    PortInUseError
        If one of the node's addresses is taken.
    """
    drain = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals.RECEIVED.pass_to(lambda number: loop.call_soon_threadsafe(drain.set))
    if signals.RECEIVED.stop_requested:
        events.emit(events.NODE_STOPPED, instance=settings.instance)
        return
    inputs: asyncio.Queue[TrafficInput] = asyncio.Queue()
    node_run = new_node_run()
    control = ControlService(settings, environment, inputs, node_run)
    traffic = TrafficService(settings, environment, inputs)
    announce = AnnounceService(settings, environment, control.inputs)
    once = OnceService(settings, environment, traffic.proxy, control.inputs, node_run)
    control.once = once.inputs
    traffic.proxy.on_quarantine_report = control.notice_quarantine
    audit = AuditService(settings, environment, control, node_run)
    control.audit = audit.inputs
    once.audit = audit.inputs
    follow = FollowService(settings, environment, control)
    operators = OperatorService(settings, control, traffic.proxy, drain)
    metrics = MetricsService(settings, environment, control, traffic.proxy, audit)
    services = [control, once, audit, announce, traffic, follow, operators, metrics]
    tasks: list[asyncio.Task[None]] = []
    try:
        for service in services:
            tasks.append(await _start(service))
        events.emit(events.NODE_STARTED, instance=settings.instance)
        await _wait_for_end(drain, tasks)
        events.emit(events.NODE_STOPPING, instance=settings.instance)
        await _drain(control, announce, traffic, once, audit)
    finally:
        for service in (traffic, operators, follow, announce, audit, once, control):
            await service.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    events.emit(events.NODE_STOPPED, instance=settings.instance)


async def _start(service: aiomisc.Service) -> "asyncio.Task[None]":
    """Start a service and wait until it is ready or has failed."""
    service.set_loop(asyncio.get_running_loop())
    task: asyncio.Task[None] = asyncio.create_task(service.start())
    ready = asyncio.create_task(service.start_event.wait())
    await asyncio.wait({task, ready}, return_when=asyncio.FIRST_COMPLETED)
    ready.cancel()
    if task.done():
        task.result()
    return task


async def _wait_for_end(
    drain: asyncio.Event, tasks: list["asyncio.Task[None]"]
) -> None:
    """Wait for the request to stop; a task that fails ends the node at once."""
    asked = asyncio.create_task(drain.wait())
    running = {task for task in tasks if not task.done()}
    done, _ = await asyncio.wait({asked, *running}, return_when=asyncio.FIRST_COMPLETED)
    for task in done - {asked}:
        task.result()
    asked.cancel()


async def _drain(
    control: ControlService,
    announce: AnnounceService,
    traffic: TrafficService,
    once: OnceService,
    audit: AuditService,
) -> None:
    """Take no new work from peers, then let what is in flight end.

    Callers are asked to go elsewhere from the start; the listener closes only
    when the peers had time to hear, so that nobody is refused before.
    """
    begun = audit.begin_drain(traffic.proxy.in_flight)
    traffic.proxy.drain()
    announce.leave_all()
    _, handed_over = await asyncio.gather(
        asyncio.sleep(DRAIN_SETTLE_S), once.hand_over(HAND_OVER_TIMEOUT_S)
    )
    await traffic.stop_listening()
    cut = await traffic.finish(DRAIN_TIMEOUT_S)
    # A node that left hears no more of leaving backend servers, so this is last.
    control.inputs.put_nowait(LeaveRequested())
    await audit.end_drain(begun, cut, handed_over, AUDIT_TIMEOUT_S)
    await asyncio.sleep(LEAVE_SETTLE_S)
