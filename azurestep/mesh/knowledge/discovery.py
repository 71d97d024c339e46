"""Discovery of peers through the platform's store, at the start of a node.

A node writes its own address before it reads all others. Of any two nodes, the one
that wrote last finds the other and opens a link to it.
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
    Producer,
    StoreClient,
)
from ...platform.topics import MEMBERS_TOPIC
from .. import events
from ..links.members import Members
from ..runtime import Runtime

RETRY_PAUSES_S = (0.1, 0.3, 0.6, 1.2)
"""Pauses between attempts while the store does not answer; the last one repeats."""
EPOCH_STEP_MS = 60_000
"""Increase of the epoch when an earlier process had a later clock."""


@attrs.define(eq=False)
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
    epoch: int
    done: bool = False
    _sequence: int = 0

    async def run(self) -> None:
        """Write the address and read all others, with retries until both succeed."""
        _, port = self.members.own_address
        value = write_member(port)
        attempts = 0
        while not isinstance(await self._write_address(value), Appended):
            await self._pause(attempts)
            attempts += 1
        while not await self._read_addresses():
            await self._pause(attempts)
            attempts += 1
        self.done = True

    async def deregister(self) -> None:
        """Remove this node's address from the store, in one attempt.

        A delayed write can't remove the address of a later process, whose epoch is
        higher.
        """
        if self.done:
            self._sequence += 1
            await self._write_address(b"")

    async def _write_address(self, value: bytes) -> AppendOutcome:
        host = self.members.own_address[0]
        producer = Producer(host, self.epoch, self._sequence)
        outcome = await self.client.put(MEMBERS_TOPIC, host, value, producer)
        if isinstance(outcome, Fenced):
            self.epoch += EPOCH_STEP_MS
        return outcome

    async def _read_addresses(self) -> bool:
        outcome = await self.client.read_latest(MEMBERS_TOPIC)
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
