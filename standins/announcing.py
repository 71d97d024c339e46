"""Announcement of a backend server to its node, with a lease."""

import asyncio
import logging
import random
import time

import aiohttp
import attrs
import orjson

logger = logging.getLogger(__name__)

PATH = "/v1/backend-servers"
REQUEST_TIMEOUT_S = 1.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
LEAVE_POLL_S = 0.1
LEAVE_BOUND_S = 10.0
RENEWALS_PER_LEASE = 3
DEFAULT_LEASE_MS = 3000


@attrs.frozen
class Announcement:
    """What a backend server tells its node.

    Attributes
    ----------
    service : str
        Name of the service.
    host, port : str, int
        Address that serves requests.
    incarnation : str
        New with each start of the process; 32 hexadecimal digits.
    slots, connections : int
        Requests run at once, and connections accepted.
    ready : bool
        Whether it may get work.
    """

    service: str
    host: str
    port: int
    incarnation: str
    slots: int
    connections: int
    ready: bool = True


class Announcer:
    """Task that announces a backend server and renews its lease.

    Parameters
    ----------
    node_url : str
        Base URL of the node's announce endpoint.
    announcement : Announcement
        What to announce.
    random_source : random.Random
        Source of the jitter.

    Attributes
    ----------
    renewals : int
        Announcements that the node answered.
    """

    def __init__(
        self, node_url: str, announcement: Announcement, random_source: random.Random
    ) -> None:
        self.renewals = 0
        self._url = node_url.rstrip("/") + PATH
        self._announcement = announcement
        self._random = random_source
        self._task: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Begin to announce; a node that is away is tried again."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = asyncio.create_task(self._renew_forever())

    async def close(self) -> None:
        """Stop announcing; the lease then lapses."""
        self.stop_renewing()
        if self._session is not None:
            await self._session.close()

    async def leave(self) -> bool:
        """Tell the node of the leave, and wait until leaving is safe.

        Returns
        -------
        bool
            Whether the node said that it is safe within the bound of 10 s.
        """
        self.stop_renewing()
        deadline_s = time.monotonic() + LEAVE_BOUND_S
        own_url = f"{self._url}/{self._announcement.incarnation}"
        told = False
        while time.monotonic() < deadline_s:
            told = told or await self._request("POST", f"{own_url}/leave") is not None
            if told and await self._is_safe(own_url):
                return True
            await asyncio.sleep(LEAVE_POLL_S)
        return False

    def stop_renewing(self) -> None:
        """Send no further announcement."""
        if self._task is not None:
            self._task.cancel()

    async def _renew_forever(self) -> None:
        failures = 0
        while True:
            lease_ms = await self._announce()
            failures = 0 if lease_ms is not None else failures + 1
            if lease_ms is not None:
                self.renewals += 1
                pause_s = lease_ms / 1000 / RENEWALS_PER_LEASE
            else:
                pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(failures, 8))
            await asyncio.sleep(pause_s * self._random.uniform(0.7, 1.0))

    async def _announce(self) -> int | None:
        body = orjson.dumps(attrs.asdict(self._announcement))
        answer = await self._request("POST", self._url, body)
        if answer is None:
            return None
        return int(answer.get("lease_ms", DEFAULT_LEASE_MS))

    async def _is_safe(self, own_url: str) -> bool:
        answer = await self._request("GET", own_url)
        return answer is not None and answer.get("safe") is True

    async def _request(
        self, method: str, url: str, body: bytes | None = None
    ) -> dict | None:
        assert self._session is not None
        headers = {"Content-Type": "application/json"} if body else None
        try:
            async with self._session.request(
                method, url, data=body, headers=headers
            ) as response:
                content = await response.read()
                if response.status >= 300:
                    logger.info("%s %s answered %s", method, url, response.status)
                    return None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.info("%s %s failed: %r", method, url, error)
            return None
        try:
            answer = orjson.loads(content or b"{}")
        except orjson.JSONDecodeError:
            return {}
        return answer if isinstance(answer, dict) else {}
