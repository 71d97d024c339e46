"""The control task: owns the peer sockets and drives the control decisions."""

import asyncio
from functools import partial, singledispatchmethod

import aiomisc
import attrs

from .. import events
from ..config.fold import CheckpointRead
from ..control.codec import Envelope
from ..control.link import Links
from ..control.membership import Membership
from ..control.messages import AuditItems, AuditReceipt, Broadcast, OwnerMessage, Sender
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
from ..control.relay import LogRelay
from ..control.spread import Spread
from ..control.summaries import Summarizer
from ..control.updates import MemberState, MemberStatus, SuspectRequest, Update
from ..environment import Environment
from ..errors import MessageMalformedError
from ..once.fold import LogEntry
from ..once.messages import (
    ForwardFailed,
    Input,
    LogHealth,
    LogRecordsRead,
    LogRegressed,
)
from ..once.records import NodeId
from ..settings import Settings
from ..traffic.directory import DirectoryBuilder
from ..traffic.pool import QuarantineNews
from ..traffic.table import RoutingTable
from .checkpoints import CheckpointPace
from .fold_events import log_fold_event
from .messages import (
    AuditInput,
    AuditMessageReceived,
    AuditOut,
    ControlInput,
    DirectoryReady,
    LeaveRequested,
    LogLost,
    OwnerMessageOut,
    OwnerMessageReceived,
    OwnershipAllowed,
    OwnershipPageRead,
    PageRead,
    QuarantineLearned,
    QuarantineNoticed,
    ServersChanged,
    TableReady,
    TrafficInput,
)
from .owners import OwnerDirectory
from .readers import Readers
from .suspects import quarantine_news, suspect_updates

OnceInput = Input | OwnerMessageReceived | OwnershipAllowed

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
    node_run : str
        Random name of this run of the node.

    Attributes
    ----------
    once : asyncio.Queue or None
        Where the at-most-once task takes its inputs.
    audit : asyncio.Queue or None
        Where the audit task takes its inputs.
    """

    settings: Settings
    environment: Environment
    traffic: "asyncio.Queue[TrafficInput]"

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        traffic: "asyncio.Queue[TrafficInput]",
        node_run: str = "",
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.traffic = traffic
        self.node_run = node_run
        self.once: asyncio.Queue[OnceInput] | None = None
        self.audit: asyncio.Queue[AuditInput] | None = None
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
        self.relay = LogRelay(self.membership, settings.control, environment.random)
        self._summarizer = Summarizer(self.membership)
        self._directory = DirectoryBuilder(settings.data_centre)
        self._owners = OwnerDirectory()
        self._is_log_reachable = True
        count = settings.control.readers_per_data_centre
        self.readers = Readers(self.membership, count)
        self._once_services: frozenset[str] = frozenset()
        self.checkpoints = CheckpointPace(settings.control, self._now_ms())
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
            try:
                self._take_message(envelope)
            except MessageMalformedError as error:
                self.links.counters.dropped_frames += 1
                events.emit(events.FRAME_DROPPED, cause=str(error))

    def _take_message(self, envelope: Envelope) -> None:
        message, sender = envelope.message, envelope.sender
        if isinstance(message, AuditItems | AuditReceipt):
            self._tell_audit(AuditMessageReceived(sender.instance, message))
            return
        if isinstance(message, OwnerMessage):
            node = NodeId(sender.instance, message.sender_run)
            self._owners.note_sender(node, sender.address)
            self._tell_once(OwnerMessageReceived(sender.instance, message))
            return
        now_ms = self._now_ms()
        for decision in (self.membership, self.spread, self.relay):
            self._perform_all(decision.handle(message, sender, now_ms))

    async def _take_inputs(self) -> None:
        while True:
            self._perform_all(self._take(await self.inputs.get()))

    async def _tick(self) -> None:
        while True:
            now_ms = self._now_ms()
            self._perform_all(self.membership.tick(now_ms))
            self._perform_all(self.spread.tick(now_ms))
            self._perform_all(self._summarizer.tick(now_ms))
            self._perform_all(self._tick_relay(now_ms))
            self._refresh_directory(now_ms)
            await asyncio.sleep(TICK_S)

    def _tick_relay(self, now_ms: float) -> list[Output]:
        readers = self.readers.names()
        reader = readers[0] if readers else None
        self._tell_log_health()
        is_reachable = self.membership.own.log_reachable
        return self.relay.tick(now_ms, reader, is_reachable)

    def _tell_log_health(self) -> None:
        """Tell the at-most-once task whether a reader reaches the log."""
        is_reachable = any(m.log_reachable for m in self.membership.members())
        if is_reachable != self._is_log_reachable:
            self._is_log_reachable = is_reachable
            self._tell_once(LogHealth(is_reachable))

    def _tell_once(self, message: OnceInput) -> None:
        if self.once is not None:
            self.once.put_nowait(message)

    def _tell_audit(self, message: AuditInput) -> None:
        if self.audit is not None:
            self.audit.put_nowait(message)

    def _now_ms(self) -> float:
        return self.environment.clock.monotonic_ms()

    # -- inputs --------------------------------------------------------------

    @singledispatchmethod
    def _take(self, message: ControlInput) -> list[Output]:
        raise TypeError(f"{type(message).__name__} is no input")

    @_take.register
    def _(self, message: ServersChanged) -> list[Output]:
        servers = [
            attrs.evolve(
                server,
                instance=self.settings.instance,
                node_run=self.node_run,
                control_port=self.settings.control_port,
            )
            for server in message.servers
        ]
        outputs = self.membership.change_own(servers=servers)
        self._directory.take(self.membership.own)
        return outputs

    @_take.register
    def _(self, message: PageRead) -> list[Output]:
        outputs = self.spread.take_page(
            message.page, self._now_ms(), self.readers.is_first()
        )
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
    def _(self, message: OwnershipPageRead) -> list[Output]:
        return self.relay.take_page(
            message.page, self._now_ms(), self.readers.is_first()
        )

    @_take.register
    def _(self, message: OwnerMessageOut) -> list[Output]:
        node = NodeId(message.instance, message.message.receiver_run)
        to = self._owners.address(node)
        on_drop = partial(self._tell_unsent, message.request_id)
        if to is None:
            on_drop()
        else:
            self.links.send(to, message.message, on_drop)
        return []

    def _tell_unsent(self, request_id: str) -> None:
        if request_id:
            self._tell_once(ForwardFailed(request_id, bytes_sent=False))

    @_take.register
    def _(self, message: AuditOut) -> list[Output]:
        member = self.membership.member(message.instance)
        return [Send(member.address, message.message)] if member else []

    @_take.register
    def _(self, message: QuarantineNoticed) -> list[Output]:
        at_ms = self.environment.clock.now_ms()
        own = self.membership.own
        updates: list[Update] = [*suspect_updates(message.news, own, at_ms)]
        return self.membership.broadcast(updates)

    def notice_quarantine(self, news: QuarantineNews) -> None:
        """Take what the proxy noticed, to tell the peers."""
        self.inputs.put_nowait(QuarantineNoticed(news))

    @_take.register
    def _(self, message: LeaveRequested) -> list[Output]:
        return self._leave()

    def _leave(self) -> list[Output]:
        if self.membership.own.status == MemberStatus.LEFT:
            return []
        return self.membership.change_own(status=MemberStatus.LEFT)

    def is_checkpoint_due(self) -> bool:
        """Whether enough records or time came since the last checkpoint."""
        return self.checkpoints.is_due(self.spread.fold, self._now_ms())

    def note_checkpoint(self, as_of: int) -> None:
        """Note that a checkpoint stands on the log."""
        self.checkpoints.note(as_of, self._now_ms())

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
        member = output.member
        self._directory.take(member)
        event = MEMBER_EVENTS[MemberStatus(member.status)]
        events.emit(event, instance=member.instance)

    @_perform.register
    def _(self, output: Learned) -> None:
        if isinstance(output.update, SuspectRequest):
            self._learn_suspect(output.update)
            return
        self._directory.take(output.update)

    def _learn_suspect(self, update: SuspectRequest) -> None:
        self.traffic.put_nowait(QuarantineLearned(quarantine_news(update)))
        own = self.membership.own
        is_own = update.data_centre == own.data_centre
        if is_own and self.membership.bridges()[:1] == [own.instance]:
            self._perform_all(self._tell_abroad([update]))

    def _tell_abroad(self, updates: list[Update]) -> list[Output]:
        message = Broadcast("", updates)
        return [Send(to, message) for to in self.membership.contacts_abroad()]

    @_perform.register
    def _(self, output: VersionApplied) -> None:
        state = self.spread.fold.state
        assert state.configuration is not None
        table = RoutingTable(state.version, state.configuration)
        self.traffic.put_nowait(TableReady(table))
        self._once_services = table.once_services
        self._owners.choose(table.once_services)
        self._tell_owners()
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
        if isinstance(output.event, CheckpointRead):
            self.checkpoints.note(output.event.as_of, self._now_ms())
        log_fold_event(output.event)

    @_perform.register
    def _(self, output: RecordsRelayed) -> None:
        if output.has_regressed:
            self._tell_once(LogRegressed())
            return
        entries = tuple(LogEntry(r.offset, r.payload) for r in output.records)
        self._tell_once(LogRecordsRead(output.from_offset, entries, output.next_offset))

    def _tell_owners(self) -> None:
        """Tell the at-most-once task which nodes own keys, and whether this does."""
        change = self._owners.change()
        if change is not None:
            self._tell_once(change)
        if any(s.service in self._once_services for s in self.membership.own.servers):
            self._tell_once(OwnershipAllowed())

    def _refresh_directory(self, now_ms: float) -> None:
        if not self._directory.is_stale:
            return
        directory = self._directory.build(now_ms)
        self.traffic.put_nowait(DirectoryReady(directory))
        for service in directory.changed:
            self._owners.replace(service, self._directory.servers(service))
        self._tell_owners()
