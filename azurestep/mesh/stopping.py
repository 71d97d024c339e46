"""The orderly stop of a node: finish what is under way, take nothing new, end."""

from collections.abc import Callable

import attrs

from ..events import Event
from ..http.server import ServerState
from . import events
from .backend.inbound import Inbound
from .callers.outbound import Outbound
from .decisions.stopping import ShutdownPlan
from .links.incoming import IncomingLinks
from .runtime import Runtime


@attrs.define(eq=False)
class GracefulShutdown:
    """Takes a node from SIGTERM to its end.

    Attributes
    ----------
    callers : ServerState
        Connections of callers.
    close_callers : Callable
        Stops taking connections of callers.
    plan : ShutdownPlan or None
        When what happens; None until the stop begins.
    """

    runtime: Runtime
    instance: str
    callers: ServerState
    outbound: Outbound
    inbound: Inbound
    incoming_links: IncomingLinks
    close_callers: Callable[[], None]
    plan: ShutdownPlan | None = None

    def begin(self, grace_ms: float) -> bool:
        """Begin, and return whether it had not begun before."""
        if self.plan is not None:
            return False
        self.plan = ShutdownPlan(self.runtime.now_ms(), grace_ms)
        self.callers.draining = True
        self.outbound.context.limit_deadline(self.plan.drain_deadline_ms)
        self.inbound.stop(self.plan.drain_deadline_ms)
        self._log(events.STOPPING)
        return True

    def advance(self, now_ms: float) -> bool:
        """Take the next step; return whether the node may end."""
        plan = self.plan
        if plan is None or now_ms < plan.refuse_from_ms:
            return False
        if not self.outbound.closed:
            self.outbound.closed = True
            self.close_callers()
            # What was accepted last is read, and refused, before the next look.
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
        # What comes in the last moments goes elsewhere; taken, it was cut by the end.
        self.inbound.stop(now_ms)
        return True

    def finish(self) -> None:
        """Say what the node leaves as it ends."""
        for call in list(self.outbound.context.calls_in_flight):
            call.log_aborted()
        self._log(events.STOPPED)

    def _log(self, event: Event) -> None:
        admission = self.inbound.admission
        events.log(
            event,
            node=self.instance,
            calls=len(self.outbound.context.calls_in_flight),
            runs=len(admission.running),
            waiting=admission.in_flight - len(admission.running),
        )
