"""Graceful shutdown of a node."""

from collections.abc import Callable
from functools import partial

import attrs

from ..events import Event
from ..http.server_state import ServerState
from . import events
from .backend.inbound import Inbound
from .callers.outbound import Outbound
from .decisions.stopping import ShutdownPlan
from .links.server import IncomingLinks
from .runtime import Runtime


@attrs.define(eq=False, repr=False)
class GracefulShutdown:
    """Steps of a node's shutdown from SIGTERM to its exit.

    Attributes
    ----------
    callers : ServerState
        Connections of callers.
    stop_accepting : Callable
        Stops accepting connections of callers; open ones are kept.
    plan : ShutdownPlan or None
        Times of the steps; None until the shutdown begins.
    """

    runtime: Runtime
    instance: str
    callers: ServerState
    outbound: Outbound
    inbound: Inbound
    incoming_links: IncomingLinks
    stop_accepting: Callable[[], None]
    plan: ShutdownPlan | None = None

    def begin(self, grace_ms: float) -> bool:
        """Begin the shutdown; return False if it had already begun."""
        if self.plan is not None:
            return False
        self.plan = ShutdownPlan(self.runtime.now_ms(), grace_ms)
        self.callers.draining = True
        deadline_ms = self.plan.drain_deadline_ms
        run_guarded = partial(self.runtime.run_guarded, "stop")
        run_guarded(self.outbound.context.limit_deadline, deadline_ms)
        run_guarded(self.inbound.begin_shutdown, deadline_ms)
        run_guarded(self._log, events.STOPPING)
        return True

    def is_overdue(self, now_ms: float) -> bool:
        """Whether the node is to exit, whatever is left to do."""
        return self.plan is not None and now_ms >= self.plan.exit_deadline_ms

    def advance(self, now_ms: float) -> bool:
        """Perform the step that is due; return whether the node may exit."""
        plan = self.plan
        if plan is None or now_ms < plan.refuse_from_ms:
            return False
        if not self.outbound.closed:
            self.outbound.closed = True
            self.stop_accepting()
            # Wait a tick, so that requests on newly accepted connections are answered.
            return False
        busy = (
            self.callers.busy
            or self.inbound.busy
            or self.incoming_links.has_unsent_outcomes
        )
        if busy and now_ms < plan.exit_deadline_ms:
            return False
        for connection in list(self.callers.connections):
            self.runtime.run_guarded("stop", connection.close_if_idle)
        # Refuse requests that arrive now, since the exit would abort them.
        self.inbound.begin_shutdown(now_ms)
        return True

    def finish(self) -> None:
        """Log the requests that the exit aborts."""
        for call in list(self.outbound.context.calls_in_flight):
            self.runtime.run_guarded("stop", call.log_aborted)
        self._log(events.STOPPED)

    def _log(self, event: Event) -> None:
        admission = self.inbound.admission
        events.log(
            event,
            node=self.instance,
            calls=len(self.outbound.context.calls_in_flight),
            runs=len(admission.running),
            waiting=len(admission.waiting),
        )
