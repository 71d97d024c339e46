"""Callers: keep their connections open until the process at the other end is gone."""

import asyncio
from random import Random

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from standins.platform_names import TEAM_HEADER

from .document import LONG_PATH, LONG_PAYMENT_PATH
from .fleet import CALLER_PORT, Fleet
from .plan import STOP_LASTS_S
from .records import Call, Observations
from .teams import PUBLIC_PATH, team_of

DEADLINE_S = 2.0
LONG_DEADLINE_S = STOP_LASTS_S + 2.0
LONG_WORK_S = (2.0, STOP_LASTS_S + 1.0)
"""Least and most time at a backend server. With requests of 60 ms and deadlines of
2 s, all that a stopping node had taken was answered long before its grace was over."""
UPLOAD_BYTES = 200_000
GIVE_UP_S = 2.0
"""Time past the deadline after which a caller stops waiting for a node."""
PAUSE_S = 0.03
PAYMENT_SHARE = 0.4
LONG_KINDS = ("read", "payment", "upload")
FORGED_TEAM = "forged"
NO_CONNECTION = -1
CUT = 0


@attrs.frozen
class Sending:
    """One request as a caller draws it."""

    path: str
    target: str
    body: bytes
    idempotent: bool
    deadline_s: float = DEADLINE_S


@attrs.define(eq=False)
class Caller:
    """Sends one request after the other to one node."""

    number: int
    node: int
    fleet: Fleet
    seen: Observations
    random: Random
    ending: bool = False
    _sent: int = 0
    team: str = attrs.field(
        default=attrs.Factory(lambda self: team_of(self.number), takes_self=True),
        kw_only=True,
    )

    async def run(self) -> None:
        """Send until cancelled, or until the request after ``ending`` was set."""
        connector = TCPConnector(limit=1, keepalive_timeout=60)
        async with ClientSession(connector=connector) as session:
            # Of itself it would send a read again whose connection was cut.
            session._retry_connection = False
            while not self.ending:
                await self._call(session)
                await asyncio.sleep(self.random.uniform(0, 2 * PAUSE_S))

    def draw(self, name: str) -> Sending:
        """Return the next request."""
        if self.random.random() < PAYMENT_SHARE:
            return Sending("/pay/", "/pay/x", name.encode(), False)
        path = self.random.choice(self.fleet.paths)
        return Sending(path, f"{path}x", b"", True)

    async def _call(self, session: ClientSession) -> None:
        self._sent += 1
        name = f"c{self.number}-{self._sent}"
        sending = self.draw(name)
        key = self._draw_key(sending)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        status, own = await self._send(session, name, sending, key)
        self.seen.calls.append(
            Call(
                name,
                self.node,
                sending.path,
                sending.idempotent,
                sent_s,
                loop.time(),
                status,
                own,
                sending.deadline_s,
                key,
            )
        )

    def _draw_key(self, sending: Sending) -> str | None:
        keyring = self.fleet.keyring
        if keyring is None or sending.path == PUBLIC_PATH:
            return None
        return keyring.draw(self.team, self.random)

    async def _send(
        self, session: ClientSession, name: str, sending: Sending, key: str | None
    ) -> tuple[int, bool]:
        host = self.fleet.instances[self.node].host
        url = f"http://{host}:{CALLER_PORT}{sending.target}"
        headers = {
            "Host": "shop.example",
            "Attempt-Id": name,
            "Deadline-Milliseconds": str(round(sending.deadline_s * 1000)),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        if self.fleet.keyring is not None:
            headers[TEAM_HEADER] = FORGED_TEAM
        timeout = ClientTimeout(total=sending.deadline_s + GIVE_UP_S)
        body = sending.body
        method = "POST" if body else "GET"
        try:
            async with session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as answer:
                content = await answer.read()
        except TimeoutError:
            return CUT, False
        except ClientError as error:
            connected = not isinstance(error, OSError) or "connect" not in str(error)
            return (CUT if connected else NO_CONNECTION), False
        named = answer.headers.get("Attempt-Id") == name
        own = named and content == (body or b"hello")
        return answer.status, own


class LongCaller(Caller):
    """Sends requests that last about as long as a stopping node may, or longer."""

    def draw(self, name: str) -> Sending:
        """Return the next request."""
        kind = self.random.choice(LONG_KINDS)
        work_ms = round(self.random.uniform(*LONG_WORK_S) * 1000)
        path = LONG_PAYMENT_PATH if kind == "payment" else LONG_PATH
        body = {"read": b"", "payment": name.encode(), "upload": b"u" * UPLOAD_BYTES}
        return Sending(
            path,
            f"{path}x?ms={work_ms}",
            body[kind],
            kind != "payment",
            LONG_DEADLINE_S,
        )
