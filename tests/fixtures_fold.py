"""Configuration changes and an in-memory log for tests of the fold."""

import orjson
import pytest

from azurestep.config.document import (
    EntryKey,
    Section,
    canonical_json,
    document_from_dict,
)
from azurestep.config.fold import ConfigurationFold
from azurestep.config.records import (
    Checkpoint,
    EditEntries,
    Entry,
    Publication,
    ReplaceDocument,
    encode_record,
    entries_of,
)
from azurestep.platform.records import LogRecord, Page

MAX_FED_PAGES = 1000


def plain_configuration(timeout_ms=1000):
    return {
        "format": 1,
        "active_preset": "ordinary",
        "services": [{"name": "catalogue", "timeout_ms": timeout_ms}],
        "routes": [{"name": "browse", "service": "catalogue"}],
        "presets": [{"name": "ordinary"}, {"name": "peak"}],
    }


def initial_change():
    return ReplaceDocument(entries_of(document_from_dict(plain_configuration())))


def timeout_change(timeout_ms, **unknown):
    service = {"name": "catalogue", "timeout_ms": timeout_ms, **unknown}
    body = canonical_json(service).decode()
    return EditEntries([Entry(Section.SERVICES.value, "catalogue", body)])


def timeout_in(document):
    body = document.entries[EntryKey(Section.SERVICES, "catalogue")]
    return orjson.loads(body)["timeout_ms"]


class FakeLog:
    """In-memory log of one stream with reads, retention and restores."""

    def __init__(self):
        self.records = []
        self.first_offset = 1

    @property
    def next_offset(self):
        return self.records[-1].offset + 1 if self.records else self.first_offset

    def append(self, record):
        value = (
            record if isinstance(record, dict) else orjson.loads(encode_record(record))
        )
        self.records.append(LogRecord(self.next_offset, self.next_offset, value))
        return self.records[-1].offset

    def publish(self, id, base, change):
        return self.append(Publication(id, base, "ann", change))

    def checkpoint(self, state, id="checkpoint"):
        return self.append(
            Checkpoint(id, state.as_of, state.version, entries_of(state.document), "n1")
        )

    def drop_before(self, offset):
        self.first_offset = min(offset, self.next_offset)
        self.records = [r for r in self.records if r.offset >= offset]

    def restore(self, next_offset):
        self.records = [r for r in self.records if r.offset < next_offset]

    def page(self, from_offset, limit=1000):
        found = [r for r in self.records if r.offset >= from_offset][:limit]
        return Page(self.first_offset, self.next_offset, found, from_offset)

    def feed(self, fold, limit=1000):
        events = []
        for _ in range(MAX_FED_PAGES):
            page = self.page(fold.next_offset, limit)
            events.extend(fold.apply_page(page))
            if not page.records or fold.is_halted:
                return events
        raise AssertionError("the fold keeps reading the same records")


@pytest.fixture
def fake_log():
    return FakeLog()


@pytest.fixture
def new_fold():
    return ConfigurationFold
