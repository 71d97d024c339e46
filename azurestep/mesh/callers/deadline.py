"""The deadline of a call, with its timer."""

import asyncio
from collections.abc import Callable

from ..runtime import Runtime

MAX_LATE_MS = 10.0
"""Delay of a timer above which this node was busy or stopped itself. What a peer sent
meanwhile has not been read yet."""


class Deadline:
    """The time by which a call must be answered.

    Parameters
    ----------
    runtime : Runtime
        Event loop and clock.
    caller_deadline_ms : float
        The caller's deadline or the route's timeout, whichever is earlier.
    drain_deadline_ms : float
        When a node that shuts down must have answered; infinite otherwise.
    on_expiry : Callable
        Called at the deadline.

    Attributes
    ----------
    deadline_ms : float
        The earlier of the caller's deadline and the drain deadline.
    """

    def __init__(
        self,
        runtime: Runtime,
        caller_deadline_ms: float,
        drain_deadline_ms: float,
        on_expiry: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._caller_deadline_ms = caller_deadline_ms
        self._on_expiry = on_expiry
        self.deadline_ms = min(caller_deadline_ms, drain_deadline_ms)
        self._timer = self._schedule_at(self.deadline_ms)

    @property
    def set_by_shutdown(self) -> bool:
        """Whether the node's shutdown ends the call before the caller's deadline."""
        return self.deadline_ms < self._caller_deadline_ms

    def limit_deadline(self, drain_deadline_ms: float) -> None:
        """Shorten the deadline, so that the call is answered before the node exits."""
        if drain_deadline_ms < self.deadline_ms:
            self.deadline_ms = drain_deadline_ms
            self.cancel()
            self._timer = self._schedule_at(drain_deadline_ms)

    def extend_to_caller_deadline(self) -> bool:
        """Restart the timer for the caller's deadline, unless that has passed."""
        if self._runtime.now_ms() >= self._caller_deadline_ms:
            return False
        self._timer = self._schedule_at(self._caller_deadline_ms)
        return True

    def extend(self, wait_ms: float) -> None:
        """Restart the timer for a short wait, which this node must have time for."""
        due_ms = self._runtime.now_ms() + wait_ms
        self._timer = self._runtime.loop.call_later(
            wait_ms / 1000, self._on_wait_end, due_ms, wait_ms
        )

    def _on_wait_end(self, due_ms: float, wait_ms: float) -> None:
        """Wait again if it was this node that took so long."""
        if self._runtime.now_ms() - due_ms > MAX_LATE_MS:
            self.extend(wait_ms)
        else:
            self._on_expiry()

    def cancel(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _schedule_at(self, time_ms: float) -> asyncio.TimerHandle:
        wait_s = (time_ms - self._runtime.now_ms()) / 1000
        return self._runtime.loop.call_later(wait_s, self._on_expiry)
