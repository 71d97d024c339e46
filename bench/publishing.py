"""The operator of a measurement: publishes changes and keeps their times."""

import random
import uuid

import aiohttp
import attrs
import orjson

from azurestep.config.document import Document
from azurestep.config.records import (
    STREAM,
    Change,
    EditEntries,
    Entry,
    Publication,
    ReplaceDocument,
    encode_record,
    entries_of,
)

from .generator import changed, generate


@attrs.frozen
class Published:
    """A change that the log took; the offset is its version."""

    version: int
    accepted_ms: int


class Operator:
    """The only one who publishes, so that each change is accepted.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that carries the appends.
    log_url : str
        Address of the log.
    seed : int
        Seed of the configuration and of the changes.
    """

    def __init__(self, session: aiohttp.ClientSession, log_url: str, seed: int) -> None:
        self.document: Document = generate(seed)
        self.published: list[Published] = []
        self.version = 0
        self._random = random.Random(seed)
        self._session = session
        self._url = f"{log_url}/streams/{STREAM}/records"

    async def publish_first(self) -> Published:
        """Publish the whole configuration."""
        return await self._publish(ReplaceDocument(entries_of(self.document)))

    async def publish_change(self) -> Published:
        """Publish an ordinary change: one route gets another timeout."""
        put = changed(self.document, self._random)
        self.document = self.document.with_changes(put, [])
        entries = [
            Entry(key.section.value, key.name, body.decode())
            for key, body in put.items()
        ]
        return await self._publish(EditEntries(entries))

    async def _publish(self, change: Change) -> Published:
        publication = Publication(uuid.uuid4().hex, self.version, "bench", change)
        body = encode_record(publication)
        async with self._session.post(self._url, data=body) as response:
            plain = orjson.loads(await response.read())
        published = Published(plain["offset"], plain["time_ms"])
        self.version = published.version
        self.published.append(published)
        return published
