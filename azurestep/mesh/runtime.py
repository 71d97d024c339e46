"""What the parts of a node share: event loop, clock, randomness, metrics."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import attrs

from . import events
from .metrics import Metrics


@attrs.define(eq=False)
class Runtime:
    """Event loop, clock, randomness and metrics of one node."""

    loop: asyncio.AbstractEventLoop
    random: Random = attrs.field(factory=Random)
    metrics: Metrics = attrs.field(factory=Metrics)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def now_ms(self) -> float:
        """Return a monotonic time that also counts suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def soon(self, act: Callable[[], None]) -> None:
        """Call a function once what is being handled now has ended.

        Its error is its own: it reaches nothing that happens to be on the stack.
        """
        self.loop.call_soon(self._call, act)

    def _call(self, act: Callable[[], None]) -> None:
        try:
            act()
        except Exception as error:
            events.log(events.TASK_FAILED, cause=repr(error))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the others."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.log(events.TASK_FAILED, cause=repr(task.exception()))

    def cancel_all(self) -> None:
        """Cancel all coroutines."""
        for task in list(self._tasks):
            task.cancel()
