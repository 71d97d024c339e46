"""The audit task: collects audit items and writes them to the platform's log."""

import asyncio
from functools import singledispatchmethod

import aiohttp
import aiomisc
from returns.result import Failure, Success

from .. import events
from ..audit.in_force import InForceTracker
from ..audit.lost import LossTracker
from ..audit.outbox import Outbox
from ..audit.records import (
    STREAM,
    DrainBegun,
    DrainEnded,
    Gap,
    Item,
    decode_entry,
    encode_batch,
    encode_entry,
)
from ..audit.verdicts import derive_verdicts
from ..audit.writer import AuditWriter
from ..control.messages import AuditItems, AuditReceipt
from ..environment import Environment
from ..platform.backoff import Backoff
from ..platform.client import LogClient
from ..settings import Settings
from .audit_log import read_covered, read_heads
from .control import ControlService
from .messages import AuditInput, AuditMessageReceived, AuditOut, ItemArose

TICK_S = 0.25
FLUSH_CHECK_S = 0.05
RETENTION = "publications were dropped by retention before they were written here"


class AuditService(aiomisc.Service):
    """Keeps this node's audit items and, if it is the writer, its data centre's.

    The first reader of the data centre writes. It needs no election: two writers
    at once write entries that are equal, and readers of the trail drop copies.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    environment : Environment
        Clock and randomness.
    control : ControlService
        Tells the readers, the members and the reports, and carries messages.
    node_run : str
        Random name of this run of the node.
    """

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        control: ControlService,
        node_run: str,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.control = control
        self.inputs: asyncio.Queue[AuditInput] = asyncio.Queue()
        self.outbox = Outbox(settings.instance, node_run)
        self.writer = AuditWriter(
            settings.data_centre, settings.instance, settings.audit.append_interval_ms
        )
        self._node_run = node_run
        self._in_force = InForceTracker()
        self._losses = LossTracker()
        self._is_writer = False
        self._is_recovered = False
        self._is_delayed = False
        self._retry_ms = 0.0
        self._backoff = Backoff(environment.random, first_ms=500)
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Take items and write them until stopped."""
        self._session = aiohttp.ClientSession()
        log = LogClient(self._session, self.settings.platform_url, self.environment)
        self.start_event.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._take_inputs())
            group.create_task(self._tick(log))

    async def _take_inputs(self) -> None:
        while True:
            self._take(await self.inputs.get())

    def _now_ms(self) -> float:
        return self.environment.clock.monotonic_ms()

    def _wall_ms(self) -> int:
        return self.environment.clock.now_ms()

    # -- inputs --------------------------------------------------------------

    @singledispatchmethod
    def _take(self, message: AuditInput) -> None:
        raise TypeError(f"{type(message).__name__} is no input")

    @_take.register
    def _(self, message: ItemArose) -> None:
        self.outbox.add(message.item, self._wall_ms())

    @_take.register
    def _(self, message: AuditMessageReceived) -> None:
        self._take_message(message.message)

    @singledispatchmethod
    def _take_message(self, message: AuditItems | AuditReceipt) -> None:
        raise TypeError(f"{type(message).__name__} is no message")

    @_take_message.register
    def _(self, message: AuditItems) -> None:
        decoded = [decode_entry(raw) for raw in message.entries]
        entries = [found.unwrap() for found in decoded if isinstance(found, Success)]
        if self._is_writer:
            self.writer.take(entries, self._wall_ms())

    @_take_message.register
    def _(self, message: AuditReceipt) -> None:
        if message.run == self._node_run:
            self.outbox.receipt(message.number)

    # -- time ----------------------------------------------------------------

    async def _tick(self, log: LogClient) -> None:
        while True:
            # The last instance of a data centre writes also after it left.
            readers = self.control.readers.names() or [self.settings.instance]
            writer = readers[0]
            self._change_role(writer == self.settings.instance)
            self._hand_over(writer)
            if self._is_writer:
                await self._write(log)
            await asyncio.sleep(TICK_S)

    def _change_role(self, is_writer: bool) -> None:
        if is_writer == self._is_writer:
            return
        self._is_writer = is_writer
        self._is_recovered = False
        self._in_force = InForceTracker()
        self._losses = LossTracker()
        self.writer.clear()
        if is_writer:
            events.emit(events.AUDIT_WRITER, data_centre=self.settings.data_centre)

    def _hand_over(self, writer: str) -> None:
        entries = self.outbox.take(writer, self._now_ms(), self._wall_ms())
        for entry in entries:
            if isinstance(entry.item, Gap):
                events.emit(events.AUDIT_GAP, reason=entry.item.reason)
        if not entries:
            return
        if self._is_writer:
            self.writer.take(entries, self._wall_ms())
            return
        self._send(writer, AuditItems([encode_entry(entry) for entry in entries]))

    def _send(self, instance: str, message: AuditItems | AuditReceipt) -> None:
        self.control.inputs.put_nowait(AuditOut(instance, message))

    # -- the writer ----------------------------------------------------------

    async def _write(self, log: LogClient) -> None:
        wall_ms = self._wall_ms()
        self.writer.derive(self._observe(), wall_ms)
        if self._now_ms() < self._retry_ms:
            return
        if not self._is_recovered and not await self._recover(log):
            self._note_failure()
            return
        if not await self._derive_verdicts(log):
            self._note_failure()
            return
        await self._append(log)

    def _observe(self) -> list[Item]:
        """Return what the reports and the membership tell."""
        membership = self.control.membership
        statuses = {m.instance: m.status for m in membership.members()}
        items: list[Item] = []
        for report in membership.reports():
            if report.data_centre == self.settings.data_centre:
                items.extend(self._in_force.take(report, statuses, self._now_ms()))
        items.extend(self._losses.take(statuses, membership.member, self._wall_ms()))
        return items

    async def _recover(self, log: LogClient) -> bool:
        """Find out what the last writer of this data centre covered."""
        found = await read_covered(log, self.settings.data_centre)
        if isinstance(found, Failure):
            return False
        self.writer.recover(found.unwrap())
        self._is_recovered = True
        return True

    async def _derive_verdicts(self, log: LogClient) -> bool:
        """Write what became of the publications since the last one covered."""
        state = self.control.spread.fold.state
        covered = self.writer.covered
        if state.as_of <= covered:
            return True
        found = await read_heads(log, covered, state.as_of)
        if isinstance(found, Failure):
            return False
        read = found.unwrap()
        self._note_retention(read.lost_records)
        items = derive_verdicts(read.heads, state.version)
        self.writer.derive(items, self._wall_ms())
        self.writer.covered = state.as_of
        return True

    def _note_retention(self, lost_records: int) -> None:
        if not lost_records or not self.writer.covered:
            return
        wall_ms = self._wall_ms()
        gap = Gap(self.settings.data_centre, 0, wall_ms, lost_records, RETENTION)
        self.writer.derive([gap], wall_ms)
        events.emit(events.AUDIT_GAP, reason=RETENTION, count=lost_records)

    async def _append(self, log: LogClient) -> None:
        batch = self.writer.next_batch(self._now_ms())
        if batch is None:
            return
        result = await log.append_attempt(STREAM, encode_batch(batch))
        if isinstance(result, Failure):
            self.writer.failed()
            self._note_failure()
            return
        self._note_success()
        for receipt in self.writer.appended():
            if receipt.run == self._node_run:
                self.outbox.receipt(receipt.number)
            else:
                message = AuditReceipt(receipt.run, receipt.number)
                self._send(receipt.origin, message)

    def _note_failure(self) -> None:
        self._retry_ms = self._now_ms() + self._backoff.next_ms()
        if not self._is_delayed:
            self._is_delayed = True
            events.emit(events.AUDIT_DELAYED, entries=len(self.writer))

    def _note_success(self) -> None:
        self._backoff.reset()
        if self._is_delayed:
            self._is_delayed = False
            events.emit(events.AUDIT_RESUMED)

    # -- stopping ------------------------------------------------------------

    def begin_drain(self, in_flight: int) -> DrainBegun:
        """Note that the node begins to stop gracefully."""
        begun = DrainBegun(self.settings.instance, self._wall_ms(), in_flight)
        self.inputs.put_nowait(ItemArose(begun))
        return begun

    async def end_drain(
        self,
        begun: DrainBegun,
        requests_cut: int,
        handed_over: bool,
        timeout_s: float,
    ) -> bool:
        """Note the end of the drain; return whether every item is on the log."""
        ended = DrainEnded(
            begun.instance, begun.begun_ms, self._wall_ms(), requests_cut, handed_over
        )
        self.inputs.put_nowait(ItemArose(ended))
        deadline_ms = self._now_ms() + timeout_s * 1000
        while self._now_ms() < deadline_ms:
            await asyncio.sleep(FLUSH_CHECK_S)
            if self.inputs.empty() and not len(self.outbox):
                return True
        return False

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the connection to the log."""
        if self._session is not None:
            await self._session.close()
