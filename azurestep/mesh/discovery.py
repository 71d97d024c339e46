"""How a node finds the others: through the platform's store, at its start.

It writes its own address first and reads all addresses afterwards. Of any two
nodes the one that wrote last sees the other, and its greeting makes both known.
"""

import asyncio

import attrs
import orjson

from ..platform.store import Appended, Newest, StoreClient
from ..platform.topics import MEMBERS_TOPIC
from . import events
from .members import Members
from .runtime import Runtime

PAUSE_S = (0.1, 0.3, 0.6, 1.2)
"""Pauses between attempts while the store does not answer."""
FORMAT = 1


@attrs.define(eq=False)
class Discovery:
    """Writes this node's address to the store and reads those of the others."""

    runtime: Runtime
    client: StoreClient
    members: Members
    done: bool = False

    async def run(self) -> None:
        """Write and read once, until both were answered."""
        host, port = self.members.own_address
        value = orjson.dumps({"format": FORMAT, "port": port})
        attempts = 0
        while not isinstance(
            await self.client.put(MEMBERS_TOPIC, host, value), Appended
        ):
            await self._pause(attempts)
            attempts += 1
        while not await self._read():
            await self._pause(attempts)
            attempts += 1
        self.done = True

    async def leave(self) -> None:
        """Drop this node's address."""
        await self.client.put(MEMBERS_TOPIC, self.members.own_address[0], b"")

    async def _read(self) -> bool:
        outcome = await self.client.newest(MEMBERS_TOPIC)
        if not isinstance(outcome, Newest):
            return False
        for item in outcome.items:
            self._learn(item.key, item.value)
        return True

    def _learn(self, host: str, value: bytes) -> None:
        if not value:
            return
        try:
            fields = orjson.loads(value)
            self.members.learn((host, int(fields["port"])))
        except (KeyError, TypeError, ValueError) as error:
            events.log(events.PEER_MALFORMED, peer=host, cause=repr(error))

    async def _pause(self, attempts: int) -> None:
        pause = PAUSE_S[min(attempts, len(PAUSE_S) - 1)]
        await asyncio.sleep(pause * (0.75 + self.runtime.random.random() / 2))
