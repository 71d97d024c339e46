"""The control task: owns the peer sockets and drives the control decisions."""

import asyncio
from functools import partial, singledispatchmethod

import aiomisc
import attrs

from .. import events
from ..control.codec import Envelope
from ..control.link import Links
from ..control.membership import Membership
from ..control.messages import AuditItems, AuditReceipt, OwnerMessage, Sender
from ..control.outputs import (
    Output,
    Send,
)
from ..control.relay import LogRelay
from ..control.spread import Spread
from ..control.summaries import Summarizer
from ..control.updates import MemberState, MemberStatus, Update
from ..environment import Environment
from ..errors import MessageMalformedError
from ..once.messages import (
    ForwardFailed,
    LogHealth,
)
from ..once.records import NodeId
from ..settings import Settings
from ..traffic.directory import DirectoryBuilder
from ..traffic.pool import QuarantineReport
from .checkpoints import CheckpointPace
from .messages import (
    AuditInput,
    AuditMessageReceived,
    AuditOut,
    ControlInput,
    DirectoryReady,
    LeaveRequested,
    LogLost,
    OnceInput,
    OwnerMessageOut,
    OwnerMessageReceived,
    OwnershipPageRead,
    PageRead,
    QuarantineNoticed,
    ServersChanged,
    TrafficInput,
)
from .outcomes import Outcomes
from .owners import OwnerDirectory
from .readers import Readers
from .suspects import suspect_updates

TICK_S = 0.1


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
        self.checkpoints = CheckpointPace(settings.control, self._now_ms())
        sender = Sender(
            own.instance,
            own.data_centre,
            own.incarnation,
            own.host,
            own.control_port,
        )
        self.links = Links(sender, settings.fleet_key)
        self._outcomes = Outcomes(
            environment=environment,
            membership=self.membership,
            spread=self.spread,
            links=self.links,
            directory=self._directory,
            owners=self._owners,
            checkpoints=self.checkpoints,
            traffic=traffic,
            tell_once=self._tell_once,
        )

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
        self._directory.apply(self.membership.own)
        return outputs

    @_take.register
    def _(self, message: PageRead) -> list[Output]:
        outputs = self.spread.apply_page(
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
        return self.relay.apply_page(
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
        updates: list[Update] = [*suspect_updates(message.report, own, at_ms)]
        return self.membership.broadcast(updates)

    def notice_quarantine(self, report: QuarantineReport) -> None:
        """Take what the proxy noticed, to tell the peers."""
        self.inputs.put_nowait(QuarantineNoticed(report))

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

    def _perform(self, output: Output) -> None:
        self._outcomes.perform(output)

    def _refresh_directory(self, now_ms: float) -> None:
        if not self._directory.is_stale:
            return
        directory = self._directory.build(now_ms)
        self.traffic.put_nowait(DirectoryReady(directory))
        for service in directory.changed:
            self._owners.replace(service, self._directory.servers(service))
        self._outcomes.tell_owners()
