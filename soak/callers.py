"""Callers: keep their connections open until the process at the other end is gone."""

import asyncio
from random import Random

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from .fleet import CALLER_PORT, Fleet
from .records import Call, Observations

DEADLINE_S = 2.0
GIVE_UP_S = 4.0
"""Time after which a caller stops waiting for a node that does not answer."""
PAUSE_S = 0.03
PAYMENT_SHARE = 0.4
NO_CONNECTION = -1
CUT = 0


@attrs.define(eq=False)
class Caller:
    """Sends one request after the other to one node."""

    number: int
    node: int
    fleet: Fleet
    seen: Observations
    random: Random
    _sent: int = 0

    async def run(self) -> None:
        """Send until cancelled."""
        connector = TCPConnector(limit=1, keepalive_timeout=60)
        async with ClientSession(connector=connector) as session:
            while True:
                await self._call(session)
                await asyncio.sleep(self.random.uniform(0, 2 * PAUSE_S))

    async def _call(self, session: ClientSession) -> None:
        self._sent += 1
        name = f"c{self.number}-{self._sent}"
        pays = self.random.random() < PAYMENT_SHARE
        path = "/pay/" if pays else self.random.choice(self.fleet.paths)
        body = name.encode() if pays else b""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        status, own = await self._send(session, name, path, body)
        self.seen.calls.append(
            Call(name, self.node, path, not pays, sent_s, loop.time(), status, own)
        )

    async def _send(
        self, session: ClientSession, name: str, path: str, body: bytes
    ) -> tuple[int, bool]:
        url = f"http://{self.fleet.instances[self.node].host}:{CALLER_PORT}{path}x"
        headers = {
            "Host": "shop.example",
            "Attempt-Id": name,
            "Deadline-Milliseconds": str(round(DEADLINE_S * 1000)),
        }
        timeout = ClientTimeout(total=GIVE_UP_S)
        method = "POST" if body else "GET"
        try:
            async with session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as answer:
                content = await answer.read()
        except TimeoutError:
            return NO_CONNECTION, False
        except ClientError as error:
            connected = not isinstance(error, OSError) or "connect" not in str(error)
            return (CUT if connected else NO_CONNECTION), False
        named = answer.headers.get("Attempt-Id") == name
        own = named and content == (body or b"hello")
        return answer.status, own
