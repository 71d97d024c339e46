"""Relay of the ownership stream from the log readers to all nodes.

Few nodes read the platform's log, but all need to know the owner of each slot. The
first reader pushes new records down a tree; a node that missed some pulls them.
"""

import math
import random
from collections import deque
from functools import singledispatchmethod

import orjson

from ..platform.records import FIRST_OFFSET, Page
from ..settings import ControlSettings
from .membership import Membership
from .messages import Message, RecordsPull, RecordsPush, RelayedRecord, Sender
from .outputs import Output, RecordsRelayed, Send
from .packing import pack_records, unpack_records
from .ring import children

MAX_KEPT_RECORDS = 4000
MAX_RECORDS_PER_PULL = 500
PULL_INTERVAL_MS = 10_000
BATCH_DELAY_MS = 1000
BATCHED_KINDS = frozenset({"extend", "checkpoint"})
FIRST_PULL_INTERVAL_MS = 500


class LogRelay:
    """Keeps the latest records of the ownership stream and forwards them."""

    def __init__(
        self,
        membership: Membership,
        settings: ControlSettings,
        source: random.Random,
    ) -> None:
        self._membership = membership
        self._settings = settings
        self._random = source
        self._kept: deque[RelayedRecord] = deque(maxlen=MAX_KEPT_RECORDS)
        self._next_offset = FIRST_OFFSET
        self._is_initialised = False
        self._has_regressed = False
        self._next_pull_ms = 0.0
        self._batch: list[RelayedRecord] = []
        self._batch_due_ms = math.inf

    @property
    def next_offset(self) -> int:
        """Offset of the next record that this node expects."""
        return self._next_offset

    def apply_page(
        self, page: Page, now_ms: float, is_first_reader: bool
    ) -> list[Output]:
        """Apply records that this node read from the log.

        The first reader batches checkpoints and extensions of ownership intervals,
        which are not urgent; changes of ownership are pushed immediately.
        """
        if page.next_offset < page.from_offset:
            return self._regress(self._membership.own.instance)
        from_offset = max(self._next_offset, page.first_offset)
        records = [
            RelayedRecord(record.offset, orjson.dumps(record.value))
            for record in page.records
            if record.offset >= self._next_offset
        ]
        outputs = self._append(from_offset, records)
        if records and is_first_reader:
            self._batch.extend(records)
            self._batch_due_ms = min(self._batch_due_ms, now_ms + BATCH_DELAY_MS)
            if any(_is_urgent(record.value) for record in page.records):
                outputs.extend(self._flush())
        return outputs

    def _flush(self) -> list[Output]:
        records, self._batch = self._batch, []
        self._batch_due_ms = math.inf
        root = self._membership.own.instance
        packed = pack_records(records)
        push = RecordsPush(root, records[0].offset, self._next_offset, packed)
        return self._forward(push)

    def _append(self, from_offset: int, records: list[RelayedRecord]) -> list[Output]:
        if self._is_initialised and not records and from_offset <= self._next_offset:
            return []
        self._is_initialised = True
        self._kept.extend(records)
        self._next_offset = records[-1].offset + 1 if records else from_offset
        return [RecordsRelayed(from_offset, self._next_offset, tuple(records))]

    def _regress(self, root: str) -> list[Output]:
        if self._has_regressed:
            return []
        self._has_regressed = True
        offset = self._next_offset
        push = RecordsPush(root, offset, offset, b"", has_regressed=True)
        relayed = RecordsRelayed(offset, offset, (), has_regressed=True)
        return [relayed, *self._forward(push)]

    def _forward(self, push: RecordsPush) -> list[Output]:
        fan_out = max(1, self._settings.push_fan_out)
        own = self._membership.own.instance
        names = children(self._membership.order, push.root, own, fan_out)
        members = (self._membership.member(name) for name in names)
        return [Send(member.address, push) for member in members if member]

    def tick(
        self, now_ms: float, reader: str | None, is_log_reachable: bool
    ) -> list[Output]:
        """Push a due batch, or pull missed records from a reader or a remote node."""
        if now_ms >= self._batch_due_ms:
            return self._flush()
        if now_ms < self._next_pull_ms:
            return []
        interval_ms = (
            PULL_INTERVAL_MS if self._is_initialised else FIRST_PULL_INTERVAL_MS
        )
        self._next_pull_ms = now_ms + interval_ms * self._random.uniform(0.8, 1.2)
        own = self._membership.own.instance
        pull = RecordsPull(self._next_offset)
        if reader is not None and reader != own:
            member = self._membership.member(reader)
            return [Send(member.address, pull)] if member else []
        if is_log_reachable:
            return []
        return [Send(to, pull) for to in self._membership.remote_contacts()[:1]]

    @singledispatchmethod
    def handle(self, message: Message, sender: Sender, now_ms: float) -> list[Output]:
        """Handle a message; kinds not registered here are ignored."""
        return []

    @handle.register
    def _(self, message: RecordsPush, sender: Sender, now_ms: float) -> list[Output]:
        if message.has_regressed:
            return self._regress(message.root)
        if message.root and message.from_offset > self._next_offset:
            return [Send(sender.address, RecordsPull(self._next_offset))]
        records = unpack_records(message.packed)
        fresh = [r for r in records if r.offset >= self._next_offset]
        from_offset = max(self._next_offset, message.from_offset)
        outputs = self._append(from_offset, fresh)
        if fresh and message.root:
            outputs.extend(self._forward(message))
        if not message.root and len(records) >= MAX_RECORDS_PER_PULL:
            outputs.append(Send(sender.address, RecordsPull(self._next_offset)))
        return outputs

    @handle.register
    def _(self, message: RecordsPull, sender: Sender, now_ms: float) -> list[Output]:
        if not self._is_initialised:
            return []
        first = self._kept[0].offset if self._kept else self._next_offset
        from_offset = max(first, message.from_offset)
        found = [r for r in self._kept if r.offset >= from_offset]
        records = found[:MAX_RECORDS_PER_PULL]
        next_offset = records[-1].offset + 1 if records else self._next_offset
        reply = RecordsPush("", from_offset, next_offset, pack_records(records))
        return [Send(sender.address, reply)]


def _is_urgent(value: object) -> bool:
    return not isinstance(value, dict) or value.get("kind") not in BATCHED_KINDS
