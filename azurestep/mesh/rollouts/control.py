"""Roll-outs: orders of the operators, verdicts, and their statuses in the store.

Readers of the configuration find the orders. The nodes beside the backend servers of
both versions report their runs to a few nodes of each data centre, the judges. A judge
that finds the new version bad stops it everywhere at once. One node, the leader, moves
the other phases on and writes the status; the first verdict in the store binds all.
"""

import attrs

from ...errors import MessageMalformedError
from ...platform.rollout import (
    RolloutOrder,
    RolloutState,
    is_rollout_key,
    read_order,
)
from ...platform.store import StoreClient
from .. import events
from ..backend.inbound import Inbound
from ..decisions.rollout import Phase, Rollout, VersionRole
from ..decisions.rollout_plan import RolloutView, is_spreading, next_phase
from ..incarnation import NO_INCARNATION, Incarnation
from ..knowledge.store_era import StoreEra
from ..link_messages import RolloutUpdate, TrialCounts
from ..links.members import Members
from ..links.server import IncomingLinks
from ..runtime import Runtime
from ..settings import Address
from .statuses import Statuses
from .trials import Trial

JUDGES_PER_DATA_CENTRE = 2
"""Nodes of each data centre that compare the versions, so that one may fail."""
REPORT_TICKS = 2
"""Ticks between reports of runs."""
SETTLE_MS = 400.0
"""Time in which peers tell the progress of an order that this node found at its start.

Then the status in the store is read.
"""
REMINDER_TICKS = 10
"""Ticks between repeated messages of the judges about a roll-out's phase."""
REMINDED_AFTER_END_MS = 10_000.0
"""Time for which they repeat a verdict."""
MAX_REPORT_AGE_MS = 1000.0
"""Longest age of the reports by which a roll-out is completed; five are due meanwhile.

A node that was paused, or is cut off without noticing it, may lack a peer's stop.
"""
ABSENT_AFTER_MS = 10_000.0
"""Time after which a lost peer no longer delays a roll-out."""
STATES = {
    Phase.ROLLED_BACK: RolloutState.ROLLED_BACK,
    Phase.COMPLETED: RolloutState.COMPLETED,
    Phase.STOPPED: RolloutState.ROLLED_BACK,
}
"""Status by phase; all other phases are running."""


@attrs.define(eq=False, repr=False)
class Rollouts:
    """Follows the roll-outs of all services at one node.

    Attributes
    ----------
    stopping : bool
        Whether the node shuts down and leaves decisions to others.
    """

    runtime: Runtime
    client: StoreClient
    members: Members
    incoming_links: IncomingLinks
    inbound: Inbound
    era: StoreEra
    stopping: bool = False
    _trials: dict[str, Trial] = attrs.field(factory=dict)
    _statuses: Statuses = attrs.field(init=False)
    _ticks: int = 0
    _last_incarnation: Incarnation = NO_INCARNATION

    def __attrs_post_init__(self) -> None:
        self._statuses = Statuses(
            self.runtime,
            self.client,
            self.era,
            self._advance,
            self._is_current,
            self._may_complete,
        )

    # Orders and news.

    def apply_record(self, key: str, value: bytes, offset: int, live: bool) -> None:
        """Apply an order from the store.

        ``live``: it was read as it was written; otherwise it may be an old one.
        """
        if not is_rollout_key(key) or not value:
            return
        try:
            order = read_order(key, value)
        except MessageMalformedError as error:
            events.log(events.ROLLOUT_REJECTED, cause=error.problem)
            return
        phase = Phase.CANARY if live else Phase.PENDING
        self.apply_update(self._update_of(order, offset, phase, order.duration_ms))

    def _update_of(
        self, order: RolloutOrder, offset: int, phase: Phase, remaining_ms: float
    ) -> RolloutUpdate:
        return RolloutUpdate(
            order.service,
            order.new_version,
            self.era.current,
            offset,
            int(phase),
            order.duration_ms,
            remaining_ms,
        )

    def apply_update(self, update: RolloutUpdate, from_peer: bool = False) -> None:
        """Adopt an order or a later phase; tell all peers if it isn't from one."""
        table, now_ms = self.inbound.rollouts, self.runtime.now_ms()
        former = table.get(update.service)
        if not table.apply(update, now_ms, self.members.count()):
            return
        rollout = table.get(update.service)
        if rollout is None:
            return
        if rollout is not former:
            self._begin(rollout)
        self._report_phase(rollout, tell=not from_peer)

    def _begin(self, rollout: Rollout) -> None:
        self._trials[rollout.service] = Trial()
        self._statuses.forget(rollout.service)
        if rollout.service == self.inbound.backend.service:
            self.inbound.trial_runs.clear()
        if not rollout.is_final:
            events.log(
                events.ROLLOUT_BEGUN,
                service=rollout.service,
                version=rollout.new_version,
                remaining_ms=round(rollout.deadline_ms - self.runtime.now_ms()),
            )

    def _report_phase(self, rollout: Rollout, tell: bool = True) -> None:
        """Apply a new phase at this node, log it and tell the peers."""
        now_ms = self.runtime.now_ms()
        self.inbound.apply_rollout()
        if rollout.phase is Phase.PENDING:
            return
        if tell:
            self.incoming_links.broadcast_rollout(rollout.to_update(now_ms))
        trial = self._trials[rollout.service]
        events.log(
            events.ROLLOUT_PHASE,
            service=rollout.service,
            version=rollout.new_version,
            phase=rollout.phase.name,
            runs=trial.comparison.new_runs,
            bad=trial.comparison.new_bad,
            late=now_ms > rollout.deadline_ms,
        )
        self.runtime.metrics.count("rollouts", rollout.phase.name.lower())

    def on_store_era(self) -> None:
        """Write the statuses again, which the store may have lost."""
        self._statuses.forget_all()

    # Evidence.

    def apply_counts(self, address: Address, counts: TrialCounts) -> None:
        """Add what a backend server ran, as its node reports it."""
        rollout = self.inbound.rollouts.get(counts.service)
        trial = self._trials.get(counts.service)
        if rollout is None or trial is None or not rollout.in_trial:
            return
        if (counts.era, counts.offset) != (rollout.era, rollout.offset):
            return
        is_new = counts.version == rollout.new_version
        trial.apply(address, counts, is_new, self.runtime.now_ms())

    def _report_runs(self) -> None:
        """Report the runs of the local backend server to the judges."""
        inbound, backend = self.inbound, self.inbound.backend
        rollout = inbound.rollouts.get(backend.service)
        if not backend.incarnation.matches(self._last_incarnation):
            inbound.trial_runs.clear()
            self._last_incarnation = backend.incarnation
        if rollout is None or not rollout.in_trial or not backend.version:
            return
        counts = TrialCounts(
            backend.service,
            backend.version,
            rollout.era,
            rollout.offset,
            inbound.admission.in_flight,
            inbound.trial_runs.report(),
        )
        judges = self._judges()
        self.incoming_links.send_trial_counts(counts, judges)
        if self.members.own_address in judges:
            self.apply_counts(self.members.own_address, counts)

    def _judges(self) -> set[Address]:
        """Return the nodes that compare the versions: the first of each data centre."""
        by_data_centre: dict[str, list[Address]] = {}
        for link in self.members.live_links():
            if link.state is None or not link.state.stopping:
                found = by_data_centre.setdefault(link.endpoint.data_centre, [])
                found.append(link.address)
        if not self.stopping:
            own = by_data_centre.setdefault(self.members.data_centre, [])
            own.append(self.members.own_address)
        return {
            address
            for addresses in by_data_centre.values()
            for address in sorted(addresses)[:JUDGES_PER_DATA_CENTRE]
        }

    # Decisions.

    def tick(self, now_ms: float) -> None:
        """Report runs, compare the versions and move the roll-outs on."""
        self._ticks += 1
        table = self.inbound.rollouts
        if table.has_due_change(now_ms):
            self.members.regroup()
            self.inbound.apply_rollout()
        rollouts = [one for one in table if self._needs_work(one, now_ms)]
        if not rollouts:
            return
        if self._ticks % REPORT_TICKS == 0:
            self._report_runs()
        for rollout in rollouts:
            self._trials[rollout.service].comparison.tick()
            self._exchange_status(rollout, now_ms)
            if not self.stopping and self.members.own_address in self._judges():
                self._decide(rollout, now_ms)
                self._remind(rollout, now_ms)

    def _needs_work(self, rollout: Rollout, now_ms: float) -> bool:
        if not rollout.is_final:
            return True
        if now_ms - rollout.phase_since_ms < REMINDED_AFTER_END_MS:
            return True
        return not self._statuses.knows(rollout) and self._is_leader()

    def _remind(self, rollout: Rollout, now_ms: float) -> None:
        """Repeat the phase to all peers, since a link may have missed it."""
        if self._ticks % REMINDER_TICKS == 0 and rollout.phase is not Phase.PENDING:
            self.incoming_links.broadcast_rollout(rollout.to_update(now_ms))

    def _decide(self, rollout: Rollout, now_ms: float) -> None:
        comparison = self._trials[rollout.service].comparison
        if rollout.in_trial and comparison.is_bad:
            self._log_evidence(rollout)
            self._advance(rollout, Phase.STOPPED)
        elif rollout.in_trial and self._is_leader():
            phase = next_phase(rollout, self._view(rollout, now_ms), now_ms)
            if phase is Phase.COMPLETED:
                self._statuses.write(rollout, RolloutState.COMPLETED, now_ms)
            elif phase is not None:
                self._log_evidence(rollout)
                self._advance(rollout, phase)

    def _is_current(self, rollout: Rollout) -> bool:
        return self.inbound.rollouts.get(rollout.service) is rollout

    def _may_complete(self, rollout: Rollout) -> bool:
        """Whether a roll-out is completed, or would be decided so now."""
        now_ms = self.runtime.now_ms()
        view = self._view(rollout, now_ms)
        return Phase.COMPLETED in (rollout.phase, next_phase(rollout, view, now_ms))

    def _advance(self, rollout: Rollout, phase: Phase) -> None:
        now_ms = self.runtime.now_ms()
        if self.inbound.rollouts.advance(rollout, phase, now_ms):
            self._report_phase(rollout)

    def _log_evidence(self, rollout: Rollout) -> None:
        comparison = self._trials[rollout.service].comparison
        route, evidence = comparison.worst
        events.log(
            events.ROLLOUT_EVIDENCE,
            service=rollout.service,
            version=rollout.new_version,
            route=route,
            evidence=round(evidence, 1),
            runs=comparison.new_runs,
            bad=comparison.new_bad,
            old_bad_ratio=round(comparison.old_bad_ratio(route), 3),
        )

    def _view(self, rollout: Rollout, now_ms: float) -> RolloutView:
        trial = self._trials[rollout.service]
        table = self.inbound.rollouts
        new_slots = old_slots = 0
        old_addresses: list[object] = []
        for endpoint in self.members.all_endpoints():
            if endpoint.service != rollout.service:
                continue
            if endpoint.version == rollout.new_version:
                new_slots += endpoint.slots if endpoint.usable else 0
                continue
            old_addresses.append(endpoint.key)
            role = table.role_of(rollout.service, endpoint.version, now_ms)
            usable = endpoint.usable and role is not VersionRole.WITHHELD
            old_slots += endpoint.slots if usable else 0
        reported_since_ms = max(
            rollout.phase_since_ms + SETTLE_MS, now_ms - MAX_REPORT_AGE_MS
        )
        return RolloutView(
            new_slots,
            old_slots,
            trial.comparison.new_runs,
            trial.comparison.is_bad,
            trial.is_idle(old_addresses, reported_since_ms),
            self._sees_all(now_ms),
        )

    def _sees_all(self, now_ms: float) -> bool:
        """Whether no peer was lost recently, and none of a whole data centre is."""
        lost_data_centres = set()
        for link in self.members.links.values():
            if link.up or link.peer is None:
                continue
            if link.state is not None and link.state.stopping:
                continue
            if now_ms - link.lost_since_ms < ABSENT_AFTER_MS:
                return False
            lost_data_centres.add(link.endpoint.data_centre)
        seen = {link.endpoint.data_centre for link in self.members.live_links()}
        return not lost_data_centres - seen - {self.members.data_centre}

    def _is_leader(self) -> bool:
        """Whether this node writes the statuses: the first that reaches the store."""
        if self.stopping:
            return False
        own_host = self.members.own_address[0]
        return not any(
            link.address[0] < own_host
            and link.state is not None
            and link.state.store_reachable
            and not link.state.stopping
            for link in self.members.live_links()
        )

    def _exchange_status(self, rollout: Rollout, now_ms: float) -> None:
        """Write the status of a phase, or read it if the phase is not known."""
        if rollout.phase is Phase.PENDING:
            if now_ms - rollout.phase_since_ms > SETTLE_MS:
                self._statuses.read(rollout, now_ms)
        elif self._is_leader() and not is_spreading(rollout, now_ms):
            state = STATES.get(rollout.phase, RolloutState.RUNNING)
            if not self._statuses.is_written(rollout, state):
                self._statuses.write(rollout, state, now_ms)
