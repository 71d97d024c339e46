"""Event loop, clock and metrics that a node's components share; internal errors."""

import asyncio
import time
import traceback
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import attrs

from ..events import Event
from . import events
from .metrics import Metrics

TRACEBACK_FRAMES = 8
"""Innermost stack frames that a log line includes."""
MAX_TRACEBACKS = 20
"""Tracebacks logged for each place, so that an error on every tick doesn't flood the
log. Later lines carry the cause alone."""
MAX_CAUSE_CHARACTERS = 500


@attrs.define(eq=False, repr=False)
class Runtime:
    """Event loop, clock, random generator and metrics of one node."""

    loop: asyncio.AbstractEventLoop
    random: Random = attrs.field(factory=Random)
    metrics: Metrics = attrs.field(factory=Metrics)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def now_ms(self) -> float:
        """Return the monotonic time, which includes time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call a function from the event loop, apart from the current call stack.

        An error in it is logged and doesn't reach the caller of this method.
        """
        self.loop.call_soon(self.run_guarded, "soon", callback)

    def call_later(
        self, delay_ms: float, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Call a function after a delay; an error in it is logged."""
        return self.loop.call_later(
            delay_ms / 1000, self.run_guarded, "timer", callback
        )

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.report_fault("task", error, events.TASK_FAILED)

    def report_fault(
        self,
        place: str,
        error: BaseException,
        event: Event = events.FAULT,
        **fields: object,
    ) -> None:
        """Log and count an internal error caught at a place in the program."""
        self.metrics.count("faults", place)
        if self.metrics.counters["faults", place] <= MAX_TRACEBACKS:
            fields["traceback"] = _format_traceback(error)
        events.log(event, place=place, cause=_format_cause(error), **fields)

    def run_guarded(
        self, place: str, work: Callable[..., object], *arguments: object
    ) -> None:
        """Call a function; an error in it is reported instead of raised."""
        try:
            work(*arguments)
        except Exception as error:
            self.report_fault(place, error)

    def fault_handler(self, place: str) -> Callable[[BaseException, bool], None]:
        """Return a handler that reports internal errors of HTTP connections.

        Its second argument is whether the error affects one request only; otherwise
        the connection is reset.
        """

        def handle(error: BaseException, request_only: bool) -> None:
            event = events.FAULT if request_only else events.HANDLER_FAILED
            self.report_fault(place, error, event)

        return handle

    def on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report an uncaught exception of the event loop.

        Network errors and messages without an exception go to asyncio's handler.
        """
        error = context.get("exception")
        if error is None or isinstance(error, OSError):
            loop.default_exception_handler(context)
        else:
            self.report_fault("loop", error, what=context.get("message", ""))

    def cancel_all(self) -> None:
        """Cancel all background tasks."""
        for task in list(self._tasks):
            task.cancel()


def _format_traceback(error: BaseException) -> str:
    lines = traceback.format_exception(error, limit=-TRACEBACK_FRAMES, chain=False)
    return "".join(lines)


def _format_cause(error: BaseException) -> str:
    try:
        return repr(error)[:MAX_CAUSE_CHARACTERS]
    except Exception:
        return f"<{type(error).__name__}>"
