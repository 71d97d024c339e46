"""Discovery of peers through the platform's store.

At its start, and in each new era of the store, a node writes its own address before it
reads all others. Of any two nodes, the one that wrote last finds the other and opens a
link to it.
"""

import asyncio

import attrs

from ...errors import MessageMalformedError
from ...platform.members import read_member, write_member
from ...platform.store import (
    Appended,
    AppendOutcome,
    Fenced,
    LatestRecords,
    OutOfSequence,
    Producer,
    StoreClient,
    Unanswered,
)
from ...platform.topics import MEMBERS_TOPIC
from .. import events
from ..links.members import Members
from ..runtime import Runtime
from .store_era import StoreEra

RETRY_PAUSES_S = (0.1, 0.3, 0.6, 1.2)
"""Pauses between attempts while the store does not answer; the last one repeats."""
WRITES_PER_S = 100
"""Rate at which all nodes together write their addresses in a new era."""
MIN_SPREAD_S = 0.2
"""Time over which the nodes of a small fleet spread these writes."""
EPOCH_STEP_MS = 60_000
"""Added to the epoch if the store has a higher one of an earlier process."""


@attrs.define(eq=False, repr=False)
class Discovery:
    """Writes this node's address to the store and reads those of its peers.

    Attributes
    ----------
    epoch : int
        Start of this process as Unix time in ms; higher than that of an earlier process
        of the same instance.
    """

    runtime: Runtime
    client: StoreClient
    members: Members
    era: StoreEra
    epoch: int
    done: bool = False
    _sequence: int = 0
    _registering: bool = False
    _deregistered: bool = False

    async def run(self) -> None:
        """Register at the start of the node."""
        await self._register()
        self.done = True

    def register_again(self) -> None:
        """Register in a new era, which may lack this node's address."""
        if not self._registering:
            self.runtime.spawn(self._register_again())

    async def _register_again(self) -> None:
        spread_s = max(MIN_SPREAD_S, self.members.count() / WRITES_PER_S)
        self._registering = True
        await asyncio.sleep(spread_s * self.runtime.random.random())
        self._begin_epoch()
        await self._register()

    async def _register(self) -> None:
        """Write the address and read all others, until both succeed in one era.

        An internal error is reported, and both are tried again.
        """
        _, port = self.members.own_address
        value = write_member(port)
        self._registering = True
        attempts = 0
        while not self._deregistered:
            try:
                if not isinstance(await self._write_address(value), Appended):
                    await self._pause(attempts)
                    attempts += 1
                elif await self._read_in_era(self.era.current):
                    break
                else:
                    self._begin_epoch()
            except Exception as error:
                self.runtime.report_fault("discovery", error)
                await self._pause(attempts)
                attempts += 1
        self._registering = False

    async def _read_in_era(self, era: int) -> bool:
        """Read all addresses, with retries; return False if a new era began."""
        attempts = 0
        while self.era.current == era:
            if await self._read_addresses():
                return self.era.current == era
            await self._pause(attempts)
            attempts += 1
        return False

    def _begin_epoch(self) -> None:
        """Use a higher epoch, whose first write the store takes in any era."""
        self.epoch += 1
        self._sequence = 0

    async def deregister(self) -> None:
        """Remove this node's address from the store, in one attempt.

        A delayed write can't remove the address of a later process, whose epoch is
        higher.
        """
        self._deregistered = True
        if self.done:
            self._sequence += 1
            await self._write_address(b"")

    async def _write_address(self, value: bytes) -> AppendOutcome:
        host = self.members.own_address[0]
        producer = Producer(host, self.epoch, self._sequence)
        outcome = await self.client.put(MEMBERS_TOPIC, host, value, producer)
        if not self.era.accept(outcome.era):
            return Unanswered("the answer is from an earlier era of the store")
        if isinstance(outcome, Fenced):
            self.epoch += EPOCH_STEP_MS
        elif isinstance(outcome, OutOfSequence):
            self._begin_epoch()
        return outcome

    async def _read_addresses(self) -> bool:
        outcome = await self.client.read_latest(MEMBERS_TOPIC)
        if not self.era.accept(outcome.era):
            return False
        if not isinstance(outcome, LatestRecords):
            return False
        if outcome.unreadable:
            events.log(
                events.RECORD_UNREADABLE,
                topic=MEMBERS_TOPIC,
                records=outcome.unreadable,
            )
        for item in outcome.items:
            self._add_member(item.key, item.value)
        return True

    def _add_member(self, host: str, value: bytes) -> None:
        if not value:
            return
        try:
            self.members.add(read_member(host, value))
        except MessageMalformedError as error:
            events.log(events.PEER_MALFORMED, peer=host[:80], cause=error.problem)

    async def _pause(self, attempts: int) -> None:
        pause = RETRY_PAUSES_S[min(attempts, len(RETRY_PAUSES_S) - 1)]
        await asyncio.sleep(pause * (0.75 + self.runtime.random.random() / 2))
