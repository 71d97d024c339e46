"""When an attempt is answered at the latest, and the timer for it."""

import asyncio
from collections.abc import Callable

from ..runtime import Runtime


class Deadline:
    """The time of an attempt's last answer.

    Parameters
    ----------
    runtime : Runtime
        Event loop and clock.
    caller_deadline_ms : float
        Until when its caller waits, and the operators let it.
    drain_deadline_ms : float
        When a stopping node answers; infinite while it is not stopping.
    act : Callable
        Called when the time is over.

    Attributes
    ----------
    deadline_ms : float
        The earlier of both times.
    """

    def __init__(
        self,
        runtime: Runtime,
        caller_deadline_ms: float,
        drain_deadline_ms: float,
        act: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._caller_deadline_ms = caller_deadline_ms
        self._act = act
        self.deadline_ms = min(caller_deadline_ms, drain_deadline_ms)
        self._timer = self._call_at(self.deadline_ms)

    @property
    def set_by_stop(self) -> bool:
        """Whether the stop of this node ends the attempt before its caller would."""
        return self.deadline_ms < self._caller_deadline_ms

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Answer by then: this node is stopping.

        Without it, a node ended under requests that waited elsewhere for longer than it
        lived: eight of eight callers with requests of 8.5 s lost their connection.
        """
        if drain_deadline_ms < self.deadline_ms:
            self.deadline_ms = drain_deadline_ms
            self.cancel()
            self._timer = self._call_at(drain_deadline_ms)

    def wait_for_caller(self) -> bool:
        """Go on to the caller's own deadline, if the stop's came before it."""
        if self._runtime.now_ms() >= self._caller_deadline_ms:
            return False
        self._timer = self._call_at(self._caller_deadline_ms)
        return True

    def extend(self, wait_ms: float) -> None:
        """Call again after a short wait."""
        self._timer = self._call_at(self._runtime.now_ms() + wait_ms)

    def cancel(self) -> None:
        """Call no more."""
        self._timer.cancel()

    def _call_at(self, time_ms: float) -> asyncio.TimerHandle:
        wait_s = (time_ms - self._runtime.now_ms()) / 1000
        return self._runtime.loop.call_later(wait_s, self._act)
