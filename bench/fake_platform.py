"""The platform's log for the fake fleet: one stream, long polls, an outage."""

from collections.abc import Callable

import orjson

from azurestep.config.document import Section, canonical_json, document_from_dict
from azurestep.config.records import (
    Change,
    EditEntries,
    Entry,
    Publication,
    ReplaceDocument,
    encode_record,
    entries_of,
)
from azurestep.platform.records import LogRecord, Page

from .races import PLAIN

Answer = Callable[[Page], None]


class FakePlatform:
    """Holds the records and the long polls that wait for the next one."""

    def __init__(self) -> None:
        self._records: list[LogRecord] = []
        self._waiting: list[tuple[int, Answer]] = []

    @property
    def version(self) -> int:
        """The newest version; each publication here builds on the one before."""
        return len(self._records)

    def publish(self) -> int:
        """Append a publication, answer who waits, and return its version."""
        offset = self.version + 1
        publication = Publication(f"p{offset}", self.version, "ann", _change(offset))
        value = orjson.loads(encode_record(publication))
        self._records.append(LogRecord(offset, offset, value))
        waiting, self._waiting = self._waiting, []
        for from_offset, answer in waiting:
            answer(self.page(from_offset))
        return offset

    def page(self, from_offset: int) -> Page:
        """Return the records from an offset on."""
        found = [record for record in self._records if record.offset >= from_offset]
        return Page(1, self.version + 1, found, from_offset)

    def wait(self, from_offset: int, answer: Answer) -> None:
        """Answer once there is a record from an offset on."""
        self._waiting.append((from_offset, answer))


def _change(offset: int) -> Change:
    if offset == 1:
        return ReplaceDocument(entries_of(document_from_dict(PLAIN)))
    service = {"name": "catalogue", "timeout_ms": 1000 + offset}
    body = canonical_json(service).decode()
    return EditEntries([Entry(Section.SERVICES.value, "catalogue", body)])
