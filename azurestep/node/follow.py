"""The follow task: keeps a long poll at the platform's log."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable

import aiohttp
import aiomisc
from returns.result import Failure, Success

from .. import events
from ..config.records import STREAM, Checkpoint, encode_record, entries_of
from ..environment import Environment
from ..platform.backoff import Backoff
from ..platform.client import LogClient
from ..settings import Settings
from .control import ControlService
from .messages import LogLost, OwnershipPageRead, PageRead

OWNERSHIP_STREAM = "ownership"
STANDBY_S = 0.5
CHECKPOINT_DEADLINE_MS = 10_000

ReadOnce = Callable[[LogClient, Backoff], Awaitable[None]]


class FollowService(aiomisc.Service):
    """Reads the log while this node is one of its data centre's readers."""

    def __init__(
        self, settings: Settings, environment: Environment, control: ControlService
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.control = control
        self._session: aiohttp.ClientSession | None = None
        self._has_ownership = False

    async def start(self) -> None:
        """Follow the log until stopped."""
        self._session = aiohttp.ClientSession()
        client = LogClient(self._session, self.settings.platform_url, self.environment)
        self.start_event.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow(self._read_once, client))
            group.create_task(self._follow(self._read_ownership, client))

    async def _follow(self, read: ReadOnce, client: LogClient) -> None:
        backoff = Backoff(self.environment.random)
        while True:
            if not self.control.readers.is_reader():
                await asyncio.sleep(STANDBY_S)
                continue
            await read(client, backoff)

    async def _read_ownership(self, client: LogClient, backoff: Backoff) -> None:
        offset = self.control.relay.next_offset
        wait_ms = self.settings.control.poll_wait_ms if self._has_ownership else 0
        result = await client.read(OWNERSHIP_STREAM, offset, wait_ms=wait_ms)
        if isinstance(result, Failure):
            await asyncio.sleep(backoff.next_ms() / 1000)
            return
        backoff.reset()
        self._has_ownership = True
        self.control.inputs.put_nowait(OwnershipPageRead(result.unwrap()))
        await asyncio.sleep(0)

    async def _read_once(self, client: LogClient, backoff: Backoff) -> None:
        offset = self.control.spread.fold.next_offset
        result = await client.read(
            STREAM, offset, wait_ms=self.settings.control.poll_wait_ms
        )
        if isinstance(result, Failure):
            self.control.inputs.put_nowait(LogLost(str(result.failure())))
            await asyncio.sleep(backoff.next_ms() / 1000)
            return
        page = result.unwrap()
        self.control.inputs.put_nowait(PageRead(page))
        await asyncio.sleep(0)
        if page.records and self.control.spread.fold.next_offset == offset:
            # The fold halted: asking again at once would bring the same records.
            await asyncio.sleep(backoff.next_ms() / 1000)
            return
        backoff.reset()
        if self.control.is_checkpoint_due():
            await self._append_checkpoint(client)

    async def _append_checkpoint(self, client: LogClient) -> None:
        state = self.control.spread.fold.state
        checkpoint = Checkpoint(
            uuid.uuid4().hex,
            state.as_of,
            state.version,
            entries_of(state.document),
            self.settings.instance,
        )
        deadline_ms = self.environment.clock.monotonic_ms() + CHECKPOINT_DEADLINE_MS
        result = await client.append(
            STREAM, checkpoint.id, encode_record(checkpoint), deadline_ms
        )
        if isinstance(result, Success):
            self.control.note_checkpoint(state.as_of)
            events.emit(events.CHECKPOINT_APPENDED, as_of=state.as_of)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the connection to the log."""
        if self._session is not None:
            await self._session.close()
