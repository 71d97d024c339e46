"""Reads whole streams of the log for the audit commands."""

import orjson
from returns.result import Failure

from ..audit.records import STREAM
from ..audit.trail import Trail, read_trail
from ..once.fold import LogEntry, OwnershipFold
from ..platform.client import LogClient
from ..platform.records import FIRST_OFFSET, LogRecord

OWNERSHIP_STREAM = "ownership"


async def read_whole_trail(log: LogClient) -> Trail:
    """Return the audit trail that the log holds.

    Raises
    ------
    PlatformUnavailableError
        If the log gives no answer.
    """
    records, first_offset = await _read_all(log, STREAM)
    return read_trail(records, first_offset)


async def read_ownership(log: LogClient) -> OwnershipFold:
    """Return the fold of the ownership stream.

    Raises
    ------
    PlatformUnavailableError
        If the log gives no answer.
    """
    records, first_offset = await _read_all(log, OWNERSHIP_STREAM)
    entries = tuple(
        LogEntry(record.offset, orjson.dumps(record.value)) for record in records
    )
    fold = OwnershipFold(next_offset=FIRST_OFFSET)
    if entries:
        fold.apply_entries(first_offset, entries, entries[-1].offset + 1)
    return fold


async def _read_all(log: LogClient, stream: str) -> tuple[list[LogRecord], int]:
    records: list[LogRecord] = []
    offset = FIRST_OFFSET
    first_offset = FIRST_OFFSET
    while True:
        result = await log.read(stream, offset)
        if isinstance(result, Failure):
            raise result.failure()
        page = result.unwrap()
        if not records:
            first_offset = page.first_offset
        if not page.records:
            return records, first_offset
        records.extend(page.records)
        offset = page.records[-1].offset + 1
