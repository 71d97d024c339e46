"""Client of the platform's log (``/streams``).

Used by ``azurestep.node`` and the commands; ``azurestep.mesh`` uses ``store``.
"""

import asyncio

import aiohttp
import orjson
from returns.result import Failure, Result, Success

from ..environment import Environment
from ..errors import AzurestepError, PlatformRefusedError, PlatformUnavailableError
from .backoff import Backoff
from .records import LogRecord, Page, Receipt

READ_LIMIT_RECORDS = 500
READ_TIMEOUT_MS = 5000
APPEND_TIMEOUT_MS = 3000
STATUS_REJECTED = frozenset({400, 404, 413})
OK = 200
BEYOND_END_OFFSET = 2**62
"""Offset past the end of any stream; a read there returns the next offset alone."""


class LogClient:
    """Appends to and reads from streams of the log over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that requests are sent with.
    base_url : str
        Address of the log, for example ``http://127.0.0.1:7000``.
    environment : Environment
        Clock and random generator of the jitter.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        environment: Environment,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._environment = environment

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        limit: int = READ_LIMIT_RECORDS,
    ) -> Result[Page, AzurestepError]:
        """Read a page of records, waiting up to ``wait_ms`` for the first one."""
        query = {
            "from": str(from_offset),
            "limit": str(limit),
            "wait_ms": str(wait_ms),
        }
        timeout = aiohttp.ClientTimeout(total=(wait_ms + READ_TIMEOUT_MS) / 1000)
        try:
            async with self._session.get(
                self._url(stream), params=query, timeout=timeout
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(_unavailable(error))
        if status != OK:
            return Failure(_unavailable(f"status {status}"))
        return _page_of(body, from_offset)

    async def append(
        self, stream: str, id: str, body: bytes, deadline_ms: float
    ) -> Result[Receipt, AzurestepError]:
        """Append a record, without duplicates after lost answers.

        Parameters
        ----------
        stream : str
            Name of the stream.
        id : str
            Value of the record's ``id`` field. After a lost answer the log is searched
            for it before the record is appended again.
        body : bytes
            JSON text of the record.
        deadline_ms : float
            Monotonic time at which to give up.
        """
        backoff = Backoff(self._environment.random)
        read_from: int | None = None
        failure: AzurestepError = _unavailable("no attempt was made")
        while self._environment.clock.monotonic_ms() < deadline_ms:
            if read_from is None:
                read_from = (await self.next_offset(stream)).value_or(None)
            if read_from is not None:
                found = await self._find(stream, id, read_from)
                if isinstance(found, Success) and found.unwrap() is not None:
                    return Success(found.unwrap())
                if isinstance(found, Success):
                    outcome = await self.append_attempt(stream, body)
                    if isinstance(outcome, Success):
                        return outcome
                    failure = outcome.failure()
                    if isinstance(failure, PlatformRefusedError):
                        return outcome
            await asyncio.sleep(backoff.next_ms() / 1000)
        return Failure(failure)

    async def next_offset(self, stream: str) -> Result[int, AzurestepError]:
        """Return the offset of the next append."""
        result = await self.read(stream, from_offset=BEYOND_END_OFFSET, limit=1)
        return result.map(lambda page: page.next_offset)

    async def _find(
        self, stream: str, id: str, from_offset: int
    ) -> Result[Receipt | None, AzurestepError]:
        offset = from_offset
        while True:
            result = await self.read(stream, offset)
            if isinstance(result, Failure):
                return Failure(result.failure())
            page = result.unwrap()
            for record in page.records:
                if isinstance(record.value, dict) and record.value.get("id") == id:
                    return Success(Receipt(record.offset))
                offset = record.offset + 1
            if not page.records:
                return Success(None)

    async def append_attempt(
        self, stream: str, body: bytes
    ) -> Result[Receipt, AzurestepError]:
        """Try once to append a record; after a failure it may have been appended."""
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_MS / 1000)
        try:
            async with self._session.post(
                self._url(stream),
                data=body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                answer = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(_unavailable(error))
        if status in STATUS_REJECTED:
            return Failure(
                PlatformRefusedError(
                    f"the log refused the record with status {status}",
                    "Make the record smaller or check the platform's address",
                )
            )
        if status != OK:
            return Failure(_unavailable(f"status {status}"))
        return Success(Receipt(orjson.loads(answer)["offset"]))

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/streams/{stream}/records"


def _unavailable(cause: object) -> PlatformUnavailableError:
    text = str(cause) or type(cause).__name__
    return PlatformUnavailableError(
        f"the platform's log gave no answer ({text})",
        "Check platform_url and the state of the platform, then try again",
    )


def _page_of(body: bytes, from_offset: int) -> Result[Page, AzurestepError]:
    try:
        fields = orjson.loads(body)
        records = [
            LogRecord(item["offset"], item["time_ms"], item["value"])
            for item in fields["records"]
        ]
        return Success(
            Page(fields["first_offset"], fields["next_offset"], records, from_offset)
        )
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        return Failure(_unavailable(f"unreadable answer: {error}"))
