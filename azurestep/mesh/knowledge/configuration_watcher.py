"""Reading of the configuration from the store.

One node of each data centre, the reader, watches the store with a long poll; the others
get new versions from their peers. If the reader can't reach the store, the next node in
the order of addresses takes over.
"""

import asyncio
from collections.abc import Callable

import attrs

from ...platform.store import (
    LatestRecords,
    Records,
    StoreClient,
    Truncated,
    Unanswered,
    parse_keyed_record,
)
from ...platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from .. import events
from ..links.members import Members
from ..runtime import Runtime
from .configuration import Applied, Configuration, Origin
from .store_era import StoreEra

LONG_POLL_MS = 1000
"""Length of a long poll; bounds the time until a reader detects a dead connection.

It knows it after this and half a second, within the bound of two seconds for a version.
"""
MAX_READ_KIB = 64
"""Size up to which a read returns several records; a larger document comes alone."""
MIN_READ_INTERVAL_S = 0.1
"""Time from a document to the next read, which may find several later ones."""
MAX_QUICK_READS = 5
"""Reads in a row that end within this interval and bring no version, before reads keep
the interval: a store that answers at once would otherwise take a whole core."""
PEER_WAIT_S = 0.3
"""Time that a restarted node waits for a configuration of its peers."""
ROLE_CHECK_S = 1.0
"""How often a node that isn't the reader checks whether it should be, unless a change
of its peers wakes it earlier."""
RETRY_PAUSES_S = (0.2, 0.4, 0.8)
"""Pauses of a reader after failed calls; the last one repeats."""
FALLBACK_RETRY_PAUSE_S = 2.0
"""Pause after a failed call of a node that isn't first in the order of readers."""
SLOW_ANSWER_MS = 1500.0
"""Time that an answer of the store may take to arrive before another node reads too.

The link of another node may be free or wider.
"""


@attrs.define(eq=False, repr=False)
class ConfigurationWatcher:
    """Keeps this node's configuration up to date.

    Attributes
    ----------
    on_contact : Callable
        Called when the store had no later version than the one in force.
    restarted : bool
        Whether peers may run already that have a configuration.
    store_reachable : bool
        Whether the store answered the last call.
    is_reader : bool
        Whether this node reads new versions for its data centre.
    on_store_change : Callable
        Called when ``store_reachable`` changes.
    apply_order : Callable
        Called with key, value and offset of the operators' other records, and whether
        they were just written.
    _offset : int or None
        Where to go on reading the log; None if that isn't known.
    _expects_document : bool
        Whether the record at ``_offset`` should be a document.
    _lacks_document : bool
        Whether it was none, so that the latest document has to be read by its key.
    _has_tried : bool
        Whether a first call was made, which tells the records of other keys.
    """

    runtime: Runtime
    client: StoreClient
    configuration: Configuration
    members: Members
    era: StoreEra
    on_store_change: Callable[[], None]
    apply_order: Callable[[str, bytes, int, bool], None] = (
        lambda key, value, offset, live: None
    )
    on_contact: Callable[[], None] = lambda: None
    restarted: bool = False
    store_reachable: bool = True
    is_reader: bool = False
    _offset: int | None = None
    _expects_document: bool = False
    _lacks_document: bool = False
    _has_tried: bool = False
    _failures: int = 0
    _quick_reads: int = 0
    _wake_event: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Read from the store while this node is the reader or has no configuration."""
        if self.restarted:
            await self._wait_for_peers()
        while True:
            self._record_role(not self.members.preceding_readers())
            is_needed = self.is_reader or not self.configuration.version
            if self._has_tried and not is_needed:
                await self._pause(ROLE_CHECK_S)
                continue
            self._has_tried = True
            began_s, version = self.runtime.loop.time(), self.configuration.version
            if await self._read_guarded():
                self._failures = 0
                await self._limit_rate(began_s, version)
                continue
            await asyncio.sleep(self._retry_pause_s())

    async def _limit_rate(self, began_s: float, version: int) -> None:
        """Pause if the store keeps answering at once without a new version.

        Parameters
        ----------
        began_s : float
            Time of the event loop at which the last read began.
        version : int
            Version in force at that time.
        """
        was_quick = self.runtime.loop.time() - began_s < MIN_READ_INTERVAL_S
        if not was_quick or self.configuration.version != version:
            self._quick_reads = 0
            return
        self._quick_reads += 1
        if self._quick_reads > MAX_QUICK_READS:
            await asyncio.sleep(MIN_READ_INTERVAL_S)

    async def _read_guarded(self) -> bool:
        """Read once; after an internal error, leave out the records that caused it."""
        try:
            return await self._read_once()
        except Exception as error:
            self.runtime.report_fault("configuration", error)
            self._offset, self._lacks_document = None, True
            return False

    async def _wait_for_peers(self) -> None:
        """Leave peers some time to send the configuration, which is shorter there.

        After a restart of the whole fleet no peer has one. Then the reader reads it at
        once, and the others get it from there.
        """
        loop = self.runtime.loop
        end_s = loop.time() + PEER_WAIT_S
        while not self.configuration.version and loop.time() < end_s:
            if self._is_reader_of_restarted_fleet():
                return
            await self._pause(end_s - loop.time())

    def _is_reader_of_restarted_fleet(self) -> bool:
        """Whether this node is the reader, and no peer has a configuration."""
        peers = [link.peer for link in self.members.live_links() if link.peer]
        if not peers or any(peer.configuration_version for peer in peers):
            return False
        return not self.members.preceding_readers()

    def wake(self) -> None:
        """Check now whether this node should be the reader."""
        self._wake_event.set()

    def forget_offset(self) -> None:
        """Read the latest records again, since offsets have a new meaning."""
        self._offset = None

    def tick(self) -> None:
        """Let another node read too if the store's answer is slow."""
        if self.store_reachable and self.client.receiving_ms > SLOW_ANSWER_MS:
            self._report_unreachable(
                "slow answer", self.client.receiving_ms, self.client.received_bytes
            )

    def _record_role(self, is_reader: bool) -> None:
        if is_reader != self.is_reader:
            self.is_reader = is_reader
            self._offset = None
            events.log(events.READER, reader=is_reader)

    async def _read_once(self) -> bool:
        offset = self._offset
        if offset is None and self.configuration.version and not self._lacks_document:
            return await self._skip_to_latest(None)
        if offset is None:
            return await self._read_latest()
        outcome = await self.client.read(
            OPERATOR_TOPIC, offset, LONG_POLL_MS, MAX_READ_KIB
        )
        if not self.era.accept(outcome.era):
            return False
        if isinstance(outcome, Truncated):
            self._mark_reachable()
            self._offset, self._lacks_document = None, True
            return True
        if not isinstance(outcome, Records):
            self._mark_unreachable(outcome)
            return False
        self._mark_reachable()
        return await self._apply_records(outcome, offset)

    async def _apply_records(self, records: Records, offset: int) -> bool:
        """Apply records that were read from an offset, and continue after them."""
        has_document = self._apply_latest(records.values, offset)
        expected_document, self._expects_document = self._expects_document, False
        if self._offset != offset:
            return True
        remaining = records.end_offset - records.next_offset
        if (expected_document and not has_document) or (
            remaining and not records.values
        ):
            self._offset, self._lacks_document = None, True
            return True
        self._offset = records.next_offset
        if not remaining:
            self.on_contact()
        if remaining > 1:
            return await self._skip_to_latest(records.next_offset)
        if has_document:
            await asyncio.sleep(MIN_READ_INTERVAL_S)
        return True

    async def _skip_to_latest(self, offset: int | None) -> bool:
        """Continue at the latest document, without those that it has overtaken.

        Records of other keys are read without the document, which is large.

        Parameters
        ----------
        offset : int or None
            Offset up to which all records were read; None if that isn't known.
        """
        others = await self._list_latest(after=CONFIGURATION_KEY)
        if others is None:
            return False
        for item in others.items:
            if offset is None or item.offset >= offset:
                is_new = offset is not None
                self.apply_order(item.key, item.value, item.offset, is_new)
        if self._offset == offset:
            offsets_of_others = {item.offset for item in others.items}
            latest = others.end_offset - 1
            while latest in offsets_of_others:
                latest -= 1
            self._expects_document = offset is None or latest > offset
            self._offset = max(latest, offset or 0)
        return True

    async def _list_latest(self, after: str = "") -> LatestRecords | None:
        """Return the latest records of keys after one; None if the store has failed."""
        outcome = await self.client.read_latest(OPERATOR_TOPIC, after)
        if not self.era.accept(outcome.era):
            return None
        if not isinstance(outcome, LatestRecords):
            self._mark_unreachable(outcome)
            return None
        self._mark_reachable()
        return outcome

    def _apply_latest(self, records: list[bytes], first_offset: int) -> bool:
        """Apply the latest valid document, and all records with other keys.

        Returns
        -------
        bool
            Whether there was a valid document.
        """
        documents = []
        for index, record in enumerate(records):
            keyed = parse_keyed_record(record)
            if keyed is None:
                events.log(events.RECORD_UNREADABLE, topic=OPERATOR_TOPIC, records=1)
            elif keyed.key == CONFIGURATION_KEY:
                documents.append(keyed.value)
            else:
                self.apply_order(keyed.key, keyed.value, first_offset + index, True)
        return any(
            document
            and self.configuration.apply(document, Origin.STORE) is not Applied.INVALID
            for document in reversed(documents)
        )

    async def _read_latest(self) -> bool:
        latest = await self._list_latest()
        if latest is None:
            return False
        self._offset, self._lacks_document = latest.end_offset, False
        if latest.unreadable:
            events.log(
                events.RECORD_UNREADABLE,
                topic=OPERATOR_TOPIC,
                records=latest.unreadable,
            )
        for item in latest.items:
            if item.key == CONFIGURATION_KEY and item.value:
                self.configuration.apply(item.value, Origin.STORE)
            elif item.key != CONFIGURATION_KEY:
                self.apply_order(item.key, item.value, item.offset, False)
        return True

    async def _pause(self, seconds: float) -> None:
        self._wake_event.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake_event.wait()
        except TimeoutError:
            return

    def _retry_pause_s(self) -> float:
        pause = RETRY_PAUSES_S[min(self._failures, len(RETRY_PAUSES_S) - 1)]
        self._failures += 1
        first = all(
            link.address[0] > self.members.own_address[0]
            for link in self.members.live_links()
            if link.endpoint.data_centre == self.members.data_centre
        )
        if not first and self.configuration.version:
            pause = FALLBACK_RETRY_PAUSE_S
        return pause * (0.75 + self.runtime.random.random() / 2)

    def _mark_reachable(self) -> None:
        if not self.store_reachable:
            self.store_reachable = True
            events.log(events.STORE_REACHED)
            self.on_store_change()

    def _mark_unreachable(self, outcome: object) -> None:
        self.runtime.metrics.count("store_failures")
        if isinstance(outcome, Unanswered):
            self._report_unreachable(
                outcome.cause, outcome.waited_ms, outcome.received_bytes
            )
        else:
            self._report_unreachable(repr(outcome), 0.0, 0)

    def _report_unreachable(
        self, cause: str, waited_ms: float, received_bytes: int
    ) -> None:
        """Let the next node in order read the configuration."""
        if not self.store_reachable:
            return
        self.store_reachable = False
        events.log(
            events.STORE_LOST,
            cause=cause,
            waited_ms=round(waited_ms),
            received_bytes=received_bytes,
        )
        self.on_store_change()
