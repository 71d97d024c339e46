"""Callers that leave before they have an answer, at every stage of a request."""

import asyncio

import attrs
from aiohttp import ClientSession

from .callers import LONG_DEADLINE_S, PAYMENT_SHARE, Sending
from .document import LONG_PATH
from .pieces import PieceCaller
from .records import Departure

KEPT_SHARE = 0.3
"""Part of the requests that follow an answered one on the same connection."""
RESET_SHARE = 0.5
CUT_SHARE = 0.3
"""Part of the requests whose callers leave before they have sent them whole."""
LONG_SHARE = 0.3
"""Part of the reads whose work would outlast their callers by far.

None where there are teams, whose surges need the slots.
"""
LONG_WORK_MS = 2000
WAITS_S = (0.0, 0.0, 0.02, 0.1, 0.5)
"""Times for which a caller waits behind a request that it has sent whole."""
PAUSE_S = 0.15


@attrs.define(eq=False)
class DepartingCaller(PieceCaller):
    """Sends reads and payments, and closes or resets the connection too soon."""

    def draw(self, name: str) -> Sending:
        """Return the next request."""
        if self.random.random() < PAYMENT_SHARE:
            return Sending("/pay/", "/pay/x", name.encode(), False)
        if self.fleet.keyring is None and self.random.random() < LONG_SHARE:
            target = f"{LONG_PATH}x?ms={LONG_WORK_MS}"
            return Sending(LONG_PATH, target, b"", True, LONG_DEADLINE_S)
        return super().draw(name)

    async def _call(self, session: ClientSession) -> None:
        if self.random.random() < KEPT_SHARE:
            await super()._call(session)
        else:
            self._close()
        await asyncio.sleep(self.random.uniform(0, 2 * PAUSE_S))
        self._sent += 1
        name = f"c{self.number}-{self._sent}"
        sending = self.draw(name)
        key = self._draw_key(sending)
        pieces = self._cut(self._content(name, sending, key))
        whole = self.random.random() >= CUT_SHARE
        sent_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(sending.deadline_s):
                _, writer = await self._connect()
                for piece in pieces if whole else pieces[:-1]:
                    writer.write(piece)
                    await asyncio.sleep(self.random.uniform(0, PAUSE_S / 10))
                if whole:
                    await asyncio.sleep(self.random.choice(WAITS_S))
                if self.random.random() < RESET_SHARE:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        self._close()
        left_s = asyncio.get_running_loop().time()
        self.seen.departures.append(
            Departure(name, self.node, sending.idempotent, sent_s, left_s, key)
        )
