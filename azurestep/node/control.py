"""The control task: owns the peer sockets and drives the control decisions."""

import asyncio
from functools import singledispatchmethod

import aiomisc
import attrs

from .. import events
from ..config.fold import (
    Accepted,
    Adopted,
    CheckpointRead,
    FoldEvent,
    GapFound,
    Mismatched,
    Refused,
    Regressed,
    Unsupported,
)
from ..control.link import Links
from ..control.membership import Membership
from ..control.messages import MemberState, MemberStatus, Sender
from ..control.outputs import (
    Folded,
    Learned,
    MemberChanged,
    Output,
    ReplaceLink,
    Send,
    VersionApplied,
    VersionConflict,
)
from ..control.ring import rendezvous
from ..control.spread import Spread
from ..control.summaries import Summarizer
from ..environment import Environment
from ..settings import Settings
from ..traffic.directory import DirectoryBuilder
from ..traffic.table import RoutingTable
from .messages import (
    ControlInput,
    DirectoryReady,
    LeaveRequested,
    LogLost,
    PageRead,
    ServersChanged,
    TableReady,
    TrafficInput,
)

READER = "reader"
TICK_S = 0.1
MEMBER_EVENTS = {
    MemberStatus.ALIVE: events.MEMBER_ALIVE,
    MemberStatus.SUSPECT: events.MEMBER_SUSPECTED,
    MemberStatus.DEAD: events.MEMBER_DEAD,
    MemberStatus.LEFT: events.MEMBER_LEFT,
}


class ControlService(aiomisc.Service):
    """Runs membership and spreading of one node.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    environment : Environment
        Clock and randomness.
    traffic : asyncio.Queue
        Where tables and directories go.
    """

    settings: Settings
    environment: Environment
    traffic: "asyncio.Queue[TrafficInput]"

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        traffic: "asyncio.Queue[TrafficInput]",
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.traffic = traffic
        self.inputs: asyncio.Queue[ControlInput] = asyncio.Queue()
        own = self._own_record()
        self.membership = Membership(
            own, list(settings.peers), settings.control, environment.random
        )
        self.spread = Spread(
            self.membership,
            settings.control,
            environment.random,
            environment.clock.now_ms,
        )
        self._summarizer = Summarizer(self.membership)
        self._directory = DirectoryBuilder(settings.data_centre)
        self._directory_is_stale = True
        self.checkpoint_as_of = 0
        sender = Sender(
            own.instance,
            own.data_centre,
            own.incarnation,
            own.host,
            own.control_port,
        )
        self.links = Links(sender, settings.fleet_key)

    def _own_record(self) -> MemberState:
        settings = self.settings
        return MemberState(
            settings.instance,
            settings.data_centre,
            settings.region,
            self.environment.clock.now_ms(),
            1,
            int(MemberStatus.ALIVE),
            settings.host,
            settings.control_port,
            settings.operator_port,
        )

    async def start(self) -> None:
        """Open the sockets and run until stopped."""
        self.links.open()
        self.start_event.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._take_inputs())
            group.create_task(self._tick())

    async def stop(self, exception: Exception | None = None) -> None:
        """Tell the peers and close the sockets."""
        self._perform_all(self._leave())
        await self.links.close()

    # -- tasks ---------------------------------------------------------------

    async def _receive(self) -> None:
        while True:
            envelope = await self.links.receive()
            now_ms = self._now_ms()
            for decision in (self.membership, self.spread):
                self._perform_all(
                    decision.handle(envelope.message, envelope.sender, now_ms)
                )

    async def _take_inputs(self) -> None:
        while True:
            self._perform_all(self._take(await self.inputs.get()))

    async def _tick(self) -> None:
        while True:
            now_ms = self._now_ms()
            self._perform_all(self.membership.tick(now_ms))
            self._perform_all(self.spread.tick(now_ms))
            self._perform_all(self._summarizer.tick(now_ms))
            self._refresh_directory(now_ms)
            await asyncio.sleep(TICK_S)

    def _now_ms(self) -> float:
        return self.environment.clock.monotonic_ms()

    # -- inputs --------------------------------------------------------------

    @singledispatchmethod
    def _take(self, message: ControlInput) -> list[Output]:
        raise TypeError(f"{type(message).__name__} is no input")

    @_take.register
    def _(self, message: ServersChanged) -> list[Output]:
        self._directory_is_stale = True
        return self.membership.change_own(servers=message.servers)

    @_take.register
    def _(self, message: PageRead) -> list[Output]:
        outputs = self.spread.take_page(message.page, self._now_ms())
        if not self.membership.own.log_reachable:
            events.emit(events.PLATFORM_REACHED)
            outputs.extend(self.membership.change_own(log_reachable=True))
        return outputs

    @_take.register
    def _(self, message: LogLost) -> list[Output]:
        if not self.membership.own.log_reachable:
            return []
        events.emit(events.PLATFORM_UNREACHABLE, cause=message.cause)
        return self.membership.change_own(log_reachable=False)

    @_take.register
    def _(self, message: LeaveRequested) -> list[Output]:
        return self._leave()

    def _leave(self) -> list[Output]:
        if self.membership.own.status == MemberStatus.LEFT:
            return []
        return self.membership.change_own(status=MemberStatus.LEFT)

    # -- views ---------------------------------------------------------------

    def is_reader(self) -> bool:
        """Whether this node follows the platform's log."""
        members = self.membership.members()
        able = [m.instance for m in members if m.log_reachable]
        names = able or [m.instance for m in members]
        count = self.settings.control.readers_per_data_centre
        return self.settings.instance in rendezvous(READER, names, count)

    def is_checkpoint_due(self) -> bool:
        """Whether enough records came since the last checkpoint."""
        state = self.spread.fold.state
        if not state.version or self.spread.fold.is_seeking:
            return False
        behind = state.as_of - self.checkpoint_as_of
        return behind >= self.settings.control.checkpoint_records

    # -- outputs -------------------------------------------------------------

    def _perform_all(self, outputs: list[Output]) -> None:
        for output in outputs:
            self._perform(output)

    @singledispatchmethod
    def _perform(self, output: Output) -> None:
        raise TypeError(f"{type(output).__name__} is no output")

    @_perform.register
    def _(self, output: Send) -> None:
        self.links.send(output.to, output.message)

    @_perform.register
    def _(self, output: ReplaceLink) -> None:
        events.emit(events.LINK_REPLACED, to=str(output.to))
        self.links.replace(output.to)

    @_perform.register
    def _(self, output: MemberChanged) -> None:
        self._directory_is_stale = True
        member = output.member
        event = MEMBER_EVENTS[MemberStatus(member.status)]
        events.emit(event, instance=member.instance)

    @_perform.register
    def _(self, output: Learned) -> None:
        self._directory_is_stale = True

    @_perform.register
    def _(self, output: VersionApplied) -> None:
        state = self.spread.fold.state
        assert state.configuration is not None
        table = RoutingTable(state.version, state.configuration)
        self.traffic.put_nowait(TableReady(table))
        events.emit(
            events.VERSION_IN_FORCE,
            version=state.version,
            hash=state.document.hash.hex(),
            at_ms=self.environment.clock.now_ms(),
        )

    @_perform.register
    def _(self, output: VersionConflict) -> None:
        events.emit(
            events.VERSION_CONFLICT, version=output.version, peer=str(output.peer)
        )

    @_perform.register
    def _(self, output: Folded) -> None:
        self._note(output.event)

    def _refresh_directory(self, now_ms: float) -> None:
        if not self._directory_is_stale:
            return
        self._directory_is_stale = False
        directory = self._directory.build(self.membership.table.updates(), now_ms)
        self.traffic.put_nowait(DirectoryReady(directory))

    # -- events of the fold --------------------------------------------------

    @singledispatchmethod
    def _note(self, event: FoldEvent) -> None:
        raise TypeError(f"{type(event).__name__} is no event of the fold")

    @_note.register
    def _(self, event: Accepted) -> None:
        events.emit(events.PUBLICATION_ACCEPTED, **attrs.asdict(event))

    @_note.register
    def _(self, event: Refused) -> None:
        events.emit(events.PUBLICATION_REFUSED, **attrs.asdict(event))

    @_note.register
    def _(self, event: Adopted) -> None:
        return

    @_note.register
    def _(self, event: CheckpointRead) -> None:
        self.checkpoint_as_of = max(self.checkpoint_as_of, event.as_of)

    @_note.register
    def _(self, event: Mismatched) -> None:
        events.emit(events.CHECKPOINT_MISMATCH, **attrs.asdict(event))

    @_note.register
    def _(self, event: Regressed) -> None:
        events.emit(events.LOG_REGRESSED, **attrs.asdict(event))

    @_note.register
    def _(self, event: GapFound) -> None:
        events.emit(events.RETENTION_GAP, **attrs.asdict(event))

    @_note.register
    def _(self, event: Unsupported) -> None:
        events.emit(events.FORMAT_UNSUPPORTED, **attrs.asdict(event))
