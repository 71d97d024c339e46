"""What the control task does with the outputs of its decisions."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

import attrs

from .. import events
from ..config.fold import CheckpointRead
from ..control.link import Links
from ..control.membership import Membership
from ..control.messages import Broadcast
from ..control.outputs import (
    Folded,
    Learned,
    MemberChanged,
    Output,
    RecordsRelayed,
    ReplaceLink,
    Send,
    VersionApplied,
    VersionConflict,
)
from ..control.spread import Spread
from ..control.updates import MemberStatus, SuspectRequest, Update
from ..environment import Environment
from ..once.fold import LogEntry
from ..once.messages import LogRecordsRead, LogRegressed
from ..traffic.directory import DirectoryBuilder
from ..traffic.table import RoutingTable
from .checkpoints import CheckpointPace
from .fold_events import log_fold_event
from .messages import (
    OnceInput,
    OwnershipAllowed,
    QuarantineLearned,
    TableReady,
    TrafficInput,
)
from .owners import OwnerDirectory
from .suspects import quarantine_report

MEMBER_EVENTS = {
    MemberStatus.ALIVE: events.MEMBER_ALIVE,
    MemberStatus.SUSPECT: events.MEMBER_SUSPECTED,
    MemberStatus.DEAD: events.MEMBER_DEAD,
    MemberStatus.LEFT: events.MEMBER_LEFT,
}


@attrs.define(kw_only=True)
class Outcomes:
    """Carries out what membership, spreading and relay decided.

    Attributes
    ----------
    traffic : asyncio.Queue
        Where tables and directories go.
    tell_once : Callable
        Passes a message to the at-most-once task.
    """

    environment: Environment
    membership: Membership
    spread: Spread
    links: Links
    directory: DirectoryBuilder
    owners: OwnerDirectory
    checkpoints: CheckpointPace
    traffic: "asyncio.Queue[TrafficInput]"
    tell_once: Callable[[OnceInput], None]
    _non_idempotent_services: frozenset[str] = frozenset()

    @singledispatchmethod
    def perform(self, output: Output) -> None:
        """Do what an output asks for."""
        raise TypeError(f"{type(output).__name__} is no output")

    @perform.register
    def _(self, output: Send) -> None:
        self.links.send(output.to, output.message)

    @perform.register
    def _(self, output: ReplaceLink) -> None:
        events.emit(events.LINK_REPLACED, to=str(output.to))
        self.links.replace(output.to)

    @perform.register
    def _(self, output: MemberChanged) -> None:
        member = output.member
        self.directory.apply(member)
        event = MEMBER_EVENTS[MemberStatus(member.status)]
        events.emit(event, instance=member.instance)

    @perform.register
    def _(self, output: Learned) -> None:
        if isinstance(output.update, SuspectRequest):
            self._learn_suspect(output.update)
            return
        self.directory.apply(output.update)

    def _learn_suspect(self, update: SuspectRequest) -> None:
        self.traffic.put_nowait(QuarantineLearned(quarantine_report(update)))
        own = self.membership.own
        is_own = update.data_centre == own.data_centre
        if is_own and self.membership.bridges()[:1] == [own.instance]:
            for output in self._tell_abroad([update]):
                self.perform(output)

    def _tell_abroad(self, updates: list[Update]) -> list[Output]:
        message = Broadcast("", updates)
        return [Send(to, message) for to in self.membership.contacts_abroad()]

    @perform.register
    def _(self, output: VersionApplied) -> None:
        state = self.spread.fold.state
        assert state.configuration is not None
        table = RoutingTable(state.version, state.configuration)
        self.traffic.put_nowait(TableReady(table))
        self._non_idempotent_services = table.non_idempotent_services
        self.owners.choose(table.non_idempotent_services)
        self.tell_owners()
        events.emit(
            events.VERSION_IN_FORCE,
            version=state.version,
            hash=state.document.hash.hex(),
            at_ms=self.environment.clock.now_ms(),
        )

    @perform.register
    def _(self, output: VersionConflict) -> None:
        events.emit(
            events.VERSION_CONFLICT, version=output.version, peer=str(output.peer)
        )

    @perform.register
    def _(self, output: Folded) -> None:
        if isinstance(output.event, CheckpointRead):
            self.checkpoints.note(
                output.event.as_of, self.environment.clock.monotonic_ms()
            )
        log_fold_event(output.event)

    @perform.register
    def _(self, output: RecordsRelayed) -> None:
        if output.has_regressed:
            self.tell_once(LogRegressed())
            return
        entries = tuple(LogEntry(r.offset, r.payload) for r in output.records)
        self.tell_once(LogRecordsRead(output.from_offset, entries, output.next_offset))

    def tell_owners(self) -> None:
        """Tell the at-most-once task which nodes own keys, and whether this does."""
        change = self.owners.change()
        if change is not None:
            self.tell_once(change)
        if any(
            s.service in self._non_idempotent_services
            for s in self.membership.own.servers
        ):
            self.tell_once(OwnershipAllowed())
