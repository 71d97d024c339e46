"""Delivery of the signals of the process to its node."""

import asyncio
from typing import Protocol

from .. import signals
from ..errors import PortInUseError
from . import events
from .runtime import Runtime
from .settings import MeshSettings

RELOAD_INTERVAL_S = 0.02
"""Shortest time between two reloads; signals in between lead to one."""


class SignalledNode(Protocol):
    """What signals need of a node."""

    settings: MeshSettings
    runtime: Runtime
    listening: asyncio.Event

    async def run(self) -> None:
        """Serve until the node is stopped."""
        ...

    @property
    def is_accepting(self) -> bool:
        """Whether the node has accepted connections."""
        ...

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        ...

    def reload(self) -> None:
        """Reload the settings file."""
        ...


async def run_with_signals(node: SignalledNode) -> None:
    """Run a node, which stops and reloads as signals request.

    Signals that were received before count too: a request to stop ends the node before
    it listens, and one to reload is followed once it does.
    """
    received = signals.RECEIVED
    loop = asyncio.get_running_loop()
    running = asyncio.current_task()
    reload_due = asyncio.Event()

    def deliver(number: int) -> None:
        if number == signals.RELOAD_SIGNAL:
            reload_due.set()
        elif node.is_accepting:
            node.stop()
        elif running is not None:
            running.cancel()

    received.pass_to(lambda number: loop.call_soon_threadsafe(deliver, number))
    try:
        if received.reload_requested:
            reload_due.set()
        if not received.stop_requested:
            node.runtime.spawn(_reload_when_due(node, reload_due))
            await node.run()
    except (asyncio.CancelledError, PortInUseError):
        if not received.stop_requested:
            raise
    finally:
        received.pass_to(None)
    if not node.listening.is_set():
        log_stopped_start(node.settings.instance)


def log_stopped_start(instance: str) -> None:
    """Log that signals ended a node before it listened."""
    events.log(events.STOPPED, node=instance, **signals.RECEIVED.fields())
    events.WRITER.flush()


async def _reload_when_due(node: SignalledNode, due: asyncio.Event) -> None:
    await node.listening.wait()
    while True:
        await due.wait()
        due.clear()
        node.runtime.run_guarded("reload", node.reload)
        await asyncio.sleep(RELOAD_INTERVAL_S)
